"""Exchange of upstream loads among hundreds of processes through a few relays."""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from .._local_stall import LOCAL_STALL_S
from ._pending import NO_LOAD, PEER_LOAD_EXPIRY_S, LoadShare

RELAY_TIMEOUT_S = 0.6
"""Time without a message after which a process replaces its relay by the next one, seconds."""

RELAY_RETRY_S = 2.0
"""Time after which a replaced relay is tried again, seconds."""

HEARTBEAT_INTERVAL_S = 0.2
"""Longest time between two messages of a relay to each process, seconds: a third of the time after
which processes replace it."""

FULL_UPDATE_INTERVAL_S = 1.0
"""Interval of full updates, between which only changes are sent, seconds. They make up for messages
that were lost with a connection."""

MAX_PARTS_PER_MESSAGE = 100
"""Maximum number of prompt parts in one message, some kilobytes: the thousands that a process
receives after its start would block callers' answers on a slow link for most of a second."""

Shares = Mapping[str, LoadShare]
Parts = dict[str, dict[str, int]]


class RelaySelector:
    """Chooses the relay that a process sends its loads to, and replaces one that sends nothing.

    The connections of a frozen or cut-off process stay open for seconds. No process declares it
    dead: each one changes to the next relay in an order that is the same at all.

    Examples
    --------
    >>> watch = RelaySelector()
    >>> [watch.choose(["a", "b"], now) for now in (0.0, 0.25, 0.5, 0.75)]
    ['a', 'a', 'a', 'b']
    """

    def __init__(self):
        self._checked_at = float("-inf")
        self._chosen: str | None = None
        self._received_at = 0.0
        self._avoided_until: dict[str, float] = {}

    def record_relay_message(self, relay: str, now: float) -> None:
        """Record that a message was received from a process as relay."""
        if relay == self._chosen:
            self._received_at = now

    def choose(self, ranked: Sequence[str], now: float, me: str | None = None) -> str | None:
        """Return the relay, None if there are no processes.

        Parameters
        ----------
        ranked : sequence of str
            Candidates in order of preference.
        now : float
        me : str or None
            This process, to which the timeout does not apply.
        """
        if now - self._checked_at > LOCAL_STALL_S:
            self._received_at = now
        self._checked_at = now
        for name in ranked:
            if now < self._avoided_until.get(name, 0.0):
                continue
            if name != self._chosen:
                self._chosen = name
                self._received_at = now
            elif name != me and now - self._received_at > RELAY_TIMEOUT_S:
                self._avoided_until[name] = now + RELAY_RETRY_S
                continue
            return name
        return ranked[0] if ranked else None


@attrs.frozen
class LoadUpdate:
    """A load update for one process.

    Parameters
    ----------
    is_whole : bool
        Whether upstreams that are not in ``shares`` have no load; otherwise they are unchanged.
    shares : mapping of str to LoadShare
        Load by upstream.
    parts : mapping of str to mapping of str to int
        Tokens of the prompt parts that were read, by upstream and part.
    """

    is_whole: bool
    shares: Shares
    parts: Mapping[str, Mapping[str, int]]


class Ring(enum.IntEnum):
    """Where a process lies from which a relay receives, or to which it sends."""

    NEAR = 0
    """In the failure domain of the relay."""
    FAR = 1
    """The relay of another failure domain."""
    ACROSS = 2
    """The relay of another region, of which only one process of each region receives."""


@attrs.define
class _Source:
    shares: dict[str, LoadShare]
    at: float
    ring: Ring

    @property
    def is_near(self) -> bool:
        return self.ring is Ring.NEAR


@attrs.define
class _Target:
    ring: Ring
    sent: dict[str, LoadShare] = attrs.field(factory=dict)
    sent_at: float = float("-inf")
    full_sent_at: float = float("-inf")
    parts: Parts = attrs.field(factory=lambda: defaultdict(dict))


class LoadRelay:
    """Sums the upstream loads of many processes; each receives the sum without its own share.

    If each process sent its loads to every other one, the number of messages would grow with the
    square of the processes, and loads would be as old as complete answers. Instead, a process sends
    its loads to one relay of its failure domain. The relay sends each process of the domain the sum
    of all others, and the relays of the other domains the sum of its own domain. Where regions
    exchange through one relay each, that relay adds the sums of the other regions to what it sends
    within its own, and sends the other regions the sum of its own.

    Examples
    --------
    >>> relay = LoadRelay()
    >>> relay.receive_update("one", {"u": LoadShare(500, 1)}, now=1.0, is_near=True)
    >>> relay.receive_update("two", {"u": LoadShare(100, 2)}, now=1.0, is_near=True)
    >>> relay.set_recipients(near=["one"], far=[])
    ['one']
    >>> relay.compose("one", now=1.0).shares
    {'u': LoadShare(tokens=100, running=2)}
    """

    def __init__(self):
        self._sources: dict[str, _Source] = {}
        self._targets: dict[str, _Target] = {}

    def receive_update(
        self,
        source: str,
        shares: Shares,
        now: float,
        is_near: bool,
        is_whole: bool = True,
        is_across: bool = False,
    ) -> None:
        """Apply the loads of a process of this domain, or of the relay of another one.

        Parameters
        ----------
        source : str
        shares : mapping of str to LoadShare
        now : float
        is_near : bool
            Whether it is a process of this domain.
        is_whole : bool
            Whether all upstreams that are not in ``shares`` have no load.
        is_across : bool
            Whether it is the relay of another region.
        """
        ring = Ring.NEAR if is_near else Ring.ACROSS if is_across else Ring.FAR
        previous = {} if is_whole or source not in self._sources else self._sources[source].shares
        self._sources[source] = _Source({**previous, **shares}, now, ring)

    def receive_parts(self, source: str, upstream: str, parts: Mapping[str, int]) -> None:
        """Queue the prompt parts that a process reports as read at an upstream."""
        ring = self._sources[source].ring if source in self._sources else Ring.FAR
        for name, target in self._targets.items():
            if name != source and passes(ring, target.ring):
                target.parts[upstream] |= parts

    def forget(self, source: str) -> None:
        """Remove a process that has disconnected."""
        self._sources.pop(source, None)

    def local_sources(self, now: float) -> list[str]:
        """Return the processes of this domain that send their loads to this one."""
        return [
            name
            for name, source in self._sources.items()
            if source.is_near and now - source.at <= PEER_LOAD_EXPIRY_S
        ]

    def set_recipients(
        self, near: Iterable[str], far: Iterable[str], across: Iterable[str] = ()
    ) -> list[str]:
        """Set the recipients: processes of this domain, relays of others and of other regions.

        Returns
        -------
        list of str
            The processes of this domain that were not recipients before.
        """
        new = []
        wanted = dict.fromkeys(across, Ring.ACROSS) | dict.fromkeys(far, Ring.FAR)
        wanted |= dict.fromkeys(near, Ring.NEAR)
        for name in self._targets.keys() - wanted.keys():
            del self._targets[name]
        for name, ring in wanted.items():
            previous = self._targets.get(name)
            if previous is None or previous.ring is not ring:
                self._targets[name] = _Target(ring)
                new += [name] if ring is Ring.NEAR else []
        return new

    def add_parts(self, target: str, upstream: str, parts: Mapping[str, int]) -> None:
        """Queue prompt parts that were read earlier for one recipient."""
        self._targets[target].parts[upstream] |= parts

    def compose_all(self, now: float) -> dict[str, LoadUpdate]:
        """Return the updates that are due now, by recipient."""
        for name in [
            item for item, source in self._sources.items() if now - source.at > PEER_LOAD_EXPIRY_S
        ]:
            del self._sources[name]
        by_ring = {
            ring: _sum_shares(item.shares for item in self._sources.values() if item.ring is ring)
            for ring in Ring
        }
        views = {
            target_ring: _sum_shares(
                by_ring[ring] for ring in Ring if by_ring[ring] and passes(ring, target_ring)
            )
            for target_ring in {target.ring for target in self._targets.values()}
        }
        composed = {}
        for name, target in self._targets.items():
            view = views[target.ring]
            if target.ring is Ring.NEAR:
                view = _subtract_source(view, self._sources.get(name))
            update = _compose(target, view, now)
            if update is not None:
                composed[name] = update
        return composed

    def compose(self, target: str, now: float) -> LoadUpdate | None:
        """Return the update for one recipient, None if none is due."""
        return self.compose_all(now).get(target)


def passes(source: Ring, target: Ring) -> bool:
    """Return whether a relay passes on what it received from a ring.

    Relays of domains hear each other directly, and so do those of regions.
    """
    return Ring.NEAR in (source, target) or source is not target


def _sum_shares(sources: Iterable[Shares]) -> dict[str, LoadShare]:
    total: dict[str, LoadShare] = {}
    for shares in sources:
        for upstream, share in shares.items():
            previous = total.get(upstream)
            total[upstream] = share if previous is None else _add_shares(previous, share)
    return total


def _add_shares(one: LoadShare, other: LoadShare) -> LoadShare:
    return LoadShare(one.tokens + other.tokens, one.running + other.running)


def _subtract_source(every: Shares, own: _Source | None) -> Shares:
    """Return loads without the share of one process, which has its own sooner."""
    if own is None:
        return every
    rest = dict(every)
    for upstream, share in own.shares.items():
        previous = rest[upstream]
        rest[upstream] = LoadShare(previous.tokens - share.tokens, previous.running - share.running)
    return rest


def _compose(target: _Target, view: Shares, now: float) -> LoadUpdate | None:
    view = {upstream: share for upstream, share in view.items() if share != NO_LOAD}
    is_whole = now - target.full_sent_at >= FULL_UPDATE_INTERVAL_S
    shares: Shares = view if is_whole else _changed(target.sent, view)
    parts = _take_parts(target.parts)
    # An upstream that is named only for its parts must not appear idle.
    shares = {**{name: view.get(name, NO_LOAD) for name in parts}, **shares}
    is_due = shares or parts or now - target.sent_at >= HEARTBEAT_INTERVAL_S
    if not (is_due or is_whole):
        return None
    update = LoadUpdate(is_whole, shares, parts)
    target.sent = view
    target.sent_at = now
    if is_whole:
        target.full_sent_at = now
    return update


def _take_parts(parts: Parts) -> Parts:
    """Remove and return as many parts as one message holds."""
    taken: Parts = {}
    remaining = MAX_PARTS_PER_MESSAGE
    while parts and remaining:
        upstream, waiting = parts.popitem()
        items = list(waiting.items())
        taken[upstream] = dict(items[:remaining])
        if len(items) > remaining:
            parts[upstream] = dict(items[remaining:])
        remaining -= len(taken[upstream])
    return taken


def _changed(before: Shares, now: Shares) -> dict[str, LoadShare]:
    """Return the loads that differ from those sent before."""
    changed = {name: share for name, share in now.items() if before.get(name) != share}
    return changed | dict.fromkeys(before.keys() - now.keys(), NO_LOAD)


def split_by_domain(domains: Mapping[str, str]) -> dict[str, Collection[str]]:
    """Group processes by failure domain."""
    found: dict[str, list[str]] = defaultdict(list)
    for name, domain in domains.items():
        found[domain].append(name)
    return dict(found)
