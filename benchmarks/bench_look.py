"""Measure the processor time of one evaluation of the waiting prompts, and of one placement.

A process evaluates its waiting prompts many times per second. A slow evaluation delays the handling
of callers that disconnect and of answers that are ready. The figures are milliseconds for one
evaluation of a number of waiting prompts, none of which may start, against a number of upstreams,
with load reports of 27 other processes. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import random
import time

from burdockquay_coordination.forwarding import (
    Demand,
    EngineModel,
    ListedUpstream,
    LoadShare,
    Prompt,
    PromptQueue,
    ServiceTargets,
    Upstream,
    WaitingPrompt,
    place_prompt,
)

PEERS = 27
SHARED_PARTS = 100
"""Number of shared prompt parts."""
BACKLOG = 200_000
"""Tokens waiting at each upstream: so many that no prompt may start."""
ROUNDS = 20
NOW = 10.0


def make_upstreams(count: int, rng: random.Random) -> list[Upstream]:
    """Return busy upstreams, each with some prompt parts in its cache."""
    found = []
    for number in range(count):
        entry = ListedUpstream(f"e{number}", "s", "10.0.0.1", 80, "a", 64, False, 1)
        upstream = Upstream(entry)
        for peer in range(PEERS):
            share = LoadShare(BACKLOG // PEERS, 1)
            upstream.pending.receive_update(f"p{peer}", share, NOW)
        for shared_part in rng.sample(range(SHARED_PARTS), 5):
            upstream.memory.record_read(f"part{shared_part}", 9000)
        found.append(upstream)
    return found


def make_demand(rng: random.Random) -> Demand:
    """Return the demand of a prompt with one shared part."""
    parts = ((f"part{rng.randrange(SHARED_PARTS)}", 9000), (f"own{rng.random()}", 3000))
    return Demand(Prompt(parts, 100), 2.0, 12.0)


def time_evaluation(upstreams: list[Upstream], waiting: int, rng: random.Random) -> float:
    """Return the time of one evaluation of the queue, milliseconds."""
    queue = PromptQueue()
    for _ in range(waiting):
        queue.add(WaitingPrompt(make_demand(rng), 2, NOW + 2, NOW + 3, ()))
    model = EngineModel()
    targets = ServiceTargets(1.0, 0)
    began = time.process_time()
    for _ in range(ROUNDS):
        if queue.take_start(upstreams, model, targets, NOW) is not None:
            raise RuntimeError("a prompt started although every upstream is busy")
    return (time.process_time() - began) / ROUNDS * 1000


def time_placement(upstreams: list[Upstream], rng: random.Random) -> float:
    """Return the time of one placement, milliseconds."""
    demands = [make_demand(rng) for _ in range(10 * ROUNDS)]
    model = EngineModel()
    began = time.process_time()
    for demand in demands:
        place_prompt(upstreams, demand, model, (), NOW)
    return (time.process_time() - began) / len(demands) * 1000


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    rng = random.Random(parser.parse_args().seed)
    figures = {}
    for count in (5, 26, 300):
        upstreams = make_upstreams(count, rng)
        row = {"placement_ms": time_placement(upstreams, rng)}
        row |= {
            f"look_{waiting}_ms": time_evaluation(upstreams, waiting, rng) for waiting in (20, 200)
        }
        print(f"{count:4} upstreams", *(f"{key} {value:.3f}" for key, value in row.items()))
        figures[str(count)] = row
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
