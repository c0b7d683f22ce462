"""Requests that run at most once, against every order of steps and faults hypothesis finds."""

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test
from result import Ok

from burdockquay_state import CancelOutcome, Claim, ClaimRow, ClaimState, ClaimStore, TableErrorKind

from .once_world import RETENTION_S, OracleError, World

KEYS = st.sampled_from(["k0", "k0", "k1"])
DIGESTS = st.sampled_from(["d0", "d0", "d0", "d1"])
TWO = st.integers(0, 1)
MANY = st.integers(0, 11)
STEPS_S = st.sampled_from([1.0, 1.0, 1.0, 61.0, 3601.0, RETENTION_S + 1.0])
PAUSED = st.sampled_from([None, ("slot", 0), ("slot", 0), ("slot", 1), ("entry", 0), ("entry", 1)])


class OnceMachine(RuleBasedStateMachine):
    """Callers, pauses, lost messages and crashes in any order."""

    claim_store = ClaimStore
    checks_rows = True

    def __init__(self):
        super().__init__()
        self.world = World(self.claim_store)

    @rule(entry=TWO, key=KEYS, digest=DIGESTS, slots=st.sampled_from([[0], [0, 1], [1, 0]]))
    def call(self, entry, key, digest, slots):
        self.world.call(entry, key, digest, slots)

    @rule(index=MANY, action=MANY)
    def open_gate(self, index, action):
        self.world.open(index, action)

    @rule(paused=PAUSED, count=st.integers(1, 12))
    def go_on(self, paused, count):
        for _ in range(count):
            self.world.open_first(paused)

    @rule(index=MANY)
    def lose_peer(self, index):
        self.world.lose_peer(index)

    @rule(index=MANY)
    def land_late(self, index):
        self.world.land_late(index)

    @rule(role=st.sampled_from(["slot", "slot", "entry"]), index=TWO)
    def crash(self, role, index):
        self.world.crash(role, index)

    @rule(seconds=STEPS_S)
    def wait(self, seconds):
        self.world.now += seconds

    @rule()
    def sweep(self):
        self.world.sweep()

    @invariant()
    def callers_were_told_the_truth(self):
        self.world.oracle.check()

    def teardown(self):
        try:
            self.world.heal()
            if self.checks_rows:
                self.world.check_rows()
        finally:
            self.world.close()


def run_machine(claim_store, number, examples, steps=60, phases=(Phase.generate,)):
    """Run the machine over ``examples`` histories drawn from the seed ``number``."""
    machine = type(f"OnceMachine{claim_store.__name__}", (OnceMachine,), {})
    machine.claim_store = claim_store
    machine.checks_rows = claim_store is ClaimStore
    chosen = settings(
        max_examples=examples, stateful_step_count=steps, derandomize=False, phases=phases
    )
    run_state_machine_as_test(seed(number)(machine), settings=chosen)


def test_every_history_keeps_the_promises():
    """A slot pauses, crashes or loses the table between any two of its steps, while the caller
    repeats its request through another entry. A user would find a chapel booked twice, or booked
    although the caller was told that nothing ran.
    """
    run_machine(ClaimStore, number=5, examples=150)


class WithoutClaim(ClaimStore):
    """Lets every attempt through without a write."""

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
    """Reads instead of writing: a row that is unchanged counts as cancelled."""

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
    """Takes a write whose confirmation was lost for one that took effect."""

    async def _write(self, row_key, row, expected_version):
        written = await super()._write(row_key, row, expected_version)
        if written.is_err() and written.err().kind is TableErrorKind.UNCERTAIN:
            return Ok(expected_version + 1)
        return written

    async def _read_back(self, row_key, row, expected_version):
        return Ok(expected_version + 1)


@pytest.mark.parametrize("mutation", [WithoutClaim, WithoutCancel, WithoutReadBack])
def test_oracle_finds_each_part_that_is_taken_out(mutation):
    """If the claim, the cancellation or the read-back were lost in a change of the code, two
    slots could run one request. The oracle has to notice, or the test above proves nothing.
    """
    with pytest.raises(OracleError, match="had an effect and was told|effects of key"):
        run_machine(mutation, number=2, examples=2000)


def test_row_written_late_by_a_paused_entry_still_shuts_out_an_attempt():
    """An entry is paused for a day right before it cancels, so that its row bears an old time and
    expires at once. A user would be told that the key was used before and nothing ran, and the
    request would run when a paused slot wakes after the row is gone.
    """
    world = World()
    world.call(0, "k0", "d1", [0])
    world.lose_peer(0)
    world.now += RETENTION_S + 1.0
    world.call(0, "k0", "d0", [0, 1])
    world.lose_peer(0)
    for _ in range(4):
        world.open_first(("slot", 1))
    world.sweep()
    world.heal()
    world.close()


def test_entry_paused_until_the_row_expired_does_not_say_not_run():
    """An entry loses its slot and is paused for a day before it asks the table. The request ran,
    its row expired, and the table looks as if nothing had happened.
    """
    world = World()
    world.call(0, "k0", "d0", [0])
    world.lose_peer(0)
    for _ in range(8):
        world.open_first(("entry", 0))
    assert world.oracle.effects.total() == 1
    world.now += RETENTION_S + 1.0
    world.sweep()
    world.heal()
    assert world.oracle.calls[0].told == "unknown"
    world.close()


def test_slot_paused_until_the_cancellation_expired_does_not_run():
    """A slot is paused for a day with an attempt in its socket. The caller heard that it was not
    run, the cancelled row has expired, and the attempt finds no row, as it expects.
    """
    world = World()
    world.call(0, "k0", "d0", [0])
    for _ in range(2):
        world.lose_peer(0)
        world.open_first(("slot", 0))
    assert world.oracle.calls[0].told == "not_run"
    world.now += RETENTION_S + 1.0
    world.sweep()
    world.heal()
    assert world.oracle.effects.total() == 0
    world.close()
