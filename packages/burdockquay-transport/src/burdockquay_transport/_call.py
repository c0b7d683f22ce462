"""State of one caller's request at an entry."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Hashable
from typing import TYPE_CHECKING, Any

import attrs

from burdockquay_coordination import AtMostOnceTicket, HeldAnswer
from burdockquay_protocol import ErrorKind, RequestError, Run, RunState
from burdockquay_state import ClassRecord, OrganisationRecord, RouteRecord

from ._call_error import CallError

if TYPE_CHECKING:
    from ._slot_link import SlotLink


EVENT_BYTES = 400
"""Memory of an event without its data, bytes."""


@attrs.frozen
class PeerLost:
    """The connection to the slot that had the attempt was lost."""

    vm: str


@attrs.frozen
class Refused:
    """The entry itself, and not a slot, refused the call."""

    error: RequestError


class Inbox:
    """Event queue of the task that answers a caller.

    Attributes
    ----------
    size : int
        Bytes that the events in the queue take.
    """

    def __init__(self):
        self.size = 0
        self._events: deque[Any] = deque()
        self._arrived = asyncio.Event()

    def put(self, event: Any) -> None:
        """Add an event."""
        self._events.append(event)
        self.size += _event_bytes(event)
        self._arrived.set()

    async def get(self) -> Any:
        """Return the next event, waiting for it if necessary."""
        while not self._events:
            self._arrived.clear()
            await self._arrived.wait()
        return self._pop()

    def pop_if(self, kind: type) -> Any:
        """Return the next event if there is one and it is of a type, else None."""
        if self._events and isinstance(self._events[0], kind):
            return self._pop()
        return None

    def _pop(self) -> Any:
        event = self._events.popleft()
        self.size -= _event_bytes(event)
        return event


def _event_bytes(event: Any) -> int:
    return EVENT_BYTES + len(getattr(event, "data", b""))


@attrs.frozen
class CallRequest:
    """A caller's request, checked and routed.

    Parameters
    ----------
    request : str
        Request id.
    organisation : OrganisationRecord
    route : RouteRecord
    service_class : ClassRecord
    method, path : str
        As sent to the upstream.
    headers : list of list of str
        Forwarded to the upstream.
    body : bytes
    stream : bool
    deadline : float
        Seconds on the clock of the entry.
    key : str
        Idempotency key, empty for an idempotent request.
    digest : str
        Digest of organisation, method, path and body.
    prefix : tuple of int
        Hashes of the prefixes of the prompt, in order of length.
    short_prefix : tuple of int
        Hashes of the prefixes that are shorter than a block.
    has_tokens : bool
        Whether the answer consists of tokens, which another upstream can continue.
    """

    request: str
    organisation: OrganisationRecord
    route: RouteRecord
    service_class: ClassRecord
    method: str
    path: str
    headers: list[list[str]]
    body: bytes
    stream: bool
    deadline: float
    key: str
    digest: str
    prefix: tuple[int, ...] = ()
    has_tokens: bool = False
    short_prefix: tuple[int, ...] = ()

    @property
    def prefix_names(self) -> tuple[str, ...]:
        """Hashes of the prefixes as the evidence about crashes names them."""
        return tuple(f"{block:016x}" for block in (*self.short_prefix, *self.prefix))

    @property
    def run_kind(self) -> Hashable:
        """What its run has in common with others, for :class:`FinishGate`."""
        return (self.route.group, self.route.name)

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return not self.key


@attrs.define(eq=False)
class Call:
    """A request and the state of its processing.

    Parameters
    ----------
    spec : CallRequest
    started_at : float
        When the caller's request was complete, seconds on the clock of the entry.
    ticket : AtMostOnceTicket
        Values against which the claim row of a non-idempotent request is checked.

    Attributes
    ----------
    inbox : Inbox
        Messages of the slots about the current attempt, and refusals of the entry.
    attempt : int
        Number of the latest attempt.
    sent_at : float
        When that was sent, seconds on the clock of the entry.
    link : SlotLink or None
        Connection to the slot that has the current attempt.
    has_begun : bool
        Whether the current attempt has given a token.
    retries : int
        Retries after failures that cost the upstreams work.
    may_have_run : bool
        Whether an earlier or the current attempt may have had an effect.
    delivered : list of str
        Tokens of the answer so far.
    held : HeldAnswer or None
        Account of the memory that the answer takes, while it is received.
    """

    spec: CallRequest
    started_at: float
    ticket: AtMostOnceTicket
    inbox: Inbox = attrs.field(factory=Inbox)
    attempt: int = 0
    sent_at: float = 0.0
    link: SlotLink | None = None
    next_sequence: int = 0
    has_begun: bool = False
    has_head: bool = False
    software_version: str | None = None
    may_have_run: bool = False
    apart: bool = False
    retries: int = 0
    first_token_s: float = 0.0
    first_token_at: float = 0.0
    last_token_at: float = 0.0
    delivered: list[str] = attrs.field(factory=list)
    held: HeldAnswer | None = None
    avoid: set[str] = attrs.field(factory=set)

    @property
    def attempt_key(self) -> tuple[str, int]:
        """Request id and number of the current attempt."""
        return (self.spec.request, self.attempt)

    def begin_attempt(self, link: SlotLink, grant: int, now: float) -> Run:
        """Begin the next attempt and return its message."""
        self.attempt += 1
        self.sent_at = now
        self.link = link
        self.next_sequence = 0
        self.has_begun = False
        spec = self.spec
        return Run(
            spec.request,
            self.attempt,
            grant,
            spec.organisation.name,
            spec.service_class.name,
            spec.method,
            spec.path,
            spec.headers,
            spec.body,
            spec.stream,
            max(0.0, spec.deadline - now),
            spec.idempotent,
            spec.key,
            self.ticket.expected_version,
            spec.digest,
            list(self.delivered),
            self.apart,
            self.ticket.started_at,
        )

    def make_error(self, kind: ErrorKind, detail: str = "") -> CallError:
        """Return the error that ends the call; it reports whether the request may have run."""
        return self.wrap_error(RequestError(kind, detail))

    def wrap_error(self, error: RequestError) -> CallError:
        """Return the exception for an error that ends the call.

        An attempt that was sent and not certainly refused may have run. The error then reports
        that this is unknown, even where its kind usually implies that the request did not run.
        """
        if self.may_have_run and error.run is None and error.answer.run is RunState.NOT_RUN:
            error = attrs.evolve(error, run=RunState.UNKNOWN)
        return CallError(error)
