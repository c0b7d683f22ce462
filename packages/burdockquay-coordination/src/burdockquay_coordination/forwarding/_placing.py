"""Where a prompt is read: predicted time to the first token against tokens read again."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import attrs

from ._choice import rank_homes, usable_upstreams
from ._prefill import PrefillModel
from ._prompts import Prompt
from ._upstreams import Upstream

REREAD_WEIGHT = 2.0
"""Times that the reading of shared tokens counts beside its own time: it delays all that run there,
and the tokens push others out of memory."""

RANK_COST_S = 0.002
"""Cost of each place behind the first in the ranking by the shared part, seconds. Between upstreams
that are alike it makes all processes choose the same one for a part that none has in memory."""

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
        Whether the shared part is in memory there.
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
    An upstream that has the shared part in memory is left for another one when the wait there is
    longer than what the reading would cost.
    """
    candidates = usable_upstreams(upstreams, tried, now)
    best: Placement | None = None
    best_cost = float("inf")
    for rank, upstream in enumerate(rank_homes(candidates, prompt.key)):
        placement = _estimate(upstream, prompt, model, now)
        shared = 0 if placement.is_warm else prompt.shared_tokens
        reread_s = REREAD_WEIGHT * shared * model.token_s
        cost = placement.first_token_s + reread_s + RANK_COST_S * rank
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
        prompt.shared is None or upstream.memory.holds(prompt.shared),
    )
