"""At-most-once execution while the table is restored from copies, in random orders of steps."""

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, seed, settings
from hypothesis.stateful import precondition, rule, run_state_machine_as_test
from result import Ok

from burdockquay_coordination import CLAIM_HOLD_S, AtMostOnceResolver, ClaimEra
from burdockquay_state import ClaimStore, MemoryTable, RewriteOutcome, number_of

from .once_cluster import OracleError, SimulatedCluster
from .test_once_machine import KEYS, MANY, TWO, OnceMachine

SHORT_S = st.sampled_from([0.5, 1.0, CLAIM_HOLD_S])


class OnceEraMachine(OnceMachine):
    """The steps of :class:`OnceMachine`, and copies of the table and restores from them."""

    claim_era = ClaimEra
    resolver = AtMostOnceResolver
    table = MemoryTable

    def __init__(self):
        super().__init__()
        self.cluster.close()
        self.cluster = SimulatedCluster(
            self.claim_store, self.claim_era, self.resolver, self.table, era=1
        )
        self.cluster.open_era()

    @rule()
    def copy(self):
        self.cluster.take_copy()

    @rule()
    def return_to_copy(self):
        self.cluster.restore_copy()

    @rule(slot=TWO)
    def look_up_era(self, slot):
        self.cluster.refresh_era(slot)

    @rule(slot=TWO)
    def restore_in_time(self, slot):
        self.cluster.restore_in_time(slot)

    @rule(slots=st.sampled_from([[0, 1], [0, 1], [0], [1], []]))
    def return_and_reopen(self, slots):
        """The slots that reach the table restore their claims; then the hold time passes."""
        self.cluster.restore_copy()
        for slot in slots:
            self.cluster.restore_in_time(slot)
        self.cluster.pass_time(CLAIM_HOLD_S)
        for slot in slots:
            self.cluster.refresh_era(slot)

    @rule(entry=TWO)
    def poll(self, entry):
        self.cluster.poll(entry)

    @rule(slot=TWO, key=KEYS, steps=st.integers(2, 8))
    def lose_steps_of_a_slot(self, slot, key, steps):
        """A request makes some steps on a slot before the table loses its rows."""
        self.cluster.poll(0)
        self.cluster.take_copy()
        self.cluster.call(0, key, "d0", [slot])
        for _ in range(steps):
            self.cluster.open_first(("slot", 1 - slot))
        self.cluster.restore_copy()

    @precondition(lambda self: self.cluster.lost_claims)
    @rule(slot=TWO, entry=TWO, gives_up=st.booleans())
    def repeat_while_a_slot_is_paused(self, slot, entry, gives_up):
        """A caller repeats the last request while the slot that may have claimed it is paused."""
        call = self.cluster.oracle.calls[-1]
        self.cluster.poll(entry)
        self.cluster.call(entry, call.key, call.digest, [1 - slot])
        if gives_up:
            self.cluster.lose_peer(-1)
        for _ in range(10):
            self.cluster.open_first(("slot", slot))

    @precondition(lambda self: self.cluster.lost_claims)
    @rule(index=MANY, slot=TWO, entry=TWO, is_repeated=st.booleans())
    def lose_peer_after_return(self, index, slot, entry, is_repeated):
        """An entry loses its slot and settles the attempt beside an abandoned repeat."""
        if is_repeated:
            self.repeat_while_a_slot_is_paused(slot, entry, gives_up=True)
        self.cluster.lose_peer(index)
        for _ in range(12):
            self.cluster.open_first(None)

    @rule(seconds=SHORT_S)
    def wait_shortly(self, seconds):
        self.cluster.pass_time(seconds)

    @rule(seconds=st.sampled_from([61.0, 3601.0]))
    def wait(self, seconds):
        self.cluster.pass_time(seconds)


def run_era_machine(number, examples, steps=50, phases=(Phase.generate,), **broken):
    """Run the machine over ``examples`` histories generated from the seed ``number``."""
    machine = type("OnceEraMachine", (OnceEraMachine,), broken)
    machine.checks_rows = not broken
    chosen = settings(
        max_examples=examples, stateful_step_count=steps, derandomize=False, phases=phases
    )
    run_state_machine_as_test(seed(number)(machine), settings=chosen)


def test_invariants_hold_in_every_history_with_restores():
    """The table loses a claim, a cancellation or an outcome between any two steps. A request must
    not run twice, nor run although it was reported as not run.
    """
    run_era_machine(number=7, examples=150)


class WithoutRestore(ClaimStore):
    """Assumes that the table still has every remembered row."""

    async def rewrite_row(self, row_key, row, current):
        return Ok(RewriteOutcome.PRESENT)


class NumbersTable(MemoryTable):
    """Compares versions by their numbers, regardless of their eras."""

    def _holds(self, operation):
        if operation.expected_version is None:
            return True
        row = self._rows.get(operation.key)
        number = number_of(row.version) if row else 0
        return number == number_of(operation.expected_version)


class WithoutHold(ClaimEra):
    """Makes claims in a new era before other slots had time to restore theirs."""

    async def _open_when_due(self, era, row):
        self._open_era = era


class WithoutEraInAnswers(AtMostOnceResolver):
    """Accepts a row of a later era as evidence about an attempt of an earlier one."""

    async def _interpret_row_of_later_era(self, ticket, row, now):
        return await self._interpret_row(ticket, row, now)


BROKEN = {
    "restore": {"claim_store": WithoutRestore},
    "hold": {"claim_era": WithoutHold},
    "answers": {"resolver": WithoutEraInAnswers},
    "conditions": {"table": NumbersTable},
}


@pytest.mark.parametrize("part", BROKEN)
def test_oracle_finds_each_part_against_returns_that_is_taken_out(part):
    """If the restore, the hold time or the check of the era were removed, a request could run
    twice after the table is restored. The oracle must detect that.
    """
    with pytest.raises(
        OracleError, match="had an effect and was reported as not run|effects of key"
    ):
        run_era_machine(number=3, examples=2000, **BROKEN[part])
