"""Random heads of answers against the connections of all clients.

``python benchmarks/fuzz_heads.py --seconds n --seed s`` runs successive seeds from s until the time
is over, and prints the answers that were accepted although they are malformed.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import sys
import time

from _report import print_result

from burdockquay_standins import FuzzResult, fuzz_heads
from burdockquay_transport import BoundedConnector

ANSWERS = 1000
"""Answers of one seed."""


async def run_seed(seed: int) -> FuzzResult:
    """Return the result of the answers of a seed."""
    return await fuzz_heads(BoundedConnector(), random.Random(seed), ANSWERS)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    ends_at = time.monotonic() + arguments.seconds
    results: list[FuzzResult] = []
    while not results or (time.monotonic() < ends_at and not results[-1].faults):
        results.append(asyncio.run(run_seed(arguments.seed + len(results))))
    for answer in results[-1].faults:
        print(f"seed {arguments.seed + len(results) - 1}: accepted {answer!r}")
    print_result(
        {
            "accepted": sum(result.accepted for result in results),
            "refused": sum(result.refused for result in results),
            "faults": len(results[-1].faults),
        }
    )
    return int(bool(results[-1].faults))


if __name__ == "__main__":
    sys.exit(main())
