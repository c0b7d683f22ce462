"""Model of several entries that place requests by delayed load reports, for each policy."""

from __future__ import annotations

import heapq
import random
from collections import deque

import attrs
from _report import print_result, print_table, quantile

from burdockquay_coordination import Candidate, PlacementRequest, placement_policies

ENTRIES = 4
SLOTS = 16
PLACES = 8
LOAD = 0.85
MEAN_SERVICE_S = 1.0
SLOW_SLOT_FACTOR = 2.0
"""Factor by which the requests of one slot take longer."""
LAGS_S = (0.05, 0.5, 2.0)
REQUESTS = 12000


@attrs.define
class Slot:
    """A slot that runs up to ``PLACES`` requests and queues the rest, first in, first out."""

    name: str
    factor: float
    running: int = 0
    queue: deque = attrs.field(factory=deque)
    by_entry: list[int] = attrs.field(factory=lambda: [0] * ENTRIES)

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return self.running + len(self.queue)


@attrs.define
class LoadReport:
    """Last load report of a slot received by the entries."""

    load: int = 0
    own: list[int] = attrs.field(factory=lambda: [0] * ENTRIES)


class Model:
    """Simulation in virtual time; every slot reports to all entries every ``lag_s`` seconds."""

    def __init__(self, policy: str, lag_s: float, seed: int):
        self.policies = [placement_policies.get(policy)() for _ in range(ENTRIES)]
        self.lag_s = lag_s
        self.rng = random.Random(seed)
        self.slots = [Slot(f"vm-{n:02}", SLOW_SLOT_FACTOR if n == 0 else 1.0) for n in range(SLOTS)]
        self.reports = {slot.name: LoadReport() for slot in self.slots}
        self.reported_at = 0.0
        self.waits: list[float] = []
        self.ends: list[tuple[float, int, Slot, int]] = []
        self.count = 0

    def run(self) -> list[float]:
        """Return the waiting times, seconds, without those of the first tenth of the requests."""
        now = 0.0
        rate = LOAD * PLACES * (SLOTS - 1 + 1 / SLOW_SLOT_FACTOR) / MEAN_SERVICE_S
        for number in range(REQUESTS):
            now += self.rng.expovariate(rate)
            self.end_until(now)
            self.place(number % ENTRIES, now)
        return self.waits[REQUESTS // 10 :]

    def end_until(self, now: float) -> None:
        """End the requests that are due and start those queued behind them."""
        while self.ends and self.ends[0][0] <= now:
            at, _, slot, entry = heapq.heappop(self.ends)
            self.report_until(at)
            slot.running -= 1
            slot.by_entry[entry] -= 1
            if slot.queue:
                self.start(slot, *slot.queue.popleft(), at)
        self.report_until(now)

    def report_until(self, now: float) -> None:
        """Send the reports that are due."""
        if now - self.reported_at < self.lag_s:
            return
        self.reported_at = now
        for slot in self.slots:
            self.reports[slot.name] = LoadReport(slot.load, list(slot.by_entry))

    def place(self, entry: int, now: float) -> None:
        """Place a request that arrives at an entry."""
        candidates = [self.describe(slot, entry, now) for slot in self.slots]
        request = PlacementRequest("draft", False, "praha-hall")
        chosen = self.policies[entry].choose(candidates, request, now, self.rng)
        slot = self.slots[int(chosen.vm[3:])]
        slot.by_entry[entry] += 1
        if slot.running < PLACES:
            self.start(slot, entry, now, now)
        else:
            slot.queue.append((entry, now))

    def describe(self, slot: Slot, entry: int, now: float) -> Candidate:
        """Return a slot as a candidate, as seen by an entry."""
        report = self.reports[slot.name]
        return Candidate(
            vm=slot.name,
            failure_domain="praha-hall",
            places=PLACES,
            outstanding=slot.by_entry[entry],
            reported=report.load,
            report_age_s=now - self.reported_at,
            outstanding_at_report=report.own[entry],
            step_s=0.004 * slot.factor,
        )

    def start(self, slot: Slot, entry: int, arrived: float, now: float) -> None:
        """Start a request with a random service time."""
        slot.running += 1
        self.count += 1
        self.waits.append(now - arrived)
        service_s = self.rng.expovariate(1.0 / (MEAN_SERVICE_S * slot.factor))
        heapq.heappush(self.ends, (now + service_s, self.count, slot, entry))


def main() -> None:
    rows = []
    result = {}
    for name in placement_policies.names():
        for lag_s in LAGS_S:
            waits = Model(name, lag_s, seed=5).run()
            mean = sum(waits) / len(waits)
            p99 = quantile(waits, 0.99)
            rows.append((name, lag_s, mean, p99))
            result[f"{name}_mean_wait_s_{lag_s}"] = mean
            result[f"{name}_p99_wait_s_{lag_s}"] = p99
    title = f"{ENTRIES} entries, {SLOTS} slots, one of them slow, load {LOAD} (model)"
    print_table(title, ("policy", "report every s", "mean wait s", "p99 wait s"), rows)
    print_result(result)


if __name__ == "__main__":
    main()
