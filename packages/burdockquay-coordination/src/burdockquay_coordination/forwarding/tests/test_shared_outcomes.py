"""Detection of failing upstreams by many processes together."""

import random

import pytest

from burdockquay_coordination.forwarding import (
    OutcomeRelay,
    Outcomes,
    UpstreamChanges,
    UpstreamRegistry,
    choose_upstream,
)

from .test_upstreams import entry

PROCESSES = 40
UPSTREAMS = 20
FAILING = {f"u{number}" for number in range(5)}
TICK_S = 0.04
REQUESTS_PER_TICK = 12
DURATION_S = 6.0


class Fleet:
    """Processes that send to upstreams, some of which fail every request.

    Parameters
    ----------
    shares : bool
        Whether the processes send each other the outcomes of their requests, a tick later.
    unreachable : bool
        Whether the failing upstreams refuse connections; otherwise they reset requests.
    seed : int
    """

    def __init__(self, shares, unreachable, seed):
        self.rng = random.Random(seed)
        self.shares = shares
        self.unreachable = unreachable
        self.outcome_relay = OutcomeRelay()
        self.outcome_relay.set_recipients(near=map(str, range(PROCESSES)), far=[])
        self.registries = [UpstreamRegistry(self.rng) for _ in range(PROCESSES)]
        listed = tuple(entry(f"u{number}", 1) for number in range(UPSTREAMS))
        for registry in self.registries:
            registry.apply(UpstreamChanges(True, listed), 0.0)

    def run(self):
        """Return the total number of failed requests."""
        failed = 0
        for tick in range(round(DURATION_S / TICK_S)):
            now = 10.0 + tick * TICK_S
            failed += sum(self._send(now) for _ in range(REQUESTS_PER_TICK))
            self._exchange_outcomes(now)
        return failed

    def _send(self, now):
        registry = self.rng.choice(self.registries)
        upstream = choose_upstream(registry.of_service("s"), "a", (), now, self.rng)
        if upstream.id not in FAILING:
            upstream.health.record_success(now)
        elif self.unreachable:
            upstream.health.record_unreachable(now)
        else:
            upstream.health.record_failure(now)
        return upstream.id in FAILING

    def _exchange_outcomes(self, now):
        for number, registry in enumerate(self.registries):
            sent = {
                upstream.id: outcomes
                for upstream in registry.all()
                if (outcomes := upstream.health.take_unsent_outcomes()) is not None
            }
            self.outcome_relay.receive_update(str(number), sent, is_near=True)
        for number, registry in enumerate(self.registries):
            for id_, outcomes in self.outcome_relay.take(str(number)).items():
                if self.shares:
                    registry.find(id_).health.apply_peer_outcomes(outcomes, now)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("unreachable", [False, True], ids=["reset", "refused"])
def test_processes_detect_failing_upstreams_together(unreachable, seed):
    """Five of twenty upstreams go down at once, or answer health checks and reset requests.

    Alone, each of forty processes would have to fail several times at each of them before it avoids
    it, and again after each suspension: most requests of these seconds would be lost or retried.
    """
    alone = Fleet(False, unreachable, seed).run()
    together = Fleet(True, unreachable, seed).run()
    assert alone > 300
    assert together < alone / 3


def test_one_process_without_a_link_does_not_suspend_an_upstream(make_upstream):
    """A process whose own link is down reports an upstream as unreachable, more than once."""
    cut, other = make_upstream("a"), make_upstream("a")
    for now in (0.0, 0.1, 0.6, 0.7):
        cut.health.record_unreachable(now)
        sent = cut.health.take_unsent_outcomes()
        other.health.apply_peer_outcomes(sent, now)
        assert not other.health.suspended(now)


def test_answer_ends_a_suspension_by_peer_reports(make_upstream):
    upstream = make_upstream("a")
    upstream.health.apply_peer_outcomes(Outcomes(failed=2, unreachable=2), 0.0)
    assert upstream.health.suspended(0.1)
    upstream.health.record_success(0.2)
    assert not upstream.health.suspended(0.2)


def test_few_failures_among_many_answers_do_not_degrade_an_upstream(make_upstream):
    """All processes together see a few failures of a healthy upstream every second."""
    upstream = make_upstream("a")
    for number in range(200):
        upstream.health.apply_peer_outcomes(Outcomes(whole=18, failed=2), 0.1 * number)
        assert not upstream.health.is_degraded(0.1 * number)


def test_processes_retry_an_upstream_at_different_times():
    """An upstream that all processes consider degraded is tried again.

    If all retried it at the same moment, as many requests would fail as without shared outcomes.
    """
    rng = random.Random(1)
    registries = [UpstreamRegistry(rng) for _ in range(20)]
    returned = []
    for registry in registries:
        registry.apply(UpstreamChanges(True, (entry("a", 1),)), 0.0)
        health = registry.of_service("s")[0].health
        health.apply_peer_outcomes(Outcomes(failed=40), 0.0)
        returned.append(next(t for t in range(100) if not health.is_degraded(0.1 * t)))
    assert max(returned) - min(returned) > 10
    assert max(returned) < 40


def test_relay_sends_outcomes_of_its_domain_once():
    outcome_relay = OutcomeRelay()
    outcome_relay.set_recipients(near=["near"], far=["far"])
    outcome_relay.receive_update("me", {"u": Outcomes(failed=1)}, is_near=True)
    outcome_relay.receive_update("far", {"u": Outcomes(failed=2)}, is_near=False)
    assert outcome_relay.take("near") == {"u": Outcomes(failed=3)}
    assert outcome_relay.take("far") == {"u": Outcomes(failed=1)}
    assert outcome_relay.take("near") == {}
