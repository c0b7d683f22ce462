"""Head and record rows of the log at one revision, with the versions that writes depend on."""

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

_PAGE = 1000


async def scan_rows(
    table: TableService, prefix: str, after: str = "", limit: int | None = None
) -> Result[list[tuple[Row, LogRow]], TableError]:
    """Return the rows under a prefix with the change in each, page by page."""
    rows: list[tuple[Row, LogRow]] = []
    while limit is None or len(rows) < limit:
        size = _PAGE if limit is None else min(_PAGE, limit - len(rows))
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
    """What the table holds at one revision.

    Parameters
    ----------
    head : HeadRow
    head_version : int
        Version of the head row, in the era of the reading.
    rows : dict of (str, str) to LogRow
        The last change of each record by kind and name, withdrawals included.
    versions : dict of (str, str) to int
        Version of each record row.
    """

    head: HeadRow
    head_version: int
    rows: dict[tuple[str, str], LogRow]
    versions: dict[tuple[str, str], int]

    @classmethod
    def of(
        cls, head: HeadRow, head_version: int, rows: Sequence[tuple[Row, LogRow]]
    ) -> StoredState:
        """Return the state made of the rows that were read."""
        return cls(
            head,
            head_version,
            {change.key: change for _, change in rows},
            {change.key: row.version for row, change in rows},
        )

    @property
    def absent(self) -> int:
        """The version of a missing row in the era of the reading."""
        return make_version(self.era, 0)

    @property
    def era(self) -> int:
        """The era of the reading."""
        return era_of(self.head_version)

    @property
    def last_revision(self) -> int:
        """The revision behind which the next change is numbered; above any that was lost."""
        return max(self.head.revision, lowest_revision(self.era))

    @property
    def next_forks(self) -> tuple[Fork, ...]:
        """The forks of the log once another change is accepted."""
        if self.last_revision == self.head.revision:
            return self.head.forks
        return (*self.head.forks, Fork(self.head.revision, self.last_revision + 1))

    def find_loss(self, revision: int) -> Fork | None:
        """Return the fork behind which a revision was lost, None if it was not.

        Notes
        -----
        Before the first change after a return the log shows no fork yet, and a revision above its
        head is a lost one unless the reading is old.
        """
        return find_fork(self.next_forks, revision)

    def in_force(self) -> list[LogRow]:
        """Return the changes of the records that are not withdrawn."""
        return [row for row in self.rows.values() if not row.withdrawn]

    def withdrawn_after(self, revision: int) -> list[LogEntry]:
        """Return the withdrawals behind a revision."""
        return [
            row.entry
            for row in self.rows.values()
            if row.withdrawn and row.entry.revision > revision
        ]

    def revision_of(self, key: tuple[str, str]) -> int:
        """Return the revision of a record, 0 if there is none or it is withdrawn."""
        row = self.rows.get(key)
        return 0 if row is None or row.withdrawn else row.entry.revision

    def checked(self, known: Collection[tuple[str, int]] | None = None) -> CheckedState:
        """Return the records for the checks across them."""
        return checked_state((row.entry for row in self.in_force()), self.head.revision, known)


def checked_state(
    entries: Iterable[LogEntry], revision: int, known: Collection[tuple[str, int]] | None = None
) -> CheckedState:
    """Return what the checks see of the last change of each record."""
    entries = list(entries)
    snapshot, faults = build_snapshot(entries, revision, known)
    unreadable = {fault.record for fault in faults}
    opaque = frozenset(
        (entry.kind, entry.name) for entry in entries if f"{entry.kind}/{entry.name}" in unreadable
    )
    return CheckedState(snapshot, opaque)
