"""Placement of prompts by the time a request gains at an upstream and the delay of others there."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence

import attrs

from ..regions import Homes, RegionMap
from ._choice import rank_preferred_upstreams, spread_of_part, usable_upstreams
from ._demand import Demand, Placement
from ._engine_model import EngineModel
from ._mechanisms import Mechanism
from ._prompts import Prompt
from ._upstream import Upstream

SHARED_READ_COST_PER_RUNNING = 0.7
"""Cost of reading shared tokens a second time, per running request at the upstream, as a multiple
of their reading time. All running requests are delayed meanwhile, and the tokens evict others from
memory, which must then be read again."""

READ_COST_PER_RUNNING = 0.08
"""Cost of reading any tokens, per running request at the upstream, as a multiple of the reading
time. While a prompt is read, the answers of running requests are generated four to five times more
slowly, and long ones exceed their time limits. The cost places long prompts and long answers at
different upstreams."""

FETCH_COST_SHARE = 0.35
"""Share of the cost of a second read that fetching shared tokens from another upstream has: the
fetch takes some hundredths of the time, but the tokens then occupy memory and link time at both
upstreams."""

FULL_UPSTREAM_COST_S = 1.0
"""Cost of an upstream without a free place, seconds: a request waits there until an answer of the
usual length ends, while another upstream may have a free place at once."""

PREFERRED_CANDIDATES = 6
HOLDER_CANDIDATES = 3
"""Upstreams that one decision evaluates: the first ones in the preference order of the shared part,
which differs between parts, and those that hold most of the prompt. More candidates hardly improve
the result, and the time of a decision grows with each: processes with little processor time
would detect late that a caller has disconnected."""

LARGE_FLEET_PROCESSES = 16
PREFERRED_CANDIDATES_LARGE_FLEET = 3
"""Preferred upstreams that one decision evaluates where at least ``LARGE_FLEET_PROCESSES``
processes decide. Loads received from other processes are some hundredths of a second old, so with
many candidates all processes find the same upstream idle at the same moment and send their prompts
there, where they queue behind each other."""

RESERVATION_MISMATCH_COST_S = 1.0
"""Cost of a steady stream at an upstream that is not reserved for such streams, or of any other
request at a reserved one, seconds: the same as for an upstream without a free place, so that it
only happens where the matching upstreams are overloaded."""

FALLBACK_CANDIDATES = 2
"""Upstreams that one decision evaluates although they do not match the request: unreserved ones for
a steady stream, reserved ones for any other request."""

SPILL_REGIONS = 2
"""Other regions of which one decision evaluates an upstream, the nearest ones. One upstream of
each: the processes of a hot region would fall upon all idle ones of a cool region at once."""

PROMPTS_PER_FREE_PLACE = 2.0
"""Prompts that may use a free place beyond their preferred upstreams, for each place, if every
process has one that waits."""

NEARLY_EQUAL_SHARE = 0.05
"""Difference between costs up to which the nearer upstream is used, as a share of the target."""

OLDEST_WAIT_SHARE = 0.5
"""Lower limit of the predicted delay of a new request, as a share of the age of the oldest
unanswered request at the upstream."""


class PlacementRound:
    """A snapshot of the upstreams of a service, for all decisions of one moment.

    Parameters
    ----------
    upstreams : sequence of Upstream
        All upstreams of the service.
    model : EngineModel
    now : float
    """

    def __init__(self, upstreams: Sequence[Upstream], model: EngineModel, now: float):
        self.upstreams = upstreams
        self.model = model
        self.now = now
        self._usable = usable_upstreams(upstreams, (), now, model.switches)
        self._is_restricted = any(item.is_restricted(now) for item in upstreams)
        self._usable_inside: dict[Homes, Sequence[Upstream]] = {}
        self._reserved: frozenset[str] = frozenset()
        if model.switches.uses(Mechanism.SET_APART):
            # Healthy or not, all that accept work: the choice must not change with each failure.
            self._reserved = model.steady_reservation.choose(
                [item for item in upstreams if item.accepts_work()]
            )

    def place(self, demand: Demand, tried: Collection[str] = ()) -> Placement | None:
        """Return the best placement of a prompt, None if no upstream may be used.

        Parameters
        ----------
        demand : Demand
        tried : collection of str
            Ids of the upstreams that the request has been sent to already.

        Notes
        -----
        All processes rank the upstreams by the shared part in the same order. The first one is the
        preferred upstream of the part: a part that no upstream holds is read there, so that each
        part occupies memory at one upstream only. Another upstream is used when waiting at the
        preferred one takes longer than reading the part again would cost.

        The time of the answer is weighted by the target divided by the patience of the caller: it
        counts in proportion to the patience as the time to the first token does to the target.
        Without it, long answers accumulate at upstreams that read much and exceed their time limits
        there.
        """
        prompt = demand.prompt
        fitting: Iterable[Upstream] = self.upstreams
        if demand.software_version is not None or demand.homes is not None:
            fitting = filter(demand.accepts, fitting)
        holders = find_holders(fitting, prompt, self.now)
        if self.model.region_map.has_several:
            return self._place_over_regions(demand, holders, tried)
        best: Placement | None = None
        best_cost = float("inf")
        for rank, upstream in enumerate(self._list_candidates(demand, holders, tried)):
            placement = _estimate(upstream, demand, holders, self.model, self.now)
            cost = self._cost(placement, demand, rank)
            if cost < best_cost:
                best, best_cost = placement, cost
        return best

    def _place_over_regions(
        self, demand: Demand, holders: Sequence[Holder], tried: Collection[str]
    ) -> Placement | None:
        """Return the best placement where upstreams lie in several regions.

        Notes
        -----
        Each region has its own preferred upstream of a part, since reading a part again in another
        region costs less than that all prompts with it cross. Among placements that cost nearly the
        same, a nearer one is used: bytes between failure domains are not free.
        """
        regions, now = self.model.region_map, self.now
        ranked = _rank_by_region(holders, regions)
        primary, candidates = self._choose_over_regions(demand, tried, ranked)
        is_held = any(
            holder.missing <= demand.prompt.own_tokens
            and regions.region_of(_domain(holder.upstream)) == primary
            for holder in holders
        )
        found = []
        for rank, upstream in enumerate(candidates):
            placement = _estimate_over_regions(upstream, demand, ranked, self.model, now)
            cost = self._cost(placement, demand, max(rank, int(is_held)))
            found.append((cost, placement))
        least = min((cost for cost, _ in found), default=0.0)
        close = [item for item in found if item[0] <= least + NEARLY_EQUAL_SHARE * demand.target_s]
        chosen = min(
            close, key=lambda item: (regions.ring(_domain(item[1].upstream)), item[0]), default=None
        )
        return None if chosen is None else chosen[1]

    def _choose_over_regions(
        self, demand: Demand, tried: Collection[str], holders: Sequence[Holder]
    ) -> tuple[str | None, list[Upstream]]:
        """Return the region that a prompt prefers and the candidates, those of this region first.

        The own region is preferred, or the nearest one if the own has no upstream for the prompt.
        """
        regions, delays = self.model.region_map, self.model.delays
        usable = self._list_usable(demand, tried)
        by_region: dict[str | None, list[Upstream]] = {}
        for item in usable:
            by_region.setdefault(regions.region_of(_domain(item)), []).append(item)
        nearest = sorted(
            by_region,
            key=lambda region: (
                region != regions.own_region,
                delays.way_s(region),
                region or "",
            ),
        )
        if not nearest:
            return regions.own_region, []
        primary, *others = nearest
        if demand.is_suspect:
            return primary, self._least_needed(by_region[primary])
        found = self._rank_candidates(demand, by_region[primary])
        for region in others[:SPILL_REGIONS]:
            found += self._rank_candidates(demand, by_region[region], 1)
        return primary, self._add_holders(found, holders, usable)

    def _list_usable(self, demand: Demand, tried: Collection[str]) -> Sequence[Upstream]:
        """Return the upstreams that a request may be sent to."""
        homes = demand.homes
        usable = self._usable if homes is None else self._usable_inside.get(homes)
        # A request that has started in this round may have used the last start that was held.
        if usable is None or tried or self._is_restricted:
            # Those outside are removed first: an upstream inside that fails is used if no other is
            # left there, however healthy the others are.
            inside = self.upstreams
            if homes is not None:
                inside = [item for item in inside if homes.allows_domain(_domain(item))]
            usable = usable_upstreams(inside, tried, self.now, self.model.switches)
            if homes is not None and not tried:
                self._usable_inside[homes] = usable
        if demand.software_version is not None:
            usable = list(filter(demand.accepts, usable))
        return usable

    def _list_candidates(
        self, demand: Demand, holders: Sequence[Holder], tried: Collection[str]
    ) -> list[Upstream]:
        """Return the candidate upstreams, the preferred one of the prompt first."""
        usable = self._list_usable(demand, tried)
        if demand.is_suspect:
            return self._least_needed(usable)
        return self._add_holders(self._rank_candidates(demand, usable), holders, usable)

    def _rank_candidates(
        self, demand: Demand, usable: Sequence[Upstream], most: int | None = None
    ) -> list[Upstream]:
        """Return the preferred upstreams of a prompt, at most some of them.

        If none of them has a free place, the preferred ones among those that have one are added,
        for as many prompts as there are places: all processes know of the same places.
        """
        prompt = demand.prompt
        preferred_count = most or (
            PREFERRED_CANDIDATES
            if self.model.processes < LARGE_FLEET_PROCESSES
            else PREFERRED_CANDIDATES_LARGE_FLEET
        )
        if self._reserved:
            matching = [item for item in usable if self._is_reserved(item) == demand.is_steady]
            mismatched = [item for item in usable if self._is_reserved(item) != demand.is_steady]
            found = rank_preferred_upstreams(matching, prompt.key, preferred_count)
            found += rank_preferred_upstreams(mismatched, prompt.key, FALLBACK_CANDIDATES)
            found = found[:most]
        else:
            found = rank_preferred_upstreams(usable, prompt.key, preferred_count)
        if any(item.has_place(self.now) for item in found):
            return found
        free = [item for item in usable if item.has_place(self.now)]
        places = sum(item.entry.places - item.running(self.now) for item in free)
        if spread_of_part(prompt.key) * self.model.processes > PROMPTS_PER_FREE_PLACE * places:
            return found
        return found + rank_preferred_upstreams(free, prompt.key, preferred_count)

    def _add_holders(
        self, found: list[Upstream], holders: Sequence[Holder], usable: Sequence[Upstream]
    ) -> list[Upstream]:
        for holder in holders[:HOLDER_CANDIDATES]:
            if holder.upstream in usable and holder.upstream not in found:
                found.append(holder.upstream)
        return found

    def _least_needed(self, usable: Sequence[Upstream]) -> list[Upstream]:
        """Return the upstream whose loss costs least: not the last of its version, little used."""
        versions = Counter(item.entry.software_version for item in usable)

        def cost(item: Upstream) -> tuple[bool, int]:
            return (versions[item.entry.software_version] == 1, item.running(self.now))

        return sorted(usable, key=cost)[:1]

    def _is_reserved(self, upstream: Upstream) -> bool:
        return upstream.id in self._reserved

    def _cost(self, placement: Placement, demand: Demand, rank: int) -> float:
        """Return the cost of a placement for the request and for those beside it, seconds."""
        answer_weight = 0.0
        if self.model.switches.uses(Mechanism.ANSWER_PACE):
            answer_weight = demand.target_s / demand.patience_s
        cost = placement.first_token_s + answer_weight * placement.answer_s
        cost += _slowdown_cost_s(placement, demand.prompt, rank, self.model, self.now)
        if placement.is_short:
            # It overtakes the prompts in the backlog, but reading them slows its answer down.
            cost += placement.backlog_s
        if not placement.upstream.has_place(self.now):
            cost += FULL_UPSTREAM_COST_S
        if self._reserved and self._is_reserved(placement.upstream) != demand.is_steady:
            cost += RESERVATION_MISMATCH_COST_S
        return cost


def place_prompt(
    upstreams: Sequence[Upstream],
    demand: Demand,
    model: EngineModel,
    tried: Collection[str],
    now: float,
) -> Placement | None:
    """Return the best placement of a single prompt; see :meth:`PlacementRound.place`."""
    return PlacementRound(upstreams, model, now).place(demand, tried)


def _slowdown_cost_s(
    placement: Placement, prompt: Prompt, rank: int, model: EngineModel, now: float
) -> float:
    """Return the cost of a placement for the other requests at the upstream, seconds."""
    upstream = placement.upstream
    # A part that no upstream holds must be read once somewhere: at the preferred upstream.
    is_preferred = rank == 0 and model.switches.uses(Mechanism.HOMES)
    shared = 0 if is_preferred else max(0, placement.tokens - prompt.own_tokens)
    reread_s = model.reading_s(upstream, shared + FETCH_COST_SHARE * placement.fetched_tokens, now)
    read_s = model.reading_s(upstream, placement.tokens, now)
    running = upstream.running(now)
    shared_factor = (
        SHARED_READ_COST_PER_RUNNING * running if model.switches.uses(Mechanism.READ_HARM) else 0.0
    )
    read_factor = (
        READ_COST_PER_RUNNING * running if model.switches.uses(Mechanism.WRITE_HARM) else 0.0
    )
    return (1 + shared_factor) * reread_s + read_factor * read_s


@attrs.frozen
class Holder:
    """An upstream that holds a prompt from its beginning, all but ``missing`` tokens."""

    upstream: Upstream
    missing: int


def find_holders(upstreams: Iterable[Upstream], prompt: Prompt, now: float) -> list[Holder]:
    """Return the upstreams that hold parts of a prompt, those with the fewest missing tokens first.

    An upstream that drains according to the list still serves fetches of its parts. One that is
    unreachable is left out, since the request would wait for the fetch in vain, and so is one that
    has stated that it leaves, wants a rest or is cold, or whose failure domain is evacuated: a
    fetch is a request to it, too.
    """
    first = prompt.parts[0][0]
    held = [
        Holder(item, item.memory.unread(prompt))
        for item in upstreams
        if item.memory.holds(first) and not item.is_removed and _serves_fetches(item, now)
    ]
    held = [holder for holder in held if holder.missing < prompt.tokens]
    return sorted(held, key=lambda holder: (holder.missing, holder.upstream.id))


def _serves_fetches(upstream: Upstream, now: float) -> bool:
    statements = upstream.statements
    may_send = statements.rest.may_send(now) and not statements.leaving.in_force
    may_send = may_send and not upstream.cold.binds(now) and not upstream.is_evacuated
    return may_send and not upstream.health.suspended(now)


def _rank_by_region(holders: Sequence[Holder], regions: RegionMap) -> list[Holder]:
    """Return holders with the fewest missing tokens first, and among equals the nearest."""
    return sorted(
        holders,
        key=lambda holder: (holder.missing, regions.ring(_domain(holder.upstream))),
    )


def _domain(upstream: Upstream) -> str:
    return upstream.entry.failure_domain


def _estimate_over_regions(
    upstream: Upstream,
    demand: Demand,
    holders: Sequence[Holder],
    model: EngineModel,
    now: float,
) -> Placement:
    """Return the placement at an upstream, with the ways to it and to the fetch source."""
    regions, delays = model.region_map, model.delays
    region = regions.region_of(_domain(upstream))
    way_s = demand.round_trips * delays.way_s(region)
    missing = upstream.memory.missing(demand.prompt)
    source, fetched, gain_s, fetch_way_s = None, 0, 0.0, 0.0
    for holder in holders if model.switches.uses(Mechanism.FETCHES) else ():
        tokens = missing - holder.missing
        if tokens <= 0:
            break
        if holder.upstream is upstream:
            continue
        between_s = delays.between_s(region, regions.region_of(_domain(holder.upstream)))
        gained_s = model.reading_s(upstream, tokens, now) - model.fetch_s(tokens) - between_s
        if gained_s > gain_s:
            source, fetched = holder.upstream, tokens
            gain_s, fetch_way_s = gained_s, between_s
    return _predict(upstream, demand, source, missing, fetched, model, now, way_s + fetch_way_s)


def _estimate(
    upstream: Upstream,
    demand: Demand,
    holders: Sequence[Holder],
    model: EngineModel,
    now: float,
) -> Placement:
    missing = upstream.memory.missing(demand.prompt)
    source, fetched = _find_source(upstream, missing, holders, model, now)
    return _predict(upstream, demand, source, missing, fetched, model, now)


def _predict(
    upstream: Upstream,
    demand: Demand,
    source: Upstream | None,
    missing: int,
    fetched: int,
    model: EngineModel,
    now: float,
    way_s: float = 0.0,
) -> Placement:
    """Return the placement at an upstream that fetches some of the missing tokens."""
    prompt = demand.prompt
    read = missing - fetched
    backlog = upstream.pending.tokens(now)
    is_short = model.reading_s(upstream, read, now) <= demand.short_s
    ahead = 0 if is_short else backlog
    predicted = model.first_token_s(upstream, ahead + read, now, is_short)
    if source is not None:
        predicted += model.fetch_s(fetched)
    overdue = OLDEST_WAIT_SHARE * upstream.pending.oldest_s(now)
    return Placement(
        upstream,
        max(predicted, overdue) + way_s,
        model.reading_s(upstream, backlog, now),
        model.answer_s(upstream, prompt.answer_tokens, now),
        read,
        read <= prompt.own_tokens,
        source,
        fetched,
        is_short,
        way_s,
    )


def _find_source(
    upstream: Upstream, missing: int, holders: Sequence[Holder], model: EngineModel, now: float
) -> tuple[Upstream | None, int]:
    """Return the upstream to fetch missing tokens from, if that is faster, and their number."""
    if not model.switches.uses(Mechanism.FETCHES):
        return None, 0
    for holder in holders:
        fetched = missing - holder.missing
        if fetched <= 0:
            break
        if holder.upstream is upstream:
            continue
        if model.fetch_s(fetched) < model.reading_s(upstream, fetched, now):
            return holder.upstream, fetched
    return None, 0
