"""The entry's connection to one slot: a task that connects, reads and reconnects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs
from result import Err
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException

from burdockquay_coordination import Candidate, MembershipTracker
from burdockquay_protocol import (
    Cancel,
    ClassDemand,
    CrashNotice,
    Demand,
    ErrorKind,
    Failed,
    FetchLog,
    Frames,
    Goodbye,
    Grant,
    Heartbeat,
    LogPart,
    NotRun,
    PartReports,
    Run,
    SlotStatus,
    Suspicions,
)
from burdockquay_state import VmEntry

from ._call import Call, PeerLost
from ._events import Event, log_event
from ._peer import (
    HANDSHAKE_TIMEOUT_S,
    HEARTBEAT_S,
    RECEIVE_TIMEOUT_S,
    WEBSOCKET_OPTIONS,
    Identity,
    PeerConnection,
    TrafficCounts,
    initiate_handshake,
)


class LinkListener:
    """Callbacks of a :class:`SlotLink`, implemented by the entry."""

    def link_up(self, link: SlotLink) -> None:
        """Handle a completed handshake."""

    def link_status(self, link: SlotLink) -> None:
        """Handle a status message."""

    def link_grant(self, link: SlotLink, grant: Grant) -> None:
        """Handle a grant."""

    def link_suspicions(self, link: SlotLink, message: Suspicions) -> None:
        """Handle received suspicions."""

    def link_part_reports(self, link: SlotLink, message: PartReports) -> None:
        """Handle received evidence about prompt prefixes."""


class SlotLink:
    """Connection to one slot.

    Parameters
    ----------
    target : VmEntry
        Address and identity of the slot.
    identity : Identity
        Identity of this entry.
    key : bytes
        Shared key of all processes.
    membership : MembershipTracker
    sync : ConfigurationSync
    listener : LinkListener
    traffic : TrafficCounts
    clock : Clock
    rng : random.Random
    count : callable
        Called with the name of a counter.
    """

    def __init__(
        self,
        target: VmEntry,
        identity: Identity,
        key: bytes,
        membership: MembershipTracker,
        sync: Any,
        listener: LinkListener,
        traffic: TrafficCounts,
        clock: Any,
        rng: Any,
        count: Callable[[str], None],
    ):
        self.target = target
        self.identity = identity
        self.key = key
        self.membership = membership
        self.sync = sync
        self.listener = listener
        self.traffic = traffic
        self.clock = clock
        self.rng = rng
        self.count = count
        self.connection: PeerConnection | None = None
        self.status: SlotStatus | None = None
        self.sent_demand: dict[str, int] = {}
        self.full_classes: set[str] = set()
        self.crash = ""
        self._unreachable = False
        self._status_at = 0.0
        self._outstanding_at_status = 0
        self._attempts: dict[tuple[str, int], Call] = {}
        self._handlers = self._make_handlers()

    @property
    def vm(self) -> str:
        """Name of the slot's VM."""
        return self.target.vm

    @property
    def connected(self) -> bool:
        """Whether messages can be sent."""
        return self.connection is not None and not self.connection.closing

    @property
    def accepts_work(self) -> bool:
        """Whether the slot reports that it accepts new work."""
        status = self.status
        return self.connected and status is not None and status.healthy and not status.leaving

    @property
    def outstanding(self) -> int:
        """Number of attempts of this entry at the slot."""
        return len(self._attempts)

    def make_candidate(self, weight: float, prefix_overlap: int, now: float) -> Candidate:
        """Return the slot as a candidate for the placement policies."""
        status = self.status
        return Candidate(
            self.vm,
            self.target.failure_domain,
            max(1, status.places),  # restricted upstreams may have no place, and policies divide
            self.outstanding,
            status.running + status.queued,
            now - self._status_at,
            self._outstanding_at_status,
            status.step_s,
            weight,
            prefix_overlap,
        )

    def estimate_load(self) -> int:
        """Return the number of places in use: as last reported, plus attempts sent since then."""
        reported = self.status.running + self.status.queued
        return max(self.outstanding, reported + self.outstanding - self._outstanding_at_status)

    def start(self, call: Call, grant: int, now: float) -> None:
        """Send the next attempt of a call to the slot."""
        run = call.begin_attempt(self, grant, now)
        self._attempts[call.attempt_key] = call
        self.connection.post(run)

    def cancel_attempt(self, call: Call) -> None:
        """Cancel the current attempt of a call; its further messages are dropped."""
        if self._attempts.pop(call.attempt_key, None) is not None and self.connected:
            self.connection.post(Cancel(*call.attempt_key))

    def remove_attempt(self, call: Call) -> None:
        """Remove an attempt that has ended."""
        self._attempts.pop(call.attempt_key, None)

    def withdraw_unsent(self, detail: str) -> None:
        """Report attempts that are queued on the connection as not run, and do not send them.

        A peer that reads slowly can hold them up for seconds.
        """
        if self.connection is None:
            return
        for run in self.connection.withdraw(Run):
            self._on_attempt_ended(NotRun(run.request, run.attempt, ErrorKind.NO_PLACE, detail))

    def post(self, message: Any) -> None:
        """Send a message if the slot is connected."""
        if self.connection is not None:
            self.connection.post(message)

    def send_demand(self, demands: list[ClassDemand]) -> None:
        """Send the slot the number of calls waiting per class."""
        self.sent_demand = {item.class_name: item.waiting for item in demands}
        self.post(Demand(demands))

    async def run(self) -> None:
        """Stay connected until cancelled; run as a task."""
        while True:
            await self._serve_once()
            await asyncio.sleep(
                self.membership.reconnect_delay(self.vm, self.rng, self.clock.now())
            )

    async def _serve_once(self) -> None:
        uri = f"ws://{self.target.host}:{self.target.port}"
        try:
            async with connect(
                uri, open_timeout=HANDSHAKE_TIMEOUT_S, proxy=None, **WEBSOCKET_OPTIONS
            ) as websocket:
                await self._serve(websocket)
        except (OSError, TimeoutError, WebSocketException) as error:
            self.membership.connect_failed(self.vm, self.clock.now())
            self._log_unreachable(error)

    def _log_unreachable(self, error: Exception) -> None:
        # An unreachable slot is retried until it leaves the VM list; it is logged only once.
        if not self._unreachable:
            log_event(Event.PEER_UNREACHABLE, vm=self.vm, reason=error)
        self._unreachable = True

    async def _serve(self, websocket: Any) -> None:
        handshake = await initiate_handshake(websocket, self.identity, self.key, self.traffic)
        if isinstance(handshake, Err):
            log_event(Event.HANDSHAKE_REFUSED, vm=self.vm, reason=handshake.err())
            self.count("peer.handshake_refused")
            return
        connection = handshake.ok()
        if not self.vm:
            self._adopt_identity(connection.peer)
        if connection.peer.vm != self.vm:
            # Another VM now has this address; the VM list will be updated.
            log_event(Event.HANDSHAKE_REFUSED, vm=self.vm, reason=f"got {connection.peer.vm}")
            self.count("peer.other_vm")
            return
        async with connection.writing():
            try:
                self._on_connected(connection)
                await connection.read_messages(self._handlers, self.count)
            except ConnectionClosed:
                pass
            finally:
                self._on_disconnected(connection)
                await connection.close("")

    def _adopt_identity(self, peer: Identity) -> None:
        """Adopt the identity of a slot that was connected to by its address alone."""
        self.target = attrs.evolve(
            self.target, vm=peer.vm, failure_domain=peer.failure_domain, group=peer.group
        )
        self.membership.add_configured_slot(self.target, self.clock.now())

    def _on_connected(self, connection: PeerConnection) -> None:
        self.connection = connection
        self._unreachable = False
        incarnation = connection.peer.incarnation
        if incarnation != self.membership.incarnation(self.vm) != "":
            log_event(Event.PEER_INCARNATION_CHANGED, vm=self.vm, incarnation=incarnation)
        # A slot of a former release does not tell its crashes apart.
        self.crash = incarnation
        self.membership.connected(self.vm, incarnation, self.clock.now())
        log_event(Event.PEER_CONNECTED, vm=self.vm, incarnation=incarnation)
        connection.keep_alive(HEARTBEAT_S, RECEIVE_TIMEOUT_S, self.sync.heartbeat)
        self.sync.add_peer(connection)
        self.listener.link_up(self)

    def _on_disconnected(self, connection: PeerConnection) -> None:
        self.sync.remove_peer(connection)
        self.membership.disconnected(self.vm, connection.peer.incarnation, self.clock.now())
        log_event(Event.PEER_DISCONNECTED, vm=self.vm, incarnation=connection.peer.incarnation)
        self.connection = None
        self.status = None
        self.sent_demand = {}
        self.full_classes = set()
        calls = list(self._attempts.values())
        self._attempts.clear()
        for call in calls:
            call.inbox.put(PeerLost(self.vm))

    def _make_handlers(self) -> dict[type, Callable[[PeerConnection, Any], None]]:
        return {
            Frames: lambda peer, message: self._on_frames(message),
            NotRun: lambda peer, message: self._on_attempt_ended(message),
            Failed: lambda peer, message: self._on_attempt_ended(message),
            SlotStatus: lambda peer, message: self._on_status(message),
            Grant: lambda peer, message: self.listener.link_grant(self, message),
            Heartbeat: lambda peer, message: self.sync.fetch_if_behind(peer, message.revision),
            FetchLog: self.sync.answer_fetch,
            LogPart: self.sync.receive_part,
            CrashNotice: lambda peer, message: self._on_crash(message),
            PartReports: lambda peer, message: self.listener.link_part_reports(self, message),
            Suspicions: lambda peer, message: self.listener.link_suspicions(self, message),
            Goodbye: lambda peer, message: None,
        }

    def _on_frames(self, message: Frames) -> None:
        attempts = self._attempts
        for frame in message.frames:
            # Frames of a cancelled attempt find no call and are dropped here, so that an answer
            # is never composed of two attempts.
            call = attempts.get((frame.request, frame.attempt))
            if call is not None:
                call.inbox.put(frame)

    def _on_attempt_ended(self, message: NotRun | Failed) -> None:
        call = self._attempts.pop((message.request, message.attempt), None)
        if call is not None:
            call.inbox.put(message)

    def _on_crash(self, message: CrashNotice) -> None:
        self.crash = message.crash

    def _on_status(self, message: SlotStatus) -> None:
        if message.leaving and not (self.status and self.status.leaving):
            log_event(Event.SLOT_LEAVING, vm=self.vm)
        self.status = message
        self._status_at = self.clock.now()
        self._outstanding_at_status = self.outstanding
        self.full_classes = set()
        if message.leaving:
            self.membership.record_leaving(
                self.vm, self.connection.peer.incarnation, self.clock.now()
            )
        self.sync.fetch_if_behind(self.connection, message.revision)
        self.listener.link_status(self)
