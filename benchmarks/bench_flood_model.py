"""Model, without processes, of one organisation that sends ten times its share of the load."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator

from _report import print_result, print_table

from burdockquay_coordination import AdmissionController, QueuedRequest, queue_policies
from burdockquay_state import ClassRecord, OrganisationRecord, PolicyRecord

PLACES = 36
SERVICE_S = 1.3
SECONDS = 60.0
TARGET_S = 1.0
FLOODING = "small-7"
FLOOD_TIMES = 10
DEMAND = {"dosage": 0.8, "renewal": 1.7}
"""Offered requests by class, as a multiple of the capacity."""
CLASSES = {
    "dosage": ClassRecord("dosage", 40, TARGET_S, 0.1, 1.5, share=0.3),
    "renewal": ClassRecord("renewal", 10, TARGET_S, 0.1, 1.5, share=0.15),
}
WEIGHTS = {f"large-{n}": 5.0 for n in range(3)} | {f"small-{n}": 1.0 for n in range(1, 8)}


class Model:
    """Simulation in virtual time: one entry in front of all places, with requests queued in it."""

    def __init__(self, flood: bool, seed: int):
        self.rng = random.Random(seed)
        records = {
            name: OrganisationRecord(name, "ab" * 16, [], weight=weight)
            for name, weight in WEIGHTS.items()
        }
        self.admission = AdmissionController()
        self.admission.configure(CLASSES, records, PolicyRecord(), 0.0)
        self.queue = queue_policies.get("class_share")(CLASSES, WEIGHTS)
        self.free = PLACES
        self.ends: list[tuple[float, int, str, str]] = []
        self.sent: dict[str, int] = {}
        self.met: dict[str, int] = {}
        self.arrivals = sorted(self.make_arrivals(flood))

    def make_arrivals(self, flood: bool) -> Iterator[tuple[float, str, str]]:
        """Yield the arrivals; a flood does not change those of the other organisations."""
        total = sum(WEIGHTS.values())
        for class_name, part in DEMAND.items():
            for name, weight in WEIGHTS.items():
                times = FLOOD_TIMES if flood and name == FLOODING else 1
                rate = part * PLACES / SERVICE_S * weight / total * times
                rng = random.Random(f"{class_name} {name}")
                at = rng.expovariate(rate)
                while at < SECONDS:
                    yield at, class_name, name
                    at += rng.expovariate(rate)

    def run(self) -> float:
        """Return the attainment of the organisations that do not flood."""
        for number, (at, class_name, name) in enumerate(self.arrivals):
            self.end_until(at)
            self.sent[name] = self.sent.get(name, 0) + 1
            if self.admission.admit(name, class_name, self.queue, at).is_ok():
                self.queue.push(QueuedRequest(f"r{number}", name, class_name, at, 1e9), at)
            self.start(at)
        others = [name for name in WEIGHTS if name != FLOODING]
        met = sum(self.met.get(name, 0) for name in others)
        return met / sum(self.sent[name] for name in others)

    def end_until(self, now: float) -> None:
        """End the requests that are due and start waiting ones."""
        while self.ends and self.ends[0][0] <= now:
            at, _, class_name, name = heapq.heappop(self.ends)
            self.free += 1
            self.admission.finished(name, class_name, at)
            self.start(at)

    def start(self, now: float) -> None:
        """Start requests while there are places."""
        for waiting in self.queue.expire(now):
            self.admission.finished(waiting.organisation, waiting.class_name, now)
        while self.free and (request := self.queue.pop(now)) is not None:
            self.free -= 1
            wait_s = now - request.enqueued_at
            self.admission.started(request.class_name, wait_s, now)
            self.met[request.organisation] = self.met.get(request.organisation, 0) + (
                wait_s <= TARGET_S
            )
            length_s = self.rng.expovariate(1.0 / SERVICE_S)
            self.queue.charge(request.class_name, request.organisation, 125 * length_s, now)
            end = (
                now + length_s,
                self.rng.getrandbits(40),
                request.class_name,
                request.organisation,
            )
            heapq.heappush(self.ends, end)


def main() -> None:
    before, during = (Model(flood, seed=2).run() for flood in (False, True))
    rows = [("attainment of the others", before, during, during / before)]
    print_table("ten times its part (model)", ("figure", "before", "flood", "ratio"), rows)
    print_result({"before": before, "during": during, "flood_ratio": during / before})


if __name__ == "__main__":
    main()
