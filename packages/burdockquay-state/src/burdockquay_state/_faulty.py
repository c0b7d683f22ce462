"""In-memory table with injectable faults, for tests."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from result import Err, Ok, Result

from ._memory import MemoryTable, TableCopy
from ._table import Operation, Row, TableError, TableErrorKind

_STATES_KEPT = 32


class FaultyTable(MemoryTable):
    """In-memory table that can be unavailable, lose confirmations and answer reads from old states.

    Attributes
    ----------
    down : bool
        While True, every call fails as unavailable.
    lost_confirmations : list of bool
        One item is consumed from the front per transaction: the call fails as uncertain, after it
        took effect (True) or without effect (False).
    stale_reads : list of int
        One item is consumed from the front per read: the age of the state that is read, as a number
        of changes.

    Examples
    --------
    >>> import asyncio
    >>> from burdockquay_state import Put
    >>> table = FaultyTable()
    >>> table.lost_confirmations.append(True)
    >>> asyncio.run(table.transact([Put("a", b"1")])).err().kind
    <TableErrorKind.UNCERTAIN: 'uncertain'>
    >>> asyncio.run(table.get(["a"])).ok()[0].value
    b'1'
    """

    def __init__(self, era: int = 0):
        super().__init__(era)
        self.down = False
        self.lost_confirmations: list[bool] = []
        self.stale_reads: list[int] = []
        self._states: deque[dict[str, Row]] = deque(maxlen=_STATES_KEPT)

    def restore_copy(self, copy: TableCopy) -> None:
        """Restore the copy; later reads no longer show states from before the restore."""
        super().restore_copy(copy)
        self._states.clear()

    async def get(self, keys: Sequence[str]) -> Result[list[Row | None], TableError]:
        """Return rows of the current state, or of an older one if a stale read is injected."""
        if self.down:
            return _unavailable()
        return await self._view().get(keys)

    async def scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[list[Row], TableError]:
        """Return rows of the current state, or of an older one if a stale read is injected."""
        if self.down:
            return _unavailable()
        return await self._view().scan(prefix, after, limit)

    async def transact(
        self, operations: Sequence[Operation]
    ) -> Result[list[int | None], TableError]:
        """Carry out all operations or none; always on the current state."""
        if self.down:
            return _unavailable()
        takes_effect = self.lost_confirmations.pop(0) if self.lost_confirmations else None
        if takes_effect is False:
            return Err(TableError(TableErrorKind.UNCERTAIN, "confirmation lost"))
        before = dict(self._rows)
        done = await super().transact(operations)
        if isinstance(done, Ok):
            self._states.append(before)
        if takes_effect:
            return Err(TableError(TableErrorKind.UNCERTAIN, "confirmation lost"))
        return done

    def _view(self) -> MemoryTable:
        self.reads += 1
        age = self.stale_reads.pop(0) if self.stale_reads else 0
        view = MemoryTable(self.era)
        view._rows = (
            self._states[-min(age, len(self._states))] if self._states and age else self._rows
        )
        view._keys = sorted(view._rows)
        return view


def _unavailable() -> Err[TableError]:
    return Err(TableError(TableErrorKind.UNAVAILABLE, "table service is down"))
