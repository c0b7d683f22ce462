"""Model of one slot under overload with reserved places, preemption, both or neither.

Routine requests are always waiting; protected requests arrive in bursts.
"""

from __future__ import annotations

import heapq
import random

from _report import print_result, print_table, quantile

from burdockquay_coordination import SlotScheduler, Work
from burdockquay_protocol import ClassDemand
from burdockquay_state import ClassRecord, PolicyRecord

PLACES = 4
SECONDS = 2000.0
MEAN_DRAFT_S = 2.0
MEAN_HOLD_S = 0.2
BURSTS_PER_S = 0.25
BURST_SIZES = (1, 2, 3, 4)
CLASSES = {
    "hold": ClassRecord(
        "hold", 100, 0.1, 0.1, 1e6, protected=True, preemptible=False, reserved_places=1
    ),
    "draft": ClassRecord("draft", 10, 1.0, 0.1, 1e6, share=0.5),
}
VARIANTS = {
    "neither": (False, False),
    "keeping places": (True, False),
    "pausing": (False, True),
    "both": (True, True),
}


class Model:
    """Simulation in virtual time of an entry, a slot and its upstream, without network delays."""

    def __init__(self, reserve: bool, preemption: bool, seed: int):
        policy = PolicyRecord(reserve=reserve, preemption=preemption)
        self.slot = SlotScheduler(PLACES, CLASSES, {}, policy)
        self.rng = random.Random(seed)
        self.events: list[tuple[float, int, str, str]] = []
        self.number = 0
        self.arrived: dict[str, float] = {}
        self.queue: list[str] = []
        self.remaining_s: dict[str, float] = {}
        self.ends_at: dict[str, float] = {}
        self.waits: list[float] = []
        self.done_s = 0.0
        self.pauses = 0

    def add_event(self, at: float, kind: str, name: str) -> None:
        """Schedule an event."""
        self.number += 1
        heapq.heappush(self.events, (at, self.number, kind, name))

    def run(self) -> None:
        """Process the events in order until the end of the simulation."""
        self.add_event(0.0, "burst", "")
        while self.events and self.events[0][0] < SECONDS:
            now, _, kind, name = heapq.heappop(self.events)
            if kind == "burst":
                self.burst(now)
            elif self.ends_at.get(name) == now:
                self.end(name, now)
            self.run_scheduler(now)

    def burst(self, now: float) -> None:
        """Offer a burst of protected requests; those refused are queued at the entry."""
        for _ in range(self.rng.choice(BURST_SIZES)):
            self.number += 1
            name = f"hold-{self.number}"
            self.arrived[name] = now
            if self.slot.offer(self.work(name), 0, now).is_err():
                self.queue.append(name)
            self.run_scheduler(now)
        self.add_event(now + self.rng.expovariate(BURSTS_PER_S), "burst", "")

    def end(self, name: str, now: float) -> None:
        """End a request."""
        del self.ends_at[name]
        self.done_s += self.remaining_s.pop(name)
        self.slot.finish(name, 1, now)

    @staticmethod
    def work(name: str) -> Work:
        """Return the request with a name, which starts with that of its class."""
        return Work(name, 1, "entry", "north", name.split("-")[0], name, 1e9)

    def run_scheduler(self, now: float) -> None:
        """Run the scheduler until it allows no further action."""
        demand = [ClassDemand("draft", 9, 1.0), ClassDemand("hold", len(self.queue), 0.0)]
        self.slot.set_demand("entry", demand, now)
        has_acted = True
        while has_acted:
            has_acted = any((self.pause(now), self.start(now), self.resume(now), self.grant(now)))

    def pause(self, now: float) -> bool:
        """Pause a request, if one is to be preempted."""
        work = self.slot.next_pause(now)
        if work is not None:
            self.pauses += 1
            remaining_s = self.ends_at.pop(work.request) - now
            self.done_s += self.remaining_s[work.request] - remaining_s
            self.remaining_s[work.request] = remaining_s
        return work is not None

    def start(self, now: float) -> bool:
        """Start a request with a random length, if one may start."""
        work = self.slot.next_start(now)
        if work is not None:
            mean_s = MEAN_HOLD_S if work.class_name == "hold" else MEAN_DRAFT_S
            self.remaining_s[work.request] = self.rng.expovariate(1.0 / mean_s)
            self.schedule_end(work.request, now)
            if work.class_name == "hold":
                self.waits.append(now - self.arrived.pop(work.request))
        return work is not None

    def resume(self, now: float) -> bool:
        """Resume a paused request, if a place is free."""
        work = self.slot.next_resume(now)
        if work is not None:
            self.schedule_end(work.request, now)
        return work is not None

    def schedule_end(self, name: str, now: float) -> None:
        """Run a request for its remaining time."""
        self.ends_at[name] = now + self.remaining_s[name]
        self.add_event(self.ends_at[name], "end", name)

    def grant(self, now: float) -> bool:
        """Use a grant, if one is issued."""
        grant = self.slot.next_grant(now)
        if grant is None:
            return False
        self.number += 1
        name = self.queue.pop(0) if grant.class_name == "hold" else f"draft-{self.number}"
        self.slot.offer(self.work(name), grant.grant, now)
        return True


def main() -> None:
    rows = []
    result = {}
    for name, (reserve, preemption) in VARIANTS.items():
        model = Model(reserve, preemption, seed=11)
        model.run()
        figures = {
            "wait_s_mean": sum(model.waits) / len(model.waits),
            "wait_s_p99": quantile(model.waits, 0.99),
            "at_once_share": sum(wait == 0 for wait in model.waits) / len(model.waits),
            "busy_share": model.done_s / (PLACES * SECONDS),
            "pauses_per_100_holds": 100 * model.pauses / len(model.waits),
        }
        rows.append((name, *figures.values()))
        for key, value in figures.items():
            result[f"{name.replace(' ', '_')}_{key}"] = value
    header = ("way", "mean wait s", "p99 wait s", "at once", "places busy", "pauses per 100")
    print_table(f"protected requests at one slot of {PLACES} places (model)", header, rows)
    print_result(result)


if __name__ == "__main__":
    main()
