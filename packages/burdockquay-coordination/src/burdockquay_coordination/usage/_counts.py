"""Counts of the requests that began to run, by organisation and window of the time of day."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

import attrs

KEPT_WINDOWS = 12
"""Number of windows whose counts are kept: a minute at the usual length of five seconds."""

WindowCounts = Mapping[str, int]
"""Requests of one window by organisation."""


class UsageCounter:
    """Counts the requests of this process.

    Counts are cumulative for each window, so that receivers can apply them repeatedly.

    Parameters
    ----------
    window_s : float
        Length of a window, seconds; window 0 begins at the start of 1970.
    time_of_day : float
        Start of counting. Windows from then on are counted, also those without requests.

    Examples
    --------
    >>> counter = UsageCounter(5.0, time_of_day=100.0)
    >>> counter.add("one", time_of_day=104.9)
    >>> counter.windows(time_of_day=105.1)
    {20: {'one': 1}, 21: {}}
    """

    def __init__(self, window_s: float, time_of_day: float):
        self.window_s = window_s
        self._first = self.window_at(time_of_day)
        self._counts: dict[int, Counter[str]] = {}

    def window_at(self, time_of_day: float) -> int:
        """Return the number of the window at a time."""
        return int(time_of_day // self.window_s)

    def add(self, organisation: str, time_of_day: float) -> None:
        """Count one request that began to run at a time."""
        window = self.window_at(time_of_day)
        self._counts.setdefault(window, Counter())[organisation] += 1

    def windows(self, time_of_day: float) -> dict[int, dict[str, int]]:
        """Return the counts of the latest windows, and forget older ones."""
        newest = self.window_at(time_of_day)
        first = max(self._first, newest - KEPT_WINDOWS + 1)
        self._counts = {window: item for window, item in self._counts.items() if window >= first}
        return {
            window: dict(self._counts.get(window, {}))
            for window in sorted({*range(first, newest + 1), *self._counts})
        }


@attrs.define
class _Source:
    """Counts of one process.

    Parameters
    ----------
    windows : dict of int to dict of str to int
    complete_until : float
        Time of day until which the counts are complete.
    """

    windows: dict[int, dict[str, int]] = attrs.field(factory=dict)
    complete_until: float = float("-inf")


class UsageLedger:
    """Counts of all processes, added up for the reports.

    Each process sends cumulative counts. Applying a message twice, or an older one after a newer
    one, does not change the result. The counts of a process that has ended are kept.

    Examples
    --------
    >>> ledger = UsageLedger()
    >>> ledger.record("a", {20: {"one": 2}}, complete_until=104.0)
    >>> ledger.record("b", {20: {"one": 1, "two": 1}}, complete_until=106.0)
    >>> ledger.totals(20), ledger.first_window
    ({'one': 3, 'two': 1}, 20)
    >>> ledger.is_complete(100.0, 104.0, ["b"]), ledger.is_complete(100.0, 105.0, ["b"])
    (True, False)
    """

    def __init__(self):
        self._sources: dict[str, _Source] = {}

    @property
    def first_window(self) -> int | None:
        """Earliest window of which there are counts, None if there is none."""
        windows = (min(item.windows) for item in self._sources.values() if item.windows)
        return min(windows, default=None)

    def record(
        self, source: str, windows: Mapping[int, WindowCounts], complete_until: float
    ) -> None:
        """Apply the cumulative counts of a process.

        Parameters
        ----------
        source : str
            Incarnation of the process.
        windows : mapping of int to mapping of str to int
        complete_until : float
            Time of day until which the counts are complete, seconds since 1970.
        """
        known = self._sources.setdefault(source, _Source())
        known.complete_until = max(known.complete_until, complete_until)
        for window, counts in windows.items():
            held = known.windows.setdefault(window, {})
            for organisation, count in counts.items():
                held[organisation] = max(count, held.get(organisation, 0))

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of a window, added up over all processes."""
        total: Counter[str] = Counter()
        for source in self._sources.values():
            total.update(source.windows.get(window, {}))
        return {organisation: count for organisation, count in total.items() if count}

    def is_complete(self, since: float, until: float, expected: Collection[str]) -> bool:
        """Return whether the counts of a span of time are complete.

        Parameters
        ----------
        since, until : float
            Times of day, seconds since 1970.
        expected : collection of str
            Processes that are connected. Those that have reported in the span and are not connected
            any more count as well: they may still serve callers.
        """
        reported = [name for name, item in self._sources.items() if item.complete_until >= since]
        return all(
            name in self._sources and self._sources[name].complete_until >= until
            for name in {*expected, *reported}
        )

    def forget_before(self, window: int) -> None:
        """Forget the windows before one, and the processes that have no later ones."""
        for source in self._sources.values():
            source.windows = {
                number: counts for number, counts in source.windows.items() if number >= window
            }
        self._sources = {name: item for name, item in self._sources.items() if item.windows}
