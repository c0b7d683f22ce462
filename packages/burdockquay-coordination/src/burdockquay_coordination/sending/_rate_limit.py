"""Request rate limit of an upstream: reading it, and keeping track of the one in force.

An upstream names the limit in its answers. It holds for the requests of all processes together, for
as long as answers name it.
"""

from __future__ import annotations

from collections.abc import Iterable

from ._statements import (
    NOT_STATED,
    Binding,
    ProofNeed,
    StatementChange,
    StatementFault,
    StatementReading,
    parse_decimals,
    register_statement,
    split_items,
)

MIN_RATE_PER_S = 0.1
"""Lowest limit that is kept, requests per second. With none at all, no answer could tell that the
limit has ended."""

MAX_RATE_PER_S = 1e6
"""Limit above which an upstream counts as not limited, requests per second."""

LOOSEN_AFTER_S = 0.5
"""Time after an answer that names a limit in which reports of others do not raise or end it,
seconds: they may be older than the answer."""


@register_statement("request_rate", Binding.ALL, is_relayed=False, proof=ProofNeed.END)
def read_rate(texts: Iterable[str]) -> StatementReading:
    """Return the limit that an answer names.

    Parameters
    ----------
    texts : iterable of str
        Values of the field that names the limit. The lowest one applies if there are several.

    Examples
    --------
    >>> read_rate(["1.7"])
    StatementReading(value=1.7, fault=None)
    >>> read_rate(["8", "2.5"]).value
    2.5
    >>> read_rate(["-1"]).fault, read_rate(["nan"]).fault, read_rate([""]).fault
    (<StatementFault.UNREADABLE: 'unreadable'>, <StatementFault.UNREADABLE: 'unreadable'>, \
<StatementFault.UNREADABLE: 'unreadable'>)
    >>> read_rate(["0"])
    StatementReading(value=0.1, fault=<StatementFault.TOO_LOW: 'too low'>)
    >>> read_rate([])
    StatementReading(value=None, fault=None)
    """
    named = split_items(texts)
    rates = parse_decimals(named)
    if not rates:
        return StatementReading(None, StatementFault.UNREADABLE) if named else NOT_STATED
    lowest = min(rates)
    if lowest < MIN_RATE_PER_S:
        return StatementReading(MIN_RATE_PER_S, StatementFault.TOO_LOW)
    if lowest > MAX_RATE_PER_S:
        return StatementReading(None, StatementFault.TOO_HIGH)
    return StatementReading(lowest)


class RateLimit:
    """The limit of one upstream, as known to one process.

    A lower limit applies at once. Answers on different connections overtake each other, so a higher
    one, or none, is only taken from an answer to a request that was sent after the present limit
    was learnt.

    Examples
    --------
    >>> limit = RateLimit()
    >>> limit.record_answer(StatementReading(2.0), sent_at=0.5, now=1.0).kind
    <StatementChangeKind.LEARNT: 'learnt'>
    >>> limit.record_answer(NOT_STATED, sent_at=0.9, now=1.1) is None
    True
    >>> limit.record_answer(NOT_STATED, sent_at=1.2, now=1.3).kind
    <StatementChangeKind.ENDED: 'ended'>
    """

    def __init__(self):
        self._per_s: float | None = None
        self._learnt_at = float("-inf")
        self._named_at = float("-inf")

    @property
    def per_s(self) -> float | None:
        """Requests per second of all processes together; None if the upstream is not limited."""
        return self._per_s

    def binds(self, now: float) -> bool:
        """Return whether the upstream is limited; see :class:`StatementState`."""
        return self._per_s is not None

    def record_answer(
        self, reading: StatementReading, sent_at: float, now: float
    ) -> StatementChange | None:
        """Apply an answer of the upstream; see :class:`StatementState`."""
        if reading.fault is StatementFault.UNREADABLE:
            return None
        if _is_looser(reading.value, self._per_s) and sent_at < self._learnt_at:
            return None
        if reading.value is not None:
            self._learnt_at = self._named_at = now
        return self._set(reading.value)

    def apply_peer(self, per_s: float | None, now: float) -> StatementChange | None:
        """Apply the limit that another process reports; return the change, None if none."""
        if _is_looser(per_s, self._per_s) and now - self._named_at < LOOSEN_AFTER_S:
            return None
        if per_s is not None:
            per_s = min(max(per_s, MIN_RATE_PER_S), MAX_RATE_PER_S)
            self._learnt_at = now if per_s != self._per_s else self._learnt_at
        return self._set(per_s)

    def _set(self, per_s: float | None) -> StatementChange | None:
        before, self._per_s = self._per_s, per_s
        return StatementChange.between(before, per_s)


def _is_looser(per_s: float | None, than: float | None) -> bool:
    if than is None:
        return False
    return per_s is None or per_s > than
