"""Tests of the gate of a process that shuts down, over histories and over simulated shutdowns."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from burdockquay_coordination import FinishGate, FinishReason
from burdockquay_coordination._finish_gate import (
    HALF_WINDOW_S,
    MIN_KNOWN_RUNS,
    SLOWDOWN_FACTOR,
)

from .finish_simulation import CERTAIN_AFTER_S, STOP_S, Shutdowns

SIZES = st.sampled_from([0, 1, 40, 60, 300])
DURATIONS_S = st.floats(0.0, 10.0)


def know(gate, durations_s, kind="chat", size=0, until=0.0):
    """Let a gate know runs that end at a time."""
    for duration_s in durations_s:
        gate.end(gate.begin(kind, size, until - duration_s), until, is_whole=True)


def decide_early(gate, kind="chat", size=0):
    """Return the decision about a request at the begin of a shutdown that is not certain."""
    gate.stop_at(STOP_S, CERTAIN_AFTER_S)
    return gate.decide(kind, size, deadline=15.0, now=0.0)


@given(st.lists(DURATIONS_S, max_size=MIN_KNOWN_RUNS - 1))
def test_process_that_knows_few_runs_expects_nothing(durations_s):
    """Guards against a young process that passes on what an old one would refuse."""
    gate = FinishGate()
    know(gate, durations_s)
    assert decide_early(gate).reason is FinishReason.FEW_RUNS


def test_long_runs_that_have_not_ended_yet_are_not_left_out():
    """Guards against a young process that knows many runs, all short, since only these ended."""
    gate = FinishGate()
    running = [gate.begin("chat", 0, now=-0.1) for _ in range(2 * MIN_KNOWN_RUNS)]
    for run in running[1:]:
        gate.end(run, now=-0.05, is_whole=True)
    assert decide_early(gate).reason is FinishReason.FEW_RUNS
    gate.end(running[0], now=0.0, is_whole=True)
    assert decide_early(gate).reason is FinishReason.FITS


def test_longest_run_is_not_forgotten_after_many_short_ones():
    """Guards against an estimate from the newest runs alone, when long ones are rare."""
    gate = FinishGate()
    know(gate, [STOP_S])
    know(gate, [0.1] * 1000, until=HALF_WINDOW_S + 1.0)
    now = HALF_WINDOW_S + 1.0
    gate.stop_at(now + STOP_S, now + CERTAIN_AFTER_S)
    assert gate.decide("chat", 0, now + 15.0, now).reason is FinishReason.TOO_LONG


@pytest.mark.parametrize("known_size", [0, 1, 30])
def test_smaller_requests_do_not_show_how_long_larger_ones_take(known_size):
    """Guards against the time of short answers that is expected of long ones."""
    gate = FinishGate()
    know(gate, [0.1] * 100, size=known_size)
    assert decide_early(gate, size=300).reason is FinishReason.FEW_RUNS


def test_larger_requests_show_that_smaller_ones_are_finished():
    """Guards against refusals of small requests where larger ones are known to fit."""
    gate = FinishGate()
    know(gate, [0.5] * MIN_KNOWN_RUNS, size=300)
    assert decide_early(gate, size=30).reason is FinishReason.FITS


class FinishGateMachine(RuleBasedStateMachine):
    """A process that runs requests and is told to stop; all its runs are remembered here."""

    def __init__(self):
        super().__init__()
        self.gate = FinishGate()
        self.now = 0.0
        self.running = []
        self.ended = []
        self.certain_from = None

    @rule(seconds=st.floats(0.0, 5.0))
    def wait(self, seconds):
        self.now += seconds

    @rule(size=SIZES, count=st.integers(1, 50))
    def begin(self, size, count):
        self.running += [self.gate.begin("chat", size, self.now) for _ in range(count)]

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 99), count=st.integers(1, 99), is_whole=st.integers(0, 3))
    def end(self, index, count, is_whole):
        first = index % len(self.running)
        for run in self.running[first : first + count]:
            self.gate.end(run, self.now, is_whole > 0)
            self.ended.append((run, self.now - run.since))
        del self.running[first : first + count]

    @precondition(lambda self: self.certain_from is None)
    @rule()
    def stop(self):
        self.certain_from = self.now + CERTAIN_AFTER_S
        self.ends_at = self.now + STOP_S
        self.gate.stop_at(self.ends_at, self.certain_from)

    @precondition(lambda self: self.certain_from is not None)
    @rule(size=SIZES, patience_s=st.floats(0.1, 20.0))
    def check_decision(self, size, patience_s):
        deadline = self.now + patience_s
        found = self.gate.decide("chat", size, deadline, self.now)
        assert found.accepted == (found.reason in (FinishReason.CERTAIN, FinishReason.FITS))
        if deadline <= self.ends_at or self.now >= self.certain_from:
            is_certain = deadline <= self.ends_at
            assert found.reason is (FinishReason.CERTAIN if is_certain else FinishReason.LATE)
            return
        assert (found.reason is FinishReason.FEW_RUNS) == (self.count_known(size) < MIN_KNOWN_RUNS)
        if found.accepted:
            longest_s = max(self.times_s(size))
            assert self.now + SLOWDOWN_FACTOR * longest_s <= self.ends_at + 1e-9

    def count_known(self, size):
        """Return the number of whole runs of at least a size that do not end early only."""
        count = 0
        for other in {run.size.bit_length() for run, _ in self.ended}:
            if other < size.bit_length() or bool(other) != bool(size):
                continue
            running = (run.since for run in self.running if run.size.bit_length() == other)
            oldest = min(running, default=float("inf"))
            count += sum(
                run.is_whole and run.since < oldest
                for run, _ in self.ended
                if run.size.bit_length() == other
            )
        return count

    def times_s(self, size):
        """Return the times that runs of about a size have taken so far, by their sizes."""
        times = [*self.ended, *((run, self.now - run.since) for run in self.running)]
        return [
            taken_s * max(1.0, size / max(1, run.size))
            for run, taken_s in times
            if run.size.bit_length() == size.bit_length() and (run.is_whole or run in self.running)
        ] or [0.0]

    @invariant()
    def accepts_everything_until_it_stops(self):
        if self.certain_from is None:
            assert self.gate.decide("chat", 0, 1e9, self.now).accepted


MACHINE_SETTINGS = settings(max_examples=200, stateful_step_count=40, deadline=None)


def test_decisions_over_histories():
    """Guards against a history of runs after which a run is passed on that may be cut."""
    run_state_machine_as_test(FinishGateMachine, settings=MACHINE_SETTINGS)


STOPS = [(40.0 + 12.0 * turn + 2.0 * number, number) for turn in range(3) for number in range(5)]
"""Three turns of overlapping stops; in the second and third, young processes are stopped."""

CONDITIONS = {"calm": {}, "slower": {"slow_from": 40.0}, "burst": {"burst_at": 41.0}}


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("condition", CONDITIONS)
def test_series_of_stops_cuts_nothing_that_came_late(condition, seed):
    """Guards against runs that are cut at the end, of young, slow or crowded processes."""
    counts = Shutdowns(STOPS, seed=seed, **CONDITIONS[condition]).run(until=80.0)
    assert counts["passed_early"] > 100 and counts["passed_late"] > 0
    assert counts["cut_late"] == 0
    # The next run takes longer than all known ones with this probability.
    assert counts["cut_early"] <= counts["passed_early"] / (MIN_KNOWN_RUNS + 1)
