"""Simulation of processes that are stopped one after the other while callers go on sending."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter

import attrs

from burdockquay_coordination import FinishGate, FinishReason, RunInProgress

STOP_S = 7.2
CERTAIN_AFTER_S = 2.5
OUT_OF_ROTATION_S = 2.0
"""Time after which a process that stops gets no new connection, seconds."""

RESTART_S = 1.0
RETRY_S = 0.03
MAX_TRIES = 4
SPREAD = 0.69
"""Standard deviation of the logarithm of the durations."""


@attrs.frozen
class Kind:
    """A kind of requests: median duration and patience of callers, seconds; requests per second."""

    name: str
    median_s: float
    patience_s: float
    per_s: float


KINDS = (
    Kind("long", 2.0, 15.0, 10.0),
    Kind("short", 0.3, 15.0, 20.0),
    Kind("plain", 0.1, 3.0, 10.0),
)


@attrs.define(eq=False)
class SimulatedProcess:
    """A process; it is replaced by a new one, which knows nothing, once it has ended."""

    gate: FinishGate = attrs.field(factory=FinishGate)
    told_at: float = math.inf
    ends_at: float = math.inf

    def is_up(self, now: float) -> bool:
        """Return whether new connections may reach it."""
        return now < self.told_at + OUT_OF_ROTATION_S


@attrs.frozen
class Request:
    """A request: kind, duration, arrival and deadline."""

    kind: Kind
    takes_s: float
    arrived: float
    deadline: float


class Shutdowns:
    """Processes and their callers.

    Parameters
    ----------
    stops : list of (float, int)
        Times of the signals and numbers of the processes.
    processes : int
    slow_from : float
        Time from which upstreams take twice as long.
    burst_at : float
        Time of a second with ten times as many requests.
    seed : int
    """

    def __init__(
        self,
        stops: list[tuple[float, int]],
        processes: int = 5,
        slow_from: float = math.inf,
        burst_at: float = math.inf,
        seed: int = 1,
    ):
        self.stops = stops
        self.slow_from = slow_from
        self.burst_at = burst_at
        self.counts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._fleet = [SimulatedProcess() for _ in range(processes)]
        self._numbers = itertools.count()
        self._events: list = []

    def run(self, until: float) -> Counter[str]:
        """Run until a time; return how many requests of callers had which outcome.

        ``passed_early`` and ``passed_late`` count those that were passed on after the signal,
        before and after the time from which only what is certain is; ``cut_early`` and
        ``cut_late`` those of them that were cut; ``refused_in_time`` the refusals of requests that
        would have been finished.
        """
        for at, number in self.stops:
            self._add(at, self._stop, number)
        for kind in KINDS:
            self._add(0.0, self._arrive, kind)
        while self._events and self._events[0][0] < until:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)
        return self.counts

    def _add(self, at: float, action, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action, arguments))

    def _stop(self, now: float, number: int) -> None:
        process = self._fleet[number]
        if process.told_at < now:
            return
        process.told_at, process.ends_at = now, now + STOP_S
        process.gate.stop_at(process.ends_at, now + CERTAIN_AFTER_S)
        self._add(process.ends_at + RESTART_S, self._start, number)

    def _start(self, now: float, number: int) -> None:
        self._fleet[number] = SimulatedProcess()

    def _arrive(self, now: float, kind: Kind) -> None:
        factor = 10.0 if self.burst_at <= now < self.burst_at + 1.0 else 1.0
        self._add(now + self._rng.expovariate(kind.per_s * factor), self._arrive, kind)
        takes_s = kind.median_s * self._rng.lognormvariate(0.0, SPREAD)
        request = Request(kind, takes_s, now, now + kind.patience_s)
        self._try(now, request, ())
        # A connection that is kept reaches its process as long as it runs.
        kept = self._rng.choice(self._fleet)
        if kept.told_at <= now < kept.ends_at:
            self._ask(now, request, kept)

    def _try(self, now: float, request: Request, tried: tuple[SimulatedProcess, ...]) -> None:
        up = [item for item in self._fleet if item.is_up(now) and item not in tried]
        if not up or len(tried) == MAX_TRIES:
            self.counts["given_up"] += 1
            return
        process = self._rng.choice(up)
        if not self._ask(now, request, process):
            self._add(now + RETRY_S, self._try, request, (*tried, process))

    def _ask(self, now: float, request: Request, process: SimulatedProcess) -> bool:
        takes_s = request.takes_s * (2.0 if now >= self.slow_from else 1.0)
        ends = min(now + takes_s, request.deadline)
        found = process.gate.decide(request.kind.name, 0, request.deadline, now)
        phase = "late" if now >= process.told_at + CERTAIN_AFTER_S else "early"
        if not found.accepted:
            self.counts["refused"] += 1
            self.counts["refused_in_time"] += ends <= process.ends_at
            return False
        run = process.gate.begin(request.kind.name, 0, now)
        if found.reason is not FinishReason.NOT_STOPPING:
            self.counts[f"passed_{phase}"] += 1
            self.counts[f"cut_{phase}"] += ends > process.ends_at
        self._add(ends, self._end, process, run, now + takes_s <= request.deadline)
        return True

    def _end(
        self, now: float, process: SimulatedProcess, run: RunInProgress, is_whole: bool
    ) -> None:
        if now <= process.ends_at:
            process.gate.end(run, now, is_whole)
