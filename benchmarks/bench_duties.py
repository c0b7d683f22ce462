"""Loss of the process that reports usage, by each way in which it can be lost.

The real decisions (counts, lease, reports) run in simulated time against a table and a platform in
memory. Each process counts requests and shares the counts with three candidates. The last line is
one JSON object, with the worst figures of all ways at the largest size.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Coroutine
from typing import Any

import attrs
from _report import print_load_average, print_result, print_table
from result import Err

from burdockquay_coordination.usage import (
    Delivery,
    DutyChange,
    ReportTerms,
    UsageCounter,
    UsageLedger,
    UsageReport,
    UsageReporter,
    UsageSink,
)
from burdockquay_state import FaultyTable, TableError, TableErrorKind, TableService

TERMS = ReportTerms(window_s=5.0, due_s=10.0, lease_s=3.0)
SIZES = (30, 100, 300)
CANDIDATES = 3
ORGANISATIONS = 24
REQUESTS_PER_S = 10.0
"""Requests of each process."""
TICK_S = 0.2
MAX_MESSAGES_PER_S = 250
LOST_AT_S = 23.0
BACK_AFTER_S = 4.0
END_S = 60.0


@attrs.frozen
class Way:
    """A way in which the holder is lost.

    Parameters
    ----------
    name : str
    forgets : bool
        Whether the process ends and its latest counts are lost.
    hands_over : bool
        Whether it releases the lease first.
    returns : bool
        Whether it goes on after ``BACK_AFTER_S``.
    mid_renewal : bool
        Whether it stops between the renewal and its answer.
    cut : bool
        Whether it goes on without the store.
    """

    name: str
    forgets: bool = True
    hands_over: bool = False
    returns: bool = False
    mid_renewal: bool = False
    cut: bool = False


WAYS = (
    Way("killed for good"),
    Way("frozen as its renewal is on the way", forgets=False, returns=True, mid_renewal=True),
    Way("stopped", hands_over=True),
    Way("cut from the store", forgets=False, returns=True, cut=True),
    Way("restarted at once", returns=True),
)


class CuttableTable:
    """The table as one process reaches it."""

    def __init__(self, table: TableService):
        self._table = table
        self.is_cut = False
        self.calls = 0

    @property
    def era(self) -> int:
        """Era of the table."""
        return self._table.era

    @property
    def absent(self) -> int:
        """Version of a missing row."""
        return self._table.absent

    async def get(self, keys: Any) -> Any:
        """Return rows."""
        return await self._reach(self._table.get, keys)

    async def scan(self, prefix: str) -> Any:
        """Return the rows under a prefix."""
        return await self._reach(self._table.scan, prefix)

    async def transact(self, operations: Any) -> Any:
        """Carry out operations."""
        return await self._reach(self._table.transact, operations)

    async def _reach(self, call: Any, argument: Any) -> Any:
        self.calls += 1
        if self.is_cut:
            return Err(TableError(TableErrorKind.UNAVAILABLE))
        return await call(argument)


@attrs.define(eq=False)
class Platform(UsageSink):
    """Accepts reports and records what may not happen."""

    now: float = 0.0
    calls: int = 0
    reports: dict[int, tuple[float, dict[str, int]]] = attrs.field(factory=dict)
    twice: set[int] = attrs.field(factory=set)
    holders: dict[int, set[str]] = attrs.field(factory=lambda: defaultdict(set))
    highest: int = 0

    async def deliver(self, report: UsageReport, holder: str, fencing: int) -> Delivery:
        """Accept a report unless a higher fencing number has been seen."""
        self.calls += 1
        self.holders[fencing].add(holder)
        if fencing < self.highest:
            return Delivery.FENCED
        self.highest = fencing
        counts = dict(report.counts)
        _, known = self.reports.setdefault(report.window, (self.now, counts))
        if known != counts:
            self.twice.add(report.window)
        return Delivery.ACCEPTED


class Process:
    """One process with its counts; the first ones are candidates."""

    def __init__(
        self, name: str, incarnation: str, table: TableService, sink: UsageSink, now: float
    ):
        self.incarnation = incarnation
        self.table = CuttableTable(table)
        self.counter = UsageCounter(TERMS.window_s, now)
        self.ledger = UsageLedger()
        self.taken = False
        self.reporter = UsageReporter(
            self.table, sink, name, incarnation, TERMS, self.ledger, self._on_change
        )

    def _on_change(self, change: DutyChange, details: Any) -> None:
        self.taken = self.taken or change is DutyChange.TAKEN


@attrs.frozen
class Outcome:
    """Figures of one run."""

    takeover_s: float
    windows_due: int
    windows_missed: int
    windows_twice: int
    fences_twice: int
    count_error_max: float
    calls: int
    counts_per_s: float


def simulate(way: Way, size: int, seed: int = 1) -> Outcome:
    rng = random.Random(seed)
    table, platform = FaultyTable(era=1), Platform()
    incarnations = itertools.count(1)
    processes = {
        name: Process(name, f"i{next(incarnations)}", table, platform, 0.0)
        for name in (f"vm{number}" for number in range(size))
    }
    truth: dict[int, Counter[str]] = defaultdict(Counter)
    candidates = list(processes)[:CANDIDATES]
    share_interval_s = max(0.4, size / MAX_MESSAGES_PER_S)
    lost: str | None = None
    absent: set[str] = set()
    takeover_s = float("inf")
    calls = 0
    for tick in range(round(END_S / TICK_S)):
        now = platform.now = tick * TICK_S
        if lost is None and now >= LOST_AT_S:
            lost = next(name for name in candidates if processes[name].reporter.holds(now))
            _lose(processes[lost], way, now)
            if not way.cut:
                absent.add(lost)
        if lost and now >= LOST_AT_S + BACK_AFTER_S and way.returns:
            absent.discard(lost)
            processes[lost].table.is_cut = False
            if way.forgets and processes[lost].incarnation.startswith("i"):
                calls += processes[lost].table.calls
                new = f"again{next(incarnations)}"
                processes[lost] = Process(lost, new, table, platform, now)
        alive = [name for name in processes if name not in absent]
        for name in alive:
            for _ in range(_poisson(rng, REQUESTS_PER_S * TICK_S)):
                organisation = (
                    f"org{min(rng.randrange(ORGANISATIONS), rng.randrange(ORGANISATIONS))}"
                )
                processes[name].counter.add(organisation, now)
                truth[processes[name].counter.window_at(now)][organisation] += 1
        if tick % round(share_interval_s / TICK_S) == 0:
            _share(processes, alive, [name for name in candidates if name not in absent], now)
        for name in candidates:
            if name in absent:
                continue
            while _finish(processes[name].reporter.step(now, now, [], True)):
                pass
            if lost and name != lost and processes[name].reporter.holds(now):
                takeover_s = min(takeover_s, now - LOST_AT_S)
    calls += sum(process.table.calls for process in processes.values()) + platform.calls
    return _measure(truth, platform, takeover_s, calls, size / share_interval_s)


def _lose(process: Process, way: Way, now: float) -> None:
    if way.hands_over:
        _finish(process.reporter.release(now))
    if way.mid_renewal:
        step = process.reporter._leases.renew(process.reporter._lease, now)
        _finish(step)
    process.table.is_cut = way.cut


def _share(
    processes: dict[str, Process], alive: list[str], candidates: list[str], now: float
) -> None:
    for name in alive:
        windows = processes[name].counter.windows(now)
        for candidate in candidates:
            processes[candidate].ledger.record(processes[name].incarnation, windows, now)


def _measure(
    truth: dict[int, Counter[str]],
    platform: Platform,
    takeover_s: float,
    calls: int,
    messages_per_s: float,
) -> Outcome:
    due = [window for window in truth if TERMS.end_of(window) + TERMS.due_s <= END_S]
    missed, worst = 0, 0.0
    for window in due:
        at, counts = platform.reports.get(window, (float("inf"), {}))
        total = sum(truth[window].values())
        error = abs(sum(counts.values()) - total) / total
        missed += at > TERMS.end_of(window) + TERMS.due_s or error > 0.05
        worst = max(worst, error)
    twice = [fencing for fencing, names in platform.holders.items() if len(names) > 1]
    return Outcome(
        round(takeover_s, 1),
        len(due),
        missed,
        len(platform.twice),
        len(twice),
        round(worst, 4),
        calls,
        messages_per_s,
    )


def _finish(coroutine: Coroutine) -> Any:
    """Run a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise RuntimeError("the coroutine waits")


def _poisson(rng: random.Random, mean: float) -> int:
    total, count = rng.expovariate(1.0), 0
    while total < mean:
        total += rng.expovariate(1.0)
        count += 1
    return count


def main() -> None:
    columns = list(attrs.fields_dict(Outcome))
    outcomes = {(size, way.name): simulate(way, size) for size in SIZES for way in WAYS}
    for size in SIZES:
        rows = [(way.name, *attrs.astuple(outcomes[size, way.name])) for way in WAYS]
        print_table(f"{size} processes", ["way", *columns], rows)
    print_load_average()
    largest = [outcomes[SIZES[-1], way.name] for way in WAYS]
    result = {name: max(getattr(item, name) for item in largest) for name in columns}
    result |= {
        name: sum(getattr(item, name) for item in outcomes.values())
        for name in ("windows_twice", "fences_twice")
    }
    print_result(result)


if __name__ == "__main__":
    main()
