"""Configuration of a forwarder, as one immutable value per version."""

from __future__ import annotations

import enum

import attrs


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    """A request may run more than once."""
    ONCE = "once"
    """A request runs at most once."""
    STREAM = "stream"
    """The answer is a stream of events; runs at most once unless the route can resume."""


@attrs.frozen
class ServiceShare:
    """Share of a route's requests that goes to one service.

    Parameters
    ----------
    service : str
    weight : float
        Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@attrs.frozen
class ForwardRoute:
    """Destination and rules of the requests under one path prefix.

    Parameters
    ----------
    name : str
    host : str
        Value of the ``Host`` header without its port, in lower case.
    prefix : str
        Path prefix that begins and ends with a slash.
    kind : RouteKind
    shares : tuple of ServiceShare
    timeout_s : float
        Longest time that a caller waits, seconds.
    target_s : float
        Target for the time to the answer, or to the first event of a stream, seconds.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Upstreams that one request may be sent to.
    anonymous : bool
        Whether requests need no API key.
    by_prompt : bool
        Whether the requests carry prompts whose parts upstreams keep in memory.
    can_resume : bool
        Whether another upstream may continue a stream that broke off.
    silence_s : float or None
        Time without an event after which callers abandon a stream, seconds.
    pause_target_s : float or None
        Target for the longest pause between two events of a stream, seconds.
    homes : frozenset of str or None
        Regions in which its requests may be served; None for any, empty for none.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    target_s: float
    priority: int
    max_attempts: int
    anonymous: bool = False
    by_prompt: bool = False
    can_resume: bool = False
    silence_s: float | None = None
    pause_target_s: float | None = None
    homes: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.can_resume
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class ServiceTargets:
    """Combined targets of all routes to one service.

    Parameters
    ----------
    tightest_s : float
        Tightest target, seconds; one second if no route leads to the service any more while its
        last requests still run.
    most_urgent, least_urgent : int
        Priorities of the most and of the least urgent route.
    shortest_pause_s, longest_pause_s : float or None
        Shortest and longest pause target of the routes, seconds; None if no route has one.
    """

    tightest_s: float = 1.0
    most_urgent: int = 9
    shortest_pause_s: float | None = None
    longest_pause_s: float | None = None
    least_urgent: int = 0

    def with_route(self, route: ForwardRoute) -> ServiceTargets:
        """Return the targets combined with those of one more route."""
        pauses = (self.shortest_pause_s, self.longest_pause_s, route.pause_target_s)
        known = [pause for pause in pauses if pause is not None]
        return ServiceTargets(
            min(self.tightest_s, route.target_s),
            min(self.most_urgent, route.priority),
            min(known, default=None),
            max(known, default=None),
            max(self.least_urgent, route.priority),
        )

    def is_steady(self, route: ForwardRoute) -> bool:
        """Return whether the streams of a route must be more steady than those of other routes."""
        pause_s = route.pause_target_s
        if pause_s is None or self.longest_pause_s is None:
            return False
        return pause_s == self.shortest_pause_s < self.longest_pause_s


@attrs.frozen
class CallerOrganisation:
    """An organisation with the API keys of its callers.

    Parameters
    ----------
    name : str
    api_keys : frozenset of str
    priority : int or None
        Overrides the priority of a route if set.
    homes : frozenset of str or None
        Regions in which its requests may be served; None for any, empty for none.
    """

    name: str
    api_keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None
    homes: frozenset[str] | None = None


@attrs.frozen
class CallerLimits:
    """Limits of callers' requests; None where the configuration sets none.

    Parameters
    ----------
    max_body_bytes, max_head_bytes : int or None
    head_timeout_s : float or None
        Time for one head, seconds.
    idle_timeout_s : float or None
        Time for which a connection may be idle, seconds.
    """

    max_body_bytes: int | None = None
    max_head_bytes: int | None = None
    head_timeout_s: float | None = None
    idle_timeout_s: float | None = None


@attrs.frozen
class ServiceMemory:
    """Memory capacity of the upstreams of a service.

    Parameters
    ----------
    service : str
    tokens : int
        Capacity for running requests and prompt parts together.
    """

    service: str
    tokens: int


@attrs.frozen
class ColdStartTerms:
    """How long the upstreams of a service are cold after a start, and what they bear meanwhile.

    Parameters
    ----------
    service : str
    duration_s : float
    per_s : float
        Requests per second from all processes together.
    """

    service: str
    duration_s: float
    per_s: float


@attrs.frozen
class ForwardConfig:
    """One version of the complete configuration.

    Parameters
    ----------
    version : int
        Increases with every change.
    routes : tuple of ForwardRoute
    organisations : tuple of CallerOrganisation or None
        None if no request needs a key.
    limits : CallerLimits
    memories : tuple of ServiceMemory
        Capacities of the services whose upstreams keep prompt parts.
    cold_starts : tuple of ColdStartTerms
        The services whose upstreams are cold after a start.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    organisations: tuple[CallerOrganisation, ...] | None = None
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    memories: tuple[ServiceMemory, ...] = ()
    cold_starts: tuple[ColdStartTerms, ...] = ()
