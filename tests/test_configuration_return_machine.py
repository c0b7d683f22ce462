"""Stateful test of operators and processes while the table is restored from copies.

The places of a group are the number of the change, so the value in force identifies its change. No
process may go from a later change of a record back to an earlier one, in whatever order the table
loses changes, peers send updates, and processes restart.
"""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from burdockquay_coordination import ConfigurationHolder, ConfigurationReader
from burdockquay_state import FaultyTable, GroupRecord, RecordLog, RefusalKind

NAMES = ("desk", "hall", "nave")
NAME = st.sampled_from(NAMES)
PROCESS = st.integers(0, 2)
KEPT = 5
"""Log rows kept: so few that processes fall behind the log and read the complete state."""


class RestoreMachine(RuleBasedStateMachine):
    """One operator, three processes and a table that is restored from copies."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = FaultyTable(era=1)
        self.log = RecordLog(self.table, KEPT)
        self.copy = self.table.copy()
        self.changes = 0
        self.withdrawals = {name: [] for name in NAMES}
        self.accepted = set()
        self.lost = set()
        self.read_revisions = {}
        self.parts = []

    @initialize()
    def start(self):
        self.holders = [ConfigurationHolder() for _ in range(3)]
        self.last_changes = [dict.fromkeys(NAMES, 0) for _ in range(3)]
        self.seen = [0] * 3

    def teardown(self):
        self.put("desk")
        for number in range(3):
            self.read_table(number)
        self.check_processes()
        head = self.run_async(self.log.head()).ok()
        assert {holder.revision for holder in self.holders} == {head}
        self.loop.close()

    def run_async(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(name=NAME)
    def read_record(self, name):
        row = self.run_async(self.log.get("group", name)).ok()
        self.read_revisions[name] = row.entry.revision if row and not row.withdrawn else 0

    @rule(name=NAME)
    def put_as_read(self, name):
        expected = self.read_revisions.get(name, 0)
        self.changes += 1
        records = [GroupRecord(name, places=self.changes)]
        put = self.run_async(self.log.put(records, "anna", expected, 1.0))
        if put.is_ok():
            assert expected not in self.lost
            self.record_accepted(put.ok().revision)
        elif expected in self.lost:
            assert put.err().kind is RefusalKind.CHANGED
            assert "was lost" in put.err().detail

    @rule(name=NAME)
    def put(self, name):
        self.read_record(name)
        self.put_as_read(name)

    @rule(name=NAME)
    def withdraw(self, name):
        self.read_record(name)
        expected = self.read_revisions[name]
        self.changes += 1
        done = self.run_async(self.log.withdraw("group", name, "anna", expected, 1.0))
        if done.is_ok():
            self.withdrawals[name].append(self.changes)
            self.record_accepted(done.ok().revision)

    def record_accepted(self, revision):
        assert revision not in self.accepted
        self.accepted.add(revision)

    @rule()
    def take_copy(self):
        self.copy = self.table.copy()

    @rule()
    def return_to_copy(self):
        before = self.run_async(self.log.head()).ok()
        self.table.restore_copy(self.copy)
        kept = self.run_async(self.log.head()).ok()
        self.lost |= {revision for revision in self.accepted if kept < revision <= before}

    @rule(number=PROCESS)
    def read_table(self, number):
        self.run_async(ConfigurationReader(self.log, self.holders[number]).read(1.0))

    @rule(sender=PROCESS, receiver=PROCESS)
    def fetch_from_peer(self, sender, receiver):
        part = self.holders[sender].log_after(self.holders[receiver].revision)
        self.holders[receiver].apply(part, 1.0)

    @rule(sender=PROCESS, receiver=PROCESS)
    def part_is_on_its_way(self, sender, receiver):
        self.parts.append(self.holders[sender].log_after(self.holders[receiver].revision))

    @rule(receiver=PROCESS, data=st.data())
    def part_arrives_late(self, receiver, data):
        if self.parts:
            self.holders[receiver].apply(data.draw(st.sampled_from(self.parts)), 1.0)

    @rule(number=PROCESS)
    def restart(self, number):
        self.holders[number] = ConfigurationHolder()
        self.last_changes[number] = dict.fromkeys(NAMES, 0)
        self.seen[number] = 0

    @invariant()
    def check_processes(self):
        for number, holder in enumerate(getattr(self, "holders", [])):
            assert holder.revision >= self.seen[number]
            self.seen[number] = holder.revision
            for name in NAMES:
                self.check_record(number, name, holder.snapshot.groups.get(name))

    def check_record(self, number, name, group):
        """Check that a record is at its last observed change or a later one."""
        last_change = self.last_changes[number][name]
        if group is not None:
            assert group.places == abs(last_change) or group.places > abs(last_change)
            assert last_change >= 0 or group.places > -last_change
            self.last_changes[number][name] = group.places
        elif last_change > 0:
            later = [change for change in self.withdrawals[name] if change > last_change]
            assert later
            self.last_changes[number][name] = -later[0]


RestoreMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50)
test_configuration_over_returns = RestoreMachine.TestCase
