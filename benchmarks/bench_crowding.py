"""What a process does that gets most of the new connections of all callers.

Simulated processes read requests one after the other, each for a fixed time. Callers whose request
is not read within a second, or whose connection is closed unread, try again at another process. The
last line is one JSON object with the worst figures of the way that the product uses, and of each
other way under its name.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

import attrs
from _report import print_load_average, print_result, print_table

from burdockquay_coordination.forwarding import Crowding

SIZES = (4, 12, 40)
READ_S = 0.01
"""Processor time of a request, seconds."""

LOAD = 0.4
"""Share of the time in which a process reads with an even share of the requests."""

ANSWER_S = 1.0
"""Time for which a request runs after it was read, seconds."""

UNREAD_LIMIT_S = 1.0
"""Time after which a caller gives up an attempt that was not read, seconds."""

TARGET_S = 0.25
CROWD_SHARE = 0.8
CROWD_S = (4.0, 12.0)
"""Share of the new connections that one process gets, and when, seconds."""

SECONDS = 16.0
MAX_TRIES = 3


@attrs.define(eq=False)
class _Process:
    """A process with its unread requests."""

    crowding: Crowding = attrs.field(factory=Crowding)
    unread: list[_Request] = attrs.field(factory=list)
    running: int = 0
    is_reading: bool = False


@attrs.define(eq=False)
class _Request:
    """A request of a caller."""

    begun_at: float
    tried_at: float = 0.0
    tries: int = 0
    read_at: float | None = None
    gave_up: bool = False


class _Fleet:
    """Processes in simulated time; ``closes`` decides whether a new connection is closed."""

    def __init__(self, size: int, closes: Callable[[_Fleet, _Process], bool], seed: int):
        self.rng = random.Random(seed)
        self.processes = [_Process() for _ in range(size)]
        self.closes = closes
        self.now = 0.0
        self.requests: list[_Request] = []
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, seconds: float, run: Callable[[], None]) -> None:
        """Run something later."""
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), run))

    def run(self) -> None:
        """Let callers come, one process get most of them for a while, and all end."""
        per_s = LOAD * len(self.processes) / READ_S
        at = 0.0
        while (at := at + self.rng.expovariate(per_s)) < SECONDS:
            self.after(at, lambda at=at: self._arrive(_Request(at), is_first=True))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def _arrive(self, request: _Request, is_first: bool = False) -> None:
        if is_first:
            self.requests.append(request)
        request.tries += 1
        request.tried_at = self.now
        crowded = CROWD_S[0] <= self.now < CROWD_S[1] and self.rng.random() < CROWD_SHARE
        first = self.processes[0]
        process = first if crowded and is_first else self.rng.choice(self.processes)
        if self.closes(self, process):
            self._retry(request)
            return
        process.unread.append(request)
        tries = request.tries
        self.after(UNREAD_LIMIT_S, lambda: self._give_up(request, process, tries))
        self._read_next(process)

    def _retry(self, request: _Request) -> None:
        if request.tries < MAX_TRIES:
            self.after(0.004, lambda: self._arrive(request))
        else:
            request.gave_up = True

    def _give_up(self, request: _Request, process: _Process, tries: int) -> None:
        if request.read_at is None and request.tries == tries and request in process.unread:
            process.unread.remove(request)
            self._retry(request)

    def _read_next(self, process: _Process) -> None:
        if process.is_reading or not process.unread:
            return
        request = process.unread.pop(0)
        process.is_reading = True
        request.read_at = self.now
        process.running += 1
        process.crowding.record_read(self.now - request.tried_at, self.now)
        self.after(READ_S, lambda: self._end_reading(process))
        self.after(ANSWER_S, lambda: setattr(process, "running", process.running - 1))

    def _end_reading(self, process: _Process) -> None:
        process.is_reading = False
        self._read_next(process)


def _never(fleet: _Fleet, process: _Process) -> bool:
    return False


def _when_crowded(fleet: _Fleet, process: _Process) -> bool:
    running = sum(item.running for item in fleet.processes)
    others = running - process.running
    size = len(fleet.processes)
    return process.crowding.is_crowded(process.running, others, size, fleet.now)


def _when_behind(fleet: _Fleet, process: _Process) -> bool:
    return process.crowding.is_behind(fleet.now)


def _above_fixed_number(fleet: _Fleet, process: _Process) -> bool:
    return len(process.unread) > 20


WAYS = {
    "kept": _when_crowded,
    "read_all": _never,
    "when_behind": _when_behind,
    "fixed_number": _above_fixed_number,
}


@attrs.frozen
class Outcome:
    """Figures of one way.

    Parameters
    ----------
    in_time_before, in_time : float
        Share of the requests that were read within the target, before and during the crowd.
    unread : float
        Share of the requests during the crowd that no process read.
    """

    in_time_before: float
    in_time: float
    unread: float


def simulate(way: str, size: int, seed: int = 1) -> Outcome:
    """Run one way and return its figures."""
    fleet = _Fleet(size, WAYS[way], seed)
    fleet.run()
    before = [item for item in fleet.requests if item.begun_at < CROWD_S[0]]
    during = [item for item in fleet.requests if CROWD_S[0] + 1.0 <= item.begun_at < CROWD_S[1]]
    unread = sum(item.read_at is None for item in during) / len(during)
    return Outcome(_in_time(before), _in_time(during), unread)


def _in_time(requests: list[_Request]) -> float:
    read = [item for item in requests if item.read_at is not None]
    return sum(item.read_at - item.begun_at <= TARGET_S for item in read) / len(requests)


def main() -> None:
    columns = list(attrs.fields_dict(Outcome))
    outcomes: dict[str, list[Outcome]] = {way: [] for way in WAYS}
    for size in SIZES:
        rows = []
        for way in WAYS:
            outcome = simulate(way, size)
            outcomes[way].append(outcome)
            rows.append((way, *attrs.astuple(outcome)))
        print_table(f"{size} processes", ["way", *columns], rows)
    print_load_average()
    result: dict[str, float] = {}
    for way, found in outcomes.items():
        prefix = "" if way == "kept" else f"{way}_"
        result[f"{prefix}in_time"] = min(item.in_time for item in found)
        result[f"{prefix}unread"] = max(item.unread for item in found)
    print_result(result)


if __name__ == "__main__":
    main()
