"""Which processes ask the platform, and when the others ask too."""

import random

import pytest

from burdockquay_coordination.forwarding import Fit, PollTurn, Switches, is_poller

WAIT_S = 2.0


@pytest.fixture
def turn():
    """The turn of a process that others tell what they hear."""
    turn = PollTurn(random.Random(1))
    turn.is_poller = False
    turn.confirm_by_peer(10.0, 10.0)
    return turn


def test_hundreds_of_processes_have_few_pollers_and_other_ones_for_each_table():
    """Every process of a large fleet asks for what its neighbours have just heard.

    The platform limits and charges calls: they grew with the processes and gained nobody anything.
    """
    names = [f"process-{number}" for number in range(300)]
    pollers = {
        table: {me for me in names if is_poller(table, me, set(names) - {me})}
        for table in ("configuration", "upstreams")
    }
    assert [len(found) for found in pollers.values()] == [3, 3]
    assert len(set.union(*pollers.values())) > 3


def test_another_process_takes_the_place_of_a_lost_poller():
    names = {f"process-{number}" for number in range(30)}
    lost = {me for me in names if is_poller("t", me, names - {me})}
    left = names - lost
    assert sum(is_poller("t", me, left - {me}) for me in left) == 3


def test_process_that_nobody_tells_anything_asks_by_itself(turn):
    """All pollers are cut off from the others, whose connections to them stay open for seconds."""
    assert not turn.is_due(10.0 + WAIT_S, WAIT_S)
    assert turn.is_due(10.0 + 1.5 * WAIT_S, WAIT_S)
    assert turn.hold_s(13.0, WAIT_S) == 0.0, "the answer is wanted at once"


def test_process_that_had_to_ask_polls_in_place_of_the_lost_ones(turn):
    turn.succeed(13.0, 13.0, WAIT_S)
    assert turn.polls(13.1)
    turn.confirm_by_peer(23.0, 23.0)
    assert not turn.polls(23.1), "the others poll again"


def test_processes_that_nobody_tells_anything_do_not_ask_together():
    """All of hundreds of processes would ask in the same moment, and be turned away as too many."""
    rng = random.Random(1)
    turns = [PollTurn(rng) for _ in range(100)]
    for turn in turns:
        turn.is_poller = False
        turn.confirm_by_peer(0.0, 0.0)
    due = sum(turn.is_due(1.25 * WAIT_S, WAIT_S) for turn in turns)
    assert 0 < due < 50


def test_process_asks_at_once_for_what_it_missed(turn):
    """A process connects to a poller that has told the others of a change a moment before."""
    assert turn.judge(known=5, after=7, upto=9) is Fit.GAP
    assert turn.is_due(10.0, WAIT_S)
    assert not turn.tells(10.0, WAIT_S), "each of hundreds would tell all others"
    turn.succeed(10.0, 10.0, WAIT_S)
    assert not turn.is_due(10.1, WAIT_S)
    assert not turn.polls(10.1), "others poll and tell"


@pytest.mark.parametrize(
    ("after", "upto", "expected"),
    [
        (3, 5, Fit.KNOWN),
        (5, 5, Fit.KNOWN),
        (3, 8, Fit.NEXT),
        (5, 8, Fit.NEXT),
        (6, 8, Fit.GAP),
        (8, 8, Fit.GAP),
    ],
)
def test_changes_are_taken_only_if_none_is_left_out_before_them(turn, after, upto, expected):
    assert turn.judge(5, after, upto) is expected


def test_poller_that_is_turned_away_leaves_the_asking_to_the_others(turn):
    """The platform turns some processes away and serves the others.

    Their questions came several times a second, each charged, though the others told the answer.
    """
    turn.is_poller = True
    turn.fail(11.0)
    assert not turn.is_due(11.1, WAIT_S)
    turn.confirm_by_peer(13.0, 13.0)
    assert turn.next_due_at(13.0, WAIT_S) == 14.0
    assert turn.is_due(14.0, WAIT_S), "the platform may answer by now"


def test_process_alone_asks_again_at_once_after_a_failure():
    turn = PollTurn(random.Random(1))
    turn.fail(1.0)
    assert turn.is_due(1.0, WAIT_S)


def test_every_process_polls_while_the_mechanism_is_off(turn):
    turn.switches = Switches(["shared_polls"])
    assert turn.is_due(10.0, WAIT_S)
    assert turn.hold_s(10.0, WAIT_S) == WAIT_S


def test_trouble_of_one_process_ends_with_what_others_tell(turn):
    """Guards against work for upstreams that left while one process alone was turned away."""
    turn.fail(11.0)
    turn.confirm_by_peer(11.1, 11.2)
    turn.succeed(14.0, 14.0, WAIT_S)
    assert turn.steady_s(14.0) == pytest.approx(2.9)


def test_old_news_does_not_end_trouble(turn):
    """Guards against a loss of all upstreams whose entries lapsed in an outage."""
    turn.fail(11.0)
    turn.confirm_by_peer(10.9, 11.2)
    turn.succeed(14.0, 14.0, WAIT_S)
    assert turn.steady_s(14.0) == 0.0
