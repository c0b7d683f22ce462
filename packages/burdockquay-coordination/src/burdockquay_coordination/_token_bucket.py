"""Token bucket, which limits a rate and allows short bursts."""

from __future__ import annotations

import math


class TokenBucket:
    """Token bucket: limits a rate and allows short bursts.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    burst : float
        Capacity, tokens.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2.0, burst=1.0)
    >>> bucket.take(0.0), bucket.take(0.0), bucket.take(0.5)
    (True, False, True)
    """

    def __init__(self, rate: float, burst: float):
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._filled_at = -math.inf

    def wait_s(self, now: float) -> float:
        """Return the time until a token is available, seconds."""
        self._fill(now)
        return max(0.0, (1.0 - self._tokens) / self.rate)

    def take(self, now: float) -> bool:
        """Take a token; return False if none is available."""
        self._fill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _fill(self, now: float) -> None:
        if now > self._filled_at:
            self._tokens = min(self.burst, self._tokens + (now - self._filled_at) * self.rate)
            self._filled_at = now
