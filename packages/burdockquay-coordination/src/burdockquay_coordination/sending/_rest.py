"""The rest that an upstream asks for when it turns a request away."""

from __future__ import annotations

import math
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

TURNED_AWAY_STATUSES = frozenset({429, 503})
"""HTTP statuses of an answer that may ask for a rest."""

MAX_REST_S = 300.0
"""Longest rest that is kept, seconds. Whether the upstream has recovered before is only seen once
a request is sent to it."""

SPREAD_SHARE = 0.25
MAX_SPREAD_S = 0.5
"""Share of a rest, and longest time in seconds, by which the processes spread its end."""

RECOVERY_S = 1.0
"""Time after a rest in which the number of requests is bounded, seconds."""

DOUBLING_S = 0.15
"""Time in which that number doubles, seconds."""


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
    """The rest of one upstream, as one process keeps it, and the recovery after it.

    No request is sent in the rest. If all that waited were sent at its end, the upstream would turn
    them away again, so that the number of requests grows from one in the recovery.

    Parameters
    ----------
    spread : float
        From 0 to 1, different at each process: how much later than others it ends the rest.

    Examples
    --------
    >>> rest = Rest()
    >>> _ = rest.record_answer(StatementReading(3.0), sent_at=0.9, now=1.0)
    >>> _ = rest.record_answer(StatementReading(0.5), sent_at=0.9, now=1.1)
    >>> rest.remaining_s(1.5), rest.may_send(3.9), rest.may_send(4.0)
    (2.5, False, True)
    >>> rest.record_sent()
    >>> rest.may_send(4.1), rest.may_send(4.2), rest.available(6.0)
    (False, True, inf)
    """

    def __init__(self, spread: float = 0.0):
        self._spread = spread
        self._until = float("-inf")
        self._recovered_at = float("-inf")
        self._sent = 0

    def binds(self, now: float) -> bool:
        """Return whether the upstream rests, or recovers from a rest."""
        return now < self._recovered_at

    def remaining_s(self, now: float) -> float:
        """Return how long the rest still lasts, seconds."""
        return max(0.0, self._until - now)

    def available(self, now: float) -> float:
        """Return the number of requests that may be sent now; infinite without a rest."""
        if now >= self._recovered_at:
            return float("inf")
        if now < self._until:
            return 0.0
        return 2.0 ** ((now - self._until) / DOUBLING_S) - self._sent

    def may_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return now >= self._recovered_at or self.available(now) >= 1.0

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent, seconds."""
        if self.may_send(now):
            return 0.0
        next_at = self._until + DOUBLING_S * math.log2(self._sent + 1)
        return min(next_at, self._recovered_at) - now

    def record_sent(self) -> None:
        """Count a request that is sent."""
        self._sent += 1

    def record_answer(
        self, reading: StatementReading, sent_at: float, now: float
    ) -> StatementChange | None:
        """Apply an answer of the upstream; see :class:`StatementState`.

        Of overlapping rests, the one that ends last applies.
        """
        if reading.value is None:
            return None
        until = now + reading.value + self._spread * min(SPREAD_SHARE * reading.value, MAX_SPREAD_S)
        if until <= self._until:
            return None
        before = self.remaining_s(now) or None
        self._until = until
        self._recovered_at = until + RECOVERY_S
        self._sent = 0
        return StatementChange.between(before, reading.value)
