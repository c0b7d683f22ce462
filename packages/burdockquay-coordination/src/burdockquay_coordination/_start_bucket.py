"""Token bucket for the starts of requests at a limited upstream."""

from __future__ import annotations

BURST_S = 0.05
"""Time whose starts may be made together, seconds: at high rates a process wakes less often than a
start is due."""


class StartBucket:
    """Starts that become available at a rate. It is empty at first, and holds at least one.

    A process that has just learnt the rate cannot know what others have sent a moment ago, so that
    it must not begin with a burst.

    Examples
    --------
    >>> bucket = StartBucket(now=0.0)
    >>> bucket.set_rate(2.0, now=0.0)
    >>> bucket.take(0.0), bucket.take(0.5), bucket.take(0.6)
    (False, True, False)
    """

    def __init__(self, now: float):
        self._rate = 0.0
        self._starts = 0.0
        self._filled_at = now

    @property
    def rate(self) -> float:
        """Starts per second."""
        return self._rate

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; starts that are available remain so up to the new capacity."""
        self._fill(now)
        self._rate = rate
        self._starts = min(self._starts, self._capacity)

    def available(self, now: float) -> float:
        """Return the number of available starts; negative after :meth:`charge`."""
        self._fill(now)
        return self._starts

    def take(self, now: float) -> bool:
        """Take a start; return False if none is available."""
        if self.available(now) < 1.0:
            return False
        self._starts -= 1.0
        return True

    def charge(self, now: float) -> None:
        """Take a start that was made in any case."""
        self._fill(now)
        self._starts -= 1.0

    def wait_s(self, now: float) -> float:
        """Return the time until a start is available, seconds; infinite at a rate of zero."""
        missing = 1.0 - self.available(now)
        if missing <= 0.0:
            return 0.0
        return missing / self._rate if self._rate else float("inf")

    @property
    def _capacity(self) -> float:
        return max(1.0, BURST_S * self._rate)

    def _fill(self, now: float) -> None:
        if now > self._filled_at:
            grown = self._starts + (now - self._filled_at) * self._rate
            self._starts = min(self._capacity, grown)
            self._filled_at = now
