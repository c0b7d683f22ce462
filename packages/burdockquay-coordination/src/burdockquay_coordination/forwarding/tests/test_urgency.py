"""Order of requests in queues and at upstreams."""

from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination.forwarding import urgency_level

PRIORITY = st.integers(0, 20)

SEPARATE = st.integers(0, 3)
"""Priorities of routes that have levels of their own."""


@given(PRIORITY, PRIORITY, PRIORITY, PRIORITY, st.booleans(), st.booleans())
def test_no_request_goes_before_one_of_a_more_urgent_route(
    first_route, first, second_route, second, is_first_short, is_second_short
):
    if first_route < second_route:
        level = urgency_level(first_route, first, is_first_short)
        assert level <= urgency_level(second_route, second, is_second_short)


@given(SEPARATE, PRIORITY, SEPARATE, PRIORITY, st.booleans(), st.booleans())
def test_routes_of_four_priorities_share_no_level(
    first_route, first, second_route, second, is_first_short, is_second_short
):
    """Guards against urgent streams that are preempted because they are the newest of a level."""
    if first_route < second_route:
        level = urgency_level(first_route, first, is_first_short)
        assert level < urgency_level(second_route, second, is_second_short)


@given(st.integers(0, 1), PRIORITY, PRIORITY, st.booleans(), st.booleans())
def test_organisations_of_the_first_priority_go_first_on_the_same_route(
    route, first, second, is_first_short, is_second_short
):
    if first == 0 < second:
        level = urgency_level(route, first, is_first_short)
        assert level < urgency_level(route, second, is_second_short)


@given(PRIORITY, PRIORITY, st.booleans())
def test_levels_are_within_the_range_of_upstreams(route, priority, is_short):
    assert 0 <= urgency_level(route, priority, is_short) <= 9


@given(st.integers(0, 1), PRIORITY)
def test_short_goes_before_long_within_the_first_two_priorities(route, priority):
    assert urgency_level(route, priority, True) < urgency_level(route, priority, False)
