"""A retry budget that holds for all forwarders together without messages between them."""

from __future__ import annotations

from collections import deque

BUCKET_S = 0.25
"""Width of the buckets in which requests are counted, seconds; a fortieth of the usual
``window_s``, so that the window slides almost smoothly while a process keeps only some forty
counts."""

ROUNDING = 1e-6
"""Tolerance for sums of fractions of a retry."""

SAVED_SHARE = 0.5
"""Share of a process's part of the constant number that it can save. It earns the rest in each
window."""

URGENT_RESERVE_SHARE = 0.5
"""Share of what a process can save beyond one retry that only the most urgent requests may use."""


class SharedRetryBudget:
    """One process's part of the retry budget of a service.

    All processes together may send a share of their requests again in any window, and a constant
    number beyond it. Each process has an even part of the constant number. It earns retries by its
    requests and by time, and saves some of them; what it earns in a window by time and what it has
    saved before are its part. A process begins with nothing saved, and what it has saved is lost
    when it ends. So the bound holds whichever processes end, restart or take over the callers of
    others.

    Parameters
    ----------
    ratio : float
        Retries earned by each request.
    window_s : float
        Length of the window of the budget, seconds.
    now : float
        When the process started.

    Notes
    -----
    A process must save one whole retry to send any, even if its part is less. The window bounds its
    retries in that case. Only processes that end just after they have used a saved retry can then
    exceed the budget, by less than one retry each.

    Examples
    --------
    >>> budget = SharedRetryBudget(ratio=0.5, window_s=10.0, now=0.0)
    >>> budget.set_burst(4.0, now=0.0)
    >>> budget.record_request(now=0.0); budget.record_request(now=0.0)
    >>> budget.try_retry(now=0.0), budget.try_retry(now=0.0)
    (True, False)
    >>> [budget.try_retry(now=10.0) for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, ratio: float, window_s: float, now: float):
        self.ratio = ratio
        self.window_s = window_s
        self._burst: float | None = None
        self._saved = 0.0
        self._earned_until = now
        self._buckets: deque[list[float]] = deque()  # [start, requests, retries]
        self._requests = 0.0
        self._retries = 0.0

    @property
    def burst(self) -> float | None:
        """This process's part of the constant number; None while it is unknown."""
        return self._burst

    @property
    def saved(self) -> float:
        """Retries that are saved."""
        return self._saved

    @property
    def requests(self) -> float:
        """Number of requests in the window."""
        return self._requests

    @property
    def retries(self) -> float:
        """Number of retries in the window."""
        return self._retries

    @property
    def _capacity(self) -> float:
        """Largest number of saved retries."""
        return 0.0 if self._burst is None else max(1.0, SAVED_SHARE * self._burst)

    def set_burst(self, burst: float | None, now: float) -> None:
        """Set this process's part of the constant number, None while it is unknown."""
        self._earn(now)
        self._burst = burst
        # Time before the first part was known counts for it.
        self._earn(now)
        self._saved = min(self._saved, self._capacity)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._bucket(now)[1] += 1
        self._requests += 1
        self._earn(now)
        self._saved = min(self._capacity, self._saved + self.ratio)

    def may_retry(self, now: float, is_urgent: bool = True) -> bool:
        """Return whether the budget allows a retry.

        Parameters
        ----------
        now : float
        is_urgent : bool
            Whether no request to the service is more urgent.
        """
        self._bucket(now)
        self._earn(now)
        kept = 0.0 if is_urgent else URGENT_RESERVE_SHARE * max(0.0, self._capacity - 1.0)
        if self._saved + ROUNDING < 1.0 + kept:
            return False
        allowed = self.ratio * self._requests + (self._burst or 0.0)
        return self._retries + 1 <= allowed + ROUNDING

    def try_retry(self, now: float, is_urgent: bool = True) -> bool:
        """Withdraw a retry if the budget allows it, and return whether it does."""
        if not self.may_retry(now, is_urgent):
            return False
        self._bucket(now)[2] += 1
        self._retries += 1
        self._saved -= 1.0
        return True

    def _earn(self, now: float) -> None:
        """Add what was earned by time."""
        if self._burst is not None:
            per_s = max(0.0, self._burst - self._capacity) / self.window_s
            earned = per_s * max(0.0, now - self._earned_until)
            self._saved = min(self._capacity, self._saved + earned)
            self._earned_until = now

    def _bucket(self, now: float) -> list[float]:
        while self._buckets and self._buckets[0][0] <= now - self.window_s - BUCKET_S:
            _, requests, retries = self._buckets.popleft()
            self._requests -= requests
            self._retries -= retries
        if not self._buckets or now - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append([now, 0, 0])
        return self._buckets[-1]
