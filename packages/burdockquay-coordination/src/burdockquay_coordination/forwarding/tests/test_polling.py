"""Which processes poll the platform, and when the others poll too."""

import random

import pytest

from burdockquay_coordination.forwarding import (
    POLLERS_PER_TABLE,
    ChangeContinuity,
    PollSchedule,
    Switches,
    is_poller,
)

WAIT_S = 2.0
INTERVAL_S = WAIT_S / POLLERS_PER_TABLE
"""Time between two confirmations while all pollers are in touch, seconds."""


@pytest.fixture
def poll_schedule():
    """Return the schedule of a process that is no poller and receives updates from peers."""
    poll_schedule = PollSchedule(random.Random(1))
    poll_schedule.is_poller = False
    poll_schedule.confirm_by_peer(10.0, 10.0)
    return poll_schedule


def test_hundreds_of_processes_have_few_pollers_that_differ_by_table():
    """Every process of a large fleet requests what its peers have just received.

    The platform limits and charges calls, whose number grew with the processes to no benefit.
    """
    names = [f"process-{number}" for number in range(300)]
    pollers = {
        table: {me for me in names if is_poller(table, me, set(names) - {me})}
        for table in ("configuration", "upstreams")
    }
    assert [len(found) for found in pollers.values()] == [3, 3]
    assert len(set.union(*pollers.values())) > 3


def test_another_process_replaces_a_lost_poller():
    names = {f"process-{number}" for number in range(30)}
    lost = {me for me in names if is_poller("t", me, names - {me})}
    left = names - lost
    assert sum(is_poller("t", me, left - {me}) for me in left) == 3


def test_process_that_receives_no_updates_polls_by_itself(poll_schedule):
    """All pollers are cut off from the others, whose connections to them stay open for seconds."""
    assert not poll_schedule.is_due(10.0 + 1.4 * INTERVAL_S, WAIT_S)
    assert poll_schedule.is_due(10.0 + 1.75 * INTERVAL_S, WAIT_S)
    assert poll_schedule.hold_s(13.0, WAIT_S) == 0.0, "the answer is needed at once"


def test_process_that_had_to_poll_substitutes_for_lost_pollers(poll_schedule):
    poll_schedule.record_answer(13.0, 13.0, WAIT_S)
    assert poll_schedule.polls(13.1)
    poll_schedule.confirm_by_peer(23.0, 23.0)
    assert not poll_schedule.polls(23.1), "other processes poll again"


def test_processes_that_receive_no_updates_do_not_poll_at_the_same_time():
    """Hundreds of processes would poll at the same moment and be rejected as too many."""
    rng = random.Random(1)
    schedules = [PollSchedule(rng) for _ in range(100)]
    for poll_schedule in schedules:
        poll_schedule.is_poller = False
        poll_schedule.confirm_by_peer(0.0, 0.0)
    due = sum(poll_schedule.is_due(1.5 * INTERVAL_S, WAIT_S) for poll_schedule in schedules)
    assert 0 < due < 50


def test_process_requests_missed_changes_at_once(poll_schedule):
    """A process connects to a poller just after the poller has broadcast a change."""
    assert poll_schedule.classify_changes(known=5, after=7, upto=9) is ChangeContinuity.GAP
    assert poll_schedule.is_due(10.0, WAIT_S)
    assert not poll_schedule.broadcasts_answer(
        10.0, WAIT_S
    ), "each of hundreds would broadcast to all others"
    poll_schedule.record_answer(10.0, 10.0, WAIT_S)
    assert not poll_schedule.is_due(10.1, WAIT_S)
    assert not poll_schedule.polls(10.1), "other processes poll and broadcast"


@pytest.mark.parametrize(
    ("after", "upto", "expected"),
    [
        (3, 5, ChangeContinuity.KNOWN),
        (5, 5, ChangeContinuity.KNOWN),
        (3, 8, ChangeContinuity.NEXT),
        (5, 8, ChangeContinuity.NEXT),
        (6, 8, ChangeContinuity.GAP),
        (8, 8, ChangeContinuity.GAP),
    ],
)
def test_changes_are_applied_only_if_there_is_no_gap_before_them(
    poll_schedule, after, upto, expected
):
    assert poll_schedule.classify_changes(5, after, upto) is expected


def test_rejected_poller_leaves_polling_to_the_others(poll_schedule):
    """The platform rejects some processes and serves the others.

    The rejected ones sent several requests per second, each of them charged, although they received
    the answers from peers.
    """
    poll_schedule.is_poller = True
    poll_schedule.record_no_answer(11.0)
    assert not poll_schedule.is_due(11.1, WAIT_S)
    poll_schedule.confirm_by_peer(13.0, 13.0)
    assert poll_schedule.next_due_at(13.0, WAIT_S) == 14.0
    assert poll_schedule.is_due(14.0, WAIT_S), "the platform may answer again by now"


def test_process_without_peers_retries_at_once_after_a_failure():
    poll_schedule = PollSchedule(random.Random(1))
    poll_schedule.record_no_answer(1.0)
    assert poll_schedule.is_due(1.0, WAIT_S)


def test_every_process_polls_while_the_mechanism_is_off(poll_schedule):
    poll_schedule.switches = Switches(["shared_polls"])
    assert poll_schedule.is_due(10.0, WAIT_S)
    assert poll_schedule.hold_s(10.0, WAIT_S) == WAIT_S


def test_failure_of_one_process_ends_with_an_update_of_a_peer(poll_schedule):
    """Guards against sending work to removed upstreams while the platform rejects one process."""
    poll_schedule.record_no_answer(11.0)
    poll_schedule.confirm_by_peer(11.1, 11.2)
    poll_schedule.record_answer(14.0, 14.0, WAIT_S)
    assert poll_schedule.steady_s(14.0) == pytest.approx(2.9)


def test_old_update_does_not_end_a_failure(poll_schedule):
    """Guards against dropping all upstreams whose entries expired in an outage."""
    poll_schedule.record_no_answer(11.0)
    poll_schedule.confirm_by_peer(10.9, 11.2)
    poll_schedule.record_answer(14.0, 14.0, WAIT_S)
    assert poll_schedule.steady_s(14.0) == 0.0


def count_failed_requests(processes, seconds):
    """Return the requests for one table that all processes send while none is answered."""
    rng = random.Random(7)
    schedules = [PollSchedule(rng) for _ in range(processes)]
    for number, poll_schedule in enumerate(schedules):
        poll_schedule.is_poller = number < 3
        poll_schedule.processes = processes
        poll_schedule.confirm_by_peer(0.0, 0.0)
    retry_at = [0.0] * processes
    count = 0
    for tick in range(round(seconds / 0.05)):
        now = tick * 0.05
        for number, poll_schedule in enumerate(schedules):
            if now >= retry_at[number] and poll_schedule.is_due(now, WAIT_S):
                count += 1
                poll_schedule.record_no_answer(now)
                # The caller pauses between 0.3 and 0.6 s after each failure.
                retry_at[number] = now + rng.uniform(0.3, 0.6)
    return count


@pytest.mark.parametrize("processes", [31, 300])
def test_outage_of_the_store_is_not_polled_by_all_processes(processes):
    """Guards against a charge for refused calls that grows with the processes."""
    seconds = 10.0
    pollers = 3 * seconds / 0.3
    assert count_failed_requests(processes, seconds) <= pollers + 11 * seconds + processes


def test_small_fleet_polls_an_outage_as_often_as_before():
    """Guards against late recovery where few processes poll."""
    assert count_failed_requests(4, 10.0) >= 4 * (10.0 - 1.5 * WAIT_S) / 0.65


def test_process_polls_at_once_when_a_peer_shows_the_recovery(poll_schedule):
    """Guards against data that stays old for the pause after a failure."""
    poll_schedule.processes = 300
    poll_schedule.record_no_answer(13.0)
    assert not poll_schedule.is_due(14.0, WAIT_S)
    poll_schedule.confirm_by_peer(14.5, 14.5)
    assert poll_schedule.next_due_at(14.5, WAIT_S) < 14.5 + 1.6 * WAIT_S
