"""At how many cold upstreams a process asks for starts for the requests that wait."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from typing import TypeVar

FIRST_ASKS = 1.0
DOUBLING_S = 0.3
"""Starts that are asked for per request at first, and time in which that number doubles while
requests wait, seconds: in the end they ask at all upstreams of a service, so that the starts of
none of them remain unused. With 2 starts and 0.1 s, more are granted in vain and requests wait
longer."""

TURN_S = 0.25
"""Time for which a process asks at the same upstreams, seconds: as long as a request counts as
wanting a start. Otherwise the requests of this time would be asked for at more and more of them."""

PAUSE_S = 0.3
"""Time without waiting requests after which the number starts again, seconds: longer than the
longest time between two asks of a plain request that waits."""

Item = TypeVar("Item")


class StartAsks:
    """Spreads the starts that the requests of a service ask for over its cold upstreams.

    If each request asked for a start at every cold upstream, a process would be granted many for
    one request, use one, and let the others lapse while requests wait at other processes.

    Parameters
    ----------
    rng : random.Random

    Examples
    --------
    >>> asks = StartAsks(random.Random(1))
    >>> len(asks.spread(list(range(60)), {0: 3}, is_waiting=True, now=0.0))
    3
    >>> len(asks.spread(list(range(60)), {0: 3}, is_waiting=True, now=0.25))
    6
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self._began_at = float("-inf")
        self._waited_at = float("-inf")
        self._turned_at = float("-inf")
        self._offset = 0.0

    def spread(
        self, items: Sequence[Item], counts: Mapping[int, int], is_waiting: bool, now: float
    ) -> list[tuple[Item, int, int]]:
        """Return the upstreams to ask, each with the rank and the number of starts.

        Parameters
        ----------
        items : sequence
            The cold upstreams.
        counts : mapping of int to int
            Number of requests, by rank.
        is_waiting : bool
            Whether the requests wait, rather than have just arrived.
        now : float
        """
        if not items or not counts:
            return []
        if now - self._waited_at > PAUSE_S:
            self._began_at = now
        if is_waiting:
            self._waited_at = now
        if now - self._turned_at >= TURN_S:
            self._turned_at, self._offset = now, self.rng.random()
        first = int(self._offset * len(items))
        turned = [*items[first:], *items[:first]]
        asks = FIRST_ASKS * 2.0 ** min(20.0, (now - self._began_at) / DOUBLING_S)
        found = []
        for rank, count in counts.items():
            total = math.ceil(count * asks)
            chosen = turned[:total]
            each = min(count, math.ceil(total / len(chosen)))
            found += [(item, rank, each) for item in chosen]
        return found
