"""Urgency levels for upstreams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination.forwarding import UrgencyScale

PRIORITIES = st.lists(st.integers(0, 20), min_size=1, max_size=8)


@given(PRIORITIES, st.data())
def test_no_request_goes_before_one_of_a_more_urgent_priority(priorities, data):
    scale = UrgencyScale(priorities)
    urgent, other = sorted(data.draw(st.tuples(*[st.sampled_from(priorities)] * 2)))
    short, also_short = data.draw(st.tuples(st.booleans(), st.booleans()))
    if urgent < other:
        assert scale.level(urgent, short) <= scale.level(other, also_short)


@given(PRIORITIES, st.booleans())
def test_levels_are_within_the_range_of_upstreams(priorities, is_short):
    scale = UrgencyScale(priorities)
    assert all(0 <= scale.level(priority, is_short) <= 9 for priority in priorities)


@pytest.mark.parametrize("highest", [0, 1, 4])
def test_short_goes_before_long_within_each_priority_that_fits_twice(highest):
    scale = UrgencyScale(range(highest + 1))
    levels = [
        scale.level(priority, is_short)
        for priority in range(highest + 1)
        for is_short in (True, False)
    ]
    assert levels == list(range(2 * highest + 2))


def test_many_priorities_have_a_level_each():
    scale = UrgencyScale(range(10))
    assert [scale.level(priority, True) for priority in range(10)] == list(range(10))


def test_a_new_priority_does_not_move_the_others():
    """A configuration with one more priority comes into force at one process after the other.

    If levels depended on the set of priorities, requests of the same priority would meanwhile
    overtake each other.
    """
    assert UrgencyScale([1]).level(1, True) == UrgencyScale([0, 1, 3]).level(1, True)
