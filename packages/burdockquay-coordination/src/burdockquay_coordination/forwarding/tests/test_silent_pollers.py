"""Tests of changes that all processes must know in time although pollers have fallen silent."""

import pytest

from burdockquay_coordination.forwarding import poll_wait_s

from .poll_fleet import PollFleet

BOUND_S = 2.0
"""Time within which a change must be known."""

MARGIN_SHARE = 0.25
"""Share of it that is left for the platform to answer and for requests to be sent."""

HERD_SHARE = 0.2
"""Share of the processes that may query before the first answer has reached them."""

LONGEST_S = 2.5


def make_fleet(size=6, seed=1, bound_s=BOUND_S):
    fleet = PollFleet(size, seed, poll_wait_s(bound_s, LONGEST_S))
    fleet.advance(10.0)
    return fleet


def count_knowing(fleet):
    return sum(process.known == fleet.revision for process in fleet.processes)


@pytest.mark.parametrize("bound_s", [0.5, 2.0, 4.0])
@pytest.mark.parametrize("dark_for_s", [0.0, 0.3, 1.0, 2.0, 4.0])
@pytest.mark.parametrize("seed", range(8))
def test_change_is_known_in_time_while_all_pollers_are_silent(bound_s, dark_for_s, seed):
    """Guards against requests to an upstream that leaves while the pollers have no power."""
    fleet = make_fleet(seed=seed, bound_s=bound_s)
    fleet.advance(0.13 * seed)
    fleet.silence(*fleet.pollers)
    fleet.advance(dark_for_s)
    fleet.change()
    fleet.advance(bound_s)
    assert count_knowing(fleet) == 3
    assert max(fleet.learned) <= (1.0 - MARGIN_SHARE) * bound_s


@pytest.mark.parametrize("seed", range(8))
def test_change_is_known_in_time_while_substitutes_fall_silent_too(seed):
    """Guards against processes that rely on the first substitute for as long as on a poller."""
    fleet = make_fleet(seed=seed)
    for _ in range(3):
        alive = [process for process in fleet.processes if not process.is_silent]
        fleet.silence(*[item for item in alive if item.poll_schedule.polls(fleet.now)][:3])
        fleet.advance(1.0)
    left = sum(not process.is_silent for process in fleet.processes)
    fleet.change()
    fleet.advance(BOUND_S)
    assert count_knowing(fleet) == left
    assert not left or max(fleet.learned) <= (1.0 - MARGIN_SHARE) * BOUND_S


@pytest.mark.parametrize("size", [4, 28, 100, 300])
def test_calls_do_not_grow_with_the_processes(size):
    """Guards against a charge for calls, and a herd when all find the pollers silent."""
    fleet = make_fleet(size)
    fleet.advance(15.0)
    fleet.calls = 0
    fleet.advance(30.0)
    assert fleet.calls <= 3 * 30.0 / fleet.wait_s * 1.2
    fleet.calls = 0
    fleet.silence(*fleet.pollers)
    fleet.advance(BOUND_S)
    assert fleet.calls <= 5 + HERD_SHARE * size


def test_pollers_confirm_one_after_the_other():
    """Guards against pollers whose queries end together after a change has answered all of them."""
    fleet = make_fleet()
    fleet.change()
    fleet.advance(2 * fleet.wait_s)
    ages = []
    for _ in range(100):
        fleet.advance(0.05)
        ages.append(max(item.poll_schedule.age_s(fleet.now) for item in fleet.processes))
    assert max(ages) <= 0.4 * fleet.wait_s
