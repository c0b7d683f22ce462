"""Extended runs of the state-machine tests of at-most-once requests.

``make fuzz SECONDS=n SEED=s`` runs successive seeds from s until the time is over. A failing seed
is printed as one command, with the shortest history that reproduces the fault.
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
    """Return the error found by the histories of a seed, or None."""
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
