"""Where a prompt is read: predicted time to the first token against tokens read again."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import attrs

from ._choice import rank_homes, usable_upstreams
from ._prefill import PrefillModel
from ._prompts import Prompt
from ._upstreams import Upstream

REREAD_WEIGHT = 16.0
"""Times that the reading of shared tokens counts beside its own time: it delays all that run there,
and the tokens push others out of memory."""

OVERDUE_SHARE = 0.5
"""Part of the age of the oldest unanswered request that counts as delay of a new one."""


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
    tokens : int
        Prompt tokens that are read for the request.
    is_warm : bool
        Whether all shared parts are in memory there.
    """

    upstream: Upstream
    first_token_s: float
    backlog_s: float
    tokens: int
    is_warm: bool


def place_prompt(
    upstreams: Sequence[Upstream],
    prompt: Prompt,
    model: PrefillModel,
    tried: Collection[str],
    now: float,
) -> Placement | None:
    """Return the best placement of a prompt, None if no upstream may be used.

    Notes
    -----
    Upstreams are ranked by the shared part, the same way at every process. The first is its home: a
    part that is nowhere is read there, so that each part takes memory at one upstream only. Home is
    left for another upstream when the wait there is longer than what the reading would cost.
    """
    candidates = usable_upstreams(upstreams, tried, now)
    best: Placement | None = None
    best_cost = float("inf")
    for rank, upstream in enumerate(rank_homes(candidates, prompt.key)):
        placement = _estimate(upstream, prompt, model, now)
        shared = 0 if rank == 0 else max(0, placement.tokens - prompt.own_tokens)
        cost = placement.first_token_s + REREAD_WEIGHT * shared * model.token_s
        if cost < best_cost:
            best, best_cost = placement, cost
    return best


def _estimate(upstream: Upstream, prompt: Prompt, model: PrefillModel, now: float) -> Placement:
    missing = upstream.memory.missing(prompt)
    backlog = upstream.pending.tokens(now)
    factor = upstream.speed.value(now)
    predicted = model.predict(backlog + missing) * factor
    overdue = OVERDUE_SHARE * upstream.pending.oldest_s(now)
    return Placement(
        upstream,
        max(predicted, overdue),
        backlog * model.token_s * factor,
        missing,
        missing <= prompt.own_tokens,
    )
