"""Both deployments at 2.5 times their capacity, against first-in-first-out on random engines.

Three runs on the same processes: the deployment's policy, the same load with one organisation that
sends ten times its part, and the baseline, which differs by a policy record alone.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Mapping, Sequence
from contextlib import AsyncExitStack
from typing import Any

import attrs
import uvloop
from _callers import CallResult, PlannedCall
from _deployments import Deployment, dala, klidne
from _harness import Cluster
from _offered import plan_flood, plan_load
from _open_loop import run_plan_apart
from _report import print_load_average, print_result, print_table, quantile
from _summary import attainment, delivered_tokens, failures, goodput_tokens, wrong_answers
from _variants import attained_share, count_generated

from burdockquay_standins import EngineParameters

SEED = 1
LOAD_S = 3.5
CALLER_PROCESSES = 2
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
    """The runs of one deployment.

    Parameters
    ----------
    deployment : Deployment
    ours, baseline : Run
    flood : Run or None
        With one organisation sending ten times its part.
    flooding : str
        Which one.
    """

    deployment: Deployment
    ours: Run
    baseline: Run
    flood: Run | None = None
    flooding: str = ""

    @property
    def runs(self) -> dict[str, Run]:
        """The runs that were made, by name."""
        runs = {"ours": self.ours, "flood": self.flood, "baseline": self.baseline}
        return {name: run for name, run in runs.items() if run is not None}


class DeploymentRuns:
    """The runs on the processes of one deployment.

    Parameters
    ----------
    cluster : Cluster
    deployment : Deployment
    """

    def __init__(self, cluster: Cluster, deployment: Deployment):
        self.cluster = cluster
        self.deployment = deployment
        self.flooding = list(deployment.organisations)[-1]

    async def start(self) -> None:
        """Start the processes and plan the load."""
        await self.deployment.start(self.cluster)
        urls = [entry.url for entry in self.cluster.entries.values()]
        self.calls = plan_load(self.deployment, urls, LOAD_S, SEED)
        self.extra = plan_flood(self.deployment, urls, LOAD_S, SEED, self.flooding, FLOOD_TIMES)

    async def run_ours(self) -> Run:
        """Send the load."""
        return await self._run("ours", self.calls)

    async def run_flood(self) -> Run:
        """Send the load with one organisation at ten times its part."""
        return await self._run("flood", [*self.calls, *self.extra])

    async def run_baseline(self) -> Run:
        """Put the records of the baseline and send the same load."""
        revision = await self.cluster.put_records(self.deployment.baseline_records())
        await self.cluster.wait_in_force(revision)
        return await self._run("baseline", self.calls)

    async def _run(self, name: str, calls: Sequence[PlannedCall]) -> Run:
        """Send the calls and count what the engines generated for them."""
        before = await count_generated(self.cluster)
        processes = self.cluster.processes
        results = await run_plan_apart(processes, calls, SEED, CALLER_PROCESSES, name)
        return Run(results, await count_generated(self.cluster) - before)


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


def find_flood_ratios(measured: Measured) -> dict[str, float]:
    """Return what is left of the other organisations' attainment while one floods.

    Returns
    -------
    dict of str to float
        By class, and over all requests under ``"all"``.
    """
    before, during = (_others_results(measured, run) for run in (measured.ours, measured.flood))
    ratios = {"all": _ratio(measured.deployment, before, during)}
    for name in measured.deployment.classes:
        parts = ([r for r in part if r.class_name == name] for part in (before, during))
        ratios[name] = _ratio(measured.deployment, *parts)
    return ratios


def _others_results(measured: Measured, run: Run) -> list[CallResult]:
    return [result for result in run.results if result.organisation != measured.flooding]


def _ratio(
    deployment: Deployment, before: Sequence[CallResult], during: Sequence[CallResult]
) -> float:
    return attained_share(deployment, during) / max(1e-9, attained_share(deployment, before))


def summarise(measured: Measured) -> dict[str, Any]:
    """Return the figures of one deployment."""
    classes = measured.deployment.classes
    ours, baseline = measured.ours, measured.baseline
    summary = {
        "attainment": attainment(ours.results, classes),
        "baseline_attainment": attainment(baseline.results, classes),
        "goodput_ratio": goodput_tokens(ours.results, classes)
        / max(1, goodput_tokens(baseline.results, classes)),
        "waste_share": ours.waste_share,
        "waste_ratio": ours.waste_share / max(1e-9, baseline.waste_share),
        "min_share": find_min_share(measured.deployment, ours.results),
        "protected_shed": count_protected_shed(measured),
        "wrong": sum(wrong_answers(run.results) for run in measured.runs.values()),
    }
    if measured.flood is not None:
        ratios = find_flood_ratios(measured)
        summary["flood_ratio"] = ratios.pop("all")
        summary["flood_ratio_by_class"] = ratios
    return summary


def count_protected_shed(measured: Measured) -> int:
    """Return how many requests of protected classes were refused, for whatever reason."""
    classes = measured.deployment.classes
    return sum(
        classes[result.class_name].protected and result.outcome == "refused"
        for name, run in measured.runs.items()
        if name != "baseline"
        for result in run.results
    )


def print_deployment(measured: Measured, summary: Mapping[str, Any]) -> None:
    """Print the tables of one deployment."""
    deployment, runs = measured.deployment, measured.runs
    rows = [
        (name, label, *_class_row(deployment, run.results, name))
        for name in deployment.classes
        for label, run in runs.items()
    ]
    header = ("class", "run", "sent", "attainment", "whole", "first p50 s", "first p99 s")
    print_table(f"{deployment.name}: {LOAD_S:g} s at 2.5 times the capacity", header, rows)
    counted = [
        (label, *reason, count)
        for label, run in runs.items()
        for reason, count in sorted(failures(run.results).items())
    ]
    print_table("Answers not whole", ("run", "class", "outcome", "reason", "count"), counted)
    rows = [
        (label, goodput_tokens(run.results, deployment.classes), run.generated, run.waste_share)
        for label, run in runs.items()
    ]
    print_table("Tokens", ("run", "goodput", "generated", "wasted share"), rows)
    ratios = [(name, value) for name, value in summary.items() if not isinstance(value, dict)]
    by_class = summary.get("flood_ratio_by_class", {})
    ratios += [(f"flood_ratio of {name}", value) for name, value in by_class.items()]
    print_table("Ratios and counts", ("figure", "value"), ratios)


def _class_row(
    deployment: Deployment, results: Sequence[CallResult], name: str
) -> tuple[int, float, int, float, float]:
    mine = [result for result in results if result.class_name == name]
    first = [result.first_token_s for result in mine if result.outcome == "whole"]
    share = attainment(mine, deployment.classes)[name]
    return len(mine), share, len(first), quantile(first, 0.5), quantile(first, 0.99)


async def main() -> None:
    """Start both deployments and measure them."""
    async with AsyncExitStack() as stack:
        runs = [
            DeploymentRuns(await stack.enter_async_context(Cluster(part.name)), part)
            for part in (dala(ENGINE), klidne(ENGINE))
        ]
        await asyncio.gather(*(part.start() for part in runs))
        ours = [await part.run_ours() for part in runs]
        flood = await runs[0].run_flood()
        # The baseline's waits are seconds, so the deployments may share the processors meanwhile.
        baseline = await asyncio.gather(*(part.run_baseline() for part in runs))
    measured = [
        Measured(runs[0].deployment, ours[0], baseline[0], flood, runs[0].flooding),
        Measured(runs[1].deployment, ours[1], baseline[1]),
    ]
    summaries = {part.deployment.name: summarise(part) for part in measured}
    for part in measured:
        print_deployment(part, summaries[part.deployment.name])
    print_load_average()
    print_result(summaries)


if __name__ == "__main__":
    uvloop.run(main())
