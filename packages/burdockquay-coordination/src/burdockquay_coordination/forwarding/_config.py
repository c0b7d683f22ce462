"""The configuration of a forwarder, as one immutable value per version."""

from __future__ import annotations

import enum

import attrs


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    """A request may run more than once."""
    ONCE = "once"
    """A request runs at most once."""
    STREAM = "stream"
    """The answer is a series of events; runs at most once unless the route can resume."""


@attrs.frozen
class ServiceShare:
    """Part of a route's requests that goes to one service.

    Parameters
    ----------
    service : str
    weight : float
        Relative to the other shares of the route.
    """

    service: str
    weight: float


@attrs.frozen
class ForwardRoute:
    """Where the requests under one path prefix go, and what may be done with them.

    Parameters
    ----------
    name : str
    host : str
        Value of the ``Host`` header without its port, in lower case.
    prefix : str
        Begins and ends with a slash.
    kind : RouteKind
    shares : tuple of ServiceShare
    timeout_s : float
        Longest time a caller is kept waiting, seconds.
    target_s : float
        Time within which an answer, or the first event of a stream, is in time, seconds.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Upstreams that one request may be sent to.
    anonymous : bool
        Whether requests need no API key.
    by_prompt : bool
        Whether the requests carry prompts whose parts upstreams keep in memory.
    can_resume : bool
        Whether another upstream may go on with a stream that broke off.
    silence_s : float or None
        Silence after which callers abandon a stream, seconds.
    pause_target_s : float or None
        Longest pause between two events with which a stream is in time, seconds.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.can_resume
        return self.kind is RouteKind.IDEMPOTENT


@attrs.frozen
class ServiceTargets:
    """What all routes to one service demand together.

    Parameters
    ----------
    tightest_s : float
        Tightest target, seconds. A second where no route leads to the service any more: its last
        requests still run.
    most_urgent : int
        Priority of the most urgent route.
    shortest_pause_s, longest_pause_s : float or None
        Shortest and longest of the pauses that the routes allow between two events, seconds; None
        where no route names one.
    """

    tightest_s: float = 1.0
    most_urgent: int = 9
    shortest_pause_s: float | None = None
    longest_pause_s: float | None = None

    def with_route(self, route: ForwardRoute) -> ServiceTargets:
        """Return the targets with those of one more route."""
        pauses = (self.shortest_pause_s, self.longest_pause_s, route.pause_target_s)
        known = [pause for pause in pauses if pause is not None]
        return ServiceTargets(
            min(self.tightest_s, route.target_s),
            min(self.most_urgent, route.priority),
            min(known, default=None),
            max(known, default=None),
        )

    def is_steady(self, route: ForwardRoute) -> bool:
        """Return whether the streams of a route must be written more steadily than others."""
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
        Goes before the priority of a route where it is set.
    """

    name: str
    api_keys: frozenset[str] = attrs.field(repr=False)
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """What callers may send.

    Parameters
    ----------
    max_body_bytes : int or None
    """

    max_body_bytes: int | None = None


@attrs.frozen
class ServiceMemory:
    """How much the upstreams of a service keep in memory.

    Parameters
    ----------
    service : str
    tokens : int
        For running requests and prompt parts together.
    """

    service: str
    tokens: int


@attrs.frozen
class ForwardConfig:
    """One version of the whole configuration.

    Parameters
    ----------
    version : int
        Grows with every change.
    routes : tuple of ForwardRoute
    organisations : tuple of CallerOrganisation or None
        None where requests need no key at all.
    limits : CallerLimits
    memories : tuple of ServiceMemory
        Of the services whose upstreams keep prompt parts.
    """

    version: int
    routes: tuple[ForwardRoute, ...]
    organisations: tuple[CallerOrganisation, ...] | None = None
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    memories: tuple[ServiceMemory, ...] = ()
