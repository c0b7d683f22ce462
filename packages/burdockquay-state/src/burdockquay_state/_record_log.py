"""Reads and changes of the record log in the table service."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from typing import Any

from result import Err, Ok, Result

from ._log_entry import LogPart
from ._record_change import Accepted, PutRefusal, RecordChange, RefusalKind, make_record_change
from ._record_checks import find_put_faults
from ._record_rows import (
    HEAD_KEY,
    LOG_PREFIX,
    RECORD_PREFIX,
    HeadRow,
    LogRow,
    decode_head,
    decode_log_row,
    fingerprint,
    log_key,
    record_key,
)
from ._record_state import StoredState, scan_rows
from ._record_writer import RecordWriter
from ._table import TableError, TableErrorKind, TableService

MAX_LOG_ROWS = 100_000
"""Number of log rows kept: four days at 25,000 changes per day."""

READ_ATTEMPTS = 5
"""Attempts to read the complete configuration while reads are inconsistent."""


def _new_change_id() -> str:
    return secrets.token_hex(8)


class RecordLog:
    """Log of all accepted changes of the configuration.

    Parameters
    ----------
    table : TableService
    max_log_rows : int
        Number of log rows kept; each change deletes older rows.
    new_change_id : callable
        Returns a string that no other change has as its identifier.

    Notes
    -----
    A change is one transaction on the record row, a new log row and the head row, conditional on
    the versions that were read. Two operators who change the same record concurrently therefore
    cannot both succeed, and every revision is one change.
    """

    def __init__(
        self,
        table: TableService,
        max_log_rows: int = MAX_LOG_ROWS,
        new_change_id: Callable[[], str] = _new_change_id,
    ):
        self.table = table
        self.max_log_rows = max_log_rows
        self.new_change_id = new_change_id

    async def head(self) -> Result[int, TableError]:
        """Return the revision of the last change, 0 if there is none; needs one read."""
        head = await self._read_head()
        return head.map(lambda row: row.revision)

    async def read_all(self) -> Result[LogPart, TableError]:
        """Return the complete configuration in force, from the record rows.

        Returns
        -------
        Result of LogPart, TableError
            The entries in order of revision, from one consistent state of the table.
        """
        state = await self.read_state()
        if isinstance(state, Err):
            return state
        head = state.ok_value.head
        entries = [row.entry for row in state.ok_value.records_in_force()]
        if head.forks:
            entries += state.ok_value.withdrawn_after(head.forks[0].kept)
        entries.sort(key=lambda entry: entry.revision)
        return Ok(LogPart(0, entries, True, head.revision, list(head.forks)))

    async def read_after(self, revision: int, limit: int = 1000) -> Result[LogPart, TableError]:
        """Return the changes after ``revision``, or the configuration if the log has a gap there.

        Parameters
        ----------
        revision : int
        limit : int
            Maximum number of changes to return.
        """
        scanned = await scan_rows(self.table, LOG_PREFIX, log_key(revision), limit)
        if isinstance(scanned, Err):
            return scanned
        entries = [row.entry for _, row in scanned.ok_value]
        if entries and entries[-1].revision != revision + len(entries):
            return await self.read_all()
        head = await self.head()
        if isinstance(head, Err):
            return head
        last = entries[-1].revision if entries else revision
        return Ok(LogPart(revision, entries, False, max(head.ok_value, last)))

    async def get(self, kind: str, name: str) -> Result[LogRow | None, TableError]:
        """Return the last change of a record, which may be a withdrawal; None if there is none."""
        found = await self.table.get([record_key(kind, name)])
        if isinstance(found, Err):
            return found
        (row,) = found.ok_value
        return Ok(None) if row is None else decode_log_row(row)

    async def list(self, kind: str = "") -> Result[Sequence[LogRow], TableError]:
        """Return the records in force, of one kind or of all kinds, ordered by kind and name."""
        scanned = await scan_rows(self.table, RECORD_PREFIX + (f"{kind}/" if kind else ""))
        return scanned.map(lambda rows: [row for _, row in rows if not row.withdrawn])

    async def history(
        self, kind: str, name: str, limit: int = 100
    ) -> Result[Sequence[LogRow], TableError]:
        """Return the changes of a record, latest first, as far back as the log is kept."""
        current = await self.get(kind, name)
        rows: list[LogRow] = []
        while isinstance(current, Ok) and current.ok_value is not None and len(rows) < limit:
            rows.append(current.ok_value)
            current = await self.read_row(current.ok_value.previous_revision)
        return current if isinstance(current, Err) else Ok(rows)

    async def read_row(self, revision: int) -> Result[LogRow | None, TableError]:
        """Return the change with the given revision, None if the log does not contain it."""
        if not revision:
            return Ok(None)
        found = await self.table.get([log_key(revision)])
        if isinstance(found, Err):
            return found
        (row,) = found.ok_value
        return Ok(None) if row is None else decode_log_row(row)

    async def read_state(self) -> Result[StoredState, TableError]:
        """Return the head and record rows of one revision."""
        for _ in range(READ_ATTEMPTS):
            found = await self.table.get([HEAD_KEY])
            if isinstance(found, Err):
                return found
            head = decode_head(found.ok_value[0])
            rows = await scan_rows(self.table, RECORD_PREFIX)
            if isinstance(head, Err) or isinstance(rows, Err):
                return head if isinstance(head, Err) else rows
            if fingerprint(row for _, row in rows.ok_value) == head.ok_value.fingerprint:
                head_row = found.ok_value[0]
                version = head_row.version if head_row else self.table.absent
                return Ok(StoredState.from_rows(head.ok_value, version, rows.ok_value))
        detail = f"reads of the record rows disagreed with the head {READ_ATTEMPTS} times"
        return Err(TableError(TableErrorKind.UNAVAILABLE, detail))

    async def put(
        self,
        records: Sequence[Any],
        author: str,
        expected_revision: int,
        now: float,
        dry_run: bool = False,
    ) -> Result[Accepted, PutRefusal]:
        """Write a record, given once in each schema version that is to be stored.

        Parameters
        ----------
        records : sequence of record
            All of one kind and name; stored bodies in schema versions not given are removed.
        author : str
        expected_revision : int
            Revision of the record that the author read; 0 if the record did not exist.
        now : float
            Seconds since the epoch.
        dry_run : bool
            Run all checks without writing.
        """
        faults = find_put_faults(records)
        if faults:
            return _invalid(faults)
        return await self.commit(
            [make_record_change(records, expected_revision)], author, now, dry_run
        )

    async def withdraw(
        self,
        kind: str,
        name: str,
        author: str,
        expected_revision: int,
        now: float,
        dry_run: bool = False,
    ) -> Result[Accepted, PutRefusal]:
        """Withdraw a record; refused while other records refer to it."""
        change = RecordChange(kind, name, {}, expected_revision)
        return await self.commit([change], author, now, dry_run)

    async def commit(
        self, changes: Sequence[RecordChange], author: str, now: float, dry_run: bool = False
    ) -> Result[Accepted, PutRefusal]:
        """Commit several changes atomically."""
        writer = RecordWriter(self, changes, author, self.new_change_id())
        return await writer.run(now, dry_run)

    async def _read_head(self) -> Result[HeadRow, TableError]:
        found = await self.table.get([HEAD_KEY])
        return found if isinstance(found, Err) else decode_head(found.ok_value[0])


def _invalid(faults: list) -> Err[PutRefusal]:
    return Err(PutRefusal(RefusalKind.INVALID, f"{len(faults)} fault(s)", tuple(faults)))
