"""How prompts wait for an upstream, and when one is refused instead."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Sequence
from typing import Any

import attrs

from ._config import ServiceTargets
from ._engine_model import EngineModel
from ._mechanisms import Mechanism, Switches
from ._placing import Demand, Placement, PlacementRound
from ._upstreams import Upstream

WINDOW_SHARE = 0.6
"""Part of the tightest target of a service that unread prompts may take at an upstream before less
urgent work waits here. An urgent request that comes next then still meets its target, and what
waits here can go to whichever upstream is free first."""

URGENT_SHARE = 0.8
"""The same part for the most urgent work, of its own target."""

LATE_SHARE = 0.15
"""Part of the window up to which work that has missed its target is started: where an upstream
reads next to nothing. With more, late work alone keeps upstreams reading all the time, and the
answers beside it are written too slowly to end in time."""

MARGIN = 0.9
"""Part of a target that a prediction must keep to count as in time."""

MAX_LOOKED_AT = 60
"""Waiting requests that one round looks at, a bound on its processor time."""


@attrs.define(eq=False)
class WaitingPrompt:
    """A request that waits for an upstream.

    Parameters
    ----------
    demand : Demand
    urgency : int
        Priority; 0 is the most urgent.
    target_at : float
        When the first token is due.
    give_up_at : float
        When it is refused if it has not started.
    tried : collection of str
        Upstreams it was sent to before.
    owner : object
        Whatever the caller of the queue wants to find it by.
    rank : int
        Place in the order of all requests, 0 is the first; the priority if not given.
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


@attrs.frozen
class Start:
    """A waiting request that may start now.

    Parameters
    ----------
    waiting : WaitingPrompt
    placement : Placement
    late : bool
        Whether its target cannot be met any more.
    late_behind : bool
        Whether its target cannot be met behind what is read ahead of it.
    """

    waiting: WaitingPrompt
    placement: Placement
    late: bool
    late_behind: bool = False


class PromptQueue:
    """Requests of one service that wait for an upstream.

    Upstreams read the prompts that they have in the order they came, and a long prompt delays every
    first token behind it. Under a burst of long prompts, sending all at once makes all late, the
    short urgent ones first of all. So less urgent requests wait here while an upstream has much to
    read. Requests that have missed their target go last: serving them first would make the next
    ones late as well, and none would ever be in time until the burst is over. Among equals, those
    whose shared part is in memory go first: after the loss of an upstream the parts it had must be
    read anew, and each such prompt takes the time of several others.
    """

    def __init__(self):
        self._waiting: list[WaitingPrompt] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiting: WaitingPrompt) -> None:
        """Let a request wait."""
        self._waiting.append(waiting)

    def remove(self, waiting: WaitingPrompt) -> None:
        """Take a request out, whether or not it still waits."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)

    def take_all(self) -> list[WaitingPrompt]:
        """Take out every request."""
        taken, self._waiting = self._waiting, []
        return taken

    def take_expired(self, now: float) -> list[WaitingPrompt]:
        """Take out the requests that are to be refused now."""
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
        """Take out the first request that may start, None if none may.

        Parameters
        ----------
        upstreams : sequence of Upstream
        model : EngineModel
        targets : ServiceTargets
            Of the routes to the service.
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
        """Take out one request after the other that may start.

        Each is to be noted at its upstream before the next is asked for; see :meth:`take_start`.

        Notes
        -----
        Every request is placed once, and again only if something started meanwhile where it would
        go: to place all of them again after each start takes most of a small process.
        """
        looked_at = heapq.nsmallest(MAX_LOOKED_AT, self._waiting, key=_order)
        candidates = _Candidates(PlacementRound(upstreams, model, now), looked_at)
        while (start := candidates.pop()) is not None:
            if _may_start(start, model.switches, targets, now):
                candidates.note_started(start)
                self._waiting.remove(start.waiting)
                yield start


class _Candidates:
    """Waiting requests by rank, placed anew only where something started meanwhile.

    Parameters
    ----------
    round_ : PlacementRound
    waiting : iterable of WaitingPrompt
    """

    def __init__(self, round_: PlacementRound, waiting: Iterable[WaitingPrompt]):
        self._round = round_
        self._by_warmth = round_.model.switches.uses(Mechanism.WARM_FIRST)
        self._started: Counter[str] = Counter()
        self._heap: list[tuple[tuple, int, int, Start]] = []
        for number, item in enumerate(waiting):
            self._push(number, item)

    def pop(self) -> Start | None:
        """Take out the first one, None if there is none left."""
        while self._heap:
            _, number, started_before, start = heapq.heappop(self._heap)
            if started_before == self._started[start.placement.upstream.id]:
                return start
            self._push(number, start.waiting)
        return None

    def note_started(self, start: Start) -> None:
        """Note that a request starts: those that would go there too are placed anew."""
        self._started[start.placement.upstream.id] += 1

    def _push(self, number: int, item: WaitingPrompt) -> None:
        start = _evaluate(item, self._round)
        if start is not None:
            started = self._started[start.placement.upstream.id]
            heapq.heappush(self._heap, (self._rank(start), number, started, start))

    def _rank(self, start: Start) -> tuple[bool, bool, int, bool, float]:
        """Rank what can be in time first, then by urgency, then by what is soon read.

        Without regard to the reading ahead, engines read prompts in a burst that are late all the
        same, and others that could be in time are refused meanwhile. What is late for that reading
        alone still starts when nothing else wants the place, or places stay empty after a burst.
        """
        waiting = start.waiting
        is_cold = self._by_warmth and not start.placement.is_warm
        return (start.late, start.late_behind, waiting.rank, is_cold, waiting.target_at)


def _evaluate(item: WaitingPrompt, round_: PlacementRound) -> Start | None:
    """Return how a request would start now, None if there is no upstream for it."""
    model, now = round_.model, round_.now
    placement = round_.place(item.demand, item.tried)
    if placement is None:
        return None
    soonest_s = model.first_token_s(placement.upstream, placement.tokens, now, placement.is_short)
    late = now + MARGIN * soonest_s > item.target_at
    late_behind = now + MARGIN * placement.first_token_s > item.target_at
    late_last = model.switches.uses(Mechanism.LATE_LAST)
    return Start(item, placement, late and late_last, late_behind and late_last)


def _order(item: WaitingPrompt) -> tuple[int, float]:
    return (item.rank, item.target_at)


def _may_start(start: Start, switches: Switches, targets: ServiceTargets, now: float) -> bool:
    """Return whether a request starts now at its placement.

    A short prompt overtakes the long ones at the upstream, so that it waits here only for a place.
    """
    if not switches.uses(Mechanism.WINDOW):
        return True
    placement = start.placement
    if placement.is_short and placement.upstream.has_place(now):
        return True
    return placement.backlog_s <= _window(start, targets, now)


def _window(start: Start, targets: ServiceTargets, now: float) -> float:
    """Return the longest reading of other prompts behind which a request is started, seconds."""
    waiting = start.waiting
    window_s = WINDOW_SHARE * targets.tightest_s
    if start.late:
        return LATE_SHARE * window_s
    if waiting.urgency <= targets.most_urgent:
        return max(URGENT_SHARE * (waiting.target_at - now), window_s)
    return window_s
