"""Detection that callers of many processes have come to one."""

from __future__ import annotations

from collections import deque

TARGET_DELAY_S = 0.05
"""Time for which requests wait unread while a process is behind, seconds: a part of the
tightest latency targets."""

INTERVAL_S = 0.15
"""Time for which all requests must have waited so long, seconds. A process that is behind for a
moment reads some requests sooner."""

CROWDED_FACTOR = 2.0
"""Share of the requests of all processes from which one has too many, as a multiple of an even
share."""


class Crowding:
    """Decides whether a process should close new connections, so that their callers go elsewhere.

    A process that gets most of the connections is behind with reading while others have time. What
    it has read it must serve, in time. A connection that is closed before its request is read costs
    its caller a round trip: clients try such requests again at another process.

    If all processes were behind, closing connections would only move requests around. So this
    process must also have far more requests than the others.

    Examples
    --------
    >>> crowding = Crowding()
    >>> for tenth in range(6):
    ...     crowding.record_read(0.4, now=tenth / 10)
    >>> crowding.is_crowded(own=30, elsewhere=6, processes=4, now=0.5)
    True
    >>> crowding.is_crowded(own=30, elsewhere=90, processes=4, now=0.5)
    False
    """

    def __init__(self):
        self._reads: deque[tuple[float, float]] = deque()

    def record_read(self, waited_s: float, now: float) -> None:
        """Record that a request was read, and how long it had waited for that."""
        self._reads.append((now, waited_s))
        self._forget(now)

    def is_crowded(self, own: int, elsewhere: int, processes: int, now: float) -> bool:
        """Return whether new connections should be closed.

        Parameters
        ----------
        own, elsewhere : int
            Requests in progress of this process, and of the others.
        processes : int
            Number of processes that are in touch, this one included.
        now : float
        """
        if processes < 2 or not self.is_behind(now):
            return False
        return own * processes >= CROWDED_FACTOR * (own + elsewhere)

    def is_behind(self, now: float) -> bool:
        """Return whether all requests of the last interval, and some of its beginning, waited."""
        self._forget(now)
        if not self._reads or self._reads[0][0] > now - INTERVAL_S / 2:
            return False
        return all(waited_s > TARGET_DELAY_S for _, waited_s in self._reads)

    def _forget(self, now: float) -> None:
        while self._reads and self._reads[0][0] < now - INTERVAL_S:
            self._reads.popleft()
