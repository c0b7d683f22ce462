"""At-most-once execution when the table is restored from a copy: individual histories."""

import pytest

from burdockquay_coordination import CLAIM_HOLD_S
from burdockquay_coordination._once_era import ERA_POLL_INTERVAL_S
from burdockquay_state import ClaimState

from .once_cluster import SimulatedCluster


@pytest.fixture
def cluster():
    cluster = SimulatedCluster(era=1)
    cluster.open_era()
    cluster.take_copy()
    yield cluster
    cluster.close()


def run_until_sent(cluster):
    """Run the request of entry 0 on slot 0 until it has an effect, and lose its claim."""
    call = cluster.call(0, "k0", "d0", [0])
    while not cluster.oracle.effects[call.name]:
        cluster.open_first(None)
    cluster.restore_copy()
    return call


def execute_steps(cluster, paused, steps=12):
    for _ in range(steps):
        cluster.open_first(paused)


def repeat(cluster, slot, paused=("slot", 0)):
    """Repeat the request through entry 1 on a slot."""
    cluster.poll(1)
    call = cluster.call(1, "k0", "d0", [slot])
    execute_steps(cluster, paused)
    return call


def test_lost_claim_is_not_granted_while_its_holder_may_restore_it(cluster):
    """The claim of a running request is lost, and it is repeated on another slot immediately."""
    run_until_sent(cluster)
    again = repeat(cluster, slot=1)
    assert again.reported == "not_run"
    assert cluster.oracle.effects.total() == 1


def test_repeat_after_the_hold_gets_the_answer_of_the_restored_claim(cluster):
    """The claim of a running request is lost, restored by its holder, and then repeated."""
    first = run_until_sent(cluster)
    cluster.restore_in_time(0)
    cluster.pass_time(CLAIM_HOLD_S)
    cluster.refresh_era(0)
    cluster.run_without_faults()
    cluster.pass_time(ERA_POLL_INTERVAL_S)
    again = repeat(cluster, slot=1, paused=None)
    assert first.reported == again.reported == "answer"
    assert first.answer == again.answer
    assert cluster.oracle.effects.total() == 1


def test_lost_outcome_is_restored(cluster):
    """The table loses the answer of a completed request; a repeat would find it running."""
    call = cluster.call(0, "k0", "d0", [0])
    execute_steps(cluster, None, 4)
    cluster.take_copy()
    cluster.run_without_faults()
    assert call.reported == "answer"
    cluster.restore_copy()
    cluster.restore_in_time(0)
    assert cluster._read("k0").state is ClaimState.DONE


def test_outcome_after_the_restore_is_recorded(cluster):
    """A slot records an outcome on the version of a claim that the table has lost."""
    run_until_sent(cluster)
    execute_steps(cluster, None)
    assert cluster._read("k0").state is ClaimState.DONE
    assert cluster.slots[0].outcomes.lost == 0


def test_lost_claim_is_never_reported_as_not_run(cluster):
    """An entry loses its slot and finds a cancellation of the later era instead of the claim."""
    first = run_until_sent(cluster)
    cluster.poll(1)
    cluster.call(1, "k0", "d0", [1])
    cluster.lose_peer(1)
    execute_steps(cluster, ("slot", 0))
    assert cluster._read("k0").state is ClaimState.CANCELLED
    cluster.lose_peer(0)
    execute_steps(cluster, ("slot", 0))
    assert first.reported == "unknown"


def test_lost_cancellation_does_not_let_its_attempt_run(cluster):
    """An attempt waits in a paused slot, it was reported as not run to its caller, and the table
    loses the cancellation.
    """
    call = cluster.call(0, "k0", "d0", [0])
    for _ in range(2):
        cluster.lose_peer(0)
        cluster.open_first(("slot", 0))
    assert call.reported == "not_run"
    cluster.restore_copy()
    cluster.run_without_faults()
    assert cluster.oracle.effects.total() == 0


def test_abandoned_claim_that_a_copy_contains_is_cancelled_again(cluster):
    """A slot abandoned a claim without sending, and the copy shows it running again."""
    cluster.call(0, "k0", "d0", [0])
    execute_steps(cluster, None, 3)
    cluster.take_copy()
    gate = next(gate for gate in cluster.gates if gate.kind == "send")
    cluster.open(cluster.gates.index(gate), 2)
    cluster.run_without_faults()
    cluster.restore_copy()
    assert cluster._read("k0").state is ClaimState.RUNNING
    cluster.restore_in_time(0)
    assert cluster._read("k0").state is ClaimState.CANCELLED


def test_claim_confirmed_before_the_restore_is_not_sent(cluster):
    """The confirmation of a lost claim arrives after its slot has restored its other claims."""
    cluster.call(0, "k0", "d0", [0])
    execute_steps(cluster, None, 2)
    cluster.open(0, 6)
    cluster.restore_copy()
    cluster.slots[0].claims.table.known_era = cluster.table.era
    cluster.slots[0].claims.recent_claims.mark_present(cluster.table.era)
    cluster.run_without_faults()
    assert cluster.oracle.effects.total() == 0
    assert cluster.oracle.calls[0].reported == "not_run"


def test_slot_that_starts_later_claims_without_a_delay(cluster):
    """A slot that starts long after the begin of an era must not reject its first requests."""
    cluster.restore_copy()
    for slot in (0, 1):
        cluster.restore_in_time(slot)
    cluster.pass_time(CLAIM_HOLD_S)
    cluster.restore_in_time(0)
    cluster.refresh_era(0)
    cluster.run_without_faults()
    cluster.crash("slot", 1)
    again = repeat(cluster, slot=1, paused=None)
    assert again.reported == "answer"


def test_open_era_row_of_a_copy_opens_no_later_era(cluster):
    """The copy contains the row that permits claims in the earlier era."""
    cluster.restore_copy()
    cluster.restore_in_time(1)
    cluster.refresh_era(1)
    execute_steps(cluster, None)
    assert not cluster.slots[1].eras.is_open


def test_requests_of_an_unknown_era_share_one_read(cluster):
    """The table is slow after its restore, and each attempt would wait for its own read."""
    cluster.restore_copy()
    cluster.poll(0)
    for key in ("k0", "k1", "k2"):
        cluster.call(0, key, "d0", [1])
    for _ in range(3):
        cluster.open_first(None)
    assert [gate.kind for gate in cluster.gates] == ["table"]
    execute_steps(cluster, None)
    assert {call.reported for call in cluster.oracle.calls} == {"not_run"}
