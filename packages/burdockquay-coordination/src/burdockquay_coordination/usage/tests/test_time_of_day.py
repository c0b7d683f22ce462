"""Tests of the estimate of the true time of day."""

import pytest

from burdockquay_coordination.usage import TimeOfDay


def test_jump_of_the_local_clock_is_ignored():
    """Guards against requests counted in another window because the time of day jumped."""
    time_of_day = TimeOfDay(wall=1000.0, now=0.0)
    time_of_day.update(wall=1001.0, now=1.0)
    time_of_day.update(wall=1004.0, now=2.0)
    time_of_day.update(wall=1005.0, now=3.0)
    assert time_of_day.at(3.0) == 1003.0


def test_drift_of_the_local_clock_is_followed():
    time_of_day = TimeOfDay(wall=1000.0, now=0.0)
    for tick in range(1, 101):
        time_of_day.update(wall=1000.0 + tick + 0.001 * tick, now=float(tick))
    assert time_of_day.at(100.0) == pytest.approx(1100.1)


def test_process_that_starts_after_a_jump_follows_its_peers():
    time_of_day = TimeOfDay(wall=1002.0, now=0.0)
    for name in ("a", "b", "c"):
        time_of_day.record_peer(name, 1000.99, now=1.0)
    assert time_of_day.at(1.0) == pytest.approx(1000.99)


def test_two_peers_with_jumped_clocks_do_not_outvote_three():
    time_of_day = TimeOfDay(wall=1000.0, now=0.0)
    readings = {"a": 1003.0, "b": 1003.0, "c": 1000.98, "d": 1001.0}
    for name, reading in readings.items():
        time_of_day.record_peer(name, reading, now=1.0)
    assert time_of_day.at(1.0) == 1001.0


def test_readings_of_peers_expire():
    time_of_day = TimeOfDay(wall=1002.0, now=0.0)
    for name in ("a", "b", "c"):
        time_of_day.record_peer(name, 1001.0, now=1.0)
    assert time_of_day.at(30.0) == 1032.0
