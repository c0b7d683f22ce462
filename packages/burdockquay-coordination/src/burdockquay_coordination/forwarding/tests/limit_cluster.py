"""Simulated processes that keep the request rate limit of one upstream together.

The decisions are the real ones. Time is simulated; each process has a clock of its own, and
messages are delayed, held back by frozen processes and lost on cut links. The upstream records what
arrives.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from burdockquay_coordination import StatementReading
from burdockquay_coordination.forwarding import (
    ColdMessage,
    Fleet,
    GrantMessage,
    NeedMessage,
    SharedLimit,
    rank_processes,
)

LimitMessage = NeedMessage | GrantMessage | ColdMessage

WINDOW_S = 4.0
EXTRA_REQUESTS = 5
RATE_FACTOR = 1.5
TOLD_S = 0.5
"""The operators' bound: in any window, one and a half times the limit and some requests more, from
processes that were told this long before."""

STABLE_S = 3.0
"""Time after the upstream first named a limit, and after a fault of a process, in which nothing is
judged, seconds."""

DISCONNECT_S = 1.0
"""Time after which the processes on both sides of a cut drop the connection, seconds."""

MEMBERS_DELAY_S = 1.0
"""Longest time after which a process receives a change of the members, seconds."""

MIN_STEP_S = 0.005


@attrs.define(eq=False)
class Waiting:
    """A request that waits for a start."""

    rank: int
    arrived_at: float
    gives_up_at: float


@attrs.frozen
class Arrival:
    """A request at the upstream.

    Parameters
    ----------
    at : float
    process : str
    is_told : bool
        Whether its process was told of the limit long enough before.
    is_judged : bool
        Whether that process had no fault either, so that the operators' bound holds for it.
    """

    at: float
    process: str
    is_told: bool
    is_judged: bool


class Process:
    """One process: its part of the limit, its clock, and the requests that wait at it.

    Parameters
    ----------
    cluster : LimitCluster
    name : str
    limit : SharedLimit
    offset_s : float
        Difference of its clock from simulated time, seconds.
    """

    def __init__(self, cluster: LimitCluster, name: str, limit: SharedLimit, offset_s: float):
        self.cluster = cluster
        self.name = name
        self.limit = limit
        self.offset_s = offset_s
        self.processes: int | None = None
        self.connected: set[str] = set()
        self._ranked_of: set[str] | None = None
        self._ranked: list[str] = []
        self.waiting: list[Waiting] = []
        self.told_at: float | None = None
        self.faulty_until = cluster.now + STABLE_S
        self.frozen_until = float("-inf")
        self.is_up = True
        self._step_at = float("inf")

    @property
    def now(self) -> float:
        """Time on its clock, seconds."""
        return self.cluster.now + self.offset_s

    def add(self, rank: int, patience_s: float) -> None:
        """Let a request arrive."""
        now = self.cluster.now
        self.waiting.append(Waiting(rank, now, now + patience_s))
        self.proceed()

    def proceed(self) -> None:
        """Make a step, send what may be sent, and schedule the next step."""
        if not self.is_up or self.cluster.hold(self, self.proceed):
            return
        now = self.cluster.now
        self.waiting = [item for item in self.waiting if item.gives_up_at > now]
        self._want()
        self._step()
        self.waiting.sort(key=lambda item: (item.rank, item.arrived_at))
        while self.waiting and self.limit.may_start(self.now):
            item = self.waiting.pop(0)
            self.limit.take(item.rank, self.now)
            self.cluster.record_start(item)
            self.cluster.send_request(self)
        if self.limit.is_active(self.now):
            self._schedule(self.limit.due_at(self.now) - self.offset_s)

    def _want(self) -> None:
        ranks = [item.rank for item in self.waiting]
        for rank in set(ranks):
            self.limit.want(rank, ranks.count(rank), self.now)

    def _step(self) -> None:
        if not self.limit.is_active(self.now):
            return
        if self._ranked_of != self.connected:
            self._ranked_of = set(self.connected)
            self._ranked = rank_processes("limit", [self.name, *self.connected])
        step = self.limit.step(Fleet(self.name, self._ranked, self.processes), self.now)
        for message in step.messages:
            self.cluster.post(self.name, message.to, message)

    def _schedule(self, at: float) -> None:
        at = max(at, self.cluster.now + MIN_STEP_S)
        if at >= self._step_at > self.cluster.now:
            return
        self._step_at = at
        self.cluster.schedule(at, self._on_time)

    def _on_time(self) -> None:
        if self._step_at <= self.cluster.now:
            self._step_at = float("inf")
            self.proceed()

    def receive(self, sender: str, message: Any) -> None:
        """Apply a message of another process."""
        if not self.is_up or sender not in self.connected:
            return
        if self.cluster.hold(self, lambda: self.receive(sender, message)):
            return
        if isinstance(message, ColdMessage):
            self.limit.receive_cold(sender, message.report, self.now, sender)
        elif isinstance(message, NeedMessage):
            self.limit.receive_need(sender, message, self.now)
        else:
            self.limit.receive_grant(sender, message, self.processes, self.now)
        self.proceed()

    def read_row(self, cold_s: float, row: int) -> None:
        """Apply a row of the list that states the cold time of the upstream."""
        if self.is_up and not self.cluster.hold(self, lambda: self.read_row(cold_s, row)):
            self.limit.learn_listed(cold_s, row, self.now)
            self.proceed()

    def receive_answer(
        self, reading: StatementReading, sent_at: float, cold_s: float = 0.0
    ) -> None:
        """Apply an answer of the upstream."""
        if not self.is_up:
            return
        if self.cluster.hold(self, lambda: self.receive_answer(reading, sent_at, cold_s)):
            return
        self.limit.learn_cold(cold_s, self.now)
        if reading.value is not None and self.told_at is None:
            self.told_at = self.cluster.now
        self.limit.record_answer(reading, sent_at + self.offset_s, self.now)
        self.proceed()


class LimitCluster:
    """Processes, links and the upstream.

    Parameters
    ----------
    size : int
    seed : int
    delay_s : float
        Mean delay of a link, seconds.
    make_limit : callable
        Returns what a process decides by, given its name.
    """

    def __init__(
        self,
        size: int,
        seed: int = 1,
        delay_s: float = 0.002,
        make_limit: Callable[[str], SharedLimit] = lambda name: SharedLimit(),
    ):
        self.now = 100.0
        self.rng = random.Random(seed)
        self.delay_s = delay_s
        self.make_limit = make_limit
        self.cold_until = self.now
        self.named: float | None = None
        self.named_history: list[tuple[float, float | None]] = [(self.now, None)]
        self.arrivals: list[Arrival] = []
        self.started: list[tuple[float, Waiting]] = []
        self.messages: dict[str, int] = defaultdict(int)
        self.processes: dict[str, Process] = {}
        self.cuts: set[frozenset[str]] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._link_free_at: dict[tuple[str, str], float] = {}
        for number in range(size):
            self._start(f"p{number}")
        for process in self.processes.values():
            process.processes = size
            process.faulty_until = self.now

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def run_until(self, until: float) -> None:
        """Run all that happens up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def run_for(self, seconds: float) -> None:
        """Run for a time."""
        self.run_until(self.now + seconds)

    def hold(self, process: Process, action: Callable[[], None]) -> bool:
        """Delay an action until a frozen process goes on; return whether it is frozen."""
        if self.now >= process.frozen_until:
            return False
        self.schedule(process.frozen_until, action)
        return True

    def name_rate(self, per_s: float | None) -> None:
        """Let the upstream name a limit in all answers from now on, or none."""
        self.named = per_s
        self.named_history.append((self.now, per_s))
        for process in self.processes.values():
            # A limit that was named before does not count as told again.
            process.told_at = None if per_s is None else process.told_at

    def send_request(self, process: Process) -> None:
        """Send a request of a process to the upstream."""
        sent_at = self.now
        told = process.told_at is not None and sent_at - process.told_at >= TOLD_S
        is_judged = told and sent_at >= process.faulty_until
        self.schedule(
            self.now + self._delay_s(), lambda: self._arrive(process, sent_at, told, is_judged)
        )

    def record_start(self, item: Waiting) -> None:
        """Record that a request was sent."""
        self.started.append((self.now, item))

    def post(self, sender: str, to: str, message: LimitMessage) -> None:
        """Send a message; messages on one link stay in order."""
        self.messages[sender] += 1
        if frozenset((sender, to)) in self.cuts or to not in self.processes:
            return
        link = (sender, to)
        at = max(self.now + self._delay_s(), self._link_free_at.get(link, 0.0))
        self._link_free_at[link] = at
        self.schedule(at, lambda: self._deliver(sender, to, message))

    def freeze(self, name: str, for_s: float) -> None:
        """Freeze a process."""
        process = self.processes[name]
        process.frozen_until = self.now + for_s
        process.faulty_until = process.frozen_until + STABLE_S

    def kill(self, name: str) -> None:
        """End a process; the others see its connections end, and later the members change."""
        self.processes.pop(name).is_up = False
        for other in self.processes.values():
            other.connected.discard(name)
        self._tell_members()

    def start(self, name: str) -> None:
        """Start a process under a name that was not used before."""
        self._start(name)
        self._tell_members()

    def cut(self, one: str, other: str, for_s: float) -> None:
        """Cut the link between two processes; both drop the connection after a while."""
        pair = frozenset((one, other))
        self.cuts.add(pair)
        self._excuse(pair, for_s)
        self.schedule(self.now + min(for_s, DISCONNECT_S), lambda: self._disconnect(pair))
        self.schedule(self.now + for_s, lambda: self._reconnect(pair))

    def split(self, names: Iterable[str], for_s: float) -> None:
        """Cut all links between some processes and the others."""
        inside = set(names)
        for one in inside:
            for other in self.processes.keys() - inside:
                self.cut(one, other, for_s)

    def busiest_second(self, since: float) -> int:
        """Return the largest number of requests that arrived within one second."""
        times = [item.at for item in self.arrivals if item.at >= since]
        return max(
            (bisect.bisect_left(times, at + 1.0) - number for number, at in enumerate(times)),
            default=0,
        )

    def excesses(self, is_strict: bool = False) -> list[tuple[float, int, float]]:
        """Return the windows with too many requests: their ends, counts and bounds.

        Parameters
        ----------
        is_strict : bool
            Whether requests of processes with faults count as well.
        """
        found = []
        times = [item.at for item in self.arrivals if item.is_judged or is_strict and item.is_told]
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            allowed = self._allowed(at)
            if allowed is not None and last - first + 1 > allowed:
                found.append((at, last - first + 1, allowed))
        return found

    def lent(self) -> float:
        """Return the sum of the parts of the limit that processes grant."""
        return sum(process.limit.lent_fraction(process.now) for process in self.processes.values())

    def _allowed(self, at: float) -> float | None:
        """Return the bound of the window that ends at a time, None if there is none.

        A limit that was changed or ended within the window, or is too new, does not bind it.
        """
        rates: list[float] = []
        since: float | None = None
        for index, (begun, per_s) in enumerate(self.named_history):
            ended = (
                self.named_history[index + 1][0]
                if index + 1 < len(self.named_history)
                else float("inf")
            )
            if begun > at or ended <= at - WINDOW_S - TOLD_S:
                continue
            if per_s is None:
                return None
            rates.append(per_s)
            since = begun if since is None else since
        if since is None or at - since < STABLE_S:
            return None
        return RATE_FACTOR * max(rates) * WINDOW_S + EXTRA_REQUESTS

    def _start(self, name: str) -> None:
        process = Process(self, name, self.make_limit(name), self.rng.uniform(-1e4, 1e4))
        for other in self.processes.values():
            process.connected.add(other.name)
            other.connected.add(name)
        self.processes[name] = process

    def _tell_members(self) -> None:
        for process in list(self.processes.values()):
            self.schedule(
                self.now + self.rng.uniform(0.1, MEMBERS_DELAY_S),
                lambda process=process: self._set_members(process),
            )

    def _set_members(self, process: Process) -> None:
        process.processes = len(self.processes)

    def _excuse(self, names: Iterable[str], for_s: float) -> None:
        for name in names:
            if name in self.processes:
                process = self.processes[name]
                process.faulty_until = max(process.faulty_until, self.now + for_s + STABLE_S)

    def _disconnect(self, pair: frozenset[str]) -> None:
        if pair in self.cuts:
            self._link(pair, lambda process, other: process.connected.discard(other))

    def _reconnect(self, pair: frozenset[str]) -> None:
        self.cuts.discard(pair)
        self._link(pair, lambda process, other: process.connected.add(other))

    def _link(self, pair: frozenset[str], apply: Callable[[Process, str], None]) -> None:
        one, other = pair
        if one in self.processes and other in self.processes:
            apply(self.processes[one], other)
            apply(self.processes[other], one)

    def _arrive(self, process: Process, sent_at: float, told: bool, is_judged: bool) -> None:
        self.arrivals.append(Arrival(self.now, process.name, told, is_judged))
        reading = StatementReading(self.named)
        cold_s = max(0.0, self.cold_until - self.now)
        self.schedule(
            self.now + self._delay_s(), lambda: process.receive_answer(reading, sent_at, cold_s)
        )

    def _deliver(self, sender: str, to: str, message: LimitMessage) -> None:
        if to in self.processes and sender in self.processes:
            self.processes[to].receive(sender, message)

    def _delay_s(self) -> float:
        return self.delay_s * self.rng.uniform(0.5, 1.5)
