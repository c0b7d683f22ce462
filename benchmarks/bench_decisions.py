"""Processor time per decision, and its growth with the queue length and the number of choices."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from _report import print_result, print_table

from burdockquay_coordination import (
    AdmissionController,
    Candidate,
    PlacementRequest,
    QueuedRequest,
    RouteTable,
    SlotScheduler,
    Work,
    placement_policies,
    queue_policies,
)
from burdockquay_protocol import ClassDemand
from burdockquay_state import (
    ClassRecord,
    OrganisationRecord,
    PolicyRecord,
    RouteRecord,
    Snapshot,
)

QUEUED = (10, 1000)
CANDIDATES = (4, 64)
ROUTES = (10, 1000)
TURNS = 3000
ROUNDS = 5
CLASSES = {
    name: ClassRecord(name, rank, 1.0, 0.1, 60.0, share=0.2, protected=rank == 3)
    for rank, name in enumerate(("summary", "draft", "question", "hold"))
}
ORGANISATIONS = [f"organisation-{number}" for number in range(10)]


def microseconds(step: Callable[[int], None]) -> float:
    """Return the time of one call, the best of several rounds, microseconds."""
    best = float("inf")
    for _ in range(ROUNDS):
        start = time.perf_counter()
        for turn in range(TURNS):
            step(turn)
        best = min(best, time.perf_counter() - start)
    return best / TURNS * 1e6


def make_queued_request(number: int) -> QueuedRequest:
    class_name = list(CLASSES)[number % len(CLASSES)]
    organisation = ORGANISATIONS[number % len(ORGANISATIONS)]
    return QueuedRequest(f"r{number}", organisation, class_name, number * 1e-3, 1e9)


def measure_queue(policy: str, size: int) -> float:
    """Return the time of one push, one pop and one charge at a constant queue length."""
    queue = queue_policies.get(policy)(CLASSES, {})
    numbers = iter(range(10**9))
    for _ in range(size):
        queue.push(make_queued_request(next(numbers)), 0.0)

    def step(turn: int) -> None:
        queue.push(make_queued_request(next(numbers)), 1.0)
        queued = queue.pop(1.0)
        queue.charge(queued.class_name, queued.organisation, 40, 1.0)

    return microseconds(step)


def measure_admission(size: int) -> float:
    controller = AdmissionController()
    records = {
        name: OrganisationRecord(name, "ab" * 16, [], requests_per_s=1e6, outstanding=10**6)
        for name in ORGANISATIONS
    }
    controller.configure(CLASSES, records, PolicyRecord(), 0.0)
    queue = queue_policies.get("class_share")(CLASSES, {})
    for number in range(size):
        queue.push(make_queued_request(number), 0.0)
    return microseconds(
        lambda turn: controller.admit(ORGANISATIONS[turn % 10], "draft", queue, turn * 1e-4)
    )


def measure_placement(count: int) -> float:
    policy = placement_policies.get("scored")()
    rng = random.Random(1)
    candidates = [
        Candidate(f"vm-{n}", f"domain-{n % 4}", 8, n % 5, n % 8, 0.1, n % 3, 0.004)
        for n in range(count)
    ]
    request = PlacementRequest("draft", False, "domain-1", 8)
    return microseconds(lambda turn: policy.choose(candidates, request, 0.0, rng))


def measure_slot(demand: int) -> float:
    """Return the time of one grant and of the offer, start and end of its request.

    Every class has waiting requests.
    """
    slot = SlotScheduler(8, CLASSES, {}, PolicyRecord())
    classes = [ClassDemand(name, demand, 0.1) for name in CLASSES]

    def step(turn: int) -> None:
        if turn % 4 == 0:
            slot.set_demand("entry", classes, 0.0)
        grant = slot.next_grant(0.0)
        work = Work(f"r{turn}", 1, "entry", "north", grant.class_name, "d", 1e9)
        slot.offer(work, grant.grant, 0.0)
        slot.next_start(0.0)
        slot.finish(work.request, 1, 0.0)

    return microseconds(step)


def measure_routes(count: int) -> float:
    routes = {
        f"route-{n}": RouteRecord(
            f"route-{n}", "draft", "engines", organisation=f"organisation-{n}", path_prefix="/v1"
        )
        for n in range(count)
    }
    table = RouteTable(Snapshot(routes=routes))
    return microseconds(lambda turn: table.match("organisation-3", "/v1/chat", "m", ""))


def main() -> None:
    measurements = {
        "queue_fifo": (QUEUED, lambda size: measure_queue("fifo", size)),
        "queue_class_share": (QUEUED, lambda size: measure_queue("class_share", size)),
        "admission": (QUEUED, measure_admission),
        "slot": (QUEUED, measure_slot),
        "placement": (CANDIDATES, measure_placement),
        "routing": (ROUTES, measure_routes),
    }
    result: dict[str, float] = {}
    rows = []
    for name, (sizes, measure) in measurements.items():
        small, large = (measure(size) for size in sizes)
        slope = (large - small) / (sizes[1] - sizes[0])
        result[f"{name}_us_{sizes[0]}"] = small
        result[f"{name}_us_{sizes[1]}"] = large
        result[f"{name}_us_slope"] = slope
        rows.append((name, sizes[0], small, sizes[1], large, f"{slope:.5f}"))
    header = ("decision", "size", "us", "size", "us", "us per item more")
    print_table("microseconds per decision", header, rows)
    print_result(result)


if __name__ == "__main__":
    main()
