"""Ways to keep the request rate limit of one upstream, with many processes.

The real decisions run in simulated time, with messages that are delayed. All work waits for the one
upstream, which names its limit from the beginning. The last line is one JSON object with the worst
figures of the way that the product uses, and of each other way under its name.
"""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable

import attrs
from _report import print_load_average, print_result, print_table, quantile

from burdockquay_coordination import StartGate, StatementReading
from burdockquay_coordination.forwarding import Fleet, LimitStep, SharedLimit
from burdockquay_coordination.forwarding.tests.limit_cluster import LimitCluster

SIZES = (4, 31, 100, 300)
RATES_PER_S = (0.5, 1.7, 20.0, 200.0)
DEMANDS = (0.3, 1.0, 5.0)
"""Requests that arrive, as multiples of the limit."""

URGENT_SHARE = 0.1
URGENT_IN_TIME_S = 0.5
PATIENCE_S = 5.0
SETTLE_S = 4.0
MEASURED_S = 12.0
FULL_USE = 0.8
MESSAGE_DELAY_S = 0.01
"""Mean delay of a message: that of a link and of a busy receiver, seconds."""

BOARD_DELAY_S = (0.05, 0.0005)
"""Age of the needs of others where each process sends them through relays, seconds: in any fleet,
and in addition for each process."""


class OwnerWay(SharedLimit):
    """One process grants single starts; the product's way."""


class NoLimit(SharedLimit):
    """The limit is not read."""

    def record_answer(self, reading, sent_at, now):
        """Ignore what the answer names."""
        return


class LocalWay:
    """A limit that a process keeps by a rate of its own, with no message.

    Parameters
    ----------
    share : callable
        Returns this process's part of the limit, given its wants and the time.
    """

    owner = None

    def __init__(self, share: Callable[[LocalWay, float], float]):
        self.share = share
        self.wants: deque[float] = deque()
        self._gate = StartGate(0.0)

    @property
    def per_s(self) -> float | None:
        """Requests per second of this process; None if it knows no limit."""
        return self._gate.per_s

    def record_answer(self, reading, sent_at, now):
        """Apply an answer."""
        if reading.value is not None:
            self._per_s = reading.value
            part = max(reading.value * self.share(self, now), 1e-6)
            return self._gate.record_answer(StatementReading(part), sent_at, now)
        return None

    def want(self, rank, count, now):
        """Count a request that wants a start."""
        self.wants.append(now)

    def may_start(self, now):
        """Return whether the bucket of this process holds a start."""
        if self.per_s is not None:
            self._gate.record_answer(
                StatementReading(max(self._per_s * self.share(self, now), 1e-6)), now, now
            )
        return self._gate.may_start(now)

    def take(self, rank, now):
        """Use a start."""
        self._gate.take(now)

    def is_active(self, now):
        """Return whether the upstream is limited."""
        return self.per_s is not None

    def due_at(self, now):
        """Return when a start may be available."""
        return now + min(0.25, self._gate.wait_s(now))

    def step(self, fleet: Fleet, now: float) -> LimitStep:
        """Send nothing."""
        return LimitStep()

    def receive_grant(self, owner, message, processes, now):
        """Ignore it."""
        return None, False

    def receive_need(self, member, message, now):
        """Ignore it."""


class Board:
    """Recent wants of all processes, known to each with a delay."""

    def __init__(self, size: int):
        self.size = size
        self.delay_s = BOARD_DELAY_S[0] + BOARD_DELAY_S[1] * size
        self._counts: deque[tuple[float, LocalWay]] = deque()
        self.cluster: LimitCluster | None = None

    def share(self, way: LocalWay, now: float) -> float:
        """Return the part of one process by its wants of the last second."""
        at = self.cluster.now - self.delay_s
        mine = total = 0
        for process in self.cluster.processes.values():
            limit = process.limit
            begun = at + process.offset_s
            while limit.wants and limit.wants[0] < begun - 1.0:
                limit.wants.popleft()
            count = sum(want <= begun for want in limit.wants)
            total += count
            if limit is way:
                mine = count
        return mine / total if total else 1.0 / self.size


def make_none(size: int):
    """Return processes that do not read the limit."""
    return lambda name: NoLimit()


def make_alone(size: int):
    """Return processes that each take the whole limit for their own."""
    return lambda name: LocalWay(lambda way, now: 1.0)


def make_even(size: int):
    """Return processes with an even share each."""
    return lambda name: LocalWay(lambda way, now: 1.0 / size)


def make_owner(size: int):
    """Return processes that keep the limit together by an owner."""
    return lambda name: OwnerWay()


WAYS = {"none": make_none, "alone": make_alone, "even": make_even, "owner": make_owner}
NEED_SIZES = (4, 31)
"""Fleets for which shares by need are simulated: each decision looks at the wants of all."""


@attrs.frozen
class Outcome:
    """Figures of one way in one setting.

    Parameters
    ----------
    over_limit_windows : int
        Windows of 4 s with more requests than the operators allow.
    limit_used : float
        Share of the limit that was used, or of the demand if that is lower.
    urgent_in_time : float
        Share of the urgent requests that were sent within ``URGENT_IN_TIME_S``.
    messages_per_s : float
        Messages that the busiest process sends.
    cpu_share : float
        Processor time of the decisions per process, simulation included.
    """

    over_limit_windows: int
    limit_used: float
    urgent_in_time: float
    messages_per_s: float
    cpu_share: float


def simulate(way: str, size: int, per_s: float, demand: float, seed: int = 1) -> Outcome:
    """Run one setting and return its figures."""
    if way == "need":
        board = Board(size)
        make = lambda name: LocalWay(board.share)  # noqa: E731
    elif way == "single":
        size, make = 1, make_owner(1)
    else:
        make = WAYS[way](size)
    cluster = LimitCluster(size, seed, MESSAGE_DELAY_S, make)
    if way == "need":
        board.cluster = cluster
    cluster.name_rate(per_s)
    rng = random.Random(seed)
    begun, end = cluster.now + SETTLE_S, cluster.now + SETTLE_S + MEASURED_S
    names = sorted(cluster.processes)
    urgent = 0
    at = cluster.now
    while (at := at + rng.expovariate(demand * per_s)) < end:
        process = cluster.processes[rng.choice(names)]
        rank = int(rng.random() >= URGENT_SHARE)
        urgent += rank == 0 and begun <= at < end - URGENT_IN_TIME_S
        cluster.schedule(at, lambda process=process, rank=rank: process.add(rank, PATIENCE_S))
    cpu = time.process_time()
    cluster.run_until(end)
    cpu = time.process_time() - cpu
    sent = [item for item in cluster.arrivals if begun <= item.at < end]
    in_time = sum(
        item.rank == 0
        and begun <= item.arrived_at < end - URGENT_IN_TIME_S
        and sent_at - item.arrived_at <= URGENT_IN_TIME_S
        for sent_at, item in cluster.started
    )
    seconds = SETTLE_S + MEASURED_S
    return Outcome(
        len(cluster.excesses()),
        len(sent) / (MEASURED_S * per_s * min(1.0, demand)),
        in_time / urgent if urgent else 1.0,
        max(cluster.messages.values(), default=0) / seconds,
        cpu / seconds / size,
    )


def main() -> None:
    columns = list(attrs.fields_dict(Outcome))
    outcomes: dict[str, list[tuple[float, Outcome]]] = {}
    for size in SIZES:
        rows = []
        for per_s in RATES_PER_S if size < 300 else RATES_PER_S[:3]:
            for demand in DEMANDS:
                if per_s * demand > 200:
                    continue
                ways = ["single", *WAYS] + (["need"] if size in NEED_SIZES else [])
                for way in ways:
                    outcome = simulate(way, size, per_s, demand)
                    outcomes.setdefault(way, []).append((demand, outcome))
                    rows.append((per_s, demand, way, *attrs.astuple(outcome)))
        print_table(f"{size} processes", ["limit_per_s", "demand", "way", *columns], rows)
    print_load_average()
    result: dict[str, float] = {}
    for way, found in outcomes.items():
        prefix = "" if way == "owner" else f"{way}_"
        result[f"{prefix}over_limit_windows"] = sum(item.over_limit_windows for _, item in found)
        full = [item.limit_used for demand, item in found if demand > 1.0]
        result[f"{prefix}limit_used"] = min(full)
        result[f"{prefix}urgent_in_time"] = quantile(
            [item.urgent_in_time for _, item in found], 0.5
        )
        result[f"{prefix}messages_per_s"] = max(item.messages_per_s for _, item in found)
        result[f"{prefix}cpu_share"] = max(item.cpu_share for _, item in found)
    print_result(result)


if __name__ == "__main__":
    main()
