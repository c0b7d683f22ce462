"""Ways to keep the retry budget of one service, with many processes that restart in series.

The real decisions run in simulated time. Upstreams fail most sends while processes stop, drain and
start again one after the other. The last line is one JSON object with the worst figures of the way
that the product uses, and of each other way under its name.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque

import attrs
from _report import print_load_average, print_result, print_table

from burdockquay_coordination import SharedRetryBudget
from burdockquay_coordination.forwarding.tests.retry_fleet import (
    WINDOW_S,
    RetryFleet,
    SharedBudget,
)

SIZES = (4, 28, 100, 300)
SEEDS = {4: 8, 28: 3, 100: 1, 300: 1}
"""Runs of each size, so that the figures of urgent requests rest on some hundreds."""

RATIO = 0.2
BURST = 96.0
REQUESTS_PER_S = 4.5
"""Mean requests of a process; half of them to half as much again at one process."""

URGENT_SHARE = 0.2
FAILING_S = (15.0, 45.0)
END_S = 45.0
FIRST_FAILS = 0.6
RETRY_FAILS = 0.4
FEW_SHARE = 0.25
"""Share of the processes that see all the failures in the uneven setting."""

RESTARTED_PER_S = 0.04
"""Share of the processes that are stopped each second: each of them once in the failing time."""

DRAIN_S = 4.0
DOWN_S = 1.5


class WindowBudget:
    """Retries of a sliding window within the ratio of its requests and a part of the burst.

    The ways before the product's: the number of processes is that of the list, at least ten.

    Parameters
    ----------
    ratio, burst : float
    now : float
    memory_s : float
        Time for which the largest number is used, seconds; 0 for the number of the moment.
    """

    def __init__(self, ratio: float, burst: float, now: float, memory_s: float = 0.0):
        self.ratio = ratio
        self.burst = burst
        self.memory_s = memory_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._counts: deque[tuple[float, int]] = deque()

    def update(self, listed: int, as_of: float, now: float) -> None:
        """Apply a reading of the list."""
        self._counts.append((now, listed))

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)

    def try_retry(self, now: float, is_urgent: bool) -> bool:
        """Withdraw a retry."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - WINDOW_S:
                times.popleft()
        while len(self._counts) > 1 and self._counts[1][0] <= now - self.memory_s:
            self._counts.popleft()
        known = max((count for _, count in self._counts), default=None)
        burst = 0.0 if known is None else self.burst / max(10, known)
        if len(self._retries) + 1 > self.ratio * len(self._requests) + burst:
            return False
        self._retries.append(now)
        return True


class LargestWindowBudget(WindowBudget):
    """The same with the largest number of the last 14 s."""

    def __init__(self, ratio: float, burst: float, now: float):
        super().__init__(ratio, burst, now, memory_s=14.0)


class UnreservedBudget(SharedBudget):
    """The product's way without a reserve for the most urgent requests."""

    def try_retry(self, now: float, is_urgent: bool) -> bool:
        """Withdraw a retry."""
        return super().try_retry(now, True)


class SinglePool:
    """One budget of all processes, as if each knew what all others send.

    Parameters
    ----------
    ratio, burst : float
    now : float
    """

    def __init__(self, ratio: float, burst: float, now: float):
        self.budget = SharedRetryBudget(ratio, WINDOW_S, now - WINDOW_S)
        self.budget.set_burst(burst, now - WINDOW_S)

    def update(self, listed: int, as_of: float, now: float) -> None:
        """Ignore the list."""

    def record_request(self, now: float) -> None:
        """Count a request."""
        self.budget.record_request(now)

    def try_retry(self, now: float, is_urgent: bool) -> bool:
        """Withdraw a retry."""
        return self.budget.try_retry(now, is_urgent)


WAYS = {
    "shared": (SharedBudget, True),
    "unreserved": (UnreservedBudget, True),
    "largest": (LargestWindowBudget, False),
    "momentary": (WindowBudget, False),
    "single": (None, True),
}
"""For each way the budget, and whether a process that stops is listed until it ends."""


@attrs.frozen
class Outcome:
    """Figures of one way in one setting.

    Parameters
    ----------
    over_budget_windows : int
        Windows with more retries than allowed.
    budget_used : float
        Share of the allowed retries that was sent in windows in which some were denied.
    in_time_urgent, in_time_all : float
        Share of the requests in the failing time that succeed.
    denied_urgent : float
        Share of the wanted urgent retries that were denied.
    urgent : int
        Number of urgent requests in the failing time.
    """

    over_budget_windows: int
    budget_used: float
    in_time_urgent: float
    in_time_all: float
    denied_urgent: float
    urgent: int


@attrs.define
class Counts:
    """Requests in the failing time, by whether they are urgent."""

    requests: list[int] = attrs.field(factory=lambda: [0, 0])
    served: list[int] = attrs.field(factory=lambda: [0, 0])
    wanted: list[int] = attrs.field(factory=lambda: [0, 0])
    denied: list[int] = attrs.field(factory=lambda: [0, 0])


class Simulation:
    """One run of a fleet under failures and restarts.

    Parameters
    ----------
    way : str
    size, seed : int
    is_even : bool
        Whether all processes see the same share of failures.
    """

    def __init__(self, way: str, size: int, seed: int, is_even: bool):
        self.rng = random.Random(seed)
        make, removes_at_end = WAYS[way]
        if make is None:
            pool = SinglePool(RATIO, BURST, 100.0)
            make = lambda ratio, burst, now: pool  # noqa: E731
        self.fleet = RetryFleet(RATIO, BURST, seed, make, removes_at_end)
        self.begun = self.fleet.now
        self.vms = [f"edge-{number}" for number in range(size)]
        self._indices = range(size)
        self._sums = list(itertools.accumulate(self.rng.uniform(0.5, 1.5) for _ in self.vms))
        self.is_even = is_even
        self.stopping: set[str] = set()
        self.counts = Counts()
        self._events: list[tuple[float, int, str, str]] = []
        self._numbers = itertools.count()

    def run(self) -> None:
        """Play the whole time."""
        for vm in self.vms:
            self.fleet.start(vm)
        rate = REQUESTS_PER_S * len(self.vms)
        at = self.begun
        while (at := at + self.rng.expovariate(rate)) < self.begun + END_S:
            self._schedule(at, "request", "")
        self._schedule_stops()
        steps = {
            "request": self._request,
            "stop": self._stop,
            "end": self._end,
            "start": self._start,
        }
        while self._events:
            at, _, kind, vm = heapq.heappop(self._events)
            self.fleet.advance(max(0.0, at - self.fleet.now))
            steps[kind](vm)

    def _schedule_stops(self) -> None:
        order = itertools.cycle(self.rng.sample(self.vms, len(self.vms)))
        at = self.begun + FAILING_S[0] - 2.0
        while at < self.begun + FAILING_S[1]:
            self._schedule(at, "stop", next(order))
            at += 1.0 / (RESTARTED_PER_S * len(self.vms))

    def _schedule(self, at: float, kind: str, vm: str) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), kind, vm))

    def _stop(self, vm: str) -> None:
        if vm in self.fleet.runs and vm not in self.stopping:
            self.stopping.add(vm)
            self.fleet.begin_stop(vm)
            self._schedule(self.fleet.now + DRAIN_S, "end", vm)

    def _end(self, vm: str) -> None:
        self.stopping.discard(vm)
        self.fleet.end_stop(vm)
        self._schedule(self.fleet.now + DOWN_S, "start", vm)

    def _start(self, vm: str) -> None:
        self.fleet.start(vm)

    def _request(self, _: str) -> None:
        index = self._pick()
        vm = self.vms[index]
        is_urgent = self.rng.random() < URGENT_SHARE
        self.fleet.request(vm)
        since = self.fleet.now - self.begun
        if not FAILING_S[0] <= since < FAILING_S[1]:
            return
        counts = self.counts
        counts.requests[is_urgent] += 1
        if self.rng.random() >= self._failing_share(index):
            counts.served[is_urgent] += 1
            return
        counts.wanted[is_urgent] += 1
        if not self.fleet.retry(vm, is_urgent):
            counts.denied[is_urgent] += 1
        elif self.rng.random() >= RETRY_FAILS:
            counts.served[is_urgent] += 1

    def _pick(self) -> int:
        """Return the process that a caller reaches; one that is down passes it on."""
        while True:
            index = self.rng.choices(self._indices, cum_weights=self._sums)[0]
            if self.vms[index] in self.fleet.runs:
                return index

    def _failing_share(self, index: int) -> float:
        if self.is_even:
            return FIRST_FAILS
        return 1.0 if index < FEW_SHARE * len(self.vms) else 0.0

    def budget_used(self) -> list[float]:
        """Return the used share of the budget in the windows of the failing time."""
        since = self.begun + FAILING_S[0]
        shares = []
        while since + WINDOW_S <= self.begun + FAILING_S[1]:
            sent = sum(since <= at < since + WINDOW_S for at in self.fleet.retries)
            shares.append(min(1.0, sent / self.fleet.allowed(since)))
            since += WINDOW_S / 2
        return shares


def simulate(way: str, size: int, is_even: bool) -> Outcome:
    """Run one setting with all its seeds, and return the pooled figures."""
    excesses = 0
    used: list[float] = []
    total = Counts()
    for seed in range(SEEDS[size]):
        simulation = Simulation(way, size, seed, is_even)
        simulation.run()
        excesses += len(simulation.fleet.excesses())
        used += simulation.budget_used()
        for name, mine in attrs.asdict(total).items():
            theirs = getattr(simulation.counts, name)
            setattr(total, name, [a + b for a, b in zip(mine, theirs, strict=True)])
    return Outcome(
        excesses,
        sum(used) / len(used),
        total.served[True] / total.requests[True],
        sum(total.served) / sum(total.requests),
        total.denied[True] / max(1, total.wanted[True]),
        total.requests[True],
    )


def main() -> None:
    columns = list(attrs.fields_dict(Outcome))
    outcomes: dict[str, list[Outcome]] = {}
    for size in SIZES:
        rows = []
        for is_even in (True, False):
            for way in WAYS:
                outcome = simulate(way, size, is_even)
                outcomes.setdefault(way, []).append(outcome)
                name = "even" if is_even else "few"
                rows.append((name, way, *attrs.astuple(outcome)))
        print_table(f"{size} processes", ["failures", "way", *columns], rows)
    print_load_average()
    result: dict[str, float] = {}
    for way, found in outcomes.items():
        prefix = "" if way == "shared" else f"{way}_"
        result[f"{prefix}over_budget_windows"] = sum(item.over_budget_windows for item in found)
        result[f"{prefix}budget_used"] = min(item.budget_used for item in found[::2])
        result[f"{prefix}budget_used_by_few"] = min(item.budget_used for item in found[1::2])
        result[f"{prefix}in_time_urgent"] = min(item.in_time_urgent for item in found)
        result[f"{prefix}in_time_all"] = min(item.in_time_all for item in found)
        result[f"{prefix}denied_urgent"] = max(item.denied_urgent for item in found)
    print_result(result)


if __name__ == "__main__":
    main()
