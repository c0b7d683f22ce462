"""Reservation of upstreams for steady streams."""

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
LONG_PAUSE_S, SHORT_PAUSE_S = 0.3, 0.05


@pytest.fixture
def upstreams(make_upstream):
    return [make_upstream(f"u{number}") for number in range(10)]


def record_burst(reservation, pauses=60, longest_s=LONG_PAUSE_S):
    """Record a burst of long prompts in which a fifth of the work is that of steady streams."""
    for _ in range(pauses):
        reservation.record_demand(True, 1000, 150)
        for _ in range(2):
            reservation.record_demand(False, 4000, 100)
        reservation.record_pause(longest_s, LIMIT_S)


def steady_stream(number=0):
    prompt = Prompt(((f"small{number}", 300), (f"own{number}", 1000)), 150)
    return Demand(prompt, 1.0, 15.0, is_steady=True)


def long_prompt(number=0):
    prompt = Prompt(((f"large{number}", 13_000), (f"own{number}", 4000)), 100)
    return Demand(prompt, 2.0, 12.0)


def place(upstreams, demand, reservation, off=()):
    model = EngineModel(Switches(off))
    model.steady_reservation = reservation
    return place_prompt(upstreams, demand, model, (), 0.0).upstream.id


def test_steady_streams_and_long_prompts_use_different_upstreams_in_a_burst(upstreams):
    """Long prompts are read at every upstream, and each makes the answers beside it pause.

    Two in five of the most urgent streams had a pause that their callers do not tolerate, at
    whichever upstream they ran.
    """
    reservation = SteadyReservation()
    record_burst(reservation)
    reserved = reservation.choose(upstreams)
    assert len(reserved) == 2
    for number in range(30):
        assert place(upstreams, steady_stream(number), reservation) in reserved
        assert place(upstreams, long_prompt(number), reservation) not in reserved


def test_no_upstream_is_reserved_while_pauses_are_short(upstreams):
    reservation = SteadyReservation()
    record_burst(reservation, longest_s=SHORT_PAUSE_S)
    assert reservation.choose(upstreams) == frozenset()


def test_reservation_ends_after_the_burst(upstreams):
    reservation = SteadyReservation()
    record_burst(reservation)
    assert reservation.active
    record_burst(reservation, 100, SHORT_PAUSE_S)
    assert not reservation.active and reservation.choose(upstreams) == frozenset()


def test_every_process_reserves_the_same_upstreams(upstreams):
    first, second = SteadyReservation(), SteadyReservation()
    record_burst(first)
    record_burst(second, 90)
    assert first.choose(upstreams) == second.choose(list(reversed(upstreams)))


def test_steady_streams_use_other_upstreams_when_the_reserved_ones_are_full(upstreams):
    """More steady streams arrive at once than the reserved upstreams have places.

    If they could use no others, they would wait while other upstreams have free places.
    """
    reservation = SteadyReservation()
    record_burst(reservation)
    reserved = reservation.choose(upstreams)
    for item in upstreams:
        if item.id in reserved:
            item.outstanding = 8
            item.pending.add("other", 200_000, 0.0)
    assert place(upstreams, steady_stream(), reservation) not in reserved


def test_nothing_is_reserved_among_few_upstreams(make_upstream):
    reservation = SteadyReservation()
    record_burst(reservation)
    assert reservation.choose([make_upstream(name) for name in "abc"]) == frozenset()


def test_mechanism_can_be_turned_off(upstreams):
    reservation = SteadyReservation()
    record_burst(reservation)
    reserved = reservation.choose(upstreams)
    placed = {
        place(upstreams, long_prompt(number), reservation, ["set_apart"]) for number in range(60)
    }
    assert placed & reserved


def test_upstreams_are_reserved_when_only_steady_streams_pause():
    """Few requests run at once at an upstream, and each long prompt stops them for a moment.

    Other streams tolerate that and show few pauses. If only they counted, no upstream would be
    reserved, while a quarter of the steady streams would be late by a single pause.
    """
    reservation = SteadyReservation()
    for number in range(40):
        reservation.record_demand(True, 1000, 150)
        reservation.record_demand(False, 4000, 100)
        reservation.record_pause(0.5 * LIMIT_S, LIMIT_S)
        reservation.record_pause(2 * LIMIT_S if number % 4 == 0 else 0.5 * LIMIT_S, LIMIT_S, True)
    assert reservation.active
    for _ in range(60):
        reservation.record_pause(0.5 * LIMIT_S, LIMIT_S, True)
    assert not reservation.active


def test_single_steady_stream_with_a_pause_reserves_nothing():
    reservation = SteadyReservation()
    reservation.record_pause(2 * LIMIT_S, LIMIT_S, True)
    assert not reservation.active


def record_backlogs(reservation, share, since, until):
    now = since
    while now < until:
        reservation.record_backlog(share, now)
        now += 0.02


def test_processes_that_know_the_same_backlog_reserve_at_the_same_time(upstreams):
    """Each of many processes sees the pauses of a few streams only.

    Guards against some processes that keep long prompts away from upstreams to which the others
    send theirs.
    """
    saw_pauses, saw_none = SteadyReservation(), SteadyReservation()
    record_burst(saw_pauses)
    record_burst(saw_none, longest_s=SHORT_PAUSE_S)
    for since, share, expected in ((10.0, 1.0, 2), (13.0, 0.3, 2), (16.0, 0.1, 0)):
        for reservation in (saw_pauses, saw_none):
            record_backlogs(reservation, share, since, since + 3.0)
            assert len(reservation.choose(upstreams)) == expected


def test_short_backlog_reserves_nothing(upstreams):
    reservation = SteadyReservation()
    record_burst(reservation)
    record_backlogs(reservation, 0.1, 0.0, 2.0)
    reservation.record_backlog(2.0, 2.02)
    assert not reservation.choose(upstreams)
