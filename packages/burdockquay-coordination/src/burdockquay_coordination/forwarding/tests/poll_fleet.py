"""Simulated processes that share the polling of one table, some of which fall silent."""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from burdockquay_coordination.forwarding import POLLERS_PER_TABLE, PollSchedule, place_of

CALL_S = 0.004
MESSAGE_DELAY_S = (0.001, 0.01)
"""Time of a call of the platform, and bounds of the delay of a message, seconds."""

TICK_S = 0.01
PLATFORM_AHEAD_S = 1000.0


@attrs.define(eq=False)
class Process:
    """A process; it is silent while it has no power."""

    name: str
    poll_schedule: PollSchedule
    known: int = 0
    query: int = 0
    is_silent: bool = False


class PollFleet:
    """Processes, and a table whose rows change.

    Silent processes still count as connected. A query is answered at a change, or after the time
    for which it may be held.

    Parameters
    ----------
    size, seed : int
    wait_s : float
        Longest time for which the platform holds a query, seconds.
    """

    def __init__(self, size: int, seed: int, wait_s: float):
        self.rng = random.Random(seed)
        self.wait_s = wait_s
        self.now = 0.0
        self.revision = 0
        self.calls = 0
        self.learned: list[float] = []
        self.changed_at = 0.0
        self._held: dict[int, tuple[Process, bool]] = {}
        self._numbers = itertools.count(1)
        self._due: list[tuple[float, int, str, tuple]] = []
        names = [f"p{number}" for number in range(size)]
        self.processes = [
            Process(name, PollSchedule(random.Random(f"{seed} {name}"))) for name in names
        ]
        for process in self.processes:
            place = place_of("table", process.name, set(names) - {process.name})
            process.poll_schedule.place = place
            process.poll_schedule.is_poller = place < POLLERS_PER_TABLE
            process.poll_schedule.processes = size
            process.poll_schedule.confirm(self.rng.uniform(-0.1, 0.0), None)

    @property
    def pollers(self) -> list[Process]:
        """Processes that poll by their place."""
        return [item for item in self.processes if item.poll_schedule.is_poller]

    def change(self) -> None:
        """Change a row; the queries that are held are answered."""
        self.revision += 1
        self.changed_at = self.now
        self.learned = []
        for number in list(self._held):
            self._schedule(CALL_S / 2, "answer", (number,))

    def silence(self, *processes: Process) -> None:
        """Let processes lose power: they send and receive nothing."""
        for process in processes:
            process.is_silent = True

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            while self._due and self._due[0][0] <= self.now:
                _, _, kind, details = heapq.heappop(self._due)
                getattr(self, f"_{kind}")(*details)
            for process in self.processes:
                is_due = process.poll_schedule.is_due(self.now, self.wait_s)
                if not process.query and not process.is_silent and is_due:
                    self._send(process)

    def _send(self, process: Process) -> None:
        self.calls += 1
        schedule = process.poll_schedule
        number = process.query = next(self._numbers)
        is_shared = schedule.broadcasts_answer(self.now, self.wait_s)
        hold_s = schedule.hold_s(self.now, self.wait_s) if process.known == self.revision else 0.0
        self._held[number] = (process, is_shared)
        self._schedule(CALL_S + hold_s, "answer", (number,))

    def _answer(self, number: int) -> None:
        """Answer a query unless a change has answered it before."""
        process, is_shared = self._held.pop(number, (None, False))
        if process is None or process.is_silent:
            return
        process.query = 0
        platform_s = self.now + PLATFORM_AHEAD_S
        process.poll_schedule.record_answer(self.now, self.now, self.wait_s, platform_s)
        self._learn(process, self.revision)
        for other in self.processes if is_shared else ():
            if other is not process:
                delay_s = self.rng.uniform(*MESSAGE_DELAY_S)
                self._schedule(delay_s, "deliver", (other, self.now, self.revision))

    def _deliver(self, process: Process, as_of: float, revision: int) -> None:
        if not process.is_silent:
            platform_s = as_of + PLATFORM_AHEAD_S
            process.poll_schedule.confirm_by_peer(as_of, self.now, platform_s)
            self._learn(process, revision)

    def _learn(self, process: Process, revision: int) -> None:
        if revision > process.known:
            process.known = revision
            self.learned.append(self.now - self.changed_at)

    def _schedule(self, after_s: float, kind: str, details: tuple) -> None:
        heapq.heappush(self._due, (self.now + after_s, next(self._numbers), kind, details))
