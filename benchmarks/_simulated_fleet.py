"""Forwarders in simulated time: the real state of each process, and links between them.

All processes share one event loop whose time jumps to the next callback. Messages between processes
are encoded, delayed, kept in order on each link, and lost on cut links.
"""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from burdockquay_coordination.forwarding import (
    ForwardRoute,
    RouteKind,
    ServiceShare,
    Switches,
    Upstream,
    is_poller,
)
from burdockquay_platform.tests.simulation import SimulatedClock, SimulatedLoop, SimulatedTime
from burdockquay_protocol import (
    PROTOCOL_VERSIONS,
    ColdStartReports,
    RateGrants,
    RateNeeds,
    TableChanges,
    encode,
)
from burdockquay_transport.forwarding import (
    FeedExchange,
    ForwarderPlatformSettings,
    ForwarderSettings,
)
from burdockquay_transport.forwarding._call import ForwardCall
from burdockquay_transport.forwarding._connections import HeldBackError
from burdockquay_transport.forwarding._rate_sharing import RateSharing
from burdockquay_transport.forwarding._relay import Relay
from burdockquay_transport.forwarding._send_conditions import check_cold, check_statements
from burdockquay_transport.forwarding._state import ForwarderState

SERVICE = "s"
FRAME_BYTES = 10
"""Bytes of a WebSocket frame and of the frame in it, without the message."""

SLOW_SHARE = 0.05
FAST_S, SLOW_S = (0.002, 0.015), (0.03, 0.12)
"""Share of the slow messages and requests, and ranges of the delays of both kinds, seconds."""

MESSAGE_LOSS = 0.002
"""Share of the messages that are lost, as with a connection that breaks while they are queued."""

CONNECT_SHARE = 0.2
"""Share of the requests for which a connection is opened first, which takes two ways more."""

DISCONNECT_S = 1.0
"""Time after which both sides of a cut drop the connection, seconds."""

ROUTE = ForwardRoute(
    "r", "h", "/", RouteKind.IDEMPOTENT, (ServiceShare(SERVICE, 1.0),), 5.0, 0.5, 1, 3
)


class JumpingLoop(SimulatedLoop):
    """An event loop whose time jumps to that of the next callback."""

    def __init__(self, time: SimulatedTime):
        super().__init__(time)
        # Nothing arrives from outside. A cancelled callback at the head of the schedule would make
        # the selector wait in real time.
        self._selector.select = lambda timeout=None: []

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            # A little later, or rounding could let a wait end just before its time again and again.
            self._time.now = max(self._time.now, self._scheduled[0]._when) + 1e-7
        super()._run_once()


@attrs.define
class Platform:
    """What the state of a process needs of an adapter."""

    exchange: FeedExchange
    source: Any = None

    def configuration(self) -> Any:
        """Return the source of the configuration."""
        return self.source


@attrs.frozen
class Vm:
    """Identity of a peer."""

    vm: str
    incarnation: str


class Link:
    """One direction of a connection between two processes, in place of a peer connection."""

    version = max(PROTOCOL_VERSIONS)

    def __init__(self, fleet: Fleet, sender: Host, receiver: Host):
        self.fleet = fleet
        self.sender = sender
        self.receiver = receiver
        self.peer = Vm(receiver.name, receiver.name)
        self._free_at = 0.0

    def post(self, message: Any) -> None:
        """Send a message."""
        fleet = self.fleet
        fleet.bytes[self.sender.name] += len(encode(message)) + FRAME_BYTES
        if fleet.is_cut(self.sender, self.receiver) or fleet.rng.random() < MESSAGE_LOSS:
            return
        self._free_at = max(self._free_at, fleet.loop.time() + fleet.delay_s())
        fleet.loop.call_at(self._free_at, self._deliver, message)

    def _deliver(self, message: Any) -> None:
        back = self.receiver.links.get(self.sender.name)
        if back is not None and self.receiver.is_up:
            self.receiver.gate(self.receiver.receive, back, message)


class Host:
    """One process."""

    def __init__(self, fleet: Fleet, name: str, domain: str):
        self.fleet = fleet
        self.name = name
        self.domain = domain
        self.is_up = True
        self.started_at, self.ended_at = fleet.loop.time(), float("inf")
        self.thawed_at = float("-inf")
        self.was_split = False
        self.links: dict[str, Link] = {}
        self._held: list[tuple[Callable[..., None], tuple]] | None = None
        rng = random.Random(fleet.rng.random())
        self.clock = SimulatedClock(fleet.time, 1.0, rng.uniform(-50, 50))
        self.exchange = FeedExchange(rng, Switches())
        settings = ForwarderSettings(name, domain, ForwarderPlatformSettings("rows", "127.0.0.1:1"))
        self.state = ForwarderState(settings, Platform(self.exchange), self.clock, rng)
        self.state.connected_peers = lambda: len(self.links)
        self.exchange.send_changes = self.broadcast
        limits = self.state.rate_limits
        on_timer = limits._on_timer
        limits._on_timer = lambda: self.gate(on_timer)
        self.sharing = RateSharing(limits, name)
        self.relay = Relay(self.state)
        self.state.upstream_registry.fleet.set_alone(False)

    def gate(self, action: Callable[..., None], *args: Any) -> None:
        """Run an action, once the process goes on if it is frozen."""
        if self._held is not None:
            self._held.append((action, args))
        elif self.is_up:
            action(*args)

    def freeze(self, for_s: float) -> None:
        """Freeze the process for a time."""
        self._held = []
        self.thawed_at = self.fleet.loop.time() + for_s
        self.fleet.loop.call_later(for_s, self._thaw)

    def _thaw(self) -> None:
        held, self._held = self._held, None
        for action, args in held:
            self.gate(action, *args)

    async def thawed(self) -> None:
        """Wait until the process is not frozen."""
        if self._held is not None:
            woken = self.fleet.loop.create_future()
            self.gate(woken.set_result, None)
            await woken

    def broadcast(self, message: Any) -> None:
        """Send a message to all connected processes."""
        for link in self.links.values():
            link.post(message)

    def receive(self, link: Link, message: Any) -> None:
        """Apply a message of the process that a link goes to."""
        if isinstance(message, TableChanges):
            self.exchange.receive_changes(message, self.clock.now())
        elif isinstance(message, RateNeeds):
            self.sharing.receive_needs(link, message)
        elif isinstance(message, RateGrants):
            self.sharing.receive_grants(link, message)
        elif isinstance(message, ColdStartReports):
            self.sharing.receive_cold(link, message)

    def update_peers(self) -> None:
        """Apply a change of the connections."""
        self.sharing.set_peers(self.links)
        self.exchange.choose_pollers(self.name, list(self.links))

    def is_poller(self, table: str) -> bool:
        """Return whether the process polls the store for the changes of a table."""
        return is_poller(table, self.name, list(self.links))

    def make_call(self, rank: int, patience_s: float) -> ForwardCall:
        """Return a plain request that arrives now."""
        now = self.clock.now()
        return ForwardCall(None, None, ROUTE, SERVICE, None, 1, b"", now, now + patience_s, rank)

    async def choose(self, call: ForwardCall) -> Upstream | None:
        """Return the upstream for a call as :class:`Relay` does.

        None if the call is refused, or if the process ends.
        """
        held = self.state.held_calls
        self.state.rate_limits.want(SERVICE, call.rank)
        while (chosen := self.relay._choose(call)) is None:
            if not await held.wait(call):
                return None
            await self.thawed()
            if not self.is_up:
                return None
        held.take(chosen, call.rank)
        held.drop_unneeded_wants(call.service)
        call.sent_at = self.clock.now()
        return chosen

    async def connect(self, call: ForwardCall, upstream: Upstream) -> bool:
        """Open a connection if none is idle; return whether the request may be sent then."""
        if self.fleet.rng.random() < CONNECT_SHARE:
            await asyncio.sleep(2 * self.fleet.delay_s())
            await self.thawed()
        try:
            check_statements(upstream, self.clock.now())
            check_cold(call, upstream, self.clock.now())
        except HeldBackError:
            return False
        call.tried.add(upstream.id)
        return self.is_up


class Fleet:
    """All processes, and the links between them.

    Parameters
    ----------
    size : int
    seed : int
    domains : sequence of str
        Failure domains, to which the processes are assigned in turn.
    """

    def __init__(self, size: int, seed: int, domains: Iterable[str] = ("a",)):
        self.size = size
        self.rng = random.Random(seed)
        self.time = SimulatedTime()
        self.loop = JumpingLoop(self.time)
        self.bytes: dict[str, int] = defaultdict(int)
        self.domains = tuple(domains)
        self.hosts: list[Host] = []
        self.all_hosts: list[Host] = []
        self._sides: list[frozenset[str]] = []
        self._generation = 0

    def delay_s(self, rng: random.Random | None = None) -> float:
        """Return the delay of one message or request, seconds."""
        rng = rng or self.rng
        return rng.uniform(*(SLOW_S if rng.random() < SLOW_SHARE else FAST_S))

    def end(self) -> None:
        """End all processes."""
        for host in self.hosts:
            host.is_up = False
            host.ended_at = self.loop.time()
        self.hosts = []

    def hosts_at(self, moment: float) -> list[Host]:
        """Return the processes that ran at a moment."""
        return [item for item in self.all_hosts if item.started_at <= moment < item.ended_at]

    def start(self) -> None:
        """Start as many processes as belong to the fleet."""
        self._generation += 1
        self.hosts = [
            Host(self, f"p{number}.{self._generation}", self.domains[number % len(self.domains)])
            for number in range(self.size)
        ]
        self.all_hosts += self.hosts
        self._connect()

    def split(self, hosts: Iterable[Host], for_s: float) -> None:
        """Cut all links between some processes and the others."""
        hosts = list(hosts)
        for host in hosts:
            host.was_split = True
        side = frozenset(host.name for host in hosts)
        self._sides.append(side)
        self.loop.call_later(DISCONNECT_S, self._connect)
        self.loop.call_later(for_s, self._rejoin, side)

    def is_cut(self, one: Host, other: Host) -> bool:
        """Return whether the link between two processes is cut."""
        return any((one.name in side) != (other.name in side) for side in self._sides)

    def _rejoin(self, side: frozenset[str]) -> None:
        self._sides.remove(side)
        self._connect()

    def _connect(self) -> None:
        """Open and drop connections as the cuts demand, and greet new peers."""
        for host in self.hosts:
            peers = [item for item in self.hosts if item is not host]
            known, host.links = host.links, {}
            for peer in peers:
                if not self.is_cut(host, peer):
                    host.links[peer.name] = known.get(peer.name) or Link(self, host, peer)
            fresh = [link for name, link in host.links.items() if name not in known]
            if fresh or len(known) != len(host.links):
                host.update_peers()
                for link in fresh:
                    host.sharing.greet(link)
