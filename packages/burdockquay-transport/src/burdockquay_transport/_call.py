"""One caller's request on its way through an entry."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

import attrs

from burdockquay_coordination import OnceTicket
from burdockquay_protocol import ErrorKind, RequestError, Run, RunState
from burdockquay_state import ClassRecord, OrganisationRecord, RouteRecord

from ._call_error import CallError

if TYPE_CHECKING:
    from ._slot_link import SlotLink


@attrs.frozen
class PeerLost:
    """The connection to the slot that had the attempt broke."""

    vm: str


@attrs.frozen
class Refused:
    """The entry itself refused the call while it waited."""

    error: RequestError


class Inbox:
    """Events for the one task that answers a caller."""

    def __init__(self):
        self._events: deque[Any] = deque()
        self._arrived = asyncio.Event()

    def put(self, event: Any) -> None:
        """Add an event."""
        self._events.append(event)
        self._arrived.set()

    async def get(self) -> Any:
        """Return the next event, waiting for it if need be."""
        while not self._events:
            self._arrived.clear()
            await self._arrived.wait()
        return self._events.popleft()

    def get_if(self, kind: type) -> Any:
        """Return the next event if it has come and is of a type, else None."""
        if self._events and isinstance(self._events[0], kind):
            return self._events.popleft()
        return None


@attrs.frozen
class CallRequest:
    """What the caller asked for, checked and routed.

    Parameters
    ----------
    request : str
        Request id.
    organisation : OrganisationRecord
    route : RouteRecord
    service_class : ClassRecord
    method, path : str
        As they go to the upstream.
    headers : list of list of str
        Passed on to the upstream.
    body : bytes
    stream : bool
    deadline : float
        Seconds on the clock of the entry.
    key : str
        Idempotency key, empty for an idempotent request.
    digest : str
        Digest of organisation, method, path and body.
    prefix : tuple of int
        Hashes of the growing prefixes of the prompt.
    has_tokens : bool
        Whether the answer consists of tokens, so that another upstream can continue it.
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

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return not self.key


@attrs.define(eq=False)
class Call:
    """A request and how far it has come.

    Parameters
    ----------
    asked : CallRequest
    started_at : float
        When the caller's request was complete, seconds on the clock of the entry.
    ticket : OnceTicket
        What the claim row of a non-idempotent request is judged by.

    Attributes
    ----------
    inbox : Inbox
        What the slots say of the live attempt, and refusals of the entry.
    attempt : int
        Number of the latest attempt.
    link : SlotLink or None
        Slot that has the live attempt.
    retries : int
        Attempts that failed at some cost to the upstreams.
    may_have_run : bool
        Whether an earlier or the live attempt may have had an effect.
    delivered : list of str
        Tokens of the answer so far.
    """

    asked: CallRequest
    started_at: float
    ticket: OnceTicket
    inbox: Inbox = attrs.field(factory=Inbox)
    attempt: int = 0
    link: SlotLink | None = None
    next_sequence: int = 0
    has_head: bool = False
    may_have_run: bool = False
    apart: bool = False
    retries: int = 0
    first_token_s: float = 0.0
    first_token_at: float = 0.0
    token_at: float = 0.0
    delivered: list[str] = attrs.field(factory=list)
    avoid: set[str] = attrs.field(factory=set)

    @property
    def attempt_key(self) -> tuple[str, int]:
        """Request id and number of the live attempt."""
        return (self.asked.request, self.attempt)

    def begin_attempt(self, link: SlotLink, grant: int, now: float) -> Run:
        """Make the next attempt the live one and return its message."""
        self.attempt += 1
        self.link = link
        self.next_sequence = 0
        asked = self.asked
        return Run(
            asked.request,
            self.attempt,
            grant,
            asked.organisation.name,
            asked.service_class.name,
            asked.method,
            asked.path,
            asked.headers,
            asked.body,
            asked.stream,
            max(0.0, asked.deadline - now),
            asked.idempotent,
            asked.key,
            self.ticket.expected_version,
            asked.digest,
            list(self.delivered),
            self.apart,
            self.ticket.started_at,
        )

    def fail(self, kind: ErrorKind, detail: str = "") -> CallError:
        """Return the error that ends the call, with the truth about whether it ran."""
        return self.fail_with(RequestError(kind, detail))

    def fail_with(self, error: RequestError) -> CallError:
        """Return an error that ends the call.

        An attempt that was sent and not certainly refused may have run, whatever the table says
        of the kind of error: the caller must not be told otherwise.
        """
        if self.may_have_run and error.run is None and error.answer.run is RunState.NOT_RUN:
            error = attrs.evolve(error, run=RunState.UNKNOWN)
        return CallError(error)
