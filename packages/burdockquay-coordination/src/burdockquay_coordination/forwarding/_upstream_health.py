"""Health of an upstream by the outcomes of requests: reachability and failure share."""

from __future__ import annotations

from ._outcome_relay import Outcomes

SUSPEND_S = 0.5
"""First suspension of an upstream that could not be reached, seconds; doubles with each failure."""
MAX_SUSPEND_S = 4.0
"""Longest suspension, seconds: an upstream behind a repaired link is in use again within it."""

FAILURE_WEIGHT = 0.15
"""Weight of the newest outcome in the failure share: about the last seven outcomes count."""
DEGRADED_SHARE = 0.3
"""Failure share above which an upstream is used only if no better one is available."""
PEER_FAILURE_WEIGHT = 0.08
"""The same weight for outcomes of other processes: among many processes, some always see a few
failures in a row at a healthy upstream."""
MAX_PEER_FAILURE_SHARE = 0.36
"""Largest failure share that outcomes of other processes lead to, so that some process retries an
upstream after a second: with many processes, a trial costs each of them next to nothing."""
RECOVERY_SPREAD = 0.3
"""Share of ``DEGRADED_SHARE`` over which the processes spread the failure shares at which they
retry an upstream."""
PEER_SUSPEND_S = 0.5
"""Suspension of an upstream that other processes could not reach, seconds. It does not grow, for
the same reason as ``MAX_PEER_FAILURE_SHARE``."""
MIN_UNREACHABLE_REPORTS = 2
"""Reports of other processes after which an upstream counts as unreachable."""
UNREACHABLE_WINDOW_S = 0.45
"""Time window in which their reports are added up, seconds; shorter than the first suspension, so
that one process does not count twice."""
FAILURE_SHARE_HALF_LIFE_S = 4.0
"""Half-life of the failure share of an upstream that gets no work, seconds, so that it is retried.
"""


class UpstreamHealth:
    """Health of an upstream, from outcomes seen by this process and by others.

    Health checks say little: an upstream may answer them and reset every request. So health is
    judged by how requests end. An upstream that cannot be reached is suspended, longer each time;
    one that fails many requests is used only if no better one is left.

    Parameters
    ----------
    spread : float
        From 0 to 1, different at each process: how much later than others this process retries an
        upstream that is failing for all. A few retry first and send the outcomes to the others.

    Examples
    --------
    >>> health = UpstreamHealth()
    >>> health.apply_peer_outcomes(Outcomes(failed=2, unreachable=2), now=10.0)
    >>> health.suspended(10.1)
    True
    >>> health.record_success(10.2)
    >>> health.suspended(10.2)
    False
    """

    def __init__(self, spread: float = 0.0):
        self._spread = spread
        self._unsent_outcomes: Outcomes | None = None
        self._failure_share = 0.0
        self._seen_at = 0.0
        self._suspended_until = float("-inf")
        self._suspend_s = SUSPEND_S
        self._was_degraded = False
        self._unreachable_reports = 0
        self._unreachable_reported_at = float("-inf")

    @property
    def _recovery_share(self) -> float:
        """Failure share below which a degraded upstream is used again.

        It differs between processes, so that a few retry first and send the outcomes to the others.
        """
        return DEGRADED_SHARE * (1 - RECOVERY_SPREAD * self._spread)

    @property
    def _degraded_limit(self) -> float:
        """Failure share above which the upstream is degraded."""
        return self._recovery_share if self._was_degraded else DEGRADED_SHARE

    def apply_peer_outcomes(self, outcomes: Outcomes, now: float) -> None:
        """Apply the outcomes of requests of other processes."""
        ended = outcomes.whole + outcomes.failed
        if ended:
            weight = 1 - (1 - PEER_FAILURE_WEIGHT) ** ended
            self._update_failure_share(outcomes.failed / ended, weight, MAX_PEER_FAILURE_SHARE, now)
        if outcomes.unreachable:
            self._apply_unreachable_reports(outcomes.unreachable, now)

    def take_unsent_outcomes(self) -> Outcomes | None:
        """Return and clear the outcomes that have not been sent to peers yet."""
        unsent, self._unsent_outcomes = self._unsent_outcomes, None
        return unsent

    def _add_unsent(self, outcomes: Outcomes) -> None:
        known = self._unsent_outcomes
        self._unsent_outcomes = outcomes if known is None else known + outcomes

    def suspended(self, now: float) -> bool:
        """Return whether the upstream is left out because it could not be reached."""
        return now < self._suspended_until

    def failure_share(self, now: float) -> float:
        """Return the share of recent requests that failed, decayed by the time since the last."""
        return self._failure_share * 0.5 ** ((now - self._seen_at) / FAILURE_SHARE_HALF_LIFE_S)

    def is_degraded(self, now: float) -> bool:
        """Return whether the upstream is degraded: it fails too many requests."""
        if not self._failure_share:
            return False
        return self.failure_share(now) > self._degraded_limit

    def is_avoided(self, now: float) -> bool:
        """Return whether the upstream is used only if no better one is left."""
        return self.suspended(now) or self.is_degraded(now)

    def record_success(self, now: float) -> None:
        """Record a complete answer."""
        self._record_outcome(0.0, now)
        self._add_unsent(Outcomes(whole=1))
        self._suspended_until = float("-inf")
        self._suspend_s = SUSPEND_S
        self._unreachable_reports = 0

    def record_failure(self, now: float) -> None:
        """Record an answer that failed or broke off."""
        self._record_outcome(1.0, now)
        self._add_unsent(Outcomes(failed=1))

    def record_unreachable(self, now: float) -> None:
        """Record a connection that was refused, reset or unresponsive; suspend longer each time."""
        self._record_outcome(1.0, now)
        # Concurrent requests count as one report: this process may be the one that is cut off.
        is_first_report = not self.suspended(now)
        self._add_unsent(Outcomes(failed=1, unreachable=int(is_first_report)))
        if is_first_report:
            self._suspended_until = now + self._suspend_s
            self._suspend_s = min(self._suspend_s * 2, MAX_SUSPEND_S)

    def record_replaced(self) -> None:
        """Record that another id answers at the address of the upstream.

        To other processes it is reported as unreachable only. Each of them detects by itself
        that the upstream is unavailable, so that one wrong answer does not remove it everywhere.
        """
        self._add_unsent(Outcomes(failed=1, unreachable=1))

    def _apply_unreachable_reports(self, count: int, now: float) -> None:
        """Suspend the upstream once enough other processes could not reach it.

        A single report may come from a process whose own link is down. An answer to this process
        shows that the upstream is reachable and resets the count.
        """
        if now - self._unreachable_reported_at > UNREACHABLE_WINDOW_S:
            self._unreachable_reports = 0
        self._unreachable_reports += count
        self._unreachable_reported_at = now
        if self._unreachable_reports >= MIN_UNREACHABLE_REPORTS:
            self._unreachable_reports = 0
            until = now + PEER_SUSPEND_S * (1 + self._spread)
            self._suspended_until = max(self._suspended_until, until)

    def _record_outcome(self, failed: float, now: float) -> None:
        self._update_failure_share(failed, FAILURE_WEIGHT, 1.0, now)

    def _update_failure_share(self, failed: float, weight: float, limit: float, now: float) -> None:
        known = self.failure_share(now)
        self._failure_share = min(known + weight * (failed - known), max(limit, known))
        self._seen_at = now
        self._was_degraded = self._failure_share > self._degraded_limit
