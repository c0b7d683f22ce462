"""Prompt prefix cache of an engine, and its events, which are published late and with gaps."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs

MAX_KEPT_EVENTS = 4096


@attrs.frozen
class CacheEvent:
    """Event for a block that was stored in or evicted from the cache.

    Parameters
    ----------
    sequence : int
        Number of the event, counted from 1; numbers are missing where events were dropped.
    kind : str
        ``"stored"`` or ``"evicted"``.
    block : str
        Hexadecimal digest of the block.
    at : float
        Time of the event, seconds.
    """

    sequence: int
    kind: str
    block: str
    at: float


class PrefixCache:
    """Least-recently-used cache of prompt blocks.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    event_lag_s : float
        Age at which an event is published, seconds.
    event_loss : float
        Probability that an event is never published.
    rng : random.Random
    """

    def __init__(self, capacity: int, event_lag_s: float, event_loss: float, rng: random.Random):
        self.capacity = capacity
        self.event_lag_s = event_lag_s
        self.event_loss = event_loss
        self.rng = rng
        self._blocks: OrderedDict[bytes, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_KEPT_EVENTS)
        self._sequence = 0

    def admit(self, blocks: Sequence[bytes], now: float) -> int:
        """Store the blocks of a prompt and return how many leading blocks were cached already."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in blocks:
            self._touch(block, now)
        return hits

    def clear(self) -> None:
        """Drop all blocks, as after a crash; no events are published for them."""
        self._blocks.clear()

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the published events with numbers above ``after``."""
        published_until = now - self.event_lag_s
        return [
            event
            for event in self._events
            if event.sequence > after and event.at <= published_until
        ]

    def _touch(self, block: bytes, now: float) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._publish("stored", block, now)
        if len(self._blocks) > self.capacity:
            oldest, _ = self._blocks.popitem(last=False)
            self._publish("evicted", oldest, now)

    def _publish(self, kind: str, block: bytes, now: float) -> None:
        self._sequence += 1
        if self.rng.random() >= self.event_loss:
            self._events.append(CacheEvent(self._sequence, kind, block.hex(), now))
