"""Tests of a request rate limit that processes keep together, on simulated processes."""

import pytest

from burdockquay_coordination import StatementReading
from burdockquay_coordination.forwarding import Fleet, SharedLimit

from .limit_cluster import STABLE_S, LimitCluster


def saturate(cluster, seconds, count=10):
    """Let requests wait at all processes for some time."""
    until = cluster.now + seconds
    while cluster.now < until:
        for process in list(cluster.processes.values()):
            for _ in range(count - len(process.waiting)):
                process.add(1, 5.0)
        cluster.run_for(0.1)


def used_share(cluster, seconds):
    """Return the share of the limit that was used in the last seconds."""
    recent = [item for item in cluster.arrivals if item.at > cluster.now - seconds]
    return len(recent) / (seconds * cluster.named)


@pytest.mark.parametrize("size", [1, 4, 31])
@pytest.mark.parametrize("per_s", [0.5, 1.7, 40.0])
def test_limit_is_kept_and_used_while_work_waits(size, per_s):
    cluster = LimitCluster(size)
    cluster.name_rate(per_s)
    saturate(cluster, 30.0)
    assert cluster.excesses(is_strict=True) == []
    assert used_share(cluster, 20.0) >= 0.8


def test_all_processes_know_the_limit_soon_after_the_first_answer():
    """Guards against processes that learn the limit late because they send little themselves."""
    cluster = LimitCluster(20)
    cluster.name_rate(1.0)
    cluster.processes["p7"].add(0, 1.0)
    cluster.run_for(0.5)
    assert {process.limit.stated_per_s for process in cluster.processes.values()} == {1.0}


def test_ended_limit_binds_nobody_any_more():
    """Guards against a limit that is kept after it has ended."""
    cluster = LimitCluster(10)
    cluster.name_rate(2.0)
    saturate(cluster, 6.0)
    cluster.name_rate(None)
    saturate(cluster, 2.0)
    assert {process.limit.stated_per_s for process in cluster.processes.values()} == {None}


def test_limit_that_comes_back_is_kept():
    cluster = LimitCluster(10)
    for per_s in (2.0, None, 1.0):
        cluster.name_rate(per_s)
        saturate(cluster, 8.0)
    assert cluster.excesses() == []
    assert used_share(cluster, 4.0) >= 0.8


def test_raised_limit_is_used():
    cluster = LimitCluster(10)
    cluster.name_rate(0.5)
    saturate(cluster, 8.0)
    cluster.name_rate(20.0)
    saturate(cluster, 12.0)
    assert used_share(cluster, 4.0) >= 0.8


def find_owner(cluster, but=None):
    """Return the owner as a process other than the given one sees it."""
    return next(item for name, item in cluster.processes.items() if name != but).limit.owner


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_limit_is_kept_and_used_without_its_owner(fault):
    """Guards against work that waits for an owner that is gone, and against two owners."""
    cluster = LimitCluster(8)
    cluster.name_rate(5.0)
    saturate(cluster, 5.0)
    owner = find_owner(cluster)
    if fault == "kill":
        cluster.kill(owner)
    else:
        cluster.freeze(owner, 6.0)
    saturate(cluster, 3.0)
    assert find_owner(cluster, but=owner) != owner
    saturate(cluster, 10.0)
    assert cluster.excesses(is_strict=True) == []
    assert used_share(cluster, 4.0) >= 0.8


def test_halves_that_are_cut_off_from_each_other_share_the_limit():
    """Guards against two owners that both grant the whole limit."""
    cluster = LimitCluster(8)
    cluster.name_rate(20.0)
    saturate(cluster, 5.0)
    cluster.split(["p0", "p1", "p2", "p3"], 15.0)
    saturate(cluster, 14.0)
    assert cluster.excesses(is_strict=True) == []
    assert 0.8 <= used_share(cluster, 8.0) <= 1.2


def test_process_without_contact_in_a_large_fleet_sends_nothing():
    """Guards against processes that each send a first request when they have lost the others."""
    cluster = LimitCluster(12)
    cluster.name_rate(5.0)
    saturate(cluster, 5.0)
    cluster.split(["p3"], 20.0)
    cluster.run_for(5.0)
    saturate(cluster, 5.0)
    late = [item for item in cluster.arrivals if item.at > cluster.now - 4.0]
    assert late
    assert "p3" not in {item.process for item in late}


def test_process_that_does_not_know_the_others_yet_sends_nothing():
    """Guards against a process that has just started and takes itself for the only one."""
    limit = SharedLimit()
    limit.record_answer(StatementReading(100.0), 0.0, 0.0)
    for number in range(100):
        limit.want(0, 1, number * 0.1)
        limit.step(Fleet("me", ["me"], None), number * 0.1)
        assert not limit.may_start(number * 0.1)


def test_urgent_requests_get_the_starts_and_others_some():
    """Guards against urgent work that waits behind routine work, and against starved classes."""
    cluster = LimitCluster(6)
    cluster.name_rate(10.0)
    saturate(cluster, STABLE_S)
    begun = cluster.now
    until = begun + 20.0
    while cluster.now < until:
        for process in list(cluster.processes.values()):
            for rank in (0, 1):
                if sum(item.rank == rank for item in process.waiting) < 3:
                    process.add(rank, 5.0)
        cluster.run_for(0.05)
    ranks = [item.rank for at, item in cluster.started if at > begun + 1.0]
    assert ranks.count(0) >= 0.8 * len(ranks)


def test_start_without_a_grant_is_refused():
    limit = SharedLimit()
    limit.record_answer(StatementReading(1.0), 0.0, 0.0)
    with pytest.raises(ValueError, match="expected a start"):
        limit.take(0, 0.1)


def test_former_owner_does_not_send_the_limit_to_all_any_more():
    """Guards against traffic that grows with each process that has owned the limit once."""
    cluster = LimitCluster(6)
    cluster.name_rate(5.0)
    saturate(cluster, 4.0)
    owner = find_owner(cluster)
    cluster.freeze(owner, 2.0)
    saturate(cluster, 10.0)
    assert find_owner(cluster) == owner
    cluster.messages.clear()
    saturate(cluster, 4.0)
    senders = [name for name, count in cluster.messages.items() if count > 4.0 * 10]
    assert senders == [owner]
