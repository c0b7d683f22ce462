"""Placement of prompts by the time a request gains at an upstream and the delay of others there."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Sequence

import attrs

from ._choice import rank_preferred_upstreams, usable_upstreams
from ._engine_model import EngineModel
from ._mechanisms import Mechanism
from ._prompts import Prompt
from ._upstreams import Upstream

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

OLDEST_WAIT_SHARE = 0.5
"""Lower limit of the predicted delay of a new request, as a share of the age of the oldest
unanswered request at the upstream."""


@attrs.frozen
class Demand:
    """Requirements of one request.

    Parameters
    ----------
    prompt : Prompt
    target_s : float
        Target for the time to the first token, seconds.
    patience_s : float
        Time limit of the complete answer, seconds.
    short_s : float
        Reading time up to which the prompt overtakes others at the upstream, seconds.
    is_steady : bool
        Whether the answer is a steady stream: its target for pauses is stricter than that of
        other streams.
    software_version : str or None
        Software version of the upstreams that may write the answer; None for any.
    is_suspect : bool
        Whether the request may crash the upstream that begins to answer it.
    """

    prompt: Prompt
    target_s: float
    patience_s: float
    short_s: float = 0.0
    is_steady: bool = False
    software_version: str | None = None
    is_suspect: bool = False

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether an upstream may write the answer."""
        return self.software_version in (None, upstream.entry.software_version)


@attrs.frozen
class Placement:
    """A candidate upstream for one request, with the predicted times.

    Parameters
    ----------
    upstream : Upstream
    first_token_s : float
        Predicted time to the first token, seconds.
    backlog_s : float
        The share of it spent on reading other prompts, seconds.
    answer_s : float
        Predicted time from the first token to the end of the answer, seconds.
    tokens : int
        Prompt tokens that must be read for the request.
    is_cached : bool
        Whether all shared parts are cached at the upstream or are fetched.
    source : Upstream or None
        The upstream that missing shared parts are fetched from.
    fetched_tokens : int
        Prompt tokens that are fetched.
    is_short : bool
        Whether the reading time is short enough for the request to overtake others.
    """

    upstream: Upstream
    first_token_s: float
    backlog_s: float
    answer_s: float
    tokens: int
    is_cached: bool
    source: Upstream | None = None
    fetched_tokens: int = 0
    is_short: bool = False


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
        if demand.software_version is not None:
            fitting = filter(demand.accepts, fitting)
        holders = find_holders(fitting, prompt, self.now)
        best: Placement | None = None
        best_cost = float("inf")
        for rank, upstream in enumerate(self._list_candidates(demand, holders, tried)):
            placement = _estimate(upstream, demand, holders, self.model, self.now)
            cost = self._cost(placement, demand, rank)
            if cost < best_cost:
                best, best_cost = placement, cost
        return best

    def _list_candidates(
        self, demand: Demand, holders: Sequence[Holder], tried: Collection[str]
    ) -> list[Upstream]:
        """Return the candidate upstreams, the preferred one of the prompt first."""
        prompt = demand.prompt
        preferred_count = (
            PREFERRED_CANDIDATES
            if self.model.processes < LARGE_FLEET_PROCESSES
            else PREFERRED_CANDIDATES_LARGE_FLEET
        )
        usable = self._usable
        if tried or self._is_restricted:
            # A request that has started in this round may have used the last start that was held.
            usable = usable_upstreams(self.upstreams, tried, self.now, self.model.switches)
        if demand.software_version is not None:
            usable = list(filter(demand.accepts, usable))
        if demand.is_suspect:
            return self._least_needed(usable)
        if self._reserved:
            matching = [item for item in usable if self._is_reserved(item) == demand.is_steady]
            mismatched = [item for item in usable if self._is_reserved(item) != demand.is_steady]
            found = rank_preferred_upstreams(matching, prompt.key, preferred_count)
            found += rank_preferred_upstreams(mismatched, prompt.key, FALLBACK_CANDIDATES)
        else:
            found = rank_preferred_upstreams(usable, prompt.key, preferred_count)
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
    has stated that it leaves or wants a rest: a fetch is a request to it, too.
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
    return may_send and not upstream.health.suspended(now)


def _estimate(
    upstream: Upstream,
    demand: Demand,
    holders: Sequence[Holder],
    model: EngineModel,
    now: float,
) -> Placement:
    prompt = demand.prompt
    missing = upstream.memory.missing(prompt)
    source, fetched = _find_source(upstream, missing, holders, model, now)
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
        max(predicted, overdue),
        model.reading_s(upstream, backlog, now),
        model.answer_s(upstream, prompt.answer_tokens, now),
        read,
        read <= prompt.own_tokens,
        source,
        fetched,
        is_short,
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
