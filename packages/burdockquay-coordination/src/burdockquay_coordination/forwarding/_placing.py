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
push others out of memory, which are then read again in their turn. On four days of high load with
some twenty running requests at each engine, a fixed weight of 3 served 0.71, 0.72, 0.42 and 0.38 of
the possible worth, 8 served 0.76, 0.73, 0.51 and 0.42, and 16 served 0.78, 0.74, 0.49 and 0.44."""

WRITE_HARM = 0.08
"""Delay that the reading of any tokens counts for, for each request that runs at the upstream, in
times of the reading. While a prompt is read, the answers beside it are written four to five times
more slowly, and long ones run out of time. With it long prompts and long answers part: on eight
days with 30 to 100 requests a second 0.561 of the possible worth against 0.557 without."""

FETCH_SHARE = 0.125
"""Part of the same delay that fetching shared tokens from another upstream counts for: the fetch
takes some hundredths of the time, but the tokens then take memory at both."""

FULL_COST_S = 1.0
"""Cost of an upstream whose places are all taken, seconds: a request waits there until an answer of
the usual length ends, while another upstream may have a place at once."""

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
    """

    prompt: Prompt
    target_s: float
    patience_s: float
    short_s: float = 0.0


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


def place_prompt(
    upstreams: Sequence[Upstream],
    demand: Demand,
    model: EngineModel,
    tried: Collection[str],
    now: float,
) -> Placement | None:
    """Return the best placement of a prompt, None if no upstream may be used.

    Notes
    -----
    Upstreams are ranked by the shared part, the same way at every process. The first is its home: a
    part that is nowhere is read there, so that each part takes memory at one upstream only. Home is
    left for another upstream when the wait there is longer than what the reading would cost.

    The time of the answer counts in proportion to the patience of the caller as the time to the
    first token does to the target. Without it, long answers gather where much is read and run out
    of time there.
    """
    switches = model.switches
    candidates = usable_upstreams(upstreams, tried, now, switches)
    prompt = demand.prompt
    holders = []
    if switches.uses(Mechanism.FETCHES):
        holders = _find_holders(upstreams, prompt, now)
    answer_weight = 0.0
    if switches.uses(Mechanism.ANSWER_PACE):
        answer_weight = demand.target_s / demand.patience_s
    best: Placement | None = None
    best_cost = float("inf")
    for rank, upstream in enumerate(rank_homes(candidates, prompt.key)):
        placement = _estimate(upstream, demand, holders, model, now)
        cost = placement.first_token_s + answer_weight * placement.answer_s
        cost += _harm(placement, prompt, rank, model, now)
        if placement.is_short:
            # It overtakes what is to be read there, but its answer is written slowly beside it.
            cost += placement.backlog_s
        if not upstream.has_place(now):
            cost += FULL_COST_S
        if cost < best_cost:
            best, best_cost = placement, cost
    return best


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
class _Holder:
    """An upstream that has a prompt from its beginning on, but for some tokens."""

    upstream: Upstream
    missing: int


def _find_holders(upstreams: Sequence[Upstream], prompt: Prompt, now: float) -> list[_Holder]:
    """Return the upstreams that parts of a prompt can be fetched from, the fullest first.

    One that leaves still hands out what it has; one that does not answer would be waited for.
    """
    holders = [
        _Holder(item, item.memory.missing(prompt))
        for item in upstreams
        if not item.gone and not item.suspended(now)
    ]
    held = [holder for holder in holders if holder.missing < prompt.tokens]
    return sorted(held, key=lambda holder: (holder.missing, holder.upstream.id))


def _estimate(
    upstream: Upstream,
    demand: Demand,
    holders: Sequence[_Holder],
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
    upstream: Upstream, missing: int, holders: Sequence[_Holder], model: EngineModel, now: float
) -> tuple[Upstream | None, int]:
    """Return where missing tokens come from faster than they are read, and how many do."""
    for holder in holders:
        fetched = missing - holder.missing
        if fetched <= 0:
            break
        if holder.upstream is upstream:
            continue
        if model.fetch_s(fetched) < model.reading_s(upstream, fetched, now):
            return holder.upstream, fetched
    return None, 0
