"""Model of a store whose tables are read in full once and then followed through a change feed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import attrs


@attrs.frozen
class FeedRow:
    """A row as written by one change.

    Parameters
    ----------
    table, key : str
    value : bytes or None
        None if the change removed the row.
    revision : int
        Revision of the change.
    """

    table: str
    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class FeedCopy:
    """Copy of a store at one revision.

    Parameters
    ----------
    changes : tuple of FeedRow
        All changes up to the revision, in order.
    discarded_upto : int
        Revision up to which the history is discarded, so that feeds cannot read it.
    """

    changes: tuple[FeedRow, ...]
    discarded_upto: int

    @property
    def revision(self) -> int:
        """Revision of the copy."""
        return self.changes[-1].revision if self.changes else 0


class HistoryDiscardedError(Exception):
    """The requested revision is not in the history of the store."""


class EraEndedError(Exception):
    """The store was restored from a copy while a query was waiting."""


class FeedStore:
    """Tables with a common revision counter, and the history of changes that feeds read.

    Restoring the store from a copy begins a new era: everything written since the copy is lost, and
    its revisions are assigned again to other changes.

    Examples
    --------
    >>> store = FeedStore()
    >>> store.put("fruit", "apple", b"red")
    1
    >>> [row.key for row in store.rows("fruit")]
    ['apple']
    >>> store.remove("fruit", "apple")
    2
    >>> [row.value for row in store.changes("fruit", 1)]
    [None]
    >>> store.restore_copy(store.copy(1))
    >>> store.era, [row.key for row in store.rows("fruit")]
    (2, ['apple'])
    """

    def __init__(self):
        self.era = 1
        self.revision = 0
        self._rows: dict[tuple[str, str], FeedRow] = {}
        self._changes: list[FeedRow] = []
        self._discarded_upto = 0
        self._waiters: set[asyncio.Future] = set()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row and return the revision."""
        return self._change(table, key, value)

    def remove(self, table: str, key: str) -> int:
        """Remove a row and return the revision."""
        return self._change(table, key, None)

    def rows(self, table: str) -> list[FeedRow]:
        """Return the rows of a table in the order of their keys."""
        found = [row for row in self._rows.values() if row.table == table]
        return sorted(found, key=lambda row: row.key)

    def changes(self, table: str, after: int) -> list[FeedRow]:
        """Return the changes of a table after a revision.

        Raises
        ------
        HistoryDiscardedError
        """
        if not self._discarded_upto <= after <= self.revision:
            raise HistoryDiscardedError
        return [row for row in self._changes if row.table == table and row.revision > after]

    def discard_history(self) -> None:
        """Discard the complete history of changes; the rows stay."""
        self._discarded_upto = self.revision

    def copy(self, revision: int | None = None) -> FeedCopy:
        """Return a copy at a revision of this era; defaults to the current revision."""
        upto = self.revision if revision is None else revision
        changes = tuple(row for row in self._changes if row.revision <= upto)
        return FeedCopy(changes, min(self._discarded_upto, upto))

    def restore_copy(self, copy: FeedCopy) -> None:
        """Begin a new era with the rows and the history of a copy."""
        self.era += 1
        self.revision = copy.revision
        self._changes = list(copy.changes)
        self._rows = _replay(copy.changes)
        self._discarded_upto = copy.discarded_upto
        self._wake_waiters()

    async def wait(self, table: str, after: int, wait_s: float) -> list[FeedRow]:
        """Return the changes after a revision as soon as there are any, or none after a timeout.

        Raises
        ------
        HistoryDiscardedError
        EraEndedError
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        era = self.era
        while not (found := self.changes(table, after)) and loop.time() < until:
            waiter = loop.create_future()
            self._waiters.add(waiter)
            await asyncio.wait([waiter], timeout=until - loop.time())
            self._waiters.discard(waiter)
            if self.era != era:
                raise EraEndedError
        return found

    def _change(self, table: str, key: str, value: bytes | None) -> int:
        self.revision += 1
        row = FeedRow(table, key, value, self.revision)
        self._changes.append(row)
        _apply(row, self._rows)
        self._wake_waiters()
        return self.revision

    def _wake_waiters(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)


def _replay(changes: Iterable[FeedRow]) -> dict[tuple[str, str], FeedRow]:
    rows: dict[tuple[str, str], FeedRow] = {}
    for row in changes:
        _apply(row, rows)
    return rows


def _apply(row: FeedRow, rows: dict[tuple[str, str], FeedRow]) -> None:
    if row.value is None:
        rows.pop((row.table, row.key), None)
    else:
        rows[row.table, row.key] = row
