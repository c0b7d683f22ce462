"""How figures about upstreams reach hundreds of processes by a few relays."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from ._pending import NO_LOAD, PEER_KEEP_S, LoadShare

RELAY_SILENCE_S = 0.6
"""Time after which a relay that says nothing is left for the next one, seconds."""

RELAY_RETRY_S = 2.0
"""Time after which it is tried again, seconds."""

DEAF_S = 0.3
"""Time between two looks after which a process takes itself and not the relay to have stood still,
seconds: what it was told meanwhile is not read yet."""

BEAT_S = 0.2
"""Longest time between two messages of a relay to each process, seconds: a third of the silence
that makes others turn away."""

WHOLE_S = 1.0
"""Time after which figures are told whole and not only what changed, seconds, so that a message
that was lost with a connection is made up for."""

MAX_PARTS_TOLD = 100
"""Most prompt parts in one message, some kilobytes: the thousands that a process is told after its
start would keep callers' answers from a small link for most of a second."""

Shares = Mapping[str, LoadShare]
Parts = dict[str, dict[str, int]]


class RelayWatch:
    """Chooses the relay that a process speaks to, and leaves one that is silent.

    A frozen or cut-off process keeps its connections open for seconds. Nobody declares it dead:
    each process turns to the next in an order on which all agree.

    Examples
    --------
    >>> watch = RelayWatch()
    >>> [watch.choose(["a", "b"], now) for now in (0.0, 0.25, 0.5, 0.75)]
    ['a', 'a', 'a', 'b']
    """

    def __init__(self):
        self._looked_at = float("-inf")
        self._chosen: str | None = None
        self._heard_at = 0.0
        self._left_until: dict[str, float] = {}

    def note_heard(self, relay: str, now: float) -> None:
        """Note that a process spoke as a relay."""
        if relay == self._chosen:
            self._heard_at = now

    def choose(self, ranked: Sequence[str], now: float, me: str | None = None) -> str | None:
        """Return the relay, None if there is no process.

        Parameters
        ----------
        ranked : sequence of str
            Processes that may be it, the first choice first.
        now : float
        me : str or None
            This process, which is never silent.
        """
        if now - self._looked_at > DEAF_S:
            self._heard_at = now
        self._looked_at = now
        for name in ranked:
            if now < self._left_until.get(name, 0.0):
                continue
            if name != self._chosen:
                self._chosen = name
                self._heard_at = now
            elif name != me and now - self._heard_at > RELAY_SILENCE_S:
                self._left_until[name] = now + RELAY_RETRY_S
                continue
            return name
        return ranked[0] if ranked else None


@attrs.frozen
class LoadNews:
    """What one process is told.

    Parameters
    ----------
    is_whole : bool
        Whether there is nothing at the upstreams that are not named.
    shares : mapping of str to LoadShare
        By upstream.
    parts : mapping of str to mapping of str to int
        Tokens of the prompt parts that were read, by upstream and part.
    """

    is_whole: bool
    shares: Shares
    parts: Mapping[str, Mapping[str, int]]


@attrs.define
class _Source:
    shares: dict[str, LoadShare]
    at: float
    is_near: bool


@attrs.define
class _Target:
    is_near: bool
    told: dict[str, LoadShare] = attrs.field(factory=dict)
    told_at: float = float("-inf")
    whole_at: float = float("-inf")
    parts: Parts = attrs.field(factory=lambda: defaultdict(dict))


class LoadRelay:
    """Adds up what many processes have at the upstreams, for each of them without its own.

    Were each process to tell each other one, messages would grow with the square of the processes,
    and figures would be as old as whole answers. A process tells one relay of its failure domain;
    the relay tells each of its processes what all others have, and the relays of the other domains
    what its own domain has.

    Examples
    --------
    >>> relay = LoadRelay()
    >>> relay.hear("one", {"u": LoadShare(500, 1)}, now=1.0, is_near=True)
    >>> relay.hear("two", {"u": LoadShare(100, 2)}, now=1.0, is_near=True)
    >>> relay.set_targets(near=["one"], far=[])
    ['one']
    >>> relay.compose("one", now=1.0).shares
    {'u': LoadShare(tokens=100, running=2)}
    """

    def __init__(self):
        self._sources: dict[str, _Source] = {}
        self._targets: dict[str, _Target] = {}

    def hear(
        self, source: str, shares: Shares, now: float, is_near: bool, is_whole: bool = True
    ) -> None:
        """Take over the figures of a process of this domain, or of another domain."""
        known = {} if is_whole or source not in self._sources else self._sources[source].shares
        self._sources[source] = _Source({**known, **shares}, now, is_near)

    def hear_parts(self, source: str, upstream: str, parts: Mapping[str, int]) -> None:
        """Take over which prompt parts were read at an upstream."""
        is_near = source in self._sources and self._sources[source].is_near
        for name, target in self._targets.items():
            if name != source and (is_near or target.is_near):
                target.parts[upstream] |= parts

    def forget(self, source: str) -> None:
        """Note that a process is gone."""
        self._sources.pop(source, None)

    def near_sources(self, now: float) -> list[str]:
        """Return the processes of this domain that tell this one what they have."""
        return [
            name
            for name, source in self._sources.items()
            if source.is_near and now - source.at <= PEER_KEEP_S
        ]

    def set_targets(self, near: Iterable[str], far: Iterable[str]) -> list[str]:
        """Take over who is told: processes of this domain, and relays of others.

        Returns
        -------
        list of str
            The processes of this domain that were not told before.
        """
        new = []
        wanted = dict.fromkeys(far, False) | dict.fromkeys(near, True)
        for name in self._targets.keys() - wanted.keys():
            del self._targets[name]
        for name, is_near in wanted.items():
            known = self._targets.get(name)
            if known is None or known.is_near != is_near:
                self._targets[name] = _Target(is_near)
                new += [name] if is_near else []
        return new

    def add_parts(self, target: str, upstream: str, parts: Mapping[str, int]) -> None:
        """Tell one target of prompt parts that are known from before."""
        self._targets[target].parts[upstream] |= parts

    def compose_all(self, now: float) -> dict[str, LoadNews]:
        """Return what each target is told now; those with no news are left out."""
        for name in [item for item, known in self._sources.items() if now - known.at > PEER_KEEP_S]:
            del self._sources[name]
        near = _add_up(item.shares for item in self._sources.values() if item.is_near)
        every = _add_up(
            [near, *(item.shares for item in self._sources.values() if not item.is_near)]
        )
        composed = {}
        for name, target in self._targets.items():
            view = _without(every, self._sources.get(name)) if target.is_near else near
            news = _compose(target, view, now)
            if news is not None:
                composed[name] = news
        return composed

    def compose(self, target: str, now: float) -> LoadNews | None:
        """Return what one target is told now, None if there is no news."""
        return self.compose_all(now).get(target)


def _add_up(many: Iterable[Shares]) -> dict[str, LoadShare]:
    total: dict[str, LoadShare] = {}
    for shares in many:
        for upstream, share in shares.items():
            known = total.get(upstream)
            total[upstream] = share if known is None else _plus(known, share)
    return total


def _plus(one: LoadShare, other: LoadShare) -> LoadShare:
    return LoadShare(one.tokens + other.tokens, one.running + other.running)


def _without(every: Shares, own: _Source | None) -> Shares:
    """Return figures less those of one process: it knows its own, and these sooner."""
    if own is None:
        return every
    rest = dict(every)
    for upstream, share in own.shares.items():
        known = rest[upstream]
        rest[upstream] = LoadShare(known.tokens - share.tokens, known.running - share.running)
    return rest


def _compose(target: _Target, view: Shares, now: float) -> LoadNews | None:
    view = {upstream: share for upstream, share in view.items() if share != NO_LOAD}
    is_whole = now - target.whole_at >= WHOLE_S
    shares: Shares = view if is_whole else _changed(target.told, view)
    parts = _take_parts(target.parts)
    # An upstream that is named for its parts alone must not seem idle.
    shares = {**{name: view.get(name, NO_LOAD) for name in parts}, **shares}
    is_due = shares or parts or now - target.told_at >= BEAT_S
    if not (is_due or is_whole):
        return None
    news = LoadNews(is_whole, shares, parts)
    target.told = view
    target.told_at = now
    if is_whole:
        target.whole_at = now
    return news


def _take_parts(parts: Parts) -> Parts:
    """Take out as many parts as one message holds."""
    taken: Parts = {}
    room = MAX_PARTS_TOLD
    while parts and room:
        upstream, waiting = parts.popitem()
        items = list(waiting.items())
        taken[upstream] = dict(items[:room])
        if len(items) > room:
            parts[upstream] = dict(items[room:])
        room -= len(taken[upstream])
    return taken


def _changed(before: Shares, now: Shares) -> dict[str, LoadShare]:
    """Return the figures that are not the same as before."""
    changed = {name: share for name, share in now.items() if before.get(name) != share}
    return changed | dict.fromkeys(before.keys() - now.keys(), NO_LOAD)


def split_by_domain(domains: Mapping[str, str]) -> dict[str, Collection[str]]:
    """Return the processes of each failure domain, by the domain of each process."""
    found: dict[str, list[str]] = defaultdict(list)
    for name, domain in domains.items():
        found[domain].append(name)
    return dict(found)
