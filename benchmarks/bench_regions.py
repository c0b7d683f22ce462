"""Load patterns and faults over several regions, with models of the engines and of the links.

Simulated processes decide with the real classes: placement, queue, relays of loads and outcomes,
suspension, homes, retry budget and shared request rate limit. ``ideal`` is one queue that knows at
once what each engine has cached and still has to read, and which links work; it orders requests by
deadline and is no upper bound. The cases of a link have a hot region besides, since nothing has to
cross otherwise. ``peer bytes`` is the busiest direction of a link, counted from encoded messages;
the second table replays requests at 19 upstreams for each process through the gateways alone. The
last line is one JSON object with the worst figures.
"""

from __future__ import annotations

import argparse
import random
from collections import defaultdict, deque
from typing import Any

from _region_fleet import EVENT_BYTES, PROMPT_BYTES, Fleet, Sent, encode_update
from _region_world import CASES, NEAR_S, WARM_S, WAY_S, Engine, Request, World
from _report import print_load_average, print_result, print_table
from bench_policy import TOKENS_PER_S

from burdockquay_coordination.forwarding import LoadRelay, LoadShare
from burdockquay_coordination.forwarding.tests.limit_cluster import LimitCluster
from burdockquay_transport.forwarding._peers import loads_interval_s

REGIONS, SIZES = (2, 7), (12, 60, 300)
LISTED_PER_PROCESS, REQUESTS_PER_PROCESS, RUNNING_S, UNREAD_S = 19, 10.0, 3.0, 0.15
"""Upstreams and requests per second for each process of the replay, and times of a request."""
MAX_IDEAL_BACKLOG_S, REREAD_SHARE, MAX_CONSIDERED = 0.05, 0.5, 60
"""Backlog of an engine up to which the ideal queue sends there, its cost for reading shared parts
again, as a share of their reading time, and how many waiting requests it considers at a time."""


class Ideal:
    """One queue that knows the engines and the links at once."""

    def __init__(self, world: World):
        self.world = world
        self.waiting: list[Request] = []
        self.on_way: dict[Engine, float] = defaultdict(float)

    def arrive(self, request: Request) -> None:
        """Queue a new request."""
        self.waiting.append(request)

    def dispatch(self) -> None:
        """Send the requests that may be sent now, late ones last."""
        now, engines = self.world.now, [e for e in self.world.engines if not e.is_removed]
        if not self.waiting:
            return
        backlogs = {engine: engine.backlog() + self.on_way[engine] for engine in engines}
        self.waiting.sort(key=lambda item: (now > item.at + item.target_s, item.at + item.target_s))
        for request in self.waiting[:MAX_CONSIDERED]:
            costs = [(self._cost_s(request, e, backlogs[e]), e.upstream.id, e) for e in engines]
            cost_s, _, engine = min(costs, default=(float("inf"), "", None))
            if cost_s < float("inf") and backlogs[engine] <= MAX_IDEAL_BACKLOG_S * TOKENS_PER_S:
                backlogs[engine] += engine.missing(request.prompt)
                self.waiting.remove(request)
                self._send(request, engine)

    def _cost_s(self, request: Request, engine: Engine, backlog: float) -> float:
        link = self.world.link(self.world.region_of[request.process], engine.region)
        if link is not None and (request.stays_home or link.is_cut):
            return float("inf")
        way_s = 0.0 if link is None else 4 * WAY_S + link.queue_s(self.world.now)
        missing = engine.missing(request.prompt)
        shared = max(0, missing - request.prompt.own_tokens)
        return (backlog + missing + REREAD_SHARE * shared) / TOKENS_PER_S + way_s

    def _send(self, request: Request, engine: Engine) -> None:
        world, tokens = self.world, engine.missing(request.prompt)
        link = world.link(world.region_of[request.process], engine.region)
        way_s = NEAR_S if link is None else 2 * WAY_S + link.way_s(PROMPT_BYTES, world.now)
        self.on_way[engine] += tokens
        world.after(way_s, self._reach, request, engine, tokens)

    def _reach(self, request: Request, engine: Engine, tokens: float) -> None:
        self.on_way[engine] -= tokens
        if engine.is_removed:
            self.waiting.append(request)
        else:
            engine.send(Sent(request, self.world.now), int(not request.is_short))

    def read(self, engine: Engine, sent: Sent) -> None:
        """Send the first event of an answer to its caller."""
        world, request = self.world, sent.request
        link = world.link(engine.region, world.region_of[request.process])
        way_s = NEAR_S if link is None else link.way_s(EVENT_BYTES, world.now)
        if link is None or not link.is_cut:
            world.after(way_s, lambda: setattr(request, "first_at", world.now))

    def lose(self, engine: Engine, sent: Sent) -> None:
        """Queue a request at a lost engine again."""
        self.waiting.append(sent.request)

    def unlist(self) -> None:
        """Do nothing: the queue knows."""


def in_time(world: World) -> float:
    """Return the share of the measured requests whose first token was in time."""
    measured = [item for item in world.requests if item.at >= WARM_S]
    return sum(item.in_time for item in measured) / len(measured)


def simulate(regions: int, size: int, case: dict[str, Any], seed: int) -> dict[str, float]:
    """Run one case with the real decisions and with the ideal ones."""
    worlds = [World(regions, size, case, seed) for _ in range(2)]
    fleet = Fleet(worlds[0])
    worlds[0].run(fleet)
    worlds[1].run(Ideal(worlds[1]))
    real, ideal = map(in_time, worlds)
    peer_bytes = max((link.peer_bytes for link in worlds[0].links.values()), default=0)
    return {
        "in time": real,
        "ideal": ideal,
        "of ideal": real / ideal,
        "across": fleet.across / fleet.sends,
        "outside": fleet.outside,
        "bounds": fleet.bounds_broken,
        "retries": fleet.retries,
        "peer bytes/s": peer_bytes / (worlds[0].now - WARM_S),
    }


def replay_gateways(regions: int, size: int, seed: int) -> float:
    """Return the bytes per second from one gateway to another at the design size.

    The gateway receives the sums of the domains of its region, each as often as their size allows.
    """
    rng, relay, now, sent = random.Random(seed), LoadRelay(), 0.0, 0
    relay.set_recipients((), (), ["gateway"])
    domains = 6 if regions == 2 else 14
    interval_s = loads_interval_s(max(1, size // domains), True)
    listed = LISTED_PER_PROCESS * size // regions
    running: deque[tuple[float, str]] = deque()
    unread: deque[tuple[float, str]] = deque()
    while now < RUNNING_S + 3.0:
        loads: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        for _ in range(int(REQUESTS_PER_PROCESS * size / regions * interval_s + rng.random())):
            upstream = f"upstream-{rng.randrange(listed)}/{1_790_000_000_000}"
            running.append((now + RUNNING_S, upstream))
            unread.append((now + UNREAD_S, upstream))
        while running and running[0][0] <= now:
            running.popleft()
        while unread and unread[0][0] <= now:
            parts = {f"{rng.getrandbits(64):016x}": 2500 for _ in range(3)}
            relay.receive_parts("region", unread.popleft()[1], parts)
        for _, upstream in running:
            loads[upstream][1] += 1
        for _, upstream in unread:
            loads[upstream][0] += 2500
        shares = {name: LoadShare(*load) for name, load in loads.items()}
        relay.receive_update("region", shares, now, False)
        update = relay.compose("gateway", now)
        if update is not None and now >= RUNNING_S:
            sent += len(encode_update("r0", update))
        now += interval_s
    return sent / 3.0


def split_limit(size: int, seed: int) -> int:
    """Return how often a request rate limit is exceeded while two halves are cut apart."""
    cluster = LimitCluster(size, seed, 0.03)
    cluster.name_rate(20.0)
    rng, at, names = random.Random(seed), cluster.now, sorted(cluster.processes)
    end = at + 16.0
    cluster.schedule(at + 6.0, lambda: cluster.split(names[: size // 2], 6.0))
    while (at := at + rng.expovariate(60.0)) < end:
        process = cluster.processes[rng.choice(names)]
        cluster.schedule(at, lambda process=process: process.add(1, 5.0))
    cluster.run_until(end)
    return len(cluster.excesses(is_strict=True))


def main() -> None:
    """Run all cases at all sizes and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--cases", nargs="*", default=list(CASES))
    options = parser.parse_args()
    found: list[dict[str, Any]] = []
    replayed, limits = [], 0
    for regions in REGIONS:
        for size in options.sizes:
            rows = []
            for label in options.cases:
                outcome = simulate(regions, size, CASES[label], options.seed)
                found.append({"case": label, "size": size, **outcome})
                rows.append((label, *outcome.values()))
            print_table(f"{regions} regions, {size} processes", ["case", *outcome], rows)
            broken = split_limit(size, options.seed) if regions == 2 else 0
            limits += broken
            replayed.append((regions, size, replay_gateways(regions, size, options.seed), broken))
    header = ["regions", "processes", "peer bytes/s", "limit exceeded"]
    print_table(
        "Gateways at 19 upstreams for each process; limits with halves cut apart", header, replayed
    )
    print_load_average()
    largest = max(options.sizes)
    peer_bytes = [item["peer bytes/s"] for item in found if item["size"] == largest]
    peer_bytes += [row[2] for row in replayed if row[1] == largest]
    print_result(
        {
            "sends_outside_homes": sum(item["outside"] for item in found),
            "in_time_of_ideal": min(item["of ideal"] for item in found),
            "requests_across": max(
                (item["across"] for item in found if item["case"] == "calm"), default=0.0
            ),
            "peer_bytes_across_per_s": max(peer_bytes),
            "bounds_broken": limits + sum(item["bounds"] for item in found),
        }
    )


if __name__ == "__main__":
    main()
