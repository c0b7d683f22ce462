"""What the forwarders tell each other of their requests at the upstreams."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from burdockquay_coordination.forwarding import (
    DomainLoads,
    LoadShare,
    Mechanism,
    UpstreamBook,
    choose_relay_targets,
)
from burdockquay_protocol import LoadsOfDomain, PromptPart, UpstreamLoad, UpstreamLoads

from .._peer import Identity, PeerConnection
from ._state import ForwarderState

REPEAT_S = 1.0
"""Time after which unchanged figures are told again, seconds, so that they are not taken for those
of a process that is gone."""

NOTHING = LoadShare(0, 0)

Post = Callable[[Iterable[PeerConnection], Any], None]


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
        self._domain = DomainLoads()
        self._peers: dict[str, PeerConnection] = {}
        self._near: list[PeerConnection] = []
        self._relay_targets: list[PeerConnection] = []
        self._told = RepeatedNews()
        self._domain_told: dict[str, LoadShare] = {}
        self._whole_told_at = float("-inf")
        self._unrelayed: dict[str, dict[str, int]] = defaultdict(dict)
        self._named_by: dict[str, set[str]] = {}

    @property
    def near(self) -> int:
        """How many processes hear from this one directly."""
        return len(self._near)

    def note_peers(self, peers: Mapping[str, PeerConnection]) -> None:
        """Take over which processes are connected, by incarnation."""
        for gone in self._peers.keys() - peers.keys():
            self._domain.forget(gone)
            self._named_by.pop(gone, None)
        self._peers = dict(peers)
        here = self.identity.failure_domain
        by_domain: dict[str, list[str]] = defaultdict(list)
        for name, peer in peers.items():
            if peer.version >= LoadsOfDomain.since:
                by_domain[peer.peer.failure_domain].append(name)
        own = by_domain.pop(here, [])
        # A process of an earlier release takes only what it hears from each process itself.
        self._near = [
            peer
            for peer in peers.values()
            if peer.peer.failure_domain == here or peer.version < LoadsOfDomain.since
        ]
        targets = choose_relay_targets(self.identity.incarnation, own, by_domain)
        self._relay_targets = [peers[name] for name in targets]
        self._told.forget()
        self._whole_told_at = float("-inf")

    def tell(self) -> None:
        """Tell the processes of this failure domain what this one has."""
        loads = [
            _describe(upstream.incarnation, upstream.share(), upstream.take_untold_parts())
            for upstream in self.state.book.all()
            if upstream.outstanding or upstream.untold_parts
        ]
        self._note_unrelayed(loads)
        if self._told.is_due(loads, self.state.clock.now()):
            self.post(self._near, UpstreamLoads(loads))

    def tell_other_domains(self) -> None:
        """Tell the other domains what this one has together, if this process is a relay."""
        if not self._relay_targets:
            self._unrelayed.clear()
            return
        now = self.state.clock.now()
        own = {
            upstream.incarnation: upstream.share()
            for upstream in self.state.book.all()
            if upstream.outstanding
        }
        total = self._domain.add_up(own, now)
        is_whole = now - self._whole_told_at >= REPEAT_S
        named = set(total) if is_whole else _changed(self._domain_told, total)
        named |= self._unrelayed.keys()
        if not (named or is_whole):
            return
        loads = [
            _describe(name, total.get(name, NOTHING), self._unrelayed.get(name, {}))
            for name in named
        ]
        self._unrelayed = defaultdict(dict)
        self._domain_told = total
        if is_whole:
            self._whole_told_at = now
        message = LoadsOfDomain(self.identity.failure_domain, is_whole, loads)
        self.post(self._relay_targets, message)

    def hear(self, peer: PeerConnection, message: UpstreamLoads) -> None:
        """Take in what another process has."""
        name = peer.peer.incarnation
        if peer.peer.failure_domain == self.identity.failure_domain:
            shares = {load.upstream: _share(load) for load in message.loads}
            self._domain.hear(name, shares, self.state.clock.now())
            self._note_unrelayed(message.loads)
        self._take(name, message.loads, is_whole=True)

    def hear_domain(self, peer: PeerConnection, message: LoadsOfDomain) -> None:
        """Take in what another domain has, and pass it on if it comes from there."""
        if message.domain == self.identity.failure_domain:
            return
        if peer.peer.failure_domain == message.domain:
            self.post(self._near, message)
        self._take(f"domain {message.domain}", message.loads, message.is_whole)

    def _note_unrelayed(self, loads: Iterable[UpstreamLoad]) -> None:
        for load in loads:
            if load.parts:
                self._unrelayed[load.upstream] |= {part.id: part.tokens for part in load.parts}

    def _take(self, source: str, loads: list[UpstreamLoad], is_whole: bool) -> None:
        """Take over the figures of one source."""
        now = self.state.clock.now()
        book = self.state.book
        uses_parts = self.state.switches.uses(Mechanism.SHARED_PARTS)
        if self.state.switches.uses(Mechanism.SHARED_LOADS):
            named = {load.upstream for load in loads}
            known = self._named_by.setdefault(source, set())
            for incarnation in known - named if is_whole else ():
                _hear(book, incarnation, source, NOTHING, now)
            for load in loads:
                _hear(book, load.upstream, source, _share(load), now)
            self._named_by[source] = named if is_whole else known | named
        for load in loads if uses_parts else ():
            upstream = book.find(load.upstream) if load.parts else None
            for part in load.parts if upstream is not None else ():
                upstream.memory.note(part.id, part.tokens)
        self.state.look_at_waiting()


def _hear(book: UpstreamBook, incarnation: str, source: str, share: LoadShare, now: float) -> None:
    # Processes hear that an upstream started again at different moments. Figures of another
    # incarnation than the one known here are not of it.
    upstream = book.find(incarnation)
    if upstream is not None:
        upstream.pending.hear(source, share, now)


def _changed(before: Mapping[str, LoadShare], now: Mapping[str, LoadShare]) -> set[str]:
    """Return the upstreams whose figures are not the same as before."""
    return {name for name in before.keys() | now.keys() if before.get(name) != now.get(name)}


def _share(load: UpstreamLoad) -> LoadShare:
    return LoadShare(load.prompt_tokens, load.running)


def _describe(incarnation: str, share: LoadShare, parts: Mapping[str, int]) -> UpstreamLoad:
    told = [PromptPart(id_, tokens) for id_, tokens in parts.items()]
    return UpstreamLoad(incarnation, share.tokens, share.running, told)
