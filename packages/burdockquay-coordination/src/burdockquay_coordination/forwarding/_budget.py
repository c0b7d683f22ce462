"""A retry budget that holds for all forwarders together without messages between them."""

from __future__ import annotations

from collections import deque

BUCKET_S = 0.25
"""Width of the buckets in which requests are counted, seconds; a fortieth of the usual
``window_s``, so that the window slides almost smoothly while a process keeps only some forty
counts."""


class RetryWindow:
    """Sliding window of first sends and retries to one service.

    The retries of each process are limited to a share of the requests that it received itself.
    Added up, the retries of all processes are within the same share of all requests, so that the
    limit holds for the whole system although processes do not know each other. The allowance beyond
    the share is divided by the number of processes that may exist.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request of the window.
    burst : float
        Retries allowed in a window beyond the ratio, at this process.
    window_s : float
        Length of the window, seconds.
    """

    def __init__(self, ratio: float, burst: float, window_s: float):
        self.ratio = ratio
        self.burst = burst
        self.window_s = window_s
        self._buckets: deque[list[float]] = deque()  # [start, requests, retries]
        self._requests = 0.0
        self._retries = 0.0

    @property
    def requests(self) -> float:
        """Number of requests in the window."""
        return self._requests

    @property
    def retries(self) -> float:
        """Number of retries in the window."""
        return self._retries

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._bucket(now)[1] += 1
        self._requests += 1

    def try_retry(self, now: float) -> bool:
        """Count a retry if the budget allows it, and return whether it does."""
        bucket = self._bucket(now)
        if self._retries + 1 > self.ratio * self._requests + self.burst:
            return False
        bucket[2] += 1
        self._retries += 1
        return True

    def _bucket(self, now: float) -> list[float]:
        while self._buckets and self._buckets[0][0] <= now - self.window_s - BUCKET_S:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append([now, 0, 0])
        return self._buckets[-1]
