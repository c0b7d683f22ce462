"""Regions: where failure domains lie, where requests may be served, and how far regions are."""

from ._homes import Homes, intersect_homes
from ._region_delays import RegionDelays, WayChange
from ._region_map import SINGLE_REGION, RegionMap

__all__ = [
    "Homes",
    "RegionDelays",
    "RegionMap",
    "SINGLE_REGION",
    "WayChange",
    "intersect_homes",
]
