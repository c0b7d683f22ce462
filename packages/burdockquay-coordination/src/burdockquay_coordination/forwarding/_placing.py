"""Where a prompt is read: what it gains there against what it costs the others."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import attrs

from ._choice import rank_homes, usable_upstreams
from ._engine_model import EngineModel
from ._prompts import Prompt
from ._upstreams import Upstream

READ_HARM = 0.7
"""Delay that the reading of shared tokens counts for, beside its own time, for each request that
runs at the upstream, in times of that time. All that runs there waits meanwhile, and the tokens
push others out of memory, which are then read again in their turn. On four days of high load with
some twenty running requests at each engine, a fixed weight of 3 served 0.71, 0.72, 0.42 and 0.38 of
the possible worth, 8 served 0.76, 0.73, 0.51 and 0.42, and 16 served 0.78, 0.74, 0.49 and 0.44."""

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
    """

    prompt: Prompt
    target_s: float
    patience_s: float


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
        Whether all shared parts are in memory there.
    """

    upstream: Upstream
    first_token_s: float
    backlog_s: float
    answer_s: float
    tokens: int
    is_warm: bool


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
    candidates = usable_upstreams(upstreams, tried, now)
    prompt = demand.prompt
    answer_weight = demand.target_s / demand.patience_s
    best: Placement | None = None
    best_cost = float("inf")
    for rank, upstream in enumerate(rank_homes(candidates, prompt.key)):
        placement = _estimate(upstream, prompt, model, now)
        shared = 0 if rank == 0 else max(0, placement.tokens - prompt.own_tokens)
        reread_s = model.reading_s(upstream, shared, now)
        cost = placement.first_token_s + answer_weight * placement.answer_s
        cost += (1 + READ_HARM * upstream.running(now)) * reread_s
        if upstream.running(now) >= upstream.entry.places:
            cost += FULL_COST_S
        if cost < best_cost:
            best, best_cost = placement, cost
    return best


def _estimate(upstream: Upstream, prompt: Prompt, model: EngineModel, now: float) -> Placement:
    missing = upstream.memory.missing(prompt)
    backlog = upstream.pending.tokens(now)
    predicted = model.first_token_s(upstream, backlog + missing, now)
    overdue = OVERDUE_SHARE * upstream.pending.oldest_s(now)
    return Placement(
        upstream,
        max(predicted, overdue),
        model.reading_s(upstream, backlog, now),
        model.answer_s(upstream, prompt.answer_tokens, now),
        missing,
        missing <= prompt.own_tokens,
    )
