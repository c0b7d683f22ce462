"""Head and record rows at one revision, with the row versions on which writes are conditional."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence

import attrs
from result import Err, Ok, Result

from ._log_entry import Fork, LogEntry, find_fork, lowest_revision
from ._record_checks import CheckedState
from ._record_rows import HeadRow, LogRow, decode_log_row
from ._snapshot import build_snapshot
from ._table import Row, TableError, TableService
from ._versions import era_of, make_version

_PAGE_ROWS = 1000


async def scan_rows(
    table: TableService, prefix: str, after: str = "", limit: int | None = None
) -> Result[list[tuple[Row, LogRow]], TableError]:
    """Read the rows under a prefix page by page; return each with its decoded change."""
    rows: list[tuple[Row, LogRow]] = []
    while limit is None or len(rows) < limit:
        size = _PAGE_ROWS if limit is None else min(_PAGE_ROWS, limit - len(rows))
        page = await table.scan(prefix, after, size)
        if isinstance(page, Err):
            return page
        for row in page.ok_value:
            decoded = decode_log_row(row)
            if isinstance(decoded, Err):
                return decoded
            rows.append((row, decoded.ok_value))
        if len(page.ok_value) < size:
            break
        after = page.ok_value[-1].key
    return Ok(rows)


@attrs.frozen
class StoredState:
    """Contents of the table at one revision.

    Parameters
    ----------
    head : HeadRow
    head_version : int
        Version of the head row, in the era in which it was read.
    rows : dict of (str, str) to LogRow
        The last change of each record by kind and name, including withdrawals.
    versions : dict of (str, str) to int
        Version of each record row.
    """

    head: HeadRow
    head_version: int
    rows: dict[tuple[str, str], LogRow]
    versions: dict[tuple[str, str], int]

    @classmethod
    def from_rows(
        cls, head: HeadRow, head_version: int, rows: Sequence[tuple[Row, LogRow]]
    ) -> StoredState:
        """Build the state from the rows that were read."""
        return cls(
            head,
            head_version,
            {change.key: change for _, change in rows},
            {change.key: row.version for row, change in rows},
        )

    @property
    def absent(self) -> int:
        """Version of a missing row in the era in which the state was read."""
        return make_version(self.era, 0)

    @property
    def era(self) -> int:
        """Era in which the state was read."""
        return era_of(self.head_version)

    @property
    def last_revision(self) -> int:
        """Revision after which the next change is numbered; greater than any lost revision."""
        return max(self.head.revision, lowest_revision(self.era))

    @property
    def next_forks(self) -> tuple[Fork, ...]:
        """Forks of the log after the next change is accepted."""
        if self.last_revision == self.head.revision:
            return self.head.forks
        return (*self.head.forks, Fork(self.head.revision, self.last_revision + 1))

    def find_losing_fork(self, revision: int) -> Fork | None:
        """Return the fork at which a revision was lost, None if it was not lost.

        Notes
        -----
        Before the first change after a restore, the log has no fork yet. A revision above its head
        is then a lost one, unless the read is stale.
        """
        return find_fork(self.next_forks, revision)

    def records_in_force(self) -> list[LogRow]:
        """Return the last changes of the records that are not withdrawn."""
        return [row for row in self.rows.values() if not row.withdrawn]

    def withdrawn_after(self, revision: int) -> list[LogEntry]:
        """Return the withdrawals after a revision."""
        return [
            row.entry
            for row in self.rows.values()
            if row.withdrawn and row.entry.revision > revision
        ]

    def revision_of(self, key: tuple[str, str]) -> int:
        """Return the revision of a record, 0 if there is none or it is withdrawn."""
        row = self.rows.get(key)
        return 0 if row is None or row.withdrawn else row.entry.revision

    def to_checked_state(self, known: Collection[tuple[str, int]] | None = None) -> CheckedState:
        """Return the records in force, for the consistency checks."""
        return make_checked_state(
            (row.entry for row in self.records_in_force()), self.head.revision, known
        )


def make_checked_state(
    entries: Iterable[LogEntry], revision: int, known: Collection[tuple[str, int]] | None = None
) -> CheckedState:
    """Return the last change of each record in the form that the checks take."""
    entries = list(entries)
    snapshot, faults = build_snapshot(entries, revision, known)
    unreadable = {fault.record for fault in faults}
    opaque = frozenset(
        (entry.kind, entry.name) for entry in entries if f"{entry.kind}/{entry.name}" in unreadable
    )
    return CheckedState(snapshot, opaque)
