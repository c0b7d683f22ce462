"""Simulated processes and engines in a burst of urgent prompts, for ``bench_urgency``."""

from __future__ import annotations

import itertools
import random
from collections import deque

import attrs

from burdockquay_coordination.forwarding import (
    SHORT_READING_SHARE,
    Demand,
    EngineModel,
    ListedUpstream,
    LoadShare,
    Placement,
    Prompt,
    PromptQueue,
    ServiceTargets,
    Upstream,
    WaitingPrompt,
    urgency_level,
)

TICK_S = 0.01
EVALUATION_S = 0.02
LOADS_AGE_S = 0.08
"""Age of the loads that a process has of the others, seconds."""

PLACES, MEMORY_TOKENS = 12, 60_000
READ_PER_S, EVENT_S = 50_000, 0.03
"""Tokens that an engine reads per second, and the time between two events of an answer, seconds."""


@attrs.frozen
class Kind:
    """Requests of one route.

    Parameters
    ----------
    priority : int
    shared, own : int
        Prompt tokens.
    events : int
    target_s, patience_s, hold_s : float
    per_s : float
        Requests per second and engine.
    """

    priority: int
    shared: int
    own: int
    events: int
    target_s: float
    patience_s: float
    hold_s: float
    per_s: float


URGENT = Kind(0, 200, 600, 50, 0.5, 12.0, 1.2, 4.0)
OTHER = Kind(1, 6000, 3000, 9, 0.6, 5.0, 1.6, 2.0)
TARGETS = ServiceTargets(URGENT.target_s, 0, least_urgent=1)


@attrs.define(eq=False)
class Request:
    """One request and what became of it."""

    kind: Kind
    prompt: Prompt
    at: float
    process: int
    organisation: int
    sent_at: float | None = None
    first_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None
    is_lost: bool = False


@attrs.define(eq=False)
class Run:
    """A request at an engine."""

    request: Request
    level: int
    number: int
    tokens: int
    placement: Placement
    ahead: int
    left: float = 0.0
    events: float = 0.0

    @property
    def memory(self) -> float:
        """Tokens that the run occupies."""
        return self.request.prompt.tokens - self.left + 6 * self.events


class Engine:
    """An engine that reads and preempts by urgency level."""

    def __init__(self, number: int):
        self.entry = ListedUpstream(f"u{number}", "s", "h", 1, "a", PLACES, False, 1)
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.preempted_wrongly = 0
        self._numbers = itertools.count()

    def send(self, run: Run) -> None:
        """Queue a run."""
        run.number, run.left = next(self._numbers), run.tokens
        self.waiting.append(run)

    def load(self) -> tuple[int, int]:
        """Return the unread tokens and the number of requests."""
        runs = self.waiting + self.running
        return round(sum(run.left for run in runs)), len(runs)

    def step(self, now: float) -> tuple[list[Run], list[Run]]:
        """Advance by one tick; return the runs with their first token, and those that ended."""
        self._admit()
        budget, first = READ_PER_S * TICK_S, []
        for run in sorted(self.running, key=lambda run: (run.level, run.number)):
            if run.left > 0:
                read = min(budget, run.left)
                run.left -= read
                budget -= read
                if run.left <= 0:
                    first.append(run)
            else:
                run.events += TICK_S / EVENT_S
        while sum(run.memory for run in self.running) > MEMORY_TOKENS and len(self.running) > 1:
            self._preempt()
        ended = [run for run in self.running if run.events >= run.request.kind.events]
        self.running = [run for run in self.running if run not in ended]
        return [run for run in first if run in self.running], ended

    def _admit(self) -> None:
        self.waiting.sort(key=lambda run: (run.level, run.number))
        while self.waiting and len(self.running) < PLACES:
            self.running.append(self.waiting.pop(0))
        while self.waiting and self.waiting[0].level < max(run.level for run in self.running):
            self._preempt()
            self.running.append(self.waiting.pop(0))

    def _preempt(self) -> None:
        """Return the newest run of the least urgent level to the queue."""
        victim = max(self.running, key=lambda run: (run.level, run.number))
        self.running.remove(victim)
        priority = victim.request.kind.priority
        others = [run.request.kind.priority for run in self.running]
        self.preempted_wrongly += any(other > priority for other in others)
        victim.left = victim.request.prompt.tokens
        self.waiting.append(victim)


class Process:
    """A process with its own queue, and loads of the others that are some time old."""

    def __init__(self, engines: list[Engine], processes: int):
        self.model = EngineModel()
        self.model.processes = processes
        self.queue = PromptQueue()
        self.upstreams = [Upstream(engine.entry) for engine in engines]

    def add(self, request: Request) -> None:
        """Queue a new request."""
        kind = request.kind
        short_s = SHORT_READING_SHARE * TARGETS.tightest_s
        demand = Demand(request.prompt, kind.target_s, kind.patience_s, short_s)
        self.queue.add(
            WaitingPrompt(
                demand,
                kind.priority,
                request.at + kind.target_s,
                request.at + kind.hold_s,
                (),
                request,
                rank=10 * kind.priority + request.organisation,
            )
        )


class Fleet:
    """Processes before as many engines.

    Parameters
    ----------
    size, processes : int
        Number of engines and of processes.
    seed : int
    loads_age_s : float
    """

    def __init__(self, size: int, processes: int, seed: int, loads_age_s: float = LOADS_AGE_S):
        self.rng = random.Random(seed)
        self.engines = [Engine(number) for number in range(size)]
        self.processes = [Process(self.engines, processes) for _ in range(processes)]
        self.requests: list[Request] = []
        self.now = 0.0
        self._loads = deque(maxlen=max(1, round(loads_age_s / TICK_S)))

    def run(self, seconds: float, burst: tuple[float, float, float], lost_at: float) -> None:
        """Play a day.

        Parameters
        ----------
        seconds : float
        burst : tuple of float
            Begin, end, and factor of the urgent traffic, seconds.
        lost_at : float
            Time at which all processes are lost and start again, seconds. What runs at engines
            goes on.
        """
        ticks = 0
        while self.now < seconds:
            begin, end, factor = burst
            factor = factor if begin <= self.now < end else 1.0
            self._arrive(URGENT, factor)
            self._arrive(OTHER, 1.0)
            if lost_at <= self.now < lost_at + TICK_S:
                self._lose_all()
            self._loads.append([engine.load() for engine in self.engines])
            if ticks % round(EVALUATION_S / TICK_S) == 0:
                for process in self.processes:
                    self._evaluate(process)
            for number, engine in enumerate(self.engines):
                self._step(number, engine)
            self.now += TICK_S
            ticks += 1

    def _arrive(self, kind: Kind, factor: float) -> None:
        expected = kind.per_s * factor * len(self.engines) * TICK_S
        for _ in range(int(expected + self.rng.random())):
            own = f"own{len(self.requests)}"
            shared = f"{kind.priority}-{self.rng.randrange(4 * len(self.engines))}"
            prompt = Prompt(((shared, kind.shared), (own, kind.own)), 6 * kind.events)
            process = self.rng.randrange(len(self.processes))
            request = Request(kind, prompt, self.now, process, self.rng.randrange(2))
            self.requests.append(request)
            self.processes[process].add(request)

    def _lose_all(self) -> None:
        for process in self.processes:
            for waiting in process.queue.take_all():
                waiting.owner.is_lost = True
        for engine in self.engines:
            for run in engine.waiting + engine.running:
                run.request.is_lost = True
        count = len(self.processes)
        self.processes = [Process(self.engines, count) for _ in range(count)]

    def _evaluate(self, process: Process) -> None:
        if not len(process.queue):
            return
        for upstream, (tokens, running) in zip(process.upstreams, self._loads[0], strict=True):
            elsewhere = max(0, running - upstream.outstanding)
            unread = max(0, tokens - upstream.pending.own_tokens)
            upstream.pending.receive_update("others", LoadShare(unread, elsewhere), self.now)
        for start in process.queue.take_starts(process.upstreams, process.model, TARGETS, self.now):
            self._send(process, start.waiting.owner, start.placement)
        for waiting in process.queue.take_expired(self.now):
            waiting.owner.refused_at = self.now

    def _send(self, process: Process, request: Request, placement: Placement) -> None:
        upstream = placement.upstream
        ahead = 0 if placement.is_short else upstream.pending.tokens(self.now)
        upstream.pending.add(str(id(request)), placement.tokens, self.now)
        upstream.outstanding += 1
        upstream.record_sent(request.prompt)
        request.sent_at = self.now
        kind = request.kind
        level = urgency_level(kind.priority, request.organisation, placement.is_short)
        engine = self.engines[process.upstreams.index(upstream)]
        engine.send(Run(request, level, 0, placement.tokens, placement, ahead))

    def _step(self, number: int, engine: Engine) -> None:
        first, ended = engine.step(self.now)
        for run in (*first, *ended):
            if run.request.is_lost:
                continue
            process = self.processes[run.request.process]
            upstream = process.upstreams[number]
            upstream.pending.remove(str(id(run.request)))
            if run in ended:
                run.request.ended_at = self.now
                upstream.outstanding -= 1
            elif run.request.first_at is None:
                run.request.first_at = self.now
                upstream.record_prompt_read(run.request.prompt)
                seconds = self.now - run.request.sent_at
                process.model.update_first_token(
                    upstream, run.ahead, run.tokens, seconds, self.now, 0, run.placement.is_short
                )
