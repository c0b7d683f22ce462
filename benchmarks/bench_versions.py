"""Ways to know at which software version a stream began, with many processes.

The real records are kept in simulated time. Processes begin streams at upstreams of two versions
side by side, and end and start again; the callers of their streams resume them at other processes.
The last line is one JSON object with the worst figures of the way that the product uses, and of
each other way under its name.
"""

from __future__ import annotations

import random

import attrs
from _report import print_load_average, print_result, print_table

from burdockquay_coordination.forwarding.tests import stream_fleet
from burdockquay_coordination.forwarding.tests.stream_fleet import StreamFleet

SIZES = (4, 28, 300)
STREAMS_PER_S = 4.5
"""Streams that a process begins."""

SECONDS = 20.0
LOST_PER_S = 0.02
"""Share of the processes that end each second, without a word to others."""

BROKEN_SHARE = 0.1
"""Share of the other streams that break, and whose callers return."""

RETURN_S = (0.01, 1.0)
"""Bounds of the time after which a caller returns, seconds."""

WAYS = {
    "owners": (2, 4, 64),
    "recorder": (0, 10**6, 0),
    "all": (10**6, 0, 0),
    "one": (1, 4, 0),
}
"""For each way the number of peers that keep a record, of those that are asked, and of those that
are asked before a refusal."""


@attrs.frozen
class Outcome:
    """Figures of one way in one setting.

    Parameters
    ----------
    joined_streams : int
    resumes_served : float
        Share of the resumed streams whose version was found.
    bytes_per_s_per_process : float
        Records and questions that a process sends.
    questions : int
    """

    joined_streams: int
    resumes_served: float
    bytes_per_s_per_process: float
    questions: int


def simulate(way: str, size: int, seed: int = 1) -> Outcome:
    """Run one setting and return its figures."""
    owners, asked, at_last = WAYS[way]
    stream_fleet.RECORD_OWNERS, stream_fleet.ASKED_PROCESSES = owners, asked
    stream_fleet.ASKED_AT_LAST = at_last
    rng = random.Random(seed)
    fleet = StreamFleet(size, seed)
    fleet.set_versions(["v1", "v2"])
    returning: list[tuple[float, stream_fleet.Stream]] = []
    begun: dict[str, list[stream_fleet.Stream]] = {}
    step_s = 1.0 / (STREAMS_PER_S * size)
    next_loss_at = 0.0
    while fleet.now < SECONDS:
        fleet.advance(step_s)
        name = rng.choice(sorted(fleet.processes))
        stream = fleet.begin(name)
        begun.setdefault(name, []).append(stream)
        if rng.random() < BROKEN_SHARE:
            returning.append((fleet.now + rng.uniform(*RETURN_S), stream))
        if fleet.now >= next_loss_at:
            next_loss_at += 1.0 / (LOST_PER_S * size)
            lost = rng.choice(sorted(fleet.processes))
            for item in begun.pop(lost, [])[-int(STREAMS_PER_S * 2) :]:
                returning.append((fleet.now + rng.uniform(*RETURN_S), item))
            fleet.end(lost)
            fleet.start()
        due = [item for item in returning if item[0] <= fleet.now]
        returning = [item for item in returning if item[0] > fleet.now]
        for _, item in due:
            fleet.resume(rng.choice(sorted(fleet.processes)), item)
    tried = fleet.resumed + fleet.unknown
    sent = fleet.sent_bytes / SECONDS / size
    return Outcome(fleet.joined, fleet.resumed / tried, sent, fleet.questions)


def main() -> None:
    columns = list(attrs.fields_dict(Outcome))
    outcomes: dict[str, list[Outcome]] = {}
    for size in SIZES:
        rows = []
        for way in WAYS:
            if way == "all" and size > 100:
                continue
            outcome = simulate(way, size)
            outcomes.setdefault(way, []).append(outcome)
            rows.append((way, *attrs.astuple(outcome)))
        print_table(f"{size} processes", ["way", *columns], rows)
    print_load_average()
    result: dict[str, float] = {}
    for way, found in outcomes.items():
        prefix = "" if way == "owners" else f"{way}_"
        result[f"{prefix}joined_streams"] = sum(item.joined_streams for item in found)
        result[f"{prefix}resumes_served"] = min(item.resumes_served for item in found)
        result[f"{prefix}bytes_per_s_per_process"] = max(
            item.bytes_per_s_per_process for item in found
        )
    print_result(result)


if __name__ == "__main__":
    main()
