"""Services to which each route has led lately."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Mapping

import attrs

from burdockquay_state import LONG_TEXT, TEXT

from ._config import ForwardRoute
from ._origin_records import RouteKey
from ._stream_versions import STREAM_MEMORY_S, StreamOrigin

RouteMap = Mapping[RouteKey, frozenset[str]]


@attrs.frozen
class RouteMove:
    """A service at which streams of a route may have begun, and to which it no longer leads.

    Parameters
    ----------
    route : RouteKey
    service : str
    """

    route: RouteKey
    service: str


@attrs.frozen
class RouteState:
    """The services of all routes whose streams can be resumed, and those of the last minute.

    Parameters
    ----------
    version : int
        Version of the configuration.
    routes : mapping of RouteKey to frozenset of str
    moves : frozenset of RouteMove
    """

    version: int
    routes: RouteMap
    moves: frozenset[RouteMove] = frozenset()

    def encode(self, era: int) -> bytes:
        """Return the value of a row.

        Parameters
        ----------
        era : int
            Era of the store in which it is written.
        """
        routes = sorted(
            [key.host, key.prefix, sorted(services)] for key, services in self.routes.items()
        )
        moves = sorted([item.route.host, item.route.prefix, item.service] for item in self.moves)
        return json.dumps([era, self.version, routes, moves]).encode()

    @classmethod
    def decode(cls, value: bytes, era: int) -> RouteState | None:
        """Return the state in a row, None if the row is malformed or of another era."""
        try:
            written, version, routes, moves = json.loads(value)
            state = cls(
                version,
                {RouteKey(host, prefix): frozenset(services) for host, prefix, services in routes},
                frozenset(
                    RouteMove(RouteKey(host, prefix), service) for host, prefix, service in moves
                ),
            )
        except (ValueError, TypeError, RecursionError):
            return None
        return state if written == era and state._is_sound() else None

    def _is_sound(self) -> bool:
        """Return whether the fields have the expected types and sizes."""
        keys = [*self.routes, *(move.route for move in self.moves)]
        services = [name for names in self.routes.values() for name in names]
        services += [move.service for move in self.moves]
        return (
            type(self.version) is int
            and all(LONG_TEXT.accepts(text) for key in keys for text in (key.host, key.prefix))
            and all(TEXT.accepts(name) for name in services)
        )


class RouteServices:
    """Services at which the streams of each route may have begun before changes of routes.

    Examples
    --------
    >>> from burdockquay_coordination.forwarding import RouteKind, ServiceShare
    >>> def route(prefix, service):
    ...     shares = (ServiceShare(service, 1.0),)
    ...     kind = RouteKind.STREAM
    ...     return ForwardRoute("r", "h", prefix, kind, shares, 1.0, 0.1, 0, 1, can_resume=True)
    >>> routes = RouteServices()
    >>> routes.observe(1, [route("/talk/", "one")], now=0.0)
    >>> routes.observe(2, [route("/talk/", "one"), route("/talk/x/", "two")], now=9.0)
    >>> routes.former(RouteKey("h", "/talk/x/"), now=10.0)
    frozenset({'one'})
    >>> routes.former(RouteKey("h", "/talk/"), now=10.0)
    frozenset()
    >>> routes.former(RouteKey("h", "/talk/x/"), now=70.0)
    frozenset()

    A process that starts later:

    >>> later = RouteServices()
    >>> later.observe(2, [route("/talk/", "two")], now=0.0)
    >>> later.learn(RouteState(1, {RouteKey("h", "/talk/"): frozenset({"one"})}), now=0.0)
    >>> later.former(RouteKey("h", "/talk/"), now=1.0)
    frozenset({'one'})
    """

    def __init__(self):
        self._version = 0
        self._present: RouteMap | None = None
        self._former: dict[RouteMove, float] = {}

    def observe(self, version: int, routes: Iterable[ForwardRoute], now: float) -> None:
        """Record the routes of a configuration that comes into force."""
        before = self._present
        self._version = version
        self._present = {
            RouteKey(route.host, route.prefix): frozenset(share.service for share in route.shares)
            for route in routes
            if route.can_resume
        }
        if before is not None:
            self._record_moves(before, now)

    def learn(self, earlier: RouteState, now: float) -> None:
        """Record what was in force before this process started."""
        self._former |= dict.fromkeys(earlier.moves, now)
        self._record_moves(earlier.routes, now)

    def state(self, now: float) -> RouteState | None:
        """Return the present state, None before the first configuration."""
        if self._present is None:
            return None
        self._forget(now)
        return RouteState(self._version, self._present, frozenset(self._former))

    def former(self, route: RouteKey, now: float) -> frozenset[str]:
        """Return the former services of a route at which its streams may have begun."""
        return frozenset(
            move.service
            for move, at in self._former.items()
            if move.route == route and now <= at + STREAM_MEMORY_S
        )

    def _record_moves(self, before: RouteMap, now: float) -> None:
        """Record the moves from earlier routes to the present ones."""
        present = self._present or {}
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


def _find_route(routes: RouteMap, key: RouteKey) -> RouteKey | None:
    """Return the route that requests directly under a prefix match."""
    return next((item for item in _prefixes(key) if item in routes), None)


def _prefixes(key: RouteKey) -> Iterator[RouteKey]:
    """Yield a prefix and all that contain it, the longest first."""
    end = len(key.prefix)
    while (end := key.prefix.rfind("/", 0, end)) >= 0:
        yield RouteKey(key.host, key.prefix[: end + 1])
