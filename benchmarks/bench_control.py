"""Cost of control of an entry and a slot: idle, and its slopes as one quantity at a time grows.

Each role runs as a real process, with all its peers in one other process. In each window the
processor time, the memory and the bytes on the sockets are read from the operating system. Writes
``benchmarks/results/control.json``, from which the tables of ``docs/CAPACITY.md`` are made. CPU
figures are shares of one core.
"""

from __future__ import annotations

import asyncio
import json
import os
import platform
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import uvloop
from _control_stages import IDLE_WINDOW_S, Bench, Sample
from _fit import fit_line
from _harness import Cluster
from _imports import measure_imports
from _report import print_result, print_table
from _table_calls import count_table_calls

RESULTS = Path(__file__).with_name("results") / "control.json"

PEERS = {"entry": (0, 20, 60), "slot": (10, 30, 60)}
"""Peers by role; a slot without entries polls the table far more often than any slot in use."""
CHANGES_PER_S = (3.0, 8.0)
CLASSES = (60,)
ORGANISATIONS = (300, 900)
VMS = (2500,)
REQUESTS_PER_S = (10.0, 40.0)
TOKENS = (128,)
VM_LIST_INTERVAL_S = 1.3
"""Longest time between two reads of the VM list, seconds."""
SHORT_ANSWER_TOKENS = 16
RATE_OF_TOKENS = 30.0

COSTS = (
    "cpu_share",
    "rss_mb",
    "private_mb",
    "read_bytes_per_s",
    "written_bytes_per_s",
    "messages_received_per_s",
    "messages_sent_per_s",
    "peer_bytes_per_s",
)
"""Costs for which a line is fitted in each stage."""


@attrs.frozen
class Measured:
    """Measurements of one role.

    Parameters
    ----------
    samples : list of Sample
    vm_list_bytes : float
        Mean size of a VM in the platform's list, bytes.
    """

    samples: list[Sample]
    vm_list_bytes: float


async def measure_role(role: str) -> Measured:
    """Measure one role."""
    async with Cluster(f"control-{role}") as cluster:
        bench = Bench(cluster, role)
        await bench.start()
        idle = await measure_peers(bench)
        await measure_changes(bench, "changes", idle)
        await measure_requests(bench, idle)
        loaded = await measure_records(bench, idle)
        await measure_changes(bench, "changes_many_records", loaded, CHANGES_PER_S[-1:])
        if role == "entry":
            await measure_vms(bench, loaded)
        return Measured(bench.samples, await bench.measure_vm_list())


async def measure_peers(bench: Bench) -> Sample:
    """Measure with more and more peers; return the sample with all of them."""
    for count in PEERS[bench.role]:
        await bench.grow_peers(count)
        sample = await bench.measure("peers", count, window_s=IDLE_WINDOW_S)
    return sample


async def measure_changes(
    bench: Bench, stage: str, idle: Sample, rates: Sequence[float] = CHANGES_PER_S
) -> None:
    """Measure at increasing rates of record changes."""
    bench.reuse(idle, stage, 0.0)
    for per_s in rates:
        await bench.measure(stage, per_s, lambda per_s=per_s: bench.change_records(per_s))


async def measure_requests(bench: Bench, idle: Sample) -> None:
    """Measure with more requests, then with longer answers."""
    bench.reuse(idle, "requests", 0.0)
    for per_s in REQUESTS_PER_S:
        await bench.measure(
            "requests", per_s, lambda per_s=per_s: bench.call(per_s, SHORT_ANSWER_TOKENS, False)
        )
    for tokens in (SHORT_ANSWER_TOKENS, *TOKENS):
        await bench.measure(
            "tokens",
            RATE_OF_TOKENS * tokens,
            lambda tokens=tokens: bench.call(RATE_OF_TOKENS, tokens, True),
        )


async def measure_records(bench: Bench, idle: Sample) -> Sample:
    """Measure with more classes, then more organisations; return the sample with all of them."""
    low = 4
    bench.reuse(idle, "classes", low)
    for high in CLASSES:
        await bench.put_classes(low, high)
        sample = await bench.measure("classes", high)
        low = high
    low = 10
    bench.reuse(sample, "organisations", low)
    for high in ORGANISATIONS:
        await bench.put_organisations(low, high)
        sample = await bench.measure("organisations", high)
        low = high
    return sample


async def measure_vms(bench: Bench, loaded: Sample) -> None:
    """Measure with a longer VM list, which only entries read."""
    low = 0
    bench.reuse(loaded, "vms", low)
    for high in VMS:
        await bench.list_vms(low, high)
        await asyncio.sleep(VM_LIST_INTERVAL_S)
        await bench.measure("vms", high)
        low = high


def fit_all(samples: Sequence[Sample]) -> dict[str, dict[str, dict[str, Any]]]:
    """Return the fitted lines, keyed by ``role.stage`` and cost."""
    lines: dict[str, dict[str, dict[str, Any]]] = {}
    for role, stage in dict.fromkeys((sample.role, sample.stage) for sample in samples):
        chosen = [sample for sample in samples if (sample.role, sample.stage) == (role, stage)]
        x = [sample.x for sample in chosen]
        lines[f"{role}.{stage}"] = {
            cost: attrs.asdict(fit_line(x, [getattr(sample, cost) for sample in chosen]))
            for cost in COSTS
        }
    return lines


def describe_machine() -> dict[str, Any]:
    """Return the properties of the machine on which the figures depend."""
    load = os.getloadavg()[0]
    return {
        "python": platform.python_version(),
        "system": f"{platform.system()} {platform.machine()}",
        "cores": os.cpu_count(),
        "load_at_end": round(load, 2),
    }


def summarize(samples: Sequence[Sample], lines: dict[str, Any]) -> dict[str, Any]:
    """Return the JSON object that the benchmark prints last."""
    result: dict[str, Any] = {}
    for role in ("entry", "slot"):
        most = max(PEERS[role])
        idle = next(s for s in samples if (s.role, s.stage, s.x) == (role, "peers", most))
        result[role] = {
            "peers": most,
            "cpu_share": idle.cpu_share,
            "rss_mb": idle.rss_mb,
            "bytes_per_s": idle.read_bytes_per_s + idle.written_bytes_per_s,
            "slopes": {
                key.partition(".")[2]: {
                    "cpu_share": fitted["cpu_share"]["slope"],
                    "rss_mb": fitted["rss_mb"]["slope"],
                    "bytes_per_s": fitted["read_bytes_per_s"]["slope"]
                    + fitted["written_bytes_per_s"]["slope"],
                }
                for key, fitted in lines.items()
                if key.startswith(f"{role}.")
            },
        }
    return result


def print_samples(samples: Sequence[Sample]) -> None:
    """Print the measured windows of both roles."""
    for role in ("entry", "slot"):
        rows = [
            (
                sample.stage,
                f"{sample.x:.1f}",
                f"{100 * sample.cpu_share:.2f}",
                f"{sample.rss_mb:.1f}",
                f"{sample.read_bytes_per_s:.0f}",
                f"{sample.written_bytes_per_s:.0f}",
                f"{sample.messages_received_per_s:.1f}",
                f"{sample.messages_sent_per_s:.1f}",
            )
            for sample in samples
            if sample.role == role
        ]
        header = ("varied", "x", "cpu %", "rss MB", "B/s in", "B/s out", "msg/s in", "msg/s out")
        print_table(f"{role}: windows", header, rows)


def write_results(samples: Sequence[Sample], lines: dict[str, Any], counted: dict) -> None:
    """Write the measurement file."""
    content = {
        "machine": describe_machine(),
        **counted,
        "samples": [attrs.asdict(sample) for sample in samples],
        "lines": lines,
    }
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(content, indent=1) + "\n")


async def main() -> None:
    """Run the benchmark."""
    imports, table_calls, *measured = await asyncio.gather(
        measure_imports(),
        asyncio.to_thread(lambda: asyncio.run(count_table_calls())),
        measure_role("entry"),
        measure_role("slot"),
    )
    samples = [sample for of_role in measured for sample in of_role.samples]
    lines = fit_all(samples)
    print_samples(samples)
    counted = {
        "short_answer_tokens": SHORT_ANSWER_TOKENS,
        "imports": imports,
        "table_calls": table_calls,
        "vm_list_bytes": measured[0].vm_list_bytes,
    }
    write_results(samples, lines, counted)
    print_result(summarize(samples, lines))


if __name__ == "__main__":
    uvloop.run(main())
