"""The rest that an upstream asks for when it turns a request away."""

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

MAX_REST_S = 300.0
"""Longest rest that is kept, seconds. Whether the upstream has recovered before is only seen once
a request is sent to it."""


@register_statement("rest", Binding.VM, is_relayed=False, proof=ProofNeed.NONE)
def read_rest(texts: Iterable[str]) -> StatementReading:
    """Return the rest that an answer asks for, seconds.

    The longest one applies if there are several. A date is unreadable: the clocks of upstreams and
    processes are not compared.

    Examples
    --------
    >>> read_rest(["3"]).value, read_rest(["0.5", "2"]).value, read_rest(["0"]).value
    (3.0, 2.0, None)
    >>> read_rest(["86400"])
    StatementReading(value=300.0, fault=<StatementFault.TOO_HIGH: 'too high'>)
    >>> read_rest(["Thu, 03 Dec 2026 12:00:00 GMT"]).fault
    <StatementFault.UNREADABLE: 'unreadable'>
    """
    items = split_items(texts)
    if not items:
        return NOT_STATED
    seconds = parse_decimals(items)
    if not seconds:
        return StatementReading(None, StatementFault.UNREADABLE)
    longest = max(seconds)
    if longest > MAX_REST_S:
        return StatementReading(MAX_REST_S, StatementFault.TOO_HIGH)
    return StatementReading(longest) if longest else NOT_STATED


class Rest:
    """The rest of one upstream, as one process keeps it.

    Examples
    --------
    >>> rest = Rest()
    >>> _ = rest.record_answer(StatementReading(3.0), sent_at=0.9, now=1.0)
    >>> _ = rest.record_answer(StatementReading(0.5), sent_at=0.9, now=1.1)
    >>> rest.remaining_s(1.5), rest.remaining_s(4.0)
    (2.5, 0.0)
    """

    def __init__(self):
        self._until = float("-inf")

    def remaining_s(self, now: float) -> float:
        """Return how long the rest still lasts, seconds."""
        return max(0.0, self._until - now)

    def record_answer(
        self, reading: StatementReading, sent_at: float, now: float
    ) -> StatementChange | None:
        """Apply an answer of the upstream; return the change, None if there is none.

        Of overlapping rests, the one that ends last applies.

        Parameters
        ----------
        reading : StatementReading
        sent_at : float
            When the request was sent.
        now : float
            When its answer was received.
        """
        if reading.value is None or now + reading.value <= self._until:
            return None
        before = self.remaining_s(now) or None
        self._until = now + reading.value
        return StatementChange.between(before, reading.value)
