"""Which processes may relay loads and outcomes to which others."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from ..regions import RegionMap
from ._load_relay import split_by_domain
from ._ranking import rank_processes


@attrs.frozen
class RelayGroups:
    """Candidates for the relays that one process knows, each list in order of preference.

    Parameters
    ----------
    own : sequence of str
        Processes of the own failure domain, this one included.
    far : mapping of str to sequence of str
        Processes of other failure domains that exchange with the own one directly, by domain.
    across : mapping of str to sequence of str
        Processes of other regions that exchange with the own region, by region.
    is_gateway : bool
        Whether the relay of the own failure domain exchanges with the other regions.
    """

    own: Sequence[str]
    far: Mapping[str, Sequence[str]]
    across: Mapping[str, Sequence[str]] = attrs.field(factory=dict)
    is_gateway: bool = False


def group_relays(
    me: str,
    own_domain: str,
    domains: Mapping[str, str],
    region_map: RegionMap | None = None,
    slow: Collection[str] = (),
) -> RelayGroups:
    """Return the candidates for relays.

    Parameters
    ----------
    me : str
    own_domain : str
    domains : mapping of str to str
        Failure domain of each connected process.
    region_map : RegionMap or None
        None if the failure domains of all regions exchange directly.
    slow : collection of str
        Processes whose links do not suit a relay; they come last in their failure domain.

    Notes
    -----
    Every region has one domain whose relay is its gateway: the first in an order that is the same
    at all processes. If its processes disconnect, the next domain follows.

    Examples
    --------
    >>> regions = RegionMap({"a": "north", "b": "north", "c": "south", "d": "south"}, "a")
    >>> groups = group_relays("p", "a", {"q": "b", "r": "c", "s": "d"}, regions)
    >>> sorted(groups.far), {region: sorted(names) for region, names in groups.across.items()}
    (['b'], {'south': ['r', 's']})
    """
    by_domain = split_by_domain(domains)
    own = _rank_relays([me, *by_domain.pop(own_domain, [])], slow)
    ranked = {domain: _rank_relays(names, slow) for domain, names in by_domain.items()}
    if region_map is None:
        return RelayGroups(own, ranked)
    by_region: dict[str, list[str]] = defaultdict(list)
    for domain in rank_processes("gateway", [own_domain, *ranked]):
        by_region[_region_of(domain, region_map)].append(domain)
    near_domains = by_region.pop(_region_of(own_domain, region_map))
    across = {
        region: [name for domain in found for name in ranked[domain]]
        for region, found in by_region.items()
    }
    far = {domain: ranked[domain] for domain in near_domains if domain != own_domain}
    return RelayGroups(own, far, across, near_domains[0] == own_domain)


def _rank_relays(names: Iterable[str], slow: Collection[str]) -> list[str]:
    return sorted(rank_processes("relay", names), key=lambda name: name in slow)


def _region_of(domain: str, region_map: RegionMap) -> str:
    """Return the region of a domain; one without a region is a region of its own."""
    return region_map.region_of(domain) or f"of {domain}"
