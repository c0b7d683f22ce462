"""Round trips to other regions, measured from the time that connections take to open."""

from __future__ import annotations

import attrs

from ._region_map import RegionMap

UNMEASURED_WAY_S = 0.05
"""Round trip to another region before the first measurement, seconds: of the order of the distance
between regions of one continent. With 0, a process that has just started would send across as
readily as within its region."""

WINDOW_S = 30.0
"""Length of one of the two windows whose smallest value counts, seconds. The smallest of many
values has no queueing and no delay of a busy process in it; a longer route is noticed after at most
two windows."""

RETENTION_S = 120.0
"""Time for which a value counts without newer ones, seconds. A route that was long for a while
attracts no requests, so that nothing would measure that it is short again."""

REPORTED_RATIO = 1.5
"""Ratio between two round trips from which the change is reported."""


@attrs.frozen
class WayChange:
    """A round trip to a region that differs much from the one reported before.

    Parameters
    ----------
    region : str or None
    seconds : float
    previous_s : float or None
        None at the first measurement.
    """

    region: str | None
    seconds: float
    previous_s: float | None


@attrs.define
class _Window:
    """The smallest value of the current window, and that of the one before."""

    since: float
    smallest: float
    previous: float
    reported: float | None = None

    @property
    def value(self) -> float:
        return min(self.smallest, self.previous)


class RegionDelays:
    """The round trip to each region, beyond that within the own one.

    The time to open a connection is one round trip. Predictions are learnt from the answers of
    upstreams in the own region, so they include the round trip there; only the difference counts.

    Parameters
    ----------
    region_map : RegionMap

    Examples
    --------
    >>> delays = RegionDelays(RegionMap({"a": "north", "c": "south"}, "a"))
    >>> _ = delays.record_connect("south", 0.061, now=1.0)
    >>> _ = delays.record_connect("south", 0.075, now=1.1)
    >>> delays.way_s("south"), delays.way_s("north")
    (0.061, 0.0)
    """

    def __init__(self, region_map: RegionMap):
        self.region_map = region_map
        self._windows: dict[str | None, _Window] = {}
        self._ways: dict[str | None, float] = {region_map.own_region: 0.0}

    def record_connect(self, region: str | None, seconds: float, now: float) -> WayChange | None:
        """Record how long a connection to a region took to open.

        Returns
        -------
        WayChange or None
            A change that is worth a report.
        """
        window = self._windows.get(region)
        if window is None or now - window.since >= RETENTION_S:
            reported = window.reported if window else None
            window = _Window(now, seconds, float("inf"), reported)
            self._windows[region] = window
        elif now - window.since >= WINDOW_S:
            window.previous, window.smallest, window.since = window.smallest, seconds, now
        else:
            window.smallest = min(window.smallest, seconds)
        self._update_ways(now)
        value = window.value
        if region == self.region_map.own_region or not _differs(value, window.reported):
            return None
        previous, window.reported = window.reported, value
        return WayChange(region, value, previous)

    def way_s(self, region: str | None) -> float:
        """Return the round trip to a region beyond that within the own one, seconds."""
        return self._ways.get(region, UNMEASURED_WAY_S)

    def between_s(self, one: str | None, other: str | None) -> float:
        """Return the round trip between two regions, seconds.

        Between two other regions it is not measured; the longer way from here stands for it.
        """
        return 0.0 if one == other else max(self.way_s(one), self.way_s(other))

    def measured(self) -> dict[str, float]:
        """Return the ways to the other regions that have been measured."""
        own = self.region_map.own_region
        return {
            region: way_s
            for region, way_s in self._ways.items()
            if region is not None and region != own
        }

    def expire(self, now: float) -> None:
        """Forget values that are too old to count."""
        for region, window in list(self._windows.items()):
            if now - window.since >= RETENTION_S:
                del self._windows[region]
        self._update_ways(now)

    def _update_ways(self, now: float) -> None:
        own = self._windows.get(self.region_map.own_region)
        own_s = own.value if own is not None else 0.0
        self._ways = {
            region: max(0.0, window.value - own_s) for region, window in self._windows.items()
        }
        self._ways[self.region_map.own_region] = 0.0


def _differs(value: float, reported: float | None) -> bool:
    if reported is None:
        return True
    return not reported / REPORTED_RATIO <= value <= reported * REPORTED_RATIO
