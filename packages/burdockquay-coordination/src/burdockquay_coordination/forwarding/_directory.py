"""Look-ups in one version of the configuration."""

from __future__ import annotations

import itertools
import random

from ._config import CallerOrganisation, ForwardConfig, ForwardRoute, ServiceTargets
from ._urgency import UrgencyScale


class ConfigDirectory:
    """Finds routes by host and path and organisations by key.

    Parameters
    ----------
    config : ForwardConfig
    """

    def __init__(self, config: ForwardConfig):
        self.config = config
        self._routes = {(route.host, route.prefix): route for route in config.routes}
        self._targets: dict[str, ServiceTargets] = {}
        for route in config.routes:
            for share in route.shares:
                known = self._targets.get(share.service, ServiceTargets())
                self._targets[share.service] = known.with_route(route)
        self._route_ranks = _rank_routes(config)
        self.urgency = UrgencyScale(self._possible_ranks())
        self._organisations = {
            api_key: organisation
            for organisation in config.organisations or ()
            for api_key in organisation.api_keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether routes that are not anonymous demand a key."""
        return self.config.organisations is not None

    def find_route(self, host: str, path: str) -> ForwardRoute | None:
        """Return the route of a host whose prefix is the longest that begins the path.

        Parameters
        ----------
        host : str
            ``Host`` header, with or without a port.
        path : str
            Path as the caller sent it, still percent-encoded, without a query.
        """
        name = host.rpartition(":")[0] if _has_port(host) else host
        name = name.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((name, path[: end + 1]))
            if route is not None:
                return route
        return None

    def targets(self, service: str) -> ServiceTargets:
        """Return what the routes to a service demand."""
        return self._targets.get(service, ServiceTargets())

    def rank(self, route: ForwardRoute, organisation: CallerOrganisation | None) -> int:
        """Return how urgent a request is among all: 0 is the first.

        The priority of the organisation goes before that of the route, which decides where the
        first is the same. With that of the organisation alone, upstreams that ran out of memory
        preempted urgent streams while those of less urgent routes ran on.
        """
        priority = request_priority(route, organisation)
        kinds = max(1, len(self._route_ranks))
        return priority * kinds + self._route_ranks.get(route.priority, kinds - 1)

    def _possible_ranks(self) -> list[int]:
        organisations = (None, *(self.config.organisations or ()))
        return [self.rank(*pair) for pair in itertools.product(self.config.routes, organisations)]

    def find_organisation(self, api_key: str) -> CallerOrganisation | None:
        """Return the organisation that holds a key."""
        return self._organisations.get(api_key)


def request_priority(route: ForwardRoute, organisation: CallerOrganisation | None) -> int:
    """Return the priority of a request: that of its organisation, or else of its route."""
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority


def _rank_routes(config: ForwardConfig) -> dict[int, int]:
    """Return the rank of each route priority among requests of one organisation priority.

    Only routes whose upstreams choose by urgency count: more ranks than levels would be left.
    """
    if all(item.priority is None for item in config.organisations or ()):
        # The priority of a request is that of its route, which need not be told twice.
        return {}
    priorities = {route.priority for route in config.routes if route.by_prompt}
    return {priority: rank for rank, priority in enumerate(sorted(priorities))}


def _has_port(host: str) -> bool:
    return host.rpartition(":")[2].isdigit() and not host.endswith("]")


def pick_service(route: ForwardRoute, rng: random.Random) -> str:
    """Return the service for one request, drawn by the weights of the route.

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
    drawn = rng.random() * bounds[-1]
    for share, bound in zip(route.shares, bounds, strict=True):
        if drawn < bound:
            return share.service
    return route.shares[-1].service
