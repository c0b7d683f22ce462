"""Both deployments at 2.5 times their capacity, against first-in-first-out on random engines.

Three runs on the same processes: the deployment's policy, the same load with one organisation that
sends ten times its part, and the baseline, which differs by a policy record alone.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
import uvloop
from _callers import CallResult, PlannedCall, run_plan
from _deployments import Deployment, dala, klidne
from _harness import Cluster
from _offered import plan_flood, plan_load
from _report import print_result, print_table, quantile
from _summary import attained, attainment, delivered_tokens, failures, goodput_tokens, wrong_answers

from burdockquay_standins import EngineParameters

SEED = 1
LOAD_S = 6.0
FLOOD_TIMES = 10
ENGINE = EngineParameters(seed=SEED, places=4, base_step_s=0.008, per_running_s=0.0005)


@attrs.frozen
class Run:
    """Results of one run.

    Parameters
    ----------
    results : list of CallResult
    generated : int
        Tokens that the engines generated meanwhile.
    """

    results: list[CallResult]
    generated: int

    @property
    def waste_share(self) -> float:
        """Part of the generated tokens that no whole answer delivered."""
        return (self.generated - delivered_tokens(self.results)) / max(1, self.generated)


@attrs.frozen
class Measured:
    """The three runs of one deployment."""

    deployment: Deployment
    ours: Run
    flood: Run
    baseline: Run
    flooding: str


async def measure(deployment: Deployment) -> Measured:
    """Start a deployment and make the three runs."""
    async with Cluster(deployment.name) as cluster:
        await deployment.start(cluster)
        urls = [entry.url for entry in cluster.entries.values()]
        calls = plan_load(deployment, urls, LOAD_S, SEED)
        flooding = list(deployment.organisations)[-1]
        extra = plan_flood(deployment, urls, LOAD_S, SEED, flooding, FLOOD_TIMES)
        ours = await run(cluster, calls)
        flood = await run(cluster, [*calls, *extra])
        revision = await cluster.put_records(deployment.baseline_records())
        await cluster.wait_in_force(revision)
        baseline = await run(cluster, calls)
    return Measured(deployment, ours, flood, baseline, flooding)


async def run(cluster: Cluster, calls: Sequence[PlannedCall]) -> Run:
    """Send the calls and count what the engines generated for them."""
    before = await count_generated(cluster)
    results = await run_plan(calls, SEED)
    return Run(results, await count_generated(cluster) - before)


async def count_generated(cluster: Cluster) -> int:
    """Return the tokens that all engines have generated since their start."""
    stats = await asyncio.gather(
        *(cluster.read_json(f"{engine.url}/stats") for engine in cluster.upstreams.values())
    )
    return sum(part["tokens_generated"] for part in stats)


def find_min_share(deployment: Deployment, results: Sequence[CallResult]) -> float:
    """Return the least part of its guaranteed tokens that a class got; 1 or more is right.

    A class is entitled to its share of what its group delivered, or to what it asked for if that
    is less.
    """
    delivered: dict[str, int] = defaultdict(int)
    for result in results:
        if result.outcome == "whole":
            delivered[result.class_name] += result.tokens
    ratios = []
    for demand in deployment.demand:
        group = [other for other in deployment.demand if other.group == demand.group]
        total = sum(delivered[other.class_name] for other in group)
        offered = demand.load * deployment.group(demand.group).tokens_per_s * LOAD_S
        share = deployment.classes[demand.class_name].share
        ratios.append(delivered[demand.class_name] / max(1.0, min(share * total, offered)))
    return min(ratios)


def others_attainment(measured: Measured, run: Run) -> float:
    """Return the attainment over all organisations but the one that floods."""
    others = [result for result in run.results if result.organisation != measured.flooding]
    classes = measured.deployment.classes
    met = sum(attained(result, classes[result.class_name]) for result in others)
    return met / len(others)


def summarise(measured: Measured) -> dict[str, Any]:
    """Return the figures of one deployment."""
    classes = measured.deployment.classes
    ours, baseline = measured.ours, measured.baseline
    shed = sum(
        classes[result.class_name].protected and result.outcome == "refused"
        for run in (ours, measured.flood)
        for result in run.results
    )
    flood_ratio = others_attainment(measured, measured.flood) / others_attainment(measured, ours)
    return {
        "attainment": attainment(ours.results, classes),
        "baseline_attainment": attainment(baseline.results, classes),
        "goodput_ratio": goodput_tokens(ours.results, classes)
        / max(1, goodput_tokens(baseline.results, classes)),
        "waste_share": ours.waste_share,
        "waste_ratio": ours.waste_share / max(1e-9, baseline.waste_share),
        "min_share": find_min_share(measured.deployment, ours.results),
        "protected_shed": shed,
        "flood_ratio": flood_ratio,
        "wrong": sum(wrong_answers(run.results) for run in (ours, measured.flood, baseline)),
    }


def print_deployment(measured: Measured, summary: Mapping[str, Any]) -> None:
    """Print the tables of one deployment."""
    runs = {"ours": measured.ours, "flood": measured.flood, "baseline": measured.baseline}
    rows = []
    for name in measured.deployment.classes:
        for label, part in runs.items():
            rows.append((name, label, *_class_row(measured.deployment, part.results, name)))
    header = ("class", "run", "sent", "attainment", "whole", "first p50 s", "first p99 s")
    print_table(f"{measured.deployment.name}: {LOAD_S:g} s at 2.5 times the capacity", header, rows)
    counted = [
        (label, *reason, count)
        for label, part in runs.items()
        for reason, count in sorted(failures(part.results).items())
    ]
    print_table("Answers not whole", ("run", "class", "outcome", "reason", "count"), counted)
    rows = [
        (
            label,
            goodput_tokens(part.results, measured.deployment.classes),
            part.generated,
            part.waste_share,
        )
        for label, part in runs.items()
    ]
    print_table("Tokens", ("run", "goodput", "generated", "wasted share"), rows)
    keys = ("goodput_ratio", "waste_ratio", "min_share", "protected_shed", "flood_ratio")
    print_table("Ratios", ("figure", "value"), [(key, summary[key]) for key in keys])


def _class_row(
    deployment: Deployment, results: Sequence[CallResult], name: str
) -> tuple[int, float, int, float, float]:
    mine = [result for result in results if result.class_name == name]
    first = [result.first_token_s for result in mine if result.outcome == "whole"]
    share = attainment(mine, deployment.classes)[name]
    return len(mine), share, len(first), quantile(first, 0.5), quantile(first, 0.99)


async def main() -> None:
    """Measure both deployments beside each other."""
    measured = await asyncio.gather(measure(dala(ENGINE)), measure(klidne(ENGINE)))
    summaries = {part.deployment.name: summarise(part) for part in measured}
    for part in measured:
        print_deployment(part, summaries[part.deployment.name])
    print_result(summaries)


if __name__ == "__main__":
    uvloop.run(main())
