"""Compare queueing in the entries, until a slot grants a place, with queueing in the slots.

Uses the smaller deployment at 2.5 times its capacity, with connections between entries and slots
that have the latency of loopback and with the planned latency.
"""

from __future__ import annotations

import uvloop
from _deployments import Deployment, klidne
from _harness import Cluster
from _offered import plan_load
from _report import print_result, print_table, quantile
from _summary import delivered_tokens, goodput_tokens
from _variants import VariantRun, attained_share, run_variants

from burdockquay_standins import EngineParameters
from burdockquay_state import PolicyRecord

SEED = 1
LOAD_S = 3.0
DELAYS_S = (0.0, 0.0015)
BINDINGS = ("grant", "slot_queue")
ENGINE = EngineParameters(seed=SEED, places=4, base_step_s=0.008, per_running_s=0.0005)


def summarise(deployment: Deployment, run: VariantRun) -> dict[str, float]:
    """Return the summary figures of one binding at one latency."""
    protected = [r for r in run.results if deployment.classes[r.class_name].protected]
    routine = [r for r in run.results if not deployment.classes[r.class_name].protected]
    first = [r.first_token_s for r in protected if r.outcome == "whole"]
    return {
        "protected_attainment": attained_share(deployment, protected),
        "protected_first_p50_ms": quantile(first, 0.5) * 1000,
        "protected_first_p99_ms": quantile(first, 0.99) * 1000,
        "routine_attainment": attained_share(deployment, routine),
        "goodput": goodput_tokens(run.results, deployment.classes),
        "generated": run.generated,
        "waste_share": 1.0 - delivered_tokens(run.results) / max(1, run.generated),
    }


async def main() -> None:
    """Run the benchmark."""
    deployment = klidne(ENGINE)
    result = {}
    async with Cluster("binding", delay_s=0.0) as cluster:
        await deployment.start(cluster)
        urls = [entry.url for entry in cluster.entries.values()]
        calls = plan_load(deployment, urls, LOAD_S, SEED)
        for delay_s in DELAYS_S:
            for line in cluster.lines:
                line.delay_s = delay_s
            variants = {
                f"{binding}, {delay_s * 1000:g} ms": [PolicyRecord(binding=binding)]
                for binding in BINDINGS
            }
            runs = await run_variants(cluster, variants, calls, SEED)
            result |= {name: summarise(deployment, run) for name, run in runs.items()}
    rows = [(name, *figures.values()) for name, figures in result.items()]
    print_table("Where requests wait", ("binding", *next(iter(result.values()))), rows)
    print_result(result)


if __name__ == "__main__":
    uvloop.run(main())
