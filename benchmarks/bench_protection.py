"""Comparison of mechanisms that protect urgent requests from routine ones, on one group.

The variants are reserved places, preemption of running requests, both, neither, and both with the
queue in the slots instead of the entries, each at 2.5 times the capacity on the same processes.
"""

from __future__ import annotations

from typing import Any

import attrs
import uvloop
from _deployments import Deployment, klidne
from _harness import Cluster
from _offered import plan_load
from _report import print_result, print_table, quantile
from _summary import goodput_tokens
from _variants import VariantRun, attained_share, run_variants

from burdockquay_standins import EngineParameters
from burdockquay_state import PolicyRecord

SEED = 1
LOAD_S = 3.0
ENGINE = EngineParameters(seed=SEED, places=4, base_step_s=0.008, per_running_s=0.0005)


def booking_desk() -> Deployment:
    """Return a deployment of the one group in which protected and routine classes share engines."""
    whole = klidne(ENGINE)
    demand = tuple(part for part in whole.demand if part.group == "booking-desk")
    names = [part.class_name for part in demand]
    return attrs.evolve(
        whole,
        groups=(whole.group("booking-desk"),),
        demand=demand,
        classes={name: whole.classes[name] for name in names},
    )


def variants(deployment: Deployment) -> dict[str, list[Any]]:
    """Return the records of each variant."""
    classes = list(deployment.classes.values())
    # Validation rejects a protected class with neither mechanism, so no class is protected then.
    unprotected = [attrs.evolve(item, protected=False) for item in classes]
    return {
        "neither": [PolicyRecord(reserve=False, preemption=False), *unprotected],
        "reserve": [PolicyRecord(preemption=False), *classes],
        "preemption": [PolicyRecord(reserve=False)],
        "both": [PolicyRecord()],
        "both-slot-queue": [PolicyRecord(binding="slot_queue")],
    }


def summarise(deployment: Deployment, run: VariantRun) -> dict[str, float]:
    """Return the summary figures of one variant."""
    protected = [r for r in run.results if deployment.classes[r.class_name].preemptible is False]
    routine = [r for r in run.results if deployment.classes[r.class_name].preemptible]
    first = [r.first_token_s for r in protected if r.outcome == "whole"]
    return {
        "protected_attainment": attained_share(deployment, protected),
        "protected_first_p50_ms": quantile(first, 0.5) * 1000,
        "protected_first_p99_ms": quantile(first, 0.99) * 1000,
        "routine_attainment": attained_share(deployment, routine),
        "routine_gap_p99_ms": quantile([r.longest_gap_s for r in routine], 0.99) * 1000,
        "goodput": goodput_tokens(run.results, deployment.classes),
        "generated": run.generated,
    }


async def main() -> None:
    """Run the benchmark."""
    deployment = booking_desk()
    async with Cluster("protection") as cluster:
        await deployment.start(cluster)
        urls = [entry.url for entry in cluster.entries.values()]
        calls = plan_load(deployment, urls, LOAD_S, SEED)
        runs = await run_variants(cluster, variants(deployment), calls, SEED)
    result = {name: summarise(deployment, run) for name, run in runs.items()}
    rows = [(name, *figures.values()) for name, figures in result.items()]
    print_table("Protection of urgent requests", ("variant", *next(iter(result.values()))), rows)
    print_result(result)


if __name__ == "__main__":
    uvloop.run(main())
