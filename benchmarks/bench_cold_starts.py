"""Starts at cold upstreams, shared by many processes under faults.

The real decisions run in simulated time, with messages and requests that are delayed and lost. More
work arrives than the upstreams can do. Half of the upstreams come back together while the others
have queues; one turns cold in place while one process is cut off with an old list and another one
is frozen; all restart, and then half of the processes are parted from the others, and all processes
restart. Requests are counted when they arrive. The last line is one JSON object with the worst
figures.
"""

from __future__ import annotations

import asyncio
import bisect
import random
import sys
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from _cold_service import COLD_PER_S, PATIENCE_S, TICK_S, WARM_PER_S, Server, serve_ideally
from _report import report_sizes
from _simulated_fleet import SERVICE, Fleet, Host

from burdockquay_coordination.forwarding import (
    ColdStartTerms,
    ForwardConfig,
    ListedUpstream,
    Upstream,
    UpstreamChanges,
)
from burdockquay_transport.forwarding._call import ForwardCall

SIZES = (4, 28, 100, 300)
SEED = 1
UPSTREAMS = 8
COLD_S, OVERAGE, SLACK = 10.0, 1.5, 5.0
BOUND = COLD_PER_S * OVERAGE + SLACK
CRASH_FACTOR = 2.0
DEMAND = 0.9
"""Requests that arrive, as a share of what all upstreams serve when they are warm."""

URGENT_SHARE = 0.1
LOSS, LOSS_TIMEOUT_S = 0.005, 0.3
READ_S = (0.01, 0.15)
"""Range of the time until a process has read a change of the list, seconds."""

ROW_INTERVAL_S = 2.0
"""Time after which a cold upstream writes its entry again, seconds."""

BACK_AT, TURN_AT, RESTART_AT, SPLIT_AT, PROCESSES_AT, END = 1.0, 4.0, 14.0, 16.0, 20.0, 28.0
TURN_S, CUT_S, FREEZE_S, SPLIT_S, DOWN_S = 4.0, 5.0, 1.5, 4.0, 0.3
SETTLE_S = 1.0
"""Time after an upstream has turned cold, or the processes have started, in which use is not
judged, seconds."""

MIN_JUDGED_S = 2.0
"""Shortest time with waiting requests from which the use of a cold upstream is judged, seconds."""


@attrs.frozen
class Outcome:
    """Figures of one run, named as in the requirements.

    ``cpu_share`` is the processor time per process and second, with that of the simulation.
    """

    seconds_over: int
    crashes: int
    used_at_worst: float
    served_of_ideal: float
    wrongly_refused: int
    bytes_per_s_per_process: float
    cpu_share: float


class Simulation:
    """One run at one size."""

    def __init__(self, size: int, seed: int):
        self.fleet = Fleet(size, seed)
        self.rng = random.Random(seed + 1)
        self.loop = self.fleet.loop
        self.begun = self.loop.time()
        self.servers = {f"u{n}": Server(n) for n in range(UPSTREAMS)}
        self.moments: list[float] = []
        self.served = self.wrongly_refused = 0
        self.used: dict[tuple[str, float], list[int]] = defaultdict(lambda: [0, 0])
        self.judged_from = 0.0
        self.tasks: set[asyncio.Task] = set()
        self.unread_until: dict[str, float] = {}

    def run(self) -> Outcome:
        """Run to the end and return the figures."""
        cpu = time.process_time()
        self.loop.run_until_complete(self._run())
        cpu = time.process_time() - cpu
        self.loop.end()
        servers = self.servers.values()
        shares = [
            used / (ticks * TICK_S * COLD_PER_S)
            for ticks, used in self.used.values()
            if ticks * TICK_S >= MIN_JUDGED_S
        ]
        return Outcome(
            sum(item.seconds_over(BOUND) for item in servers),
            sum(item.seconds_over(CRASH_FACTOR * COLD_PER_S) > 0 for item in servers),
            min(shares, default=1.0),
            self.served / serve_ideally(servers, self.moments, self.begun, END, self._is_down),
            self.wrongly_refused,
            sum(self.fleet.bytes.values()) / (self.fleet.size * END),
            cpu / (self.fleet.size * END),
        )

    async def _run(self) -> None:
        servers, fleet = list(self.servers.values()), self.fleet
        half = len(servers) // 2
        self._start()
        for server in servers[:half]:
            self._list(server, server.run)
        days: list[tuple[float, Callable[..., Any], Any]] = [
            (BACK_AT, self._start_runs, servers[half:]),
            (TURN_AT - 1.0, self._cut_off, 1),
            (TURN_AT - 0.05, lambda number: fleet.hosts[number].freeze(FREEZE_S), 2),
            (
                TURN_AT,
                lambda item: item.spells.append((self.loop.time(), self.loop.time() + TURN_S)),
                servers[0],
            ),
            (RESTART_AT, self._start_runs, servers),
            (SPLIT_AT, lambda n: fleet.split(fleet.hosts[:n], SPLIT_S), fleet.size // 2),
            (PROCESSES_AT, lambda _: fleet.end(), None),
            (PROCESSES_AT + DOWN_S, lambda _: self._start(), None),
            (TICK_S, self._judge, None),
        ]
        for after_s, action, argument in days:
            self.loop.call_at(self.begun + after_s, action, argument)
        moment, per_s = self.begun, DEMAND * WARM_PER_S * len(servers)
        while (moment := moment + self.rng.expovariate(per_s)) < self.begun + END:
            self.moments.append(moment)
            self.loop.call_at(moment, self._arrive, moment, int(self.rng.random() >= URGENT_SHARE))
        await asyncio.sleep(END)

    def _start(self) -> None:
        """Start all processes; they read the list and the configuration."""
        self.judged_from = self.loop.time() + SETTLE_S
        self.fleet.start()
        config = ForwardConfig(1, (), cold_starts=(ColdStartTerms(SERVICE, COLD_S, COLD_PER_S),))
        for host in self.fleet.hosts:
            host.state.settings = attrs.evolve(
                host.state.settings, cold_overage=OVERAGE, cold_slack=SLACK
            )
            now = host.clock.now()
            host.state.upstream_registry.fleet.update(self.fleet.size, now, now)
            host.state.apply(config)
            for server in self.servers.values():
                if server.entry is not None:
                    self._read(host, server.entry)

    def _start_runs(self, servers: Iterable[Server]) -> None:
        now = self.loop.time()
        for server in servers:
            server.run += 1
            server.free_at = now
            server.spells = [(begin, min(end, now)) for begin, end in server.spells]
            server.spells.append((now, now + COLD_S))
            self._list(server, server.run)

    def _list(self, server: Server, run: int) -> None:
        """Write the entry of a run, and again while it is cold."""
        if run != server.run:
            return
        now = self.loop.time()
        sequence = 1 if server.entry is None else server.entry.sequence + 1
        server.listed_at = min(server.listed_at, now)
        server.entry = ListedUpstream(
            server.id,
            SERVICE,
            "h",
            1,
            "a",
            8,
            False,
            sequence,
            run,
            1,
            sequence,
            "",
            server.cold_s(now),
        )
        for host in self.fleet.hosts:
            self._read(host, server.entry)
        if server.entry.cold_s:
            self.loop.call_later(ROW_INTERVAL_S, self._list, server, run)

    def _read(self, host: Host, entry: ListedUpstream) -> None:
        """Let a process read an entry, once it reaches the store."""
        at = max(self.loop.time(), self.unread_until.get(host.name, 0.0))
        self.loop.call_at(at + self.rng.uniform(*READ_S), host.gate, self._apply, host, entry)

    def _apply(self, host: Host, entry: ListedUpstream) -> None:
        host.state.upstream_registry.apply(UpstreamChanges(False, (entry,)), host.clock.now())
        host.state.rate_limits.apply_cold_starts()

    def _cut_off(self, number: int) -> None:
        host = self.fleet.hosts[number]
        self.unread_until[host.name] = self.loop.time() + CUT_S
        self.fleet.split([host], CUT_S)

    def _arrive(self, moment: float, rank: int) -> None:
        if self.fleet.hosts:
            serving = self._serve(self.rng.choice(self.fleet.hosts), moment, rank)
        else:
            serving = self._come_back(moment, rank)
        task = self.loop.create_task(serving)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _come_back(self, moment: float, rank: int) -> None:
        """Let a caller whose process has ended try another one."""
        await asyncio.sleep(DOWN_S)
        if self.loop.time() - moment < PATIENCE_S:
            self._arrive(moment, rank)

    async def _serve(self, host: Host, moment: float, rank: int) -> None:
        await host.thawed()
        call = host.make_call(rank, PATIENCE_S - (self.loop.time() - moment))
        while host.is_up and self.loop.time() - moment < PATIENCE_S:
            upstream = await host.choose(call)
            if upstream is None and host.is_up:
                self.wrongly_refused += self._has_place()
                return
            if upstream is not None and await self._send(host, call, upstream, moment):
                return
        await self._come_back(moment, rank)

    def _has_place(self) -> bool:
        """Return whether an upstream has been warm for a while and has little to do."""
        now = self.loop.time()
        return any(
            item.listed_at < now - SETTLE_S
            and item.free_at < now + SETTLE_S
            and not any(begin <= now < end + SETTLE_S for begin, end in item.spells)
            for item in self.servers.values()
        )

    async def _send(self, host: Host, call: ForwardCall, upstream: Upstream, moment: float) -> bool:
        """Send a call; return whether it needs no further send."""
        upstream.outstanding += 1
        try:
            if not await host.connect(call, upstream):
                return False
            if self.rng.random() < LOSS:
                await asyncio.sleep(LOSS_TIMEOUT_S)
                return False
            await asyncio.sleep(self.fleet.delay_s())
            done = await self._run_at(self.servers[upstream.id], upstream.incarnation, moment)
            cold_s = self.servers[upstream.id].cold_s(self.loop.time())
            await asyncio.sleep(self.fleet.delay_s())
            await host.thawed()
        finally:
            upstream.outstanding -= 1
        if not (done and host.is_up):
            return False
        self.served += done == 1
        if cold_s:
            upstream.limit.learn_cold(cold_s, host.clock.now())
        else:
            upstream.limit.learn_warm(call.sent_at, host.clock.now())
        host.state.rate_limits.apply_cold_starts()
        return True

    async def _run_at(self, server: Server, incarnation: str, moment: float) -> int:
        """Return 1 if a request was served, 2 if it waited too long, 0 if it failed."""
        now = self.loop.time()
        if server.incarnation != incarnation:
            return 0
        server.arrivals.append(now)
        if server.cold_s(now):
            server.cold_arrivals.append(now)
        start = max(now, server.free_at)
        if start - moment > PATIENCE_S:
            return 2
        server.free_at = start + 1 / WARM_PER_S
        await asyncio.sleep(server.free_at - now)
        return int(server.incarnation == incarnation)

    def _is_down(self, now: float) -> bool:
        return PROCESSES_AT <= now - self.begun < PROCESSES_AT + DOWN_S

    def _judge(self, _: None) -> None:
        """Count what cold upstreams got in the last tick if enough requests wait for each."""
        now = self.loop.time()
        self.loop.call_at(now + TICK_S, self._judge, None)
        queues = [
            queue for host in self.fleet.hosts for queue in host.state.held_calls._waiting.values()
        ]
        if now < self.judged_from or sum(map(len, queues)) < len(self.servers):
            return
        for server in self.servers.values():
            for begin, end in server.spells:
                if begin + SETTLE_S <= now < end:
                    counts = self.used[server.id, begin]
                    counts[0] += 1
                    counts[1] += len(server.arrivals) - bisect.bisect(server.arrivals, now - TICK_S)


def main() -> None:
    sizes = map(int, sys.argv[1:] or SIZES)
    outcomes = ((size, lambda size=size: Simulation(size, SEED).run()) for size in sizes)
    lowest = {"used_at_worst", "served_of_ideal"}
    report_sizes(f"Cold starts, seed {SEED}", Outcome, outcomes, lowest)


if __name__ == "__main__":
    main()
