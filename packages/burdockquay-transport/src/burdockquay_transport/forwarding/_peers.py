"""What the forwarders tell each other: what each has at the upstreams, and crashes."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable
from typing import Any

from result import Err
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.protocol import State

from burdockquay_coordination.forwarding import rank_processes
from burdockquay_protocol import (
    EralessTableChanges,
    Goodbye,
    Heartbeat,
    KeysHonoured,
    LoadsElsewhere,
    LoadsOfDomain,
    NewestConfiguration,
    TableChanges,
    UpstreamCrash,
    UpstreamLoads,
    UpstreamOutcomes,
)

from .._addresses import bind_socket, bound_address, split_address
from .._events import Event, log_event
from .._peer import (
    HANDSHAKE_TIMEOUT_S,
    HEARTBEAT_S,
    SILENCE_S,
    WEBSOCKET_OPTIONS,
    EncodedMessage,
    Identity,
    PeerConnection,
    TrafficCounts,
    greet_peer,
)
from .._peer_server import PeerServer
from ._load_sharing import LoadSharing, RepeatedNews
from ._member_book import MemberBook
from ._outcome_sharing import OutcomeSharing
from ._platform import Member, MemberChanges, MemberRegistry
from ._state import ForwarderState

TELL_S = 0.04
"""Time between two messages about loads, seconds. A prompt waits some tenths of a second to be
read: others that hear of it later than that send theirs to the same upstream."""

IDLE_TELL_S = 0.1
"""The same for a process that has nothing at the upstreams, seconds: it wakes less often."""

MAX_MESSAGES_PER_S = 500
"""Messages about loads that a relay sends to the processes of its failure domain together; with
more of them each hears less often."""

KEYS_TOLD_TO = 8
"""Other processes that one tells whether it honours API keys: enough that each hears from some."""

MEMBERS_WAIT_S = 10.0
"""How long the platform holds a question for changes of the members, seconds."""

GATHER_S = 1.0
"""Pause after news of the members before the next question, seconds. When all processes start
together, each would otherwise ask once for each other one. A process that joins a second later is
served all the same."""

RETRY_S = (0.2, 5.0)
"""First and longest pause between two tries to reach a peer, seconds."""

CLOSE_S = 0.3
"""Time for connections to close with the process, seconds: a paused peer does not answer, and the
process would be killed while it waits."""

MAX_REJOIN_PAUSE_S = 1.0
"""Longest pause between two tries to enter this process again after the store came back, seconds:
the others keep it for a few seconds without its entry."""

FORGET_S = 120.0
"""Time after which an unreachable peer is taken out of the members, seconds: far longer than a
restart or a partition that heals."""


class PeerMesh:
    """The connections of one forwarder to all others.

    Parameters
    ----------
    state : ForwarderState
    identity : Identity
    listen : str
        Address where other forwarders connect; with port 0 any that is free.
    """

    def __init__(self, state: ForwarderState, identity: Identity, listen: str):
        self.state = state
        self.identity = identity
        self.listen = listen
        self.traffic = TrafficCounts()
        self._registry: MemberRegistry = state.platform.members()
        self._links: dict[str, asyncio.Task] = {}
        self._members = MemberBook()
        self._up: dict[str, PeerConnection] = {}
        self._bound: socket.socket | None = None
        self._server: PeerServer | None = None
        self._key = b""
        self._returned = asyncio.Event()
        self._rejoining: asyncio.Task | None = None
        state.platform.exchange.tell = self._post_changes
        state.platform.exchange.on_return = self._note_return
        self._loads = LoadSharing(state, identity, post_all)
        self._outcomes = OutcomeSharing(state, identity, post_all)
        self._keys = RepeatedNews()
        self._newest_configuration = RepeatedNews()
        self._told_of_keys: list[PeerConnection] = []
        self._handlers: dict[type, Callable[[PeerConnection, Any], None]] = {
            UpstreamLoads: self._loads.hear,
            LoadsOfDomain: self._loads.hear_domain,
            LoadsElsewhere: self._loads.hear_elsewhere,
            UpstreamOutcomes: self._outcomes.hear,
            UpstreamCrash: self._hear_crash,
            KeysHonoured: self._hear_keys,
            NewestConfiguration: self._hear_configuration,
            TableChanges: self._hear_changes,
            EralessTableChanges: self._hear_eraless_changes,
            Heartbeat: _ignore,
            Goodbye: _ignore,
        }

    @property
    def connected(self) -> int:
        """How many other forwarders are connected."""
        return len(self._up)

    def loads_age(self, now: float) -> float:
        """Return the time since this process heard of the requests of others, seconds."""
        return self._loads.age(now)

    async def run(self) -> None:
        """Join the members, and connect to them until cancelled."""
        self._bound = bind_socket(*split_address(self.listen))
        await self._join(self._bound)
        telling = asyncio.create_task(self._keep_telling())
        try:
            await self._follow_members()
        finally:
            telling.cancel()
            self._stop_rejoining()

    async def leave(self) -> None:
        """Take this process out of the members."""
        self._stop_rejoining()
        me = self._members.get(self.identity.vm)
        if me is None or me.incarnation != self.identity.incarnation:
            return
        left = await self._registry.leave(me)
        if isinstance(left, Err):
            log_event(Event.MEMBER_NOT_REMOVED, vm=me.vm, detail=left.err().detail)

    async def close(self) -> None:
        """Close all connections, and cut those of peers that do not answer."""
        peers = list(self._up.values())
        closing = asyncio.create_task(self._close_all())
        _, late = await asyncio.wait([closing], timeout=CLOSE_S)
        if late:
            _cut_open(peers)
        await closing

    async def _close_all(self) -> None:
        for task in self._links.values():
            task.cancel()
        await asyncio.gather(*self._links.values(), return_exceptions=True)
        if self._server is not None:
            await self._server.close()
        if self._bound is not None:
            self._bound.close()

    def tell_crash(self, incarnation: str, digests: list[str]) -> None:
        """Tell all others which requests ran at an upstream that went down."""
        self._post(UpstreamCrash(incarnation, digests))

    async def _join(self, bound: socket.socket) -> None:
        me = Member(self.identity.vm, self.identity.incarnation, bound_address(bound))
        self._me = me
        pause_s = RETRY_S[0]
        while isinstance(joined := await self._registry.join(me), Err):
            log_event(Event.MEMBERS_UNREACHABLE, detail=joined.err().detail)
            await asyncio.sleep(pause_s * self.state.rng.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, RETRY_S[1])
        self._key = joined.ok()
        self._server = PeerServer(
            self.identity,
            self._key,
            0.0,
            self.traffic,
            _ignore_count,
            self._handlers,
            self._come_up,
            self._go_down,
        )
        await self._server.listen(bound)

    async def _follow_members(self) -> None:
        has_read = False
        while True:
            self._returned.clear()
            read = await self._registry.next(MEMBERS_WAIT_S)
            if isinstance(read, Err):
                log_event(Event.MEMBERS_UNREACHABLE, detail=read.err().detail)
                await self._pause(self.state.rng.uniform(*RETRY_S))
                continue
            self._take_members(read.ok())
            # Between the joining and the first reading the store may have come back, too.
            if read.ok().after_return or not has_read:
                self._start_rejoining(read.ok())
            has_read = True
            await self._pause(GATHER_S)

    async def _pause(self, limit_s: float) -> None:
        """Wait, no longer than until the store comes back from a copy.

        The others keep this process only for a short time without its entry.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._returned.wait()

    def _note_return(self) -> None:
        self._returned.set()

    def _start_rejoining(self, changes: MemberChanges) -> None:
        shown = next((member for member in changes.listed if member.vm == self._me.vm), None)
        is_entered = shown is not None and shown.incarnation == self._me.incarnation
        if is_entered and not changes.after_return:
            return
        self._stop_rejoining()
        self._rejoining = asyncio.create_task(self._rejoin(self._me, shown))

    def _stop_rejoining(self) -> None:
        if self._rejoining is not None:
            self._rejoining.cancel()

    async def _rejoin(self, me: Member, shown: Member | None) -> None:
        """Enter this process again where a store that came back from a copy lacks it."""
        era = self.state.platform.exchange.era
        pause_s = RETRY_S[0]
        while not self.state.leaving:
            rejoined = await self._registry.rejoin(me, self._key, shown)
            if rejoined.is_ok():
                self._take_key(rejoined.ok())
                kept = shown is not None and shown.incarnation == me.incarnation
                log_event(Event.MEMBER_REJOINED, vm=me.vm, era=era.newest, kept=kept)
                return
            log_event(Event.MEMBERS_UNREACHABLE, detail=rejoined.err().detail)
            await asyncio.sleep(pause_s * self.state.rng.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, MAX_REJOIN_PAUSE_S)

    def _take_key(self, key: bytes) -> None:
        """Greet with the shared key that stands; connections that are up stay so."""
        self._key = key
        self._server.key = key

    def _take_members(self, changes: MemberChanges) -> None:
        changed = self._members.take(changes, self.state.clock.now())
        self.state.book.processes = len(self._members)
        for vm in changed:
            self._link(vm)

    def _link(self, vm: str) -> None:
        """Connect to a member. Of each two processes the one with the smaller name connects."""
        task = self._links.pop(vm, None)
        if task is not None:
            task.cancel()
        member = self._members.get(vm)
        if member is not None and self.identity.vm < vm:
            self._links[vm] = asyncio.create_task(self._keep_connected(member))

    async def _keep_connected(self, member: Member) -> None:
        pause_s = RETRY_S[0]
        reached_at = self.state.clock.now()
        while True:
            if await self._connect(member):
                pause_s = RETRY_S[0]
                reached_at = self.state.clock.now()
            elif self.state.clock.now() - reached_at > FORGET_S:
                log_event(Event.MEMBER_FORGOTTEN, vm=member.vm)
                await self._registry.leave(member)
                return
            await asyncio.sleep(pause_s * self.state.rng.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, RETRY_S[1])

    async def _connect(self, member: Member) -> bool:
        """Own one connection to a member; return whether it came about."""
        url = f"ws://{member.address}"
        try:
            async with connect(
                url, open_timeout=HANDSHAKE_TIMEOUT_S, proxy=None, **WEBSOCKET_OPTIONS
            ) as websocket:
                greeted = await greet_peer(websocket, self.identity, self._key, self.traffic)
                if isinstance(greeted, Err):
                    log_event(Event.HANDSHAKE_REFUSED, vm=member.vm, reason=greeted.err())
                    return False
                await self._converse(greeted.ok())
                return True
        except (OSError, TimeoutError, WebSocketException) as error:
            log_event(Event.PEER_UNREACHABLE, vm=member.vm, reason=type(error).__name__)
            return False

    async def _converse(self, peer: PeerConnection) -> None:
        async with peer.writing():
            self._come_up(peer)
            try:
                await peer.read_messages(self._handlers, _ignore_count)
            except ConnectionClosed:
                return
            finally:
                self._go_down(peer)

    def _come_up(self, peer: PeerConnection) -> None:
        self._up[peer.peer.incarnation] = peer
        # A cut link sends nothing, not even an end; without this it would count as connected.
        peer.keep_alive(HEARTBEAT_S, SILENCE_S, lambda: Heartbeat(0))
        log_event(Event.PEER_CONNECTED, vm=peer.peer.vm, incarnation=peer.peer.incarnation)
        self._keys.forget()
        newest = self.state.standing.newest
        if newest:
            # It may have started on an older configuration, as a store shows that has come back.
            peer.post(EncodedMessage(NewestConfiguration(newest)))
        self._note_peers()

    def _go_down(self, peer: PeerConnection) -> None:
        if self._up.get(peer.peer.incarnation) is peer:
            del self._up[peer.peer.incarnation]
            self.state.others.forget(peer.peer.incarnation)
            log_event(Event.PEER_DISCONNECTED, vm=peer.peer.vm)
            self._note_peers()

    def _note_peers(self) -> None:
        """Choose anew who asks the platform, among the processes that tell what they hear."""
        exchange = self.state.platform.exchange
        needed = TableChanges if exchange.era.newest else EralessTableChanges
        others = [name for name, peer in self._up.items() if peer.version >= needed.since]
        exchange.note_peers(self.identity.incarnation, others)
        self._loads.note_peers(self._up)
        near = rank_processes(self.identity.incarnation, self._up)[:KEYS_TOLD_TO]
        self._told_of_keys = [self._up[name] for name in near]

    async def _keep_telling(self) -> None:
        while True:
            is_busy = self.state.book.in_use() or self._loads.is_relay
            shortest_s = TELL_S if is_busy else IDLE_TELL_S
            await asyncio.sleep(max(shortest_s, self._loads.served / MAX_MESSAGES_PER_S))
            self._loads.tell()
            self._outcomes.tell(self._loads.targets)
            self._tell_keys()

    def _tell_keys(self) -> None:
        now = self.state.clock.now()
        honoured = self.state.keys_trusted(now)
        if self._keys.is_due(honoured, now):
            post_all(self._told_of_keys, KeysHonoured(honoured))
        standing = self.state.standing
        newest = 0 if standing.is_unproven(now) else standing.newest
        if newest and self._newest_configuration.is_due(newest, now):
            post_all(self._told_of_keys, NewestConfiguration(newest))

    def _post(self, message: Any) -> None:
        post_all(self._up.values(), message)

    def _post_changes(self, message: TableChanges) -> None:
        """Tell the others of a table.

        A process that knows no eras is told only while the store names none: it would take the
        revisions of one era for those of another.
        """
        known = [peer for peer in self._up.values() if peer.version >= TableChanges.since]
        post_all(known, message)
        if message.era == 0 and len(known) < len(self._up):
            former = [peer for peer in self._up.values() if peer.version < TableChanges.since]
            post_all(former, message.without_era())

    def _hear_keys(self, peer: PeerConnection, message: KeysHonoured) -> None:
        self.state.others.hear(peer.peer.incarnation, message.honoured, self.state.clock.now())

    def _hear_changes(self, peer: PeerConnection, message: TableChanges) -> None:
        self.state.platform.exchange.hear(message, self.state.clock.now())

    def _hear_eraless_changes(self, peer: PeerConnection, message: EralessTableChanges) -> None:
        self._hear_changes(peer, message.in_first_era())

    def _hear_configuration(self, peer: PeerConnection, message: NewestConfiguration) -> None:
        self.state.standing.note_vouched(message.version, self.state.clock.now())

    def _hear_crash(self, peer: PeerConnection, message: UpstreamCrash) -> None:
        for digest in message.digests:
            self.state.suspects.note_crash(digest, message.upstream, self.state.clock.now())


def post_all(peers: Iterable[PeerConnection], message: Any) -> None:
    """Queue a message for some connections, encoded once for all."""
    encoded = EncodedMessage(message)
    for peer in peers:
        peer.post(encoded)


def _cut_open(peers: Iterable[PeerConnection]) -> None:
    for peer in peers:
        if peer.websocket.state is not State.CLOSED:
            log_event(Event.PEER_UNREACHABLE, vm=peer.peer.vm, reason="does not close")
            peer.abort()


def _ignore(peer: PeerConnection, message: Any) -> None:
    """Take a message that only shows that the peer lives."""


def _ignore_count(name: str) -> None:
    """Count nothing: the log line of a fault tells it."""
