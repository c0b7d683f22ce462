"""Request rate limit of an upstream: reading it, and keeping track of the one in force.

An upstream names the limit in its answers. It holds for the requests of all processes together, for
as long as answers name it.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Iterable

import attrs

MIN_RATE_PER_S = 0.1
"""Lowest limit that is kept, requests per second. With none at all, no answer could tell that the
limit has ended."""

MAX_RATE_PER_S = 1e6
"""Limit above which an upstream counts as not limited, requests per second."""

LOOSEN_AFTER_S = 0.5
"""Time after an answer that names a limit in which reports of others do not raise or end it,
seconds: they may be older than the answer."""

MAX_RATE_DIGITS = 40
"""Longest text that is read as a limit, characters."""

_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class RateFault(enum.Enum):
    """Why a limit was not taken as it was named."""

    UNREADABLE = "unreadable"
    """No decimal number; the limit in force is kept."""
    TOO_LOW = "too low"
    """Lower than ``MIN_RATE_PER_S``, which is used instead."""
    TOO_HIGH = "too high"
    """Higher than ``MAX_RATE_PER_S``: no limit."""


@attrs.frozen
class RateReading:
    """A limit as an answer names it.

    Parameters
    ----------
    per_s : float or None
        Requests per second; None if the upstream is not limited, or the limit is unreadable.
    fault : RateFault or None
    """

    per_s: float | None
    fault: RateFault | None = None


NO_RATE = RateReading(None)
"""Reading of an answer that names no limit."""


def read_rate(texts: Iterable[str]) -> RateReading:
    """Return the limit that an answer names.

    Parameters
    ----------
    texts : iterable of str
        Values of the field that names the limit. The lowest one applies if there are several.

    Examples
    --------
    >>> read_rate(["1.7"])
    RateReading(per_s=1.7, fault=None)
    >>> read_rate(["8", "2.5"]).per_s
    2.5
    >>> read_rate(["-1"]).fault, read_rate(["nan"]).fault, read_rate([""]).fault
    (<RateFault.UNREADABLE: 'unreadable'>, <RateFault.UNREADABLE: 'unreadable'>, \
<RateFault.UNREADABLE: 'unreadable'>)
    >>> read_rate(["0"])
    RateReading(per_s=0.1, fault=<RateFault.TOO_LOW: 'too low'>)
    >>> read_rate([])
    RateReading(per_s=None, fault=None)
    """
    named = [item.strip() for text in texts for item in text.split(",")]
    rates = [
        float(item) for item in named if len(item) <= MAX_RATE_DIGITS and _DECIMAL.fullmatch(item)
    ]
    if not rates:
        return RateReading(None, RateFault.UNREADABLE) if named else NO_RATE
    lowest = min(rates)
    if lowest < MIN_RATE_PER_S:
        return RateReading(MIN_RATE_PER_S, RateFault.TOO_LOW)
    if lowest > MAX_RATE_PER_S:
        return RateReading(None, RateFault.TOO_HIGH)
    return RateReading(lowest)


class RateChangeKind(enum.Enum):
    """What an answer or a message changed about a limit."""

    LEARNT = "learnt"
    CHANGED = "changed"
    ENDED = "ended"


@attrs.frozen
class RateChange:
    """A change of the limit in force.

    Parameters
    ----------
    kind : RateChangeKind
    before, after : float or None
        Requests per second; None is no limit.
    """

    kind: RateChangeKind
    before: float | None
    after: float | None


class RateLimit:
    """The limit of one upstream, as known to one process.

    A lower limit applies at once. Answers on different connections overtake each other, so a higher
    one, or none, is only taken from an answer to a request that was sent after the present limit
    was learnt.

    Examples
    --------
    >>> limit = RateLimit()
    >>> limit.record_answer(RateReading(2.0), sent_at=0.5, now=1.0).kind
    <RateChangeKind.LEARNT: 'learnt'>
    >>> limit.record_answer(NO_RATE, sent_at=0.9, now=1.1) is None
    True
    >>> limit.record_answer(NO_RATE, sent_at=1.2, now=1.3).kind
    <RateChangeKind.ENDED: 'ended'>
    """

    def __init__(self):
        self._per_s: float | None = None
        self._learnt_at = float("-inf")
        self._named_at = float("-inf")
        self._faults: set[RateFault] = set()

    @property
    def per_s(self) -> float | None:
        """Requests per second of all processes together; None if the upstream is not limited."""
        return self._per_s

    def record_answer(self, reading: RateReading, sent_at: float, now: float) -> RateChange | None:
        """Apply an answer of the upstream; return the change, None if there is none.

        Parameters
        ----------
        reading : RateReading
        sent_at : float
            When the request was sent.
        now : float
            When its answer was received.
        """
        if reading.fault is RateFault.UNREADABLE:
            return None
        if _is_looser(reading.per_s, self._per_s) and sent_at < self._learnt_at:
            return None
        if reading.per_s is not None:
            self._learnt_at = self._named_at = now
        return self._set(reading.per_s)

    def apply_peer(self, per_s: float | None, now: float) -> RateChange | None:
        """Apply the limit that another process reports; return the change, None if none."""
        if _is_looser(per_s, self._per_s) and now - self._named_at < LOOSEN_AFTER_S:
            return None
        if per_s is not None:
            per_s = min(max(per_s, MIN_RATE_PER_S), MAX_RATE_PER_S)
            self._learnt_at = now if per_s != self._per_s else self._learnt_at
        return self._set(per_s)

    def is_new_fault(self, fault: RateFault) -> bool:
        """Return whether a fault occurs for the first time, and record it."""
        is_new = fault not in self._faults
        self._faults.add(fault)
        return is_new

    def _set(self, per_s: float | None) -> RateChange | None:
        before, self._per_s = self._per_s, per_s
        if before == per_s:
            return None
        if before is None:
            return RateChange(RateChangeKind.LEARNT, before, per_s)
        kind = RateChangeKind.ENDED if per_s is None else RateChangeKind.CHANGED
        return RateChange(kind, before, per_s)


def _is_looser(per_s: float | None, than: float | None) -> bool:
    if than is None:
        return False
    return per_s is None or per_s > than
