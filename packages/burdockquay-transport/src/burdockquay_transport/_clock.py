"""The clocks of a process; decisions get their readings as an argument."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable

TICK_S = 0.02
"""Time between two ticks while there is work, seconds."""

IDLE_TICK_S = 0.1
"""Time between two ticks while there is none, seconds."""

IDLE_AFTER_S = 1.0
"""Time without work after which the ticks become rarer, seconds."""


class Clock(ABC):
    """A monotonic clock and the time of day."""

    @abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary moment; never goes back."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the epoch."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def now(self) -> float:
        """Return seconds since an arbitrary moment; never goes back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


class SuspendedClock(SystemClock):
    """The clocks of the operating system, with the time that the VM was suspended counted.

    Notes
    -----
    The monotonic clock stands still while a VM is suspended. A woken process would take old news
    for fresh and honour API keys that were withdrawn meanwhile.
    """

    def now(self) -> float:
        """Return seconds since an arbitrary moment; never goes back."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


async def ticks(clock: Clock, is_busy: Callable[[], bool]) -> AsyncIterator[float]:
    """Yield the time again and again, until cancelled.

    Parameters
    ----------
    clock : Clock
    is_busy : callable
        Returns whether anything waits for a moment in time.

    Notes
    -----
    Fifty wake-ups a second alone cost an idle process most of a hundredth of a core, which is all
    that a node may spend on control. Work that arrives in an idle process finds the first tick up
    to ``IDLE_TICK_S`` away; what must happen at once does not wait for a tick.
    """
    busy_at = clock.now()
    while True:
        now = clock.now()
        if is_busy():
            busy_at = now
        await asyncio.sleep(TICK_S if now - busy_at < IDLE_AFTER_S else IDLE_TICK_S)
        yield clock.now()
