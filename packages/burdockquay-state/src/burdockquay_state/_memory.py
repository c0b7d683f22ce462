"""In-memory table service and object store, for tests and stand-ins."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Sequence

import attrs
from result import Err, Ok, Result

from ._table import (
    Check,
    Delete,
    ObjectStore,
    Operation,
    Put,
    Row,
    TableError,
    TableErrorKind,
    TableService,
    object_stores,
    table_services,
)
from ._versions import make_version, number_of


@attrs.frozen
class TableCopy:
    """Copy of an in-memory table, from which it can be restored.

    Parameters
    ----------
    rows : dict of str to Row
    number : int
        Write number of the last write.
    """

    rows: dict[str, Row]
    number: int


@table_services.register("memory")
class MemoryTable(TableService):
    """Table service whose data lives as long as the object.

    Write numbers are shared by all rows of the table, so that a row that was deleted and written
    again never has an earlier version.

    Parameters
    ----------
    era : int
        Initial era; 0 if the table reports none.

    Examples
    --------
    >>> import asyncio
    >>> from burdockquay_state import ABSENT
    >>> table = MemoryTable()
    >>> asyncio.run(table.transact([Put("a", b"1", expected_version=ABSENT)]))
    Ok([1])
    >>> asyncio.run(table.transact([Put("a", b"2", expected_version=ABSENT)])).err().conflicts
    (0,)
    """

    def __init__(self, era: int = 0):
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._number = 0
        self._era = era
        self.reads = 0
        self.writes = 0

    @property
    def era(self) -> int:
        """Current era."""
        return self._era

    def copy(self) -> TableCopy:
        """Return a copy of the current state for :meth:`restore_copy`."""
        return TableCopy(dict(self._rows), self._number)

    def restore_copy(self, copy: TableCopy) -> None:
        """Restore a copy: drop all later writes and begin the next era."""
        self._era += 1
        self._number = copy.number
        self._rows = {
            key: attrs.evolve(row, version=make_version(self._era, number_of(row.version)))
            for key, row in copy.rows.items()
        }
        self._keys = sorted(self._rows)

    async def get(self, keys: Sequence[str]) -> Result[list[Row | None], TableError]:
        """Return the row under each key, None where there is none."""
        self.reads += 1
        return Ok([self._rows.get(key) for key in keys])

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], TableError]:
        """Return rows in the order of their keys."""
        self.reads += 1
        start = bisect_right(self._keys, after) if after >= prefix else 0
        if after < prefix:
            start = bisect_right(self._keys, prefix)
            if prefix in self._rows:
                start -= 1
        rows = []
        for key in self._keys[start:]:
            if not key.startswith(prefix) or len(rows) == limit:
                break
            rows.append(self._rows[key])
        return Ok(rows)

    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[list[int | None], TableError]:
        """Carry out all operations or none."""
        self.writes += 1
        conflicts = tuple(
            index for index, operation in enumerate(operations) if not self._holds(operation)
        )
        if conflicts:
            return Err(TableError(TableErrorKind.CONFLICT, "condition not met", conflicts))
        return Ok([self._apply(operation) for operation in operations])

    def _holds(self, operation: Operation) -> bool:
        if operation.expected_version is None:
            return True
        row = self._rows.get(operation.key)
        return (row.version if row else self.absent) == operation.expected_version

    def _apply(self, operation: Operation) -> int | None:
        if isinstance(operation, Check):
            return None
        known = operation.key in self._rows
        if isinstance(operation, Delete):
            if known:
                del self._rows[operation.key]
                self._keys.remove(operation.key)
            return None
        assert isinstance(operation, Put)
        self._number += 1
        version = make_version(self._era, self._number)
        self._rows[operation.key] = Row(operation.key, operation.value, version)
        if not known:
            insort(self._keys, operation.key)
        return version


@object_stores.register("memory")
class MemoryObjectStore(ObjectStore):
    """Object store whose data lives as long as the object."""

    def __init__(self):
        self._objects: dict[str, bytes] = {}

    async def put(self, digest: str, content: bytes) -> Result[None, TableError]:
        """Store the content under its digest."""
        self._objects[digest] = content
        return Ok(None)

    async def get(self, digest: str) -> Result[bytes | None, TableError]:
        """Return the content, None if there is none."""
        return Ok(self._objects.get(digest))
