"""Evacuations of failure domains, written and removed while the store and processes fail.

The real decisions run in simulated time, with messages, requests and answers of the store that are
delayed. The store has outages and is restored from an older copy, a poller is cut off from it, all
processes restart, and half of them miss the end of the evacuations. The last line is one JSON
object with the worst figures.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable
from typing import Any

import attrs
from _report import quantile, report_sizes
from _simulated_fleet import SERVICE, Fleet, Host
from _simulated_store import Store, StoreReader

from burdockquay_coordination.forwarding import ListedUpstream, UpstreamChanges
from burdockquay_platform._configuration import EVACUATION_PREFIX, KEY, TABLE, StoredConfig
from burdockquay_transport.forwarding import TableFeed
from burdockquay_transport.forwarding._following import follow_configuration

SIZES = (4, 28, 100, 300)
SEED = 1
DOMAINS = ("a", "b", "c")
UPSTREAMS = 4
"""Upstreams in each failure domain."""

WORK_S = 0.03
REQUESTS_PER_S = 200.0
PATIENCE_S = 5.0
IN_FORCE_S = 1.0
"""Time after the store's answer from which an evacuation is in force, seconds."""

END = 42.0
NEVER_S = 60.0
"""Stands for a change that a process never applied, seconds."""


@attrs.frozen
class Outcome:
    """Figures of one run, named as in the requirements."""

    late_sends: int
    applied_p99_s: float
    lost_over_restarts: int
    false_refusals: int
    served_of_ideal: float


@attrs.frozen
class Change:
    """A row that the operator has written or removed, when the store answered."""

    at: float
    domain: str
    is_evacuated: bool


class Simulation:
    """One run at one size."""

    def __init__(self, size: int, seed: int):
        self.fleet = Fleet(size, seed, DOMAINS)
        self.loop = self.fleet.loop
        self.rng = random.Random(seed + 1)
        self.begun = self.loop.time()
        self.store = Store(self.fleet)
        self.changes: list[Change] = []
        self.since: dict[str, float] = {}
        self.applied: dict[tuple[str, str, bool], list[float]] = {}
        self.touched: dict[str, list[tuple[float, bool]]] = {}
        self.ready: dict[str, float] = {}
        self.late_sends = self.lost = self.false_refusals = self.served = self.ideal = 0
        self.tasks: set[asyncio.Task] = set()

    def run(self) -> Outcome:
        """Run to the end and return the figures."""
        self.loop.run_until_complete(self._run())
        delays = self._delays()
        self.loop.end()
        return Outcome(
            self.late_sends,
            quantile(delays, 0.99),
            self.lost,
            self.false_refusals,
            self.served / self.ideal,
        )

    async def _run(self) -> None:
        fleet, store = self.fleet, self.store
        store.feeds.put(TABLE, KEY, json.dumps({"version": 1, "routes": []}).encode())
        copy = store.feeds.copy()
        self._start()
        half = fleet.size // 2
        # A time, and what happens then.
        day: list[tuple[float, Callable[..., Any], tuple]] = [
            (2.0, self._write, ("b", True)),
            (5.0, self._write, ("b", False)),
            (7.0, self._cut_poller, (10.0,)),
            (8.0, self._write, ("c", True)),
            (10.0, store.fail, (2.0,)),
            (12.5, self._write, ("b", True)),
            (14.0, self._restart, ()),
            (16.0, self._write, ("b", False)),
            (18.0, store.fail, (2.0,)),
            (18.5, self._restart, ()),
            (22.0, self._write, ("a", True)),
            (22.5, self._write, ("b", True)),
            (25.0, self._cut_half, (half, 4.0)),
            (26.0, self._write, ("a", False)),
            (26.0, self._write, ("b", False)),
            (26.0, self._write, ("c", False)),
            (31.0, lambda: fleet.hosts[0].freeze(2.0), ()),
            (31.5, self._write, ("b", True)),
            (34.0, store.fail, (1.0,)),
            (34.5, store.feeds.restore_copy, (copy,)),
            (36.0, lambda: store.feeds.put(TABLE, EVACUATION_PREFIX + "b", b""), ()),
            (39.0, self._write, ("b", False)),
        ]
        for after_s, action, arguments in day:
            self.loop.call_at(self.begun + after_s, action, *arguments)
        moment = self.begun + 1.0
        while (moment := moment + self.rng.expovariate(REQUESTS_PER_S)) < self.begun + END - 1.0:
            self.loop.call_at(moment, self._arrive, moment)
        await asyncio.sleep(END)

    def _write(self, domain: str, is_evacuated: bool) -> None:
        """Write or remove a row, as the operator does."""
        key = EVACUATION_PREFIX + domain
        if is_evacuated:
            self.store.feeds.put(TABLE, key, b"")
            self.since[domain] = self.loop.time()
        else:
            self.store.feeds.remove(TABLE, key)
            self.since.pop(domain, None)
        self.changes.append(Change(self.loop.time(), domain, is_evacuated))

    def _restart(self) -> None:
        self.fleet.end()
        self._start()

    def _start(self) -> None:
        self.fleet.start()
        for host in self.fleet.hosts:
            names = [(domain, f"{domain}{n}") for domain in DOMAINS for n in range(UPSTREAMS)]
            listed = tuple(
                ListedUpstream(name, SERVICE, "h", 1, domain, 8, False, 1, 1)
                for domain, name in names
            )
            registry = host.state.upstream_registry
            registry.apply(UpstreamChanges(True, listed), host.clock.now())
            self._note_changes(host, registry.evacuations)
            feed = TableFeed(StoreReader(self.store, host), TABLE, host.exchange)
            host.state.platform.source = StoredConfig(feed)
            host.update_peers()
            self._keep(self._follow(host))

    def _keep(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _follow(self, host: Host) -> None:
        """Follow the configuration until the process ends; count what it lacks when ready."""
        task = asyncio.ensure_future(follow_configuration(host.state))
        try:
            while host.is_up:
                if host.state.directory is not None and host.name not in self.ready:
                    self.ready[host.name] = self.loop.time()
                    evacuations = host.state.upstream_registry.evacuations
                    self.lost += sum(not evacuations.is_evacuated(item) for item in self._old())
                await asyncio.sleep(0.005)
        finally:
            task.cancel()

    def _old(self) -> list[str]:
        """Return the domains that have been evacuated for long enough."""
        now = self.loop.time()
        return [domain for domain, since in self.since.items() if now - since > IN_FORCE_S]

    def _note_changes(self, host: Host, evacuations: Any) -> None:
        """Note when a process applies a change."""
        apply = evacuations.apply

        def noting(*args: Any, **named: Any) -> Any:
            before = set(evacuations.domains)
            changes = apply(*args, **named)
            for domain in before ^ set(evacuations.domains):
                key = (host.name, domain, evacuations.is_evacuated(domain))
                self.applied.setdefault(key, []).append(self.loop.time())
            return changes

        evacuations.apply = noting

    def _cut_poller(self, for_s: float) -> None:
        host = next(item for item in self.fleet.hosts if item.is_poller(TABLE))
        self.store.cut_off([host], for_s)

    def _cut_half(self, count: int, for_s: float) -> None:
        hosts = self.fleet.hosts[:count]
        self.fleet.split(hosts, for_s)
        self.store.cut_off(hosts, for_s)

    def _in_touch_since(self, host: Host) -> float:
        """Return since when a process reaches the store or a peer that does; infinite if not."""
        return max(
            self.ready.get(host.name, float("inf")), host.thawed_at, self.store.back_at(host)
        )

    def _delays(self) -> list[float]:
        """Return for each change and process the time until it was applied, seconds."""
        delays = []
        for change in self.changes:
            for host in self.fleet.hosts_at(change.at):
                since = max(change.at, self._in_touch_since(host))
                until = min(
                    (c.at for c in self.changes if c.at > change.at and c.domain == change.domain),
                    default=self.begun + END,
                )
                if since + IN_FORCE_S > min(until, host.ended_at):
                    continue
                times = self.applied.get((host.name, change.domain, change.is_evacuated), [])
                found = [at for at in times if change.at <= at < until]
                delays.append(max(0.0, found[0] - since) if found else NEVER_S)
        return delays

    def _arrive(self, moment: float) -> None:
        ready = [host for host in self.fleet.hosts if host.name in self.ready]
        is_possible = len(self.since) < len(DOMAINS)
        self.ideal += bool(ready) and is_possible
        if ready:
            self._keep(self._serve(self.rng.choice(ready), moment, is_possible))

    async def _serve(self, host: Host, moment: float, is_possible: bool) -> None:
        await host.thawed()
        call = host.make_call(1, PATIENCE_S)
        while True:
            upstream = await host.choose(call)
            if upstream is None:
                is_held = self._in_touch_since(host) + IN_FORCE_S < moment
                changed_at = max((item.at for item in self.changes), default=self.begun)
                is_settled = changed_at + IN_FORCE_S < moment
                self.false_refusals += host.is_up and is_possible and is_held and is_settled
                return
            upstream.outstanding += 1
            is_sent = await host.connect(call, upstream)
            if is_sent:
                await asyncio.sleep(self.fleet.delay_s())
                is_late = upstream.entry.failure_domain in self._old()
                self.late_sends += is_late and self._in_touch_since(host) + IN_FORCE_S < moment
                await asyncio.sleep(WORK_S + self.fleet.delay_s())
                await host.thawed()
            upstream.outstanding -= 1
            if is_sent:
                self.served += host.is_up and is_possible
                return
            if not host.is_up:
                return


def main() -> None:
    sizes = map(int, sys.argv[1:] or SIZES)
    outcomes = ((size, lambda size=size: Simulation(size, SEED).run()) for size in sizes)
    report_sizes(f"Evacuations, seed {SEED}", Outcome, outcomes, {"served_of_ideal"})


if __name__ == "__main__":
    main()
