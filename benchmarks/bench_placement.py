"""Comparison of placement policies on one group with a slower engine, below its capacity."""

from __future__ import annotations

import attrs
import uvloop
from _deployments import Deployment, dala
from _harness import Cluster
from _offered import plan_load
from _report import print_result, print_table, quantile
from _summary import goodput_tokens
from _variants import VariantRun, attained_share, run_variants

from burdockquay_coordination import placement_policies
from burdockquay_standins import EngineParameters
from burdockquay_state import PolicyRecord

SEED = 1
LOAD_S = 3.0
LOAD = 0.8
SLOW_FACTOR = 2.0
FIRST_TOKEN_TARGET_S = 0.3
ENGINE = EngineParameters(seed=SEED, places=4, base_step_s=0.008, per_running_s=0.0005)


def advisors() -> Deployment:
    """Return a deployment of the nine advisor engines with one class."""
    whole = dala(ENGINE)
    (demand,) = (part for part in whole.demand if part.class_name == "dosage")
    target = attrs.evolve(whole.classes["dosage"], first_token_target_s=FIRST_TOKEN_TARGET_S)
    return attrs.evolve(
        whole,
        groups=(whole.group("advisor"),),
        demand=(attrs.evolve(demand, load=LOAD),),
        classes={"dosage": target},
    )


def summarise(deployment: Deployment, run: VariantRun) -> dict[str, float]:
    """Return the summary figures of one policy."""
    whole = [result for result in run.results if result.outcome == "whole"]
    first = [result.first_token_s for result in whole]
    return {
        "attainment": attained_share(deployment, run.results),
        "first_p50_ms": quantile(first, 0.5) * 1000,
        "first_p99_ms": quantile(first, 0.99) * 1000,
        "duration_p50_ms": quantile([result.duration_s for result in whole], 0.5) * 1000,
        "goodput": goodput_tokens(run.results, deployment.classes),
    }


async def main() -> None:
    """Run the benchmark with queues in the slots, so that only the placement policy matters."""
    deployment = advisors()
    variants = {
        name: [PolicyRecord(binding="slot_queue", placement=name)]
        for name in placement_policies.names()
    }
    async with Cluster("placement") as cluster:
        await deployment.start(cluster)
        slow = next(iter(cluster.upstreams.values()))
        await cluster.switch_faults(slow, slow_factor=SLOW_FACTOR)
        urls = [entry.url for entry in cluster.entries.values()]
        calls = plan_load(deployment, urls, LOAD_S, SEED)
        runs = await run_variants(cluster, variants, calls, SEED)
    result = {name: summarise(deployment, run) for name, run in runs.items()}
    rows = [(name, *figures.values()) for name, figures in result.items()]
    title = f"Placement at {LOAD:g} of the capacity, one engine {SLOW_FACTOR:g} times slower"
    print_table(title, ("policy", *next(iter(result.values()))), rows)
    print_result(result)


if __name__ == "__main__":
    uvloop.run(main())
