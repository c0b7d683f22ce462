"""State machine of three candidates for usage reports over a faulty store and platform.

Each candidate is suspended before and after each of its calls, so that any other event may happen
in between: a pause in the middle of a renewal, for example.
"""

import itertools
from collections import defaultdict

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from result import Err

from burdockquay_coordination.usage import (
    Delivery,
    ReportTerms,
    UsageCounter,
    UsageLedger,
    UsageReporter,
    UsageSink,
)
from burdockquay_state import MemoryTable, TableError, TableErrorKind, make_version, number_of

TERMS = ReportTerms(window_s=5.0, due_s=10.0, lease_s=3.0)
NAMES = ("a", "b", "c")
names = st.sampled_from(NAMES)


class Suspension:
    """Awaitable that suspends a coroutine; it is sent what happens to the call."""

    def __await__(self):
        return (yield)


@attrs.define
class Accepted:
    """A call that the platform carried out."""

    at: float
    holder: str
    fencing: int
    window: int
    counts: dict


class World:
    """The store's table, the platform, the time, and the calls that are carried out late."""

    def __init__(self):
        self.table = MemoryTable(era=1)
        self.copies = [self.table.copy()]
        self.now = 1000.0
        self.late = []
        self.accepted = []
        self.sent = defaultdict(set)

    def carry_out(self, call):
        self.sent[call.fencing].add(call.holder)
        if call.fencing < max((item.fencing for item in self.accepted), default=0):
            return Delivery.FENCED
        self.accepted.append(attrs.evolve(call, at=self.now))
        return Delivery.ACCEPTED


class SuspendedTable:
    """The table as one process reaches it."""

    def __init__(self, world):
        self.world = world
        self.era = 1

    @property
    def absent(self):
        return make_version(self.era, 0)

    async def _call(self, effect):
        fate = await Suspension()
        if fate == "down":
            return Err(TableError(TableErrorKind.UNAVAILABLE))
        if fate == "late":
            self.world.late.append(lambda: _finish(effect()))
            return Err(TableError(TableErrorKind.UNCERTAIN))
        answer = await effect()
        era = self.world.table.era
        fate = await Suspension()
        if fate in ("down", "late"):
            return Err(TableError(TableErrorKind.UNCERTAIN))
        self.era = max(self.era, era)
        if era < self.era:
            return Err(TableError(TableErrorKind.UNCERTAIN, "past era"))
        return answer

    async def get(self, keys):
        return await self._call(lambda: self.world.table.get(keys))

    async def scan(self, prefix, after="", limit=1000):
        return await self._call(lambda: self.world.table.scan(prefix, after, limit))

    async def transact(self, operations):
        return await self._call(lambda: self.world.table.transact(self._as_sent(operations)))

    def _as_sent(self, operations):
        """The operations as the store reads them: it compares numbers, whatever their era."""
        era = self.world.table.era
        return [
            (
                operation
                if operation.expected_version is None
                else attrs.evolve(
                    operation,
                    expected_version=make_version(era, number_of(operation.expected_version)),
                )
            )
            for operation in operations
        ]


class SuspendedSink(UsageSink):
    """The platform as one process reaches it."""

    def __init__(self, world):
        self.world = world

    async def deliver(self, report, holder, fencing):
        call = Accepted(0.0, holder, fencing, report.window, dict(report.counts))
        fate = await Suspension()
        if fate == "down":
            return Delivery.UNCONFIRMED
        if fate == "late":
            self.world.late.append(lambda: self.world.carry_out(call))
            return Delivery.UNCONFIRMED
        delivery = self.world.carry_out(call)
        fate = await Suspension()
        return delivery if fate == "done" else Delivery.UNCONFIRMED


def _finish(coroutine):
    """Run a coroutine that is not suspended to its end."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("suspended")


class Candidate:
    """One process: its clocks, its counts and its current step."""

    def __init__(self, world, name, incarnation, clock_error_s):
        self.world = world
        self.clock_error_s = clock_error_s
        self.name = name
        self.incarnation = incarnation
        self.ledger = UsageLedger()
        self.counter = UsageCounter(TERMS.window_s, self.moment)
        self.reporter = UsageReporter(
            SuspendedTable(world),
            SuspendedSink(world),
            name,
            incarnation,
            TERMS,
            self.ledger,
            lambda change, details: None,
        )
        self.step = None

    @property
    def moment(self):
        return self.world.now + self.clock_error_s

    def proceed(self, fate, is_candidate=True):
        """Run the current step, or a new one, to its next suspension."""
        value = fate
        if self.step is None:
            self.ledger.record(self.incarnation, self.counter.windows(self.moment), self.moment)
            self.step = self.reporter.step(self.world.now, self.moment, [], is_candidate)
            value = None
        try:
            self.step.send(value)
        except StopIteration:
            self.step = None

    def end(self):
        """Kill the process."""
        if self.step is not None:
            self.step.close()


class ReporterMachine(RuleBasedStateMachine):
    """Operations on the candidates, the store and the platform in any order."""

    @initialize(errors=st.tuples(*[st.floats(-0.2, 0.2)] * 3))
    def start(self, errors):
        self.world = World()
        self.numbers = itertools.count(1)
        self.errors = dict(zip(NAMES, errors, strict=True))
        self.processes = {name: self._make(name) for name in NAMES}
        self.restarted = False

    def _make(self, name):
        incarnation = f"{name}{next(self.numbers)}"
        return Candidate(self.world, name, incarnation, self.errors[name])

    @rule(seconds=st.sampled_from([1.0, 4.0, 8.0]), paused=st.sets(names, max_size=2))
    def work(self, seconds, paused):
        """Let the processes work undisturbed, except for those that are paused."""
        for _ in range(round(seconds / 0.5)):
            self.world.now += 0.5
            for name in NAMES:
                if name not in paused:
                    self._run_step(name)

    def _run_step(self, name, is_candidate=True):
        self.processes[name].proceed("done", is_candidate)
        while self.processes[name].step is not None:
            self.processes[name].proceed("done")

    @rule(name=names, calls=st.integers(1, 6))
    def pause_within_a_call(self, name, calls):
        for _ in range(calls):
            self.processes[name].proceed("done")

    @rule(name=names, fate=st.sampled_from(["down", "late"]))
    def disturb(self, name, fate):
        self.processes[name].proceed(fate)

    @rule(name=names)
    def leave(self, name):
        self._run_step(name)
        self._run_step(name, is_candidate=False)

    @rule(source=names, receivers=st.sets(names), requests=st.integers(0, 3))
    def count_and_share(self, source, receivers, requests):
        sender = self.processes[source]
        for _ in range(requests):
            sender.counter.add("one", sender.moment)
        windows = sender.counter.windows(sender.moment)
        for name in receivers:
            ledger = self.processes[name].ledger
            ledger.record(sender.incarnation, windows, sender.moment)

    @rule(name=names)
    def restart(self, name):
        self.processes[name].end()
        self.processes[name] = self._make(name)
        self.restarted = True

    @rule()
    def carry_out_late(self):
        if self.world.late:
            self.world.late.pop(0)()

    @rule()
    def copy_store(self):
        self.world.copies.append(self.world.table.copy())

    @rule()
    def restore_store(self):
        self.world.table.restore_copy(self.world.copies[-1])

    @invariant()
    def each_window_has_one_set_of_counts(self):
        known = {}
        for call in self.world.accepted:
            assert known.setdefault(call.window, call.counts) == call.counts, call.window

    @invariant()
    def each_fencing_number_has_one_holder(self):
        for fencing, holders in self.world.sent.items():
            assert len(holders) == 1, fencing

    @invariant()
    def holders_do_not_alternate_within_a_lease(self):
        if self.restarted:
            return
        turns = []
        for call in self.world.accepted:
            if not turns or turns[-1][0] != call.holder:
                turns.append((call.holder, call.at, call.at))
            else:
                turns[-1] = (call.holder, turns[-1][1], call.at)
        for first, _, third in zip(turns, turns[1:], turns[2:], strict=False):
            assert first[0] != third[0] or third[1] - first[2] > TERMS.lease_s

    def teardown(self):
        for process in getattr(self, "processes", {}).values():
            process.end()


TestReporterMachine = ReporterMachine.TestCase
TestReporterMachine.settings = settings(max_examples=250, stateful_step_count=40, deadline=None)
