"""Decision whether a failed attempt is retried on another slot."""

from __future__ import annotations

import enum

import attrs

from burdockquay_protocol import ErrorKind

MAX_ATTEMPTS = 4
"""Attempts after which a request is not retried, unless its retries cost upstreams nothing."""


class RetryRule(enum.Enum):
    """Retry rule of an error kind."""

    NEVER = "never"
    """Another attempt would fail in the same way, or must not be made."""
    FREE = "free"
    """Certainly not run, and rejected at no cost upstream: retry without the budget."""
    NOT_RUN = "not_run"
    """Certainly not run: retry within the budget."""
    IF_IDEMPOTENT = "if_idempotent"
    """May have run: retry within the budget if the request is idempotent."""


_RULES: dict[ErrorKind, RetryRule] = {
    ErrorKind.NO_PLACE: RetryRule.FREE,
    ErrorKind.LEAVING: RetryRule.FREE,
    ErrorKind.NO_UPSTREAM: RetryRule.NOT_RUN,
    ErrorKind.NOT_READY: RetryRule.NOT_RUN,
    # The claim row of such an attempt has already been settled as "not run"; the next attempt
    # expects the row in its present version.
    ErrorKind.CLAIM_LOST: RetryRule.NOT_RUN,
    ErrorKind.UPSTREAM_FAILED: RetryRule.IF_IDEMPOTENT,
    ErrorKind.PEER_LOST: RetryRule.IF_IDEMPOTENT,
    ErrorKind.INTERNAL: RetryRule.IF_IDEMPOTENT,
}
"""Kinds that are not listed are never retried."""


@attrs.frozen
class RetryDecision:
    """Whether to retry.

    Parameters
    ----------
    retry : bool
    needs_budget : bool
        Whether the retry must first be withdrawn from the :class:`SharedRetryBudget`.
    reason : str
        Label of the counter of retries by reason.
    """

    retry: bool
    needs_budget: bool
    reason: str


def rule_of(kind: ErrorKind) -> RetryRule:
    """Return the retry rule of an error kind."""
    return _RULES.get(kind, RetryRule.NEVER)


def should_retry(
    kind: ErrorKind, idempotent: bool, attempt: int, can_resume: bool
) -> RetryDecision:
    """Decide whether a failed attempt is retried.

    Parameters
    ----------
    kind : ErrorKind
        Error kind of the failed attempt.
    idempotent : bool
    attempt : int
        Number of the failed attempt, from 1.
    can_resume : bool
        True if the caller has received nothing yet, or an engine can continue after the part that
        it has received.

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
