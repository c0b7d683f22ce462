"""Placement by many processes with outdated loads of each other."""

import random
from collections import deque

import attrs
import pytest

from burdockquay_coordination.forwarding import (
    Demand,
    EngineModel,
    ListedUpstream,
    LoadShare,
    Prompt,
    PromptQueue,
    ServiceTargets,
    UpstreamChanges,
    UpstreamRegistry,
    WaitingPrompt,
    _waiting,
)

TOKENS_PER_S = 50_000
TICK_S = 0.01
TARGET_S = 0.4
PATIENCE_S = 4.0


@attrs.define(eq=False)
class Sent:
    """A prompt that was sent to an upstream."""

    process: int
    call: str
    prompt: Prompt
    left: float
    target_at: float


class Fleet:
    """Processes that decide independently, and as many engines that read one prompt after another.

    Parameters
    ----------
    delay_s : float
        Age of the loads that each process has of the others, seconds.
    seed : int
    size : int
        Number of processes, and of engines.
    arrivals_per_s : int
    burst_s : float
    parts : int
        Number of shared parts, of which each prompt has one.
    tightest_s : float
        Tightest target of the service, seconds; the prompts here may have a later one.
    """

    def __init__(
        self,
        delay_s,
        seed,
        size=12,
        arrivals_per_s=200,
        burst_s=3.0,
        parts=60,
        tightest_s=TARGET_S,
    ):
        self.size = size
        self.arrivals_per_s = arrivals_per_s
        self.burst_s = burst_s
        self.parts = parts
        self.tightest_s = tightest_s
        self.rng = random.Random(seed)
        self.delay_ticks = round(delay_s / TICK_S)
        self.now = 0.0
        self.registries = [self._make_registry() for _ in range(self.size)]
        self.queues = [PromptQueue() for _ in range(self.size)]
        self.model = EngineModel()
        self.engines = {f"u{number}": deque() for number in range(self.size)}
        self.history = deque(maxlen=self.delay_ticks + 1)
        self.requests = 0
        self.in_time = 0

    def _make_registry(self):
        entries = [
            ListedUpstream(f"u{number}", "s", "h", 1, "a", 12, False, 1)
            for number in range(self.size)
        ]
        registry = UpstreamRegistry()
        registry.apply(UpstreamChanges(True, tuple(entries)), 0.0)
        return registry

    def run(self):
        """Run a burst and the time until its end; return the share of requests in time."""
        while self.now < self.burst_s + 2.0:
            if self.now < self.burst_s:
                self._add_requests()
            self._exchange_loads()
            for process in range(self.size):
                self._start(process)
            self._run_engines()
            self.now += TICK_S
        return self.in_time / self.requests

    def _add_requests(self):
        for _ in range(round(self.arrivals_per_s * TICK_S)):
            self.requests += 1
            shared = f"part{self.rng.randrange(self.parts)}"
            prompt = Prompt(((shared, 3000), (f"own{self.requests}", 3000)), 50)
            waiting = WaitingPrompt(
                Demand(prompt, TARGET_S, PATIENCE_S),
                1,
                self.now + TARGET_S,
                self.now + 1.0,
                (),
                f"call{self.requests}",
            )
            self.queues[self.rng.randrange(self.size)].add(waiting)

    def _exchange_loads(self):
        """Let each process receive the loads that the others had some time ago."""
        self.history.append(
            [{item.id: item.share() for item in registry.all()} for registry in self.registries]
        )
        received = self.history[0]
        for me, registry in enumerate(self.registries):
            for upstream in registry.all():
                others = [received[other][upstream.id] for other in range(self.size) if other != me]
                tokens = sum(share.tokens for share in others)
                running = sum(share.running for share in others)
                upstream.pending.receive_update("others", LoadShare(tokens, running), self.now)

    def _start(self, process):
        queue = self.queues[process]
        upstreams = self.registries[process].of_service("s")
        targets = ServiceTargets(self.tightest_s, 0)
        for start in queue.take_starts(upstreams, self.model, targets, self.now):
            upstream, waiting = start.placement.upstream, start.waiting
            prompt = waiting.demand.prompt
            upstream.pending.add(waiting.owner, start.placement.tokens, self.now)
            upstream.outstanding += 1
            sent = Sent(process, waiting.owner, prompt, start.placement.tokens, waiting.target_at)
            self.engines[upstream.id].append(sent)
        queue.take_expired(self.now)

    def _run_engines(self):
        for name, prompts in self.engines.items():
            budget = TOKENS_PER_S * TICK_S
            while prompts and budget > 0:
                step = min(budget, prompts[0].left)
                budget -= step
                prompts[0].left -= step
                if prompts[0].left <= 0:
                    self._finish(name, prompts.popleft())

    def _finish(self, name, sent):
        self.in_time += self.now + TICK_S <= sent.target_at
        upstream = self.registries[sent.process].find(name)
        upstream.pending.remove(sent.call)
        upstream.outstanding -= 1
        for registry in self.registries:
            registry.find(name).record_prompt_read(sent.prompt)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_recent_loads_serve_a_burst_of_long_prompts_better(seed):
    """A dozen processes send a burst of long prompts to a dozen engines.

    Each process has its own load at once and those of the others a second late, as if hundreds of
    processes each sent their loads to all others. Many then choose the same engine, whose prompts
    are late while other engines have nothing to read.
    """
    recent = Fleet(0.05, seed).run()
    outdated = Fleet(1.0, seed).run()
    assert recent > outdated + 0.1


def test_fewer_candidates_per_decision_are_better_with_many_processes():
    """Twenty processes send a burst and receive loads of each other a tenth of a second late.

    With many candidates all processes find the same upstream idle and send their prompts there at
    the same moment, so that these are late while other upstreams have nothing to read.
    """

    def run(processes, seed):
        fleet = Fleet(0.1, seed, size=20, arrivals_per_s=300, burst_s=1.5, parts=300)
        fleet.model.processes = processes
        return fleet.run()

    seeds = [1, 2, 3]
    with_fewer_candidates = [run(20, seed) for seed in seeds]
    with_more_candidates = [run(1, seed) for seed in seeds]
    assert all(
        more > less for more, less in zip(with_fewer_candidates, with_more_candidates, strict=True)
    )
    assert sum(with_fewer_candidates) > 1.05 * sum(with_more_candidates)


def test_large_fleet_starts_requests_before_an_upstream_has_nothing_to_read(monkeypatch):
    """Twenty processes send as many long prompts as the engines can read.

    Guards against requests that wait at all processes until the loads show an upstream below the
    window, and then start there together. The service also has more urgent requests with half the
    target, for which the window is made.
    """

    def run(seed):
        fleet = Fleet(
            0.08, seed, size=20, arrivals_per_s=200, burst_s=1.5, parts=300, tightest_s=TARGET_S / 2
        )
        fleet.model.processes = 20
        return fleet.run()

    seeds = [1, 2, 3]
    beyond_the_window = [run(seed) for seed in seeds]
    monkeypatch.setattr(_waiting, "OUTDATED_LOADS_S", 0.0)
    within_the_window = [run(seed) for seed in seeds]
    assert all(more > less for more, less in zip(beyond_the_window, within_the_window, strict=True))
