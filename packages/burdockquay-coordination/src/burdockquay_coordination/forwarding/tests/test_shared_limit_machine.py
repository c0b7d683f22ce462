"""State machine of processes that keep a request rate limit together, under faults in any order."""

import attrs
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from burdockquay_coordination.forwarding import Fleet, SharedLimit
from burdockquay_coordination.sending._start_pool import StartAccount

from .limit_cluster import MEMBERS_DELAY_S, LimitCluster

RATES = st.sampled_from([0.5, 1.7, 6.0, 30.0])
PICKS = st.integers(0, 50)
SECONDS = st.floats(0.05, 6.0)

QUIET_S = 6.0
"""Time without faults after which the limit must be used, seconds."""

WAITING = 5
"""Requests that wait at each process."""

LENT_TOLERANCE = 1e-9


class LimitMachine(RuleBasedStateMachine):
    """Faults, changes of the limit and requests, in any order."""

    make_limit = staticmethod(lambda name: SharedLimit())

    @initialize(size=st.integers(1, 8), seed=st.integers(0, 1000), per_s=RATES)
    def start(self, size, seed, per_s):
        self.cluster = LimitCluster(size, seed, make_limit=self.make_limit)
        self.number = size
        self.members_changed_at = float("-inf")
        self.cluster.name_rate(per_s)
        self.run(1.0)

    def run(self, seconds):
        """Let time pass while requests wait at every process."""
        until = self.cluster.now + seconds
        while self.cluster.now < until:
            for process in list(self.cluster.processes.values()):
                for _ in range(WAITING - len(process.waiting)):
                    process.add(process.cluster.rng.randrange(3), 3.0)
            self.cluster.run_for(min(0.1, until - self.cluster.now))
            self.no_share_is_lent_twice()

    def pick(self, number):
        names = sorted(self.cluster.processes)
        return names[number % len(names)]

    @rule(seconds=SECONDS)
    def wait(self, seconds):
        self.run(seconds)

    @rule(per_s=RATES)
    def change(self, per_s):
        self.cluster.name_rate(per_s)

    @rule(seconds=st.floats(0.05, 2.0))
    def end_for_a_while(self, seconds):
        before = self.cluster.named
        self.cluster.name_rate(None)
        self.run(seconds)
        self.cluster.name_rate(before)

    @rule(pick=PICKS, seconds=SECONDS)
    def freeze(self, pick, seconds):
        self.cluster.freeze(self.pick(pick), seconds)

    @rule(pick=PICKS)
    def kill(self, pick):
        if len(self.cluster.processes) > 1:
            self.cluster.kill(self.pick(pick))
            self.members_changed_at = self.cluster.now

    @rule()
    def join(self):
        if len(self.cluster.processes) < 9:
            self.cluster.start(f"p{self.number}")
            self.number += 1
            self.members_changed_at = self.cluster.now

    @rule(one=PICKS, other=PICKS, seconds=SECONDS)
    def cut(self, one, other, seconds):
        if self.pick(one) != self.pick(other):
            self.cluster.cut(self.pick(one), self.pick(other), seconds)

    @rule(picks=st.sets(PICKS, min_size=1, max_size=4), seconds=SECONDS)
    def split(self, picks, seconds):
        self.cluster.split({self.pick(number) for number in picks}, seconds)

    @invariant()
    def limit_is_kept(self):
        assert self.cluster.excesses(is_strict=True) == []

    @invariant()
    def no_share_is_lent_twice(self):
        if self.cluster.now - self.members_changed_at > MEMBERS_DELAY_S + 1.0:
            assert self.cluster.lent() <= 1.0 + LENT_TOLERANCE

    def teardown(self):
        cluster = getattr(self, "cluster", None)
        if cluster is None:
            return
        self.run(6.0 + QUIET_S)
        self.limit_is_kept()
        self.no_share_is_lent_twice()
        recent = [item for item in cluster.arrivals if item.at > cluster.now - 4.0]
        assert len(recent) >= 0.8 * cluster.named * 4.0 - 1
        cluster.name_rate(None)
        self.run(3.0)
        assert {process.limit.stated_per_s for process in cluster.processes.values()} == {None}


LimitMachine.TestCase.settings = settings(max_examples=25, stateful_step_count=12)
test_limit_is_kept_and_used_under_faults = LimitMachine.TestCase


class AloneLimit(SharedLimit):
    """Keeps the limit for itself."""

    def step(self, fleet, now):
        return super().step(Fleet(fleet.me, [fleet.me], 1), now)


class FixedShareLimit(SharedLimit):
    """Does not reduce its share when processes join."""

    def __init__(self):
        super().__init__()
        self.processes = None

    def step(self, fleet, now):
        if self.processes is None:
            self.processes = fleet.processes
        return super().step(attrs.evolve(fleet, processes=self.processes), now)


class KeptLimit(SharedLimit):
    """Keeps the limit after it has ended."""

    def record_answer(self, reading, sent_at, now):
        return None if reading.value is None else super().record_answer(reading, sent_at, now)


class TwiceLentAccount(StartAccount):
    """Lends its share to a new owner while it is still lent to the former one."""

    def _lend(self, processes, now):
        self._lent_until = float("-inf")
        return super()._lend(processes, now)


class TwiceLentLimit(SharedLimit):
    def __init__(self):
        super().__init__()
        self._account = TwiceLentAccount()


@pytest.mark.parametrize("planted", [AloneLimit, FixedShareLimit, KeptLimit, TwiceLentLimit])
def test_planted_fault_is_found(planted):
    class PlantedMachine(LimitMachine):
        make_limit = staticmethod(lambda name: planted())

    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            PlantedMachine,
            settings=settings(
                max_examples=40,
                stateful_step_count=12,
                phases=[Phase.generate],
                report_multiple_bugs=False,
            ),
        )
