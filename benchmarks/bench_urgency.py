"""Whether urgent prompts get nothing while less urgent ones begin, in simulated fleets.

A burst of urgent prompts exceeds the places of all engines, and all processes are lost in it. Each
fleet is compared with one process that knows the present loads.
"""

from __future__ import annotations

import argparse
from collections import defaultdict

from _report import print_load_average, print_result, print_table
from _urgent_fleet import OTHER, URGENT, Fleet, Kind, Request

SIZES = (4, 28, 100)
SECONDS = 8.0
BURST = (1.0, 4.0, 3.0)
LOST_AT_S = 2.5

LESS_URGENT_RANKS = 2
"""Ranks of the less urgent route, by the priority of the organisation."""

MAX_PASSED_OVER = 8
"""Starts of late urgent prompts after which each less urgent rank may have one."""


def served(requests: list[Request], kind: Kind) -> float:
    """Return the share of the requests of a kind whose first token was received."""
    owed = [item for item in requests if item.kind is kind and not item.is_lost]
    return sum(item.first_at is not None for item in owed) / len(owed)


def passed_over(requests: list[Request]) -> int:
    """Return how many urgent requests got nothing while larger, less urgent ones began there.

    Counted are those that were refused, if more less urgent prompts began at their process while
    they were late than the turns of their ranks allow.
    """
    starts: dict[int, list[Request]] = defaultdict(list)
    for item in requests:
        if item.sent_at is not None:
            starts[item.process].append(item)
    found = 0
    for item in requests:
        if item.kind is not URGENT or item.refused_at is None or item.is_lost:
            continue
        meanwhile = [
            other
            for other in starts[item.process]
            if item.at + URGENT.target_s <= other.sent_at < item.refused_at
        ]
        others = sum(other.kind is OTHER for other in meanwhile)
        turns = 1 + (len(meanwhile) - others) / MAX_PASSED_OVER
        found += others > LESS_URGENT_RANKS * turns
    return found


def main() -> None:
    """Play all sizes and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    options = parser.parse_args()
    rows, passed, preempted, of_ideal = [], 0, 0, []
    for size in options.sizes:
        fleet = Fleet(size, size, options.seed)
        fleet.run(SECONDS, BURST, LOST_AT_S)
        ideal = Fleet(size, 1, options.seed, loads_age_s=0.0)
        ideal.run(SECONDS, BURST, LOST_AT_S)
        wrongly = sum(engine.preempted_wrongly for engine in fleet.engines)
        urgent, other = (served(fleet.requests, kind) for kind in (URGENT, OTHER))
        ideal_urgent = served(ideal.requests, URGENT)
        over = passed_over(fleet.requests)
        rows.append(
            (size, urgent, other, ideal_urgent, served(ideal.requests, OTHER), over, wrongly)
        )
        passed += over
        preempted += wrongly
        of_ideal.append(urgent / ideal_urgent)
    header = ["processes", "urgent", "other", "ideal urgent", "ideal other", "passed", "preempted"]
    print_table("Share served; urgent ones passed over or preempted wrongly", header, rows)
    print_load_average()
    print_result(
        {
            "urgent_passed_over": passed,
            "urgent_preempted_wrongly": preempted,
            "urgent_of_ideal": min(of_ideal),
        }
    )


if __name__ == "__main__":
    main()
