"""One change on its way into the record log."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from ._log_entry import Fork, LogEntry, step_back
from ._record_change import (
    Accepted,
    PutRefusal,
    RecordChange,
    RefusalKind,
    Winner,
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
from ._record_state import StoredState, checked_state
from ._table import Delete, Operation, Put, TableError, TableErrorKind
from ._validation import Matches

if TYPE_CHECKING:
    from ._record_log import RecordLog

COMMIT_ATTEMPTS = 20
"""How often a change starts again while others win the head row."""

OLD_READS = 5
"""Reads older than the author's own after which the author's revision is taken to be wrong."""

MAX_CHANGES = 50
"""Records in one transaction."""

_REMOVED_AT_ONCE = 10

# Others read the author in their terminals, so that no control characters may stand in it.
_AUTHOR = Matches(r"[^\W_][\w .@+-]{0,63}", "1 to 64 letters, digits, ' ', '.', '@', '+', '-', '_'")


class RecordWriter:
    """Brings changes into the log, over races, lost confirmations and stale reads.

    Parameters
    ----------
    log : RecordLog
    changes : sequence of RecordChange
    author : str
    change_id : str
        Marks the log rows, so that a lost confirmation can be cleared up.
    """

    def __init__(
        self, log: RecordLog, changes: Sequence[RecordChange], author: str, change_id: str
    ):
        self.log = log
        self.changes = changes
        self.author = author
        self.change_id = change_id
        # First revisions of transactions whose confirmation was lost.
        self._uncertain: set[int] = set()
        self._old_reads = 0

    async def run(self, now: float, dry_run: bool) -> Result[Accepted, PutRefusal]:
        """Return what became of the changes.

        Notes
        -----
        After a lost confirmation the same transaction is tried again under the same conditions:
        either the first try had taken effect, then the second one fails and the log row shows our
        change, or it has not, then the second one keeps it from taking effect later.
        """
        faults = self._find_faults()
        if faults:
            return _refuse_faults(faults)
        for _ in range(COMMIT_ATTEMPTS):
            ended = await self._attempt(now, dry_run)
            if ended is not None:
                return ended
        if self._uncertain:
            return self._refuse_unknown("the table answers with old states")
        detail = f"other changes or old answers of the table got in the way {COMMIT_ATTEMPTS} times"
        return Err(PutRefusal(RefusalKind.CONTENDED, f"{detail}; nothing was written"))

    async def _attempt(self, now: float, dry_run: bool) -> Result[Accepted, PutRefusal] | None:
        """Try once; None means try again."""
        if self._uncertain:
            cleared = await self._clear_up()
            if cleared is not None:
                return cleared
        read = await self.log.read_state()
        if isinstance(read, Err):
            return self._refuse_table(read.err_value)
        state = read.ok_value
        for after, change in enumerate(reversed(self.changes)):
            current = state.rows.get(change.key)
            if current is not None and current.change_id == self.change_id:
                return self._accepted(state, current.entry.revision + after, late=True)
            if not self._is_as_read(state, change):
                return await self._lost_race(state, change)
        faults = self._find_state_faults(state)
        if faults:
            return None if self._uncertain else _refuse_faults(faults)
        last = state.last_revision + len(self.changes)
        if dry_run:
            return self._accepted(state, last, dry_run=True)
        written = await self.log.table.transact(self._operations(state, now))
        if isinstance(written, Ok):
            return self._accepted(state, last)
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

    def _is_as_read(self, state: StoredState, change: RecordChange) -> bool:
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
        entries = {row.key: row.entry for row in state.in_force()}
        for entry in self._entries(state, 0.0):
            entries[entry.kind, entry.name] = entry
        after = checked_state(entries.values(), state.head.revision)
        withdrawn = {change.key for change in self.changes if change.withdraws}
        return faults + find_new_faults(state.checked(), after, withdrawn)

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
        return operations + self._removals(state, head)

    def _removals(self, state: StoredState, head: HeadRow) -> list[Operation]:
        """Return deletions of what fell behind the kept part of the log."""
        horizon = step_back(head.revision, self.log.kept, head.forks)
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
        for row in old[:_REMOVED_AT_ONCE]:
            removals.append(Delete(record_key(*row.key), state.versions[row.key]))
        return removals

    def _handle_write_error(
        self, error: TableError, state: StoredState
    ) -> Result[Accepted, PutRefusal] | None:
        if error.kind is TableErrorKind.CONFLICT:
            return None
        if error.kind is TableErrorKind.UNCERTAIN:
            self._uncertain.add(state.last_revision + 1)
            return None
        return self._refuse_table(error)

    async def _clear_up(self) -> Result[Accepted, PutRefusal] | None:
        """Read back the log rows of the transactions whose confirmation was lost."""
        for revision in sorted(self._uncertain):
            read = await self.log.read_row(revision)
            if isinstance(read, Err):
                return self._refuse_table(read.err_value)
            row = read.ok_value
            if row is None:
                continue
            if row.change_id == self.change_id:
                last = revision + len(self.changes) - 1
                return Ok(Accepted(last, confirmed_late=True))
            self._uncertain.discard(revision)
        return None

    async def _lost_race(
        self, state: StoredState, change: RecordChange
    ) -> Result[Accepted, PutRefusal] | None:
        if self._uncertain:
            # The record may have gone through our own change; only the log rows tell.
            return None
        loss = state.find_loss(change.expected_revision)
        if loss is not None:
            return _refuse_lost(state, change, loss)
        current = state.rows.get(change.key)
        if current is None or current.entry.revision < change.expected_revision:
            return self._handle_old_read(state, change)
        read = await self.log.read_row(change.expected_revision)
        base = read.ok_value.entry.bodies if isinstance(read, Ok) and read.ok_value else {}
        winner = _winner(change, current, tuple(diff_bodies(base, current.entry.bodies)))
        detail = f"{change.path} is no longer at revision {change.expected_revision}"
        return Err(PutRefusal(RefusalKind.CHANGED, f"{detail}; nothing was written", (), winner))

    def _handle_old_read(
        self, state: StoredState, change: RecordChange
    ) -> Result[Accepted, PutRefusal] | None:
        # Either the author gave a revision that the record never had, or the table answered with a
        # state from before the author's own reading. A few more reads tell the one from the other.
        self._old_reads += 1
        if self._old_reads < OLD_READS:
            return None
        found = state.revision_of(change.key)
        got = f"{change.expected_revision}, while the table shows it at {found}"
        return _refuse_faults([RecordFault(change.path, "revision", "the one last read", got)])

    def _accepted(
        self, state: StoredState, revision: int, dry_run: bool = False, late: bool = False
    ) -> Ok[Accepted]:
        changes: list[FieldChange] = []
        for change in self.changes:
            row = state.rows.get(change.key)
            base = row.entry.bodies if row and row.change_id != self.change_id else {}
            changes += diff_bodies(base, change.bodies)
        return Ok(Accepted(revision, tuple(changes), dry_run, late))

    def _refuse_table(self, error: TableError) -> Err[PutRefusal]:
        if self._uncertain:
            return self._refuse_unknown(error.detail or error.kind.value)
        detail = f"table service: {error.kind.value} {error.detail}".strip()
        return Err(PutRefusal(RefusalKind.UNAVAILABLE, f"{detail}; nothing was written"))

    def _refuse_unknown(self, reason: str) -> Err[PutRefusal]:
        revisions = ", ".join(str(revision) for revision in sorted(self._uncertain))
        detail = (
            f"a confirmation was lost and the log cannot be read back ({reason}): the change "
            f"may stand at revision {revisions} with the change id {self.change_id}"
        )
        return Err(PutRefusal(RefusalKind.UNKNOWN, detail, (), None, self.change_id))


def _refuse_faults(faults: Sequence[RecordFault]) -> Err[PutRefusal]:
    return Err(PutRefusal(RefusalKind.INVALID, f"{len(faults)} fault(s)", tuple(faults)))


def _refuse_lost(state: StoredState, change: RecordChange, loss: Fork) -> Err[PutRefusal]:
    current = state.rows.get(change.key)
    found = state.revision_of(change.key)
    now = f"at revision {found}" if found else "not in force"
    detail = (
        f"revision {change.expected_revision} of {change.path} was lost: the table returned from "
        f"a copy that ends at revision {loss.kept}, where the record is {now}; nothing was written"
    )
    winner = None if current is None else _winner(change, current, ())
    return Err(PutRefusal(RefusalKind.CHANGED, detail, (), winner))


def _winner(change: RecordChange, row: LogRow, changes: tuple[FieldChange, ...]) -> Winner:
    entry = row.entry
    revision = 0 if row.withdrawn else entry.revision
    return Winner(change.path, revision, entry.author, entry.at, row.withdrawn, changes)
