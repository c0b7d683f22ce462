"""Model of one upstream's failure and gradual recovery: how the recovery is detected.

Compares users' requests as the test (half-open circuit breaker) with probes, and one required
success with three in a row.
"""

from __future__ import annotations

import random

import attrs
from _report import print_result, print_table

from burdockquay_coordination import ProbeCircuitBreaker

RUNS = 400
DOWN_S = 20.0
PARTIAL_RECOVERY_S = 15.0
"""Time after the outage during which the upstream fails part of its requests, seconds."""
SUCCESS_SHARE_DURING_RECOVERY = 0.5
END_S = 90.0
TEST_EVERY_S = 1.0
REQUESTS_PER_S = 20.0


@attrs.define
class Tally:
    """Counts as seen by users, of one run."""

    failed: int = 0
    lost_service_s: float = 0.0
    returns: int = 0


def request_succeeds(now: float, rng: random.Random) -> bool:
    if now < DOWN_S:
        return False
    if now < DOWN_S + PARTIAL_RECOVERY_S:
        return rng.random() < SUCCESS_SHARE_DURING_RECOVERY
    return True


def run(by_users: bool, needed: int, rng: random.Random) -> Tally:
    """Simulate one failure and recovery, in steps of one request."""
    breaker = ProbeCircuitBreaker(successes_needed=needed)
    counts = Tally()
    next_test = 0.0
    step = 1.0 / REQUESTS_PER_S
    for turn in range(int(END_S * REQUESTS_PER_S)):
        now = turn * step
        if breaker.healthy:
            if not request_succeeds(now, rng):
                counts.failed += 1
                breaker.failed(now)
                next_test = now + TEST_EVERY_S
            continue
        counts.lost_service_s += step if now >= DOWN_S + PARTIAL_RECOVERY_S else 0.0
        if now < next_test:
            continue
        next_test = now + TEST_EVERY_S
        ok = request_succeeds(now, rng)
        counts.failed += by_users and not ok
        breaker.probe_result(ok, now)
        counts.returns += breaker.healthy
    return counts


def main() -> None:
    rows = []
    result = {}
    for by_users in (True, False):
        for needed in (1, 3):
            rng = random.Random(3)
            tallies = [run(by_users, needed, rng) for _ in range(RUNS)]
            name = f"{'users' if by_users else 'probes'}_{needed}"
            failed = sum(counts.failed for counts in tallies) / RUNS
            returns = sum(counts.returns for counts in tallies) / RUNS
            late_s = sum(counts.lost_service_s for counts in tallies) / RUNS
            rows.append((name, failed, returns, late_s))
            result[f"{name}_failed_requests"] = failed
            result[f"{name}_returns"] = returns
            result[f"{name}_idle_s"] = late_s
    header = ("tested by", "failed users' requests", "returns", "idle after recovery, s")
    print_table(f"one fall and return, mean of {RUNS} runs (model)", header, rows)
    print_result(result)


if __name__ == "__main__":
    main()
