"""Queue of prompts that wait for an upstream, and their expiry."""

from __future__ import annotations

import enum
import heapq
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import Any

import attrs

from ..regions import Homes
from ._config import ServiceTargets
from ._demand import Demand, Placement
from ._engine_model import EngineModel
from ._mechanisms import Mechanism
from ._placing import LARGE_FLEET_PROCESSES, PlacementRound
from ._upstream import Upstream

BACKLOG_WINDOW_SHARE = 0.6
"""Share of the tightest target of a service that the unread prompts of an upstream may take before
less urgent requests wait here. An urgent request that arrives next still meets its target, and a
waiting request can go to whichever upstream is free first."""

OUTDATED_LOADS_S = 0.1
"""Age of the loads of other processes where at least ``LARGE_FLEET_PROCESSES`` decide, seconds: an
upstream has as much more to read as it reads in this time. A request that is in time nevertheless
starts at a backlog of up to twice this time beyond the window. If it waited for the window, all
processes would see it reached at the same moment and start their requests there together, while
other upstreams run out of prompts before any process has noticed."""

URGENT_BACKLOG_SHARE = 0.8
"""The same share for the most urgent requests, of the time left to their own target."""

LATE_BACKLOG_SHARE = 0.15
"""Share of the window up to which requests of the least urgent routes that have missed their target
are started: only where an upstream has almost nothing to read. With a larger share, late requests
alone keep upstreams reading all the time, and the answers generated meanwhile are too slow to end
in time. Late requests of other routes start at the backlog at which less urgent ones do."""

MAX_PASSED_OVER = 8
"""Starts of late requests after which each less urgent rank that waits gets a start. Urgent
requests that can be in time go first without such a limit."""

TARGET_MARGIN = 0.9
"""Factor on predicted times before they are compared with a target: a request counts as late only
if this share of the prediction exceeds the time left."""

MAX_CANDIDATES_PER_ROUND = 60
"""Waiting requests that one round evaluates at most, which bounds its processor time."""

CANDIDATES_PER_RANK = 10
"""Waiting requests of each rank that are among them, if so many wait; fewer with many ranks."""


@attrs.define(eq=False)
class WaitingPrompt:
    """A request that waits for an upstream.

    Parameters
    ----------
    demand : Demand
    urgency : int
        Priority of its route; 0 is the most urgent.
    target_at : float
        Time at which the first token is due.
    give_up_at : float
        Time at which it is rejected if it has not started.
    tried : collection of str
        Ids of the upstreams that it has been sent to already.
    owner : object
        Reference for the caller of the queue, not used here.
    rank : int
        Rank among all requests, 0 is the first; default is ``urgency``.
    """

    demand: Demand
    urgency: int
    target_at: float
    give_up_at: float
    tried: Collection[str]
    owner: Any = None
    rank: int = attrs.field(kw_only=True)

    @rank.default
    def _default_rank(self) -> int:
        return self.urgency


class HoldReason(enum.Enum):
    """Why a waiting request did not start when it was evaluated."""

    LATE = "late"
    """Its target is missed, and its upstream has too large a backlog for a late request."""
    BACKLOG = "backlog"
    """Its upstream has too large a backlog."""
    NO_UPSTREAM = "no_upstream"
    """No upstream may be used."""
    NOT_EVALUATED = "not_evaluated"
    """Too many others were evaluated in the same round."""


@attrs.frozen
class PassedOver:
    """More urgent requests that waited when another one started.

    Parameters
    ----------
    count : int
    oldest : WaitingPrompt
        The one that gives up first.
    reasons : Counter of HoldReason
        Why they did not start, by number of requests.
    """

    count: int
    oldest: WaitingPrompt
    reasons: Counter[HoldReason]


@attrs.frozen
class Start:
    """A waiting request that may start now.

    Parameters
    ----------
    waiting : WaitingPrompt
    placement : Placement
    late : bool
        Whether its target cannot be met even without a backlog.
    late_with_backlog : bool
        Whether its target cannot be met behind the backlog of the upstream.
    passed_over : PassedOver or None
        The more urgent requests that still wait; None if there are none.
    """

    waiting: WaitingPrompt
    placement: Placement
    late: bool
    late_with_backlog: bool = False
    passed_over: PassedOver | None = None


class PromptQueue:
    """Requests of one service that wait for an upstream.

    Upstreams read their prompts in order of arrival, and a long prompt delays the first token of
    every prompt behind it. If a burst of long prompts were sent at once, all requests would be
    late, the short urgent ones first of all. So less urgent requests wait here while an upstream
    has a large backlog. More urgent requests go first, also if they are late. Among requests of one
    rank, those that have missed their target go last: if they were served first, the next ones
    would be late as well, and none would be in time until the end of the burst. Among equal
    requests, those whose shared part is cached go first: after an upstream is removed, its parts
    must be read again, and each such prompt takes the time of several others.

    So that a burst of urgent requests does not stop all others, each rank that waits gets a start
    after ``MAX_PASSED_OVER`` starts of more urgent requests that are late.
    """

    def __init__(self):
        self._waiting: list[WaitingPrompt] = []
        self._turns = _Turns()

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: WaitingPrompt) -> None:
        """Add a waiting request."""
        self._waiting.append(waiting)

    def all(self) -> Sequence[WaitingPrompt]:
        """Return the waiting requests."""
        return tuple(self._waiting)

    def has_more_urgent(self, rank: int) -> bool:
        """Return whether requests wait that go before those of a rank."""
        return any(item.rank < rank for item in self._waiting)

    def remove(self, waiting: WaitingPrompt) -> None:
        """Remove a request; do nothing if it is not in the queue."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def counts_by_homes(self) -> dict[Homes | None, Counter[int]]:
        """Return the number of waiting requests of each rank, by their homes."""
        counts: dict[Homes | None, Counter[int]] = defaultdict(Counter)
        for item in self._waiting:
            counts[item.demand.homes][item.rank] += 1
        return counts

    def take_all(self) -> list[WaitingPrompt]:
        """Remove and return all requests."""
        taken, self._waiting = self._waiting, []
        return taken

    def take_expired(self, now: float) -> list[WaitingPrompt]:
        """Remove and return the requests whose waiting time is over; the caller rejects them."""
        expired = [item for item in self._waiting if now >= item.give_up_at]
        for item in expired:
            self._waiting.remove(item)
        return expired

    def take_start(
        self,
        upstreams: Sequence[Upstream],
        model: EngineModel,
        targets: ServiceTargets,
        now: float,
    ) -> Start | None:
        """Remove and return the first request that may start, None if there is none.

        Parameters
        ----------
        upstreams : sequence of Upstream
        model : EngineModel
        targets : ServiceTargets
            Targets of the routes to the service.
        now : float
        """
        return next(self.take_starts(upstreams, model, targets, now), None)

    def take_starts(
        self,
        upstreams: Sequence[Upstream],
        model: EngineModel,
        targets: ServiceTargets,
        now: float,
    ) -> Iterator[Start]:
        """Remove and yield the requests that may start, one after the other.

        Each must be recorded at its upstream before the next one is requested; see
        :meth:`take_start`.

        Notes
        -----
        Every request is placed once, and again only if another request has started at its upstream
        since: placing all of them again after each start takes most of the processor time of a
        small process.
        """
        considered = _choose_candidates(self._waiting, now)
        candidates = _Candidates(PlacementRound(upstreams, model, now), considered, self._turns)
        while (start := candidates.pop()) is not None:
            if _may_start(start, model, targets, now):
                candidates.record_started(start)
                self._waiting.remove(start.waiting)
                self._turns.record_start(start, {item.rank for item in self._waiting})
                yield attrs.evolve(start, passed_over=self._passed_over(start, candidates))
            else:
                candidates.record_held(start)

    def _passed_over(self, start: Start, candidates: _Candidates) -> PassedOver | None:
        """Return the requests that wait although they are more urgent than one that starts."""
        found = [item for item in self._waiting if item.rank < start.waiting.rank]
        if not found:
            return None
        oldest = min(found, key=lambda item: item.give_up_at)
        return PassedOver(len(found), oldest, Counter(map(candidates.hold_reason, found)))


class _Turns:
    """Starts that ranks are owed because more urgent requests that are late go first."""

    def __init__(self):
        self._passed_over: Counter[int] = Counter()

    def choose(self, ranks: Iterable[int]) -> int:
        """Return the rank whose request is the next one to start.

        Parameters
        ----------
        ranks : iterable of int
            Those of which requests may start, at least one.
        """
        present = sorted(ranks)
        owed = (rank for rank in present if self._passed_over[rank] >= MAX_PASSED_OVER)
        return next(owed, present[0])

    def record_start(self, start: Start, waiting: Collection[int]) -> None:
        """Record a start.

        Parameters
        ----------
        start : Start
        waiting : collection of int
            Ranks of the requests that still wait.
        """
        started = start.waiting.rank
        self._passed_over = Counter(
            {rank: self._passed_over[rank] for rank in waiting if rank != started}
        )
        if start.late or start.late_with_backlog:
            self._passed_over.update(rank for rank in waiting if rank > started)


class _Candidates:
    """Waiting requests by rank, placed again only if another request started at their upstream.

    Parameters
    ----------
    round_ : PlacementRound
    waiting : iterable of WaitingPrompt
    turns : _Turns
    """

    def __init__(self, round_: PlacementRound, waiting: Iterable[WaitingPrompt], turns: _Turns):
        self._round = round_
        self._turns = turns
        self._cached_first = round_.model.switches.uses(Mechanism.WARM_FIRST)
        self._started: Counter[str] = Counter()
        self._hold_reasons: dict[WaitingPrompt, HoldReason] = {}
        self._heaps: defaultdict[int, list[tuple[tuple, int, int, Start]]] = defaultdict(list)
        for number, item in enumerate(waiting):
            self._push(number, item)

    def pop(self) -> Start | None:
        """Remove and return the first candidate, None if there is none left."""
        while self._heaps:
            rank = self._turns.choose(self._heaps)
            _, number, started_before, start = heapq.heappop(self._heaps[rank])
            if not self._heaps[rank]:
                del self._heaps[rank]
            if started_before == self._started[start.placement.upstream.id]:
                return start
            self._push(number, start.waiting)
        return None

    def record_started(self, start: Start) -> None:
        """Record that a request starts: candidates for the same upstream are placed again."""
        self._started[start.placement.upstream.id] += 1

    def record_held(self, start: Start) -> None:
        """Record that a candidate does not start in this round."""
        reason = HoldReason.LATE if start.late else HoldReason.BACKLOG
        self._hold_reasons[start.waiting] = reason

    def hold_reason(self, item: WaitingPrompt) -> HoldReason:
        """Return why a request has not started in this round."""
        return self._hold_reasons.get(item, HoldReason.NOT_EVALUATED)

    def _push(self, number: int, item: WaitingPrompt) -> None:
        start = _evaluate(item, self._round)
        if start is None:
            self._hold_reasons[item] = HoldReason.NO_UPSTREAM
        else:
            started = self._started[start.placement.upstream.id]
            entry = (self._order(start), number, started, start)
            heapq.heappush(self._heaps[item.rank], entry)

    def _order(self, start: Start) -> tuple[bool, bool, bool, float]:
        """Return the sort key within a rank: what can be in time first, then cached prompts.

        If the backlog were ignored, engines would read prompts in a burst that are late all the
        same, while others that could be in time are rejected. A request that is late only because
        of the backlog still starts when no other wants the place; otherwise places would stay empty
        after a burst.
        """
        waiting = start.waiting
        is_uncached = self._cached_first and not start.placement.is_cached
        return (start.late, start.late_with_backlog, is_uncached, waiting.target_at)


def _evaluate(item: WaitingPrompt, round_: PlacementRound) -> Start | None:
    """Return how a request would start now, None if there is no upstream for it."""
    model, now = round_.model, round_.now
    placement = round_.place(item.demand, item.tried)
    if placement is None:
        return None
    soonest_s = placement.way_s + model.first_token_s(
        placement.upstream, placement.tokens, now, placement.is_short
    )
    late = now + TARGET_MARGIN * soonest_s > item.target_at
    late_with_backlog = now + TARGET_MARGIN * placement.first_token_s > item.target_at
    late_last = model.switches.uses(Mechanism.LATE_LAST)
    return Start(item, placement, late and late_last, late_with_backlog and late_last)


def _choose_candidates(waiting: Iterable[WaitingPrompt], now: float) -> list[WaitingPrompt]:
    """Return the requests that one round evaluates: the most urgent, and some of each rank."""
    by_rank: defaultdict[int, list[WaitingPrompt]] = defaultdict(list)
    for item in waiting:
        by_rank[item.rank].append(item)
    each = max(1, min(CANDIDATES_PER_RANK, MAX_CANDIDATES_PER_ROUND // max(1, len(by_rank))))
    chosen: list[WaitingPrompt] = []
    others: list[WaitingPrompt] = []
    for rank in sorted(by_rank):
        # Those past their target go last among equals, here as in the order of the starts.
        items = sorted(by_rank[rank], key=lambda item: (item.target_at < now, item.target_at))
        chosen += items[:each]
        others += items[each:]
    return (chosen + others)[:MAX_CANDIDATES_PER_ROUND]


def _may_start(start: Start, model: EngineModel, targets: ServiceTargets, now: float) -> bool:
    """Return whether a request starts now at its placement.

    A short prompt overtakes the long ones at the upstream, so it waits here only for a free place.
    """
    if not model.switches.uses(Mechanism.WINDOW):
        return True
    placement = start.placement
    if placement.is_short and placement.upstream.has_place(now):
        return True
    return placement.backlog_s <= _backlog_limit_s(start, model, targets, now)


def _backlog_limit_s(
    start: Start, model: EngineModel, targets: ServiceTargets, now: float
) -> float:
    """Return the longest backlog of an upstream at which a request starts there, seconds."""
    waiting = start.waiting
    window_s = BACKLOG_WINDOW_SHARE * targets.tightest_s
    has_less_urgent = waiting.urgency < targets.least_urgent
    if start.late and not has_less_urgent:
        return LATE_BACKLOG_SHARE * window_s
    is_in_time = now + start.placement.first_token_s <= waiting.target_at
    if model.processes >= LARGE_FLEET_PROCESSES and (is_in_time or has_less_urgent):
        window_s += 2 * OUTDATED_LOADS_S
    if waiting.urgency <= targets.most_urgent:
        return max(URGENT_BACKLOG_SHARE * (waiting.target_at - now), window_s)
    return window_s
