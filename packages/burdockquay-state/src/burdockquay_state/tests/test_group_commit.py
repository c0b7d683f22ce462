"""Group commit: each write has the outcome that it would have on its own."""

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
    """Table that lets other tasks run before it carries out a transaction."""

    async def transact(self, operations):
        await asyncio.sleep(0)
        return await super().transact(operations)


async def commit_all(writes, operations_limit):
    table = SlowTable()
    await table.transact([Put(key, b"old") for key in "ab"])
    committer = GroupCommitter(table, max_operations=operations_limit)
    operations = [
        Delete(key, expected) if deletes else Put(key, str(number).encode(), expected)
        for number, (key, expected, deletes) in enumerate(writes)
    ]
    results = await asyncio.gather(*(committer.write(operation) for operation in operations))
    return table, committer, list(zip(operations, results, strict=True))


@given(WRITES, st.integers(1, 8))
def test_no_two_writes_succeed_on_one_version(writes, operations_limit):
    """Two callers send the same key concurrently, and both claims are in one transaction. If both
    counted as successful, the request would run twice.
    """
    table, committer, outcomes = asyncio.run(commit_all(writes, operations_limit))
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
    """A retry with a used key shares a transaction with other requests. If its failed write were
    not split off, all of them would be refused.
    """
    table = SlowTable()
    await table.transact([Put("taken", b"")])
    committer = GroupCommitter(table)
    keys = ["first", "x", "taken", "y", "z"]
    results = await asyncio.gather(*(committer.write(Put(key, b"", ABSENT)) for key in keys))
    assert [result.is_ok() for result in results] == [True, True, False, True, True]
    assert committer.writes == 2


async def test_cancelled_caller_does_not_affect_the_others():
    """One caller is cancelled while the transaction of its group is in progress. If its task ran
    the transaction, the other callers of the group would wait forever.
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
    """The table adapter raises instead of returning an error, which must not block the callers."""

    class RaisingTable(MemoryTable):
        async def transact(self, operations):
            raise RuntimeError("no such host")

    result = await GroupCommitter(RaisingTable()).write(Put("a", b""))
    assert isinstance(result, Err)
    assert result.err() == TableError(TableErrorKind.UNCERTAIN, "RuntimeError: no such host")


async def test_max_delay_limits_the_transactions_of_a_process():
    """Many slots claim at once and exceed the write rate of the table. With a minimum interval, the
    writes that arrive within it share a transaction, and a full group does not wait.
    """
    table = MemoryTable()
    committer = GroupCommitter(table, max_operations=8, max_delay_s=0.05)
    await committer.write(Put("first", b""))
    await asyncio.gather(*(committer.write(Put(str(number), b"")) for number in range(16)))
    assert committer.writes == 3
