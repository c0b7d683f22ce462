"""Tests of cold starts, on simulated processes and on the list of upstreams."""

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule

from burdockquay_coordination.forwarding import (
    ColdReport,
    ColdStartTerms,
    ColdTerms,
    Fleet,
    GrantMessage,
    ListedUpstream,
    NeedMessage,
    SharedLimit,
    StartNeed,
    UpstreamChanges,
    UpstreamRegistry,
    granted_rate,
    usable_upstreams,
)

from .limit_cluster import LimitCluster
from .test_shared_limit_machine import LimitMachine

DURATION_S, LONG_S = 30.0, 3000.0
PER_S, OVERAGE, SLACK = 11.0, 1.5, 5.0
BOUND = PER_S * OVERAGE + SLACK
READ_S = 0.15
"""Longest time after which a process has read a change of the list, seconds."""


def make_limit(name=""):
    limit = SharedLimit()
    limit.cold.set_terms(ColdTerms(DURATION_S, granted_rate(PER_S, OVERAGE, SLACK)), 0.0)
    return limit


def list_cold(cluster, cold_s, row=1, names=None):
    """Let the upstream be cold, and some processes read the row that states it."""
    cluster.cold_until = max(cluster.cold_until, cluster.now + cold_s)
    for name in names or list(cluster.processes):
        read = cluster.processes[name].read_row
        cluster.schedule(
            cluster.now + cluster.rng.uniform(0.0, READ_S), lambda r=read: r(cold_s, row)
        )


def saturate(clusters, seconds, count=20):
    """Let requests wait at all processes, which ask for starts at all clusters' upstreams."""
    until = clusters[0].now + seconds
    while clusters[0].now < until:
        for cluster in clusters:
            for process in list(cluster.processes.values()):
                for _ in range(count - len(process.waiting)):
                    process.add(1, 5.0)
            cluster.run_for(0.05)


def used(cluster, seconds):
    """Return the share of the cold rate that was used in the last seconds."""
    recent = [item for item in cluster.arrivals if item.at > cluster.now - seconds]
    return len(recent) / (seconds * PER_S)


@pytest.fixture
def cluster():
    """Return 28 processes and an upstream that has just started and is listed as cold."""
    made = LimitCluster(28, make_limit=make_limit)
    list_cold(made, DURATION_S)
    made.run_for(READ_S)
    return made


def test_upstreams_that_come_back_together_are_neither_overrun_nor_idle():
    """Guards against 28 processes that each send their backlog to upstreams without requests."""
    clusters = [LimitCluster(28, seed, make_limit=make_limit) for seed in range(3)]
    for cluster in clusters:
        list_cold(cluster, DURATION_S)
        cluster.run_for(READ_S)
    saturate(clusters, 20.0)
    assert max(cluster.busiest_second(0.0) for cluster in clusters) <= BOUND
    assert min(used(cluster, 10.0) for cluster in clusters) >= 0.8


@pytest.mark.parametrize("fault", ["freeze", "kill", "split"])
def test_cold_rate_is_kept_and_used_under_faults(cluster, fault):
    """Guards against owners that come back, are lost, or grant on both sides of a cut."""
    saturate([cluster], 3.0)
    owner = cluster.processes["p1"].limit.owner
    if fault == "freeze":
        cluster.freeze(owner, 4.0)
    elif fault == "kill":
        cluster.kill(owner)
    else:
        cluster.split([f"p{number}" for number in range(14)], 10.0)
    saturate([cluster], 12.0)
    assert cluster.busiest_second(0.0) <= BOUND
    assert used(cluster, 4.0) >= 0.8


def test_end_of_a_cold_start_binds_nobody_without_a_message(cluster):
    """Guards against requests that wait at a warm upstream because nothing wakes them."""
    cluster.run_for(DURATION_S - 1.0)
    cluster.cuts = {
        frozenset((one, other)) for one in cluster.processes for other in cluster.processes
    }
    for process in cluster.processes.values():
        process.add(0, 5.0)
    cluster.run_for(1.5)
    assert not any(process.waiting for process in cluster.processes.values())


def test_coldness_in_place_that_one_process_sees_binds_all(cluster):
    """Guards against processes that send at will until the list shows what another has seen."""
    cluster.run_for(DURATION_S + 1.0)
    cluster.cold_until = cluster.now + 20.0
    cluster.processes["p5"].add(0, 1.0)
    cluster.run_for(0.1)
    seen_at = cluster.now
    saturate([cluster], 10.0)
    assert cluster.busiest_second(seen_at) <= BOUND
    assert used(cluster, 5.0) >= 0.8


def test_process_with_an_old_list_learns_of_a_cold_upstream_when_it_connects_again(cluster):
    """Guards against a process that was cut off and keeps an upstream for warm."""
    cluster.run_for(DURATION_S + 1.0)
    cluster.split(["p3"], 4.0)
    cluster.run_for(2.0)
    list_cold(cluster, 20.0, row=2, names=[name for name in cluster.processes if name != "p3"])
    saturate([cluster], 1.0, count=0)
    process = cluster.processes["p3"]
    assert not process.limit.binds(process.now)
    process.limit.cold.set_isolated(True, process.now)
    assert not process.limit.may_start(process.now)
    process.limit.cold.set_isolated(False, process.now)
    for other in cluster.processes.values():
        for report in other.limit.cold.reports(other.now):
            process.limit.receive_cold(other.name, report, process.now, other.name)
    assert process.limit.binds(process.now)


def test_row_read_late_does_not_make_an_upstream_cold_again(cluster):
    """Guards against each process that starts later and makes all count the time of a row anew."""
    cluster.run_for(DURATION_S + 5.0)
    cluster.start("late")
    cluster.processes["late"].processes = 29
    cluster.processes["late"].read_row(DURATION_S, 1)
    cluster.run_for(0.5)
    assert not any(item.limit.binds(item.now) for item in cluster.processes.values())


def test_owner_answers_at_once_a_process_that_has_not_heard_from_it():
    """Guards against shares that are lent only after the next renewal, which takes seconds."""
    limit, fleet = make_limit(), Fleet("a", ["a", "b"], 300)
    limit.learn_listed(DURATION_S, 1, 0.0)
    limit.step(fleet, 0.0)
    for answers, expected in ((0.0, ["b"]), (0.1, [])):
        need = StartNeed({1: 1}, 5.0, 0.0, answers, 300)
        limit.receive_need("b", NeedMessage("a", None, False, need), 0.1)
        messages = limit.step(fleet, 0.1).messages
        assert [item.to for item in messages if isinstance(item, GrantMessage)] == expected


def test_owner_is_told_that_no_request_waits_any_more():
    """Guards against starts for requests that another upstream has taken meanwhile."""
    limit, fleet = make_limit(), Fleet("b", ["a", "b"], 2)
    limit.learn_listed(DURATION_S, 1, 0.0)
    limit.want(1, 1, 0.0)
    assert [item.need.wanted for item in needs_of(limit, fleet, 0.0)] == [{1: 1}]
    limit.drop_wants(0.01)
    assert [item.need.wanted for item in needs_of(limit, fleet, 0.01)] == [{}]
    assert needs_of(limit, fleet, 0.02) == []


def needs_of(limit, fleet, now):
    """Return the needs that a step sends."""
    messages = limit.step(fleet, now).messages
    return [item for item in messages if isinstance(item, NeedMessage)]


def row(cold_s, revision=1, sequence=1, started_ms=5, id_="i-1", domain="a"):
    """Return an entry of the list."""
    return ListedUpstream(
        id_, "s", "10.0.0.1", 80, domain, 8, False, revision, started_ms, 0, sequence, "", cold_s
    )


@pytest.fixture
def registry():
    """Return upstreams whose service states a cold start."""
    made = UpstreamRegistry(random.Random(1))
    made.set_cold_starts([ColdStartTerms("s", DURATION_S, PER_S)], 0.0)
    return made


def read(registry, entry, now):
    """Read one entry, and return its upstream."""
    registry.apply(UpstreamChanges(False, (entry,)), now)
    return registry.of_service("s")[0]


def test_row_that_is_read_again_does_not_restart_its_time(registry):
    """Guards against a list that is read again, and against an older copy of it."""
    assert read(registry, row(20.0), 0.0).cold.until == 20.0
    assert read(registry, row(20.0, revision=2), 10.0).cold.until == 20.0
    assert read(registry, row(5.0, revision=3, sequence=2), 11.0).cold.until == 20.0
    assert read(registry, row(20.0, revision=4, sequence=3), 12.0).cold.until == 32.0


def test_new_run_inherits_nothing(registry):
    """Guards against a run that is bound by its predecessor, or freed by its end."""
    read(registry, row(20.0), 0.0)
    assert not read(registry, row(0.0, revision=2, started_ms=6), 1.0).cold.binds(1.0)
    assert read(registry, row(9.0, revision=3, started_ms=7), 2.0).cold.until == 11.0


def test_report_about_a_run_that_is_not_listed_yet_binds_it(registry):
    """Guards against a peer that reads the list earlier."""
    registry.receive_cold("i-1@5", "p", ColdReport(9.0), 0.0, "vm")
    assert read(registry, row(0.0), 1.0).cold.until == 9.0


@pytest.mark.parametrize("terms_first", [False, True])
def test_unknown_upstream_counts_as_cold_until_it_is_shown_to_be_warm(terms_first):
    """Guards against an evacuation that ends before the configuration is read."""
    registry = UpstreamRegistry()
    registry.apply(UpstreamChanges(True, (row(0.0), row(0.0, id_="i-2", domain="b"))), 0.0)
    steps = [
        lambda: registry.mark_cold_unknown("a", 1.0),
        lambda: registry.set_cold_starts([ColdStartTerms("s", DURATION_S, PER_S)], 1.0),
    ]
    for step in reversed(steps) if terms_first else steps:
        step()
    unknown, other = registry.of_service("s")
    assert unknown.cold.until == 1.0 + DURATION_S
    assert usable_upstreams([unknown, other], (), 2.0) == [other]
    unknown.limit.learn_warm(0.9, 2.0)
    assert unknown.cold.binds(2.0)
    unknown.limit.learn_warm(1.5, 2.0)
    assert unknown.may_start(2.0)


def test_service_without_a_cold_start_sends_nothing_and_is_not_held_back():
    """Guards against deployments that state no cold start and behave in another way."""
    registry = UpstreamRegistry()
    upstream = read(registry, row(20.0), 0.0)
    registry.mark_cold_unknown("a", 0.0)
    upstream.limit.learn_cold(9.0, 0.0)
    assert upstream.may_start(1.0)
    assert not upstream.limit.is_active(1.0)
    assert registry.cold_reports(1.0) == []


class ColdMachine(LimitMachine):
    """The faults of a stated limit at a cold upstream, for the bound of cold starts."""

    change = end_for_a_while = None

    @initialize(size=st.integers(1, 8), seed=st.integers(0, 1000))
    def start(self, size, seed):
        self.cluster = LimitCluster(size, seed, make_limit=self.make_limit)
        self.number = size
        self.members_changed_at = float("-inf")
        list_cold(self.cluster, LONG_S)
        self.cluster.run_for(READ_S)

    make_limit = staticmethod(make_limit)

    @rule()
    def join(self):
        if len(self.cluster.processes) < 9:
            name = f"p{self.number}"
            self.cluster.start(name)
            self.cluster.processes[name].read_row(LONG_S, 1)
            self.number += 1
            self.members_changed_at = self.cluster.now

    @invariant()
    def limit_is_kept(self):
        assert self.cluster.busiest_second(0.0) <= BOUND

    def teardown(self):
        if hasattr(self, "cluster"):
            self.run(12.0)
            self.limit_is_kept()
            assert used(self.cluster, 4.0) >= 0.8


ColdMachine.TestCase.settings = settings(max_examples=15, stateful_step_count=10)
test_cold_rate_is_kept_and_used_under_faults_in_any_order = ColdMachine.TestCase
