"""Services to which each route has led lately."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from ._config import ForwardRoute
from ._list_checkpoint import RouteMove
from ._origin_records import RouteKey
from ._stream_versions import STREAM_MEMORY_S, StreamOrigin


class RouteServices:
    """Services at which the streams of each route may have begun before changes of routes.

    Examples
    --------
    >>> from burdockquay_coordination.forwarding import RouteKind, ServiceShare
    >>> def route(prefix, service):
    ...     shares = (ServiceShare(service, 1.0),)
    ...     return ForwardRoute("r", "h", prefix, RouteKind.STREAM, shares, 1.0, 0.1, 0, 1)
    >>> routes = RouteServices()
    >>> routes.observe([route("/talk/", "one")], now=0.0)
    >>> routes.observe([route("/talk/", "one"), route("/talk/x/", "two")], now=9.0)
    >>> routes.former(RouteKey("h", "/talk/x/"), now=10.0)
    frozenset({'one'})
    >>> routes.former(RouteKey("h", "/talk/"), now=10.0)
    frozenset()
    >>> routes.former(RouteKey("h", "/talk/x/"), now=70.0)
    frozenset()
    """

    def __init__(self):
        self._present: dict[RouteKey, frozenset[str]] | None = None
        self._former: dict[RouteMove, float] = {}

    def observe(self, routes: Iterable[ForwardRoute], now: float) -> None:
        """Record the routes of a configuration that comes into force."""
        self._forget(now)
        before = self._present
        present = {
            RouteKey(route.host, route.prefix): frozenset(share.service for share in route.shares)
            for route in routes
        }
        self._present = present
        if before is None:
            return
        for key in before.keys() | present.keys():
            if before.get(key) == present.get(key):
                continue
            # Requests under this prefix matched one route before, and match another one now.
            earlier, later = _find_route(before, key), _find_route(present, key)
            if earlier is None or later is None:
                continue
            services = before[earlier] | self.former(earlier, now)
            for service in services - present[later]:
                self._former[RouteMove(later, service)] = now

    def learn(self, moves: Iterable[RouteMove], now: float) -> None:
        """Record moves from before this process started."""
        self._former |= dict.fromkeys(moves, now)

    def moves(self, now: float) -> frozenset[RouteMove]:
        """Return the moves after which streams can still be resumed."""
        self._forget(now)
        return frozenset(self._former)

    def former(self, route: RouteKey, now: float) -> frozenset[str]:
        """Return the former services of a route at which its streams may have begun."""
        return frozenset(
            move.service
            for move, at in self._former.items()
            if move.route == route and now <= at + STREAM_MEMORY_S
        )

    def _forget(self, now: float) -> None:
        for move in [item for item, at in self._former.items() if now > at + STREAM_MEMORY_S]:
            del self._former[move]


def former_origins(
    services: Iterable[str], seen: Iterable[StreamOrigin]
) -> frozenset[StreamOrigin]:
    """Return the origins of some services; one that has shown no version has an unknown one.

    Examples
    --------
    >>> sorted(former_origins(["one", "two"], [StreamOrigin("one", "v1")]), key=str)
    [StreamOrigin(service='one', version='v1'), StreamOrigin(service='two', version='')]
    """
    services = frozenset(services)
    found = {origin for origin in seen if origin.service in services}
    unseen = services - {origin.service for origin in found}
    return frozenset(found | {StreamOrigin(service, "") for service in unseen})


def _find_route(routes: dict[RouteKey, frozenset[str]], key: RouteKey) -> RouteKey | None:
    """Return the route that requests directly under a prefix match."""
    return next((item for item in _prefixes(key) if item in routes), None)


def _prefixes(key: RouteKey) -> Iterator[RouteKey]:
    """Yield a prefix and all that contain it, the longest first."""
    end = len(key.prefix)
    while (end := key.prefix.rfind("/", 0, end)) >= 0:
        yield RouteKey(key.host, key.prefix[: end + 1])
