"""Longer runs of the state machines of requests that run at most once.

``make fuzz SECONDS=n SEED=s`` runs the seeds from s on until the time is up. A seed that fails is
printed as one command, with the shortest history that shows the fault.
"""

import argparse
import sys
import time

from hypothesis import Phase

from burdockquay_coordination.tests.test_once_era_machine import run_era_machine
from burdockquay_coordination.tests.test_once_machine import run_machine
from burdockquay_state import ClaimStore

EXAMPLES = 200
STEPS = 80


def find_fault(seed):
    """Return the error that the histories of a seed end in, None if there is none."""
    try:
        run_machine(ClaimStore, seed, EXAMPLES, STEPS, (Phase.generate, Phase.shrink))
        run_era_machine(seed, EXAMPLES, STEPS, (Phase.generate, Phase.shrink))
    except BaseExceptionGroup as group:
        return group.exceptions[0]
    except AssertionError as error:
        return error
    return None


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    ends_at = time.monotonic() + arguments.seconds
    seed = arguments.seed
    fault = None
    while fault is None and (seed == arguments.seed or time.monotonic() < ends_at):
        fault = find_fault(seed)
        seed += 1
    clean = seed - arguments.seed - (fault is not None)
    print(f"{clean} seeds of {EXAMPLES} histories, {STEPS} steps each, without a fault")
    if fault is None:
        return 0
    print(f"seed {seed - 1} fails: {fault}")
    print("\n".join(getattr(fault, "__notes__", [])))
    print(f"make fuzz SECONDS=1 SEED={seed - 1}")
    return 1


if __name__ == "__main__":
    sys.exit(main())
