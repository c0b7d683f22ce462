"""The upstreams that a forwarder knows, and what it has seen of each."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Mapping

import attrs

from burdockquay_state import Position

from ._linear import SpeedFactor
from ._pending import LoadShare, PendingPrompts
from ._prompts import Prompt, PromptMemory
from ._upstream_health import UpstreamHealth

RETURN_WAIT_S = 2.2
"""How long a vanished entry is kept after trouble of the list, seconds. The platform needs about
two seconds to bring back the entries of live upstreams; 0.2 s for the way of the news."""


ENDED_MEMORY_S = 60.0
"""How long the last word of an upstream whose entry is gone is kept, seconds: far longer than the
age of a copy from which a store comes back."""

WITHHELD_S = 10.0
"""How long an upstream that was gone and stands in the copy again gets no work, seconds: longer
than the platform lists one that is silent. One that is listed still lives after all."""


@attrs.frozen
class ListedUpstream:
    """An upstream as the platform lists it.

    Parameters
    ----------
    id : str
        Stays the same when the upstream starts again.
    service : str
    host, port
    failure_domain : str
    places : int
        Requests that it runs at once.
    leaving : bool
        Whether it takes no new work.
    revision : int
        Grows with each change of the entry, within one era.
    started_ms : int or None
        When it started, Unix milliseconds; None if the entry does not say.
    era : int
        Of the store that holds the entry.
    sequence : int
        Grows with each entry that the upstream writes while it runs, across eras.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    places: int
    leaving: bool
    revision: int
    started_ms: int | None = None
    era: int = 0
    sequence: int = 0

    @property
    def position(self) -> Position:
        """Where the entry stands in the history of the store."""
        return Position(self.era, self.revision)

    @property
    def incarnation(self) -> str:
        """Names one run of the process: another one knows nothing of the requests of this one."""
        return self.id if self.started_ms is None else f"{self.id}@{self.started_ms}"


@attrs.frozen
class UnreadableEntry:
    """An entry of the list that cannot be read, as another writer may leave one.

    Parameters
    ----------
    id : str
    revision : int
    era : int
        Of the store that holds the entry.
    """

    id: str
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Where the entry stands in the history of the store."""
        return Position(self.era, self.revision)


@attrs.frozen
class UpstreamChanges:
    """A reading of the list.

    Parameters
    ----------
    whole : bool
        Whether ``listed`` is the whole list; otherwise it holds what changed.
    listed : tuple of ListedUpstream
    removed : tuple of str
        Ids whose entries are gone.
    unreadable : tuple of UnreadableEntry
    troubled_at : float
        When the platform last left a question for the list unanswered, at whichever process.
    after_return : bool
        Whether this is the first reading since the store came back from a copy.
    """

    whole: bool
    listed: tuple[ListedUpstream, ...] = ()
    removed: tuple[str, ...] = ()
    unreadable: tuple[UnreadableEntry, ...] = ()
    troubled_at: float = float("-inf")
    after_return: bool = False


class Upstream:
    """What this process knows of one upstream.

    Parameters
    ----------
    entry : ListedUpstream
    spread : float
        See :class:`UpstreamHealth`.
    """

    def __init__(self, entry: ListedUpstream, spread: float = 0.0):
        self.entry = entry
        self.outstanding = 0
        self.pending = PendingPrompts()
        self.memory = PromptMemory()
        self.untold_parts: dict[str, int] = {}
        self.reading = SpeedFactor()
        self.writing = SpeedFactor()
        self.gone = False
        self.ended = False
        self._run_enders: set[Callable[[], None]] = set()
        self.health = UpstreamHealth(spread)

    @property
    def id(self) -> str:
        """Id, which it keeps when it starts again."""
        return self.entry.id

    @property
    def incarnation(self) -> str:
        """Names the run of its process that this is known of."""
        return self.entry.incarnation

    @property
    def address(self) -> str:
        """Host and port."""
        host = f"[{self.entry.host}]" if ":" in self.entry.host else self.entry.host
        return f"{host}:{self.entry.port}"

    def share(self) -> LoadShare:
        """Return what this process has there."""
        return LoadShare(self.pending.own_tokens, self.outstanding)

    def running(self, now: float) -> int:
        """Return the requests that all processes have there."""
        return self.outstanding + self.pending.running_elsewhere(now)

    def has_place(self, now: float) -> bool:
        """Return whether it runs fewer requests than it can at once."""
        return self.running(now) < self.entry.places

    def note_sent(self, prompt: Prompt) -> None:
        """Note that a prompt was sent there."""
        for part, tokens in prompt.parts:
            self.memory.note_coming(part, tokens)

    def note_abandoned(self, prompt: Prompt) -> None:
        """Note that a request ended there before its first token."""
        for part, _ in prompt.parts:
            self.memory.note_abandoned(part)

    def note_prompt(self, prompt: Prompt) -> None:
        """Note that a prompt was read there, for this process and to be told to the others."""
        for part, tokens in prompt.parts:
            self.memory.note(part, tokens)
            self.untold_parts[part] = tokens

    def take_untold_parts(self) -> dict[str, int]:
        """Return the parts that the other processes were not told of, and take them as told."""
        untold, self.untold_parts = self.untold_parts, {}
        return untold

    def takes_work(self) -> bool:
        """Return whether the list says that new requests may be sent."""
        return not (self.gone or self.entry.leaving)

    def add_run(self, end: Callable[[], None]) -> None:
        """Note a request that was sent, and how it is ended if the upstream starts again."""
        self._run_enders.add(end)

    def remove_run(self, end: Callable[[], None]) -> None:
        """Note that a request is over."""
        self._run_enders.discard(end)

    def note_ended(self) -> None:
        """Note that this run of its process is over: a later one has taken its place.

        The connections of its requests may stay silent, as behind a cut link. Their callers would
        wait for the kernel to give up, seconds later, for answers that cannot come any more.
        """
        self.gone = True
        self.ended = True
        enders, self._run_enders = self._run_enders, set()
        for end in enders:
            end()


class UpstreamBook:
    """All upstreams, by service.

    Entries may vanish from the list while the platform's store is in trouble although their
    upstreams live. Dropping them then would take a whole service out of use. A vanished entry
    therefore counts at once only while the list has been read without trouble for a while.

    Parameters
    ----------
    rng : random.Random or None
        Spreads over the processes when each tries an upstream again after failures.

    Attributes
    ----------
    processes : int
        How many processes send to these upstreams.
    """

    def __init__(self, rng: random.Random | None = None):
        self.rng = rng
        self.processes = 1
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._vanished: dict[str, None] = {}
        self._ended: dict[str, _KeptEntry] = {}
        self._withheld: dict[str, _KeptEntry] = {}
        self._steady_at = float("-inf")
        self._memories: Mapping[str, int] = {}

    def __len__(self) -> int:
        return len(self._upstreams)

    def __contains__(self, id_: object) -> bool:
        return id_ in self._upstreams

    @property
    def withheld(self) -> Collection[str]:
        """Ids of upstreams that are listed again after they were gone, and get no work yet."""
        return self._withheld.keys()

    @property
    def missing(self) -> Collection[str]:
        """Ids of upstreams that are used although the list lacks them."""
        return self._vanished.keys()

    def all(self) -> Collection[Upstream]:
        """Return all upstreams."""
        return self._upstreams.values()

    def in_use(self) -> bool:
        """Return whether this process has requests at any upstream."""
        return any(upstream.outstanding for upstream in self._upstreams.values())

    def find(self, incarnation: str) -> Upstream | None:
        """Return the upstream whose present run has a name, None if that run is not known."""
        found = self._upstreams.get(incarnation)
        if found is None:
            found = self._upstreams.get(incarnation.rpartition("@")[0])
        return found if found is not None and found.incarnation == incarnation else None

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, also those that take no work."""
        return self._by_service.get(service, [])

    def set_memories(self, memories: Mapping[str, int]) -> None:
        """Take over how many tokens the upstreams of each service keep in memory.

        Without it all were taken to keep 250,000. Where they keep more, parts that are there seem
        to be gone, and are read again or fetched elsewhere; where they keep less, the reverse.
        """
        self._memories = memories
        for upstream in self._upstreams.values():
            self._size_memory(upstream)

    def note_trouble(self, now: float) -> None:
        """Note that the list could not be read."""
        self._steady_at = max(self._steady_at, now + RETURN_WAIT_S)

    def apply(self, changes: UpstreamChanges, now: float) -> list[str]:
        """Take over a reading of the list.

        Returns
        -------
        list of str
            Incarnations that are over: their entries are gone, or they started again.
        """
        self.note_trouble(changes.troubled_at)
        over = [self._upstreams[id_].incarnation for id_ in changes.removed if id_ in self]
        for unreadable in changes.unreadable:
            self._hold_back(unreadable)
        for entry in changes.listed:
            replaced = self._list(entry, now)
            if replaced is not None:
                replaced.note_ended()
                over.append(replaced.incarnation)
        removed: Iterable[str] = changes.removed
        if changes.whole:
            present = (*changes.listed, *changes.unreadable)
            known = {*self._upstreams, *self._withheld}
            removed = known - {entry.id for entry in present}
        for id_ in removed:
            self._withheld.pop(id_, None)
            if id_ in self._upstreams:
                self._vanished[id_] = None
        self.settle(now)
        return over

    def settle(self, now: float) -> None:
        """Drop vanished entries once the list can be trusted, and release withheld ones."""
        self._release(now)
        if now < self._steady_at:
            return
        for id_ in self._vanished:
            upstream = self._upstreams.pop(id_, None)
            if upstream is not None:
                upstream.gone = True
                self._by_service[upstream.entry.service].remove(upstream)
                self._note_last_word(upstream, now)
        self._vanished.clear()

    def _note_last_word(self, upstream: Upstream, now: float) -> None:
        """Keep the last word of an upstream, which a store that comes back may show again."""
        self._ended = {id_: kept for id_, kept in self._ended.items() if now < kept.until}
        self._ended[upstream.id] = _KeptEntry(upstream.entry, now + ENDED_MEMORY_S)

    def _release(self, now: float) -> None:
        """Give work to upstreams that the platform has gone on to list."""
        for kept in [kept for kept in self._withheld.values() if now >= kept.until]:
            del self._withheld[kept.entry.id]
            self._add(kept.entry)

    def drop(self, upstream: Upstream) -> None:
        """Forget an upstream whose address answered under another id."""
        upstream.gone = True
        upstream.health.note_replaced()

    def _hold_back(self, unreadable: UnreadableEntry) -> None:
        """Send no new work to an upstream whose entry cannot be read any more.

        What is known of it may be wrong by now. Its requests go on, as they do where one leaves.
        """
        known = self._upstreams.get(unreadable.id)
        if known is not None and unreadable.position >= known.entry.position:
            known.entry = attrs.evolve(
                known.entry, leaving=True, revision=unreadable.revision, era=unreadable.era
            )

    def _list(self, entry: ListedUpstream, now: float) -> Upstream | None:
        """Take over an entry; return the incarnation that it replaces, None if it replaces none."""
        known = self._upstreams.get(entry.id)
        if known is None:
            if self._is_word_of_ended(entry):
                self._withheld.setdefault(entry.id, _KeptEntry(entry, now + WITHHELD_S))
                return None
            self._withheld.pop(entry.id, None)
            self._add(entry)
            return None
        order = _compare_starts(entry.started_ms, known.entry.started_ms)
        if order < 0:
            # News of a former incarnation that comes late says nothing of the present one.
            return None
        self._vanished.pop(entry.id, None)
        if order > 0:
            self._by_service[known.entry.service].remove(known)
            self._add(entry)
            return known
        if _is_newer_word(entry, known.entry):
            self._by_service[known.entry.service].remove(known)
            known.entry = attrs.evolve(entry, started_ms=known.entry.started_ms)
            self._by_service.setdefault(entry.service, []).append(known)
        return None

    def _is_word_of_ended(self, entry: ListedUpstream) -> bool:
        """Return whether an entry is what a copy holds of an upstream that is gone."""
        kept = self._ended.get(entry.id)
        if kept is None or entry.era <= kept.entry.era:
            return False
        order = _compare_starts(entry.started_ms, kept.entry.started_ms)
        return order < 0 or (order == 0 and entry.sequence <= kept.entry.sequence)

    def _add(self, entry: ListedUpstream) -> None:
        spread = self.rng.random() if self.rng is not None else 0.0
        added = self._upstreams[entry.id] = Upstream(entry, spread)
        self._size_memory(added)
        self._by_service.setdefault(entry.service, []).append(added)

    def _size_memory(self, upstream: Upstream) -> None:
        tokens = self._memories.get(upstream.entry.service)
        if tokens is not None:
            upstream.memory.set_capacity(tokens)


@attrs.frozen
class _KeptEntry:
    """An entry, and until when it is kept."""

    entry: ListedUpstream
    until: float


def _is_newer_word(entry: ListedUpstream, known: ListedUpstream) -> bool:
    """Return whether an entry of the known incarnation says more than the known one.

    Within one era the revisions tell. A store that came back from a copy first shows what the
    upstream said some time before. The upstream's own count tells that from what it writes since;
    with the same count an upstream that is known to leave stays so.
    """
    if entry.era == known.era:
        return entry.revision >= known.revision
    if entry.era < known.era or entry.sequence < known.sequence:
        return False
    return entry.sequence > known.sequence or entry.leaving or not known.leaving


def _compare_starts(listed_ms: int | None, known_ms: int | None) -> int:
    """Return 1 if an entry is of a later incarnation than the known one, 0 of the same, -1 before.

    An entry without a start goes on with the known incarnation. One that says it for the first time
    cannot be shown to be of the same incarnation, so that it begins a new one: to forget what is
    known of a warm upstream costs little, to go on with what a former one held misleads.
    """
    if listed_ms is None or listed_ms == known_ms:
        return 0
    return 1 if known_ms is None or listed_ms > known_ms else -1
