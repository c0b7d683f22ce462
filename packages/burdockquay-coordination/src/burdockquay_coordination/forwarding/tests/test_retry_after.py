"""When refused callers are told to come back."""

import random

import pytest

from burdockquay_coordination.forwarding import OtherProcesses, return_after_s


def test_what_another_process_says_lapses():
    """A process is cut off from the others right after it said that it can serve.

    Referred there for ever, callers would use up their repeats at processes that refuse them too.
    """
    others = OtherProcesses()
    assert not others.can_serve(0.0)
    others.hear("one", True, 0.0)
    others.hear("two", False, 0.0)
    assert others.can_serve(1.0)
    assert not others.can_serve(5.0)
    others.hear("one", True, 5.0)
    others.forget("one")
    assert not others.can_serve(5.0)


@pytest.mark.parametrize("patience_s", [None, 0.0, 0.01, 1.0, 12.0])
def test_callers_come_back_within_a_third_of_their_patience_and_spread(patience_s):
    """Many patient callers are refused at the same moment.

    With the same time for all of them they come back together and are refused once more.
    """
    rng = random.Random(1)
    longest = 2.0 if patience_s is None else patience_s / 3
    times = {return_after_s(patience_s, False, rng) for _ in range(50)}
    assert all(0 <= time <= longest for time in times)
    assert len(times) > 40 or patience_s == 0.0


def test_referred_callers_come_back_almost_at_once():
    rng = random.Random(1)
    assert all(return_after_s(12.0, True, rng) <= 0.05 for _ in range(50))
