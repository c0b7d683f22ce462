"""Where a prompt is read: what it gains there against what it costs the others."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import attrs

from ._choice import rank_homes, usable_upstreams
from ._engine_model import EngineModel
from ._mechanisms import Mechanism
from ._prompts import Prompt
from ._upstreams import Upstream

READ_HARM = 0.7
"""Delay that the reading of shared tokens counts for, beside its own time, for each request that
runs at the upstream, in times of that time. All that runs there waits meanwhile, and the tokens
push others out of memory, which are then read again in their turn."""

WRITE_HARM = 0.08
"""Delay that the reading of any tokens counts for, for each request that runs at the upstream, in
times of the reading. While a prompt is read, the answers beside it are written four to five times
more slowly, and long ones run out of time. With it long prompts and long answers part."""

FETCH_SHARE = 0.35
"""Part of the same delay that fetching shared tokens from another upstream counts for: the fetch
takes some hundredths of the time, but the tokens then take memory and time of the link at
both."""

FULL_COST_S = 1.0
"""Cost of an upstream whose places are all taken, seconds: a request waits there until an answer of
the usual length ends, while another upstream may have a place at once."""

HOMES_LOOKED_AT = 6
HOLDERS_LOOKED_AT = 3
"""Upstreams that one decision weighs: the first homes of the shared part, which for each part are
others, and those that hold most of the prompt. More hardly find a better one, and a decision would
take longer with each upstream: small processes would notice late that a caller has left."""

MANY_PROCESSES = 16
HOMES_OF_MANY = 3
"""Homes that one decision weighs where this many processes or more decide. Figures of the others
are some hundredths of a second old, so that all who look at many upstreams find the same one idle
at the same moment and send their prompts there, one behind the other."""

APART_COST_S = 1.0
"""Cost of a steady stream beside long prompts, or of a long prompt beside steady streams, seconds:
as much as a place that is not free, so that it only happens where the others are overrun."""

OTHERS_LOOKED_AT = 2
"""Upstreams beyond those meant for a request that one decision weighs while some are set apart."""

OVERDUE_SHARE = 0.5
"""Part of the age of the oldest unanswered request that counts as delay of a new one."""


@attrs.frozen
class Demand:
    """What one request asks of an upstream.

    Parameters
    ----------
    prompt : Prompt
    target_s : float
        Time in which the first token is due, seconds.
    patience_s : float
        Time in which the whole answer is due, seconds.
    short_s : float
        Reading time up to which the prompt overtakes others at the upstream, seconds.
    is_steady : bool
        Whether the answer must be written more steadily than others.
    """

    prompt: Prompt
    target_s: float
    patience_s: float
    short_s: float = 0.0
    is_steady: bool = False


@attrs.frozen
class Placement:
    """An upstream for one request.

    Parameters
    ----------
    upstream : Upstream
    first_token_s : float
        Predicted time to the first token, seconds.
    backlog_s : float
        The part of it that the reading of other prompts takes, seconds.
    answer_s : float
        Predicted time from the first token to the end of the answer, seconds.
    tokens : int
        Prompt tokens that are read for the request.
    is_warm : bool
        Whether all shared parts are in memory there or are fetched.
    source : Upstream or None
        Where the upstream fetches shared parts from that it does not have.
    fetched_tokens : int
        Prompt tokens that it fetches.
    is_short : bool
        Whether the reading is so short that the request overtakes others.
    """

    upstream: Upstream
    first_token_s: float
    backlog_s: float
    answer_s: float
    tokens: int
    is_warm: bool
    source: Upstream | None = None
    fetched_tokens: int = 0
    is_short: bool = False


class PlacementRound:
    """The upstreams of a service at one moment, for the decisions of that moment.

    Parameters
    ----------
    upstreams : sequence of Upstream
        Of the service.
    model : EngineModel
    now : float
    """

    def __init__(self, upstreams: Sequence[Upstream], model: EngineModel, now: float):
        self.upstreams = upstreams
        self.model = model
        self.now = now
        self._usable = usable_upstreams(upstreams, (), now, model.switches)
        self._set_apart: frozenset[str] = frozenset()
        if model.switches.uses(Mechanism.SET_APART):
            # Of all that take work, sound or not: the choice must not change with each failure.
            self._set_apart = model.pace.choose([item for item in upstreams if item.takes_work()])

    def place(self, demand: Demand, tried: Collection[str] = ()) -> Placement | None:
        """Return the best placement of a prompt, None if no upstream may be used.

        Parameters
        ----------
        demand : Demand
        tried : collection of str
            Ids of the upstreams that the request was sent to already.

        Notes
        -----
        Upstreams are ranked by the shared part, the same way at every process. The first is its
        home: a part that is nowhere is read there, so that each part takes memory at one upstream
        only. Home is left for another upstream when the wait there is longer than what the reading
        would cost.

        The time of the answer counts in proportion to the patience of the caller as the time to the
        first token does to the target. Without it, long answers gather where much is read and run
        out of time there.
        """
        prompt = demand.prompt
        holders = find_holders(self.upstreams, prompt, self.now)
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
        """Return the upstreams that are looked at, the home of the prompt first."""
        prompt = demand.prompt
        homes = HOMES_LOOKED_AT if self.model.processes < MANY_PROCESSES else HOMES_OF_MANY
        usable = self._usable
        if tried:
            usable = usable_upstreams(self.upstreams, tried, self.now, self.model.switches)
        if self._set_apart:
            meant = [item for item in usable if self._is_apart(item) == demand.is_steady]
            others = [item for item in usable if self._is_apart(item) != demand.is_steady]
            found = rank_homes(meant, prompt.key, homes)
            found += rank_homes(others, prompt.key, OTHERS_LOOKED_AT)
        else:
            found = rank_homes(usable, prompt.key, homes)
        for holder in holders[:HOLDERS_LOOKED_AT]:
            if holder.upstream in usable and holder.upstream not in found:
                found.append(holder.upstream)
        return found

    def _is_apart(self, upstream: Upstream) -> bool:
        return upstream.id in self._set_apart

    def _cost(self, placement: Placement, demand: Demand, rank: int) -> float:
        """Return what a placement costs the request and those beside it, seconds."""
        answer_weight = 0.0
        if self.model.switches.uses(Mechanism.ANSWER_PACE):
            answer_weight = demand.target_s / demand.patience_s
        cost = placement.first_token_s + answer_weight * placement.answer_s
        cost += _harm(placement, demand.prompt, rank, self.model, self.now)
        if placement.is_short:
            # It overtakes what is to be read there, but its answer is written slowly beside it.
            cost += placement.backlog_s
        if not placement.upstream.has_place(self.now):
            cost += FULL_COST_S
        if self._set_apart and self._is_apart(placement.upstream) != demand.is_steady:
            cost += APART_COST_S
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


def _harm(placement: Placement, prompt: Prompt, rank: int, model: EngineModel, now: float) -> float:
    """Return what a placement costs the other requests at the upstream, seconds."""
    upstream = placement.upstream
    # A part that is nowhere must be read at some upstream, and the first one is that.
    is_home = rank == 0 and model.switches.uses(Mechanism.HOMES)
    shared = 0 if is_home else max(0, placement.tokens - prompt.own_tokens)
    reread_s = model.reading_s(upstream, shared + FETCH_SHARE * placement.fetched_tokens, now)
    read_s = model.reading_s(upstream, placement.tokens, now)
    running = upstream.running(now)
    read_harm = READ_HARM * running if model.switches.uses(Mechanism.READ_HARM) else 0.0
    write_harm = WRITE_HARM * running if model.switches.uses(Mechanism.WRITE_HARM) else 0.0
    return (1 + read_harm) * reread_s + write_harm * read_s


@attrs.frozen
class Holder:
    """An upstream that has a prompt from its beginning on, but for some tokens."""

    upstream: Upstream
    missing: int


def find_holders(upstreams: Sequence[Upstream], prompt: Prompt, now: float) -> list[Holder]:
    """Return the upstreams that hold parts of a prompt, the fullest first.

    One that leaves still hands out what it has; one that does not answer would be waited for.
    """
    first = prompt.parts[0][0]
    held = [
        Holder(item, item.memory.unread(prompt))
        for item in upstreams
        if item.memory.holds(first) and not item.gone and not item.health.suspended(now)
    ]
    held = [holder for holder in held if holder.missing < prompt.tokens]
    return sorted(held, key=lambda holder: (holder.missing, holder.upstream.id))


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
    overdue = OVERDUE_SHARE * upstream.pending.oldest_s(now)
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
    """Return where missing tokens come from faster than they are read, and how many do."""
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
