"""Model of a store whose tables are read as a whole and then followed by a feed."""

from __future__ import annotations

import asyncio

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


class ForgottenError(Exception):
    """The history does not reach back to the revision that was asked for."""


class FeedStore:
    """Tables with one counter of changes, and the history that feeds read.

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
    """

    def __init__(self):
        self.revision = 0
        self._rows: dict[tuple[str, str], FeedRow] = {}
        self._history: list[FeedRow] = []
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
        if after < self._forgotten:
            raise ForgottenError
        return [row for row in self._history if row.table == table and row.revision > after]

    def forget(self) -> None:
        """Drop the whole history."""
        self._forgotten = self.revision
        self._history.clear()

    async def wait(self, table: str, after: int, wait_s: float) -> list[FeedRow]:
        """Return what changed after a revision, as soon as there is something or the time is up.

        Raises
        ------
        ForgottenError
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while not (found := self.changes(table, after)) and loop.time() < until:
            waiter = loop.create_future()
            self._waiters.add(waiter)
            await asyncio.wait([waiter], timeout=until - loop.time())
            self._waiters.discard(waiter)
        return found

    def _change(self, table: str, key: str, value: bytes | None) -> int:
        self.revision += 1
        row = FeedRow(table, key, value, self.revision)
        self._history.append(row)
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = row
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        return self.revision
