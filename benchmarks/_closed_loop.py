"""Closed-loop load from a fixed number of callers, each with one request in flight.

Runs as a separate program, ``_closed_loop.py PLAN RESULT``, so that several processes can saturate
one entry; a single Python process cannot.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import uvloop
from _callers import PlannedCall, new_session, send
from _processes import Process, Processes, wait_for_start

from burdockquay_standins import expected_answer

STOP_MARGIN_S = 20.0
"""Time allowed for the callers to exit after the measured time, seconds."""


@attrs.frozen
class LoopPlan:
    """Load sent by one process of callers.

    Parameters
    ----------
    urls : list of str
        Complete URLs, used in rotation by the callers.
    callers : int
    body : dict
        Body of each request; each prompt is made unique by a number.
    organisation, class_name, api_key : str
    seed : int
        Seed of the engines.
    warm_s, measured_s : float
        Warm-up time, in which answers are not counted, and measured time after it, seconds.
    first_number : int
        Number of the first prompt.
    """

    urls: list[str]
    callers: int
    body: dict[str, Any]
    organisation: str
    class_name: str
    api_key: str
    seed: int
    warm_s: float
    measured_s: float
    first_number: int = 0


@attrs.define
class LoopCounts:
    """Counts of one or several processes of callers during the measured time."""

    requests: int = 0
    tokens: int = 0
    wrong: int = 0
    failed: int = 0

    def add(self, other: LoopCounts) -> None:
        """Add the counts of another process."""
        self.requests += other.requests
        self.tokens += other.tokens
        self.wrong += other.wrong
        self.failed += other.failed


async def run_loop(plan: LoopPlan, start_at: float) -> LoopCounts:
    """Run the callers of one process, starting at ``start_at`` on the monotonic clock."""
    counts = LoopCounts()
    async with new_session() as session:
        await asyncio.sleep(max(0.0, start_at - time.monotonic()))
        begin = start_at + plan.warm_s
        await asyncio.gather(
            *(
                _call_sequentially(plan, index, session, counts, begin)
                for index in range(plan.callers)
            )
        )
    return counts


async def _call_sequentially(
    plan: LoopPlan, index: int, session: Any, counts: LoopCounts, begin: float
) -> None:
    end = begin + plan.measured_s
    number = plan.first_number + index
    while time.monotonic() < end:
        call = _make_call(plan, number)
        result = await send(session, call, plan.seed)
        number += plan.callers
        if begin <= time.monotonic() < end:
            whole = result.outcome == "whole"
            counts.requests += whole
            counts.tokens += len(expected_answer(call.body, plan.seed)) if whole else 0
            counts.wrong += result.outcome in ("mixed", "truncated")
            counts.failed += result.outcome in ("refused", "broken", "left")


def _make_call(plan: LoopPlan, number: int) -> PlannedCall:
    messages = [{"role": "user", "content": f"question {number}"}]
    url = plan.urls[number % len(plan.urls)]
    body = plan.body | {"messages": messages}
    return PlannedCall(0.0, url, plan.organisation, plan.class_name, plan.api_key, body)


async def run_processes(processes: Processes, plan: LoopPlan, count: int, name: str) -> LoopCounts:
    """Divide the callers of a plan among processes and return the summed counts."""
    names = [f"{name}-{index}" for index in range(count)]
    process_plan = attrs.evolve(plan, callers=plan.callers // count)
    commands = [
        _write_plan(processes, part, attrs.evolve(process_plan, first_number=index * 10_000_000))
        for index, part in enumerate(names)
    ]
    callers = await processes.start_callers(names, commands)
    limit_s = plan.warm_s + plan.measured_s + STOP_MARGIN_S
    total = LoopCounts()
    for caller in callers:
        total.add(await _read_counts(processes, caller, limit_s))
    return total


def _write_plan(processes: Processes, name: str, plan: LoopPlan) -> list[str]:
    path = processes.directory / f"{name}.json"
    path.write_text(json.dumps(attrs.asdict(plan)))
    return [sys.executable, __file__, str(path), str(processes.directory / f"{name}.result.json")]


async def _read_counts(processes: Processes, caller: Process, limit_s: float) -> LoopCounts:
    status = await caller.wait(limit_s)
    if status != 0:
        raise RuntimeError(f"{caller.name} exited with status {status}: {caller.log_tail()}")
    answer = processes.directory / f"{caller.name}.result.json"
    return LoopCounts(**json.loads(answer.read_text()))


def main(arguments: Sequence[str]) -> None:
    """Run the plan in the first file and write the counts to the second."""
    plan_path, result_path = (Path(argument) for argument in arguments)
    plan = LoopPlan(**json.loads(plan_path.read_text()))
    counts = uvloop.run(run_loop(plan, wait_for_start()))
    result_path.write_text(json.dumps(attrs.asdict(counts)))


if __name__ == "__main__":
    main(sys.argv[1:])
