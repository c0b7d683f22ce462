"""The load offered to a deployment: which organisation sends which request, and when."""

from __future__ import annotations

import random
from collections.abc import Sequence

from _callers import PlannedCall
from _deployments import MODEL, Demand, Deployment
from _records import CHAT_PATH, api_key

from burdockquay_standins import expected_answer


def plan_load(
    deployment: Deployment, urls: Sequence[str], duration_s: float, seed: int
) -> list[PlannedCall]:
    """Return calls whose answers add up to the required multiple of the capacity.

    Parameters
    ----------
    deployment : Deployment
    urls : sequence of str
        Base URLs of the entries.
    duration_s : float
        The calls are distributed uniformly at random over this time, seconds.
    seed : int
        Seed of the random generator and of the engines.
    """
    rng = random.Random(f"{deployment.name} {seed}")
    names = list(deployment.organisations)
    weights = list(deployment.organisations.values())
    calls = []
    for demand in deployment.demand:
        tokens = demand.load * deployment.group(demand.group).tokens_per_s * duration_s
        while tokens > 0:
            (name,) = rng.choices(names, weights)
            call = _make_call(demand, name, urls, duration_s, rng)
            tokens -= len(expected_answer(call.body, seed))
            calls.append(call)
    return calls


def plan_flood(
    deployment: Deployment,
    urls: Sequence[str],
    duration_s: float,
    seed: int,
    organisation: str,
    times: int,
) -> list[PlannedCall]:
    """Return the extra calls with which one organisation sends ``times`` its share of the load."""
    rng = random.Random(f"flood {deployment.name} {seed}")
    part = deployment.organisations[organisation] / sum(deployment.organisations.values())
    calls = []
    for demand in deployment.demand:
        capacity = deployment.group(demand.group).tokens_per_s * duration_s
        tokens = demand.load * capacity * part * (times - 1)
        while tokens > 0:
            call = _make_call(demand, organisation, urls, duration_s, rng)
            tokens -= len(expected_answer(call.body, seed))
            calls.append(call)
    return calls


def _make_call(
    demand: Demand,
    organisation: str,
    urls: Sequence[str],
    duration_s: float,
    rng: random.Random,
) -> PlannedCall:
    content = f"{demand.class_name} of {organisation}: question {rng.getrandbits(48):012x}"
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": content}],
        "stream": True,
        "max_tokens": demand.max_tokens,
    }
    return PlannedCall(
        at_s=rng.uniform(0.0, duration_s),
        url=rng.choice(urls) + CHAT_PATH,
        organisation=organisation,
        class_name=demand.class_name,
        api_key=api_key(organisation),
        body=body,
        patience_s=demand.patience_s,
    )
