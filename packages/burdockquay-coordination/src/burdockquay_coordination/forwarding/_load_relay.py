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
        self._awaits_messages = False

    def record_relay_message(self, relay: str, now: float) -> None:
        """Record that a message was received from a process as relay."""
        if relay == self._chosen:
            self._received_at = now

    def due_in_s(self, now: float) -> float:
        """Return the time until the relay may be replaced, seconds."""
        left_s = self._received_at + RELAY_TIMEOUT_S - now
        return left_s if self._awaits_messages and left_s > 0.0 else float("inf")

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
            self._awaits_messages = name != me
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
    # Upstreams whose load may differ from what was sent, in the order in which they changed.
    changed: dict[str, None] = attrs.field(factory=dict)


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
        # Sums of the sources by the ring of the recipients, updated with each change: a relay
        # receives some hundred updates per second that change a few upstreams each.
        self._sums: dict[Ring, dict[str, LoadShare]] = {ring: {} for ring in Ring}

    @property
    def has_changes(self) -> bool:
        """Whether there is a change for any recipient."""
        return any(target.changed or target.parts for target in self._targets.values())

    def due_in_s(self, now: float) -> float:
        """Return the time until an update is due without a change, seconds."""
        due_at = [
            min(target.sent_at + HEARTBEAT_INTERVAL_S, target.full_sent_at + FULL_UPDATE_INTERVAL_S)
            for target in self._targets.values()
        ]
        return min(due_at, default=float("inf")) - now

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
        known = self._sources.get(source)
        previous: Shares = {} if known is None else known.shares
        current = dict(shares) if is_whole else {**previous, **shares}
        if known is not None and known.ring is not ring:
            self.forget(source)
            previous = {}
        self._sources[source] = _Source(current, now, ring)
        self._update_sums(source, previous, current, ring)

    def _update_sums(self, source: str, before: Shares, after: Shares, ring: Ring) -> None:
        """Replace the loads of one source in the sums, and note what changed for each recipient."""
        changed = {name: None for name, share in after.items() if before.get(name) != share}
        changed |= {name: None for name in before if name not in after}
        if not changed:
            return
        for target_ring, sums in self._sums.items():
            if passes(ring, target_ring):
                for name in changed:
                    old, new = before.get(name, NO_LOAD), after.get(name, NO_LOAD)
                    _add_difference(sums, name, old, new)
        for name, target in self._targets.items():
            # Only near recipients get the sum without their own share.
            is_own = name == source and target.ring is Ring.NEAR
            if passes(ring, target.ring) and not is_own:
                target.changed |= changed

    def receive_parts(self, source: str, upstream: str, parts: Mapping[str, int]) -> None:
        """Queue the prompt parts that a process reports as read at an upstream."""
        ring = self._sources[source].ring if source in self._sources else Ring.FAR
        for name, target in self._targets.items():
            if name != source and passes(ring, target.ring):
                target.parts[upstream] |= parts

    def forget(self, source: str) -> None:
        """Remove a process that has disconnected."""
        known = self._sources.pop(source, None)
        if known is not None:
            self._update_sums(source, known.shares, {}, known.ring)

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
        new: list[str] = []
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
            self.forget(name)
        composed = {}
        for name, target in self._targets.items():
            update = self._compose(name, target, now)
            if update is not None:
                composed[name] = update
        return composed

    def _compose(self, name: str, target: _Target, now: float) -> LoadUpdate | None:
        is_whole = now - target.full_sent_at >= FULL_UPDATE_INTERVAL_S
        is_heartbeat_due = now - target.sent_at >= HEARTBEAT_INTERVAL_S
        if not (target.changed or target.parts or is_whole or is_heartbeat_due):
            return None
        sums = self._sums[target.ring]
        own = self._sources.get(name) if target.ring is Ring.NEAR else None
        # A process knows its own share sooner.
        own_shares: Shares = {} if own is None else own.shares
        if is_whole:
            view = {item: _subtract_share(sums, own_shares, item) for item in sums}
            shares = {item: share for item, share in view.items() if share != NO_LOAD}
            target.sent = {}
        else:
            view = {item: _subtract_share(sums, own_shares, item) for item in target.changed}
            sent = target.sent
            shares = {
                item: share for item, share in view.items() if sent.get(item, NO_LOAD) != share
            }
        target.changed = {}
        parts = _take_parts(target.parts)
        # An upstream that is named only for its parts must not appear idle.
        named = {item: _subtract_share(sums, own_shares, item) for item in parts}
        shares = {**named, **shares}
        if not (shares or parts or is_whole or is_heartbeat_due):
            return None
        for item, share in shares.items():
            if share == NO_LOAD:
                target.sent.pop(item, None)
            else:
                target.sent[item] = share
        target.sent_at = now
        if is_whole:
            target.full_sent_at = now
        return LoadUpdate(is_whole, shares, parts)

    def compose(self, target: str, now: float) -> LoadUpdate | None:
        """Return the update for one recipient, None if none is due."""
        return self.compose_all(now).get(target)


def passes(source: Ring, target: Ring) -> bool:
    """Return whether a relay passes on what it received from a ring.

    Relays of domains hear each other directly, and so do those of regions.
    """
    return Ring.NEAR in (source, target) or source is not target


def _add_difference(sums: dict[str, LoadShare], name: str, old: LoadShare, new: LoadShare) -> None:
    """Replace a share in the sum of an upstream; a sum of zero is left out."""
    total = sums.get(name, NO_LOAD)
    tokens = total.tokens + new.tokens - old.tokens
    running = total.running + new.running - old.running
    if tokens or running:
        sums[name] = LoadShare(tokens, running)
    else:
        sums.pop(name, None)


def _subtract_share(sums: Shares, own: Shares, name: str) -> LoadShare:
    """Return the sum of an upstream without the share of one process."""
    total = sums.get(name, NO_LOAD)
    share = own.get(name)
    if share is None:
        return total
    return LoadShare(total.tokens - share.tokens, total.running - share.running)


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


def split_by_domain(domains: Mapping[str, str]) -> dict[str, Collection[str]]:
    """Group processes by failure domain."""
    found: dict[str, list[str]] = defaultdict(list)
    for name, domain in domains.items():
        found[domain].append(name)
    return dict(found)
