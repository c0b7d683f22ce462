"""Open-loop load from several processes: planned calls go out at their times.

Runs as a program of its own, ``_open_loop.py PLAN RESULT``: one Python process that reads ten
thousand streamed tokens a second notes their times too late.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import attrs
import uvloop
from _callers import CallResult, PlannedCall, run_plan
from _processes import Processes

MARGIN_S = 1.0
"""Time for the processes to start before the load begins, seconds."""
LIMIT_S = 60.0


async def run_plan_apart(
    processes: Processes, calls: Sequence[PlannedCall], seed: int, count: int, name: str
) -> list[CallResult]:
    """Send the calls from ``count`` processes and return all results.

    Parameters
    ----------
    processes : Processes
    calls : sequence of PlannedCall
    seed : int
        Seed of the engines.
    count : int
    name : str
        Of the run; each must have its own.
    """
    start_at = time.monotonic() + MARGIN_S
    parts = await asyncio.gather(
        *(
            _run_part(processes, calls[index::count], seed, start_at, f"{name}-{index}")
            for index in range(count)
        )
    )
    return [result for part in parts for result in part]


async def _run_part(
    processes: Processes, calls: Sequence[PlannedCall], seed: int, start_at: float, name: str
) -> list[CallResult]:
    plan = processes.directory / f"{name}.plan.json"
    answer = processes.directory / f"{name}.result.json"
    content = {"calls": [attrs.asdict(call) for call in calls], "seed": seed, "start_at": start_at}
    plan.write_text(json.dumps(content))
    process = await processes.launch(name, [sys.executable, __file__, str(plan), str(answer)])
    status = await process.wait(LIMIT_S)
    if status != 0:
        raise RuntimeError(f"{process.name} ended with {status}: {process.log_tail()}")
    return [CallResult(**result) for result in json.loads(answer.read_text())]


async def _run(plan: dict) -> list[CallResult]:
    calls = [PlannedCall(**call) for call in plan["calls"]]
    return await run_plan(calls, plan["seed"], plan["start_at"])


def main(arguments: Sequence[str]) -> None:
    """Run the plan in the first file and write the results to the second."""
    plan_path, result_path = (Path(argument) for argument in arguments)
    results = uvloop.run(_run(json.loads(plan_path.read_text())))
    result_path.write_text(json.dumps([attrs.asdict(result) for result in results]))


if __name__ == "__main__":
    main(sys.argv[1:])
