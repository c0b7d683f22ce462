"""Configuration in force in a process, and its updates from the record log."""

from __future__ import annotations

import enum
import random
from collections import deque
from collections.abc import Collection, Iterable
from typing import Any

import attrs
from result import Err, Ok, Result

from burdockquay_state import (
    FIELD_BY_KIND,
    Fork,
    LogEntry,
    LogPart,
    RecordFault,
    RecordLog,
    Snapshot,
    TableError,
    decode_record,
    find_fork,
    known_schemas,
)

RECENT_ENTRIES = 1000
"""Log entries kept for lagging peers; a peer that lags further gets the full configuration."""

LOG_PART_LIMIT_BYTES = 1 << 20
"""Largest size of one part of the log, bytes; the receiver requests the next part."""

FULL_CONFIGURATION_LIMIT_BYTES = 3 << 20
"""Largest size of a full configuration that is sent in one message, bytes."""

FETCH_RETRY_S = 0.5
"""Time without an answer of a peer after which another peer is asked, seconds."""


class ApplyStatus(enum.Enum):
    """Result status of applying a part of the log."""

    APPLIED = "applied"
    NOT_NEWER = "not_newer"
    """It contains nothing newer than what is in force."""
    GAP = "gap"
    """It starts after entries that are missing here."""
    MALFORMED = "malformed"
    """Its entries are out of order or beyond its head."""


@attrs.frozen
class ApplyOutcome:
    """Result of applying a part of the log.

    Parameters
    ----------
    status : ApplyStatus
    revision : int
        Revision in force afterwards.
    applied : int
        Number of entries that were applied.
    faults : tuple of RecordFault
        Records that this process cannot decode; their last readable version stays in force.
    kept : tuple of str
        Records that stay in force unchanged although the log has lost that change; see
        :meth:`ConfigurationHolder.apply`.
    """

    status: ApplyStatus
    revision: int
    applied: int = 0
    faults: tuple[RecordFault, ...] = ()
    kept: tuple[str, ...] = ()


class ConfigurationHolder:
    """Holds the configuration in force and the log entries for lagging peers.

    Parameters
    ----------
    known : collection of (str, int), optional
        The (kind, schema version) pairs that the process supports; all registered by default.

    Notes
    -----
    Parts of the log arrive from the table and from any number of peers: late, duplicated and in any
    order. Only a part that follows the revision in force without a gap, or a full configuration of
    a higher revision, is applied. A process that applied an older part would handle requests by
    rules that the operators have replaced.
    """

    def __init__(self, known: Collection[tuple[str, int]] | None = None):
        self.known = known_schemas() if known is None else frozenset(known)
        self._snapshot = Snapshot()
        self._entries: dict[tuple[str, str], LogEntry] = {}
        self._forks: list[Fork] = []
        self._withdrawn: dict[tuple[str, str], LogEntry] = {}
        self._faults: dict[tuple[str, str], tuple[RecordFault, ...]] = {}
        self._recent: deque[LogEntry] = deque(maxlen=RECENT_ENTRIES)
        self._applied_at = 0.0
        self._fetch_after = -float("inf")

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""
        return self._snapshot

    @property
    def revision(self) -> int:
        """Revision in force; 0 if there is none yet."""
        return self._snapshot.revision

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force."""
        return self.revision > 0

    @property
    def applied_at(self) -> float:
        """Time of the last change of the revision in force, seconds on the caller's clock."""
        return self._applied_at

    @property
    def faults(self) -> list[RecordFault]:
        """Faults of the records whose latest version this process cannot decode."""
        return [fault for faults in self._faults.values() for fault in faults]

    def entries_of(self, kind: str) -> dict[str, LogEntry]:
        """Return the last change of each record of a kind, by name; also of unreadable records."""
        return {name: entry for (one, name), entry in self._entries.items() if one == kind}

    def apply(self, part: LogPart, now: float) -> ApplyOutcome:
        """Apply the entries of a part of the log that are newer than what is in force.

        Notes
        -----
        The table may be restored from a copy and lose changes that are in force here, and the log
        continues from the copy. What was in force stays in force until the log has a newer entry
        for the record: a lost change is not undone, and a withdrawn record is not put in force
        again.
        """
        self._fetch_after = -float("inf")
        if part.whole:
            return self._apply_full(part, now)
        newer = [entry for entry in part.entries if entry.revision > self.revision]
        if not newer:
            return self._outcome(ApplyStatus.NOT_NEWER)
        expected = range(self.revision + 1, self.revision + 1 + len(newer))
        if newer[0].revision != expected[0]:
            return self._outcome(ApplyStatus.GAP)
        if [entry.revision for entry in newer] != list(expected):
            return self._outcome(ApplyStatus.MALFORMED)
        faults = self._apply_entries(newer, newer[-1].revision, now)
        self._recent.extend(newer)
        return self._outcome(ApplyStatus.APPLIED, len(newer), faults)

    def log_after(self, revision: int) -> LogPart:
        """Return what a peer at ``revision`` lacks: the next entries or the full configuration."""
        if revision >= self.revision:
            return LogPart(revision, [], False, self.revision)
        if self._recent and self._recent[0].revision <= revision + 1:
            behind = (entry for entry in self._recent if entry.revision > revision)
            return LogPart(
                revision, _take_fitting(behind, LOG_PART_LIMIT_BYTES), False, self.revision
            )
        known = [*self._entries.values(), *self._withdrawn.values()]
        entries = sorted(known, key=lambda entry: entry.revision)
        if sum(map(_size, entries)) > FULL_CONFIGURATION_LIMIT_BYTES:
            # Too large for a message: the peer gets the head without entries and reads the table.
            return LogPart(revision, [], False, self.revision)
        return LogPart(0, entries, True, self.revision, list(self._forks))

    def should_fetch(self, revision: int, now: float) -> bool:
        """Return whether to request the log of a peer that has ``revision`` in force.

        Notes
        -----
        All peers of a process report a new revision at nearly the same time. Requesting the log
        from each of them would multiply the traffic of every change by the number of connections,
        so one is asked, and the next one only after ``FETCH_RETRY_S`` without an answer.
        """
        if revision <= self.revision or now < self._fetch_after:
            return False
        self._fetch_after = now + FETCH_RETRY_S
        return True

    def _apply_full(self, part: LogPart, now: float) -> ApplyOutcome:
        if part.head <= self.revision:
            return self._outcome(ApplyStatus.NOT_NEWER)
        if any(
            entry.revision > part.head or not (entry.bodies or part.forks) for entry in part.entries
        ):
            return self._outcome(ApplyStatus.MALFORMED)
        fork = find_fork(part.forks, self.revision)
        floor = fork.kept if fork is not None else 0
        entries = {(entry.kind, entry.name): entry for entry in part.entries}
        kept = self._find_kept(entries, floor) if fork is not None else set()
        removed = [
            attrs.evolve(entry, revision=part.head, bodies={})
            for key, entry in self._entries.items()
            if key not in entries and key not in kept
        ]
        changed = [
            entry
            for key, entry in entries.items()
            if key not in kept and self._entries.get(key) != entry
        ]
        self._forks = list(part.forks)
        faults = self._apply_entries(removed + changed, part.head, now)
        self._recent.clear()
        names = tuple(sorted(f"{kind}/{name}" for kind, name in kept))
        return attrs.evolve(self._outcome(ApplyStatus.APPLIED, len(changed), faults), kept=names)

    def _find_kept(
        self, entries: dict[tuple[str, str], LogEntry], floor: int
    ) -> set[tuple[str, str]]:
        """Return the records with a lost change and no newer entry after ``floor`` in the log."""
        lost = {key for key, entry in self._entries.items() if entry.revision > floor}
        reappeared = {
            key
            for key, entry in entries.items()
            if entry.bodies and entry.revision <= floor and self._entries.get(key) != entry
        }
        newer = {key for key, entry in entries.items() if entry.revision > floor}
        return (lost | reappeared) - newer

    def _apply_entries(
        self, entries: Collection[LogEntry], revision: int, now: float
    ) -> tuple[RecordFault, ...]:
        fields = {FIELD_BY_KIND[entry.kind] for entry in entries if entry.kind in FIELD_BY_KIND}
        records = {field: dict(getattr(self._snapshot, field)) for field in fields}
        faults = [fault for entry in entries for fault in self._apply_entry(entry, records)]
        self._snapshot = attrs.evolve(self._snapshot, revision=revision, **records)
        self._applied_at = now
        return tuple(faults)

    def _apply_entry(
        self, entry: LogEntry, records: dict[str, dict[str, Any]]
    ) -> tuple[RecordFault, ...]:
        """Apply one entry to ``records``; return its faults."""
        key = (entry.kind, entry.name)
        self._faults.pop(key, None)
        self._withdrawn.pop(key, None)
        if not entry.bodies:
            self._entries.pop(key, None)
            if self._forks:
                self._record_withdrawal(key, entry)
            records.get(FIELD_BY_KIND.get(entry.kind, ""), {}).pop(entry.name, None)
            return ()
        self._entries[key] = entry
        decoded = decode_record(entry.kind, entry.name, entry.bodies, self.known)
        if isinstance(decoded, Ok):
            records[FIELD_BY_KIND[entry.kind]][entry.name] = decoded.ok_value
            return ()
        # The last readable version of the record stays in force. Otherwise a process of the old
        # release would drop the class or route as soon as only the new schema is left.
        self._faults[key] = tuple(decoded.err_value)
        return self._faults[key]

    def _record_withdrawal(self, key: tuple[str, str], entry: LogEntry) -> None:
        """Store a withdrawal for peers that kept the record when the table was restored."""
        self._withdrawn[key] = entry
        if len(self._withdrawn) > RECENT_ENTRIES:
            self._withdrawn.pop(next(iter(self._withdrawn)))

    def _outcome(
        self, status: ApplyStatus, applied: int = 0, faults: tuple[RecordFault, ...] = ()
    ) -> ApplyOutcome:
        return ApplyOutcome(status, self.revision, applied, faults)


def _size(entry: LogEntry) -> int:
    return 128 + sum(map(len, entry.bodies.values()))


def _take_fitting(entries: Iterable[LogEntry], limit: int) -> list[LogEntry]:
    """Return the first entries that fit into ``limit`` bytes, at least one."""
    fitting: list[LogEntry] = []
    total = 0
    for entry in entries:
        total += _size(entry)
        if fitting and total > limit:
            break
        fitting.append(entry)
    return fitting


def next_read_delay(
    poll_interval_s: float, table_read_budget: float, processes: int, rng: random.Random
) -> float:
    """Return the delay until this process reads the head revision again, seconds.

    Parameters
    ----------
    poll_interval_s : float
        Mean time between two reads, seconds.
    table_read_budget : float
        Reads per second by all processes together.
    processes : int
        Known number of processes that read.
    rng : random.Random

    Notes
    -----
    The mean grows with the number of processes, so that all of them together stay within the
    budget. The jitter of half the mean keeps processes that started together from reading together.

    Examples
    --------
    >>> delays = [next_read_delay(1.0, 300.0, 7600, random.Random(seed)) for seed in range(100)]
    >>> 12 < min(delays) and max(delays) < 39
    True
    """
    mean = max(poll_interval_s, processes / table_read_budget)
    return mean * rng.uniform(0.5, 1.5)


class ConfigurationReader:
    """Reads the record log in the table into a holder.

    Parameters
    ----------
    log : RecordLog
    holder : ConfigurationHolder
    """

    def __init__(self, log: RecordLog, holder: ConfigurationHolder):
        self.log = log
        self.holder = holder

    async def read(self, now: float) -> Result[ApplyOutcome, TableError]:
        """Read the head and, if it is newer, the missing entries; one read if nothing is new.

        Returns
        -------
        Result of ApplyOutcome, TableError
            On an error the configuration in force is unchanged.
        """
        head = await self.log.head()
        if isinstance(head, Err):
            return head
        revision = self.holder.revision
        if head.ok_value <= revision:
            return Ok(ApplyOutcome(ApplyStatus.NOT_NEWER, revision))
        part = await (self.log.read_after(revision) if revision else self.log.read_all())
        return part.map(lambda received: self.holder.apply(received, now))
