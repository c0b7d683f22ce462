"""Whether a failed attempt is tried again elsewhere."""

from __future__ import annotations

import enum

import attrs

from burdockquay_protocol import ErrorKind

MAX_ATTEMPTS = 4
"""Attempts after which a request that costs the upstreams something is not tried again."""
TRICKLE_PER_S = 0.2
"""Retries a second that are allowed whatever the fresh traffic."""


class RetryRule(enum.Enum):
    """What the kind of an error says about another attempt."""

    NEVER = "never"
    """Another attempt would end the same way, or must not be made."""
    FREE = "free"
    """Certainly not run, and refused at no cost upstream: try again without a budget."""
    NOT_RUN = "not_run"
    """Certainly not run: try again within the budget."""
    IF_IDEMPOTENT = "if_idempotent"
    """May have run: try again within the budget if running twice does no harm."""


_RULES: dict[ErrorKind, RetryRule] = {
    ErrorKind.NO_PLACE: RetryRule.FREE,
    ErrorKind.LEAVING: RetryRule.FREE,
    ErrorKind.NO_UPSTREAM: RetryRule.NOT_RUN,
    ErrorKind.NOT_READY: RetryRule.NOT_RUN,
    # Only an attempt whose claim row was settled as "not run" comes here: the next one expects
    # the row as it is now.
    ErrorKind.CLAIM_LOST: RetryRule.NOT_RUN,
    ErrorKind.UPSTREAM_FAILED: RetryRule.IF_IDEMPOTENT,
    ErrorKind.PEER_LOST: RetryRule.IF_IDEMPOTENT,
    ErrorKind.INTERNAL: RetryRule.IF_IDEMPOTENT,
}
"""Kinds that are not named are never tried again."""


@attrs.frozen
class RetryDecision:
    """Whether to try again.

    Parameters
    ----------
    retry : bool
    needs_budget : bool
        Whether the retry must first be withdrawn from the :class:`RetryBudget`.
    reason : str
        For the counter of retries by reason.
    """

    retry: bool
    needs_budget: bool
    reason: str


def rule_of(kind: ErrorKind) -> RetryRule:
    """Return what an error kind says about another attempt."""
    return _RULES.get(kind, RetryRule.NEVER)


def should_retry(
    kind: ErrorKind, idempotent: bool, attempt: int, can_resume: bool
) -> RetryDecision:
    """Decide whether an attempt that failed is followed by another.

    Parameters
    ----------
    kind : ErrorKind
        How the attempt failed.
    idempotent : bool
    attempt : int
        Number of the failed attempt, from 1.
    can_resume : bool
        True if the caller has got nothing yet, or the engine can go on behind what it got.

    Examples
    --------
    >>> should_retry(ErrorKind.PEER_LOST, idempotent=False, attempt=1, can_resume=True)
    RetryDecision(retry=False, needs_budget=False, reason='not_idempotent')
    """
    rule = rule_of(kind)
    if rule is RetryRule.NEVER:
        return RetryDecision(False, False, "final")
    if not can_resume:
        return RetryDecision(False, False, "cannot_resume")
    if rule is RetryRule.IF_IDEMPOTENT and not idempotent:
        return RetryDecision(False, False, "not_idempotent")
    if rule is RetryRule.FREE:
        return RetryDecision(True, False, kind.value)
    if attempt >= MAX_ATTEMPTS:
        return RetryDecision(False, False, "attempts_used")
    return RetryDecision(True, True, kind.value)


class RetryBudget:
    """Limits retries to a share of the fresh traffic.

    Parameters
    ----------
    ratio : float
        Retries earned by each fresh request.
    burst : float
        Most retries that are kept.

    Notes
    -----
    A limit per request multiplies the load when everything fails: three attempts each are three
    times the traffic at the worst moment. A share of the fresh traffic bounds the sum. A trickle of
    :data:`TRICKLE_PER_S` lets a process with little traffic retry at all.

    Examples
    --------
    >>> budget = RetryBudget(ratio=0.5, burst=1.0)
    >>> budget.withdraw(now=0.0), budget.withdraw(now=0.0)
    (True, False)
    >>> budget.deposit(now=0.0); budget.deposit(now=0.0); budget.withdraw(now=0.0)
    True
    """

    def __init__(self, ratio: float, burst: float):
        self.ratio = ratio
        self.burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    def deposit(self, now: float) -> None:
        """Note a fresh request."""
        self._fill(now)
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def withdraw(self, now: float) -> bool:
        """Take one retry; False if none is left."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            earned = max(0.0, now - self._filled_at) * TRICKLE_PER_S
            self._tokens = min(self.burst, self._tokens + earned)
        self._filled_at = now
