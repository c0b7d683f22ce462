"""Replay load patterns against the forwarder's prompt scheduling, with a model of the engines.

Four policies receive the same requests. ``fifo`` sends each immediately to the engine with the
fewest requests. ``homes`` sends each immediately to one of the two preferred engines of its shared
part. ``queue`` is the current policy. ``ideal`` is one queue with exact knowledge of what each
engine has cached and still has to read. Engines read prompts in order of the urgency level sent by
the policy; only the current one sends any. The figures are the shares of short urgent and of long
requests whose first token is in time. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import random
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from burdockquay_coordination.forwarding import (
    SHORT_READING_SHARE,
    Demand,
    EngineModel,
    ListedUpstream,
    Placement,
    Prompt,
    PromptQueue,
    ServiceTargets,
    Upstream,
    WaitingPrompt,
    urgency_level,
)
from burdockquay_coordination.forwarding._choice import rank_preferred_upstreams
from burdockquay_state import Registry

FETCH_S = 0.008
"""Time in which an engine fetches the shared parts of a prompt from another one, seconds."""
STEP_S = 0.005
"""Time step of the simulation, seconds."""
SECONDS = 20.0
ENGINES = 6
TOKENS_PER_S = 45_000.0
"""Prompt tokens that an engine reads per second while it also writes answers."""
MEMORY_TOKENS = 285_000
SHARED_PARTS = 300
"""Number of shared parts of long prompts."""
SHORT_TARGET_S = 0.25
LONG_TARGET_S = 0.5
MAX_WAIT_S = 1.2
"""Waiting time after which the current policy refuses a request, seconds."""


@attrs.define(eq=False)
class Request:
    """One request, with its arrival time and the time of its first token."""

    id: int
    at: float
    prompt: Prompt
    is_short: bool
    urgency: int
    target_s: float
    first_at: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether the first token arrived within the target."""
        return self.first_at is not None and self.first_at - self.at <= self.target_s


@attrs.define(eq=False)
class QueuedPrompt:
    """A prompt queued at an engine, with the number of tokens still to be read."""

    request: Request
    level: int
    tokens_left: float


class Engine:
    """Model of an engine that reads prompts by level, then arrival, and caches their parts."""

    def __init__(self, number: int):
        entry = ListedUpstream(f"e{number}", "writers", "10.0.0.1", 80, "a", 64, False, 1)
        self.upstream = Upstream(entry)
        self.queue: list[QueuedPrompt] = []
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.is_removed = False

    def missing(self, prompt: Prompt) -> int:
        """Return the number of tokens of a prompt that are not cached here."""
        for position, (part, _) in enumerate(prompt.parts):
            if part not in self.parts:
                return sum(tokens for _, tokens in prompt.parts[position:])
        return 0

    def backlog(self) -> float:
        """Return the number of queued tokens still to be read."""
        return sum(reading.tokens_left for reading in self.queue)

    def send(self, request: Request, level: int = 0, source: Engine | None = None) -> None:
        """Queue a request, whose cached parts may be fetched from another engine."""
        tokens = self.missing(request.prompt)
        if source is not None and source.missing(request.prompt) < tokens:
            tokens = source.missing(request.prompt) + FETCH_S * TOKENS_PER_S
        for part, size in request.prompt.parts:
            self.parts[part] = size
            self.parts.move_to_end(part)
        while sum(self.parts.values()) > MEMORY_TOKENS:
            self.parts.popitem(last=False)
        self.queue.append(QueuedPrompt(request, level, max(tokens, 1.0)))
        self.queue.sort(key=lambda reading: reading.level)

    def run(self, now: float) -> list[Request]:
        """Read for one time step and return the requests that got their first token."""
        budget = TOKENS_PER_S * STEP_S
        done = []
        while self.queue and budget > 0:
            reading = self.queue[0]
            read = min(reading.tokens_left, budget)
            budget -= read
            reading.tokens_left -= read
            if reading.tokens_left <= 0:
                self.queue.pop(0)
                reading.request.first_at = now
                done.append(reading.request)
        return done


@attrs.frozen
class SentRequest:
    """A request sent by the current policy, and the number of tokens queued ahead of it."""

    at: float
    ahead: int
    placement: Placement


policies: Registry[Callable] = Registry("policy")


class Policy:
    """Base class of policies, which decide where and when requests are sent."""

    def __init__(self, engines: list[Engine]):
        self.engines = engines

    def live(self) -> list[Engine]:
        """Return the engines that are available."""
        return [engine for engine in self.engines if not engine.is_removed]

    def arrive(self, request: Request, now: float) -> None:
        """Receive a new request."""

    def dispatch(self, now: float) -> None:
        """Send the requests that may be sent now."""

    def first_token(self, engine: Engine, request: Request, now: float) -> None:
        """Receive the first token of a request."""


@policies.register("fifo")
class FewestRequests(Policy):
    """Policy that sends immediately to the engine with the fewest requests."""

    def arrive(self, request: Request, now: float) -> None:
        """Send a new request."""
        min(self.live(), key=lambda engine: len(engine.queue)).send(request)


@policies.register("homes")
class TwoPreferred(Policy):
    """Policy that sends immediately to one of the two preferred engines of the shared part."""

    def arrive(self, request: Request, now: float) -> None:
        """Send a new request."""
        by_upstream = {engine.upstream: engine for engine in self.live()}
        first, second = rank_preferred_upstreams(list(by_upstream), request.prompt.key, 2)
        first, second = by_upstream[first], by_upstream[second]
        preferred = second if len(first.queue) >= len(second.queue) + 1.5 else first
        preferred.send(request)


@policies.register("queue")
class Queue(Policy):
    """The current policy of the forwarder."""

    def __init__(self, engines: list[Engine]):
        super().__init__(engines)
        self.model = EngineModel()
        self.waiting = PromptQueue()
        self.targets = ServiceTargets(SHORT_TARGET_S, 0)
        self.sent: dict[int, SentRequest] = {}

    def arrive(self, request: Request, now: float) -> None:
        """Queue a new request."""
        demand = Demand(
            request.prompt, request.target_s, 12.0, SHORT_READING_SHARE * SHORT_TARGET_S
        )
        due = request.at + request.target_s
        give_up_at = request.at + MAX_WAIT_S
        self.waiting.add(WaitingPrompt(demand, request.urgency, due, give_up_at, (), request))

    def dispatch(self, now: float) -> None:
        """Send the requests that may be sent now."""
        by_upstream = {engine.upstream: engine for engine in self.live()}
        upstreams = list(by_upstream)
        while start := self.waiting.take_start(upstreams, self.model, self.targets, now):
            request: Request = start.waiting.owner
            placement = start.placement
            upstream = placement.upstream
            ahead = 0 if placement.is_short else upstream.pending.tokens(now)
            self.sent[request.id] = SentRequest(now, ahead, placement)
            upstream.pending.add(str(request.id), placement.tokens, now)
            upstream.outstanding += 1
            upstream.record_sent(request.prompt)
            level = urgency_level(request.urgency, request.urgency, placement.is_short)
            by_upstream[upstream].send(request, level, by_upstream.get(placement.source))
        self.waiting.take_expired(now)

    def first_token(self, engine: Engine, request: Request, now: float) -> None:
        """Update the model and the upstream from a first token."""
        sent = self.sent.pop(request.id)
        upstream = engine.upstream
        seconds = max(now - sent.at, 0.001)
        placement = sent.placement
        self.model.update_first_token(
            upstream,
            sent.ahead,
            placement.tokens,
            seconds,
            now,
            placement.fetched_tokens,
            placement.is_short,
        )
        upstream.record_prompt_read(request.prompt)
        upstream.pending.remove(str(request.id))
        upstream.outstanding -= 1


@policies.register("ideal")
class Ideal(Policy):
    """Policy of one queue with exact knowledge of what each engine has cached and has to read."""

    def __init__(self, engines: list[Engine]):
        super().__init__(engines)
        self.waiting: list[Request] = []

    def arrive(self, request: Request, now: float) -> None:
        """Queue a new request."""
        self.waiting.append(request)

    def dispatch(self, now: float) -> None:
        """Send each idle engine the best request: still in time, urgent, and soonest read there."""
        for engine in self.live():
            while not engine.queue and (best := self._best(engine, now)) is not None:
                self.waiting.remove(best)
                engine.send(best)

    def _best(self, engine: Engine, now: float) -> Request | None:
        def rank(request: Request) -> tuple[bool, int, int, float]:
            tokens = engine.missing(request.prompt)
            late = now + tokens / TOKENS_PER_S > request.at + request.target_s
            elsewhere = any(
                other.missing(request.prompt) < tokens for other in self.live() if other != engine
            )
            return (late, request.urgency, tokens + 5000 * elsewhere, request.at)

        return min(self.waiting, key=rank, default=None)


@attrs.frozen
class Pattern:
    """A load pattern: requests per second as functions of time, engines that are removed, and
    whether short and long requests have the same priority."""

    long_per_s: Callable[[float], float]
    short_per_s: Callable[[float], float]
    hot_share: float = 0.0
    removal_at: float | None = None
    removed: int = 0
    one_priority: bool = False


def _burst(base: float, peak: float, start: float = 5.0, end: float = 10.0):
    return lambda now: peak if start <= now < end else base


PATTERNS = {
    "calm": Pattern(_burst(15, 15), _burst(19, 19)),
    "burst of long prompts": Pattern(_burst(15, 45), _burst(19, 19)),
    "one priority, engines gone": Pattern(
        _burst(15, 45), _burst(19, 19), removal_at=5.0, removed=2, one_priority=True
    ),
    "burst of short prompts": Pattern(_burst(15, 15), _burst(19, 120)),
    "hot shared part": Pattern(_burst(15, 25), _burst(19, 19), hot_share=0.5),
    "a third of the engines gone": Pattern(
        _burst(15, 30), _burst(19, 19), removal_at=5.0, removed=2
    ),
}


def make_requests(pattern: Pattern, rng: random.Random) -> list[Request]:
    """Return the requests of one simulation."""
    requests = []
    now = 0.0
    while now < SECONDS:
        for rate, make in ((pattern.long_per_s, _make_long), (pattern.short_per_s, _make_short)):
            if rng.random() < rate(now) * STEP_S:
                requests.append(make(len(requests), now, pattern, rng))
        now += STEP_S
    return requests


def _make_long(number: int, now: float, pattern: Pattern, rng: random.Random) -> Request:
    hot = rng.random() < pattern.hot_share
    shared_part = 0 if hot else rng.randrange(SHARED_PARTS)
    own = int(rng.lognormvariate(7.5, 0.8))
    parts = ((f"all{shared_part % 4}", 2500), (f"s{shared_part}", 3800), (f"o{number}", own))
    return Request(number, now, Prompt(parts, 54), False, 1, LONG_TARGET_S)


def _make_short(number: int, now: float, pattern: Pattern, rng: random.Random) -> Request:
    shared_part = rng.randrange(SHARED_PARTS)
    parts = ((f"a{shared_part % 40}", 120), (f"b{shared_part}", 80), (f"o{number}", 630))
    urgency = 1 if pattern.one_priority else 0
    return Request(number, now, Prompt(parts, 290), True, urgency, SHORT_TARGET_S)


def simulate(pattern: Pattern, name: str, seed: int) -> dict[str, float]:
    """Simulate one policy under one pattern; return the shares of requests in time."""
    requests = make_requests(pattern, random.Random(seed))
    engines = [Engine(number) for number in range(ENGINES)]
    policy = policies.get(name)(engines)
    arrivals = deque(requests)
    now = 0.0
    while now < SECONDS + 4:
        if pattern.removal_at is not None and now >= pattern.removal_at:
            for engine in engines[: pattern.removed]:
                engine.is_removed = True
                engine.queue.clear()
        while arrivals and arrivals[0].at <= now:
            policy.arrive(arrivals.popleft(), now)
        policy.dispatch(now)
        now += STEP_S
        for engine in policy.live():
            for request in engine.run(now):
                policy.first_token(engine, request, now)
    shares = {}
    for label, is_short in (("short", True), ("long", False)):
        chosen = [request for request in requests if request.is_short is is_short]
        shares[label] = sum(request.in_time for request in chosen) / len(chosen)
    return shares


def main() -> None:
    """Simulate all patterns with all policies and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    names = ("fifo", "homes", "queue", "ideal")
    result: dict[str, dict[str, dict[str, float]]] = {}
    print(f"{'in time, short / long':30}", *(f"{name:>13}" for name in names))
    for label, pattern in PATTERNS.items():
        rows = {name: simulate(pattern, name, seed) for name in names}
        result[label] = rows
        cells = (f"{rows[name]['short']:.2f} / {rows[name]['long']:.2f}" for name in names)
        print(f"{label:30}", *(f"{cell:>13}" for cell in cells))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
