"""Records after the table is restored from a copy, for operators and processes."""

import pytest

from burdockquay_coordination import ConfigurationHolder, ConfigurationReader
from burdockquay_state import GroupRecord, MemoryTable, RecordLog, RefusalKind


class Operators:
    """A table that can be restored from copies, its log, and the accepted revisions."""

    def __init__(self):
        self.table = MemoryTable(era=1)
        self.log = RecordLog(self.table)
        self.revisions = {}

    async def put(self, name, places):
        accepted = await self.log.put(
            [GroupRecord(name, places=places)], "anna", self.revisions.get(name, 0), 1.0
        )
        self.revisions[name] = accepted.ok().revision
        return accepted.ok().revision

    async def withdraw(self, name):
        revision = self.revisions.pop(name)
        return (await self.log.withdraw("group", name, "anna", revision, 1.0)).ok().revision

    async def read(self, holder):
        return (await ConfigurationReader(self.log, holder).read(1.0)).ok()


@pytest.fixture
def operators():
    return Operators()


def places(holder):
    return {name: group.places for name, group in holder.snapshot.groups.items()}


async def test_lost_change_stays_in_force_when_the_log_continues(operators):
    """The table loses a change, and an operator changes another record."""
    holder = ConfigurationHolder()
    await operators.put("desk", 1)
    copy = operators.table.copy()
    await operators.put("desk", 2)
    await operators.read(holder)
    operators.table.restore_copy(copy)
    await operators.read(holder)
    assert places(holder) == {"desk": 2}
    await operators.put("hall", 5)
    outcome = await operators.read(holder)
    assert places(holder) == {"desk": 2, "hall": 5}
    assert outcome.kept == ("group/desk",)


async def test_withdrawn_record_that_the_copy_contains_is_not_in_force(operators):
    """The table loses a withdrawal; the copy still contains the record."""
    holder = ConfigurationHolder()
    revision = await operators.put("desk", 1)
    copy = operators.table.copy()
    await operators.withdraw("desk")
    await operators.read(holder)
    operators.table.restore_copy(copy)
    await operators.put("hall", 5)
    await operators.read(holder)
    assert places(holder) == {"hall": 5}
    operators.revisions["desk"] = revision
    await operators.put("desk", 3)
    await operators.read(holder)
    assert places(holder) == {"hall": 5, "desk": 3}


async def test_process_without_lost_changes_applies_the_log_unchanged(operators):
    """A process was behind the copy, so it has no lost change in force."""
    holder = ConfigurationHolder()
    await operators.put("desk", 1)
    await operators.read(holder)
    await operators.put("hall", 1)
    await operators.withdraw("desk")
    copy = operators.table.copy()
    await operators.put("hall", 2)
    operators.table.restore_copy(copy)
    operators.revisions = {"hall": 2}
    await operators.put("nave", 4)
    outcome = await operators.read(holder)
    assert places(holder) == {"hall": 1, "nave": 4}
    assert outcome.kept == ()


@pytest.mark.parametrize("from_peer", [False, True])
async def test_lost_record_that_is_withdrawn_again_is_removed_everywhere(operators, from_peer):
    """A lost record is put again and then withdrawn while a process still has it in force."""
    late, early = ConfigurationHolder(), ConfigurationHolder()
    await operators.put("hall", 1)
    copy = operators.table.copy()
    await operators.put("desk", 1)
    for holder in (late, early):
        await operators.read(holder)
    operators.table.restore_copy(copy)
    del operators.revisions["desk"]
    await operators.put("desk", 2)
    await operators.read(early)
    await operators.withdraw("desk")
    await operators.read(early)
    if from_peer:
        late.apply(early.log_after(late.revision), 1.0)
    else:
        await operators.read(late)
    assert places(late) == places(early) == {"hall": 1}
    assert late.revision == early.revision


async def test_head_of_a_later_era_is_above_every_lost_revision(operators):
    """A reused revision would be ignored by processes that have the lost change in force."""
    holder = ConfigurationHolder()
    await operators.put("desk", 1)
    copy = operators.table.copy()
    lost = [await operators.put("desk", places) for places in (2, 3)]
    await operators.read(holder)
    operators.table.restore_copy(copy)
    operators.revisions["desk"] = 1
    first = await operators.put("desk", 4)
    assert first > max(lost)
    assert await operators.put("desk", 5) == first + 1
    await operators.read(holder)
    assert places(holder) == {"desk": 5}


@pytest.mark.parametrize("goes_on", [False, True])
async def test_put_on_a_lost_revision_is_refused_with_the_reason(operators, goes_on):
    """An operator edits a record that was read before the table was restored."""
    await operators.put("desk", 1)
    copy = operators.table.copy()
    lost = await operators.put("desk", 2)
    operators.table.restore_copy(copy)
    if goes_on:
        operators.revisions["desk"] = 1
        await operators.put("desk", 3)
    records = [GroupRecord("desk", places=4)]
    refused = (await operators.log.put(records, "bert", lost, 2.0)).err()
    assert refused.kind is RefusalKind.CHANGED
    assert f"revision {lost} of group/desk was lost" in refused.detail
    assert refused.winner.author == "anna"
    assert refused.winner.revision == operators.revisions["desk"] or not goes_on


async def test_two_consecutive_restores_keep_what_was_in_force(operators):
    """A process is paused while the table is restored twice, with changes in between."""
    holder = ConfigurationHolder()
    await operators.put("desk", 1)
    copy = operators.table.copy()
    await operators.put("desk", 2)
    await operators.read(holder)
    operators.table.restore_copy(copy)
    await operators.put("hall", 1)
    copy = operators.table.copy()
    await operators.put("hall", 2)
    operators.table.restore_copy(copy)
    await operators.put("nave", 1)
    await operators.read(holder)
    assert places(holder) == {"desk": 2, "hall": 1, "nave": 1}
