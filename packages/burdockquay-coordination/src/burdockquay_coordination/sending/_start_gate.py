"""Starts at an upstream to which only this process sends."""

from __future__ import annotations

from ._rate_limit import RateLimit
from ._start_bucket import StartBucket
from ._statements import StatementChange, StatementReading


class StartGate:
    """The request rate limit of an upstream, where one process sends all requests to it.

    Examples
    --------
    >>> gate = StartGate(now=0.0)
    >>> gate.may_start(0.0)
    True
    >>> _ = gate.record_answer(StatementReading(2.0), sent_at=0.0, now=1.0)
    >>> gate.may_start(1.4), gate.may_start(1.5)
    (False, True)
    """

    def __init__(self, now: float):
        self._limit = RateLimit()
        self._bucket = StartBucket(now)

    @property
    def per_s(self) -> float | None:
        """Requests per second; None if the upstream is not limited."""
        return self._limit.per_s

    def record_answer(
        self, reading: StatementReading, sent_at: float, now: float
    ) -> StatementChange | None:
        """Apply an answer of the upstream; see :meth:`RateLimit.record_answer`."""
        change = self._limit.record_answer(reading, sent_at, now)
        if change is not None and change.after is not None:
            if change.before is None:
                self._bucket = StartBucket(now)
            self._bucket.set_rate(change.after, now)
        return change

    def binds(self, now: float) -> bool:
        """Return whether the upstream is limited; see :class:`StatementState`."""
        return self.per_s is not None

    def available(self, now: float) -> float:
        """Return the number of requests that may be sent now; infinite without a limit."""
        return float("inf") if self.per_s is None else self._bucket.available(now)

    def may_start(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.available(now) >= 1.0

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        if self.per_s is not None:
            self._bucket.charge(now)

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent, seconds."""
        return 0.0 if self.per_s is None else self._bucket.wait_s(now)
