"""Look-ups in one version of the configuration."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterator

from ..regions import SINGLE_REGION, Homes, RegionMap, intersect_homes
from ._config import CallerOrganisation, ForwardConfig, ForwardRoute, ServiceTargets
from ._urgency import request_priority, urgency_level


class ConfigDirectory:
    """Finds routes by host and path and organisations by key.

    Parameters
    ----------
    config : ForwardConfig
    region_map : RegionMap
    """

    def __init__(self, config: ForwardConfig, region_map: RegionMap = SINGLE_REGION):
        self.config = config
        self.region_map = region_map
        self._routes = {(route.host, route.prefix): route for route in config.routes}
        self._targets: dict[str, ServiceTargets] = {}
        for route in config.routes:
            for share in route.shares:
                known = self._targets.get(share.service, ServiceTargets())
                self._targets[share.service] = known.with_route(route)
        self._organisations = {
            api_key: organisation
            for organisation in config.organisations or ()
            for api_key in organisation.api_keys
        }
        self._organisation_homes = {item.name: item.homes for item in config.organisations or ()}
        self._homes: dict[frozenset[str], Homes] = {}
        self._names_homes = any(
            item.homes is not None for item in (*config.routes, *(config.organisations or ()))
        )

    @property
    def names_homes(self) -> bool:
        """Whether any route or organisation is limited to some regions."""
        return self._names_homes

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not anonymous require a key."""
        return self.config.organisations is not None

    def find_route(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of a host with the longest prefix that matches the path.

        Parameters
        ----------
        host : str
            ``Host`` header, with or without a port.
        path : str
            Path as the caller sent it, percent-encoded, without a query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        name = name.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def route_at(self, host: str, prefix: str) -> ForwardRoute | None:
        """Return the route of exactly a host and a prefix."""
        return self._routes.get((host, prefix))

    def targets(self, service: str) -> ServiceTargets:
        """Return the combined targets of the routes to a service."""
        return self._targets.get(service, ServiceTargets())

    def homes(
        self, host: str, path: str, organisation: str | None, admitted: ForwardRoute
    ) -> Homes | None:
        """Return the regions in which a request may be served now, None for any.

        Parameters
        ----------
        host, path : str
            As for :meth:`find_route`.
        organisation : str or None
        admitted : ForwardRoute
            The route at the admission of the request. Its homes apply, too, as they are now: a
            configuration that lacks the route may lead the path to one without homes.
        """
        if not self._names_homes:
            return None
        route = self._routes.get((admitted.host, admitted.prefix), admitted)
        present = self.find_route(host, path) or route
        regions = intersect_homes(route.homes, present.homes)
        regions = intersect_homes(regions, self._organisation_homes.get(organisation))
        if regions is None:
            return None
        found = self._homes.get(regions)
        if found is None:
            found = self._homes[regions] = Homes(regions, self.region_map)
        return found

    def without_home(self) -> list[ForwardRoute | CallerOrganisation]:
        """Return the routes and organisations whose homes name no known region."""
        return [
            item
            for item in (*self.config.routes, *(self.config.organisations or ()))
            if item.homes is not None and not item.homes & self.region_map.names
        ]

    def describe_levels(self) -> dict[str, list[int]]:
        """Return the urgency levels in force, for the log.

        Returns
        -------
        dict of str to list of int
            The levels of short and of long prompts, by the priorities of their route and of their
            organisation.
        """
        return {
            f"{route.priority}/{request_priority(route, organisation)}": [
                urgency_level(route.priority, request_priority(route, organisation), is_short)
                for is_short in (True, False)
            ]
            for route, organisation in self._callers()
            if route.by_prompt
        }

    def _callers(self) -> Iterator[tuple[ForwardRoute, CallerOrganisation | None]]:
        """Yield each route with an organisation of each priority."""
        by_priority = {item.priority: item for item in self.config.organisations or ()}
        return itertools.product(self.config.routes, (None, *by_priority.values()))

    def find_organisation(self, api_key: str) -> CallerOrganisation | None:
        """Return the organisation that holds a key."""
        return self._organisations.get(api_key)


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit() and not host.endswith("]")


def pick_service(route: ForwardRoute, rng: random.Random) -> str:
    """Return the service for one request, sampled by the weights of the route.

    Examples
    --------
    >>> from burdockquay_coordination.forwarding import ForwardRoute, RouteKind, ServiceShare
    >>> shares = (ServiceShare("old", 0), ServiceShare("new", 3))
    >>> route = ForwardRoute("r", "h", "/", RouteKind.ONCE, shares, 1.0, 0.1, 0, 1)
    >>> pick_service(route, random.Random(1))
    'new'
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    bounds = list(itertools.accumulate(share.weight for share in route.shares))
    sampled = rng.random() * bounds[-1]
    for share, bound in zip(route.shares, bounds, strict=True):
        if sampled < bound:
            return share.service
    return route.shares[-1].service
