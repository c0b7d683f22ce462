"""Number of processes among which a process divides a bound on all of them together."""

from __future__ import annotations

from collections import deque

DEFAULT_MEMORY_S = 20.0
"""Time for which a larger number is remembered unless a bound has a longer window, seconds."""

JOINING_PROCESSES = 1
"""Processes that may have joined and that others do not know of yet."""

MAX_LIST_AGE_S = 20.0
"""Age from which a list of processes counts as outdated, seconds: processes confirm it every ten to
fifteen seconds."""

OUTDATED_FACTOR = 2
"""Factor on the number of processes in an outdated list: some may have joined since."""


class FleetSize:
    """Number of processes that divide a bound, as one of them knows it.

    The bound is kept if no process divides it by too few. A number that increases is used at once.
    A number that decreases is used after a while, since a process that is no longer listed may have
    used its part just before.

    Parameters
    ----------
    memory_s : float
        Time for which a larger number is remembered, seconds; the window of the bound at least.

    Examples
    --------
    >>> size = FleetSize(memory_s=10.0)
    >>> size.set_alone(False)
    >>> size.update(28, as_of=0.0, now=0.0)
    >>> size.count(0.0), size.divisor(0.0)
    (28, 29)
    >>> size.update(2, as_of=3.0, now=3.0)
    >>> size.count(13.0), size.count(13.1), size.count(30.0)
    (28, 2, 4)
    """

    def __init__(self, memory_s: float = DEFAULT_MEMORY_S):
        self.memory_s = memory_s
        self.listed = 1
        self._is_alone = True
        self._is_known = False
        self._confirmed_at = float("-inf")
        self._larger: deque[tuple[int, float]] = deque()  # (count, last time), largest first

    @property
    def is_alone(self) -> bool:
        """Whether the process connects to no others."""
        return self._is_alone

    def set_alone(self, is_alone: bool) -> None:
        """Set whether the process connects to no others; it then counts as the only one."""
        self._is_alone = is_alone

    def update(self, listed: int, as_of: float, now: float) -> None:
        """Apply a reading of the list.

        Parameters
        ----------
        listed : int
            Number of processes in the list.
        as_of : float
            Time at which the list was valid.
        now : float
        """
        self._is_known = True
        if listed < self.listed:
            while self._larger and self._larger[-1][0] <= self.listed:
                self._larger.pop()
            self._larger.append((self.listed, now))
        self.listed = listed
        self._confirmed_at = max(self._confirmed_at, as_of)

    def divisor(self, now: float) -> int | None:
        """Return the number to divide a bound by, None if it is not known yet."""
        count = self.count(now)
        return count if self._is_alone or count is None else count + JOINING_PROCESSES

    def count(self, now: float) -> int | None:
        """Return the number of processes that may use a part, None if it is not known yet."""
        if self._is_alone:
            return 1
        if not self._is_known:
            return None
        while self._larger and now > self._larger[0][1] + self.memory_s:
            self._larger.popleft()
        known = max(self.listed, self._larger[0][0] if self._larger else 1, 1)
        is_outdated = now > self._confirmed_at + MAX_LIST_AGE_S
        return known * OUTDATED_FACTOR if is_outdated and known > 1 else known
