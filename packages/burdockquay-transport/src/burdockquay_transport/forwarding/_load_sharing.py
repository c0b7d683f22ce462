"""What the forwarders tell each other of their requests at the upstreams."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs

from burdockquay_coordination.forwarding import (
    NO_LOAD,
    LoadNews,
    LoadRelay,
    LoadShare,
    Mechanism,
    RelayWatch,
    UpstreamBook,
    rank_processes,
    split_by_domain,
)
from burdockquay_protocol import (
    LoadsElsewhere,
    LoadsOfDomain,
    PromptPart,
    UpstreamLoad,
    UpstreamLoads,
)

from .._peer import Identity, PeerConnection
from ._state import ForwarderState

REPEAT_S = 1.0
"""Time after which unchanged figures are told again, seconds, so that they are not taken for those
of a process that is gone."""

RECENT_PARTS_S = 5.0
"""Age up to which prompt parts read by this process are told again to a new relay, seconds: the one
before may have been lost with them. Longer than a relay is left before it is tried again."""

MAX_KNOWN_PARTS = 4000
"""Most prompt parts that a process which has just started is told of, some hundred kilobytes."""

NEW_S = 5.0
"""Time after its connection came up in which a process counts as new, seconds. Only such a one is
told all that upstreams hold: the others were told by the relay before this one."""

MAX_PARTS_OF_NEW = 200
"""Most prompt parts told by a process that is new itself: all others seem new to it, and know as
much as it does."""

ELSEWHERE = "elsewhere"
"""Source of the figures that a relay adds up for this process."""

Post = Callable[[Iterable[PeerConnection], Any], None]


@attrs.frozen
class RelayTargets:
    """Whom this process speaks to about upstreams.

    Parameters
    ----------
    relay : PeerConnection or None
        The relay of its failure domain, None if it is that itself or has none.
    near : mapping of str to PeerConnection
        The processes of its failure domain that hear from it as their relay, by incarnation.
    far : mapping of str to PeerConnection
        The relays of the other failure domains that hear from it.
    """

    relay: PeerConnection | None
    near: Mapping[str, PeerConnection]
    far: Mapping[str, PeerConnection]


class RepeatedNews:
    """Something that is told when it changes, and again after a while."""

    def __init__(self):
        self._told: Any = None
        self._told_at = float("-inf")

    def is_due(self, news: Any, now: float) -> bool:
        """Return whether to tell it now, and take it as told if so."""
        if news == self._told and now - self._told_at < REPEAT_S:
            return False
        self._told = news
        self._told_at = now
        return True

    def forget(self) -> None:
        """Tell it anew: a process that has just connected knows nothing."""
        self._told_at = float("-inf")


class LoadSharing:
    """Tells the others what this process has at the upstreams, and takes in what they say.

    Parameters
    ----------
    state : ForwarderState
    identity : Identity
    post : callable
        Sends a message to some connections.
    """

    def __init__(self, state: ForwarderState, identity: Identity, post: Post):
        self.state = state
        self.identity = identity
        self.post = post
        self.relay = LoadRelay()
        self._peers: dict[str, PeerConnection] = {}
        self._connected_at: dict[str, float] = {}
        self._started_at = state.clock.now()
        self._ranked: list[str] = [identity.incarnation]
        self._ranked_far: dict[str, list[str]] = {}
        self._earlier_release: list[PeerConnection] = []
        self._watch = RelayWatch()
        self._watches_far: dict[str, RelayWatch] = defaultdict(RelayWatch)
        self._chosen: str | None = None
        self._near: list[str] = []
        self._heard_at = float("-inf")
        self._far: list[str] = []
        self._recent_parts: deque[tuple[float, UpstreamLoad]] = deque(maxlen=200)
        self._told = RepeatedNews()
        self._named_by: dict[str, set[str]] = {}

    @property
    def is_relay(self) -> bool:
        """Whether this process adds up the figures of its failure domain."""
        return self._chosen == self.identity.incarnation

    @property
    def targets(self) -> RelayTargets:
        """Whom this process speaks to now."""
        peers = self._peers
        return RelayTargets(
            None if self.is_relay else peers.get(self._chosen),
            {name: peers[name] for name in self._near if name in peers},
            {name: peers[name] for name in self._far if name in peers},
        )

    def age(self, now: float) -> float:
        """Return the time since this process heard of the requests of others, seconds."""
        return now - self._heard_at

    @property
    def served(self) -> int:
        """How many processes hear from this one as their relay."""
        return len(self._near)

    def note_peers(self, peers: Mapping[str, PeerConnection]) -> None:
        """Take over which processes are connected, by incarnation."""
        for gone in self._peers.keys() - peers.keys():
            self.relay.forget(gone)
            self._take(gone, [], is_whole=True)
        self._peers = dict(peers)
        now = self.state.clock.now()
        self._connected_at = {name: self._connected_at.get(name, now) for name in peers}
        speaking = {
            name: peer.peer.failure_domain
            for name, peer in peers.items()
            if peer.version >= LoadsOfDomain.since
        }
        self._earlier_release = [
            peer for peer in peers.values() if peer.version < LoadsOfDomain.since
        ]
        by_domain = split_by_domain(speaking)
        near = by_domain.pop(self.identity.failure_domain, [])
        self._ranked = rank_processes("relay", [self.identity.incarnation, *near])
        self._ranked_far = {
            domain: rank_processes("relay", names) for domain, names in by_domain.items()
        }
        self._told.forget()

    def tell(self) -> None:
        """Tell the relay what this process has, and the others what they wait for as its relay."""
        now = self.state.clock.now()
        self._choose_relay(now)
        self._choose_targets(now)
        loads = [
            _describe(upstream.incarnation, upstream.share(), upstream.take_untold_parts())
            for upstream in self.state.book.all()
            if upstream.outstanding or upstream.untold_parts
        ]
        self._recent_parts.extend((now, load) for load in loads if load.parts)
        self._hear_for_others(self.identity.incarnation, loads, now)
        told = list(self._earlier_release)
        if not self.is_relay and self._chosen in self._peers:
            told.append(self._peers[self._chosen])
        if told and self._told.is_due(loads, now):
            self.post(told, UpstreamLoads(loads))
        self._pass_on(now)

    def hear(self, peer: PeerConnection, message: UpstreamLoads) -> None:
        """Take in what another process has."""
        name = peer.peer.incarnation
        if peer.version >= LoadsOfDomain.since:
            self._hear_for_others(name, message.loads, self.state.clock.now())
            if not self.is_relay:
                # Its figures come by the relay of this process too.
                return
        self._take(name, message.loads, is_whole=True)

    def hear_domain(self, peer: PeerConnection, message: LoadsOfDomain) -> None:
        """Take in what another failure domain has."""
        now = self.state.clock.now()
        self._watches_far[message.domain].note_heard(peer.peer.incarnation, now)
        source = f"domain {message.domain}"
        shares = {load.upstream: _share(load) for load in message.loads}
        self.relay.hear(source, shares, now, False, message.is_whole)
        self._hear_parts(source, message.loads)
        if self.is_relay:
            self._take(source, message.loads, message.is_whole)

    def hear_elsewhere(self, peer: PeerConnection, message: LoadsElsewhere) -> None:
        """Take in what all other processes have, as a relay adds it up."""
        self._watch.note_heard(peer.peer.incarnation, self.state.clock.now())
        if peer.peer.incarnation == self._chosen:
            self._take(ELSEWHERE, message.loads, message.is_whole)

    def _choose_relay(self, now: float) -> None:
        me = self.identity.incarnation
        chosen = self._watch.choose(self._ranked, now, me)
        if chosen == self._chosen:
            return
        was_relay = self.is_relay
        self._chosen = chosen
        self._told.forget()
        self._tell_parts_again(now)
        if was_relay or self.is_relay:
            # Figures of the same processes come by another way from now on.
            for source in list(self._named_by):
                self._take(source, [], is_whole=True)

    def _tell_parts_again(self, now: float) -> None:
        for at, load in self._recent_parts:
            upstream = self.state.book.find(load.upstream)
            if upstream is not None and now - at <= RECENT_PARTS_S:
                upstream.untold_parts |= {part.id: part.tokens for part in load.parts}

    def _hear_for_others(self, source: str, loads: list[UpstreamLoad], now: float) -> None:
        shares = {load.upstream: _share(load) for load in loads}
        self.relay.hear(source, shares, now, is_near=True)
        self._hear_parts(source, loads)

    def _hear_parts(self, source: str, loads: Iterable[UpstreamLoad]) -> None:
        for load in loads:
            if load.parts:
                parts = {part.id: part.tokens for part in load.parts}
                self.relay.hear_parts(source, load.upstream, parts)
                self._give_to_relay(source, load.upstream, parts)

    def _give_to_relay(self, source: str, incarnation: str, parts: Mapping[str, int]) -> None:
        """Tell the relay what came to this process instead, as while another one takes its place.

        Parts are told once; they would stay unknown to the whole failure domain.
        """
        upstream = self.state.book.find(incarnation)
        if upstream is not None and not self.is_relay and source != self.identity.incarnation:
            upstream.untold_parts |= parts
            for part, tokens in parts.items():
                upstream.memory.note(part, tokens)

    def _choose_targets(self, now: float) -> None:
        """Find those who chose this process as their relay, and the relays of the other domains."""
        me = self.identity.incarnation
        near = [name for name in self.relay.near_sources(now) if name != me]
        far = []
        if self.is_relay:
            for domain, ranked in self._ranked_far.items():
                far.append(self._watches_far[domain].choose(ranked, now))
        self._near = near
        self._far = far
        for name in self.relay.set_targets(near, far):
            if now - self._connected_at.get(name, now) < NEW_S:
                self._tell_known_parts(name, now)

    def _pass_on(self, now: float) -> None:
        """Tell all targets what is new."""
        for name, news in self.relay.compose_all(now).items():
            if name in self._peers:
                self.post([self._peers[name]], self._message(news, is_far=name in self._far))

    def _tell_known_parts(self, target: str, now: float) -> None:
        """Tell a process what upstreams have in memory: one that has just started knows nothing.

        It would have shared parts read elsewhere that are in memory.
        """
        is_new = now - self._started_at < NEW_S
        most = MAX_PARTS_OF_NEW if is_new else MAX_KNOWN_PARTS
        upstreams = self.state.book.all()
        for upstream in upstreams:
            parts = upstream.memory.newest(math.ceil(most / len(upstreams)))
            if parts:
                self.relay.add_parts(target, upstream.incarnation, parts)

    def _message(self, news: LoadNews, is_far: bool) -> LoadsOfDomain | LoadsElsewhere:
        loads = [
            _describe(name, share, news.parts.get(name, {})) for name, share in news.shares.items()
        ]
        if is_far:
            return LoadsOfDomain(self.identity.failure_domain, news.is_whole, loads)
        return LoadsElsewhere(news.is_whole, loads)

    def _take(self, source: str, loads: list[UpstreamLoad], is_whole: bool) -> None:
        """Take over the figures of one source."""
        now = self.state.clock.now()
        self._heard_at = now
        book = self.state.book
        if self.state.switches.uses(Mechanism.SHARED_LOADS):
            named = {load.upstream for load in loads}
            known = self._named_by.get(source, set())
            for incarnation in known - named if is_whole else ():
                _hear(book, incarnation, source, NO_LOAD, now)
            for load in loads:
                _hear(book, load.upstream, source, _share(load), now)
            self._named_by[source] = named if is_whole else known | named
        if self.state.switches.uses(Mechanism.SHARED_PARTS):
            _note_parts(book, loads)
        self.state.look_at_waiting()


def _hear(book: UpstreamBook, incarnation: str, source: str, share: LoadShare, now: float) -> None:
    # Processes hear that an upstream started again at different moments. Figures of another
    # incarnation than the one known here are not of it.
    upstream = book.find(incarnation)
    if upstream is not None:
        upstream.pending.hear(source, share, now)


def _note_parts(book: UpstreamBook, loads: Iterable[UpstreamLoad]) -> None:
    for load in loads:
        upstream = book.find(load.upstream) if load.parts else None
        for part in load.parts if upstream is not None else ():
            upstream.memory.note(part.id, part.tokens)


def _share(load: UpstreamLoad) -> LoadShare:
    return LoadShare(load.prompt_tokens, load.running)


def _describe(incarnation: str, share: LoadShare, parts: Mapping[str, int]) -> UpstreamLoad:
    told = [PromptPart(id_, tokens) for id_, tokens in parts.items()]
    return UpstreamLoad(incarnation, share.tokens, share.running, told)
