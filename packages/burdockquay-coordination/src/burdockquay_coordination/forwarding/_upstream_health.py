"""What outcomes of requests say of an upstream: whether it is reached, how often it fails."""

from __future__ import annotations

from ._outcome_ledger import Outcomes

SUSPEND_S = 0.5
"""First pause of an upstream that could not be reached, seconds; doubles with each failure."""
MAX_SUSPEND_S = 4.0
"""Longest such pause, seconds: an upstream behind a mended link is back in use within it."""

FAILURE_WEIGHT = 0.15
"""Weight of the newest outcome in the failure share: about the last seven outcomes count."""
GREY_SHARE = 0.3
"""Failure share above which an upstream is used only if no better one is there."""
HEARD_FAILURE_WEIGHT = 0.08
"""The same for outcomes of other processes: of many processes some always see a few failures one
after the other at a sound upstream."""
MAX_HEARD_SHARE = 0.36
"""Largest failure share that outcomes of others lead to, so that some process tries an upstream
again after a second: with many of them a trial costs each next to nothing."""
RETURN_SPREAD = 0.3
"""Part of that share over which the processes spread the moments at which they try it again."""
HEARD_SUSPEND_S = 0.5
"""Pause of an upstream that others could not reach, seconds. It does not grow, for the same
reason."""
LEAST_REPORTS = 2
"""Other processes that could not reach an upstream after which it counts as unreachable."""
UNREACHABLE_MEMORY_S = 0.45
"""Time over which their reports add up, seconds; less than the first pause, so that one process
does not count twice."""
GREY_HALF_LIFE_S = 4.0
"""Time in which the failure share of an upstream that gets no work halves, seconds, so that it is
tried again."""


class UpstreamHealth:
    """Whether an upstream fails requests, as this process and the others have seen.

    Health pages say little: an upstream may answer them and reset every request. So what counts is
    how requests end. One that cannot be reached is left out for a while, longer each time; one that
    fails many requests is used only where no better one is left.

    Parameters
    ----------
    spread : float
        From 0 to 1, another one at each process: how much later than others this one tries an
        upstream again that all have heard of as failing. A few try first and tell what they find.

    Examples
    --------
    >>> health = UpstreamHealth()
    >>> health.hear_outcomes(Outcomes(failed=2, unreachable=2), now=10.0)
    >>> health.suspended(10.1)
    True
    >>> health.note_success(10.2)
    >>> health.suspended(10.2)
    False
    """

    def __init__(self, spread: float = 0.0):
        self._spread = spread
        self._untold_outcomes: Outcomes | None = None
        self._failure_share = 0.0
        self._seen_at = 0.0
        self._suspended_until = float("-inf")
        self._suspend_s = SUSPEND_S
        self._was_grey = False
        self._heard_unreachable = 0
        self._heard_unreachable_at = float("-inf")

    @property
    def _return_share(self) -> float:
        """Failure share below which it is used again after it failed too many requests.

        Each process has another one, so that a few try first and tell the others what they find.
        """
        return GREY_SHARE * (1 - RETURN_SPREAD * self._spread)

    @property
    def _grey_limit(self) -> float:
        """Failure share above which it fails too many requests."""
        return self._return_share if self._was_grey else GREY_SHARE

    def hear_outcomes(self, outcomes: Outcomes, now: float) -> None:
        """Take in what became of requests of other processes."""
        ended = outcomes.whole + outcomes.failed
        if ended:
            weight = 1 - (1 - HEARD_FAILURE_WEIGHT) ** ended
            self._note_share(outcomes.failed / ended, weight, MAX_HEARD_SHARE, now)
        if outcomes.unreachable:
            self._hear_unreachable(outcomes.unreachable, now)

    def take_untold_outcomes(self) -> Outcomes | None:
        """Return what the other processes were not told of, and take it as told."""
        untold, self._untold_outcomes = self._untold_outcomes, None
        return untold

    def _note_untold(self, outcomes: Outcomes) -> None:
        known = self._untold_outcomes
        self._untold_outcomes = outcomes if known is None else known + outcomes

    def suspended(self, now: float) -> bool:
        """Return whether it failed to answer a short time ago."""
        return now < self._suspended_until

    def failure_share(self, now: float) -> float:
        """Return the share of recent requests that failed, faded by the time since then."""
        return self._failure_share * 0.5 ** ((now - self._seen_at) / GREY_HALF_LIFE_S)

    def is_grey(self, now: float) -> bool:
        """Return whether it fails too many requests."""
        return self.failure_share(now) > self._grey_limit

    def is_avoided(self, now: float) -> bool:
        """Return whether it is used only where no better one is left."""
        return self.suspended(now) or self.is_grey(now)

    def note_success(self, now: float) -> None:
        """Note a whole answer."""
        self._note_outcome(0.0, now)
        self._note_untold(Outcomes(whole=1))
        self._suspended_until = float("-inf")
        self._suspend_s = SUSPEND_S
        self._heard_unreachable = 0

    def note_failure(self, now: float) -> None:
        """Note an answer that failed or broke off."""
        self._note_outcome(1.0, now)
        self._note_untold(Outcomes(failed=1))

    def note_unreachable(self, now: float) -> None:
        """Note a connection that was refused, reset or silent: pause, longer each time."""
        self._note_outcome(1.0, now)
        # Requests that were on their way together are one sign: their process may be what is cut.
        is_news = not self.suspended(now)
        self._note_untold(Outcomes(failed=1, unreachable=int(is_news)))
        if is_news:
            self._suspended_until = now + self._suspend_s
            self._suspend_s = min(self._suspend_s * 2, MAX_SUSPEND_S)

    def note_replaced(self) -> None:
        """Note that its address answers under another id.

        The others hear that it is unreachable and not more. Each of them sees for itself that it is
        gone, so that one wrong answer does not take it out of use everywhere.
        """
        self._note_untold(Outcomes(failed=1, unreachable=1))

    def _hear_unreachable(self, count: int, now: float) -> None:
        """Pause it too once others could not reach it.

        One report alone may come from a process whose own link is down. An answer to this process
        says that it is well.
        """
        if now - self._heard_unreachable_at > UNREACHABLE_MEMORY_S:
            self._heard_unreachable = 0
        self._heard_unreachable += count
        self._heard_unreachable_at = now
        if self._heard_unreachable >= LEAST_REPORTS:
            self._heard_unreachable = 0
            until = now + HEARD_SUSPEND_S * (1 + self._spread)
            self._suspended_until = max(self._suspended_until, until)

    def _note_outcome(self, failed: float, now: float) -> None:
        self._note_share(failed, FAILURE_WEIGHT, 1.0, now)

    def _note_share(self, failed: float, weight: float, most: float, now: float) -> None:
        known = self.failure_share(now)
        self._failure_share = min(known + weight * (failed - known), max(most, known))
        self._seen_at = now
        self._was_grey = self._failure_share > self._grey_limit
