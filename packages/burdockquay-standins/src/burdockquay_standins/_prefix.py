"""Prompt prefix cache of an engine, and the events that it publishes late and with gaps."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs

EVENTS_KEPT = 4096


@attrs.frozen
class CacheEvent:
    """A block was stored in or evicted from the cache.

    Parameters
    ----------
    sequence : int
        Number of the event, from 1; numbers are missing where events were lost.
    kind : str
        ``"stored"`` or ``"evicted"``.
    block : str
        Hexadecimal digest of the block.
    at : float
        When it happened, seconds.
    """

    sequence: int
    kind: str
    block: str
    at: float


class PrefixCache:
    """Least-recently-used cache over blocks of prompts.

    Parameters
    ----------
    capacity : int
        Blocks that fit.
    event_lag_s : float
        Age at which an event is published, seconds.
    event_loss : float
        Part of the events that are never published.
    rng : random.Random
    """

    def __init__(self, capacity: int, event_lag_s: float, event_loss: float, rng: random.Random):
        self.capacity = capacity
        self.event_lag_s = event_lag_s
        self.event_loss = event_loss
        self.rng = rng
        self._blocks: OrderedDict[bytes, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)
        self._sequence = 0

    def admit(self, blocks: Sequence[bytes], now: float) -> int:
        """Store the blocks of a prompt and return how many leading ones were there already."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in blocks:
            self._touch(block, now)
        return hits

    def clear(self) -> None:
        """Forget every block, as a crash does."""
        self._blocks.clear()

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the published events behind number ``after``."""
        newest = now - self.event_lag_s
        return [event for event in self._events if event.sequence > after and event.at <= newest]

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
