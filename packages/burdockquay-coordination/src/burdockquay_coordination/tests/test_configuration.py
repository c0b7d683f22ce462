"""Updates of the configuration from the record log; the revision never decreases."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import (
    ApplyStatus,
    ConfigurationHolder,
    ConfigurationReader,
    next_read_delay,
)
from burdockquay_state import (
    ClassRecord,
    ClassRecordV1,
    FaultyTable,
    GroupRecord,
    LogEntry,
    LogPart,
    RecordLog,
    encode_record,
    known_schemas,
)

OLD_RELEASE = known_schemas() - {("class", 2), ("route", 2)}


def entry(revision, places=None, name="desk"):
    bodies = {1: encode_record(GroupRecord(name, places=places or revision))}
    return LogEntry(revision, "group", name, bodies, "ada", float(revision))


def withdrawal(revision, name="desk"):
    return LogEntry(revision, "group", name, {}, "ada", float(revision))


def delta(after, *entries):
    return LogPart(after, list(entries), False, entries[-1].revision if entries else after)


@pytest.mark.parametrize(
    ("part", "status", "revision"),
    [
        (delta(2, entry(3)), ApplyStatus.APPLIED, 3),
        (delta(0, entry(1), entry(2), entry(3)), ApplyStatus.APPLIED, 3),
        (delta(1, entry(2)), ApplyStatus.NOT_NEWER, 2),
        (delta(2), ApplyStatus.NOT_NEWER, 2),
        (delta(3, entry(4)), ApplyStatus.GAP, 2),
        (delta(2, entry(3), entry(5)), ApplyStatus.MALFORMED, 2),
        (delta(2, entry(4), entry(3)), ApplyStatus.GAP, 2),
        (LogPart(0, [entry(5)], True, 5), ApplyStatus.APPLIED, 5),
        (LogPart(0, [entry(2)], True, 2), ApplyStatus.NOT_NEWER, 2),
        (LogPart(0, [entry(6)], True, 5), ApplyStatus.MALFORMED, 2),
    ],
)
def test_only_what_follows_is_applied(part, status, revision):
    holder = ConfigurationHolder()
    holder.apply(delta(0, entry(1), entry(2)), 1.0)
    assert holder.apply(part, 2.0).status is status
    assert holder.revision == revision
    assert holder.snapshot.groups["desk"].places == revision


@given(order=st.permutations(range(1, 9)), cuts=st.lists(st.integers(1, 3), min_size=8, max_size=8))
def test_parts_in_any_order_never_lower_the_revision(order, cuts):
    """A process receives parts from several peers concurrently and out of order. An older part that
    arrives last must not put an older configuration in force.
    """
    holder = ConfigurationHolder()
    seen = 0
    for first, length in zip(order, cuts, strict=True):
        entries = [entry(revision) for revision in range(first, first + length)]
        holder.apply(delta(first - 1, *entries), 1.0)
        assert holder.revision >= seen
        seen = holder.revision
        if seen:
            assert holder.snapshot.groups["desk"].places == seen


def test_peer_sends_the_missing_entries():
    first, second, third = (ConfigurationHolder() for _ in range(3))
    first.apply(delta(0, entry(1), entry(2, name="hall"), withdrawal(3)), 1.0)
    assert not first.log_after(1).whole
    second.apply(first.log_after(0), 2.0)
    third.apply(LogPart(0, [entry(2, name="hall")], True, 3), 2.0)
    assert first.snapshot == second.snapshot == third.snapshot
    assert third.log_after(1).whole
    assert third.log_after(3) == LogPart(3, [], False, 3)


def test_full_configuration_removes_withdrawn_records():
    holder = ConfigurationHolder()
    holder.apply(delta(0, entry(1), entry(2, name="hall")), 1.0)
    holder.apply(LogPart(0, [entry(2, name="hall")], True, 5), 2.0)
    assert set(holder.snapshot.groups) == {"hall"}
    assert holder.log_after(0).entries == [entry(2, name="hall")]


def test_old_and_new_release_act_on_the_same_log():
    """During the rollout of a schema, processes of the old and the new release read the same
    records. When only the new schema is left, the old release keeps the last readable version and
    reports a fault.
    """
    old, new = ConfigurationHolder(OLD_RELEASE), ConfigurationHolder()
    first = ClassRecordV1("hold", 100, 0.7, 5.0, True, False)
    second = ClassRecord("hold", 100, 0.4, 0.05, 5.0, 0.5, True, False, 1)
    both = {1: encode_record(first), 2: encode_record(second)}
    for holder in (old, new):
        assert not holder.apply(
            delta(0, LogEntry(1, "class", "hold", both, "ada", 1.0)), 1.0
        ).faults
    assert old.snapshot.classes["hold"].first_token_target_s == 0.7
    assert new.snapshot.classes["hold"].first_token_target_s == 0.4
    later = delta(1, LogEntry(2, "class", "hold", {2: both[2]}, "ada", 2.0), entry(3))
    assert new.apply(later, 2.0).faults == ()
    (fault,) = old.apply(later, 2.0).faults
    assert (fault.record, fault.key) == ("class/hold", "schema")
    assert old.snapshot.classes["hold"].first_token_target_s == 0.7
    assert old.revision == 3
    assert old.faults == [fault]
    # The old release forwards unchanged what it cannot decode itself.
    late = ConfigurationHolder()
    late.apply(old.log_after(0), 3.0)
    assert late.snapshot.classes == new.snapshot.classes


def test_record_kind_of_a_newer_release_is_kept_for_others():
    holder = ConfigurationHolder()
    strange = LogEntry(1, "tariff", "night", {1: b"\xa0"}, "ada", 1.0)
    assert holder.apply(delta(0, strange), 1.0).faults
    assert holder.revision == 1
    assert holder.log_after(0).entries == [strange]
    assert holder.apply(delta(1, LogEntry(2, "tariff", "night", {}, "ada", 1.0)), 1.0).faults == ()


def test_one_peer_is_asked_at_a_time():
    holder = ConfigurationHolder()
    assert holder.should_fetch(3, now=0.0)
    assert not holder.should_fetch(3, now=0.1)
    assert holder.should_fetch(3, now=0.6)
    holder.apply(delta(0, entry(1), entry(2)), 0.7)
    assert holder.should_fetch(3, now=0.7)
    assert not holder.should_fetch(2, now=9.0)


def test_reads_of_all_processes_stay_in_the_budget():
    rng = random.Random(1)
    delays = [next_read_delay(1.0, 300.0, 7600, rng) for _ in range(2000)]
    assert 7600 * len(delays) / sum(delays) < 1.05 * 300
    assert max(next_read_delay(1.0, 300.0, 10, rng) for _ in range(100)) < 1.6


async def test_reader_reads_all_records_first_and_then_changes():
    """The configuration is kept after a stale read and while the table is unavailable. The next
    change is applied once the table is available again.
    """
    table = FaultyTable()
    log = RecordLog(table)
    for revision in range(3):
        await log.put([GroupRecord("desk", places=revision + 1)], "ada", revision, 1.0)
    holder = ConfigurationHolder()
    reader = ConfigurationReader(log, holder)
    assert (await reader.read(1.0)).ok().revision == 3
    reads = table.reads
    table.stale_reads = [2]
    assert (await reader.read(2.0)).ok().status is ApplyStatus.NOT_NEWER
    assert table.reads == reads + 1
    table.down = True
    assert (await reader.read(3.0)).err() is not None
    assert holder.snapshot.groups["desk"].places == 3
    table.down = False
    await log.put([GroupRecord("desk", places=9)], "ada", 3, 1.0)
    assert (await reader.read(4.0)).ok().applied == 1
