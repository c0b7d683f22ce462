"""State of one request of a caller while a forwarder serves it."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Hashable

import attrs
from aiohttp import web

from burdockquay_coordination import FinishDecision, Homes
from burdockquay_coordination.forwarding import (
    ForwardRoute,
    RouteKind,
    Upstream,
    UpstreamRegistry,
)
from burdockquay_protocol import ErrorKind, RequestError

from ._platform import CallerRequest
from ._sent_prompt import SentPrompt


@attrs.define(eq=False)
class ForwardCall:
    """A request that is being served.

    Parameters
    ----------
    incoming : aiohttp.web.BaseRequest
    request : CallerRequest
    route : ForwardRoute
    service : str
    organisation : str or None
    urgency : int
        Priority; 0 is the most urgent.
    body : bytes
    started : float
    deadline : float
        Time after which the caller does not wait any more.
    rank : int
        Rank in the order of all requests; 0 is the first.
    tried : set of str
        Ids of the upstreams it was sent to.
    sends : int
        Number of sends that may have arrived.
    withdrawals : int
        Number of sends that were withdrawn from the retry budget.
    unreachable : int
        Number of sends without a connection.
    maybe_run : bool
        Whether an upstream may have run it.
    answer : web.StreamResponse or None
        The answer to the caller, once its head was written.
    last_event : str or None
        Id of the last event that the caller has.
    weights_version : str or None
    software_version : str or None
        Software version of the upstream that began the stream; None until its first event.
    sent_version : str or None
        That of the upstream to which it was last sent.
    backup : Upstream or None
        Upstream that keeps a copy of the memory of the run.
    continue_at : Upstream or None
        Upstream at which the run continues from such a copy.
    first_at : float or None
        When its first event was received.
    newest_event_at : float or None
        When its newest event was received.
    longest_pause_s : float
        Longest time between two of its events, seconds.
    sent : SentPrompt or None
        The prompt sent to its upstream, until the first token.
    sent_at : float
        When it was last sent.
    finish : FinishDecision or None
        Why it was last sent although the process shuts down; None before it does.
    has_begun : bool
        Whether the upstream that it was last sent to has begun to answer.
    is_counted : bool
        Whether it is counted as usage.
    is_trial : bool
        Whether it tests prompt parts that are refused.
    was_woken : bool
        Whether it has waited for a start at a limited upstream and it is its turn.
    is_waiting : bool
        Whether it waits for an upstream, and nothing is sent at present.
    find_homes : callable
        Returns the regions in which it may be served by the configuration now in force, None for
        any.
    """

    incoming: web.BaseRequest
    request: CallerRequest
    route: ForwardRoute
    service: str
    organisation: str | None
    urgency: int
    body: bytes
    started: float
    deadline: float
    rank: int
    tried: set[str] = attrs.field(factory=set)
    sends: int = 0
    withdrawals: int = 0
    unreachable: int = 0
    maybe_run: bool = False
    answer: web.StreamResponse | None = None
    last_event: str | None = None
    weights_version: str | None = None
    software_version: str | None = None
    sent_version: str | None = None
    backup: Upstream | None = None
    continue_at: Upstream | None = None
    first_at: float | None = None
    newest_event_at: float | None = None
    longest_pause_s: float = 0.0
    sent: SentPrompt | None = None
    sent_at: float = 0.0
    finish: FinishDecision | None = None
    has_begun: bool = False
    is_counted: bool = False
    is_trial: bool = False
    was_woken: bool = False
    is_waiting: bool = False
    find_homes: Callable[[ForwardCall], Homes | None] = lambda call: None

    @property
    def run_kind(self) -> Hashable:
        """What its run has in common with others, for :class:`FinishGate`."""
        return (self.service, self.route.name)

    @property
    def run_size(self) -> int:
        """Size of its run: the most tokens of the answer, 0 if the request does not say."""
        return self.request.prompt.answer_tokens if self.request.prompt else 0

    @property
    def homes(self) -> Homes | None:
        """Regions in which it may be served now, None for any."""
        return self.find_homes(self)

    def is_inside(self, upstream: Upstream) -> bool:
        """Return whether an upstream lies in the homes of the call."""
        homes = self.homes
        return homes is None or homes.allows_domain(upstream.entry.failure_domain)

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether the rest of the stream fits if an upstream writes it."""
        return self.software_version in (None, upstream.entry.software_version)

    def candidates(self, upstream_registry: UpstreamRegistry) -> list[Upstream]:
        """Return the upstreams of the service that may run the call by version and homes."""
        found = upstream_registry.of_service(self.service)
        homes = self.homes
        if homes is not None:
            found = [item for item in found if homes.allows_domain(item.entry.failure_domain)]
        return found if self.software_version is None else list(filter(self.accepts, found))

    def record_events(self, now: float) -> None:
        """Record that events were received."""
        if self.newest_event_at is None:
            self.first_at = now
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self.newest_event_at)
        self.newest_event_at = now

    @property
    def class_labels(self) -> tuple[str, str]:
        """Kind and priority of the route, by which the metrics of requests are labelled."""
        return (self.route.kind.value, str(self.route.priority))

    @property
    def round_trips(self) -> int:
        """Round trips before an upstream can read it: one more if it needs a new connection."""
        return 1 if self.route.repeatable else 2

    @property
    def by_prompt(self) -> bool:
        """Whether upstreams are chosen by the prompt."""
        return self.route.by_prompt and self.request.prompt is not None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts of its prompt that other requests may share."""
        return self.request.prompt.shared_parts if self.request.prompt is not None else ()

    @property
    def wants_backup(self) -> bool:
        """Whether another upstream can continue it only from a copy of its memory."""
        return self.by_prompt and self.route.kind is RouteKind.STREAM and not self.route.can_resume

    @property
    def digest(self) -> str:
        """Digest of the content of the request, the same for each retry by its caller."""
        parts = (self.organisation or "", self.request.method, self.request.target)
        digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=12)
        digest.update(self.body)
        return digest.hexdigest()


@attrs.frozen
class Answered:
    """The answer was written to the caller, or is ready to be written."""

    response: web.StreamResponse


@attrs.frozen
class NotSent:
    """No connection to the upstream was opened."""

    upstream: Upstream
    reason: str


@attrs.frozen
class HeldBack:
    """The request was not sent, since the upstream had stated meanwhile that it wants none."""

    upstream: Upstream
    reason: str


@attrs.frozen
class NotRun:
    """The upstream refused the request without running it."""

    upstream: Upstream
    reason: str


@attrs.frozen
class Broke:
    """The request was sent and may have run; there is no complete answer.

    Parameters
    ----------
    upstream : Upstream
    reason : str
    ready : web.Response or None
        The upstream's own failure answer, which is passed on if the request cannot be retried.
    crashed : bool
        Whether the connection broke, as it does when an upstream goes down.
    """

    upstream: Upstream
    reason: str
    ready: web.Response | None = None
    crashed: bool = False


@attrs.frozen
class RetryDenied:
    """The request was not sent again, since the retry budget did not allow it."""

    upstream: Upstream


Outcome = Answered | HeldBack | NotSent | NotRun | Broke | RetryDenied


def failure_of(call: ForwardCall) -> RequestError:
    """Return the error that is sent to a caller when no upstream can be tried any more."""
    if call.maybe_run:
        return RequestError(ErrorKind.UPSTREAM_FAILED)
    if call.sends:
        return RequestError(ErrorKind.NO_PLACE)
    homes = call.homes
    detail = "" if homes is None else f"homes {homes.describe()}"
    return RequestError(ErrorKind.NO_UPSTREAM, detail)
