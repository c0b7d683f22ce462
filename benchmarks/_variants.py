"""Runs the same load under several policies, on the same processes, one after the other."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import attrs
from _callers import CallResult, PlannedCall
from _deployments import Deployment
from _harness import Cluster
from _open_loop import run_plan_apart
from _summary import attained

CALLER_PROCESSES = 2


@attrs.frozen
class VariantRun:
    """What one variant gave.

    Parameters
    ----------
    results : list of CallResult
    generated : int
        Tokens that the engines generated meanwhile.
    """

    results: list[CallResult]
    generated: int


async def run_variants(
    cluster: Cluster,
    variants: Mapping[str, Sequence[Any]],
    calls: Sequence[PlannedCall],
    seed: int,
) -> dict[str, VariantRun]:
    """Put the records of each variant, wait until they are in force and send the calls."""
    runs = {}
    for name, records in variants.items():
        revision = await cluster.put_records(records)
        await cluster.wait_in_force(revision)
        before = await count_generated(cluster)
        results = await run_plan_apart(cluster.processes, calls, seed, CALLER_PROCESSES, name)
        runs[name] = VariantRun(results, await count_generated(cluster) - before)
    return runs


async def count_generated(cluster: Cluster) -> int:
    """Return the tokens that all engines have generated since their start."""
    stats = [
        await cluster.read_json(f"{engine.url}/stats") for engine in cluster.upstreams.values()
    ]
    return sum(part["tokens_generated"] for part in stats)


def attained_share(deployment: Deployment, results: Sequence[CallResult]) -> float:
    """Return the part of the requests that attained the targets of their class."""
    met = sum(attained(result, deployment.classes[result.class_name]) for result in results)
    return met / max(1, len(results))
