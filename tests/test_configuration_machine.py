"""Stateful test of operators, processes and a faulty table against a simple oracle.

The oracle is the list of log rows actually stored in the table. No accepted change may be missing
from it or have overwritten a change that its author had not read. Every process must have exactly
the configuration given by the rows up to its revision, and never go back to an older revision.
"""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from burdockquay_coordination import ConfigurationHolder, ConfigurationReader
from burdockquay_state import (
    ClassRecord,
    ClassRecordV1,
    FaultyTable,
    GroupRecord,
    MemoryTable,
    RecordLog,
    RefusalKind,
    decode_record,
    known_schemas,
)

OLD_RELEASE = known_schemas() - {("class", 2), ("route", 2)}
RELEASES = (OLD_RELEASE, None, None)
KEYS = (("group", "desk"), ("group", "hall"), ("class", "hold"))
HOLDERS = st.integers(0, len(RELEASES) - 1)
OPERATORS = st.integers(0, 1)
KEY = st.sampled_from(KEYS)
VALUE = st.integers(1, 9)
KEPT = 6
"""Log rows kept: so few that processes fall behind the log and read the complete state."""

SCHEMAS = st.sampled_from([(1,), (2,), (1, 2)])


class RacingTable(FaultyTable):
    """Faulty table that runs another write just before a transaction and recovers by itself."""

    def __init__(self):
        super().__init__()
        self.concurrent_write = None
        self.failing_calls = 0

    def count_call(self):
        self.down = self.failing_calls > 0
        self.failing_calls = max(0, self.failing_calls - 1)

    async def get(self, keys):
        self.count_call()
        return await super().get(keys)

    async def scan(self, prefix, after="", limit=1000):
        self.count_call()
        return await super().scan(prefix, after, limit)

    async def transact(self, operations):
        self.count_call()
        concurrent_write, self.concurrent_write = self.concurrent_write, None
        if concurrent_write is not None:
            await concurrent_write()
        return await super().transact(operations)


def make_records(key, value, schemas):
    kind, name = key
    if kind == "group":
        return [GroupRecord(name, places=value)]
    by_schema = {
        1: ClassRecordV1(name, value, 0.5, 5.0),
        2: ClassRecord(name, value, 0.5, 0.05, 5.0),
    }
    return [by_schema[schema] for schema in schemas]


class ConfigurationMachine(RuleBasedStateMachine):
    """Two operators and three processes, one of them of the old release."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = RacingTable()
        self.ids = 0
        self.read_revisions = {}
        self.accepted = {}
        self.refused = set()
        self.unknown = set()
        self.messages = []
        self.rows = []

    @initialize()
    def start(self):
        self.holders = [ConfigurationHolder(known) for known in RELEASES]
        self.seen = [0] * len(RELEASES)

    def teardown(self):
        self.table.failing_calls = 0
        self.table.stale_reads = []
        self.table.lost_confirmations = []
        for number in range(len(RELEASES)):
            self.read_table(number)
        self.check_accepted()
        self.check_processes()
        head = len(self.all_rows())
        assert all(holder.revision == head for holder in self.holders)
        self.loop.close()

    def run_async(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def all_rows(self):
        """Return all rows that the log ever had, read without faults before they are removed."""
        view = MemoryTable()
        view._rows = self.table._rows
        view._keys = sorted(view._rows)
        log = RecordLog(view)
        head = self.run_async(log.head()).ok()
        for revision in range(len(self.rows) + 1, head + 1):
            self.rows.append(self.run_async(log.read_row(revision)).ok())
        return self.rows

    # Operators

    def expected_revision(self, operator, key):
        return self.read_revisions.get((operator, key), 0)

    async def write(self, operator, key, records):
        self.ids += 1
        change_id = f"change-{self.ids}"
        log = RecordLog(self.table, KEPT, lambda: change_id)
        expected = self.expected_revision(operator, key)
        author = f"operator-{operator}"
        if records:
            result = await log.put(records, author, expected, 1.0)
        else:
            result = await log.withdraw(*key, author, expected, 1.0)
        if result.is_ok():
            self.accepted[change_id] = (result.ok().revision, key, expected)
            self.read_revisions[operator, key] = result.ok().revision if records else 0
        elif result.err().kind is RefusalKind.UNKNOWN:
            self.unknown.add(change_id)
        else:
            self.refused.add(change_id)
        if not result.is_ok() and result.err().winner:
            assert result.err().winner.author.startswith("operator-")

    @rule(operator=OPERATORS, key=KEY)
    def operator_reads(self, operator, key):
        row = self.run_async(RecordLog(self.table).get(*key))
        if row.is_ok():
            found = row.ok()
            self.read_revisions[operator, key] = (
                found.entry.revision if found and not found.withdrawn else 0
            )

    @rule(operator=OPERATORS, key=KEY, value=VALUE, schemas=SCHEMAS)
    def operator_puts(self, operator, key, value, schemas):
        self.run_async(self.write(operator, key, make_records(key, value, schemas)))

    @rule(operator=OPERATORS, key=KEY, value=VALUE, schemas=SCHEMAS)
    def operator_edits(self, operator, key, value, schemas):
        self.operator_reads(operator, key)
        self.operator_puts(operator, key, value, schemas)

    @rule(operator=OPERATORS, key=KEY)
    def operator_withdraws(self, operator, key):
        self.operator_reads(operator, key)
        self.run_async(self.write(operator, key, []))

    @rule(first=OPERATORS, key=KEY, other_key=KEY, value=VALUE, schemas=SCHEMAS)
    def operators_race(self, first, key, other_key, value, schemas):
        second = 1 - first
        self.operator_reads(first, key)
        self.operator_reads(second, other_key)
        self.table.concurrent_write = lambda: self.write(
            second, other_key, make_records(other_key, value + 1, schemas)
        )
        self.run_async(self.write(first, key, make_records(key, value, schemas)))
        self.table.concurrent_write = None

    # Faults of the table

    @rule(calls=st.integers(1, 4))
    def fail_calls(self, calls):
        self.table.failing_calls = calls

    @rule(calls=st.integers(1, 3), effect=st.booleans(), key=KEY, value=VALUE)
    def outage_begins_while_a_change_is_written(self, calls, effect, key, value):
        self.table.failing_calls = 0
        self.operator_reads(0, key)
        self.table.lost_confirmations = [effect, True]
        transact = self.table.transact

        async def transact_then_fail(operations):
            done = await transact(operations)
            self.table.failing_calls = calls
            return done

        self.table.transact = transact_then_fail
        self.run_async(self.write(0, key, make_records(key, value, (2,))))
        del self.table.transact

    @rule(ages=st.lists(st.integers(0, 3), min_size=1, max_size=8))
    def answer_with_old_states(self, ages):
        self.table.stale_reads = ages

    @rule(effects=st.lists(st.booleans(), min_size=1, max_size=3))
    def lose_confirmations(self, effects):
        self.table.lost_confirmations = effects

    # Processes

    @rule(number=HOLDERS)
    def read_table(self, number):
        holder = self.holders[number]
        self.run_async(ConfigurationReader(RecordLog(self.table), holder).read(1.0))

    @rule(sender=HOLDERS, receiver=HOLDERS)
    def fetch_from_peer(self, sender, receiver):
        part = self.holders[sender].log_after(self.holders[receiver].revision)
        self.holders[receiver].apply(part, 1.0)

    @rule(sender=HOLDERS, revision=st.integers(0, 12))
    def part_is_on_its_way(self, sender, revision):
        self.messages.append(self.holders[sender].log_after(revision))

    @rule(sender=HOLDERS, receiver=HOLDERS, value=VALUE)
    def part_before_it_is_lost(self, sender, receiver, value):
        self.read_table(sender)
        self.read_table(receiver)
        for key in KEYS:
            self.operator_edits(0, key, value, (1, 2))
        self.read_table(sender)
        part = self.holders[sender].log_after(self.holders[receiver].revision + 1)
        self.deliver_messages(receiver, [part])

    @rule(receiver=HOLDERS, key=KEY)
    def whole_after_a_withdrawal(self, receiver, key):
        self.operator_withdraws(0, key)
        self.whole_is_on_its_way()
        self.deliver_messages(receiver, self.messages[-1:])

    def deliver_messages(self, receiver, messages):
        for part in messages:
            self.holders[receiver].apply(part, 1.0)

    @rule()
    def whole_is_on_its_way(self):
        part = self.run_async(RecordLog(self.table).read_all())
        if part.is_ok():
            self.messages.append(part.ok())

    @rule(receiver=HOLDERS, key=KEY, value=VALUE)
    def part_is_overtaken_by_the_next_change(self, receiver, key, value):
        self.read_table(receiver)
        self.whole_is_on_its_way()
        self.part_is_on_its_way(receiver, 0)
        self.operator_edits(0, key, value, (1, 2))
        self.read_table(receiver)
        self.deliver_messages(receiver, self.messages[-2:])

    @rule(receiver=HOLDERS, data=st.data())
    def part_arrives_late(self, receiver, data):
        if self.messages:
            part = data.draw(st.sampled_from(self.messages))
            self.holders[receiver].apply(part, 1.0)

    @rule(number=HOLDERS, peer=HOLDERS)
    def restart(self, number, peer):
        self.holders[number] = ConfigurationHolder(RELEASES[number])
        self.seen[number] = 0
        if peer != number:
            self.fetch_from_peer(peer, number)
            assert self.holders[number].revision == self.holders[peer].revision

    # Invariants

    @invariant()
    def check_accepted(self):
        rows = self.all_rows()
        by_id = {row.change_id: row for row in rows}
        assert len(by_id) == len(rows)
        assert set(by_id) <= set(self.accepted) | self.unknown
        assert not set(by_id) & self.refused
        for change_id, (revision, key, expected) in self.accepted.items():
            row = by_id[change_id]
            assert (row.entry.revision, row.key) == (revision, key)
            earlier = [other for other in rows[: revision - 1] if other.key == key]
            current = earlier[-1] if earlier and not earlier[-1].withdrawn else None
            assert expected == (current.entry.revision if current else 0)

    @invariant()
    def check_processes(self):
        rows = self.all_rows()
        for number, holder in enumerate(getattr(self, "holders", [])):
            assert holder.revision >= self.seen[number]
            self.seen[number] = holder.revision
            for key in KEYS:
                self.check_record(holder, key, rows[: holder.revision])

    def check_record(self, holder, key, rows):
        kind, name = key
        field = {"group": "groups", "class": "classes"}[kind]
        in_force = getattr(holder.snapshot, field).get(name)
        key_rows = [row for row in rows if row.key == key]
        if not key_rows or key_rows[-1].withdrawn:
            assert in_force is None
            return
        readable = [
            decode_record(kind, name, row.entry.bodies, holder.known).ok()
            for row in key_rows
            if not row.withdrawn
        ]
        if readable[-1] is not None:
            assert in_force == readable[-1]
        else:
            assert in_force is None or in_force in readable


ConfigurationMachine.TestCase.settings = settings(max_examples=80, stateful_step_count=50)
test_configuration = ConfigurationMachine.TestCase
