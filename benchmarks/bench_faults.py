"""A deployment below its capacity with engine crashes, a straggler and a poison request.

Every other request is expected to get its complete answer nevertheless. ``lost`` counts requests
with neither a complete answer nor a refusal. ``ejected_straggler_share`` is the number of requests
that the straggler still ran from five seconds after it became slow, relative to a fair share.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs
import uvloop
from _callers import CallResult, PlannedCall, new_session, run_plan, send
from _deployments import MODEL, Deployment, dala
from _harness import Cluster
from _offered import plan_load
from _processes import Process
from _records import CHAT_PATH, api_key
from _report import print_load_average, print_result, print_table, quantile
from _summary import attainment, delivered_tokens, failures, wrong_answers

from burdockquay_standins import EngineParameters

SEED = 1
LOAD_S = 16.0
LOAD_FACTOR = 0.6
PATIENCE_S = 20.0
"""Patience of callers, seconds: longer than the longest answer of the straggler, so that no caller
disconnects by itself."""
SLOW_AT_S = 1.0
SLOW_FACTOR = 6.0
EJECTED_AFTER_S = 5.0
CRASHES_AT_S = (3.0, 8.0, 11.0)
POISON_AT_S = 5.0
POISON_REPEATS = 8
POISON_PAUSE_S = 0.5
STATS_PAUSE_S = 0.1
POISON_MARKER = "0xDEADBEEF"
ENGINE = EngineParameters(
    seed=SEED,
    places=4,
    base_step_s=0.008,
    per_running_s=0.0005,
    poison_marker=POISON_MARKER,
    poison_after_tokens=1,
    restart_s=1.0,
)


@attrs.frozen
class StragglerWork:
    """Requests started on the straggler and in its whole group, in the last part of a run."""

    own: int
    group: int
    engines: int

    @property
    def share(self) -> float:
        """Requests started on the straggler, relative to a fair share."""
        return self.own * self.engines / max(1, self.group)


@attrs.frozen
class Measured:
    """Measurements of one run."""

    results: list[CallResult]
    poison: list[CallResult]
    straggler: StragglerWork
    generated: int
    crashes: int
    planned_crashes: int


def below_capacity(deployment: Deployment) -> Deployment:
    """Return the deployment with its demand scaled to ``LOAD_FACTOR`` of the capacity."""
    total = sum(demand.load for demand in deployment.demand) / len(deployment.groups)
    scale = LOAD_FACTOR / total
    demand = [
        attrs.evolve(part, load=part.load * scale, patience_s=PATIENCE_S)
        for part in deployment.demand
    ]
    return attrs.evolve(deployment, demand=tuple(demand))


class FaultRun:
    """Run of one deployment with the faults of the benchmark.

    Parameters
    ----------
    cluster : Cluster
    deployment : Deployment
    """

    def __init__(self, cluster: Cluster, deployment: Deployment):
        self.cluster = cluster
        self.deployment = deployment
        self.urls = [entry.url for entry in cluster.entries.values()]
        group = deployment.groups[0]
        self.group = [cluster.upstreams[f"engine-{group.name}-{i}"] for i in range(group.count)]

    async def measure(self) -> Measured:
        """Send the load while the faults are injected."""
        calls = plan_load(self.deployment, self.urls, LOAD_S, SEED)
        start_at = time.monotonic() + 0.2
        results, poison, straggler, _ = await asyncio.gather(
            run_plan(calls, SEED, start_at),
            self._send_poison(start_at),
            self._slow_straggler(start_at),
            self._crash_engines(start_at),
        )
        stats = await asyncio.gather(*map(self._stats, self.cluster.upstreams.values()))
        return Measured(
            results,
            poison,
            straggler,
            generated=sum(part["tokens_generated"] for part in stats),
            crashes=sum(part["crashes"] for part in stats),
            planned_crashes=len(CRASHES_AT_S),
        )

    async def _send_poison(self, start_at: float) -> list[CallResult]:
        await _sleep_until(start_at + POISON_AT_S)
        results = []
        async with new_session() as session:
            for repeat in range(POISON_REPEATS):
                call = self._poison_call(self.urls[repeat % len(self.urls)], repeat)
                results.append(await send(session, call, SEED))
                await asyncio.sleep(POISON_PAUSE_S)
        return results

    def _poison_call(self, url: str, repeat: int) -> PlannedCall:
        """Return the poison request; every other repeat has a word of its own behind it."""
        demand = self.deployment.demand[-1]
        organisation = next(iter(self.deployment.organisations))
        word = f" {repeat}" if repeat % 2 else ""
        message = {"role": "user", "content": f"decode {POISON_MARKER}{word}"}
        body = {"model": MODEL, "messages": [message], "stream": True, "max_tokens": 50}
        key = api_key(organisation)
        return PlannedCall(0.0, url + CHAT_PATH, organisation, demand.class_name, key, body, 10.0)

    async def _slow_straggler(self, start_at: float) -> StragglerWork:
        slow = self.group[0]
        await _sleep_until(start_at + SLOW_AT_S)
        await self.cluster.switch_faults(slow, slow_factor=SLOW_FACTOR)
        await _sleep_until(start_at + SLOW_AT_S + EJECTED_AFTER_S)
        before = await asyncio.gather(*map(self._starts, self.group))
        await _sleep_until(start_at + LOAD_S)
        after = await asyncio.gather(*map(self._starts, self.group))
        started_counts = [b - a for a, b in zip(before, after, strict=True)]
        return StragglerWork(started_counts[0], sum(started_counts), len(started_counts))

    async def _crash_engines(self, start_at: float) -> None:
        for number, at_s in enumerate(CRASHES_AT_S, start=1):
            await _sleep_until(start_at + at_s)
            await self.cluster.switch_faults(self.group[number], crash=True)

    async def _stats(self, engine: Process) -> dict[str, Any]:
        while True:
            try:
                return await self.cluster.read_json(f"{engine.url}/stats")
            except aiohttp.ClientError:
                # A crashed engine refuses connections until its restart; its counts are kept.
                await asyncio.sleep(STATS_PAUSE_S)

    async def _starts(self, engine: Process) -> int:
        return sum((await self._stats(engine))["starts"].values())


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))


def report(deployment: Deployment, measured: Measured) -> None:
    """Print the figures."""
    results = measured.results
    reached = attainment(results, deployment.classes)
    rows = [_class_row(results, name, share) for name, share in reached.items()]
    header = ("class", "sent", "whole", "attainment", "first p99 s", "longest gap s")
    print_table("Classes", header, rows)
    print_table(
        "Answers not whole",
        ("class", "outcome", "reason", "count"),
        [(*reason, count) for reason, count in sorted(failures(results).items())],
    )
    print_table(
        "Poison request, as its caller saw it",
        ("repeat", "outcome", "reason", "status"),
        [(i, part.outcome, part.error, part.status) for i, part in enumerate(measured.poison)],
    )
    outcomes = [result.outcome for result in results]
    print_load_average()
    print_result(
        {
            "lost": outcomes.count("broken") + outcomes.count("left"),
            "mixed": outcomes.count("mixed"),
            "truncated": outcomes.count("truncated"),
            "refused": outcomes.count("refused"),
            "waste_share": 1.0 - delivered_tokens(results) / max(1, measured.generated),
            "poison_crashes": measured.crashes - measured.planned_crashes,
            "ejected_straggler_share": measured.straggler.share,
            "attainment": reached,
            "poison_wrong": wrong_answers(measured.poison),
        }
    )


def _class_row(
    results: Sequence[CallResult], name: str, share: float
) -> tuple[str, int, int, float, float, float]:
    class_results = [result for result in results if result.class_name == name]
    whole = [result for result in class_results if result.outcome == "whole"]
    first = quantile([result.first_token_s for result in whole], 0.99)
    gap = max((result.longest_gap_s for result in whole), default=0.0)
    return name, len(class_results), len(whole), share, first, gap


async def main() -> None:
    """Run the benchmark."""
    deployment = below_capacity(dala(ENGINE))
    async with Cluster("faults") as cluster:
        await deployment.start(cluster)
        measured = await FaultRun(cluster, deployment).measure()
    report(deployment, measured)


if __name__ == "__main__":
    uvloop.run(main())
