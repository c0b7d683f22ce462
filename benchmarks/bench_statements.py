"""Ways to treat upstreams that leave, or turn requests away and ask for a rest.

The real decisions choose upstreams in simulated time. A third of the upstreams turns all requests
away for some seconds, then all of them do; upstreams also do so when they are full. One states that
it leaves, long before the list says so. The last line is one JSON object with the worst figures of
the way that the product uses, and of each other way under its name.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable

import attrs
from _report import print_load_average, print_result, print_table

from burdockquay_coordination import AnswerContext, read_statements
from burdockquay_coordination import _rest as rest_module
from burdockquay_coordination.forwarding import (
    ListedUpstream,
    Upstream,
    UpstreamChanges,
    UpstreamRegistry,
    choose_upstream,
    spare_upstreams,
    usable_upstreams,
)

SEEDS_BY_SIZE = {4: (1, 2, 3), 31: (1, 2, 3), 100: (1,)}
LOADS = (0.6, 0.9)
"""Work that arrives, as a share of what all upstreams can do."""

PLACES = 4
QUEUED = 4
WORK_S = 0.05
"""Requests that an upstream runs and queues, and the mean time of one, seconds."""

URGENT_SHARE = 0.1
PATIENCE_S = 3.0
IN_TIME_S = 0.5
MAX_WAIT_S = PATIENCE_S / 3
MAX_ATTEMPTS = 3
POLL_S = 0.01
"""Time between two tries of what waits at a process, seconds."""

HOP_S = (0.001, 0.02)
"""Range of the delay of a request, and of an answer, seconds."""

TROUBLE = ((2.0, 5.0, 1 / 3), (8.0, 10.0, 1.0))
"""Beginning and end of the times in which a share of the upstreams turns everything away, seconds.
"""
REST_S = 2.0
FULL_REST_S = 0.5
"""Rests that are asked for in these times, and by an upstream that is full, seconds."""

LEAVES_AT_S = 3.0
END_S = 14.0
TOLD_S = 0.5
AFTER_REST_S = 1.0


@attrs.define(eq=False)
class Request:
    """A request of a caller."""

    rank: int
    arrived_at: float
    tried: set[str] = attrs.field(factory=set)
    attempts: int = 0


@attrs.define(eq=False)
class Server:
    """An upstream: what it runs and queues, and whether it is in trouble."""

    id: str
    trouble_rank: float
    running: int = 0
    queue: list[Callable[[], None]] = attrs.field(factory=list)


@attrs.frozen
class Way:
    """A way to treat statements.

    Parameters
    ----------
    reads : bool
        Whether statements are read at all.
    recovers : bool
        Whether the end of a rest is spread, and the number of requests grows after it.
    only_places : bool
        Whether routine requests go only to upstreams with a free place while another one rests.
    """

    reads: bool = True
    recovers: bool = True
    only_places: bool = True


WAYS = {
    "not_read": Way(reads=False, only_places=False),
    "rest_only": Way(recovers=False, only_places=False),
    "no_places": Way(only_places=False),
    "kept": Way(),
}


@attrs.frozen
class Outcome:
    """Figures of one way in one setting.

    Parameters
    ----------
    max_sends_in_rest : int
        Most requests from one process in a rest, from half a second after its beginning.
    sends_after_leaving : int
        Requests that were sent after their process was told that the upstream leaves.
    in_time_urgent, in_time_all : float
        Share of the requests that were answered within ``IN_TIME_S``.
    sheds_after_rest_per_s : float
        Requests turned away in the second after the end of a trouble, per upstream.
    sheds_per_s : float
        Requests turned away per second of the whole time, per upstream.
    """

    max_sends_in_rest: int
    sends_after_leaving: int
    in_time_urgent: float
    in_time_all: float
    sheds_after_rest_per_s: float
    sheds_per_s: float


class Simulation:
    """One way in one setting."""

    def __init__(self, way: Way, size: int, load: float, seed: int):
        self.way = way
        self.rng = random.Random(seed)
        self.now = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        number = max(6, size // 2)
        ranks = self.rng.sample(range(number), number)
        self.servers = {
            f"u{index}": Server(f"u{index}", (ranks[index] + 0.5) / number)
            for index in range(number)
        }
        listed = tuple(
            ListedUpstream(name, "s", "h", 1, "a", PLACES, False, 1, 1) for name in self.servers
        )
        self.registries = []
        for _ in range(size):
            registry = UpstreamRegistry(random.Random(self.rng.random()))
            registry.apply(UpstreamChanges(True, listed), 0.0)
            self.registries.append(registry)
        self.waiting: list[list[tuple[int, float, int, Request]]] = [[] for _ in range(size)]
        self.requests: list[Request] = []
        self.polling: set[int] = set()
        self.answered: dict[int, float] = {}
        self.arrivals: dict[tuple[int, str], list[float]] = defaultdict(list)
        self.rests: list[tuple[float, float, int, str]] = []
        self.sheds: list[float] = []
        self.told: dict[tuple[int, str], float] = {}
        self.late_sends = 0
        per_s = load * number * PLACES / WORK_S
        at = 0.0
        while (at := at + self.rng.expovariate(per_s)) < END_S:
            request = Request(int(self.rng.random() >= URGENT_SHARE), at)
            process = self.rng.randrange(size)
            self.requests.append(request)
            self.at(at, lambda process=process, request=request: self.add(process, request))

    def at(self, at: float, action: Callable[[], None]) -> None:
        """Call a function at a time."""
        heapq.heappush(self._due, (at, next(self._numbers), action))

    def hop_s(self) -> float:
        """Return the delay of one message, seconds."""
        return self.rng.uniform(*HOP_S)

    def run(self) -> Outcome:
        """Run to the end and return the figures."""
        while self._due and self._due[0][0] <= END_S:
            self.now, _, action = heapq.heappop(self._due)
            action()
        judged = [item for item in self.requests if item.arrived_at < END_S - IN_TIME_S]

        def in_time(found: list[Request]) -> float:
            late = float("inf")
            kept = (self.answered.get(id(item), late) - item.arrived_at for item in found)
            return sum(seconds <= IN_TIME_S for seconds in kept) / max(1, len(found))

        in_rest = [
            sum(begun + TOLD_S < at <= begun + seconds for at in self.arrivals[process, name])
            for begun, seconds, process, name in self.rests
        ]
        ends = [end for _, end, _ in TROUBLE]
        after = sum(
            any(end < at <= end + REST_S + AFTER_REST_S for end in ends) for at in self.sheds
        )
        number = len(self.servers)
        return Outcome(
            max(in_rest, default=0),
            self.late_sends,
            in_time([item for item in judged if item.rank == 0]),
            in_time(judged),
            after / (len(ends) * (REST_S + AFTER_REST_S) * number),
            len(self.sheds) / (END_S * number),
        )

    def add(self, process: int, request: Request) -> None:
        """Let a request arrive at a process, or return to it."""
        if not self.try_send(process, request):
            entry = (request.rank, request.arrived_at, next(self._numbers), request)
            heapq.heappush(self.waiting[process], entry)
            self.poll(process)

    def poll(self, process: int) -> None:
        """Try again soon what waits at a process."""
        if process not in self.polling:
            self.polling.add(process)
            self.at(self.now + POLL_S, lambda: self.on_poll(process))

    def on_poll(self, process: int) -> None:
        """Try what waits at a process."""
        self.polling.discard(process)
        self.try_waiting(process)

    def try_waiting(self, process: int) -> None:
        """Send what waits at a process, the most urgent first."""
        queue = self.waiting[process]
        while queue:
            request = queue[0][3]
            is_over = self.now - request.arrived_at > MAX_WAIT_S
            if not is_over and not self.try_send(process, request):
                self.poll(process)
                return
            heapq.heappop(queue)

    def try_send(self, process: int, request: Request) -> bool:
        """Send a request if an upstream may be used; return whether it needs no more waiting."""
        registry = self.registries[process]
        upstreams = registry.of_service("s")
        if self.way.only_places:
            upstreams = spare_upstreams(upstreams, request.rank, self.now)
        if not usable_upstreams(upstreams, request.tried, self.now):
            untried = [item for item in registry.of_service("s") if item.id not in request.tried]
            return not any(item.accepts_work() for item in untried)
        chosen = choose_upstream(upstreams, "a", request.tried, self.now, self.rng)
        chosen.take_start(request.rank, self.now)
        chosen.outstanding += 1
        request.tried.add(chosen.id)
        request.attempts += 1
        self.late_sends += self.now > self.told.get((process, chosen.id), float("inf"))
        self.at(self.now + self.hop_s(), lambda: self.arrive(process, chosen, request))
        return True

    def arrive(self, process: int, upstream: Upstream, request: Request) -> None:
        """Let a request arrive at an upstream."""
        server = self.servers[upstream.id]
        self.arrivals[process, server.id].append(self.now)
        in_trouble = any(
            begin <= self.now < end and server.trouble_rank < share for begin, end, share in TROUBLE
        )
        if in_trouble or len(server.queue) >= QUEUED:
            rest_s = REST_S if in_trouble else FULL_REST_S
            self.sheds.append(self.now)
            self.rests.append((self.now, rest_s, process, server.id))
            self.reply(process, upstream, request, False, {"rest": [str(rest_s)]})
            return

        def begin() -> None:
            server.running += 1
            work_s = self.rng.expovariate(1 / WORK_S)
            self.at(self.now + work_s, lambda: self.end(process, upstream, request))

        if server.running < PLACES:
            begin()
        else:
            server.queue.append(begin)

    def end(self, process: int, upstream: Upstream, request: Request) -> None:
        """Let a request end at its upstream."""
        server = self.servers[upstream.id]
        server.running -= 1
        if server.queue:
            server.queue.pop(0)()
        leaves = server.id == "u0" and self.now >= LEAVES_AT_S
        self.reply(process, upstream, request, True, {"leaving": ["1"]} if leaves else {})

    def reply(
        self,
        process: int,
        upstream: Upstream,
        request: Request,
        ran: bool,
        texts: dict[str, list[str]],
    ) -> None:
        """Send the answer of an upstream."""
        sent_at = self.now

        def receive() -> None:
            upstream.outstanding -= 1
            if "leaving" in texts:
                self.told.setdefault((process, upstream.id), self.now)
            if self.way.reads:
                answer = AnswerContext(sent_at, is_proved=ran)
                list(upstream.statements.record_answer(read_statements(texts), answer, self.now))
            if ran:
                self.answered[id(request)] = self.now
            elif request.attempts < MAX_ATTEMPTS:
                self.add(process, request)
            self.try_waiting(process)

        self.at(self.now + self.hop_s(), receive)


def simulate(way: Way, size: int, load: float, seed: int) -> Outcome:
    """Run one setting and return its figures."""
    kept = (rest_module.SPREAD_SHARE, rest_module.RECOVERY_S)
    if not way.recovers:
        rest_module.SPREAD_SHARE = rest_module.RECOVERY_S = 0.0
    try:
        return Simulation(way, size, load, seed).run()
    finally:
        rest_module.SPREAD_SHARE, rest_module.RECOVERY_S = kept


def _combine(outcomes: list[Outcome]) -> Outcome:
    """Return the worst counts, and the means of the rest, over the seeds."""
    counts = [max(getattr(item, name) for item in outcomes) for name in _COUNTS]
    means = [
        sum(getattr(item, name) for item in outcomes) / len(outcomes)
        for name in attrs.fields_dict(Outcome)
        if name not in _COUNTS
    ]
    return Outcome(*counts, *means)


_COUNTS = ("max_sends_in_rest", "sends_after_leaving")


def main() -> None:
    names = list(attrs.fields_dict(Outcome))
    found: dict[str, list[Outcome]] = defaultdict(list)
    for size, seeds in SEEDS_BY_SIZE.items():
        rows = []
        for load in LOADS:
            for name, way in WAYS.items():
                outcome = _combine([simulate(way, size, load, seed) for seed in seeds])
                found[name].append(outcome)
                rows.append((load, name, *attrs.astuple(outcome)))
        print_table(f"{size} processes", ["load", "way", *names], rows)
    print_load_average()
    worst = dict.fromkeys(names, max) | {"in_time_urgent": min, "in_time_all": min}
    print_result(
        {
            ("" if way == "kept" else f"{way}_")
            + name: worst[name](getattr(item, name) for item in outcomes)
            for way, outcomes in found.items()
            for name in names
        }
    )


if __name__ == "__main__":
    main()
