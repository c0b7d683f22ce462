"""Simulated processes that decide with the real classes, for ``bench_regions``."""

from __future__ import annotations

from collections.abc import Mapping

import attrs
from _region_world import NEAR_S, TARGETS, WARM_S, WAY_S, Engine, Request, World

from burdockquay_coordination import Homes, RegionDelays, RegionMap, SharedRetryBudget
from burdockquay_coordination.forwarding import (
    NO_LOAD,
    SHORT_READING_SHARE,
    Demand,
    EngineModel,
    LoadRelay,
    LoadUpdate,
    OutcomeRelay,
    Outcomes,
    Placement,
    PromptQueue,
    ServiceTargets,
    Upstream,
    WaitingPrompt,
    group_relays,
    place_prompt,
    urgency_level,
)
from burdockquay_protocol import (
    LoadsOfDomain,
    PromptPart,
    UpstreamLoad,
    UpstreamOutcome,
    UpstreamOutcomes,
    encode,
)
from burdockquay_transport.forwarding._peers import loads_interval_s

PROMPT_BYTES, EVENT_BYTES = 9200, 1000
"""Size of a prompt and of the first event of its answer."""
CONNECT_TIMEOUT_S, BROKEN_S = 0.4, 1.0
"""Time after which a connection across a cut link fails, and after which a sent request does."""
PATIENCE_S, EVALUATION_S, MAX_SENDS = 1.5, 0.02, 5
RETRY_RATIO, RETRY_BURST, RETRY_WINDOW_S = 0.1, 20.0, 10.0


@attrs.define(eq=False)
class Sent:
    """One send of a request."""

    request: Request
    at: float
    waiting: WaitingPrompt | None = None
    placement: Placement | None = None
    ahead: int = 0
    first_at: float | None = None
    prompt = property(lambda self: self.request.prompt)


class Process:
    """A process with its own view of all upstreams."""

    def __init__(self, fleet: Fleet, number: int):
        self.fleet, self.world, self.name = fleet, fleet.world, f"p{number}"
        self.domain, self.region = self.world.domain_of[number], self.world.region_of[number]
        self.map = RegionMap(self.world.regions, self.domain)
        delays = RegionDelays(self.map)
        for region in self.map.names:
            delays.record_connect(region, 2 * (NEAR_S if region == self.region else WAY_S), 0.0)
        self.model = EngineModel(delays=delays)
        self.model.processes = self.world.size
        self.homes = Homes(frozenset({self.region}), self.map)
        self.queue, self.next_at = PromptQueue(), 0.0
        self.views = {e.entry.incarnation: Upstream(e.entry) for e in self.world.engines}
        for engine, part, tokens in self.world.cached:
            self.views[engine.entry.incarnation].memory.record_read(part, tokens)
        self.upstreams, self.loaded = list(self.views.values()), set()
        self.budget = SharedRetryBudget(RETRY_RATIO, RETRY_WINDOW_S, 0.0)
        self.budget.set_burst(RETRY_BURST / self.world.size, 0.0)

    def arrive(self, request: Request) -> None:
        """Queue a new request."""
        self.budget.record_request(self.world.now)
        homes = self.homes if request.stays_home else None
        short_s = SHORT_READING_SHARE * TARGETS[True]
        demand = Demand(request.prompt, request.target_s, 12.0, short_s, homes=homes)
        due, end = request.at + request.target_s, request.at + PATIENCE_S
        self.queue.add(WaitingPrompt(demand, int(not request.is_short), due, end, (), request))
        self.evaluate()

    def evaluate(self) -> None:
        """Send the requests that may be sent now."""
        now, targets = self.world.now, ServiceTargets(TARGETS[True], 0)
        self.next_at = now + EVALUATION_S
        for start in self.queue.take_starts(self.upstreams, self.model, targets, now):
            self._send(start.waiting, start.placement)
        self.queue.take_expired(now)

    def _send(self, waiting: WaitingPrompt, placement: Placement) -> None:
        world, upstream, request = self.world, placement.upstream, waiting.owner
        engine, source = self.fleet.engine(upstream), self.fleet.engine(placement.source)
        self.fleet.record_send(self, request, engine, source)
        request.sends += 1
        ahead = 0 if placement.is_short else upstream.pending.tokens(world.now)
        sent = Sent(request, world.now, waiting, placement, ahead)
        upstream.pending.add(str(id(sent)), placement.tokens, world.now)
        upstream.outstanding += 1
        upstream.record_sent(request.prompt)
        way_s = 2 * WAY_S if source is not None and source.region != engine.region else 0.0
        link = world.link(self.region, engine.region)
        if link is None:
            way_s += NEAR_S
        elif link.is_cut:
            world.after(CONNECT_TIMEOUT_S, self.fail, sent, False)
            return
        else:
            connect_s = 2 * WAY_S + link.queue_s(world.now)
            self.model.delays.record_connect(engine.region, connect_s, world.now)
            way_s += 2 * WAY_S + link.way_s(PROMPT_BYTES, world.now)
        world.after(way_s, self._reach, sent, engine, source)

    def _reach(self, sent: Sent, engine: Engine, source: Engine | None) -> None:
        if engine.is_removed:
            self.fail(sent, False)
            return
        level = urgency_level(sent.waiting.urgency, sent.waiting.urgency, sent.placement.is_short)
        engine.send(sent, level, source)

    def first_token(self, sent: Sent) -> None:
        """Record the first token of a request."""
        upstream, now, placement = sent.placement.upstream, self.world.now, sent.placement
        seconds = max(now - sent.at - placement.way_s, 0.001)
        terms = (placement.fetched_tokens, placement.is_short)
        self.model.update_first_token(upstream, sent.ahead, placement.tokens, seconds, now, *terms)
        upstream.record_prompt_read(sent.prompt)
        upstream.health.record_success(now)
        self._end(sent)
        sent.request.first_at = now

    def fail(self, sent: Sent, has_run: bool) -> None:
        """Record a send that failed, and send the request again if it may be."""
        now, upstream, waiting = self.world.now, sent.placement.upstream, sent.waiting
        upstream.record_abandoned(sent.prompt)
        upstream.health.record_unreachable(now)
        self._end(sent)
        if sent.request.sends >= MAX_SENDS or has_run and not self.budget.try_retry(now):
            return
        if has_run:
            self.fleet.record_retry()
        again = attrs.evolve(waiting, tried=(*waiting.tried, upstream.id))
        placement = place_prompt(self.upstreams, again.demand, self.model, again.tried, now)
        if placement is not None:
            self._send(again, placement)

    def _end(self, sent: Sent) -> None:
        sent.placement.upstream.pending.remove(str(id(sent)))
        sent.placement.upstream.outstanding -= 1

    def apply(self, update: LoadUpdate, outcomes: Mapping[str, Outcomes]) -> None:
        """Apply what a relay sends."""
        now = self.world.now
        for name in self.loaded - update.shares.keys() if update.is_whole else ():
            self.views[name].pending.receive_update("elsewhere", NO_LOAD, now)
        for name, share in update.shares.items():
            self.views[name].pending.receive_update("elsewhere", share, now)
            for part, tokens in update.parts.get(name, {}).items():
                self.views[name].memory.record_read(part, tokens)
        self.loaded = set(update.shares) | (set() if update.is_whole else self.loaded)
        for name, item in outcomes.items():
            self.views[name].health.apply_peer_outcomes(item, now)


class Domain:
    """The processes of a failure domain, and what the first of them relays."""

    def __init__(self, fleet: Fleet, processes: list[Process]):
        self.fleet, self.world, self.processes = fleet, fleet.world, processes
        self.by_name = {item.name: item for item in processes}
        self.name, self.region = processes[0].domain, processes[0].region
        others = {p.name: p.domain for p in fleet.processes if p is not processes[0]}
        self.groups = group_relays(processes[0].name, self.name, others, processes[0].map)
        self.me, self.loads, self.outcomes = self.groups.own[0], LoadRelay(), OutcomeRelay()

    def exchange(self) -> None:
        """Send what was received until the last time, and receive from the processes here."""
        world, groups = self.world, self.groups
        far = [ranked[0] for ranked in groups.far.values()]
        across = [ranked[0] for ranked in groups.across.values()] if groups.is_gateway else []
        for relay in (self.loads, self.outcomes):
            relay.set_recipients(self.by_name, far, across)
        updates = self.loads.compose_all(world.now)
        for name in (*self.by_name, *far, *across):
            update = updates.get(name) or LoadUpdate(False, {}, {})
            self._deliver(name, update, self.outcomes.take(name), name in across)
        for process in self.processes:
            views = process.views.items()
            shares = {name: view.share() for name, view in views if view.outstanding}
            self.loads.receive_update(process.name, shares, world.now, True)
            ended = {}
            for name, view in views:
                if view.unsent_parts:
                    self.loads.receive_parts(process.name, name, view.take_unsent_parts())
                if (outcomes := view.health.take_unsent_outcomes()) is not None:
                    ended[name] = outcomes
            if ended:
                self.outcomes.receive_update(process.name, ended, True)
        world.after(loads_interval_s(len(self.processes), True), self.exchange)

    def _deliver(
        self, name: str, update: LoadUpdate, outcomes: dict[str, Outcomes], is_across: bool
    ) -> None:
        if name in self.by_name:
            self.world.after(NEAR_S, self.by_name[name].apply, update, outcomes)
            return
        to, way_s = self.fleet.domain_of[name], NEAR_S
        if is_across:
            link = self.world.link(self.region, to.region)
            if link.is_cut:
                return
            counts = [UpstreamOutcome(key, *attrs.astuple(o)) for key, o in outcomes.items()]
            size = len(encode_update(self.region, update))
            size += len(encode(UpstreamOutcomes(counts))) if counts else 0
            way_s = link.peer_way_s(size, self.world.now)
        self.world.after(way_s, to.receive, self, update, outcomes, is_across)

    def receive(
        self, source: Domain, update: LoadUpdate, outcomes: dict[str, Outcomes], is_across: bool
    ) -> None:
        """Receive from the relay of another domain."""
        now, name = self.world.now, f"domain {source.name}"
        self.loads.receive_update(name, update.shares, now, False, update.is_whole, is_across)
        for upstream, parts in update.parts.items():
            self.loads.receive_parts(name, upstream, parts)
        self.outcomes.receive_update(source.me, outcomes, False)


class Fleet:
    """All processes of a world."""

    def __init__(self, world: World):
        self.world = world
        self.engines = {item.entry.id: item for item in world.engines}
        self.processes = [Process(self, number) for number in range(world.size)]
        by_domain: dict[str, list[Process]] = {}
        for process in self.processes:
            by_domain.setdefault(process.domain, []).append(process)
        domains = [Domain(self, found) for found in by_domain.values()]
        self.domain_of = {name: domain for domain in domains for name in domain.by_name}
        self.sends = self.across = self.outside = self.retries = self.bounds_broken = 0
        for domain in domains:
            world.after(world.rng.uniform(0.0, 0.01), domain.exchange)

    def engine(self, upstream: Upstream | None) -> Engine | None:
        """Return the engine of an upstream."""
        return None if upstream is None else self.engines[upstream.id]

    def record_send(
        self, process: Process, request: Request, engine: Engine, source: Engine | None
    ) -> None:
        """Count a send."""
        regions = {item.region for item in (engine, source) if item is not None}
        self.outside += request.stays_home and regions != {process.region}
        if request.at >= WARM_S:
            self.sends += 1
            self.across += engine.region != process.region

    def record_retry(self) -> None:
        """Count a request that is sent again and may run twice; the window is not over yet."""
        self.retries += 1
        arrived = sum(item.at <= self.world.now for item in self.world.requests)
        self.bounds_broken += self.retries > RETRY_RATIO * arrived + RETRY_BURST

    def arrive(self, request: Request) -> None:
        """Give a request to its process."""
        self.processes[request.process].arrive(request)

    def dispatch(self) -> None:
        """Let the processes evaluate the requests that wait."""
        for process in self.processes:
            if len(process.queue) and self.world.now >= process.next_at:
                process.evaluate()

    def read(self, engine: Engine, sent: Sent) -> None:
        """Send the first event of an answer to its process."""
        process, world = self.processes[sent.request.process], self.world
        link = world.link(engine.region, process.region)
        if link is not None and link.is_cut:
            world.after(BROKEN_S, process.fail, sent, True)
        else:
            way_s = NEAR_S if link is None else link.way_s(EVENT_BYTES, world.now)
            world.after(way_s, process.first_token, sent)

    def lose(self, engine: Engine, sent: Sent) -> None:
        """Break a request at an engine that is lost."""
        process = self.processes[sent.request.process]
        link = self.world.link(engine.region, process.region)
        self.world.after(NEAR_S if link is None else WAY_S, process.fail, sent, True)

    def unlist(self) -> None:
        """Remove the lost engines from the list."""
        for process in self.processes:
            for upstream in process.upstreams:
                upstream.is_removed = self.engine(upstream).is_removed


def encode_update(region: str, update: LoadUpdate) -> bytes:
    """Return the message that a gateway sends to another region."""
    loads = [
        UpstreamLoad(
            name,
            share.tokens,
            share.running,
            [PromptPart(*part) for part in update.parts.get(name, {}).items()],
        )
        for name, share in update.shares.items()
    ]
    return encode(LoadsOfDomain(f"region {region}", update.is_whole, loads))
