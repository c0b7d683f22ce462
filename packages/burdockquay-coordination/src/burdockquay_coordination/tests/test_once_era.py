"""Requests that run at most once over a return of the table from a copy, history by history."""

import pytest

from burdockquay_coordination import HOLD_S
from burdockquay_coordination._once_era import ERA_POLL_INTERVAL_S
from burdockquay_state import ClaimState

from .once_world import World


@pytest.fixture
def world():
    world = World(era=1)
    world.open_era()
    world.take_copy()
    yield world
    world.close()


def run_until_sent(world):
    """Let the request of entry 0 take effect at slot 0, and lose its claim."""
    call = world.call(0, "k0", "d0", [0])
    while not world.oracle.effects[call.name]:
        world.open_first(None)
    world.return_to_copy()
    return call


def go_on(world, paused, steps=12):
    for _ in range(steps):
        world.open_first(paused)


def repeat(world, slot, paused=("slot", 0)):
    """Repeat the request through entry 1 at a slot."""
    world.poll(1)
    call = world.call(1, "k0", "d0", [slot])
    go_on(world, paused)
    return call


def test_lost_claim_is_not_handed_out_while_its_holder_may_write_it_again(world):
    """The claim of a running request is lost, and a caller repeats it at another slot at once."""
    run_until_sent(world)
    again = repeat(world, slot=1)
    assert again.told == "not_run"
    assert world.oracle.effects.total() == 1


def test_repeat_after_the_hold_gets_the_answer_of_the_restored_claim(world):
    """The claim of a running request is lost, and a caller repeats it after its holder had time."""
    first = run_until_sent(world)
    world.restore_in_time(0)
    world.pass_time(HOLD_S)
    world.look(0)
    world.heal()
    world.pass_time(ERA_POLL_INTERVAL_S)
    again = repeat(world, slot=1, paused=None)
    assert first.told == again.told == "answer"
    assert first.answer == again.answer
    assert world.oracle.effects.total() == 1


def test_lost_outcome_is_written_again(world):
    """The table loses the answer of a request that has ended; a repeat would find it running."""
    call = world.call(0, "k0", "d0", [0])
    go_on(world, None, 4)
    world.take_copy()
    world.heal()
    assert call.told == "answer"
    world.return_to_copy()
    world.restore_in_time(0)
    assert world._read("k0").state is ClaimState.DONE


def test_outcome_that_comes_after_the_return_is_recorded(world):
    """A slot records an outcome on the version of a claim that the table has lost."""
    run_until_sent(world)
    go_on(world, None)
    assert world._read("k0").state is ClaimState.DONE
    assert world.slots[0].outcomes.lost == 0


def test_lost_claim_is_never_told_as_not_run(world):
    """An entry loses its slot and finds a cancellation of the later era in place of the claim."""
    first = run_until_sent(world)
    world.poll(1)
    world.call(1, "k0", "d0", [1])
    world.lose_peer(1)
    go_on(world, ("slot", 0))
    assert world._read("k0").state is ClaimState.CANCELLED
    world.lose_peer(0)
    go_on(world, ("slot", 0))
    assert first.told == "unknown"


def test_lost_cancellation_does_not_let_its_attempt_run(world):
    """An attempt waits in a paused slot, its caller was told that it did not run, and the table
    loses the cancellation.
    """
    call = world.call(0, "k0", "d0", [0])
    for _ in range(2):
        world.lose_peer(0)
        world.open_first(("slot", 0))
    assert call.told == "not_run"
    world.return_to_copy()
    world.heal()
    assert world.oracle.effects.total() == 0


def test_abandoned_claim_that_a_copy_brings_back_is_cancelled_again(world):
    """A slot gave a claim up, unsent, and the copy shows it running again."""
    world.call(0, "k0", "d0", [0])
    go_on(world, None, 3)
    world.take_copy()
    gate = next(gate for gate in world.gates if gate.kind == "send")
    world.open(world.gates.index(gate), 2)
    world.heal()
    world.return_to_copy()
    assert world._read("k0").state is ClaimState.RUNNING
    world.restore_in_time(0)
    assert world._read("k0").state is ClaimState.CANCELLED


def test_claim_confirmed_by_a_state_that_is_gone_is_not_sent(world):
    """The confirmation of a lost claim arrives after its slot restored its other claims."""
    world.call(0, "k0", "d0", [0])
    go_on(world, None, 2)
    world.open(0, 6)
    world.return_to_copy()
    world.slots[0].claims.table.known_era = world.table.era
    world.slots[0].claims.memory.mark_standing(world.table.era)
    world.heal()
    assert world.oracle.effects.total() == 0
    assert world.oracle.calls[0].told == "not_run"


def test_slot_that_starts_later_claims_without_a_wait(world):
    """A slot that starts in an era long after its begin would refuse its first requests."""
    world.return_to_copy()
    for slot in (0, 1):
        world.restore_in_time(slot)
    world.pass_time(HOLD_S)
    world.restore_in_time(0)
    world.look(0)
    world.heal()
    world.crash("slot", 1)
    again = repeat(world, slot=1, paused=None)
    assert again.told == "answer"


def test_open_era_of_a_copy_opens_no_later_one(world):
    """The copy brings back the row by which the earlier era was opened."""
    world.return_to_copy()
    world.restore_in_time(1)
    world.look(1)
    go_on(world, None)
    assert not world.slots[1].eras.is_open


def test_requests_of_an_unknown_era_share_one_look(world):
    """The table is slow after its return, and each attempt would wait for a look of its own."""
    world.return_to_copy()
    world.poll(0)
    for key in ("k0", "k1", "k2"):
        world.call(0, key, "d0", [1])
    for _ in range(3):
        world.open_first(None)
    assert [gate.kind for gate in world.gates] == ["table"]
    go_on(world, None)
    assert {call.told for call in world.oracle.calls} == {"not_run"}
