"""State machine of upstreams that leave and rest, with list changes and answers in any order."""

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

from burdockquay_coordination import Rest, RunStatements
from burdockquay_coordination.forwarding import Upstream, UpstreamRegistry
from burdockquay_coordination.sending._unlisted_statements import UnlistedStatements

from . import statement_cluster
from .statement_cluster import MAX_ANSWER_DELAY_S, StatementCluster

PICKS = st.integers(0, 5)
SECONDS = st.floats(0.05, 2.0)
RESTS = st.sampled_from([0.2, 1.0, 3.0])

SERVES_AGAIN_S = 1.0
"""Time after the end of a rest within which a recovered upstream serves again, seconds."""


SENDS_PER_S_AT_END = 200.0
"""Requests that each process then sends per second, enough that each usable upstream gets some."""


class StatementMachine(RuleBasedStateMachine):
    """Statements, changes of the list and new runs, in any order, while requests are sent."""

    @initialize(processes=st.integers(1, 3), upstreams=st.integers(1, 4), seed=st.integers(0, 999))
    def start(self, processes, upstreams, seed):
        self.cluster = StatementCluster(processes, seed)
        self.number = upstreams
        for number in range(upstreams):
            self.cluster.start(f"u{number}")
        self.cluster.run_for(0.5)

    def pick(self, number):
        names = sorted(self.cluster.runs)
        return self.cluster.runs[names[number % len(names)]]

    @rule(seconds=SECONDS)
    def wait(self, seconds):
        self.cluster.run_for(seconds)

    @rule(seconds=st.floats(0.01, 0.2))
    def wait_briefly(self, seconds):
        """Let less time pass than answers may need."""
        self.cluster.run_for(seconds)

    @rule(number=PICKS)
    def leave(self, number):
        # With requests on their way, whose answers do not state it.
        self.cluster.run_for(0.1)
        self.pick(number).is_leaving = True
        self.cluster.run_for(0.5)

    @rule(number=PICKS, rest_s=RESTS)
    def turn_away(self, number, rest_s):
        self.pick(number).rest_s = rest_s

    @rule(number=PICKS, rests=st.lists(RESTS, min_size=2, max_size=4))
    def ask_for_changing_rests(self, number, rests):
        run = self.pick(number)
        for rest_s in rests:
            run.rest_s = rest_s
            self.cluster.run_for(0.03)

    @rule(rest_s=RESTS)
    def turn_away_everywhere(self, rest_s):
        for run in self.cluster.runs.values():
            run.rest_s = rest_s

    @rule(number=PICKS)
    def recover(self, number):
        self.pick(number).rest_s = None

    @rule(number=PICKS, leaving=st.booleans())
    def renew_entry(self, number, leaving):
        self.cluster.list(self.pick(number).id, leaving)

    @rule(number=PICKS, seconds=SECONDS)
    def lose_entry_for_a_while(self, number, seconds):
        run = self.pick(number)
        self.cluster.unlist(run.id)
        self.cluster.run_for(seconds)
        self.cluster.list(run.id)

    @rule(number=PICKS)
    def begin_another_run(self, number):
        self.cluster.start(self.pick(number).id)

    @rule()
    def add_upstream(self):
        if len(self.cluster.runs) < 6:
            self.cluster.start(f"u{self.number}")
            self.number += 1

    @invariant()
    def no_request_follows_the_statement_of_leaving(self):
        assert self.cluster.late_sends() == []

    @invariant()
    def rests_are_kept(self):
        assert self.cluster.excesses() == []

    def teardown(self):
        cluster = getattr(self, "cluster", None)
        if cluster is None:
            return
        for run in cluster.runs.values():
            run.rest_s = None
            cluster.list(run.id)
        # Answers on their way may still ask for a rest.
        cluster.run_for(2 * MAX_ANSWER_DELAY_S)
        self.no_request_follows_the_statement_of_leaving()
        ends = [rest.answered_at + rest.seconds for rest in cluster.rests]
        latest = max([*ends, cluster.now]) + MAX_ANSWER_DELAY_S
        cluster.run_for(latest - cluster.now)
        cluster.run_for(SERVES_AGAIN_S, SENDS_PER_S_AT_END)
        self.rests_are_kept()
        served = {item.incarnation for item in cluster.arrivals if item.at > latest}
        told = {name for process in cluster.processes for name in process.told_leaving}
        present = {run.incarnation for run in cluster.runs.values()}
        # A run that is not told of yet may still be sent to; late sends are checked above.
        assert present - told <= served
        self.no_request_follows_the_statement_of_leaving()


StatementMachine.TestCase.settings = settings(max_examples=40, stateful_step_count=12)
test_statements_hold_in_any_order = StatementMachine.TestCase


def forget_on_table_update(monkeypatch):
    """Plant: leaving and rests are forgotten when the list writes an entry anew."""
    apply_entry = UpstreamRegistry._apply_entry

    def apply_and_forget(self, entry, now):
        replaced = apply_entry(self, entry, now)
        self._upstreams[entry.id].statements = self._make_statements()
        return replaced

    monkeypatch.setattr(UpstreamRegistry, "_apply_entry", apply_and_forget)


def forget_unlisted(monkeypatch):
    """Plant: what a run has stated is dropped with its entry."""
    monkeypatch.setattr(UnlistedStatements, "keep", lambda self, incarnation, statements: None)


def send_to_leaving(monkeypatch):
    """Plant: only the list takes an upstream out of use."""
    monkeypatch.setattr(Upstream, "is_leaving", property(lambda self: self.entry.leaving))


def shorten_rest(monkeypatch):
    """Plant: a later answer shortens the rest."""
    record_answer = Rest.record_answer

    def record_and_shorten(self, reading, sent_at, now):
        self._until = float("-inf")
        return record_answer(self, reading, sent_at, now)

    monkeypatch.setattr(Rest, "record_answer", record_and_shorten)


def take_back_leaving(monkeypatch):
    """Plant: an answer without the statement takes it back."""
    record_answer = RunStatements.record_answer

    def record_and_take_back(self, statements, answer, now):
        changes = list(record_answer(self, statements, answer, now))
        if statements["leaving"].value is None:
            self.leaving._since = None
        return changes

    monkeypatch.setattr(RunStatements, "record_answer", record_and_take_back)


def ignore_rest_at_retry(monkeypatch):
    """Plant: retries are sent regardless of rests."""
    choose = statement_cluster.choose_upstream

    def choose_regardless(upstreams, domain, tried, now, rng):
        if not tried:
            return choose(upstreams, domain, tried, now, rng)
        with monkeypatch.context() as patch:
            patch.setattr(Rest, "available", lambda self, now: float("inf"))
            return choose(upstreams, domain, tried, now, rng)

    monkeypatch.setattr(statement_cluster, "choose_upstream", choose_regardless)


PLANTS = [
    forget_on_table_update,
    forget_unlisted,
    send_to_leaving,
    shorten_rest,
    take_back_leaving,
    ignore_rest_at_retry,
]


@pytest.mark.parametrize("plant", PLANTS)
def test_planted_fault_is_found(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        run_state_machine_as_test(
            StatementMachine,
            settings=settings(
                max_examples=100,
                stateful_step_count=12,
                phases=[Phase.generate],
                report_multiple_bugs=False,
            ),
        )
