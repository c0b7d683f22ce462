"""Connections between forwarders, over which they exchange loads, outcomes, crashes and tables."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import socket
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from result import Err
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.protocol import State

from burdockquay_coordination.forwarding import rank_processes
from burdockquay_protocol import (
    ClockReading,
    ColdStartReports,
    EralessTableChanges,
    Goodbye,
    Heartbeat,
    KeysHonoured,
    LinkSpeed,
    LoadsElsewhere,
    LoadsOfDomain,
    NewestConfiguration,
    PartReports,
    RateGrants,
    RateNeeds,
    RecordedOrigins,
    StatementReports,
    StreamAnswer,
    StreamQuestion,
    StreamStarts,
    TableChanges,
    TableContent,
    TableQuestion,
    UpstreamCrash,
    UpstreamLoads,
    UpstreamOutcomes,
    UsageCounts,
)

from .._addresses import bind_socket, bound_address, split_address
from .._background import BackgroundTasks
from .._events import Event, log_event
from .._peer import (
    HANDSHAKE_TIMEOUT_S,
    HEARTBEAT_S,
    RECEIVE_TIMEOUT_S,
    WEBSOCKET_OPTIONS,
    Identity,
    PeerConnection,
    TrafficCounts,
    initiate_handshake,
    post_all,
)
from .._peer_server import PeerServer
from ._key_sharing import KeySharing
from ._known_members import KnownMembers
from ._load_sharing import LoadSharing
from ._outcome_sharing import OutcomeSharing
from ._part_sharing import PartSharing
from ._platform import Member, MemberChanges, MemberRegistry
from ._rate_sharing import RateSharing
from ._send_schedule import SendSchedule, loads_interval_s
from ._state import ForwarderState
from ._statement_sharing import StatementSharing
from ._stream_sharing import StreamSharing
from ._table_sharing import TableSharing

MEMBERS_LONG_POLL_S = 10.0
"""How long the platform may hold a query for changes of the members, seconds."""

MEMBERS_BATCH_PAUSE_S = 1.0
"""Pause after a change of the members before the next query, seconds. When all processes start at
the same time, each would otherwise query once for each other process. The delay is
harmless: a process that is connected a second later can still serve."""

RETRY_PAUSES_S = (0.2, 5.0)
"""First and longest pause between two attempts to reach a peer or the members, seconds."""

CLOSE_TIMEOUT_S = 0.3
"""Time for connections to close with the process, seconds: a paused peer does not answer, and the
process would be killed while it waits."""

LEAVE_TIMEOUT_S = 0.3
"""Time for the removal of the own entry at the end of a stop, seconds: many times what the store
needs, and a part of the time that the platform leaves until it kills the process."""

MAX_REJOIN_PAUSE_S = 1.0
"""Longest pause between two attempts to register this process again after the store was restored
from a copy, seconds: the others keep it for a few seconds without its entry."""

CONNECTED_POLL_S = 0.02
"""Poll interval while a process that has just started waits for its connections, seconds."""

UNREACHABLE_REMOVAL_S = 120.0
"""Time after which an unreachable peer is removed from the members, seconds: far longer than a
restart or a temporary network partition."""


class PeerMesh:
    """The connections of one forwarder to all others.

    Parameters
    ----------
    state : ForwarderState
    identity : Identity
    listen : str
        Address where other forwarders connect; port 0 selects a free port.
    """

    def __init__(self, state: ForwarderState, identity: Identity, listen: str):
        self.state = state
        self.identity = identity
        self.listen = listen
        self.traffic = TrafficCounts()
        self._registry: MemberRegistry = state.platform.members()
        self._tasks = BackgroundTasks(state.clock.now, state.rng, state.metrics.record_task)
        self._links: dict[str, asyncio.Task] = {}
        self._members = KnownMembers()
        self._has_read = False
        self._peer_connections: dict[str, PeerConnection] = {}
        self._bound: socket.socket | None = None
        self._server: PeerServer | None = None
        self._key = b""
        self._store_restored = asyncio.Event()
        self._rejoining: asyncio.Task | None = None
        state.upstream_registry.fleet.set_alone(False)
        self._tables = TableSharing(state.platform.exchange, state.clock, state.rng, post_all)
        state.platform.exchange.on_restored = self._on_store_restored
        self._loads = LoadSharing(state, identity, post_all)
        self._outcomes = OutcomeSharing(state, identity, post_all)
        self._rates = RateSharing(state.rate_limits, identity.incarnation)
        self._statements = StatementSharing(state.statements, post_all)
        self._keys = KeySharing(state, identity.incarnation, post_all)
        self._parts = PartSharing(state.parts, identity.incarnation, post_all)
        self._streams = StreamSharing(
            state.streams, state.origins, identity.incarnation, state.clock
        )
        state.send_stream_starts = self._streams.send
        state.announce_versions = self._streams.announce
        state.ask_stream_origin = self._streams.ask
        state.wait_for_peers = self.wait_until_connected
        state.is_first_of = self._is_first_of
        self._schedule = SendSchedule(self._send_due, self._loads.busy_interval_s)
        state.note_change = self._schedule.note_change
        self._handlers: dict[type, Callable[[PeerConnection, Any], None]] = {
            UpstreamLoads: self._loads.receive,
            LoadsOfDomain: self._loads.receive_domain,
            LoadsElsewhere: self._loads.receive_elsewhere,
            LinkSpeed: self._loads.receive_link,
            UpstreamOutcomes: self._outcomes.receive,
            UpstreamCrash: self._receive_crash,
            KeysHonoured: self._keys.receive_keys,
            NewestConfiguration: self._keys.receive_configuration,
            TableChanges: self._tables.receive_changes,
            EralessTableChanges: self._tables.receive_eraless_changes,
            TableQuestion: self._tables.receive_question,
            TableContent: self._tables.receive_content,
            RateNeeds: self._rates.receive_needs,
            RateGrants: self._rates.receive_grants,
            ColdStartReports: self._rates.receive_cold,
            StatementReports: self._statements.receive,
            PartReports: self._parts.receive,
            RecordedOrigins: self._streams.receive_record,
            StreamStarts: self._streams.receive_starts,
            StreamQuestion: self._streams.receive_question,
            StreamAnswer: self._streams.receive_answer,
            UsageCounts: _ignore,
            ClockReading: _ignore,
            Heartbeat: _ignore,
            Goodbye: _ignore,
        }

    @property
    def connected(self) -> int:
        """Number of other forwarders that are connected."""
        return len(self._peer_connections)

    @property
    def connected_neighbours(self) -> int:
        """Number of other forwarders of the same failure domain that are connected."""
        domain = self.identity.failure_domain
        return sum(peer.peer.failure_domain == domain for peer in self._peer_connections.values())

    @property
    def peer_connections(self) -> Mapping[str, PeerConnection]:
        """Connections to the other forwarders, by incarnation."""
        return self._peer_connections

    def add_handler(self, kind: type, handler: Callable[[PeerConnection, Any], None]) -> None:
        """Call a handler for the messages of a type, on present and future connections."""
        self._handlers[kind] = handler

    def loads_age(self, now: float) -> float:
        """Return the time since this process last received the loads of others, seconds."""
        return self._loads.age(now)

    async def run(self) -> None:
        """Register with the members, and stay connected to them until cancelled."""
        if self._bound is None:
            self._bound = bind_socket(*split_address(self.listen))
        if self._server is None:
            await self._join(self._bound)
        else:
            # Begun again: a new reader begins with the whole table.
            self._registry = self.state.platform.members()
        self._schedule.start()
        try:
            await self._follow_members()
        finally:
            self._schedule.stop()
            self._stop_rejoining()

    async def wait_until_connected(self, limit_s: float) -> bool:
        """Wait until all known members are connected; return whether that took any time."""
        waited = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while not self._has_read or self.connected < len(self._members) - 1:
                    waited = True
                    await asyncio.sleep(CONNECTED_POLL_S)
        return waited

    def _is_first_of(self, name: str) -> bool:
        """Return whether a duty that one process at a time carries out falls to this one."""
        ranked = rank_processes(name, [self.identity.incarnation, *self._peer_connections])
        return ranked[0] == self.identity.incarnation

    async def leave(self) -> None:
        """Remove this process from the members, once it has sent its last request.

        Until then it uses its part of what all members share, and exchanges loads with them.
        """
        self._stop_rejoining()
        me = self._members.get(self.identity.vm)
        if me is None or me.incarnation != self.identity.incarnation:
            return
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_S):
                left = await self._registry.leave(me)
        except TimeoutError:
            log_event(Event.MEMBER_NOT_REMOVED, vm=me.vm, detail="no answer in time")
            return
        if isinstance(left, Err):
            log_event(Event.MEMBER_NOT_REMOVED, vm=me.vm, detail=left.err().detail)

    async def close(self) -> None:
        """Close all connections, and abort those of peers that do not answer."""
        peers = list(self._peer_connections.values())
        closing = asyncio.create_task(self._close_all())
        _, late = await asyncio.wait([closing], timeout=CLOSE_TIMEOUT_S)
        if late:
            _abort_open(peers)
        await closing

    async def _close_all(self) -> None:
        for task in self._links.values():
            task.cancel()
        await asyncio.gather(*self._links.values(), return_exceptions=True)
        if self._server is not None:
            await self._server.close()
        if self._bound is not None:
            self._bound.close()

    def broadcast_crash(self, incarnation: str, digests: list[str]) -> None:
        """Send all peers the digests of the requests that ran at an upstream that went down."""
        post_all(self._peer_connections.values(), UpstreamCrash(incarnation, digests))

    async def _join(self, bound: socket.socket) -> None:
        me = Member(self.identity.vm, self.identity.incarnation, bound_address(bound))
        self._me = me
        pause_s = RETRY_PAUSES_S[0]
        while isinstance(joined := await self._registry.join(me), Err):
            log_event(Event.MEMBERS_UNREACHABLE, detail=joined.err().detail)
            await asyncio.sleep(pause_s * self.state.rng.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, RETRY_PAUSES_S[1])
        self._key = joined.ok()
        server = PeerServer(
            self.identity,
            self._key,
            0.0,
            self.traffic,
            _ignore_count,
            self._handlers,
            self._add_connection,
            self._remove_connection,
        )
        await server.listen(bound)
        self._server = server

    async def _follow_members(self) -> None:
        while True:
            self._store_restored.clear()
            read = await self._registry.next(MEMBERS_LONG_POLL_S)
            if isinstance(read, Err):
                log_event(Event.MEMBERS_UNREACHABLE, detail=read.err().detail)
                await self._pause(self.state.rng.uniform(*RETRY_PAUSES_S))
                continue
            changes = read.ok()
            self._apply_members(changes)
            # The store may also have been restored between joining and the first reading, and
            # another process removes an entry that it cannot reach for long.
            if changes.after_restore or not self._has_read or self._me.vm in changes.removed:
                self._start_rejoining(changes)
            self._has_read = True
            await self._pause(MEMBERS_BATCH_PAUSE_S)

    async def _pause(self, limit_s: float) -> None:
        """Wait for a time, or until the store is restored from a copy if that is earlier.

        The others keep this process only for a short time without its entry.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._store_restored.wait()

    def _on_store_restored(self) -> None:
        self._store_restored.set()

    def _start_rejoining(self, changes: MemberChanges) -> None:
        shown = next((member for member in changes.listed if member.vm == self._me.vm), None)
        is_registered = shown is not None and shown.incarnation == self._me.incarnation
        if is_registered and not changes.after_restore:
            return
        self._stop_rejoining()
        rejoin = functools.partial(self._rejoin, self._me, shown)
        self._rejoining = self._tasks.supervise("rejoining", rejoin)

    def _stop_rejoining(self) -> None:
        if self._rejoining is not None:
            self._rejoining.cancel()

    async def _rejoin(self, me: Member, shown: Member | None) -> None:
        """Register this process again if a store that was restored from a copy lacks its entry."""
        era = self.state.platform.exchange.era
        pause_s = RETRY_PAUSES_S[0]
        while not self.state.leaving:
            rejoined = await self._registry.rejoin(me, self._key, shown)
            if rejoined.is_ok():
                self._replace_key(rejoined.ok())
                kept = shown is not None and shown.incarnation == me.incarnation
                log_event(Event.MEMBER_REJOINED, vm=me.vm, era=era.newest, kept=kept)
                return
            log_event(Event.MEMBERS_UNREACHABLE, detail=rejoined.err().detail)
            await asyncio.sleep(pause_s * self.state.rng.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, MAX_REJOIN_PAUSE_S)

    def _replace_key(self, key: bytes) -> None:
        """Use another shared key for handshakes; open connections are kept."""
        self._key = key
        self._server.key = key

    def _apply_members(self, changes: MemberChanges) -> None:
        now = self.state.clock.now()
        changed = self._members.apply(changes, now)
        self.state.upstream_registry.fleet.update(len(self._members), changes.as_of, now)
        if changed:
            vms = sorted(changed)
            log_event(
                Event.MEMBERS_CHANGED,
                members=len(self._members),
                present=[vm for vm in vms if self._members.get(vm) is not None],
                gone=[vm for vm in vms if self._members.get(vm) is None],
                connected=len(self._peer_connections),
            )
        for vm in changed:
            self._update_link(vm)

    def _update_link(self, vm: str) -> None:
        """Connect to a member. Of each two processes, the one with the smaller VM name connects."""
        task = self._links.pop(vm, None)
        if task is not None:
            task.cancel()
        member = self._members.get(vm)
        if member is not None and self.identity.vm < vm:
            keep = functools.partial(self._keep_connected, member)
            self._links[vm] = self._tasks.supervise("peer_link", keep, peer=vm)

    async def _keep_connected(self, member: Member) -> None:
        pause_s = RETRY_PAUSES_S[0]
        reached_at = self.state.clock.now()
        while True:
            if await self._connect(member):
                pause_s = RETRY_PAUSES_S[0]
                reached_at = self.state.clock.now()
            elif self.state.clock.now() - reached_at > UNREACHABLE_REMOVAL_S:
                log_event(Event.MEMBER_FORGOTTEN, vm=member.vm)
                await self._registry.leave(member)
                return
            await asyncio.sleep(pause_s * self.state.rng.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, RETRY_PAUSES_S[1])

    async def _connect(self, member: Member) -> bool:
        """Connect to a member and serve the connection to its end; return whether it was opened."""
        url = f"ws://{member.address}"
        try:
            async with connect(
                url, open_timeout=HANDSHAKE_TIMEOUT_S, proxy=None, **WEBSOCKET_OPTIONS
            ) as websocket:
                greeted = await initiate_handshake(
                    websocket, self.identity, self._key, self.traffic
                )
                if isinstance(greeted, Err):
                    log_event(Event.HANDSHAKE_REFUSED, vm=member.vm, reason=greeted.err())
                    return False
                await self._exchange_messages(greeted.ok())
                return True
        except (OSError, TimeoutError, WebSocketException) as error:
            log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=type(error).__name__)
            return False

    async def _exchange_messages(self, peer: PeerConnection) -> None:
        async with peer.writing():
            self._add_connection(peer)
            try:
                await peer.read_messages(self._handlers, _ignore_count)
            except ConnectionClosed:
                return
            finally:
                self._remove_connection(peer)

    def _add_connection(self, peer: PeerConnection) -> None:
        self._peer_connections[peer.peer.incarnation] = peer
        # A broken link delivers nothing, not even the end of the connection. Without heartbeats,
        # the peer would count as connected.
        peer.keep_alive(HEARTBEAT_S, RECEIVE_TIMEOUT_S, lambda: Heartbeat(0))
        log_event(Event.PEER_CONNECTED, vm=peer.peer.vm, incarnation=peer.peer.incarnation)
        self._loads.greet(peer)
        self._statements.greet(peer)
        self._rates.greet(peer)
        self._parts.greet(peer)
        self._streams.greet(peer)
        self._keys.greet(peer)
        self._update_peers()

    def _remove_connection(self, peer: PeerConnection) -> None:
        if self._peer_connections.get(peer.peer.incarnation) is peer:
            del self._peer_connections[peer.peer.incarnation]
            self.state.others.forget(peer.peer.incarnation)
            log_event(Event.PEER_DISCONNECTED, vm=peer.peer.vm)
            self._update_peers()

    def _update_peers(self) -> None:
        """Choose the pollers and the recipients again after a change of the connections.

        The pollers are chosen among the processes that broadcast what they read from the platform.
        """
        self._tables.set_peers(self.identity.incarnation, self._peer_connections)
        self._loads.set_peers(self._peer_connections)
        self._schedule.note_change()
        self._rates.set_peers(self._peer_connections)
        self._streams.set_peers(self._peer_connections)
        self._parts.set_peers(self._peer_connections)
        self._statements.set_peers(self._peer_connections.values())
        self._keys.set_peers(self._peer_connections)

    def _send_due(self) -> float:
        """Send what is due now; return the time until something is due without a change."""
        self._loads.send_loads()
        self._outcomes.send(self._loads.targets)
        self._keys.send()
        now = self.state.clock.now()
        return min(
            loads_interval_s(self._loads.domain_size, is_busy=False),
            self._loads.due_in_s(now),
            self._outcomes.due_in_s(now),
            self.state.keys_due_in_s(now),
        )

    def _receive_crash(self, peer: PeerConnection, message: UpstreamCrash) -> None:
        self.state.receive_crash(message.upstream, message.digests, peer.peer.vm)


def _abort_open(peers: Iterable[PeerConnection]) -> None:
    for peer in peers:
        if peer.websocket.state is not State.CLOSED:
            log_event(Event.PEER_UNREACHABLE, vm=peer.peer.vm, reason="did not close in time")
            peer.abort()


def _ignore(peer: PeerConnection, message: Any) -> None:
    """Ignore a message that only shows that the peer is alive."""


def _ignore_count(name: str) -> None:
    """Count nothing: faults are logged."""
