"""The record log under races, lost confirmations, outages and stale reads of the table."""

import asyncio

import pytest

from burdockquay_state import (
    ClassRecord,
    ClassRecordV1,
    FaultyTable,
    GroupRecord,
    RecordChange,
    RecordLog,
    RefusalKind,
    RouteRecord,
    make_record_change,
)

GROUP = GroupRecord("desk", places=4)
HOLD = ClassRecord("hold", 100, 0.4, 0.05, 5.0, 0.5, True, False, 1)
ROUTE = RouteRecord("holds", "hold", "desk", idempotent=False)


@pytest.fixture
def table():
    return FaultyTable()


@pytest.fixture
def log(table):
    numbers = iter(range(1000))
    return RecordLog(table, new_change_id=lambda: f"change-{next(numbers)}")


async def test_change_of_several_records_is_one_transaction(log):
    changes = [make_record_change([item], 0) for item in (GROUP, HOLD, ROUTE)]
    assert (await log.commit(changes, "ada", 10.0)).ok().revision == 3
    part = (await log.read_all()).ok()
    assert part.head == 3
    assert [entry.name for entry in part.entries] == ["desk", "hold", "holds"]
    assert (await log.read_after(1)).ok().entries == part.entries[1:]


async def test_rejected_author_gets_the_competing_change(log):
    """Two operators read the same record and both write it. The second write would silently undo
    the first one; it is refused instead, and the refusal names the first change.
    """
    await log.put([GROUP], "ada", 0, 1.0)
    changed = GroupRecord("desk", places=6)
    both = await asyncio.gather(
        log.put([changed], "ada", 1, 2.0), log.put([GroupRecord("desk", subset=2)], "bo", 1, 2.5)
    )
    assert both[0].ok().revision == 2
    winner = both[1].err().winner
    assert (winner.record, winner.author, winner.at, winner.revision) == (
        "group/desk",
        "ada",
        2.0,
        2,
    )
    assert [str(change) for change in winner.changes] == ["places (schema 1): 4 -> 6"]


async def test_change_of_another_record_is_no_conflict(log):
    await log.put([GROUP], "ada", 0, 1.0)
    results = await asyncio.gather(
        log.put([GroupRecord("desk", places=6)], "ada", 1, 2.0), log.put([HOLD], "bo", 0, 2.0)
    )
    assert sorted(result.ok().revision for result in results) == [2, 3]


@pytest.mark.parametrize("takes_effect", [True, False])
async def test_lost_confirmation_is_resolved_by_reading_back(log, table, takes_effect):
    """The table answers a write too late. The change must not be reported as failed if it is in
    force, nor as accepted if it is not. The log row shows which, and it is written only once.
    """
    table.lost_confirmations = [takes_effect]
    accepted = (await log.put([GROUP], "ada", 0, 1.0)).ok()
    assert accepted.revision == 1
    assert accepted.confirmed_late is takes_effect
    assert (await log.head()).ok() == 1


async def test_outcome_that_cannot_be_read_back_is_reported_as_unknown(log, table):
    """The confirmation is lost, and the table becomes unavailable before the change can be read
    back. The refusal says that the outcome is unknown and has the id of the change in the log.
    """
    transact = table.transact

    async def transact_then_fail(operations):
        result = await transact(operations)
        table.down = True
        return result

    table.transact = transact_then_fail
    table.lost_confirmations = [True]
    refusal = (await log.put([GROUP], "ada", 0, 1.0)).err()
    assert refusal.kind is RefusalKind.UNKNOWN
    table.down = False
    assert (await log.get("group", "desk")).ok().change_id == refusal.change_id


async def test_outage_refuses_with_nothing_written(log, table):
    table.down = True
    assert (await log.put([GROUP], "ada", 0, 1.0)).err().kind is RefusalKind.UNAVAILABLE
    table.down = False
    assert (await log.head()).ok() == 0


async def test_inconsistent_pages_are_never_returned_as_a_configuration(log, table):
    """The table returns the current head but the records from before the last change. A process
    that used this as the configuration of the head revision would never receive the change.
    """
    await log.put([GROUP], "ada", 0, 1.0)
    await log.put([GroupRecord("desk", places=6)], "ada", 1, 2.0)
    table.stale_reads = [0, 1]
    part = (await log.read_all()).ok()
    assert [entry.revision for entry in part.entries] == [2]
    table.stale_reads = [0, 1] * 20
    assert (await log.read_all()).err() is not None


async def test_writer_with_stale_reads_neither_overwrites_nor_misreports(log, table):
    await log.put([GROUP], "ada", 0, 1.0)
    await log.put([GroupRecord("desk", places=6)], "bo", 1, 2.0)
    table.stale_reads = [1] * 6
    late = await log.put([GroupRecord("desk", places=2)], "ada", 1, 3.0)
    assert late.err().winner.author == "bo"
    table.stale_reads = [1] * 2
    assert (await log.put([GroupRecord("desk", places=2)], "ada", 2, 3.0)).ok().revision == 3


async def test_withdrawal_of_a_referenced_record_names_every_reference(log):
    await log.commit([make_record_change([item], 0) for item in (GROUP, HOLD, ROUTE)], "ada", 1.0)
    refusal = (await log.withdraw("class", "hold", "ada", 2, 2.0)).err()
    assert refusal.kind is RefusalKind.INVALID
    assert [fault.got for fault in refusal.faults] == ["route/holds with class_name"]
    together = [RecordChange("class", "hold", {}, 2), RecordChange("route", "holds", {}, 3)]
    assert (await log.commit(together, "ada", 3.0)).ok().revision == 5
    assert [row.entry.name for row in (await log.list()).ok()] == ["desk"]
    again = await log.put([HOLD], "ada", 0, 4.0)
    assert again.ok().revision == 6
    history = (await log.history("class", "hold")).ok()
    assert [(row.entry.revision, row.withdrawn) for row in history] == [
        (6, False),
        (4, True),
        (2, False),
    ]


async def test_dry_run_checks_and_writes_nothing(log):
    accepted = (await log.put([GROUP], "ada", 0, 1.0, dry_run=True)).ok()
    assert accepted.dry_run
    assert (await log.head()).ok() == 0
    assert (await log.put([ROUTE], "ada", 0, 1.0, dry_run=True)).err().faults


async def test_reader_older_than_the_kept_log_gets_the_complete_configuration(table):
    log = RecordLog(table, max_log_rows=3)
    for revision in range(6):
        record = GroupRecord("desk", places=revision + 1)
        assert (await log.put([record], "ada", revision, 1.0)).ok().revision == revision + 1
    await log.put([HOLD], "ada", 0, 1.0)
    part = (await log.read_after(1)).ok()
    assert part.whole
    assert [entry.revision for entry in part.entries] == [6, 7]
    assert not (await log.read_after(5)).ok().whole


async def test_all_schemas_of_a_record_are_put_together(log):
    old = ClassRecordV1("hold", 100, 0.4, 5.0, True, False)
    await log.put([old, HOLD], "ada", 0, 1.0)
    assert set((await log.get("class", "hold")).ok().entry.bodies) == {1, 2}
    other = ClassRecordV1("hold", 100, 0.4, 5.0, False, False)
    refusal = (await log.put([other, HOLD], "ada", 1, 2.0)).err()
    assert [fault.key for fault in refusal.faults] == ["protected"]


async def test_revision_the_record_never_had_is_refused(log):
    refusal = (await log.put([GROUP], "ada", 7, 1.0)).err()
    assert refusal.kind is RefusalKind.INVALID
    assert refusal.faults[0].key == "revision"


@pytest.mark.parametrize("author", ["", "ada\x1b[2J", "a" * 65])
async def test_invalid_author_is_refused(log, author):
    refusal = (await log.put([GROUP], author, 0, 1.0)).err()
    assert [fault.key for fault in refusal.faults] == ["author"]
    assert (await log.head()).ok() == 0
