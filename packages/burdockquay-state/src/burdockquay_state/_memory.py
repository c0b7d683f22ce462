"""Table service and object store in the memory of one process, for tests and stand-ins."""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Sequence

from result import Err, Ok, Result

from ._table import (
    ABSENT,
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


@table_services.register("memory")
class MemoryTable(TableService):
    """Table service that lives as long as the object.

    Versions grow over the whole table, so that a row that was deleted and written again never
    shows an old version.

    Examples
    --------
    >>> import asyncio
    >>> table = MemoryTable()
    >>> asyncio.run(table.transact([Put("a", b"1", expected_version=ABSENT)]))
    Ok([1])
    >>> asyncio.run(table.transact([Put("a", b"2", expected_version=ABSENT)])).err().conflicts
    (0,)
    """

    def __init__(self):
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._version = 0
        self.reads = 0
        self.writes = 0

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
        return (row.version if row else ABSENT) == operation.expected_version

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
        self._version += 1
        self._rows[operation.key] = Row(operation.key, operation.value, self._version)
        if not known:
            insort(self._keys, operation.key)
        return self._version


@object_stores.register("memory")
class MemoryObjectStore(ObjectStore):
    """Object store that lives as long as the object."""

    def __init__(self):
        self._objects: dict[str, bytes] = {}

    async def put(self, digest: str, content: bytes) -> Result[None, TableError]:
        """Store the content under its digest."""
        self._objects[digest] = content
        return Ok(None)

    async def get(self, digest: str) -> Result[bytes | None, TableError]:
        """Return the content, None if there is none."""
        return Ok(self._objects.get(digest))
