"""Exchange of the load at the upstreams between forwarders."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from burdockquay_coordination.forwarding import (
    NO_LOAD,
    LoadRelay,
    LoadShare,
    LoadUpdate,
    Mechanism,
    RelayGroups,
    RelaySelector,
    UpstreamRegistry,
    group_relays,
    relay_interval_s,
    suits_relay,
)
from burdockquay_protocol import (
    LinkSpeed,
    LoadsElsewhere,
    LoadsOfDomain,
    PromptPart,
    UpstreamLoad,
    UpstreamLoads,
)

from .._peer import EncodedMessage, Identity, PeerConnection
from ._send_schedule import loads_interval_s
from ._state import ForwarderState

REPEAT_INTERVAL_S = 1.0
"""Time after which unchanged values are sent again, seconds, so that receivers do not take the
sender for unavailable."""

RECENT_PARTS_S = 5.0
"""Age up to which prompt parts read by this process are sent again to a new relay, seconds: the
previous relay may have failed before it passed them on. Longer than the time for which a relay is
left out before it is tried again."""

MAX_INITIAL_PARTS = 4000
"""Most prompt parts sent to a process which has just started, some hundred kilobytes."""

NEW_PEER_S = 5.0
"""Time after its connection was opened in which a process counts as new, seconds. Only a new
process is sent all prompt parts that upstreams hold: the others received them from the previous
relay."""

MAX_INITIAL_PARTS_FROM_NEW = 200
"""Most prompt parts sent to a new peer by a process that is new itself: it takes every peer for
new, although the peers have received as many parts as it has."""

RELAY_SUM_SOURCE = "elsewhere"
"""Source name of the loads that a relay adds up for this process."""

BYTES_PER_MEGABIT = 125_000.0

REGION_PREFIX = "region "
"""Prefix of the name under which the loads of a whole region are sent. No name of a failure domain
has a space."""

REGION_RELAYS_SINCE = 12
"""Protocol version from which regions exchange through one relay each. While a process with an
older one is connected, the relays of all failure domains exchange directly, as it expects."""

Post = Callable[[Iterable[PeerConnection], Any], None]


@attrs.frozen
class RelayTargets:
    """The peers to which this process sends loads and outcomes.

    Parameters
    ----------
    relay : PeerConnection or None
        The relay of its failure domain; None if this process is the relay or there is none.
    near : mapping of str to PeerConnection
        The processes of its failure domain that use it as their relay, by incarnation.
    far : mapping of str to PeerConnection
        The relays of the other failure domains, if this process is a relay.
    across : mapping of str to PeerConnection
        The relays of the other regions, if this process is the relay of its own.
    """

    relay: PeerConnection | None
    near: Mapping[str, PeerConnection]
    far: Mapping[str, PeerConnection]
    across: Mapping[str, PeerConnection] = attrs.field(factory=dict)

    @property
    def recipients(self) -> dict[str, PeerConnection]:
        """The peers to which this process sends as a relay."""
        return {**self.near, **self.far, **self.across}


class ChangeRepeater:
    """Decides when to send a value: when it changes, and at a fixed interval without changes."""

    def __init__(self):
        self._sent: Any = None
        self._sent_at = float("-inf")

    def is_due(self, value: Any, now: float) -> bool:
        """Return whether to send a value now, and record it as sent if so."""
        if value == self._sent and now - self._sent_at < REPEAT_INTERVAL_S:
            return False
        self._sent = value
        self._sent_at = now
        return True

    def due_in_s(self, now: float) -> float:
        """Return the time until the value is sent again without a change, seconds."""
        return self._sent_at + REPEAT_INTERVAL_S - now

    def reset(self) -> None:
        """Make the value due: a process that has just connected has not received it."""
        self._sent_at = float("-inf")


class LoadSharing:
    """Sends the load of this process at the upstreams to peers, and applies the loads of others.

    Parameters
    ----------
    state : ForwarderState
    identity : Identity
    post : callable
        Sends a message on some connections.
    """

    def __init__(self, state: ForwarderState, identity: Identity, post: Post):
        self.state = state
        self.identity = identity
        self.post = post
        self.relay = LoadRelay()
        self._peers: dict[str, PeerConnection] = {}
        self._connected_at: dict[str, float] = {}
        self._started_at = state.clock.now()
        self._groups = RelayGroups([identity.incarnation], {})
        self._legacy_peers: list[PeerConnection] = []
        self._near_watch = RelaySelector()
        self._far_watches: dict[str, RelaySelector] = defaultdict(RelaySelector)
        self._chosen_relay: str | None = None
        self._near: list[str] = []
        self._received_at = float("-inf")
        self._far: list[str] = []
        self._across: list[str] = []
        self._recent_parts: deque[tuple[float, UpstreamLoad]] = deque(maxlen=200)
        self._repeater = ChangeRepeater()
        link_mbps = state.settings.link_mbps
        self._link_bytes_per_s = None if link_mbps is None else link_mbps * BYTES_PER_MEGABIT
        self._slow_peers: set[str] = set()
        self._round_bytes = 0
        self._upstreams_by_source: dict[str, set[str]] = {}

    @property
    def is_relay(self) -> bool:
        """Whether this process adds up the loads of its failure domain."""
        return self._chosen_relay == self.identity.incarnation

    @property
    def targets(self) -> RelayTargets:
        """The peers to which this process sends now."""
        peers = self._peers
        return RelayTargets(
            None if self.is_relay else peers.get(self._chosen_relay),
            {name: peers[name] for name in self._near if name in peers},
            {name: peers[name] for name in self._far if name in peers},
            {name: peers[name] for name in self._across if name in peers},
        )

    def age(self, now: float) -> float:
        """Return the time since this process last received the loads of others, seconds."""
        return now - self._received_at

    @property
    def domain_size(self) -> int:
        """Number of connected processes of the failure domain, with this one."""
        return len(self._groups.own)

    @property
    def follower_count(self) -> int:
        """Number of processes that use this one as their relay."""
        return len(self._near)

    def busy_interval_s(self) -> float:
        """Return the shortest time between two messages about loads, seconds."""
        shortest_s = loads_interval_s(self.domain_size, is_busy=True)
        return max(shortest_s, relay_interval_s(self._round_bytes, self._link_bytes_per_s))

    def greet(self, peer: PeerConnection) -> None:
        """Send a process that has just connected the speed of the link of this one."""
        if self._link_bytes_per_s is not None:
            self.post([peer], LinkSpeed(self._link_bytes_per_s))

    def receive_link(self, peer: PeerConnection, message: LinkSpeed) -> None:
        """Rank the relays again once the speed of the link of another process is known."""
        if not suits_relay(message.bytes_per_s):
            self._slow_peers.add(peer.peer.incarnation)
            self.set_peers(self._peers)

    def set_peers(self, peers: Mapping[str, PeerConnection]) -> None:
        """Set which processes are connected, by incarnation."""
        for disconnected in self._peers.keys() - peers.keys():
            self.relay.forget(disconnected)
            self._apply(disconnected, [], is_whole=True)
        self._peers = dict(peers)
        now = self.state.clock.now()
        self._connected_at = {name: self._connected_at.get(name, now) for name in peers}
        with_relays = {
            name: peer.peer.failure_domain
            for name, peer in peers.items()
            if peer.version >= LoadsOfDomain.since
        }
        self._legacy_peers = [peer for peer in peers.values() if peer.version < LoadsOfDomain.since]
        regions = self.state.region_map
        is_regional = regions.has_several and all(
            peer.version >= REGION_RELAYS_SINCE for peer in peers.values()
        )
        self._groups = group_relays(
            self.identity.incarnation,
            self.identity.failure_domain,
            with_relays,
            regions if is_regional else None,
            self._list_slow(peers),
        )
        self._repeater.reset()

    def _list_slow(self, peers: Mapping[str, PeerConnection]) -> set[str]:
        """Return the processes whose links do not suit a relay.

        None are named while a process of an earlier release is connected, which would choose other
        relays.
        """
        self._slow_peers &= peers.keys()
        if not all(peer.version >= LinkSpeed.since for peer in peers.values()):
            return set()
        own = set() if suits_relay(self._link_bytes_per_s) else {self.identity.incarnation}
        return self._slow_peers | own

    def due_in_s(self, now: float) -> float:
        """Return the time until something is to be sent or decided without a change, seconds."""
        watches = (self._near_watch, *self._far_watches.values())
        due_s = [self.relay.due_in_s(now), *(watch.due_in_s(now) for watch in watches)]
        if not self.is_relay and self._chosen_relay in self._peers:
            due_s.append(self._repeater.due_in_s(now))
        return min(due_s)

    def send_loads(self) -> None:
        """Send own loads to the relay, and as a relay pass on those of others."""
        now = self.state.clock.now()
        self._choose_relay(now)
        self._choose_targets(now)
        loads = [
            _make_load(upstream.incarnation, upstream.share(), upstream.take_unsent_parts())
            for upstream in self.state.upstream_registry.all()
            if upstream.outstanding or upstream.unsent_parts
        ]
        self._recent_parts.extend((now, load) for load in loads if load.parts)
        self._receive_for_relaying(self.identity.incarnation, loads, now)
        recipients = list(self._legacy_peers)
        if not self.is_relay and self._chosen_relay in self._peers:
            recipients.append(self._peers[self._chosen_relay])
        if recipients and self._repeater.is_due(loads, now):
            self.post(recipients, UpstreamLoads(loads))
        self._send_pending(now)

    def receive(self, peer: PeerConnection, message: UpstreamLoads) -> None:
        """Apply the loads of another process."""
        name = peer.peer.incarnation
        if peer.version >= LoadsOfDomain.since:
            self._receive_for_relaying(name, message.loads, self.state.clock.now())
            if self.relay.has_changes or name not in self._near:
                self.state.note_change()
            if not self.is_relay:
                # The relay of this process sends the same loads.
                return
        self._apply(name, message.loads, is_whole=True)

    def receive_domain(self, peer: PeerConnection, message: LoadsOfDomain) -> None:
        """Apply the loads of another failure domain or region."""
        now = self.state.clock.now()
        self._far_watches[message.domain].record_relay_message(peer.peer.incarnation, now)
        source = f"domain {message.domain}"
        shares = {load.upstream: _load_share(load) for load in message.loads}
        is_across = message.domain.startswith(REGION_PREFIX)
        self.relay.receive_update(source, shares, now, False, message.is_whole, is_across)
        self._receive_parts(source, message.loads)
        if self.relay.has_changes:
            self.state.note_change()
        if self.is_relay:
            self._apply(source, message.loads, message.is_whole)

    def receive_elsewhere(self, peer: PeerConnection, message: LoadsElsewhere) -> None:
        """Apply the loads of all other processes as added up by a relay."""
        self._near_watch.record_relay_message(peer.peer.incarnation, self.state.clock.now())
        if peer.peer.incarnation == self._chosen_relay:
            self._apply(RELAY_SUM_SOURCE, message.loads, message.is_whole)

    def _choose_relay(self, now: float) -> None:
        me = self.identity.incarnation
        chosen = self._near_watch.choose(self._groups.own, now, me)
        if chosen == self._chosen_relay:
            return
        was_relay = self.is_relay
        self._chosen_relay = chosen
        self._repeater.reset()
        self._requeue_recent_parts(now)
        if was_relay or self.is_relay:
            # From now on, the loads of the same processes are received from another source.
            for source in list(self._upstreams_by_source):
                self._apply(source, [], is_whole=True)

    def _requeue_recent_parts(self, now: float) -> None:
        for at, load in self._recent_parts:
            upstream = self.state.upstream_registry.find(load.upstream)
            if upstream is not None and now - at <= RECENT_PARTS_S:
                upstream.unsent_parts |= {part.id: part.tokens for part in load.parts}

    def _receive_for_relaying(self, source: str, loads: list[UpstreamLoad], now: float) -> None:
        shares = {load.upstream: _load_share(load) for load in loads}
        self.relay.receive_update(source, shares, now, is_near=True)
        self._receive_parts(source, loads)

    def _receive_parts(self, source: str, loads: Iterable[UpstreamLoad]) -> None:
        for load in loads:
            if load.parts:
                parts = {part.id: part.tokens for part in load.parts}
                self.relay.receive_parts(source, load.upstream, parts)
                self._queue_parts_for_relay(source, load.upstream, parts)

    def _queue_parts_for_relay(
        self, source: str, incarnation: str, parts: Mapping[str, int]
    ) -> None:
        """Queue parts for the relay that peers sent to this process instead.

        That happens while the relay changes. Each part is sent only once, so that otherwise no
        process of the failure domain would receive it.
        """
        upstream = self.state.upstream_registry.find(incarnation)
        if upstream is not None and not self.is_relay and source != self.identity.incarnation:
            upstream.unsent_parts |= parts
            for part, tokens in parts.items():
                upstream.memory.record_read(part, tokens)
            self.state.note_change()

    def _choose_targets(self, now: float) -> None:
        """Find the processes that use this one as relay, and the relays of the other domains."""
        me = self.identity.incarnation
        near = [name for name in self.relay.local_sources(now) if name != me]
        far, across = [], []
        if self.is_relay:
            for domain, ranked in self._groups.far.items():
                far.append(self._far_watches[domain].choose(ranked, now))
        if self.is_relay and self._groups.is_gateway:
            for region, ranked in self._groups.across.items():
                watch = self._far_watches[REGION_PREFIX + region]
                across.append(watch.choose(ranked, now))
        self._near, self._far, self._across = near, far, across
        for name in self.relay.set_recipients(near, far, across):
            if now - self._connected_at.get(name, now) < NEW_PEER_S:
                self._queue_known_parts(name, now)

    def _send_pending(self, now: float) -> None:
        """Send all targets the changes since the last message."""
        self._round_bytes = 0
        for name, changes in self.relay.compose_all(now).items():
            if name in self._peers:
                message = EncodedMessage(self._message(changes, name))
                self._round_bytes += len(message.data)
                self._peers[name].post(message)

    def _queue_known_parts(self, target: str, now: float) -> None:
        """Queue for a new process the prompt parts that upstreams have in memory.

        Without them, it would have upstreams process shared parts again that others have cached.
        """
        is_new = now - self._started_at < NEW_PEER_S
        most = MAX_INITIAL_PARTS_FROM_NEW if is_new else MAX_INITIAL_PARTS
        upstreams = self.state.upstream_registry.all()
        for upstream in upstreams:
            parts = upstream.memory.newest(math.ceil(most / len(upstreams)))
            if parts:
                self.relay.add_parts(target, upstream.incarnation, parts)

    def _message(self, changes: LoadUpdate, target: str) -> LoadsOfDomain | LoadsElsewhere:
        loads = [
            _make_load(name, share, changes.parts.get(name, {}))
            for name, share in changes.shares.items()
        ]
        domain = self.identity.failure_domain
        if target in self._across:
            region = self.state.region_map.region_of(domain) or f"of {domain}"
            return LoadsOfDomain(REGION_PREFIX + region, changes.is_whole, loads)
        if target in self._far:
            return LoadsOfDomain(domain, changes.is_whole, loads)
        return LoadsElsewhere(changes.is_whole, loads)

    def _apply(self, source: str, loads: list[UpstreamLoad], is_whole: bool) -> None:
        """Apply the loads of one source."""
        now = self.state.clock.now()
        self._received_at = now
        upstream_registry = self.state.upstream_registry
        if self.state.switches.uses(Mechanism.SHARED_LOADS):
            listed = {load.upstream for load in loads}
            known = self._upstreams_by_source.get(source, set())
            for incarnation in known - listed if is_whole else ():
                _apply_share(upstream_registry, incarnation, source, NO_LOAD, now)
            for load in loads:
                _apply_share(upstream_registry, load.upstream, source, _load_share(load), now)
            self._upstreams_by_source[source] = listed if is_whole else known | listed
        # Parts are sent once a request with them has its first token.
        self.state.parts.note_answered(part.id for load in loads for part in load.parts)
        if self.state.switches.uses(Mechanism.SHARED_PARTS):
            _record_parts(upstream_registry, loads)
        self.state.evaluate_waiting()


def _apply_share(
    upstream_registry: UpstreamRegistry, incarnation: str, source: str, share: LoadShare, now: float
) -> None:
    # Processes receive the restart of an upstream at different times. Loads of another incarnation
    # than the one known here do not belong to it.
    upstream = upstream_registry.find(incarnation)
    if upstream is not None:
        upstream.pending.receive_update(source, share, now)


def _record_parts(upstream_registry: UpstreamRegistry, loads: Iterable[UpstreamLoad]) -> None:
    for load in loads:
        upstream = upstream_registry.find(load.upstream) if load.parts else None
        for part in load.parts if upstream is not None else ():
            upstream.memory.record_read(part.id, part.tokens)


def _load_share(load: UpstreamLoad) -> LoadShare:
    return LoadShare(load.prompt_tokens, load.running)


def _make_load(incarnation: str, share: LoadShare, parts: Mapping[str, int]) -> UpstreamLoad:
    sent = [PromptPart(id_, tokens) for id_, tokens in parts.items()]
    return UpstreamLoad(incarnation, share.tokens, share.running, sent)
