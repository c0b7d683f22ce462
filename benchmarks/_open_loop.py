"""Open-loop load from several processes: calls are sent at their planned times.

Runs as a separate program, ``_open_loop.py PLAN RESULT``: a single Python process that reads ten
thousand streamed tokens per second would record their times too late.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs
import uvloop
from _callers import CallResult, PlannedCall, run_plan
from _processes import Process, Processes, wait_for_start

CALLER_LIMIT_S = 60.0


async def run_plan_in_processes(
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
        Name of the run; must be unique.
    """
    names = [f"{name}-{index}" for index in range(count)]
    commands = [
        _write_plan(processes, part, calls[index::count], seed) for index, part in enumerate(names)
    ]
    callers = await processes.start_callers(names, commands)
    parts = await asyncio.gather(*(_read_results(processes, caller) for caller in callers))
    return [result for part in parts for result in part]


def _write_plan(
    processes: Processes, name: str, calls: Sequence[PlannedCall], seed: int
) -> list[str]:
    plan = processes.directory / f"{name}.plan.json"
    plan.write_text(json.dumps({"calls": [attrs.asdict(call) for call in calls], "seed": seed}))
    return [sys.executable, __file__, str(plan), str(processes.directory / f"{name}.result.json")]


async def _read_results(processes: Processes, caller: Process) -> list[CallResult]:
    status = await caller.wait(CALLER_LIMIT_S)
    if status != 0:
        raise RuntimeError(f"{caller.name} exited with status {status}: {caller.log_tail()}")
    answer = processes.directory / f"{caller.name}.result.json"
    return [CallResult(**result) for result in json.loads(answer.read_text())]


def main(arguments: Sequence[str]) -> None:
    """Run the plan in the first file and write the results to the second."""
    plan_path, result_path = (Path(argument) for argument in arguments)
    plan = json.loads(plan_path.read_text())
    calls = [PlannedCall(**call) for call in plan["calls"]]
    results = uvloop.run(run_plan(calls, plan["seed"], wait_for_start()))
    result_path.write_text(json.dumps([attrs.asdict(result) for result in results]))


if __name__ == "__main__":
    main(sys.argv[1:])
