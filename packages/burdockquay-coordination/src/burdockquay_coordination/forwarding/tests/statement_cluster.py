"""Simulated processes and upstreams that leave, turn requests away and ask for rests.

The decisions are the real ones; time, the list of upstreams and all messages are simulated, each
message with a delay of its own.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Collection

import attrs

from burdockquay_coordination import AnswerContext, read_statements
from burdockquay_coordination.forwarding import (
    ListedUpstream,
    UpstreamChanges,
    UpstreamRegistry,
    choose_upstream,
)

MAX_SEND_DELAY_S = 0.03
MAX_ANSWER_DELAY_S = 0.3
"""Longest delays of a request and of its answer, seconds."""

TOLD_S = 0.5
MAX_SENDS_IN_REST = 2
"""The operators' bound: requests from one process, from this time after the answer to the end of
the rest."""

MAX_ATTEMPTS = 3

SERVICE = "s"


@attrs.define(eq=False)
class Run:
    """One run of an upstream.

    Parameters
    ----------
    id : str
    started_ms : int
    is_leaving : bool
    rest_s : float or None
        Rest that it asks for when it turns requests away; None if it serves them.
    """

    id: str
    started_ms: int
    is_leaving: bool = False
    rest_s: float | None = None

    @property
    def incarnation(self) -> str:
        """Name of the run, as in :class:`ListedUpstream`."""
        return f"{self.id}@{self.started_ms}"


@attrs.frozen
class Arrival:
    """A request at an upstream."""

    at: float
    sent_at: float
    process: str
    incarnation: str


@attrs.frozen
class Rest:
    """An answer that asks for a rest."""

    answered_at: float
    seconds: float
    process: str
    incarnation: str


class Process:
    """One forwarder: its registry of upstreams, and the choice for each request."""

    def __init__(self, cluster: StatementCluster, name: str):
        self.cluster = cluster
        self.name = name
        self.registry = UpstreamRegistry(random.Random(name))
        self.told_leaving: dict[str, float] = {}

    def send(self, tried: Collection[str] = (), attempt: int = 1) -> None:
        """Send a request, if an upstream may be used; the caller of a refused one gives up."""
        cluster = self.cluster
        now = cluster.now
        upstreams = self.registry.of_service(SERVICE)
        chosen = choose_upstream(upstreams, "a", tried, now, cluster.rng)
        if chosen is None:
            return
        chosen.take_start(0, now)
        run = cluster.runs[chosen.id]
        delay_s = cluster.rng.uniform(0.001, MAX_SEND_DELAY_S)
        cluster.later(delay_s, lambda: self._arrive(chosen, run, now, {*tried, chosen.id}, attempt))

    def _arrive(self, upstream, run: Run, sent_at: float, tried: set[str], attempt: int) -> None:
        cluster = self.cluster
        if cluster.runs.get(run.id) is not run or upstream.incarnation != run.incarnation:
            # The run has ended, or its address belongs to another one, which refuses.
            return
        cluster.arrivals.append(Arrival(cluster.now, sent_at, self.name, run.incarnation))
        texts = {"leaving": ["1"]} if run.is_leaving else {}
        is_refused = run.rest_s is not None
        if is_refused:
            texts["rest"] = [str(run.rest_s)]
            cluster.rests.append(Rest(cluster.now, run.rest_s, self.name, run.incarnation))
        delay_s = cluster.rng.uniform(0.001, MAX_ANSWER_DELAY_S)
        answer = AnswerContext(sent_at, is_proved=not is_refused)

        def receive() -> None:
            self._receive(upstream, read_statements(texts), answer)
            if is_refused and attempt < MAX_ATTEMPTS:
                self.send(tried, attempt + 1)

        cluster.later(delay_s, receive)

    def _receive(self, upstream, statements, answer: AnswerContext) -> None:
        now = self.cluster.now
        for kind, _ in upstream.statements.record_answer(statements, answer, now):
            if kind == "leaving":
                self.told_leaving.setdefault(upstream.incarnation, now)
                self.cluster.report(self, upstream.incarnation)


class StatementCluster:
    """Processes, upstreams, the list, and what the upstreams received.

    Parameters
    ----------
    processes : int
    seed : int
    make_process : callable
    """

    def __init__(self, processes: int, seed: int, make_process: Callable[..., Process] = Process):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.runs: dict[str, Run] = {}
        self.listed: dict[str, ListedUpstream] = {}
        self.arrivals: list[Arrival] = []
        self.rests: list[Rest] = []
        self._revisions = itertools.count(1)
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self.processes = [make_process(self, f"p{number}") for number in range(processes)]

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call a function after a delay."""
        heapq.heappush(self._due, (self.now + delay_s, next(self._numbers), action))

    def run_for(self, seconds: float, sends_per_s: float = 20.0) -> None:
        """Let time pass while each process sends requests."""
        until = self.now + seconds
        for process in self.processes:
            for _ in range(round(seconds * sends_per_s)):
                self.later(self.rng.uniform(0.0, seconds), process.send)
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
        self.now = until

    def start(self, id_: str) -> None:
        """Start an upstream, or another run in place of the one with this id."""
        self.runs[id_] = Run(id_, round(self.now * 1000) + 1)
        self.list(id_)

    def list(self, id_: str, leaving: bool = False) -> None:
        """Write the entry of an upstream, which each process reads after a delay of its own."""
        run = self.runs[id_]
        revision = next(self._revisions)
        entry = ListedUpstream(
            id_, SERVICE, "h", 1, "a", 8, leaving, revision, run.started_ms, 0, revision
        )
        self._publish(UpstreamChanges(False, (entry,)))

    def unlist(self, id_: str) -> None:
        """Remove the entry of an upstream."""
        self._publish(UpstreamChanges(False, removed=(id_,)))

    def report(self, sender: Process, incarnation: str) -> None:
        """Tell the other processes that a run leaves."""
        for process in self.processes:
            if process is not sender:
                self.later(
                    self.rng.uniform(0.001, 0.3),
                    lambda process=process: process.registry.learn_leaving(incarnation, self.now),
                )

    def _publish(self, changes: UpstreamChanges) -> None:
        for process in self.processes:
            # Changes reach a process in order, since it reads them in one stream.
            process.registry.apply(changes, self.now)

    def late_sends(self) -> list[Arrival]:
        """Return the requests that were sent after their process had been told of the leaving."""
        told = {process.name: process.told_leaving for process in self.processes}
        return [
            item
            for item in self.arrivals
            if item.sent_at > told[item.process].get(item.incarnation, float("inf"))
        ]

    def excesses(self) -> list[tuple[Rest, int]]:
        """Return the rests in which an upstream got more requests than operators allow."""
        by_pair = defaultdict(list)
        for item in self.arrivals:
            by_pair[item.process, item.incarnation].append(item.at)
        found = []
        for rest in self.rests:
            begin, end = rest.answered_at + TOLD_S, rest.answered_at + rest.seconds
            times = by_pair[rest.process, rest.incarnation]
            count = bisect.bisect_right(times, end) - bisect.bisect_right(times, begin)
            if count > MAX_SENDS_IN_REST:
                found.append((rest, count))
        return found
