"""Tick intervals of a busy and an idle process."""

import asyncio

from burdockquay_transport import _clock
from burdockquay_transport._clock import IDLE_AFTER_S, IDLE_TICK_S, TICK_S, Clock, ticks


class ManualClock(Clock):
    time = 0.0

    def now(self):
        return self.time

    def wall(self):
        return self.time


async def test_ticks_become_rare_only_after_an_idle_period(monkeypatch):
    """An idle process that woke as often as a busy one would waste processor time.

    A process that woke rarely between two requests of a burst would serve the second one late.
    """
    clock, waits, busy = ManualClock(), [], [True] * 3 + [False] * 200

    async def sleep(seconds):
        clock.time += seconds
        waits.append(seconds)

    monkeypatch.setattr(_clock.asyncio, "sleep", sleep)
    remaining = iter(busy)
    try:
        async for _ in ticks(clock, lambda: next(remaining)):
            pass
    except (StopIteration, RuntimeError):
        pass
    quick = round(IDLE_AFTER_S / TICK_S)
    assert set(waits[: 2 + quick]) == {TICK_S}
    assert set(waits[4 + quick :]) == {IDLE_TICK_S}
    assert asyncio.sleep is sleep
