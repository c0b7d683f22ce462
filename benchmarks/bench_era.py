"""Restoration of the store from a copy under load, compared with an outage without data loss.

Forwarders in one event loop serve calls while the store becomes unavailable and is restored from a
copy that is some seconds old. The copy lacks a configuration and the state of an upstream that is
leaving; a key is withdrawn after the restore. In one scenario a quarter of the processes reach
the store later than the others. The processes exchange updates of the store's tables in memory, so
the figures include neither connections between them nor a member list. Callers do not retry.

In addition, callers resend at-most-once requests through entries and slots while the table of these
is restored in the same way. The last line is one JSON object, with the figures of the simulation
with the most forwarders and the faults of all simulations.
"""

from __future__ import annotations

import itertools
import multiprocessing
from concurrent.futures import ProcessPoolExecutor

import attrs
from _era_claims import ClaimsOutcome, simulate_claims
from _report import print_load_average, print_result, print_table

from burdockquay_platform.tests.era_simulation import EraOutcome, StoreScenario, simulate_era

FORWARDER_COUNTS = (4, 30, 100)
PARALLEL_SIMULATIONS = 5
"""Number of parallel simulations, each in a separate process."""

RESTORE = StoreScenario("Return from a copy", True)
CUT_OFF = StoreScenario(
    "Return from a copy, a quarter of the processes cut off for 4 s more", True, 0.25
)
OUTAGE = StoreScenario("Outage that loses nothing", False)
SCENARIOS = (RESTORE, CUT_OFF, OUTAGE)

VIOLATIONS = ("keys_late", "config_back", "leaving_late")
ADDITIONAL_FIGURES = ("agree_s", "calls", "kib_told", "served_during")


def main() -> None:
    runs = list(itertools.product(reversed(FORWARDER_COUNTS), SCENARIOS))
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(PARALLEL_SIMULATIONS, spawn) as pool:
        claims_future = pool.submit(simulate_claims)
        outcomes: list[EraOutcome] = list(pool.map(simulate_era, *zip(*runs, strict=True)))
        claims: ClaimsOutcome = claims_future.result()
    results = {run: attrs.asdict(outcome) for run, outcome in zip(runs, outcomes, strict=True)}
    for scenario in SCENARIOS:
        rows = [(feeds, *results[feeds, scenario].values()) for feeds in FORWARDER_COUNTS]
        print_table(scenario.title, ["feeds", *attrs.fields_dict(EraOutcome)], rows)
    claimed = attrs.asdict(claims)
    print_table("Requests that run at most once", [*claimed], [[*claimed.values()]])
    print_load_average()
    most_feeds = FORWARDER_COUNTS[-1]
    result = results[most_feeds, RESTORE]
    result |= {name: sum(figures[name] for figures in results.values()) for name in VIOLATIONS}
    result |= {f"cut_off_{name}": results[most_feeds, CUT_OFF][name] for name in ADDITIONAL_FIGURES}
    result |= {f"outage_{name}": results[most_feeds, OUTAGE][name] for name in ADDITIONAL_FIGURES}
    result["claims_twice"] = claims.claims_twice
    print_result(result)


if __name__ == "__main__":
    main()
