"""Commit of changes to the record log."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ._log_entry import Fork, LogEntry, revision_before
from ._record_change import (
    Accepted,
    CompetingChange,
    PutRefusal,
    RecordChange,
    RefusalKind,
    find_size_faults,
)
from ._record_checks import find_new_faults
from ._record_codec import RecordFault, decode_record, known_schemas
from ._record_diff import FieldChange, diff_bodies
from ._record_rows import (
    HEAD_KEY,
    HeadRow,
    LogRow,
    encode_row,
    log_key,
    record_key,
    row_fingerprint,
)
from ._record_state import StoredState, make_checked_state
from ._table import Delete, Operation, Put, TableError, TableErrorKind
from ._validation import Matches

if TYPE_CHECKING:
    from ._record_log import RecordLog

COMMIT_ATTEMPTS = 20
"""Attempts to commit a change while concurrent changes update the head row first."""

STALE_READ_LIMIT = 5
"""Number of reads older than that of the author after which the revision given by the author
counts as wrong."""

MAX_CHANGES = 50
"""Maximum number of records in one transaction."""

_MAX_REMOVED_RECORDS = 10

# Terminals of other operators display the author, so it must not contain control characters.
_AUTHOR = Matches(r"[^\W_][\w .@+-]{0,63}", "1 to 64 letters, digits, ' ', '.', '@', '+', '-', '_'")


class RecordWriter:
    """Commits changes to the log despite races, lost confirmations and stale reads.

    Parameters
    ----------
    log : RecordLog
    changes : sequence of RecordChange
    author : str
    change_id : str
        Marks the log rows, so that the outcome can be determined after a lost confirmation.
    """

    def __init__(
        self, log: RecordLog, changes: Sequence[RecordChange], author: str, change_id: str
    ):
        self.log = log
        self.changes = changes
        self.author = author
        self.change_id = change_id
        # First revision of each transaction whose confirmation was lost.
        self._uncertain_revisions: set[int] = set()
        self._stale_reads = 0

    async def run(self, now: float, dry_run: bool) -> Result[Accepted, PutRefusal]:
        """Commit the changes and return the result.

        Notes
        -----
        After a lost confirmation, the same transaction is retried under the same conditions. If the
        first attempt took effect, the second one fails and the log row shows this change. If it did
        not, the second one prevents it from taking effect later.
        """
        faults = self._find_faults()
        if faults:
            return _refuse_faults(faults)
        for _ in range(COMMIT_ATTEMPTS):
            outcome = await self._attempt(now, dry_run)
            if outcome is not None:
                return outcome
        if self._uncertain_revisions:
            return self._refuse_unknown("the table answers with old states")
        detail = f"other changes or old answers of the table got in the way {COMMIT_ATTEMPTS} times"
        return Err(PutRefusal(RefusalKind.CONTENDED, f"{detail}; nothing was written"))

    async def _attempt(self, now: float, dry_run: bool) -> Result[Accepted, PutRefusal] | None:
        """Make one attempt; return None if it must be repeated."""
        if self._uncertain_revisions:
            resolved = await self._resolve_uncertain()
            if resolved is not None:
                return resolved
        read = await self.log.read_state()
        if isinstance(read, Err):
            return self._refuse_table(read.err_value)
        state = read.ok_value
        for after, change in enumerate(reversed(self.changes)):
            current = state.rows.get(change.key)
            if current is not None and current.change_id == self.change_id:
                return self._make_accepted(state, current.entry.revision + after, late=True)
            if not self._has_expected_revision(state, change):
                return await self._handle_changed_record(state, change)
        faults = self._find_state_faults(state)
        if faults:
            return None if self._uncertain_revisions else _refuse_faults(faults)
        last = state.last_revision + len(self.changes)
        if dry_run:
            return self._make_accepted(state, last, dry_run=True)
        written = await self.log.table.transact(self._operations(state, now))
        if isinstance(written, Ok):
            return self._make_accepted(state, last)
        return self._handle_write_error(written.err_value, state)

    def _find_faults(self) -> list[RecordFault]:
        known = known_schemas()
        faults: list[RecordFault] = []
        if not 1 <= len(self.changes) <= MAX_CHANGES:
            got = str(len(self.changes))
            faults.append(RecordFault("*", "", f"1 to {MAX_CHANGES} changes together", got))
        if not _AUTHOR.accepts(self.author):
            faults.append(RecordFault("*", "author", str(_AUTHOR), repr(self.author)))
        keys = [change.key for change in self.changes]
        for change in self.changes:
            if keys.count(change.key) > 1:
                faults.append(RecordFault(change.path, "", "each record once", "several changes"))
            faults += find_size_faults(change)
            for schema, body in change.bodies.items():
                decoded = decode_record(change.kind, change.name, {schema: body}, known)
                faults += decoded.err_value if isinstance(decoded, Err) else []
        return faults

    def _has_expected_revision(self, state: StoredState, change: RecordChange) -> bool:
        row = state.rows.get(change.key)
        accepted = {state.revision_of(change.key)}
        if row is not None and row.withdrawn and not change.withdraws:
            accepted.add(row.entry.revision)
        return change.expected_revision in accepted

    def _find_state_faults(self, state: StoredState) -> list[RecordFault]:
        faults = [
            RecordFault(change.path, "", "a record to withdraw", "none of that kind and name")
            for change in self.changes
            if change.withdraws and not state.revision_of(change.key)
        ]
        entries = {row.key: row.entry for row in state.records_in_force()}
        for entry in self._entries(state, 0.0):
            entries[entry.kind, entry.name] = entry
        after = make_checked_state(entries.values(), state.head.revision)
        withdrawn = {change.key for change in self.changes if change.withdraws}
        return faults + find_new_faults(state.to_checked_state(), after, withdrawn)

    def _entries(self, state: StoredState, now: float) -> list[LogEntry]:
        return [
            LogEntry(revision, change.kind, change.name, change.bodies, self.author, now)
            for revision, change in enumerate(self.changes, state.last_revision + 1)
        ]

    def _operations(self, state: StoredState, now: float) -> list[Operation]:
        operations: list[Operation] = []
        digest = state.head.fingerprint
        for entry in self._entries(state, now):
            key = entry.kind, entry.name
            old = state.rows.get(key)
            row = LogRow(entry, self.change_id, old.entry.revision if old else 0)
            value = encode_row(row)
            version = state.versions.get(key, state.absent)
            operations.append(Put(log_key(entry.revision), value, state.absent))
            operations.append(Put(record_key(*key), value, version))
            digest ^= row_fingerprint(old) if old and not old.withdrawn else 0
            digest ^= 0 if row.withdrawn else row_fingerprint(row)
        head = HeadRow(state.last_revision + len(self.changes), digest, state.next_forks)
        operations.append(Put(HEAD_KEY, encode_row(head), state.head_version))
        return operations + self._removal_operations(state, head)

    def _removal_operations(self, state: StoredState, head: HeadRow) -> list[Operation]:
        """Return deletions of log rows and withdrawn records that are past the retained log."""
        horizon = revision_before(head.revision, self.log.max_log_rows, head.forks)
        first = max(1, horizon - len(self.changes) + 1)
        removals: list[Operation] = [
            Delete(log_key(revision)) for revision in range(first, horizon + 1)
        ]
        changed = {change.key for change in self.changes}
        old = [
            row
            for row in state.rows.values()
            if row.withdrawn and row.entry.revision <= horizon and row.key not in changed
        ]
        for row in old[:_MAX_REMOVED_RECORDS]:
            removals.append(Delete(record_key(*row.key), state.versions[row.key]))
        return removals

    def _handle_write_error(
        self, error: TableError, state: StoredState
    ) -> Result[Accepted, PutRefusal] | None:
        if error.kind is TableErrorKind.CONFLICT:
            return None
        if error.kind is TableErrorKind.UNCERTAIN:
            self._uncertain_revisions.add(state.last_revision + 1)
            return None
        return self._refuse_table(error)

    async def _resolve_uncertain(self) -> Result[Accepted, PutRefusal] | None:
        """Read back the log rows of transactions whose confirmation was lost."""
        for revision in sorted(self._uncertain_revisions):
            read = await self.log.read_row(revision)
            if isinstance(read, Err):
                return self._refuse_table(read.err_value)
            row = read.ok_value
            if row is None:
                continue
            if row.change_id == self.change_id:
                last = revision + len(self.changes) - 1
                return Ok(Accepted(last, confirmed_late=True))
            self._uncertain_revisions.discard(revision)
        return None

    async def _handle_changed_record(
        self, state: StoredState, change: RecordChange
    ) -> Result[Accepted, PutRefusal] | None:
        if self._uncertain_revisions:
            # The record may have been changed by this very commit; only the log rows show that.
            return None
        fork = state.find_losing_fork(change.expected_revision)
        if fork is not None:
            return _refuse_lost_revision(state, change, fork)
        current = state.rows.get(change.key)
        if current is None or current.entry.revision < change.expected_revision:
            return self._handle_stale_read(state, change)
        read = await self.log.read_row(change.expected_revision)
        base = read.ok_value.entry.bodies if isinstance(read, Ok) and read.ok_value else {}
        winner = _make_competing_change(
            change, current, tuple(diff_bodies(base, current.entry.bodies))
        )
        detail = f"{change.path} is no longer at revision {change.expected_revision}"
        return Err(PutRefusal(RefusalKind.CHANGED, f"{detail}; nothing was written", (), winner))

    def _handle_stale_read(
        self, state: StoredState, change: RecordChange
    ) -> Result[Accepted, PutRefusal] | None:
        # Either the author gave a revision that the record never had, or the table answered with a
        # state older than the one that the author read. A few more reads distinguish the two.
        self._stale_reads += 1
        if self._stale_reads < STALE_READ_LIMIT:
            return None
        found = state.revision_of(change.key)
        got = f"{change.expected_revision}, while the table shows it at {found}"
        return _refuse_faults([RecordFault(change.path, "revision", "the one last read", got)])

    def _make_accepted(
        self, state: StoredState, revision: int, dry_run: bool = False, late: bool = False
    ) -> Ok[Accepted]:
        changes: list[FieldChange] = []
        for change in self.changes:
            row = state.rows.get(change.key)
            base = row.entry.bodies if row and row.change_id != self.change_id else {}
            changes += diff_bodies(base, change.bodies)
        return Ok(Accepted(revision, tuple(changes), dry_run, late))

    def _refuse_table(self, error: TableError) -> Err[PutRefusal]:
        if self._uncertain_revisions:
            return self._refuse_unknown(error.detail or error.kind.value)
        detail = f"table service: {error.kind.value} {error.detail}".strip()
        return Err(PutRefusal(RefusalKind.UNAVAILABLE, f"{detail}; nothing was written"))

    def _refuse_unknown(self, reason: str) -> Err[PutRefusal]:
        revisions = ", ".join(str(revision) for revision in sorted(self._uncertain_revisions))
        detail = (
            f"a confirmation was lost and the log cannot be read back ({reason}): the change "
            f"may stand at revision {revisions} with the change id {self.change_id}"
        )
        return Err(PutRefusal(RefusalKind.UNKNOWN, detail, (), None, self.change_id))


def _refuse_faults(faults: Sequence[RecordFault]) -> Err[PutRefusal]:
    return Err(PutRefusal(RefusalKind.INVALID, f"{len(faults)} fault(s)", tuple(faults)))


def _refuse_lost_revision(state: StoredState, change: RecordChange, fork: Fork) -> Err[PutRefusal]:
    current = state.rows.get(change.key)
    found = state.revision_of(change.key)
    now = f"at revision {found}" if found else "not in force"
    detail = (
        f"revision {change.expected_revision} of {change.path} was lost: the table returned from "
        f"a copy that ends at revision {fork.kept}, where the record is {now}; nothing was written"
    )
    winner = None if current is None else _make_competing_change(change, current, ())
    return Err(PutRefusal(RefusalKind.CHANGED, detail, (), winner))


def _make_competing_change(
    change: RecordChange, row: LogRow, changes: tuple[FieldChange, ...]
) -> CompetingChange:
    entry = row.entry
    revision = 0 if row.withdrawn else entry.revision
    return CompetingChange(change.path, revision, entry.author, entry.at, row.withdrawn, changes)
