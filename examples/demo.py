"""Send a burst of holds and eulogy drafts through two entries and five slots (``make demo``).

All processes listen on free loopback ports. Exit status 0 means that every answer was the expected
one, that each hold took effect at most once and that every class was served.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

import uvloop
from cyclopts import App

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "benchmarks"))

from _callers import CallResult, PlannedCall, new_session, send
from _harness import Cluster
from _records import CHAT_PATH, api_key, class_route, organisation_record
from _report import print_table, quantile
from _summary import attainment, delivered_tokens, failures, wrong_answers

from burdockquay_standins import EngineParameters, ServiceParameters
from burdockquay_state import ClassRecord, GroupRecord, RouteRecord

app = App(name="demo", result_action="return_int_as_exit_code_else_zero")

SEED = 1
BURST_S = 6.0
HOLDS_PER_S = 4.0
SERVICE_HOLDS_PER_S = 10.0
EULOGIES_PER_S = 60.0
PROGRESS_S = 1.0
DOMAINS = ("praha-hall", "plzen-hall", "kolin-hall")
ORGANISATIONS = ("parish-kolin", "parish-plzen", "families")
ENGINE = EngineParameters(seed=SEED, places=4, base_step_s=0.006, per_running_s=0.0005)
CLASSES = {
    "hold": ClassRecord(
        name="hold",
        priority=100,
        first_token_target_s=0.3,
        between_tokens_target_s=0.05,
        patience_s=5.0,
        share=0.2,
        protected=True,
        preemptible=False,
        reserved_places=1,
    ),
    "eulogy": ClassRecord(
        name="eulogy",
        priority=10,
        first_token_target_s=2.5,
        between_tokens_target_s=0.1,
        patience_s=2.0,
        share=0.3,
    ),
}
GROUPS = (
    GroupRecord(name="drafting", models=["standin"], places=ENGINE.places),
    GroupRecord(name="bookings", upstream_kind="service", places=16),
)
SERVICE_ROUTE = RouteRecord(
    name="service-bookings",
    class_name="hold",
    group="bookings",
    path_prefix="/services/bookings",
    precedence=10,
    idempotent=False,
    requires_key=True,
)


async def start(cluster: Cluster) -> None:
    """Start all processes and wait until they are ready."""
    await cluster.start_platform()
    organisations = [organisation_record(name) for name in ORGANISATIONS]
    routes = [SERVICE_ROUTE, *(class_route(name, "drafting") for name in CLASSES)]
    await cluster.put_records([*CLASSES.values(), *GROUPS, *organisations, *routes])
    upstreams = await asyncio.gather(
        *(cluster.start_engine(ENGINE, f"engine-{number}") for number in range(1, 5)),
        cluster.start_service(ServiceParameters(), "service-1"),
    )
    groups = ["drafting"] * 4 + ["bookings"]
    slots = [
        cluster.start_slot(f"slot-{number}", group, DOMAINS[number % 3], upstream.url)
        for number, (group, upstream) in enumerate(zip(groups, upstreams, strict=True), start=1)
    ]
    entries = [cluster.start_entry(f"entry-{number}", DOMAINS[number]) for number in (1, 2)]
    await asyncio.gather(*slots, *entries)
    await cluster.wait_ready()


def plan_calls(urls: Sequence[str], burst_s: float, rng: random.Random) -> list[PlannedCall]:
    """Return the calls of a burst of ``burst_s`` seconds, at uniformly distributed times."""
    calls = []
    for class_name, rate in (("hold", HOLDS_PER_S), ("eulogy", EULOGIES_PER_S)):
        for number in range(round(rate * burst_s)):
            at_s = rng.uniform(0.0, burst_s)
            calls.append(_plan_chat(class_name, number, at_s, rng.choice(urls), rng))
    for number in range(round(SERVICE_HOLDS_PER_S * burst_s)):
        calls.append(_plan_service(number, rng.uniform(0.0, burst_s), rng.choice(urls), rng))
    return calls


def _plan_chat(
    class_name: str, number: int, at_s: float, url: str, rng: random.Random
) -> PlannedCall:
    organisation = rng.choice(ORGANISATIONS)
    message = {"role": "user", "content": f"{class_name} {number} of {organisation}"}
    body = {"model": "standin", "messages": [message], "stream": True, "max_tokens": 200}
    key = api_key(organisation)
    return PlannedCall(at_s, url + CHAT_PATH, organisation, class_name, key, body)


def _plan_service(number: int, at_s: float, url: str, rng: random.Random) -> PlannedCall:
    organisation = rng.choice(ORGANISATIONS)
    return PlannedCall(
        at_s,
        f"{url}/services/bookings/chapel",
        organisation,
        "hold",
        api_key(organisation),
        {"chapel": f"chapel-{number}"},
        key=f"hold-{number}",
        service_path="/chapel",
    )


async def run_burst(calls: Sequence[PlannedCall]) -> list[CallResult]:
    """Send the calls and print progress every second."""
    results: list[CallResult] = []
    start_at = time.monotonic()

    async def run(call: PlannedCall) -> None:
        await asyncio.sleep(max(0.0, start_at + call.at_s - time.monotonic()))
        results.append(await send(session, call, SEED))

    async with new_session() as session:
        pending = {asyncio.create_task(run(call)) for call in calls}
        while pending:
            _, pending = await asyncio.wait(pending, timeout=PROGRESS_S)
            elapsed = time.monotonic() - start_at
            whole = sum(result.outcome == "whole" for result in results)
            print(f"{elapsed:5.1f} s  ended {len(results)} of {len(calls)}, whole {whole}")
    return results


def print_results(results: Sequence[CallResult], generated: int) -> None:
    """Print the attainment by class, the refusals by reason and the wasted tokens."""
    rows = []
    for name, share in attainment(results, CLASSES).items():
        class_results = [result for result in results if result.class_name == name]
        first = [result.first_token_s for result in class_results if result.outcome == "whole"]
        rows.append((name, len(class_results), len(first), share, quantile(first, 0.99)))
    header = ("class", "sent", "whole", "attainment", "first token p99 s")
    print_table("Attainment of latency targets", header, rows)
    counted = sorted(failures(results).items())
    print_table(
        "Refusals and breaks",
        ("class", "outcome", "reason", "count"),
        [(*k, n) for k, n in counted],
    )
    wasted = generated - delivered_tokens(results)
    print(f"\nTokens generated {generated}, not delivered in a whole answer {wasted}")


def count_wrong_effects(results: Sequence[CallResult], effects: Mapping[str, int]) -> int:
    """Count the holds whose effects do not match the answer to their caller."""
    return sum(
        not _matches_answer(result, effects.get(result.key, 0)) for result in results if result.key
    )


def _matches_answer(result: CallResult, count: int) -> bool:
    if result.outcome == "whole":
        return count == 1
    return count == 0 if result.run == "not_run" else count <= 1


def count_faulty(results: Sequence[CallResult]) -> int:
    """Return the number of internal errors plus that of classes without a complete answer."""
    internal = sum(result.error == "internal" for result in results)
    served = {result.class_name for result in results if result.outcome == "whole"}
    return internal + len(set(CLASSES) - served)


async def run(burst_s: float) -> int:
    """Run the demo and return its exit status."""
    async with Cluster("demo") as cluster:
        began = time.monotonic()
        await start(cluster)
        print(f"2 entries and 5 slots ready after {time.monotonic() - began:.1f} s")
        urls = [entry.url for entry in cluster.entries.values()]
        results = await run_burst(plan_calls(urls, burst_s, random.Random(SEED)))
        engines = [p for name, p in cluster.upstreams.items() if name.startswith("engine")]
        stats = [await cluster.read_json(f"{engine.url}/stats") for engine in engines]
        effects = await cluster.read_json(f"{cluster.upstreams['service-1'].url}/effects")
    generated = sum(part["tokens_generated"] for part in stats)
    print_results(results, generated)
    wrong, effects_wrong = wrong_answers(results), count_wrong_effects(results, effects)
    faulty = count_faulty(results)
    print(
        f"Wrong answers {wrong}, holds with a wrong effect {effects_wrong}, "
        f"internal errors and classes without an answer {faulty}"
    )
    return 1 if wrong or effects_wrong or faulty else 0


@app.default
def main(*, seconds: float = BURST_S) -> int:
    """Send a burst of holds and eulogy drafts through a deployment on loopback.

    Parameters
    ----------
    seconds : float
        Length of the burst, seconds.
    """
    return uvloop.run(run(seconds))


if __name__ == "__main__":
    sys.exit(app())
