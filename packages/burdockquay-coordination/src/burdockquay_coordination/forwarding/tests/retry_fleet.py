"""Simulated processes that keep a retry budget together while they come and go.

The decisions are the real ones. Time is simulated, and processes receive changes of the list late.
"""

from __future__ import annotations

import heapq
import itertools
import random
from bisect import bisect_left
from collections.abc import Callable
from typing import Protocol

import attrs

from burdockquay_coordination import FleetSize, SharedRetryBudget

WINDOW_S = 10.0
LIST_DELAY_S = (0.05, 1.8)
"""Bounds of the time after which a process receives a change of the list, seconds."""

ROUNDING = 1e-6


class Budget(Protocol):
    """What a run decides by; the ways that a benchmark compares have it too."""

    def update(self, listed: int, as_of: float, now: float) -> None:
        """Apply a reading of the list."""

    def record_request(self, now: float) -> None:
        """Count a request."""

    def try_retry(self, now: float, is_urgent: bool) -> bool:
        """Withdraw a retry."""


class SharedBudget:
    """The product's way: a part of the constant number for each process.

    Parameters
    ----------
    ratio, burst : float
    now : float
    """

    def __init__(self, ratio: float, burst: float, now: float):
        self.burst = burst
        self.budget = SharedRetryBudget(ratio, WINDOW_S, now)
        self.size = FleetSize(2 * WINDOW_S)
        self.size.set_alone(False)

    def update(self, listed: int, as_of: float, now: float) -> None:
        """Apply a reading of the list."""
        self.size.update(listed, as_of, now)

    def record_request(self, now: float) -> None:
        """Count a request."""
        self._apply_size(now)
        self.budget.record_request(now)

    def try_retry(self, now: float, is_urgent: bool) -> bool:
        """Withdraw a retry."""
        self._apply_size(now)
        return self.budget.try_retry(now, is_urgent)

    def _apply_size(self, now: float) -> None:
        divisor = self.size.divisor(now)
        self.budget.set_burst(None if divisor is None else self.burst / divisor, now)


@attrs.define(eq=False)
class Run:
    """One process from its start to its end."""

    vm: str
    budget: Budget
    is_cut: bool = False
    receives_next_at: float = float("-inf")


class RetryFleet:
    """Processes on VMs, the list of them, and what arrives at the upstreams of one service.

    Parameters
    ----------
    ratio, burst : float
        Of the budget of all processes.
    seed : int
    make_budget : callable
        Returns the budget of a run, given the ratio, the burst and the time.
    removes_entry_at_end : bool
        Whether a process that stops is listed until it ends.
    """

    def __init__(
        self,
        ratio: float,
        burst: float,
        seed: int,
        make_budget: Callable[[float, float, float], Budget] = SharedBudget,
        removes_entry_at_end: bool = True,
    ):
        self.ratio = ratio
        self.burst = burst
        self.make_budget = make_budget
        self.removes_entry_at_end = removes_entry_at_end
        self.rng = random.Random(seed)
        self.now = 100.0
        self.runs: dict[str, Run] = {}
        self.listed: set[str] = set()
        self.is_store_down = False
        self.requests: list[float] = []
        self.retries: list[float] = []
        self._due: list[tuple[float, int, Run, int, float]] = []
        self._numbers = itertools.count()

    def start(self, vm: str) -> Run:
        """Start a process on a VM; the one before it has ended."""
        run = self.runs[vm] = Run(vm, self.make_budget(self.ratio, self.burst, self.now))
        self.listed.add(vm)
        self._publish()
        return run

    def kill(self, vm: str) -> None:
        """End a process at once; its entry stays."""
        del self.runs[vm]

    def begin_stop(self, vm: str) -> None:
        """Let a process stop; it goes on sending."""
        if not self.removes_entry_at_end:
            self._remove(vm)

    def end_stop(self, vm: str) -> None:
        """End a process that stops."""
        del self.runs[vm]
        self._remove(vm)

    def lose_entry(self, vm: str) -> None:
        """Remove the entry of a process that goes on."""
        self._remove(vm)

    def write_entry(self, vm: str) -> None:
        """Write the entry of a process again."""
        self.listed.add(vm)
        self._publish()

    def cut(self, vm: str) -> None:
        """Let a process receive no changes of the list."""
        self.runs[vm].is_cut = True

    def heal(self, vm: str) -> None:
        """Let a process receive the list again."""
        self.runs[vm].is_cut = False
        self._schedule(self.runs[vm])

    def set_store_down(self, is_down: bool) -> None:
        """Begin or end an outage of the store, which holds the list."""
        self.is_store_down = is_down
        if not is_down:
            self._publish()

    def advance(self, seconds: float) -> None:
        """Let time pass, and deliver the readings of the list that are due."""
        self.now += seconds
        while self._due and self._due[0][0] <= self.now:
            received_at, _, run, listed, as_of = heapq.heappop(self._due)
            if not run.is_cut:
                run.budget.update(listed, as_of, received_at)

    def request(self, vm: str) -> None:
        """Let a caller send a request to a process."""
        self.requests.append(self.now)
        self.runs[vm].budget.record_request(self.now)

    def retry(self, vm: str, is_urgent: bool = True) -> bool:
        """Let a process retry a request; return whether its budget allows it."""
        is_granted = self.runs[vm].budget.try_retry(self.now, is_urgent)
        if is_granted:
            self.retries.append(self.now)
        return is_granted

    def allowed(self, since: float) -> float:
        """Return the number of retries that are allowed in the window that begins at a time."""
        return self.ratio * _count(self.requests, since, since + WINDOW_S) + self.burst

    def excesses(self) -> list[float]:
        """Return the beginnings of the windows in which more retries were sent than allowed."""
        return [
            since
            for since in self.retries
            if _count(self.retries, since, since + WINDOW_S) > self.allowed(since) + ROUNDING
        ]

    def _remove(self, vm: str) -> None:
        self.listed.discard(vm)
        self._publish()

    def _publish(self) -> None:
        for run in self.runs.values():
            self._schedule(run)

    def _schedule(self, run: Run) -> None:
        if run.is_cut or self.is_store_down:
            return
        due_at = self.now + self.rng.uniform(*LIST_DELAY_S)
        run.receives_next_at = due_at = max(due_at, run.receives_next_at)
        heapq.heappush(self._due, (due_at, next(self._numbers), run, len(self.listed), self.now))


def _count(times: list[float], since: float, until: float) -> int:
    """Return how many sorted times are in a window, its end excluded."""
    return bisect_left(times, until) - bisect_left(times, since)
