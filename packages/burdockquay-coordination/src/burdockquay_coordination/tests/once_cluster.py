"""Simulated cluster for tests of at-most-once execution: the test controls the order of all steps.

The claims, the guard of the slot and the resolver of the entry are the real ones. Each call of the
table, each message, the moment before a request is sent upstream and the moment before its outcome
is written waits at a :class:`Gate` until the test opens it. A process is paused while its gates
stay closed, and crashes when they are discarded. The :class:`Oracle` counts effects.
"""

from __future__ import annotations

import asyncio
from collections import Counter

import attrs
import cbor2
from result import Err, Ok

from burdockquay_coordination import (
    OPEN_ERA_KEY,
    AtMostOnceGuard,
    AtMostOnceResolver,
    AtMostOnceTicket,
    ClaimEra,
    OutcomeWriter,
    SettledState,
)
from burdockquay_protocol import ErrorKind, NotRun, Run
from burdockquay_state import (
    ClaimState,
    ClaimStore,
    ClaimSweep,
    GroupCommitter,
    MemoryObjectStore,
    MemoryTable,
    Put,
    StoredAnswer,
    TableError,
    TableErrorKind,
    TableService,
)
from burdockquay_state._claim_rows import CLAIM_PREFIX, claim_row_key, decode_row

ORGANISATION = "parish"
DEADLINE_S = 60.0
RETENTION_S = 86400.0
MAX_ATTEMPTS = 2
EVENT_LOOP_TURNS = 40
INLINE_BYTES = 64
STALE_STATES = 4
MAX_COPY_AGE_S = 10.0
RESTORE_ATTEMPTS = 5


class OracleError(AssertionError):
    """An invariant of at-most-once execution is violated."""


@attrs.define
class Call:
    """A request of a caller, and the result that was reported to the caller."""

    name: str
    key: str
    digest: str
    generation: int
    started_at: float
    reported: str = ""
    answer: StoredAnswer | None = None
    attempt: int = 0
    reply: asyncio.Future | None = None


class Oracle:
    """Counts the effects at the upstream and compares them with the results of the callers."""

    def __init__(self):
        self.calls: list[Call] = []
        self.generations: Counter[str] = Counter()
        self.effects: Counter[str] = Counter()
        self.effects_by_key: Counter[tuple[str, int]] = Counter()
        self.exempt_keys: set[str] = set()
        self.answers: dict[bytes, Call] = {}

    def add_call(self, key: str, digest: str, now: float) -> Call:
        generation = self.generations[key]
        call = Call(f"call-{len(self.calls)}", key, digest, generation, now)
        self.calls.append(call)
        return call

    def add_effect(self, run: Run) -> StoredAnswer:
        call = next(call for call in self.calls if call.name == run.request)
        self.effects[call.name] += 1
        self.effects_by_key[call.key, call.generation] += 1
        body = f"{run.digest} by {run.request}/{run.attempt}, {len(self.answers)}".encode()
        self.answers[body] = call
        # Every second answer is too large for the row and is stored in the object store.
        return StoredAnswer(200, [["x", "y" * (len(self.answers) % 2 * INLINE_BYTES)]], body)

    def start_generation(self, key: str, expired_at: float) -> None:
        """Start a new generation of a key, which includes calls after the expiry."""
        self.generations[key] += 1
        for call in self.calls:
            if call.key == key and call.started_at > expired_at:
                call.generation = self.generations[key]

    def check(self) -> None:
        for (key, generation), count in self.effects_by_key.items():
            if count > 1 and key not in self.exempt_keys:
                raise OracleError(f"{count} effects of key {key} in generation {generation}")
        for call in self.calls:
            if call.reported == "not_run" and self.effects[call.name]:
                raise OracleError(f"{call.name} had an effect and was reported as not run")
            if call.reported == "answer":
                self._check_answer(call)

    def _check_answer(self, call: Call) -> None:
        ran = self.answers.get(call.answer.body)
        if ran is None or (ran.key, ran.digest) != (call.key, call.digest):
            raise OracleError(
                f"{call.name} got an answer that does not belong to it: {call.answer}"
            )


@attrs.define(eq=False)
class Gate:
    """A step of a process that waits until the test opens it."""

    kind: str
    process: Process
    future: asyncio.Future
    operations: list | None = None
    keys: list | None = None
    result: object = None


@attrs.frozen
class AbandonedWrite:
    """A write that its sender abandoned at ``sent_at`` and that may still reach the table."""

    sent_at: float
    operations: list


class Process:
    """An entry or slot."""

    def __init__(self, cluster: SimulatedCluster, incarnation: str):
        self.cluster = cluster
        self.incarnation = incarnation
        self.dead = False
        table = GatedTable(self)
        self.claims = cluster.claim_store(table, cluster.objects, inline_bytes=INLINE_BYTES)


class GatedTable(TableService):
    """The cluster's table as accessed by one process, with a gate for each call."""

    def __init__(self, process: Process):
        self.process = process
        self.known_era = process.cluster.table.era

    @property
    def era(self):
        return self.known_era

    async def get(self, keys):
        return await self._call(keys=keys)

    async def scan(self, prefix, after="", limit=1000):
        raise NotImplementedError

    async def transact(self, operations):
        return await self._call(operations=operations)

    async def _call(self, **call):
        answer = await self.process.cluster.wait("table", self.process, **call)
        self.known_era = max(self.known_era, answer.era)
        return answer.result


class Slot(Process):
    """A slot that runs attempts on the upstream."""

    def __init__(self, cluster: SimulatedCluster, incarnation: str):
        super().__init__(cluster, incarnation)
        self.outcomes = OutcomeWriter(self.claims, cluster.clock, retry_s=0.0)
        self.eras = cluster.claim_era(self.claims, cluster.clock)
        self.guard = AtMostOnceGuard(self.claims, self.outcomes, self.eras, incarnation)

    async def serve(self, run: Run, call: Call) -> None:
        begun = await self.guard.begin(run, self.cluster.clock)
        if begun.is_err():
            self.cluster.reply(call, run, begun.err())
            return
        if await self.cluster.wait("send", self) == "refused":
            await self.guard.abandon(begun.ok())
            refusal = NotRun(run.request, run.attempt, ErrorKind.UPSTREAM_REFUSED)
            self.cluster.reply(call, run, refusal)
            return
        answer = self.cluster.oracle.add_effect(run)
        await self.cluster.wait("answer", self)
        self.cluster.reply(call, run, answer)
        await self.guard.finish(begun.ok(), answer)


class Entry(Process):
    """An entry that accepts calls and reports their results."""

    def __init__(self, cluster: SimulatedCluster, incarnation: str):
        super().__init__(cluster, incarnation)
        self.resolver = cluster.resolver(self.claims)

    async def handle(self, call: Call, slots: list[int]) -> None:
        ticket = self.resolver.open_ticket(ORGANISATION, call.key, call.digest, call.started_at)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            run = make_run(ticket, call, attempt)
            reply = await self._attempt(run, call, slots[attempt % len(slots)])
            if isinstance(reply, StoredAnswer):
                return self._report(call, "answer", reply)
            claim_lost = isinstance(reply, NotRun) and reply.kind is ErrorKind.CLAIM_LOST
            if isinstance(reply, NotRun) and not claim_lost:
                if reply.kind is ErrorKind.TABLE_UNAVAILABLE:
                    break
                continue
            settled = await self.resolver.settle(ticket, self.cluster.clock, claim_lost=claim_lost)
            if settled.state is not SettledState.NOT_RUN:
                return self._report_settled(call, settled)
            ticket = attrs.evolve(ticket, expected_version=settled.row_version)
        return self._report(call, "not_run")

    async def _attempt(self, run: Run, call: Call, slot: int):
        call.attempt = run.attempt
        call.reply = asyncio.get_running_loop().create_future()
        self.cluster.spawn(self._deliver(run, call, slot))
        return await call.reply

    async def _deliver(self, run: Run, call: Call, slot: int) -> None:
        receiver = self.cluster.slots[slot]
        await self.cluster.wait("message", receiver)
        await receiver.serve(run, call)

    def _report_settled(self, call: Call, settled) -> None:
        reported = {SettledState.STORED: "answer", SettledState.KEY_REUSED: "not_run"}
        self._report(call, reported.get(settled.state, settled.state.value), settled.answer)

    def _report(self, call: Call, reported: str, answer: StoredAnswer | None = None) -> None:
        call.reported, call.answer = reported, answer


def make_run(ticket: AtMostOnceTicket, call: Call, attempt: int) -> Run:
    return Run(
        request=call.name,
        attempt=attempt,
        grant=0,
        organisation=ticket.organisation,
        class_name="holds",
        method="POST",
        path="/holds",
        headers=[],
        body=b"",
        stream=False,
        deadline_s=DEADLINE_S,
        idempotent=False,
        key=ticket.key,
        expected_version=ticket.expected_version,
        digest=ticket.digest,
        started_at=ticket.started_at,
    )


class SimulatedCluster:
    """Two entries, two slots and one table; the test triggers every step.

    Parameters
    ----------
    claim_store, claim_era, resolver, table : type
        Classes under test; faulty ones in the mutation tests.
    era : int
        Era of the table at the start.
    """

    def __init__(
        self,
        claim_store: type[ClaimStore] = ClaimStore,
        claim_era: type[ClaimEra] = ClaimEra,
        resolver: type[AtMostOnceResolver] = AtMostOnceResolver,
        table: type[MemoryTable] = MemoryTable,
        era: int = 0,
    ):
        self.claim_store = claim_store
        self.claim_era = claim_era
        self.resolver = resolver
        self.loop = asyncio.new_event_loop()
        self.table = table(era)
        self.copy = self.table.copy()
        self.copied_at = 0.0
        self.lost_claims: dict[str, str] = {}
        self.objects = MemoryObjectStore()
        self.oracle = Oracle()
        self.now = 1_000_000.0
        self.gates: list[Gate] = []
        self.late_writes: list[AbandonedWrite] = []
        self.wrote_after_retention = False
        self.past_states: list[tuple[int, dict]] = [(era, {})]
        self.crashed: set[str] = set()
        self._tasks: list[asyncio.Task] = []
        self._incarnations = 0
        self.entries = [self._make(Entry) for _ in range(2)]
        self.slots = [self._make(Slot) for _ in range(2)]

    def clock(self) -> float:
        return self.now

    def _make(self, role: type[Process]) -> Process:
        self._incarnations += 1
        return self.run(self._construct(role, f"{role.__name__}-{self._incarnations}"))

    async def _construct(self, role: type[Process], incarnation: str) -> Process:
        return role(self, incarnation)

    def run(self, work):
        return self.loop.run_until_complete(work)

    def spawn(self, work) -> None:
        self._tasks.append(self.loop.create_task(work))

    def run_until_blocked(self) -> None:
        """Run all tasks until each waits at a gate, and check the invariants."""

        async def run_loop():
            for _ in range(EVENT_LOOP_TURNS):
                await asyncio.sleep(0)

        self.run(run_loop())
        for task in self._tasks:
            if task.done() and task.exception() is not None:
                raise task.exception()
        self._tasks = [task for task in self._tasks if not task.done()]
        self.oracle.check()

    async def wait(self, kind: str, process: Process, operations=None, keys=None):
        """Wait at a gate; a crashed process waits forever."""
        future = asyncio.get_running_loop().create_future()
        if not process.dead:
            self.gates.append(Gate(kind, process, future, operations, keys))
        return await future

    def reply(self, call: Call, run: Run, message) -> None:
        """Deliver a slot's message to the entry, unless the entry has abandoned the attempt."""
        if call.attempt == run.attempt and not call.reply.done():
            call.reply.set_result(message)

    def call(self, entry: int, key: str, digest: str, slots: list[int]) -> Call:
        call = self.oracle.add_call(key, digest, self.now)
        self.spawn(self.entries[entry].handle(call, slots))
        self.run_until_blocked()
        return call

    def lose_peer(self, index: int) -> None:
        """End the wait of an entry for a slot; the slot does not detect it."""
        waiting = [c for c in self.oracle.calls if c.reply is not None and not c.reply.done()]
        if waiting:
            waiting[index % len(waiting)].reply.set_result(None)
            self.run_until_blocked()

    def crash(self, role: str, index: int) -> None:
        """Crash and replace a process; its calls in flight may still reach the table."""
        processes = self._processes(role)
        process = processes[index]
        process.dead = True
        self._exempt_lost_claims(lambda holder: holder is process)
        self.crashed.add(process.incarnation)
        for gate in self._gates_of(process):
            self.add_late_write(gate)
        self.gates = [gate for gate in self.gates if gate.process is not process]
        processes[index] = self._make(type(process))

    def _gates_of(self, process: Process) -> list[Gate]:
        return [gate for gate in self.gates if gate.process is process]

    def open(self, index: int, action: int) -> None:
        """Open a gate with one of the actions of its kind."""
        if not self.gates:
            return
        gate = self.gates.pop(index % len(self.gates))
        actions = GATE_ACTIONS[gate.kind]
        actions[action % len(actions)](self, gate)
        self.run_until_blocked()

    def open_first(self, paused: tuple[str, int] | None) -> None:
        """Open the oldest gate without a fault; those of a paused process stay closed."""
        paused_process = None if paused is None else self._processes(paused[0])[paused[1]]
        for index, gate in enumerate(self.gates):
            if gate.process is not paused_process:
                self.open(index, 0)
                return

    def _processes(self, role: str) -> list[Process]:
        return self.slots if role == "slot" else self.entries

    def inject_late_write(self, index: int) -> None:
        """Execute a write that its sender has abandoned."""
        if self.late_writes:
            write = self.late_writes.pop(index % len(self.late_writes))
            self.wrote_after_retention |= self.now - write.sent_at > RETENTION_S
            self.write(write.operations)
            self.oracle.check()

    def write(self, operations: list):
        result = self.run(self.table.transact(operations))
        self.past_states = [
            *self.past_states[-STALE_STATES:],
            (self.table.era, dict(self.table._rows)),
        ]
        return result

    def take_copy(self) -> None:
        """Copy the table; it can be restored to this state."""
        self.copy = self.table.copy()
        self.copied_at = self.now

    def restore_copy(self) -> None:
        """Restore the table from the copy, and record which claims it has lost."""
        before = self.table._rows
        self.table.restore_copy(self.copy)
        for row_key, row in before.items():
            claim = decode_row(row).ok() if row_key.startswith(CLAIM_PREFIX) else None
            kept = self.table._rows.get(row_key)
            is_kept = kept is not None and kept.value == row.value
            if claim is not None and claim.state is not ClaimState.CANCELLED and not is_kept:
                self.lost_claims[row_key] = claim.incarnation
        self._exempt_lost_claims(lambda holder: False)
        self.past_states = [
            *self.past_states[-STALE_STATES:],
            (self.table.era, dict(self.table._rows)),
        ]

    def poll(self, entry: int) -> None:
        """Update the era that an entry knows, like its periodic reads of the configuration."""
        self.entries[entry].claims.table.known_era = self.table.era

    def refresh_era(self, slot: int) -> None:
        """Start a slot's read of the era of the table."""
        self.spawn(self.slots[slot].eras.refresh_era())
        self.run_until_blocked()

    def restore_in_time(self, slot: int) -> None:
        """Run the restore of a slot's claims before others may claim the keys."""
        process = self.slots[slot]
        for _ in range(RESTORE_ATTEMPTS):
            if self._has_restored(process):
                break
            self.refresh_era(slot)
            while gates := self._table_gates(process):
                self.open(self.gates.index(gates[0]), 0)
        if not self._has_restored(process):
            raise OracleError(f"{process.incarnation} reached the table but restored no claims")
        self._drop_restored_claims()

    def _table_gates(self, process: Process) -> list[Gate]:
        return [gate for gate in self._gates_of(process) if gate.kind.startswith("table")]

    def open_era(self) -> None:
        """Permit claims for every slot that reads the era, as if it had begun long ago."""
        row = self.run(self.table.get([OPEN_ERA_KEY])).ok()[0]
        version = row.version if row else self.table.absent
        self.write([Put(OPEN_ERA_KEY, cbor2.dumps(self.table.era), version)])

    def pass_time(self, seconds: float) -> None:
        """Advance the time; claims that are not restored before may be granted again."""
        self._drop_restored_claims()
        self._exempt_lost_claims(lambda holder: not self._has_restored(holder))
        self.now += seconds
        if self.now - self.copied_at > MAX_COPY_AGE_S:
            self.take_copy()

    def _has_restored(self, process: Process) -> bool:
        return process.claims.recent_claims.era == self.table.era

    def _drop_restored_claims(self) -> None:
        restored = {slot.incarnation for slot in self.slots if self._has_restored(slot)}
        self.lost_claims = {
            key: name for key, name in self.lost_claims.items() if name not in restored
        }

    def _exempt_lost_claims(self, missed) -> None:
        """Exempt the keys of lost claims whose holders have crashed or missed the hold time."""
        living = {slot.incarnation for slot in self.slots if not slot.dead and not missed(slot)}
        exempt_row_keys = {
            row_key for row_key, holder in self.lost_claims.items() if holder not in living
        }
        for call in self.oracle.calls:
            if claim_row_key(ORGANISATION, call.key) in exempt_row_keys:
                self.oracle.exempt_keys.add(call.key)

    def add_late_write(self, gate: Gate) -> None:
        """Keep a write that its sender has abandoned and that may still take effect."""
        if gate.operations:
            self.late_writes.append(AbandonedWrite(self.now, gate.operations))

    def sweep(self) -> None:
        """Delete expired rows; a key whose outcome was deleted starts a new generation."""
        before = {key: self._read(key) for key in sorted({call.key for call in self.oracle.calls})}
        sweep = ClaimSweep(self.table, GroupCommitter(self.table), RETENTION_S)
        self.run(sweep.sweep_page("", lambda name: name not in self.crashed, self.now))
        for key, row in before.items():
            had_outcome = row is not None and row.state is not ClaimState.CANCELLED
            if had_outcome and self._read(key) is None:
                self.oracle.start_generation(key, row.written_at + RETENTION_S)

    def _read(self, key: str):
        return self.run(ClaimStore(self.table, self.objects).read(ORGANISATION, key)).ok()

    def run_without_faults(self) -> None:
        """Open all gates without faults until nothing waits."""
        for slot in range(len(self.slots)):
            self.restore_in_time(slot)
        while self.gates or self.late_writes:
            if self.gates:
                self.open(0, 0)
            else:
                self.inject_late_write(0)

    def check_rows(self) -> None:
        """Check that only crashes leave rows in state running after :meth:`run_without_faults`.

        A claim that the table executes a day late, after its row expired, has no effect but leaves
        a row in state running. Such histories are not checked.
        """
        if self.wrote_after_retention:
            return
        for call in self.oracle.calls:
            row = self._read(call.key)
            if row is None or row.incarnation in self.crashed:
                continue
            if row.state is ClaimState.RUNNING:
                raise OracleError(
                    f"key {call.key} stays in state running although its slot has not crashed"
                )

    def close(self) -> None:
        while tasks := asyncio.all_tasks(self.loop):
            for task in tasks:
                task.cancel()
            self.run(asyncio.wait(tasks))
        self.loop.close()


@attrs.frozen
class Answer:
    """An answer of the table and its era; 0 if there was no answer."""

    era: int
    result: object


def _run_operation(cluster: SimulatedCluster, gate: Gate) -> Answer:
    if gate.keys:
        return Answer(cluster.table.era, cluster.run(cluster.table.get(gate.keys)))
    return Answer(cluster.table.era, cluster.write(gate.operations))


def _read_stale(cluster: SimulatedCluster, gate: Gate) -> None:
    """Answer a read from an earlier state of the table; writes are never stale."""
    if not gate.keys:
        return _execute(cluster, gate)
    era, rows = cluster.past_states[
        -1 - len(cluster.gates) % min(STALE_STATES, len(cluster.past_states))
    ]
    return gate.future.set_result(Answer(era, Ok([rows.get(key) for key in gate.keys])))


def _execute(cluster: SimulatedCluster, gate: Gate) -> None:
    gate.future.set_result(_run_operation(cluster, gate))


def _lose_answer(cluster: SimulatedCluster, gate: Gate) -> None:
    _run_operation(cluster, gate)
    gate.future.set_result(Answer(0, Err(TableError(TableErrorKind.UNCERTAIN))))


def _time_out(cluster: SimulatedCluster, gate: Gate) -> None:
    cluster.add_late_write(gate)
    gate.future.set_result(Answer(0, Err(TableError(TableErrorKind.UNCERTAIN))))


def _refuse(cluster: SimulatedCluster, gate: Gate) -> None:
    gate.future.set_result(Answer(0, Err(TableError(TableErrorKind.UNAVAILABLE))))


def _answer_later(cluster: SimulatedCluster, gate: Gate) -> None:
    result = _run_operation(cluster, gate)
    answer_gate = Gate("table-answer", gate.process, gate.future, result=result)
    cluster.gates.append(answer_gate)


def _deliver_result(cluster: SimulatedCluster, gate: Gate) -> None:
    gate.future.set_result(gate.result)


def _pass(cluster: SimulatedCluster, gate: Gate) -> None:
    gate.future.set_result("passed")


def _refuse_connection(cluster: SimulatedCluster, gate: Gate) -> None:
    gate.future.set_result("refused")


# An action that is listed several times is chosen more often.
GATE_ACTIONS = {
    "table": (
        _execute,
        _execute,
        _execute,
        _lose_answer,
        _time_out,
        _refuse,
        _answer_later,
        _read_stale,
    ),
    "table-answer": (_deliver_result, _time_out),
    "message": (_pass,),
    "send": (_pass, _pass, _refuse_connection),
    "answer": (_pass,),
}
