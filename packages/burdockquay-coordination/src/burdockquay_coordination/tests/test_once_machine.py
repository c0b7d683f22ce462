"""At-most-once execution, in random orders of steps and faults."""

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from result import Ok

from burdockquay_state import CancelOutcome, Claim, ClaimRow, ClaimState, ClaimStore, TableErrorKind

from .once_cluster import RETENTION_S, OracleError, SimulatedCluster

KEYS = st.sampled_from(["k0", "k0", "k1"])
DIGESTS = st.sampled_from(["d0", "d0", "d0", "d1"])
TWO = st.integers(0, 1)
MANY = st.integers(0, 11)
STEPS_S = st.sampled_from([1.0, 1.0, 1.0, 61.0, 3601.0, RETENTION_S + 1.0])
PAUSED = st.sampled_from([None, ("slot", 0), ("slot", 0), ("slot", 1), ("entry", 0), ("entry", 1)])


class OnceMachine(RuleBasedStateMachine):
    """Calls, pauses, lost messages and crashes in any order."""

    claim_store = ClaimStore
    checks_rows = True

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster(self.claim_store)

    @rule(entry=TWO, key=KEYS, digest=DIGESTS, slots=st.sampled_from([[0], [0, 1], [1, 0]]))
    def call(self, entry, key, digest, slots):
        self.cluster.call(entry, key, digest, slots)

    @rule(index=MANY, action=MANY)
    def open_gate(self, index, action):
        self.cluster.open(index, action)

    @rule(paused=PAUSED, count=st.integers(1, 12))
    def execute_steps(self, paused, count):
        for _ in range(count):
            self.cluster.open_first(paused)

    @rule(index=MANY)
    def lose_peer(self, index):
        self.cluster.lose_peer(index)

    @rule(index=MANY)
    def inject_late_write(self, index):
        self.cluster.inject_late_write(index)

    @rule(role=st.sampled_from(["slot", "slot", "entry"]), index=TWO)
    def crash(self, role, index):
        self.cluster.crash(role, index)

    @rule(seconds=STEPS_S)
    def wait(self, seconds):
        self.cluster.now += seconds

    @rule()
    def sweep(self):
        self.cluster.sweep()

    @invariant()
    def results_match_effects(self):
        self.cluster.oracle.check()

    def teardown(self):
        try:
            self.cluster.run_without_faults()
            if self.checks_rows:
                self.cluster.check_rows()
        finally:
            self.cluster.close()


def run_machine(claim_store, number, examples, steps=60, phases=(Phase.generate,)):
    """Run the machine over ``examples`` histories generated from the seed ``number``."""
    machine = type(f"OnceMachine{claim_store.__name__}", (OnceMachine,), {})
    machine.claim_store = claim_store
    machine.checks_rows = claim_store is ClaimStore
    chosen = settings(
        max_examples=examples, stateful_step_count=steps, derandomize=False, phases=phases
    )
    run_state_machine_as_test(seed(number)(machine), settings=chosen)


def test_invariants_hold_in_every_history():
    """A slot pauses, crashes or loses the table between any two of its steps, while the caller
    repeats its request through another entry. The request must not run twice, nor run although it
    was reported as not run.
    """
    run_machine(ClaimStore, number=5, examples=150)


class WithoutClaim(ClaimStore):
    """Permits every attempt without a write."""

    async def claim(self, request, now):
        row = ClaimRow(
            state=ClaimState.RUNNING,
            attempt=request.attempt,
            attempt_id=request.attempt_id,
            incarnation=request.incarnation,
            digest=request.digest,
            not_after=request.not_after,
            written_at=now,
            version=request.expected_version,
        )
        return Ok(Claim(request.organisation, request.key, row))


class WithoutCancel(ClaimStore):
    """Reads instead of writing: an unchanged row counts as cancelled."""

    async def cancel(self, organisation, key, expected_version, digest, now):
        found = await self.read(organisation, key)
        if found.is_err():
            return found
        row = found.ok()
        if row is not None and row.version != expected_version:
            return Ok(CancelOutcome(False, row))
        unchanged = ClaimRow(
            ClaimState.CANCELLED, 0, "", "", digest, 0.0, now, version=expected_version
        )
        return Ok(CancelOutcome(True, unchanged))


class WithoutReadBack(ClaimStore):
    """Assumes that a write without a confirmation took effect."""

    async def _write(self, row_key, row, expected_version):
        written = await super()._write(row_key, row, expected_version)
        if written.is_err() and written.err().kind is TableErrorKind.UNCERTAIN:
            return Ok(expected_version + 1)
        return written

    async def _read_back(self, row_key, row, expected_version):
        return Ok(expected_version + 1)


@pytest.mark.parametrize("mutation", [WithoutClaim, WithoutCancel, WithoutReadBack])
def test_oracle_detects_each_removed_part(mutation):
    """If the claim, the cancellation or the read-back were removed, two slots could run one
    request. The oracle must detect that, otherwise the test of the invariants is no evidence.
    """
    with pytest.raises(
        OracleError, match="had an effect and was reported as not run|effects of key"
    ):
        run_machine(mutation, number=2, examples=2000)


def test_row_written_late_by_a_paused_entry_still_prevents_an_attempt():
    """An entry is paused for a day just before it cancels, so that its row has an old time and
    expires immediately. The caller would get the answer that the key was reused and nothing ran,
    and the request would run when a paused slot resumes after the row has expired.
    """
    cluster = SimulatedCluster()
    cluster.call(0, "k0", "d1", [0])
    cluster.lose_peer(0)
    cluster.now += RETENTION_S + 1.0
    cluster.call(0, "k0", "d0", [0, 1])
    cluster.lose_peer(0)
    for _ in range(4):
        cluster.open_first(("slot", 1))
    cluster.sweep()
    cluster.run_without_faults()
    cluster.close()


def test_entry_paused_until_the_row_expired_does_not_report_not_run():
    """An entry loses its slot and is paused for a day before it reads the table. The request has
    run, and its row has expired, so that the table has no trace of it.
    """
    cluster = SimulatedCluster()
    cluster.call(0, "k0", "d0", [0])
    cluster.lose_peer(0)
    for _ in range(8):
        cluster.open_first(("entry", 0))
    assert cluster.oracle.effects.total() == 1
    cluster.now += RETENTION_S + 1.0
    cluster.sweep()
    cluster.run_without_faults()
    assert cluster.oracle.calls[0].reported == "unknown"
    cluster.close()


def test_slot_paused_until_the_cancellation_expired_does_not_run():
    """A slot is paused for a day with an attempt in its socket. The attempt was reported as not
    run, the cancelled row has expired, and the attempt finds no row, as it expects.
    """
    cluster = SimulatedCluster()
    cluster.call(0, "k0", "d0", [0])
    for _ in range(2):
        cluster.lose_peer(0)
        cluster.open_first(("slot", 0))
    assert cluster.oracle.calls[0].reported == "not_run"
    cluster.now += RETENTION_S + 1.0
    cluster.sweep()
    cluster.run_without_faults()
    assert cluster.oracle.effects.total() == 0
    cluster.close()
