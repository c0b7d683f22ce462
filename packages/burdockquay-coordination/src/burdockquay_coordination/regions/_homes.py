"""Regions in which the requests of a route or an organisation may be served."""

from __future__ import annotations

import attrs

from ._region_map import RegionMap


@attrs.frozen(eq=False)
class Homes:
    """The regions in which a request may be served, cached and stored.

    Instances compare by identity: the requests of a route and an organisation share one.

    Parameters
    ----------
    regions : frozenset of str
        Empty if nothing may serve the request.
    region_map : RegionMap
    """

    regions: frozenset[str]
    region_map: RegionMap = attrs.field(repr=False)

    def allowed(self, region: str | None) -> bool:
        """Return whether a region is inside; no region is outside of all homes."""
        return region in self.regions

    def allows_domain(self, domain: str) -> bool:
        """Return whether a failure domain lies inside."""
        return self.region_map.region_of(domain) in self.regions

    def describe(self) -> str:
        """Return the regions as text."""
        return ",".join(sorted(self.regions)) or "none"


def intersect_homes(
    one: frozenset[str] | None, other: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that both lists allow; None is a list that allows all.

    Examples
    --------
    >>> intersect_homes(frozenset({"north"}), None)
    frozenset({'north'})
    >>> intersect_homes(frozenset({"north"}), frozenset({"south"}))
    frozenset()
    """
    if one is None or other is None:
        return other if one is None else one
    return one & other
