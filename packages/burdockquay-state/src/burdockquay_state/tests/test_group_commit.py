"""Group commit: each write gets the outcome that it would have had alone."""

import asyncio

import hypothesis.strategies as st
from hypothesis import given
from result import Err

from burdockquay_state import (
    ABSENT,
    Delete,
    GroupCommitter,
    MemoryTable,
    Put,
    TableError,
    TableErrorKind,
)

WRITES = st.lists(st.tuples(st.sampled_from("abcd"), st.integers(0, 3), st.booleans()), max_size=30)


class SlowTable(MemoryTable):
    """Lets other tasks run before it carries a transaction out."""

    async def transact(self, operations):
        await asyncio.sleep(0)
        return await super().transact(operations)


async def commit_all(writes, most):
    table = SlowTable()
    await table.transact([Put(key, b"old") for key in "ab"])
    committer = GroupCommitter(table, max_operations=most)
    operations = [
        Delete(key, expected) if deletes else Put(key, str(number).encode(), expected)
        for number, (key, expected, deletes) in enumerate(writes)
    ]
    results = await asyncio.gather(*(committer.write(operation) for operation in operations))
    return table, committer, list(zip(operations, results, strict=True))


@given(WRITES, st.integers(1, 8))
def test_no_two_writes_win_on_one_version(writes, most):
    """Two callers send one key at the same moment and both claims fall into one transaction. If
    both were taken for won, the request would run twice.
    """
    table, committer, outcomes = asyncio.run(commit_all(writes, most))
    won = [operation for operation, result in outcomes if result.is_ok()]
    by_condition = [(o.key, o.expected_version) for o in won if o.expected_version != ABSENT]
    assert len(by_condition) == len(set(by_condition))
    rows = {row.key: row for row in asyncio.run(table.scan("")).ok()}
    for key, row in rows.items():
        writers = [o for o, result in outcomes if result.is_ok() and result.ok() == row.version]
        assert row.value == b"old" or [o.key for o in writers] == [key]
    lost = [result.err().kind for _, result in outcomes if result.is_err()]
    assert set(lost) <= {TableErrorKind.CONFLICT}


async def test_conflict_of_one_write_fails_no_other():
    """A repeat of one key shares a transaction with other requests. Without the split all of them
    would be refused because of it.
    """
    table = SlowTable()
    await table.transact([Put("taken", b"")])
    committer = GroupCommitter(table)
    keys = ["first", "x", "taken", "y", "z"]
    results = await asyncio.gather(*(committer.write(Put(key, b"", ABSENT)) for key in keys))
    assert [result.is_ok() for result in results] == [True, True, False, True, True]
    assert committer.writes == 2


async def test_cancelled_caller_neither_stops_nor_loses_the_others():
    """The caller of one request leaves while the group is under way. The other callers of the group
    would wait for ever if its task had carried the transaction.
    """
    table = SlowTable()
    committer = GroupCommitter(table)
    tasks = [asyncio.create_task(committer.write(Put(key, b"", ABSENT))) for key in "abc"]
    await asyncio.sleep(0)
    tasks[0].cancel()
    results = await asyncio.gather(*tasks[1:])
    assert all(result.is_ok() for result in results)
    assert len((await table.scan("")).ok()) == 3


async def test_failing_adapter_leaves_no_caller_waiting():
    """The adapter of the table raises instead of returning an error. Callers would hang."""

    class Raising(MemoryTable):
        async def transact(self, operations):
            raise RuntimeError("no such host")

    result = await GroupCommitter(Raising()).write(Put("a", b""))
    assert isinstance(result, Err)
    assert result.err() == TableError(TableErrorKind.UNCERTAIN, "RuntimeError: no such host")


async def test_pace_bounds_the_transactions_of_a_process():
    """Many slots claim at once and together exceed the writes that the table takes. With a pace,
    what comes within it shares a transaction, and a full group does not wait.
    """
    table = MemoryTable()
    committer = GroupCommitter(table, max_operations=8, max_delay_s=0.05)
    await committer.write(Put("first", b""))
    await asyncio.gather(*(committer.write(Put(str(number), b"")) for number in range(16)))
    assert committer.writes == 3
