"""Token bucket for the starts of requests at a limited upstream."""

from __future__ import annotations

from .._token_bucket import TokenBucket

BURST_S = 0.05
"""Time whose starts may be made together, seconds: at high rates a process wakes less often than a
start is due."""


class StartBucket(TokenBucket):
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
        super().__init__(rate=0.0, burst=1.0)
        self._tokens = 0.0
        self._filled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate; starts that are available remain so up to the new capacity."""
        self._fill(now)
        self.rate = rate
        self.burst = max(1.0, BURST_S * rate)
        self._tokens = min(self._tokens, self.burst)

    def available(self, now: float) -> float:
        """Return the number of available starts; negative after :meth:`charge`."""
        self._fill(now)
        return self._tokens

    def charge(self, now: float) -> None:
        """Take a start that was made in any case."""
        self._fill(now)
        self._tokens -= 1.0

    def wait_s(self, now: float) -> float:
        """Return the time until a start is available, seconds; infinite at a rate of zero."""
        if self.available(now) >= 1.0:
            return 0.0
        return super().wait_s(now) if self.rate else float("inf")
