"""Plain requests that wait because of what the upstreams state, in order of urgency."""

from __future__ import annotations

import asyncio
import contextlib
import heapq
import itertools
import random
from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs

from burdockquay_coordination import Homes
from burdockquay_coordination.forwarding import (
    Upstream,
    UpstreamRegistry,
    limited_delay_s,
    rest_delay_s,
    spare_upstreams,
)
from burdockquay_protocol import ErrorKind, RequestError

from .._clock import Clock
from ._call import ForwardCall
from ._rate_limits import RateLimits

MAX_WAIT_SLICE_S = 0.2
"""Longest time until a plain request that waits tries again, seconds."""

MIN_WAIT_SLICE_S = 0.005
"""Shortest time until it tries again, seconds."""

SUCCESSOR_SLICE_S = 0.05
"""Time between two looks for an upstream that replaces those that leave, seconds."""

PLACE_SLICE_S = 0.02
"""Time between two looks for a free place, seconds."""

MAX_WAIT_SHARE = 0.33
"""Share of a caller's patience for which a plain request waits."""


@attrs.define(order=True)
class _WaitingCall:
    """A plain request that waits, in the order of rank and arrival."""

    key: tuple[int, float]
    number: int
    woken: asyncio.Future = attrs.field(order=False)
    call: ForwardCall = attrs.field(order=False)


class HeldCalls:
    """Plain requests that limits, rests or leaving upstreams hold back at one process.

    Parameters
    ----------
    clock : Clock
    upstream_registry : UpstreamRegistry
    rate_limits : RateLimits
    rng : random.Random
    """

    def __init__(
        self,
        clock: Clock,
        upstream_registry: UpstreamRegistry,
        rate_limits: RateLimits,
        rng: random.Random,
    ):
        self.clock = clock
        self.upstream_registry = upstream_registry
        self.rate_limits = rate_limits
        self.rng = rng
        self._waiting: dict[str, list[_WaitingCall]] = defaultdict(list)
        self._numbers = itertools.count()

    def take(self, upstream: Upstream, rank: int) -> None:
        """Count a request that is sent to an upstream.

        Raises
        ------
        ValueError
            If its request rate limit does not allow it.
        """
        upstream.take_start(rank, self.clock.now())
        if self._waiting.get(upstream.entry.service):
            self._wake_next(upstream.entry.service)

    def drop_unneeded_wants(self, service: str) -> None:
        """Ask for no more starts once no plain request of a service waits."""
        if not self._waiting.get(service):
            self.rate_limits.drop_wants(service)

    def has_earlier_waiting(self, call: ForwardCall, upstream: Upstream) -> bool:
        """Return whether plain requests wait that go before a new one at an upstream."""
        queue = self._waiting.get(call.service)
        if not queue or call.was_woken or queue[0].key > (call.rank, call.started):
            return False
        return any(
            item.key <= (call.rank, call.started) and item.call.is_inside(upstream)
            for item in queue
        )

    def may_start_later(self, call: ForwardCall) -> bool:
        """Return whether an upstream that has not been tried may take a call later."""
        now = self.clock.now()
        able = self._able_upstreams(call)
        # Also where a start is held, but for a request that has waited before this one.
        return any(item.is_restricted(now) for item in able) or self._awaits_place(call, able, now)

    def _awaits_place(self, call: ForwardCall, able: list[Upstream], now: float) -> bool:
        """Return whether a call waits for a place, since other upstreams rest."""
        upstreams = call.candidates(self.upstream_registry)
        return bool(able) and len(spare_upstreams(upstreams, call.rank, now)) < len(upstreams)

    async def wait(self, call: ForwardCall) -> bool:
        """Wait until a plain request may start; return False if it cannot or not in time."""
        now = self.clock.now()
        until = call.started + MAX_WAIT_SHARE * (call.deadline - call.started)
        slice_s = MAX_WAIT_SLICE_S
        if self.may_start_later(call):
            slice_s = min(slice_s, self._soonest_s(self._able_upstreams(call), now))
        elif self._all_leave(call):
            until = min(until, call.started + call.route.target_s)
            slice_s = SUCCESSOR_SLICE_S
        else:
            return False
        if now >= until:
            self.drop_unneeded_wants(call.service)
            return False
        queue = self._waiting[call.service]
        woken = asyncio.get_running_loop().create_future()
        entry = _WaitingCall((call.rank, call.started), next(self._numbers), woken, call)
        heapq.heappush(queue, entry)
        counts: dict[Homes | None, Counter[int]] = defaultdict(Counter)
        for item in queue:
            counts[item.call.homes][item.key[0]] += 1
        self.rate_limits.want_waiting(call.service, counts)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(until - now, slice_s)):
                    await woken
                call.was_woken = True
        finally:
            if entry in queue:
                queue.remove(entry)
                heapq.heapify(queue)
        return True

    def refusal(self, call: ForwardCall, waiting: int | None = None) -> RequestError | None:
        """Return the refusal of a call that was only held back, None otherwise.

        It was held back by limits, rests or evacuations.

        Parameters
        ----------
        call : ForwardCall
        waiting : int or None
            Number of requests that wait; None counts the plain ones.
        """
        if call.maybe_run:
            return None
        evacuated = self.evacuation_refusal(call)
        if evacuated is not None:
            return evacuated
        now = self.clock.now()
        candidates = call.candidates(self.upstream_registry)
        able = [item for item in candidates if item.accepts_work()]
        if not able or not all(item.is_restricted(now) for item in able):
            return None
        limited = [item for item in able if item.statements.rest.may_send(now)]
        if not limited:
            rest_s = min(item.statements.rest.wait_s(now) for item in able)
            detail = f"{len(able)} upstreams rest, as they asked"
            delay_s = rest_delay_s(rest_s, self.rng)
            return RequestError(ErrorKind.UPSTREAM_RESTING, detail, retry_after_s=delay_s)
        per_s = sum(item.limit.per_s(now) or 0.0 for item in limited)
        if call.sends or not per_s:
            return None
        queued = len(self._waiting[call.service]) if waiting is None else waiting
        processes = self.rate_limits.processes or 1
        delay_s = limited_delay_s(queued, processes, per_s, self.rng)
        detail = f"{len(limited)} upstreams take {per_s:g} requests a second from all processes"
        cold = sum(item.cold.binds(now) for item in limited)
        detail += f", {cold} of them since they are cold" if cold else ""
        return RequestError(ErrorKind.UPSTREAM_LIMITED, detail, retry_after_s=delay_s)

    def evacuation_refusal(self, call: ForwardCall) -> RequestError | None:
        """Return the refusal of a call that evacuations leave no upstream, None otherwise."""
        if call.maybe_run or not self.is_evacuated(call):
            return None
        domains = ",".join(sorted(self.upstream_registry.evacuations.domains))
        return RequestError(ErrorKind.UPSTREAM_EVACUATED, f"evacuated: {domains}")

    def is_evacuated(self, call: ForwardCall) -> bool:
        """Return whether all upstreams that could run a call are in evacuated failure domains."""
        if not self.upstream_registry.evacuations.domains:
            return False
        present = [item for item in call.candidates(self.upstream_registry) if not item.is_removed]
        return bool(present) and all(item.is_evacuated for item in present)

    def wake(self) -> None:
        """Let plain requests that wait try again."""
        for service, queue in self._waiting.items():
            if queue:
                self._wake_next(service)

    def _wake_next(self, service: str) -> None:
        """Let the first plain requests that wait try again, one for each upstream with a start.

        Each wakes the next one when it has taken its start. A request whose homes do not include
        the upstream would only wait again.
        """
        now = self.clock.now()
        queue = self._waiting[service]
        upstreams = self.upstream_registry.of_service(service)
        free = [item for item in upstreams if item.accepts_work() and item.may_start(now)]
        for upstream in free:
            waiting = _pop_first(queue, upstream)
            if waiting is not None and not waiting.woken.done():
                waiting.woken.set_result(None)

    def _able_upstreams(self, call: ForwardCall) -> list[Upstream]:
        """Return the upstreams that could run a call now or later."""
        candidates = call.candidates(self.upstream_registry)
        return [item for item in candidates if item.accepts_work() and item.id not in call.tried]

    def _all_leave(self, call: ForwardCall) -> bool:
        """Return whether all upstreams that could run a call leave."""
        present = [
            item
            for item in call.candidates(self.upstream_registry)
            if not (item.is_removed or item.is_evacuated)
        ]
        return bool(present) and all(item.is_leaving for item in present)

    def _soonest_s(self, upstreams: Iterable[Upstream], now: float) -> float:
        """Return the time until a rest allows the next request or a place may be free, seconds."""
        waits = [item.statements.rest.wait_s(now) for item in upstreams]
        if not any(item.limit.binds(now) for item in upstreams):
            waits.append(PLACE_SLICE_S)
        return max(
            MIN_WAIT_SLICE_S, min((item for item in waits if item), default=MAX_WAIT_SLICE_S)
        )


def _pop_first(queue: list[_WaitingCall], upstream: Upstream) -> _WaitingCall | None:
    """Remove and return the first request whose homes include an upstream, None if none waits."""
    if not queue or queue[0].call.is_inside(upstream):
        return heapq.heappop(queue) if queue else None
    found = min((item for item in queue if item.call.is_inside(upstream)), default=None)
    if found is not None:
        queue.remove(found)
        heapq.heapify(queue)
    return found
