"""Model of a store whose tables are read as a whole and then followed by a feed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import attrs


@attrs.frozen
class FeedRow:
    """A row as of one change.

    Parameters
    ----------
    table, key : str
    value : bytes or None
        None once the row is removed.
    revision : int
    """

    table: str
    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class FeedCopy:
    """A copy of a store, as of one revision.

    Parameters
    ----------
    changes : tuple of FeedRow
        All changes up to the revision, in their order.
    forgotten : int
        Revision up to which feeds cannot read the changes.
    """

    changes: tuple[FeedRow, ...]
    forgotten: int

    @property
    def revision(self) -> int:
        """Revision of the copy."""
        return self.changes[-1].revision if self.changes else 0


class ForgottenError(Exception):
    """The history does not hold the revision that was asked for."""


class EraEndedError(Exception):
    """The store came back from a copy while a question waited."""


class FeedStore:
    """Tables with one counter of changes, and the history that feeds read.

    A store that comes back from a copy begins a new era: what was written since the copy is gone,
    and its revisions are given to other changes.

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
    >>> store.return_from(store.copy(1))
    >>> store.era, [row.key for row in store.rows("fruit")]
    (2, ['apple'])
    """

    def __init__(self):
        self.era = 1
        self.revision = 0
        self._rows: dict[tuple[str, str], FeedRow] = {}
        self._changes: list[FeedRow] = []
        self._forgotten = 0
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
        """Return what changed in a table after a revision.

        Raises
        ------
        ForgottenError
        """
        if not self._forgotten <= after <= self.revision:
            raise ForgottenError
        return [row for row in self._changes if row.table == table and row.revision > after]

    def forget(self) -> None:
        """Drop the whole history."""
        self._forgotten = self.revision

    def copy(self, revision: int | None = None) -> FeedCopy:
        """Return a copy as of a revision of this era, the present one by default."""
        upto = self.revision if revision is None else revision
        changes = tuple(row for row in self._changes if row.revision <= upto)
        return FeedCopy(changes, min(self._forgotten, upto))

    def return_from(self, copy: FeedCopy) -> None:
        """Begin a new era with the rows and the history of a copy."""
        self.era += 1
        self.revision = copy.revision
        self._changes = list(copy.changes)
        self._rows = _replay(copy.changes)
        self._forgotten = copy.forgotten
        self._wake_waiters()

    async def wait(self, table: str, after: int, wait_s: float) -> list[FeedRow]:
        """Return what changed after a revision, as soon as there is something or the time is up.

        Raises
        ------
        ForgottenError
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
