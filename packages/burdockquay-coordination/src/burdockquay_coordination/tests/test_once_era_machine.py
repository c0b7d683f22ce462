"""Requests that run at most once while the table returns from copies, in every order of steps."""

import hypothesis.strategies as st
import pytest
from hypothesis import Phase, seed, settings
from hypothesis.stateful import precondition, rule, run_state_machine_as_test
from result import Ok

from burdockquay_coordination import HOLD_S, ClaimEra, OnceResolver
from burdockquay_state import ClaimStore, MemoryTable, Rewrite, number_of

from .once_world import OracleError, World
from .test_once_machine import KEYS, MANY, TWO, OnceMachine

SHORT_S = st.sampled_from([0.5, 1.0, HOLD_S])


class OnceEraMachine(OnceMachine):
    """The steps of :class:`OnceMachine`, with copies of the table and returns to them."""

    claim_era = ClaimEra
    resolver = OnceResolver
    table = MemoryTable

    def __init__(self):
        super().__init__()
        self.world.close()
        self.world = World(self.claim_store, self.claim_era, self.resolver, self.table, era=1)
        self.world.open_era()

    @rule()
    def copy(self):
        self.world.take_copy()

    @rule()
    def return_to_copy(self):
        self.world.return_to_copy()

    @rule(slot=TWO)
    def look(self, slot):
        self.world.look(slot)

    @rule(slot=TWO)
    def restore_in_time(self, slot):
        self.world.restore_in_time(slot)

    @rule(slots=st.sampled_from([[0, 1], [0, 1], [0], [1], []]))
    def return_and_reopen(self, slots):
        """The slots that reach the table restore their claims; then the hold passes."""
        self.world.return_to_copy()
        for slot in slots:
            self.world.restore_in_time(slot)
        self.world.pass_time(HOLD_S)
        for slot in slots:
            self.world.look(slot)

    @rule(entry=TWO)
    def poll(self, entry):
        self.world.poll(entry)

    @rule(slot=TWO, key=KEYS, steps=st.integers(2, 8))
    def lose_what_a_slot_does(self, slot, key, steps):
        """A request goes some way at a slot before the table forgets it."""
        self.world.poll(0)
        self.world.take_copy()
        self.world.call(0, key, "d0", [slot])
        for _ in range(steps):
            self.world.open_first(("slot", 1 - slot))
        self.world.return_to_copy()

    @precondition(lambda self: self.world.lost)
    @rule(slot=TWO, entry=TWO, gives_up=st.booleans())
    def repeat_while_a_slot_is_paused(self, slot, entry, gives_up):
        """A caller repeats the last request while the slot that may hold it is paused."""
        call = self.world.oracle.calls[-1]
        self.world.poll(entry)
        self.world.call(entry, call.key, call.digest, [1 - slot])
        if gives_up:
            self.world.lose_peer(-1)
        for _ in range(10):
            self.world.open_first(("slot", slot))

    @precondition(lambda self: self.world.lost)
    @rule(index=MANY, slot=TWO, entry=TWO, is_repeated=st.booleans())
    def lose_peer_after_return(self, index, slot, entry, is_repeated):
        """An entry loses its slot and settles the attempt beside a repeat that was given up."""
        if is_repeated:
            self.repeat_while_a_slot_is_paused(slot, entry, gives_up=True)
        self.world.lose_peer(index)
        for _ in range(12):
            self.world.open_first(None)

    @rule(seconds=SHORT_S)
    def wait_shortly(self, seconds):
        self.world.pass_time(seconds)

    @rule(seconds=st.sampled_from([61.0, 3601.0]))
    def wait(self, seconds):
        self.world.pass_time(seconds)


def run_era_machine(number, examples, steps=50, phases=(Phase.generate,), **broken):
    """Run the machine over ``examples`` histories drawn from the seed ``number``."""
    machine = type("OnceEraMachine", (OnceEraMachine,), broken)
    machine.checks_rows = not broken
    chosen = settings(
        max_examples=examples, stateful_step_count=steps, derandomize=False, phases=phases
    )
    run_state_machine_as_test(seed(number)(machine), settings=chosen)


def test_every_history_with_returns_keeps_the_promises():
    """The table loses a claim, a cancellation or an outcome between any two steps. A user would
    find a chapel booked twice, or booked although the caller was told that nothing ran.
    """
    run_era_machine(number=7, examples=150)


class WithoutRestore(ClaimStore):
    """Takes every remembered row for one that the table still has."""

    async def write_again(self, row_key, row, current):
        return Ok(Rewrite.STANDING)


class NumbersTable(MemoryTable):
    """Compares versions by their numbers, whatever their eras."""

    def _holds(self, operation):
        if operation.expected_version is None:
            return True
        row = self._rows.get(operation.key)
        number = number_of(row.version) if row else 0
        return number == number_of(operation.expected_version)


class WithoutHold(ClaimEra):
    """Makes claims in a new era before the other holders had their time."""

    async def _open_when_due(self, era, row):
        self._open_era = era


class WithoutEraInAnswers(OnceResolver):
    """Takes a row of a later era for an answer to an attempt of an earlier one."""

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
    """If the restoring, the hold or the look at the era were lost in a change of the code, a
    request could run twice after a return. The oracle has to notice.
    """
    with pytest.raises(OracleError, match="had an effect and was told|effects of key"):
        run_era_machine(number=3, examples=2000, **BROKEN[part])
