"""Starts at an upstream to which only this process sends."""

from __future__ import annotations

from ._rate_limit import RateLimit
from ._start_bucket import StartBucket
from ._statements import StatementChange, StatementReading


class StartGate:
    """What limits the starts at an upstream, where one process sends all requests to it.

    These are the request rate limit that the upstream states and a cold start. The narrowest one in
    force applies, with a single bucket.

    Examples
    --------
    >>> gate = StartGate(now=0.0)
    >>> gate.may_start(0.0)
    True
    >>> _ = gate.record_answer(StatementReading(2.0), sent_at=0.0, now=1.0)
    >>> gate.may_start(1.4), gate.may_start(1.5)
    (False, True)
    >>> gate.begin_cold(per_s=0.5, until=9.0, now=2.0)
    >>> gate.rate(8.9), gate.rate(9.0)
    (0.5, 2.0)
    """

    def __init__(self, now: float):
        self._limit = RateLimit()
        self._cold_per_s = float("inf")
        self._cold_until = float("-inf")
        self._bucket = StartBucket(now)
        self._bucket_rate: float | None = None

    @property
    def per_s(self) -> float | None:
        """Requests per second that the upstream states; None if it states no limit."""
        return self._limit.per_s

    def rate(self, now: float) -> float | None:
        """Return the narrowest rate in force, requests per second; None if there is none."""
        rates = [rate for rate in (self.per_s, self._cold_rate(now)) if rate is not None]
        return min(rates, default=None)

    def begin_cold(self, per_s: float, until: float, now: float) -> None:
        """Begin a cold start; one that ends later stays in force."""
        self._cold_per_s = per_s
        self._cold_until = max(self._cold_until, until)
        self._update_bucket(now)

    def cold_remaining_s(self, now: float) -> float:
        """Return how long the upstream still is cold, seconds."""
        return max(0.0, self._cold_until - now)

    def record_answer(
        self, reading: StatementReading, sent_at: float, now: float
    ) -> StatementChange | None:
        """Apply an answer of the upstream; see :meth:`RateLimit.record_answer`."""
        change = self._limit.record_answer(reading, sent_at, now)
        if change is not None:
            self._update_bucket(now)
        return change

    def binds(self, now: float) -> bool:
        """Return whether the starts are limited; see :class:`StatementState`."""
        return self.rate(now) is not None

    def available(self, now: float) -> float:
        """Return the number of requests that may be sent now; infinite without a limit."""
        self._update_bucket(now)
        return float("inf") if self._bucket_rate is None else self._bucket.available(now)

    def may_start(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.available(now) >= 1.0

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._update_bucket(now)
        if self._bucket_rate is not None:
            self._bucket.charge(now)

    def wait_s(self, now: float) -> float:
        """Return the time until a request may be sent, or another rate applies, seconds."""
        self._update_bucket(now)
        if self._bucket_rate is None:
            return 0.0
        wait_s = self._bucket.wait_s(now)
        return min(wait_s, self.cold_remaining_s(now) or wait_s)

    def _cold_rate(self, now: float) -> float | None:
        return self._cold_per_s if now < self._cold_until else None

    def _update_bucket(self, now: float) -> None:
        rate = self.rate(now)
        if rate == self._bucket_rate:
            return
        if self._bucket_rate is None:
            self._bucket = StartBucket(now)
        if rate is not None:
            self._bucket.set_rate(rate, now)
        self._bucket_rate = rate
