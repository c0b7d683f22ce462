"""A value that readers see with a delay."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")


class Lagged(Generic[T]):
    """A value that is read as it was some time ago.

    Parameters
    ----------
    initial : object
        Value that readers see until the first recorded value is old enough.
    lag_s : float
        Age of the state that readers see, seconds.

    Examples
    --------
    >>> load = Lagged(0, lag_s=2.0)
    >>> load.record(5, now=10.0)
    >>> load.read(now=11.0), load.read(now=12.0)
    (0, 5)
    """

    def __init__(self, initial: T, lag_s: float):
        self.initial = initial
        self.lag_s = lag_s
        self._visible = initial
        self._history: deque[tuple[float, T]] = deque()

    def record(self, value: T, now: float) -> None:
        """Set the value at time ``now``, seconds."""
        self._expire(now)
        self._history.append((now, value))

    def read(self, now: float) -> T:
        """Return the value as it was ``lag_s`` before ``now``."""
        self._expire(now)
        return self._visible

    def _expire(self, now: float) -> None:
        while self._history and self._history[0][0] <= now - self.lag_s:
            self._visible = self._history.popleft()[1]
