"""Group commit: batching of independent conditional writes into shared transactions."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import ClassVar

import attrs
from result import Err, Ok, Result

from ._table import Check, Operation, TableError, TableErrorKind, TableService
from ._validation import Constraint, Interval, check_parameters


@attrs.define(eq=False)
class _Write:
    """Write that waits for its transaction, and the future that receives its outcome."""

    operation: Operation
    outcome: asyncio.Future

    def resolve(self, result: Result[int | None, TableError]) -> None:
        # A caller that was cancelled meanwhile has cancelled its future, but not the write.
        if not self.outcome.done():
            self.outcome.set_result(result)


class GroupCommitter:
    """Carries out independent writes in shared transactions.

    A write is sent at once if no transaction is in progress. Writes that arrive during one wait and
    are sent together, so that the delay grows only with the load.

    Parameters
    ----------
    table : TableService
    max_operations : int
        Maximum number of writes in one transaction.
    max_delay_s : float
        Minimum time between the starts of two transactions, seconds, unless enough writes wait to
        fill one. It limits the transactions per second of this process; 0 sets no limit.

    Attributes
    ----------
    writes : int
        Number of transactions sent.
    operations : int
        Number of writes requested.

    Notes
    -----
    Transactions are atomic, so one write whose condition does not hold would fail all others with
    it. The table reports the indices of the failed writes. These are answered with the conflict,
    and the rest is sent again in one transaction.

    Two writes of the same row never share a transaction. The table checks all conditions before it
    writes, so both would be accepted, and two claims of one key would both count as successful.

    Examples
    --------
    >>> import asyncio
    >>> from burdockquay_state import ABSENT, MemoryTable, Put
    >>> async def write_twice():
    ...     committer = GroupCommitter(MemoryTable())
    ...     puts = [Put("a", b"1", ABSENT), Put("a", b"2", ABSENT)]
    ...     return await asyncio.gather(*(committer.write(put) for put in puts))
    >>> [result.is_ok() for result in asyncio.run(write_twice())]
    [True, False]
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "max_operations": [Interval(int, 1, 1000)],
        "max_delay_s": [Interval(float, 0.0, 1.0)],
    }

    def __init__(self, table: TableService, max_operations: int = 64, max_delay_s: float = 0.0):
        self.table = table
        self.max_operations = max_operations
        self.max_delay_s = max_delay_s
        check_parameters(self)
        self._waiting: deque[_Write] = deque()
        self._full = asyncio.Event()
        self._runner: asyncio.Task | None = None
        self.writes = 0
        self.operations = 0

    async def write(self, operation: Operation) -> Result[int | None, TableError]:
        """Carry out one conditional write.

        Parameters
        ----------
        operation : Put or Delete

        Returns
        -------
        Result of int or None, TableError
            The new version of the row, None for a deletion. ``UNCERTAIN`` if the confirmation
            of the transaction was lost; the caller must then read its row back.

        Notes
        -----
        Cancelling a waiting caller does not revoke its write.
        """
        assert not isinstance(operation, Check), "a Check is not a write"
        write = _Write(operation, asyncio.get_running_loop().create_future())
        self.operations += 1
        self._waiting.append(write)
        if len(self._waiting) >= self.max_operations:
            self._full.set()
        if self._runner is None or self._runner.done():
            self._runner = asyncio.create_task(self._run())
        return await write.outcome

    async def _run(self) -> None:
        while self._waiting:
            group = self._pop_group()
            await asyncio.gather(self._commit(group), self._wait_interval())

    def _pop_group(self) -> list[_Write]:
        group: list[_Write] = []
        keys: set[str] = set()
        remaining: deque[_Write] = deque()
        while self._waiting:
            write = self._waiting.popleft()
            if len(group) == self.max_operations or write.operation.key in keys:
                remaining.append(write)
                continue
            keys.add(write.operation.key)
            group.append(write)
        self._waiting = remaining
        if len(remaining) < self.max_operations:
            self._full.clear()
        return group

    async def _wait_interval(self) -> None:
        if self.max_delay_s == 0.0:
            return
        try:
            await asyncio.wait_for(self._full.wait(), self.max_delay_s)
        except TimeoutError:
            return

    async def _commit(self, group: list[_Write]) -> None:
        while group:
            result = await self._transact(group)
            if result.is_ok():
                for write, version in zip(group, result.ok(), strict=True):
                    write.resolve(Ok(version))
                return
            group = self._drop_failed(group, result.err())

    async def _transact(self, group: list[_Write]) -> Result[list[int | None], TableError]:
        self.writes += 1
        try:
            return await self.table.transact([write.operation for write in group])
        except Exception as error:
            # Otherwise an adapter that raises would end the runner, and all callers of the group
            # would wait forever. Whether the table carried out the transaction is then unknown.
            return Err(TableError(TableErrorKind.UNCERTAIN, f"{type(error).__name__}: {error}"))

    def _drop_failed(self, group: list[_Write], error: TableError) -> list[_Write]:
        """Resolve the failed writes; return those that may be sent again."""
        if error.kind is not TableErrorKind.CONFLICT or not error.conflicts:
            failed = set(range(len(group)))
        else:
            failed = set(error.conflicts)
        own = attrs.evolve(error, conflicts=(0,)) if error.conflicts else error
        for position in failed:
            group[position].resolve(Err(own))
        return [write for position, write in enumerate(group) if position not in failed]
