"""Upstreams of a forwarder, by service, as the platform lists them."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from .._fleet_size import FleetSize
from ..sending._cold_start import ColdReport, ColdTerms, granted_rate
from ..sending._evacuations import Evacuations
from ..sending._run_statements import RunStatements
from ..sending._shared_limit import SharedLimit
from ..sending._unlisted_statements import UnlistedStatements
from ._config import ColdStartTerms
from ._listed_upstream import (
    ListedUpstream,
    UnreadableEntry,
    UpstreamChanges,
    compare_starts,
    is_newer_entry,
)
from ._upstream import Upstream

RELIST_WAIT_S = 2.2
"""Time for which an unlisted upstream is kept after the list could not be read, seconds. The
platform needs about two seconds to restore the entries of live upstreams; 0.2 s is for the delay of
the update."""


REMOVED_RETENTION_S = 60.0
"""Time for which the last entry of a removed upstream is kept, seconds: far longer than the age of
a copy that the store is restored from."""

WITHHOLD_S = 10.0
"""Time for which a removed upstream that is listed again by a restored store gets no work, seconds:
longer than the platform lists one that sends nothing. One that is still listed then is alive."""


class UpstreamRegistry:
    """All upstreams, by service.

    Entries may vanish from the list while the platform's store fails although their upstreams are
    alive. Dropping these upstreams would make a whole service unavailable. So an upstream that is
    no longer listed is dropped at once only if the list has been read without failures for a while.

    Parameters
    ----------
    rng : random.Random or None
        Spreads the times at which the processes retry an upstream after failures.
    fleet : FleetSize or None
        Number of processes that send to these upstreams; None if this is the only one.
    """

    def __init__(self, rng: random.Random | None = None, fleet: FleetSize | None = None):
        self.rng = rng
        self.fleet = fleet or FleetSize()
        self.evacuations = Evacuations()
        self._upstreams: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._unlisted: dict[str, None] = {}
        self._removed_entries: dict[str, _RetainedEntry] = {}
        self._withheld: dict[str, _RetainedEntry] = {}
        self._unlisted_statements = UnlistedStatements(self._make_statements)
        self._list_trusted_at = float("-inf")
        self._capacities: Mapping[str, int] = {}
        self._cold_terms: dict[str, ColdTerms] = {}
        self._is_isolated = False

    def __len__(self) -> int:
        return len(self._upstreams)

    def __contains__(self, id_: object) -> bool:
        return id_ in self._upstreams

    @property
    def withheld(self) -> Collection[str]:
        """Ids of removed upstreams that are listed again and get no work yet."""
        return self._withheld.keys()

    @property
    def missing(self) -> Collection[str]:
        """Ids of upstreams that are used although they are not listed."""
        return self._unlisted.keys()

    @property
    def processes(self) -> int:
        """Number of processes that are listed now."""
        return self.fleet.listed

    @property
    def services(self) -> Collection[str]:
        """Services that have or had upstreams."""
        return self._by_service.keys()

    def all(self) -> Collection[Upstream]:
        """Return all upstreams."""
        return self._upstreams.values()

    def in_use(self) -> bool:
        """Return whether this process has requests at any upstream."""
        return any(upstream.outstanding for upstream in self._upstreams.values())

    def find(self, incarnation: str) -> Upstream | None:
        """Return the upstream whose present incarnation is the given one, None if there is none."""
        found = self._upstreams.get(incarnation)
        if found is None:
            found = self._upstreams.get(incarnation.rpartition("@")[0])
        return found if found is not None and found.incarnation == incarnation else None

    def of_service(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service, including those that accept no work."""
        return self._by_service.get(service, [])

    def learn_leaving(self, incarnation: str, now: float) -> bool:
        """Record that a run of an upstream has stated that it leaves; return whether that is new.

        It may be listed later, or again.
        """
        listed = self.find(incarnation)
        if listed is None:
            return self._unlisted_statements.learn_leaving(incarnation, now)
        return listed.statements.leaving.learn(now) is not None

    def leaving_runs(self) -> list[str]:
        """Return the runs that have stated that they leave, listed or not."""
        listed = [item for item in self.all() if item.statements.leaving.in_force]
        return [item.incarnation for item in listed] + self._unlisted_statements.leaving()

    def set_memory_capacities(self, memories: Mapping[str, int]) -> None:
        """Set how many tokens the upstreams of each service keep in memory.

        The default for all is 250,000. If upstreams keep more, parts that are cached are considered
        evicted, and are read again or fetched elsewhere; if they keep less, the reverse.
        """
        self._capacities = memories
        for upstream in self._upstreams.values():
            self._set_memory_capacity(upstream)

    def set_cold_starts(
        self,
        starts: Iterable[ColdStartTerms],
        now: float,
        overage: float = 1.0,
        slack: float = 1.0,
    ) -> None:
        """Set the cold starts of services; the upstreams of all others are never cold.

        Parameters
        ----------
        starts : iterable of ColdStartTerms
        now : float
        overage, slack : float
            See :func:`granted_rate`.
        """
        self._cold_terms = {
            item.service: ColdTerms(item.duration_s, granted_rate(item.per_s, overage, slack))
            for item in starts
        }
        for upstream in self._upstreams.values():
            upstream.cold.set_terms(self._cold_terms.get(upstream.entry.service), now)

    def mark_cold_unknown(self, domain: str, now: float) -> None:
        """Record that the upstreams of a failure domain may have turned cold until now.

        They count as cold for the duration of a start, until they have shown that they are warm.
        """
        for upstream in self._upstreams.values():
            if upstream.entry.failure_domain == domain:
                upstream.cold.learn_unknown(now)

    def receive_cold(
        self, incarnation: str, sender: str, report: ColdReport, now: float, source: str
    ) -> None:
        """Apply the report of a peer about a run; see :meth:`SharedLimit.receive_cold`.

        It may be listed later, or again.
        """
        listed = self.find(incarnation)
        if listed is not None:
            listed.limit.receive_cold(sender, report, now, source)
        else:
            self._unlisted_statements.receive_cold(incarnation, report, now, source)

    def cold_reports(self, now: float) -> list[tuple[str, ColdReport]]:
        """Return the runs that have stated that they are cold, with what they have stated."""
        return [
            (item.incarnation, report)
            for item in self._upstreams.values()
            for report in item.cold.reports(now)
        ]

    def set_isolated(self, is_isolated: bool, now: float) -> None:
        """Set whether nothing could show this process that an upstream has turned cold.

        Its list is then too old to trust: all upstreams count as cold until it is read again.
        """
        if is_isolated or self._is_isolated:
            for upstream in self._upstreams.values():
                upstream.cold.set_isolated(is_isolated, now)
        self._is_isolated = is_isolated

    def record_list_failure(self, now: float) -> None:
        """Record that the list could not be read."""
        self._list_trusted_at = max(self._list_trusted_at, now + RELIST_WAIT_S)

    def apply(self, changes: UpstreamChanges, now: float) -> list[str]:
        """Apply the result of reading the list.

        Returns
        -------
        list of str
            Incarnations that have ended: their entries were deleted, or they restarted.
        """
        self.record_list_failure(changes.last_failure_at)
        ended_incarnations = [
            self._upstreams[id_].incarnation for id_ in changes.removed if id_ in self
        ]
        for unreadable in changes.unreadable:
            self._mark_leaving(unreadable)
        for entry in changes.listed:
            replaced = self._apply_entry(entry, now)
            if replaced is not None:
                replaced.record_ended()
                ended_incarnations.append(replaced.incarnation)
        removed: Iterable[str] = changes.removed
        if changes.whole:
            present = (*changes.listed, *changes.unreadable)
            known = {*self._upstreams, *self._withheld}
            removed = known - {entry.id for entry in present}
        for id_ in removed:
            self._withheld.pop(id_, None)
            if id_ in self._upstreams:
                self._unlisted[id_] = None
        self.settle(now)
        return ended_incarnations

    def settle(self, now: float) -> None:
        """Drop unlisted upstreams once the list can be trusted, and release withheld ones."""
        self._release(now)
        if now < self._list_trusted_at:
            return
        for id_ in self._unlisted:
            upstream = self._upstreams.pop(id_, None)
            if upstream is not None:
                upstream.is_removed = True
                self._by_service[upstream.entry.service].remove(upstream)
                self._retain_removed(upstream, now)
                self._unlisted_statements.keep(upstream.incarnation, upstream.statements)
        self._unlisted.clear()

    def _retain_removed(self, upstream: Upstream, now: float) -> None:
        """Keep the last entry of a removed upstream, which a restored store may list again."""
        self._removed_entries = {
            id_: kept for id_, kept in self._removed_entries.items() if now < kept.until
        }
        self._removed_entries[upstream.id] = _RetainedEntry(
            upstream.entry, now + REMOVED_RETENTION_S
        )

    def _release(self, now: float) -> None:
        """Add the withheld upstreams that the platform still lists after the waiting time."""
        for kept in [kept for kept in self._withheld.values() if now >= kept.until]:
            del self._withheld[kept.entry.id]
            self._add(kept.entry, now)

    def drop(self, upstream: Upstream) -> None:
        """Mark an upstream as removed because its address answered under another id."""
        upstream.is_removed = True
        upstream.health.record_replaced()

    def _mark_leaving(self, unreadable: UnreadableEntry) -> None:
        """Send no new work to an upstream whose entry cannot be read any more.

        Its last known entry may be outdated. Its running requests continue, as they do at a
        draining upstream.
        """
        known = self._upstreams.get(unreadable.id)
        if known is not None and unreadable.position >= known.entry.position:
            known.entry = attrs.evolve(
                known.entry, leaving=True, revision=unreadable.revision, era=unreadable.era
            )

    def _apply_entry(self, entry: ListedUpstream, now: float) -> Upstream | None:
        """Apply an entry; return the incarnation that it replaces, None if it replaces none."""
        known = self._upstreams.get(entry.id)
        if known is None:
            if self._is_stale_copy(entry):
                self._withheld.setdefault(entry.id, _RetainedEntry(entry, now + WITHHOLD_S))
                return None
            self._withheld.pop(entry.id, None)
            self._add(entry, now)
            return None
        order = compare_starts(entry.started_ms, known.entry.started_ms)
        if order < 0:
            # A late update of a former incarnation does not apply to the present one.
            return None
        self._unlisted.pop(entry.id, None)
        if order > 0:
            self._add(entry, now)
            self._by_service[known.entry.service].remove(known)
            return known
        if is_newer_entry(entry, known.entry):
            self._by_service[known.entry.service].remove(known)
            known.entry = attrs.evolve(entry, started_ms=known.entry.started_ms)
            self._by_service.setdefault(entry.service, []).append(known)
            self._apply_cold(known, now)
        return None

    def _is_stale_copy(self, entry: ListedUpstream) -> bool:
        """Return whether an entry is the one of a removed upstream, listed by a restored store."""
        kept = self._removed_entries.get(entry.id)
        if kept is None or entry.era <= kept.entry.era:
            return False
        order = compare_starts(entry.started_ms, kept.entry.started_ms)
        return order < 0 or (order == 0 and entry.sequence <= kept.entry.sequence)

    def _add(self, entry: ListedUpstream, now: float) -> None:
        added = Upstream(entry, self._spread(), self.evacuations)
        added.statements = self._unlisted_statements.take(entry.incarnation)
        self._set_memory_capacity(added)
        self._apply_cold(added, now)
        self._upstreams[entry.id] = added
        self._by_service.setdefault(entry.service, []).append(added)

    def _apply_cold(self, upstream: Upstream, now: float) -> None:
        """Apply the cold time of an upstream's entry, and the terms of its service."""
        entry = upstream.entry
        upstream.limit.learn_listed(entry.cold_s, entry.sequence, now)
        upstream.cold.set_terms(self._cold_terms.get(entry.service), now)

    def _spread(self) -> float:
        return self.rng.random() if self.rng is not None else 0.0

    def _make_statements(self) -> RunStatements:
        return RunStatements(SharedLimit(), self._spread())

    def _set_memory_capacity(self, upstream: Upstream) -> None:
        tokens = self._capacities.get(upstream.entry.service)
        if tokens is not None:
            upstream.memory.set_capacity(tokens)


@attrs.frozen
class _RetainedEntry:
    """An entry, and the time until which it is kept."""

    entry: ListedUpstream
    until: float
