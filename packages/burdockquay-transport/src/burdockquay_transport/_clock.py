"""The clocks of a process; decisions get their readings as an argument."""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


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
