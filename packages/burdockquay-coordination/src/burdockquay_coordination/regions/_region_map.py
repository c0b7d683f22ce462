"""The regions in which failure domains lie."""

from __future__ import annotations

from collections.abc import Mapping


class RegionMap:
    """The region of each failure domain, as seen from one process.

    Parameters
    ----------
    regions : mapping of str to str
        Region of each failure domain. A domain that is not named has no region.
    own_domain : str
        Failure domain of this process.

    Examples
    --------
    >>> regions = RegionMap({"a": "north", "b": "north", "c": "south"}, "a")
    >>> [regions.ring(domain) for domain in ("a", "b", "c", "elsewhere")]
    [0, 1, 2, 2]
    """

    def __init__(self, regions: Mapping[str, str], own_domain: str):
        self._regions = dict(regions)
        self._own_domain = own_domain
        self.names = frozenset(self._regions.values())
        self.own_region = self._regions.get(own_domain)
        self.has_several = len(self.names) > 1

    def region_of(self, domain: str) -> str | None:
        """Return the region of a failure domain, None if it has none."""
        return self._regions.get(domain)

    def ring(self, domain: str) -> int:
        """Return 0 for the own failure domain, 1 for the own region, 2 for any other.

        All domains without a region count as one more region, so a process without one finds them
        in its own.
        """
        if domain == self._own_domain:
            return 0
        return 1 if self._regions.get(domain) == self.own_region else 2


SINGLE_REGION = RegionMap({}, "")
"""The map of a deployment whose settings name no regions."""
