"""Replays load patterns against the forwarder's decisions on prompts, with a model of the engines.

Four policies see the same requests: ``fifo`` sends each at once to the engine with the fewest
requests, ``homes`` sends at once to one of two homes of the shared part, ``queue`` is the present
policy, and ``ideal`` is one queue that knows exactly what each engine holds and still has to read.
Engines read by the level of urgency that a policy tells them; only the present one tells any.
The figures are the shares of short urgent and of long requests whose first token is in time; the
last line is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import random
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from burdockquay_coordination.forwarding import (
    SHORT_SHARE,
    Demand,
    EngineModel,
    ListedUpstream,
    Placement,
    Prompt,
    PromptQueue,
    ServiceTargets,
    Upstream,
    UrgencyScale,
    WaitingPrompt,
)
from burdockquay_coordination.forwarding._choice import rank_homes
from burdockquay_state import Registry

FETCH_S = 0.008
"""Time in which an engine fetches the shared parts of a prompt from another one, seconds."""
STEP_S = 0.005
"""Time between two looks of the simulation, seconds."""
SECONDS = 20.0
ENGINES = 6
TOKENS_PER_S = 45_000.0
"""Tokens that an engine reads in a second beside the answers it writes."""
MEMORY_TOKENS = 285_000
SUBJECTS = 300
"""Shared parts of long prompts."""
SHORT_TARGET_S = 0.25
LONG_TARGET_S = 0.5
HOLD_S = 1.2
"""Wait after which the present policy refuses, seconds."""


@attrs.define(eq=False)
class Request:
    """One request: when it came, and when its first token came."""

    id: int
    at: float
    prompt: Prompt
    is_short: bool
    urgency: int
    target_s: float
    first_at: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether the first token came within the target."""
        return self.first_at is not None and self.first_at - self.at <= self.target_s


@attrs.define(eq=False)
class Reading:
    """A prompt at an engine, and how much of it is still to be read."""

    request: Request
    level: int
    left: float


class Engine:
    """Reads prompts by level, then in the order they came, and keeps parts in memory."""

    def __init__(self, number: int):
        entry = ListedUpstream(f"e{number}", "writers", "10.0.0.1", 80, "a", 64, False, 1)
        self.upstream = Upstream(entry)
        self.queue: list[Reading] = []
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.gone = False

    def missing(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that must be read here."""
        for position, (part, _) in enumerate(prompt.parts):
            if part not in self.parts:
                return sum(tokens for _, tokens in prompt.parts[position:])
        return 0

    def backlog(self) -> float:
        """Return the tokens that wait to be read."""
        return sum(reading.left for reading in self.queue)

    def send(self, request: Request, level: int = 0, source: Engine | None = None) -> None:
        """Take a request, whose parts may be fetched from another engine."""
        tokens = self.missing(request.prompt)
        if source is not None and source.missing(request.prompt) < tokens:
            tokens = source.missing(request.prompt) + FETCH_S * TOKENS_PER_S
        for part, size in request.prompt.parts:
            self.parts[part] = size
            self.parts.move_to_end(part)
        while sum(self.parts.values()) > MEMORY_TOKENS:
            self.parts.popitem(last=False)
        self.queue.append(Reading(request, level, max(tokens, 1.0)))
        self.queue.sort(key=lambda reading: reading.level)

    def run(self, now: float) -> list[Request]:
        """Read for one step and return the requests whose first token came."""
        budget = TOKENS_PER_S * STEP_S
        done = []
        while self.queue and budget > 0:
            reading = self.queue[0]
            read = min(reading.left, budget)
            budget -= read
            reading.left -= read
            if reading.left <= 0:
                self.queue.pop(0)
                reading.request.first_at = now
                done.append(reading.request)
        return done


@attrs.frozen
class Sent:
    """A request that the present policy sent, and the tokens that are read before its own."""

    at: float
    ahead: int
    placement: Placement


policies: Registry[Callable] = Registry("policy")


class Policy:
    """What decides where and when requests are sent."""

    def __init__(self, engines: list[Engine]):
        self.engines = engines

    def live(self) -> list[Engine]:
        """Return the engines that are there."""
        return [engine for engine in self.engines if not engine.gone]

    def arrive(self, request: Request, now: float) -> None:
        """Take a new request."""

    def look(self, now: float) -> None:
        """Send what may be sent now."""

    def first_token(self, engine: Engine, request: Request, now: float) -> None:
        """Hear of a first token."""


@policies.register("fifo")
class Fifo(Policy):
    """Sends at once to the engine with the fewest requests."""

    def arrive(self, request: Request, now: float) -> None:
        """Send a new request."""
        min(self.live(), key=lambda engine: len(engine.queue)).send(request)


@policies.register("homes")
class Homes(Policy):
    """Sends at once to one of two homes of the shared part."""

    def arrive(self, request: Request, now: float) -> None:
        """Send a new request."""
        by_upstream = {engine.upstream: engine for engine in self.live()}
        first, second = rank_homes(list(by_upstream), request.prompt.key, 2)
        first, second = by_upstream[first], by_upstream[second]
        home = second if len(first.queue) >= len(second.queue) + 1.5 else first
        home.send(request)


@policies.register("queue")
class Queue(Policy):
    """The present policy."""

    def __init__(self, engines: list[Engine]):
        super().__init__(engines)
        self.model = EngineModel()
        self.waiting = PromptQueue()
        self.targets = ServiceTargets(SHORT_TARGET_S, 0)
        self.scale = UrgencyScale((0, 1))
        self.sent: dict[int, Sent] = {}

    def arrive(self, request: Request, now: float) -> None:
        """Let a new request wait."""
        demand = Demand(request.prompt, request.target_s, 12.0, SHORT_SHARE * SHORT_TARGET_S)
        due = request.at + request.target_s
        hold = request.at + HOLD_S
        self.waiting.add(WaitingPrompt(demand, request.urgency, due, hold, (), request))

    def look(self, now: float) -> None:
        """Send what may be sent now."""
        by_upstream = {engine.upstream: engine for engine in self.live()}
        upstreams = list(by_upstream)
        while start := self.waiting.take_start(upstreams, self.model, self.targets, now):
            request: Request = start.waiting.owner
            placement = start.placement
            upstream = placement.upstream
            ahead = 0 if placement.is_short else upstream.pending.tokens(now)
            self.sent[request.id] = Sent(now, ahead, placement)
            upstream.pending.add(str(request.id), placement.tokens, now)
            upstream.outstanding += 1
            upstream.note_sent(request.prompt)
            level = self.scale.level(request.urgency, placement.is_short)
            by_upstream[upstream].send(request, level, by_upstream.get(placement.source))
        self.waiting.take_expired(now)

    def first_token(self, engine: Engine, request: Request, now: float) -> None:
        """Learn from a first token."""
        sent = self.sent.pop(request.id)
        upstream = engine.upstream
        seconds = max(now - sent.at, 0.001)
        placement = sent.placement
        self.model.learn_first_token(
            upstream,
            sent.ahead,
            placement.tokens,
            seconds,
            now,
            placement.fetched_tokens,
            placement.is_short,
        )
        upstream.note_prompt(request.prompt)
        upstream.pending.remove(str(request.id))
        upstream.outstanding -= 1


@policies.register("ideal")
class Ideal(Policy):
    """One queue that knows what each engine holds and has to read."""

    def __init__(self, engines: list[Engine]):
        super().__init__(engines)
        self.waiting: list[Request] = []

    def arrive(self, request: Request, now: float) -> None:
        """Let a new request wait."""
        self.waiting.append(request)

    def look(self, now: float) -> None:
        """Give each idle engine the request that still is in time and is read soonest there."""
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
    """A load pattern: requests a second at a moment, engines that go, and whether short and long
    requests have the same priority."""

    long_per_s: Callable[[float], float]
    short_per_s: Callable[[float], float]
    hot_share: float = 0.0
    gone_at: float | None = None
    gone: int = 0
    one_priority: bool = False


def _burst(base: float, peak: float, start: float = 5.0, end: float = 10.0):
    return lambda now: peak if start <= now < end else base


PATTERNS = {
    "calm": Pattern(_burst(15, 15), _burst(19, 19)),
    "burst of long prompts": Pattern(_burst(15, 45), _burst(19, 19)),
    "one priority, engines gone": Pattern(
        _burst(15, 45), _burst(19, 19), gone_at=5.0, gone=2, one_priority=True
    ),
    "burst of short prompts": Pattern(_burst(15, 15), _burst(19, 120)),
    "hot shared part": Pattern(_burst(15, 25), _burst(19, 19), hot_share=0.5),
    "a third of the engines gone": Pattern(_burst(15, 30), _burst(19, 19), gone_at=5.0, gone=2),
}


def make_requests(pattern: Pattern, rng: random.Random) -> list[Request]:
    """Return the requests of one play."""
    requests = []
    now = 0.0
    while now < SECONDS:
        for rate, make in ((pattern.long_per_s, _long), (pattern.short_per_s, _short)):
            if rng.random() < rate(now) * STEP_S:
                requests.append(make(len(requests), now, pattern, rng))
        now += STEP_S
    return requests


def _long(number: int, now: float, pattern: Pattern, rng: random.Random) -> Request:
    hot = rng.random() < pattern.hot_share
    subject = 0 if hot else rng.randrange(SUBJECTS)
    own = int(rng.lognormvariate(7.5, 0.8))
    parts = ((f"all{subject % 4}", 2500), (f"s{subject}", 3800), (f"o{number}", own))
    return Request(number, now, Prompt(parts, 54), False, 1, LONG_TARGET_S)


def _short(number: int, now: float, pattern: Pattern, rng: random.Random) -> Request:
    subject = rng.randrange(SUBJECTS)
    parts = ((f"a{subject % 40}", 120), (f"b{subject}", 80), (f"o{number}", 630))
    urgency = 1 if pattern.one_priority else 0
    return Request(number, now, Prompt(parts, 290), True, urgency, SHORT_TARGET_S)


def play(pattern: Pattern, name: str, seed: int) -> dict[str, float]:
    """Return the shares in time of one policy under one pattern."""
    requests = make_requests(pattern, random.Random(seed))
    engines = [Engine(number) for number in range(ENGINES)]
    policy = policies.get(name)(engines)
    coming = deque(requests)
    now = 0.0
    while now < SECONDS + 4:
        if pattern.gone_at is not None and now >= pattern.gone_at:
            for engine in engines[: pattern.gone]:
                engine.gone = True
                engine.queue.clear()
        while coming and coming[0].at <= now:
            policy.arrive(coming.popleft(), now)
        policy.look(now)
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
    """Play all patterns with all policies and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    names = ("fifo", "homes", "queue", "ideal")
    result: dict[str, dict[str, dict[str, float]]] = {}
    print(f"{'in time, short / long':30}", *(f"{name:>13}" for name in names))
    for label, pattern in PATTERNS.items():
        rows = {name: play(pattern, name, seed) for name in names}
        result[label] = rows
        cells = (f"{rows[name]['short']:.2f} / {rows[name]['long']:.2f}" for name in names)
        print(f"{label:30}", *(f"{cell:>13}" for cell in cells))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
