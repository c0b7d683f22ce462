"""Clocks of a process; decision code receives the time as an argument."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable

TICK_S = 0.02
"""Time between two ticks while there is work, seconds."""

IDLE_TICK_S = 0.1
"""Time between two ticks while there is no work, seconds."""

IDLE_AFTER_S = 1.0
"""Time without work after which the longer interval applies, seconds."""


class Clock(ABC):
    """Monotonic clock and time of day."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary moment; never decreases."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock(Clock):
    """Clocks of the operating system."""

    def now(self) -> float:
        """Return seconds since an arbitrary moment; never decreases."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class SuspendedClock(SystemClock):
    """Clocks of the operating system, where the monotonic clock includes suspended time.

    Notes
    -----
    The usual monotonic clock stops while a VM is suspended. After resuming, a process would treat
    outdated updates as recent and accept API keys that were withdrawn meanwhile.
    """

    def now(self) -> float:
        """Return seconds since an arbitrary moment; never decreases."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


async def ticks(clock: Clock, is_busy: Callable[[], bool]) -> AsyncIterator[float]:
    """Yield the time at regular intervals, until cancelled.

    Parameters
    ----------
    clock : Clock
    is_busy : callable
        Returns whether anything waits for a point in time.

    Notes
    -----
    Fifty wake-ups a second alone cost an idle process most of a hundredth of a core, which is all
    that a node may spend on control. For work that arrives at an idle process the first tick may
    be up to ``IDLE_TICK_S`` away; what must happen immediately does not wait for a tick.
    """
    busy_at = clock.now()
    while True:
        now = clock.now()
        if is_busy():
            busy_at = now
        await asyncio.sleep(TICK_S if now - busy_at < IDLE_AFTER_S else IDLE_TICK_S)
        yield clock.now()
