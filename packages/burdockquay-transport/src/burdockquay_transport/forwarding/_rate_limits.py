"""Request rate limits of upstreams: learnt from answers, and kept together with peers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

import attrs

from burdockquay_coordination import Homes, StatementChange, StatementChangeKind
from burdockquay_coordination.forwarding import (
    ColdMessage,
    Fleet,
    GrantMessage,
    NeedMessage,
    StartAsks,
    Upstream,
    UpstreamRegistry,
    held_back_upstreams,
    rank_processes,
)

from .._clock import Clock
from .._events import Event, log_event
from .._statement_events import log_change
from ._forwarder_metrics import ForwarderMetrics

MIN_STEP_PAUSE_S = 0.005
"""Shortest time between two scheduled steps, seconds."""

HELD_BACK_INTERVAL_S = 1.0
"""Shortest time between two log lines about requests that an upstream held back, seconds."""

LimitMessage = NeedMessage | GrantMessage | ColdMessage


@attrs.define
class _HeldBack:
    """Requests that an upstream's statements held back since the last line about them."""

    count: int = 0
    logged_at: float = float("-inf")


class RateLimits:
    """Limits of all upstreams at one process.

    Parameters
    ----------
    clock : Clock
    metrics : ForwarderMetrics
    upstream_registry : UpstreamRegistry
    rng : random.Random
    evaluate_waiting : callable
        Called when requests that wait may start.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: ForwarderMetrics,
        upstream_registry: UpstreamRegistry,
        rng: random.Random,
        evaluate_waiting: Callable[[], None],
    ):
        self.clock = clock
        self.metrics = metrics
        self.upstream_registry = upstream_registry
        self.rng = rng
        self.evaluate_waiting = evaluate_waiting
        self._me = ""
        self._vms: dict[str, str] = {}
        self._rankings: dict[str, list[str]] = {}
        self._asks: dict[tuple[str, frozenset[str] | None], StartAsks] = {}
        self._held_back: dict[str, _HeldBack] = defaultdict(_HeldBack)
        self._evacuated: dict[str, _HeldBack] = defaultdict(_HeldBack)
        self._send: Callable[[Iterable[tuple[str, LimitMessage]]], None] = lambda messages: None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def processes(self) -> int | None:
        """Number of processes of the fleet, this one included; None if it is not known yet."""
        return self.upstream_registry.fleet.count(self.clock.now())

    def join_fleet(
        self, incarnation: str, send: Callable[[Iterable[tuple[str, LimitMessage]]], None]
    ) -> None:
        """Keep the limits together with other processes.

        Parameters
        ----------
        incarnation : str
            That of this process.
        send : callable
            Sends messages, each with the incarnation of the upstream that it is about.
        """
        self._me = incarnation
        self._send = send

    def set_peers(self, vms: Mapping[str, str]) -> None:
        """Set the VMs of the connected processes that keep limits, by incarnation."""
        self._vms = dict(vms)
        self._rankings.clear()

    def want(self, service: str, rank: int, homes: Homes | None = None) -> None:
        """Ask for a start at the limited upstreams of a service, for a new request.

        Parameters
        ----------
        service : str
        rank : int
            Rank of the request; 0 is the most urgent.
        homes : Homes or None
            Regions in which it may be served; starts elsewhere would lapse.
        """
        self._ask(service, {homes: {rank: 1}}, is_waiting=False)
        now = self.clock.now()
        evacuated = set()
        for upstream in held_back_upstreams(self._inside(service, homes), (), now):
            if upstream.is_evacuated:
                evacuated.add(upstream.entry.failure_domain)
            else:
                self._count_held_back(upstream, now)
        for domain in evacuated:
            self._count_evacuated(domain, now)

    def want_waiting(self, service: str, counts: Mapping[Homes | None, Mapping[int, int]]) -> None:
        """Ask for starts for the requests that wait, by homes and rank."""
        self._ask(service, counts, is_waiting=True)

    def drop_wants(self, service: str) -> None:
        """Ask for no more starts at the cold upstreams of a service, since no request waits."""
        now = self.clock.now()
        cold = [i for i in self.upstream_registry.of_service(service) if i.cold.binds(now)]
        for upstream in cold:
            upstream.limit.drop_wants(now)
        if cold:
            self._step(cold, now)

    def _inside(self, service: str, homes: Homes | None) -> list[Upstream]:
        """Return the upstreams of a service that lie in some homes."""
        found = self.upstream_registry.of_service(service)
        if homes is None:
            return found
        return [item for item in found if homes.allows_domain(item.entry.failure_domain)]

    def _ask(
        self, service: str, counts: Mapping[Homes | None, Mapping[int, int]], is_waiting: bool
    ) -> None:
        """Ask for starts at the limited upstreams of a service.

        What requests of several homes want of an upstream is added up, since each number that is
        asked for replaces the previous one.
        """
        now = self.clock.now()
        wants: dict[Upstream, Counter[int]] = {}
        for homes, by_rank in counts.items():
            inside = self._limited(self._inside(service, homes), now)
            limited = [item for item in inside if not item.is_evacuated]
            wants |= {item: Counter() for item in limited if item not in wants}
            key = (service, None if homes is None else homes.regions)
            for upstream, rank, count in self._spread(key, limited, by_rank, is_waiting, now):
                wants[upstream][rank] += count
        for upstream, wanted in wants.items():
            for rank, count in wanted.items():
                upstream.limit.want(rank, count, now)
        if wants:
            self._step(list(wants), now)

    def _spread(
        self,
        key: tuple[str, frozenset[str] | None],
        limited: Sequence[Upstream],
        counts: Mapping[int, int],
        is_waiting: bool,
        now: float,
    ) -> Iterator[tuple[Upstream, int, int]]:
        """Yield the upstreams to ask, each with the rank and the number of starts."""
        for upstream in limited:
            if not upstream.cold.binds(now):
                yield from ((upstream, rank, count) for rank, count in counts.items())
        cold = [item for item in limited if item.cold.binds(now) and item.accepts_work()]
        if cold:
            if key not in self._asks:
                self._asks[key] = StartAsks(self.rng)
            yield from self._asks[key].spread(cold, counts, is_waiting, now)

    def apply_cold_starts(self) -> None:
        """Apply what was learnt of cold starts, from the list or otherwise."""
        now = self.clock.now()
        due = [item for item in self.upstream_registry.all() if item.limit.is_cold_step_due(now)]
        if due:
            self._step(due, now)

    def apply_change(self, upstream: Upstream, change: StatementChange) -> None:
        """Tell the others of a change that an answer made, and let requests that wait try again."""
        self._step([upstream], self.clock.now())
        self._wake(change.kind is not StatementChangeKind.LEARNT)

    def receive(self, peer: str, messages: Iterable[tuple[str, LimitMessage]]) -> None:
        """Apply messages of another process.

        Parameters
        ----------
        peer : str
            Incarnation of the sender.
        messages : iterable of (str, NeedMessage or GrantMessage)
            Each with the incarnation of the upstream that it is about.
        """
        now = self.clock.now()
        has_starts = False
        upstreams = []
        for incarnation, message in messages:
            if isinstance(message, ColdMessage):
                source = self._vms.get(peer, peer)
                report = message.report
                self.upstream_registry.receive_cold(incarnation, peer, report, now, source)
            upstream = self.upstream_registry.find(incarnation)
            if upstream is None:
                # It is not listed here yet, or not any more; what is in force is sent again.
                continue
            upstreams.append(upstream)
            if isinstance(message, ColdMessage):
                continue
            if isinstance(message, NeedMessage):
                change = upstream.limit.receive_need(peer, message, now)
            else:
                received = upstream.limit.receive_grant(peer, message, self.processes, now)
                change, is_more = received
                if is_more:
                    has_starts = True
                    self.metrics.starts_granted.labels(upstream.id).inc(message.grant.starts)
            if change is not None:
                source = self._vms.get(peer, peer)
                log_change("request_rate", change, upstream=upstream.id, source=source)
                has_starts |= change.kind is StatementChangeKind.ENDED
        self._step(upstreams, now)
        self._wake(has_starts)

    def refresh_gauges(self) -> None:
        """Show the limits in force; an upstream that is not limited any more is left out."""
        now = self.clock.now()
        self.metrics.rate_limit.clear()
        self.metrics.rate_part.clear()
        self.metrics.cold_rate.clear()
        for upstream in self._limited(self.upstream_registry.all(), now):
            if upstream.limit.stated_per_s is not None:
                self.metrics.rate_limit.labels(upstream.id).set(upstream.limit.stated_per_s)
            if upstream.cold.binds(now):
                self.metrics.cold_rate.labels(upstream.id).set(upstream.limit.per_s(now))
            self.metrics.rate_part.labels(upstream.id).set(upstream.limit.lent_fraction(now))

    def _limited(self, upstreams: Iterable[Upstream], now: float) -> list[Upstream]:
        return [item for item in upstreams if item.limit.binds(now)]

    def _step(self, upstreams: Iterable[Upstream], now: float) -> None:
        """Send what is due at some upstreams, and schedule the next step."""
        messages: list[tuple[str, LimitMessage]] = []
        has_starts = False
        for upstream in upstreams:
            if not upstream.limit.is_active(now):
                continue
            fleet = Fleet(self._me, self._ranking(upstream.incarnation), self.processes)
            step = upstream.limit.step(fleet, now)
            if step.own_starts:
                has_starts = True
                self.metrics.starts_granted.labels(upstream.id).inc(step.own_starts)
            if step.cold is not None:
                self._log_cold(upstream, step.cold, now)
                has_starts |= not step.cold
            if step.has_new_owner:
                owner = self._vm_of(upstream.limit.owner)
                log_event(Event.RATE_LIMIT_OWNER, upstream=upstream.id, owner=owner)
            messages += [(upstream.incarnation, message) for message in step.messages]
        if messages:
            self._send(messages)
        self._schedule(now)
        self._wake(has_starts)

    def _log_cold(self, upstream: Upstream, is_cold: bool, now: float) -> None:
        cold = upstream.cold
        if is_cold:
            log_event(
                Event.UPSTREAM_COLD,
                upstream=upstream.incarnation,
                source=cold.source,
                remaining_s=cold.remaining_s(now),
                per_s=upstream.limit.per_s(now),
                listed_s=upstream.entry.cold_s,
                sequence=upstream.entry.sequence,
                age_s=now - cold.learnt_at,
            )
        else:
            log_event(
                Event.UPSTREAM_WARM, upstream=upstream.incarnation, cold_s=now - cold.bound_at
            )

    def _ranking(self, incarnation: str) -> list[str]:
        found = self._rankings.get(incarnation)
        if found is None:
            found = rank_processes(f"limit {incarnation}", [self._me, *self._vms])
            self._rankings[incarnation] = found
        return found

    def _schedule(self, now: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        active = [item for item in self.upstream_registry.all() if item.limit.is_active(now)]
        if active:
            due_in_s = min(item.limit.due_at(now) for item in active) - now
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(MIN_STEP_PAUSE_S, due_in_s), self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._step(self.upstream_registry.all(), self.clock.now())

    def _wake(self, has_starts: bool) -> None:
        """Let requests that wait try again."""
        if has_starts:
            asyncio.get_running_loop().call_soon(self.evaluate_waiting)

    def _count_held_back(self, upstream: Upstream, now: float) -> None:
        held_back = self._held_back[upstream.id]
        held_back.count += 1
        if now - held_back.logged_at >= HELD_BACK_INTERVAL_S:
            log_event(
                Event.SENDS_HELD_BACK,
                upstream=upstream.id,
                statement=upstream.held_back_by(now),
                per_s=upstream.limit.per_s(now),
                cold_s=upstream.cold.remaining_s(now) or None,
                rest_s=upstream.statements.rest.remaining_s(now) or None,
                count=held_back.count,
                owner=self._vm_of(upstream.limit.owner),
            )
            self._held_back[upstream.id] = _HeldBack(0, now)

    def _count_evacuated(self, domain: str, now: float) -> None:
        """Count a request that an evacuation held back from all upstreams of a failure domain."""
        held_back = self._evacuated[domain]
        held_back.count += 1
        if now - held_back.logged_at >= HELD_BACK_INTERVAL_S:
            log_event(
                Event.SENDS_HELD_BACK,
                domain=domain,
                statement="evacuation",
                count=held_back.count,
            )
            self._evacuated[domain] = _HeldBack(0, now)

    def _vm_of(self, incarnation: str | None) -> str:
        """Return the VM of a process; an empty text stands for this one."""
        return self._vms.get(incarnation or "", "")
