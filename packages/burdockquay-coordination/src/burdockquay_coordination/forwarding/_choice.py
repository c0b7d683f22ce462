"""Choice of the upstream for a request."""

from __future__ import annotations

import functools
import heapq
import random
from collections.abc import Collection, Sequence
from hashlib import blake2b

from ..regions import SINGLE_REGION, RegionDelays, RegionMap
from ._mechanisms import ALL_ON, Mechanism, Switches
from ._upstream import Upstream

REMOTE_DOMAIN_COST = 0.3
"""Added to the number of outstanding requests of an upstream in another failure domain. It is below
1, so it decides only between upstreams with equally many outstanding requests."""

PLAIN_REQUEST_S = 0.025
"""Usual duration of a plain request, seconds: the way to another region costs as many outstanding
requests as run one after the other in that time."""


def choose_upstream(
    upstreams: Sequence[Upstream],
    failure_domain: str,
    tried: Collection[str],
    now: float,
    rng: random.Random,
    switches: Switches = ALL_ON,
    delays: RegionDelays | None = None,
    round_trips: int = 2,
) -> Upstream | None:
    """Return the upstream for one send of a plain request, None if none may be used.

    Parameters
    ----------
    upstreams : sequence of Upstream
        Upstreams of the requested service.
    failure_domain : str
        Failure domain of this process.
    tried : collection of str
        Ids of the upstreams that the request has been sent to already.
    now : float
    rng : random.Random
    switches : Switches
    delays : RegionDelays or None
        Distances of the regions; None where the settings name none.
    round_trips : int
        Round trips before an upstream can read it: 2 if it needs a new connection.
    """
    candidates = usable_upstreams(upstreams, tried, now, switches)
    if not candidates:
        return None
    if delays is not None and delays.region_map.has_several:
        return _least_outstanding_over_regions(
            candidates, failure_domain, rng, delays, round_trips / PLAIN_REQUEST_S
        )
    return _least_outstanding(candidates, failure_domain, rng)


def choose_backup(
    upstreams: Sequence[Upstream],
    serving: Upstream,
    now: float,
    rng: random.Random,
    region_map: RegionMap = SINGLE_REGION,
) -> Upstream | None:
    """Return the upstream that keeps a copy of another one's stream, None if there is none.

    It is in another failure domain if possible, since a whole domain can fail at once, and in the
    same region if there is such a domain, since the copy would cross otherwise. Among those, it has
    the fewest running requests, which share its memory with the copy. One that limits its requests
    or recovers from a rest is not used: the run could not continue there at once.
    """
    others = [
        item
        for item in usable_upstreams(upstreams, (serving.id,), now)
        if not item.is_restricted(now)
    ]

    region = region_map.region_of(serving.entry.failure_domain)

    def cost(item: Upstream) -> tuple[bool, bool, int, float]:
        domain = item.entry.failure_domain
        same_domain = domain == serving.entry.failure_domain
        other_region = region_map.region_of(domain) != region
        return (same_domain, other_region, item.running(now), rng.random())

    return min(others, key=cost, default=None)


def usable_upstreams(
    upstreams: Sequence[Upstream],
    tried: Collection[str],
    now: float,
    switches: Switches = ALL_ON,
) -> Sequence[Upstream]:
    """Return the upstreams that a request may be sent to, only the healthy ones if there are any.

    Those whose limit or rest allows no request of this process now are left out in any case.

    Notes
    -----
    Upstreams that fail many requests or could not be reached are used only if no other is left:
    rejecting all work because every upstream looks unhealthy would turn a small fault into an
    outage.
    """
    usable = [
        item
        for item in upstreams
        if item.accepts_work() and item.id not in tried and item.may_start(now)
    ]
    reached = usable
    if switches.uses(Mechanism.SUSPENSION):
        reached = [item for item in usable if not item.health.suspended(now)]
    healthy = reached
    if switches.uses(Mechanism.FAILURE_SHARE):
        healthy = [item for item in reached if not item.health.is_degraded(now)]
    return healthy or reached or usable


def spare_upstreams(upstreams: Sequence[Upstream], rank: int, now: float) -> Sequence[Upstream]:
    """Return the upstreams that may receive the work of resting ones, for a plain request.

    While an upstream of a service rests, only requests of the first rank go where no place is free.
    Otherwise the others would turn requests away in their turn.

    Parameters
    ----------
    upstreams : sequence of Upstream
        Upstreams of one service.
    rank : int
        Rank of the request; 0 is the first.
    now : float
    """
    # A rest in an evacuated domain does not end there, since it recovers by requests.
    if rank == 0 or not any(
        item.statements.rest.binds(now) and not item.is_evacuated for item in upstreams
    ):
        return upstreams
    return [item for item in upstreams if item.has_place(now)]


def held_back_upstreams(
    upstreams: Sequence[Upstream], tried: Collection[str], now: float
) -> Sequence[Upstream]:
    """Return the upstreams that a request may not be sent to because of what they have stated.

    Those of evacuated failure domains are included.
    """
    return [
        item
        for item in upstreams
        if not (item.is_removed or item.entry.leaving)
        and item.id not in tried
        and item.held_back_by(now) is not None
    ]


def rank_preferred_upstreams(
    candidates: Sequence[Upstream], part: str, count: int
) -> list[Upstream]:
    """Return the first upstreams in rendezvous-hash order of a prompt part.

    The order depends on the part and the upstream ids alone. All processes compute the same order
    without messages, and the removal of one upstream moves only the parts that it was first for.

    Parameters
    ----------
    candidates : sequence of Upstream
    part : str
    count : int
        Maximum number of upstreams to return.
    """
    return heapq.nlargest(count, candidates, key=lambda item: _rendezvous_weight(item.id, part))


def spread_of_part(part: str) -> float:
    """Return a number from 0 to 1 for a prompt part, which is spread evenly over the parts."""
    return int.from_bytes(_rendezvous_weight("", part)) / 2**64


def _least_outstanding(
    candidates: Sequence[Upstream], failure_domain: str, rng: random.Random
) -> Upstream:
    def cost(item: Upstream) -> tuple[float, float]:
        domain_cost = REMOTE_DOMAIN_COST if item.entry.failure_domain != failure_domain else 0.0
        return (item.outstanding + domain_cost, rng.random())

    return min(candidates, key=cost)


def _least_outstanding_over_regions(
    candidates: Sequence[Upstream],
    failure_domain: str,
    rng: random.Random,
    delays: RegionDelays,
    cost_per_way_s: float,
) -> Upstream:
    region_of = delays.region_map.region_of

    def cost(item: Upstream) -> tuple[float, float]:
        domain = item.entry.failure_domain
        domain_cost = REMOTE_DOMAIN_COST if domain != failure_domain else 0.0
        region_cost = delays.way_s(region_of(domain)) * cost_per_way_s
        return (item.outstanding + domain_cost + region_cost, rng.random())

    return min(candidates, key=cost)


@functools.lru_cache(maxsize=16384)
def _rendezvous_weight(id_: str, prompt_part: str) -> bytes:
    return blake2b(prompt_part.encode(), key=id_.encode()[:64], digest_size=8).digest()
