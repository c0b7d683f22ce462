"""Closed-loop load: a fixed number of callers, each with one request at a time.

Runs as a program of its own, ``_closed_loop.py PLAN RESULT``, so that several of them can load one
entry; a single Python process can't.
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
from _processes import Processes

from burdockquay_standins import expected_answer

MARGIN_S = 1.5
"""Time for the processes to start before the load begins, seconds."""


@attrs.frozen
class LoopPlan:
    """What one process of callers does.

    Parameters
    ----------
    urls : list of str
        Whole URLs, taken in turn by the callers.
    callers : int
    body : dict
        Body of each request; the prompt gets a number of its own.
    organisation, class_name, api_key : str
    seed : int
        Seed of the engines.
    start_at : float
        Reading of the monotonic clock at which the load starts.
    warm_s, measured_s : float
        How long answers are not counted, and how long they are, seconds.
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
    start_at: float
    warm_s: float
    measured_s: float
    first_number: int = 0


@attrs.define
class LoopCounts:
    """What the callers of one process, or of several, got in the measured time."""

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


async def run_loop(plan: LoopPlan) -> LoopCounts:
    """Run the callers of one process."""
    counts = LoopCounts()
    async with new_session() as session:
        await asyncio.sleep(max(0.0, plan.start_at - time.monotonic()))
        callers = (_call_in_turn(plan, index, session, counts) for index in range(plan.callers))
        await asyncio.gather(*callers)
    return counts


async def _call_in_turn(plan: LoopPlan, index: int, session: Any, counts: LoopCounts) -> None:
    begin = plan.start_at + plan.warm_s
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
    """Divide the callers of a plan over processes and return their counts together."""
    plan = attrs.evolve(plan, start_at=time.monotonic() + MARGIN_S)
    results = await asyncio.gather(
        *(_run_process(processes, plan, index, count, name) for index in range(count))
    )
    total = LoopCounts()
    for result in results:
        total.add(result)
    return total


async def _run_process(
    processes: Processes, plan: LoopPlan, index: int, count: int, name: str
) -> LoopCounts:
    callers = plan.callers // count
    share = attrs.evolve(plan, callers=callers, first_number=index * 10_000_000)
    path = processes.directory / f"{name}-{index}.json"
    answer = processes.directory / f"{name}-{index}.result.json"
    path.write_text(json.dumps(attrs.asdict(share)))
    command = [sys.executable, __file__, str(path), str(answer)]
    process = await processes.launch(f"{name}-{index}", command)
    status = await process.wait(MARGIN_S + plan.warm_s + plan.measured_s + 20.0)
    if status != 0:
        raise RuntimeError(f"{process.name} ended with {status}: {process.log_tail()}")
    return LoopCounts(**json.loads(answer.read_text()))


def main(arguments: Sequence[str]) -> None:
    """Run the plan in the first file and write the counts to the second."""
    plan_path, result_path = (Path(argument) for argument in arguments)
    counts = uvloop.run(run_loop(LoopPlan(**json.loads(plan_path.read_text()))))
    result_path.write_text(json.dumps(attrs.asdict(counts)))


if __name__ == "__main__":
    main(sys.argv[1:])
