"""Upstreams that are set apart for streams that must be written steadily."""

import pytest

from burdockquay_coordination.forwarding import (
    Demand,
    EngineModel,
    Prompt,
    SteadyReservation,
    Switches,
    place_prompt,
)

LIMIT_S = 0.15
SLOW_S, QUICK_S = 0.3, 0.05


@pytest.fixture
def upstreams(make_upstream):
    return [make_upstream(f"u{number}") for number in range(10)]


def burst(guard, pauses=60, longest_s=SLOW_S):
    """Play a burst of long prompts, a fifth of whose work is that of steady streams."""
    for _ in range(pauses):
        guard.note_demand(True, 1000, 150)
        for _ in range(2):
            guard.note_demand(False, 4000, 100)
        guard.note_pause(longest_s, LIMIT_S)


def steady(number=0):
    prompt = Prompt(((f"small{number}", 300), (f"own{number}", 1000)), 150)
    return Demand(prompt, 1.0, 15.0, is_steady=True)


def long(number=0):
    prompt = Prompt(((f"large{number}", 13_000), (f"own{number}", 4000)), 100)
    return Demand(prompt, 2.0, 12.0)


def place(upstreams, demand, guard, off=()):
    model = EngineModel(Switches(off))
    model.pace = guard
    return place_prompt(upstreams, demand, model, (), 0.0).upstream.id


def test_steady_streams_and_long_prompts_part_in_a_burst(upstreams):
    """Long prompts are read at every upstream, and each makes the answers beside it pause.

    Two in five of the most urgent streams had a pause that their callers do not bear, wherever they
    ran.
    """
    guard = SteadyReservation()
    burst(guard)
    apart = guard.choose(upstreams)
    assert len(apart) == 2
    for number in range(30):
        assert place(upstreams, steady(number), guard) in apart
        assert place(upstreams, long(number), guard) not in apart


def test_nothing_is_set_apart_while_all_are_written_steadily(upstreams):
    guard = SteadyReservation()
    burst(guard, longest_s=QUICK_S)
    assert guard.choose(upstreams) == frozenset()


def test_upstreams_go_back_when_the_burst_is_over(upstreams):
    guard = SteadyReservation()
    burst(guard)
    assert guard.active
    burst(guard, 100, QUICK_S)
    assert not guard.active and guard.choose(upstreams) == frozenset()


def test_every_process_sets_the_same_upstreams_apart(upstreams):
    first, second = SteadyReservation(), SteadyReservation()
    burst(first)
    burst(second, 90)
    assert first.choose(upstreams) == second.choose(list(reversed(upstreams)))


def test_steady_streams_go_elsewhere_when_what_is_set_apart_is_full(upstreams):
    """Many steady streams come at once, beyond the places of the upstreams that are set apart.

    Without a way out they would wait while other upstreams have places.
    """
    guard = SteadyReservation()
    burst(guard)
    apart = guard.choose(upstreams)
    for item in upstreams:
        if item.id in apart:
            item.outstanding = 8
            item.pending.add("other", 200_000, 0.0)
    assert place(upstreams, steady(), guard) not in apart


def test_few_upstreams_are_not_parted(make_upstream):
    guard = SteadyReservation()
    burst(guard)
    assert guard.choose([make_upstream(name) for name in "abc"]) == frozenset()


def test_mechanism_can_be_turned_off(upstreams):
    guard = SteadyReservation()
    burst(guard)
    apart = guard.choose(upstreams)
    placed = {place(upstreams, long(number), guard, ["set_apart"]) for number in range(60)}
    assert placed & apart


def test_upstreams_are_set_apart_when_steady_streams_alone_pause():
    """Few requests run at once at an upstream, and each long prompt stops them for a moment.

    The other streams bear that and show few pauses, so that nothing was set apart, while a quarter
    of the steady streams were late by a single pause.
    """
    guard = SteadyReservation()
    for number in range(40):
        guard.note_demand(True, 1000, 150)
        guard.note_demand(False, 4000, 100)
        guard.note_pause(0.5 * LIMIT_S, LIMIT_S)
        guard.note_pause(2 * LIMIT_S if number % 4 == 0 else 0.5 * LIMIT_S, LIMIT_S, True)
    assert guard.active
    for _ in range(60):
        guard.note_pause(0.5 * LIMIT_S, LIMIT_S, True)
    assert not guard.active


def test_single_late_steady_stream_sets_nothing_apart():
    guard = SteadyReservation()
    guard.note_pause(2 * LIMIT_S, LIMIT_S, True)
    assert not guard.active
