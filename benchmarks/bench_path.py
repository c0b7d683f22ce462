"""Overhead of the path through entry and slot, compared with calling the engines directly.

Prints ``overhead_ms_p50`` and ``overhead_ms_p99`` of a short plain request, ``requests_per_s`` and
``tokens_per_s`` through one entry process, and the figures of direct calls in the same run, as well
as ``forwarder_overhead_ms_p50`` and ``forwarder_overhead_ms_p99`` of a request through a forwarder.
"""

from __future__ import annotations

import asyncio
import statistics
from collections.abc import Mapping
from typing import Any

import aiohttp
import uvloop
from _callers import PlannedCall, new_session, send
from _closed_loop import LoopCounts, LoopPlan, run_processes
from _forwarder_path import measure_forwarder
from _harness import Cluster
from _records import CHAT_PATH, api_key, class_route, organisation_record
from _report import print_load_average, print_result, print_table, quantile

from burdockquay_standins import EngineParameters
from burdockquay_state import ClassRecord, GroupRecord

SEED = 1
ENGINES = 8
CALLER_PROCESSES = 3
PAIRS = 200
WARM_UP_PAIRS = 20
WARM_S = 1.0
MEASURED_S = 4.0
PLAIN_CALLERS = 96
STREAM_CALLERS = 240
STREAM_TOKENS = 256
ORGANISATION = "families"
CLASS = ClassRecord(
    name="plan",
    priority=10,
    first_token_target_s=5.0,
    between_tokens_target_s=1.0,
    patience_s=30.0,
    share=0.5,
)
ENGINE = EngineParameters(
    seed=SEED, places=32, base_step_s=0.004, per_running_s=0.0, prefill_block_s=0.0
)
GROUP = GroupRecord(name="drafting", models=["standin"], places=ENGINE.places, subset=ENGINES)
SHORT = {"model": "standin", "stream": False, "max_tokens": 2}
LONG = {
    "model": "standin",
    "stream": True,
    "max_tokens": STREAM_TOKENS,
    "min_tokens": STREAM_TOKENS,
}


async def start(cluster: Cluster) -> tuple[list[str], str]:
    """Start the deployment; return the chat URLs of the engines and of the entry."""
    await cluster.start_platform()
    organisation = organisation_record(ORGANISATION, requests_per_s=1e6, outstanding=100_000)
    await cluster.put_records([CLASS, GROUP, organisation, class_route(CLASS.name, GROUP.name)])
    engines = await asyncio.gather(*(cluster.start_engine(ENGINE) for _ in range(ENGINES)))
    slots = (
        cluster.start_slot(f"slot-{number}", GROUP.name, "praha-hall", engine.url)
        for number, engine in enumerate(engines)
    )
    await asyncio.gather(*slots)
    entry = await cluster.start_entry("entry-1", "praha-hall")
    await cluster.wait_ready()
    return [engine.url + CHAT_PATH for engine in engines], entry.url + CHAT_PATH


async def measure_pairs(direct: str, through: str) -> tuple[list[float], list[float]]:
    """Send the same short request alternately directly and through the entry; return seconds."""
    async with new_session() as session:
        pairs = [
            [await _time_one(session, url, number) for url in (direct, through)]
            for number in range(WARM_UP_PAIRS + PAIRS)
        ][WARM_UP_PAIRS:]
    return [pair[0] for pair in pairs], [pair[1] for pair in pairs]


async def _time_one(session: aiohttp.ClientSession, url: str, number: int) -> float:
    body = SHORT | {"messages": [{"role": "user", "content": f"pair {number}"}]}
    call = PlannedCall(0.0, url, ORGANISATION, CLASS.name, api_key(ORGANISATION), body)
    result = await send(session, call, SEED)
    if result.outcome != "whole":
        raise RuntimeError(f"{url}: expected a complete answer, got {result}")
    return result.duration_s


async def measure_load(
    cluster: Cluster, urls: list[str], body: Mapping[str, Any], callers: int, name: str
) -> LoopCounts:
    """Load the URLs with closed-loop callers."""
    plan = LoopPlan(
        urls=urls,
        callers=callers,
        body=dict(body),
        organisation=ORGANISATION,
        class_name=CLASS.name,
        api_key=api_key(ORGANISATION),
        seed=SEED,
        warm_s=WARM_S,
        measured_s=MEASURED_S,
    )
    counts = await run_processes(cluster.processes, plan, CALLER_PROCESSES, name)
    if counts.wrong:
        raise RuntimeError(f"{name}: {counts.wrong} wrong answers")
    return counts


async def main() -> None:
    """Run the benchmark."""
    async with Cluster("path") as cluster:
        engines, entry = await start(cluster)
        direct, through = await measure_pairs(engines[0], entry)
        plain_direct = await measure_load(cluster, engines, SHORT, PLAIN_CALLERS, "plain-direct")
        plain = await measure_load(cluster, [entry], SHORT, PLAIN_CALLERS, "plain")
        stream_direct = await measure_load(cluster, engines, LONG, STREAM_CALLERS, "stream-direct")
        stream = await measure_load(cluster, [entry], LONG, STREAM_CALLERS, "stream")
    forwarder = await measure_forwarder(PAIRS, WARM_UP_PAIRS)
    report(direct, through, (plain_direct, plain), (stream_direct, stream), forwarder)


def report(
    direct: list[float],
    through: list[float],
    plain: tuple[LoopCounts, LoopCounts],
    stream: tuple[LoopCounts, LoopCounts],
    forwarder: tuple[list[float], list[float]],
) -> None:
    """Print the figures."""
    overhead_ms = [(b - a) * 1000.0 for a, b in zip(direct, through, strict=True)]
    forwarder_ms = [(b - a) * 1000.0 for a, b in zip(*forwarder, strict=True)]
    result = {
        "overhead_ms_p50": statistics.median(overhead_ms),
        "overhead_ms_p99": quantile(overhead_ms, 0.99),
        "requests_per_s": plain[1].requests / MEASURED_S,
        "tokens_per_s": stream[1].tokens / MEASURED_S,
        "direct_requests_per_s": plain[0].requests / MEASURED_S,
        "direct_tokens_per_s": stream[0].tokens / MEASURED_S,
        "forwarder_overhead_ms_p50": statistics.median(forwarder_ms),
        "forwarder_overhead_ms_p99": quantile(forwarder_ms, 0.99),
        "failed": sum(counts.failed for counts in (*plain, *stream)),
    }
    rows = [
        ("short request, ms (median)", *(statistics.median(x) * 1000 for x in (direct, through))),
        ("short request, ms (p99)", *(quantile(x, 0.99) * 1000 for x in (direct, through))),
        ("plain requests/s", result["direct_requests_per_s"], result["requests_per_s"]),
        ("streamed tokens/s", result["direct_tokens_per_s"], result["tokens_per_s"]),
        ("failed requests", plain[0].failed + stream[0].failed, plain[1].failed + stream[1].failed),
    ]
    print_table(f"{ENGINES} engines, one entry", ("figure", "direct", "through entry"), rows)
    rows = [
        ("plain request, ms (median)", *(statistics.median(x) * 1000 for x in forwarder)),
        ("plain request, ms (p99)", *(quantile(x, 0.99) * 1000 for x in forwarder)),
    ]
    print_table("one upstream, one forwarder", ("figure", "direct", "through forwarder"), rows)
    print_load_average()
    print_result(result)


if __name__ == "__main__":
    uvloop.run(main())
