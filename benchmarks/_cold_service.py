"""Upstreams that bear few requests while they are cold, and what one queue could serve there."""

from __future__ import annotations

import bisect
from collections import deque
from collections.abc import Callable, Collection, Iterable

from burdockquay_coordination.forwarding import ListedUpstream

COLD_PER_S = 11.0
WARM_PER_S = 20.0
"""Requests per second that an upstream serves when it is cold and when it is warm."""

PATIENCE_S = 5.0
TICK_S = 0.05


class Server:
    """An upstream: its run, until when it is cold, and what arrives."""

    def __init__(self, number: int):
        self.id = f"u{number}"
        self.run = 0
        self.entry: ListedUpstream | None = None
        self.listed_at = float("inf")
        self.spells: list[tuple[float, float]] = []
        self.free_at = 0.0
        self.arrivals: list[float] = []
        self.cold_arrivals: list[float] = []

    @property
    def incarnation(self) -> str:
        """Name of its run."""
        return f"{self.id}@{self.run}"

    def cold_s(self, now: float) -> float:
        """Return how long it is cold from a time on, seconds."""
        return max((end - now for begin, end in self.spells if begin <= now < end), default=0.0)

    def seconds_over(self, bound: float) -> int:
        """Return the seconds in which more arrived within a second, while cold, than a bound."""
        times = self.cold_arrivals
        first = [bisect.bisect_right(times, at - 1.0) for at in times]
        return len({int(at) for n, at in enumerate(times) if n + 1 - first[n] > bound})


def serve_ideally(
    servers: Collection[Server],
    moments: Iterable[float],
    begun: float,
    seconds: float,
    is_down: Callable[[float], bool],
) -> int:
    """Return how many requests one queue that knows all would have served.

    Parameters
    ----------
    servers : collection of Server
    moments : iterable of float
        When requests arrive.
    begun, seconds : float
        Beginning and duration.
    is_down : callable
        Returns whether no process runs at a time.
    """
    waiting: deque[float] = deque()
    arrivals = deque(moments)
    credits = {item.id: 0.0 for item in servers}
    served, now = 0, begun
    while (now := now + TICK_S) < begun + seconds:
        while arrivals and arrivals[0] <= now:
            waiting.append(arrivals.popleft())
        if is_down(now):
            continue
        for server in servers:
            if now < server.listed_at:
                continue
            gained = TICK_S * (COLD_PER_S if server.cold_s(now) else WARM_PER_S)
            credits[server.id] = min(credits[server.id] + gained, 1.0 + gained)
            while waiting and credits[server.id] >= 1.0:
                if now - waiting.popleft() <= PATIENCE_S:
                    credits[server.id] -= 1.0
                    served += 1
    return served
