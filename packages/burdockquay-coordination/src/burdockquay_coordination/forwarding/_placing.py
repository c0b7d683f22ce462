"""Where a prompt is read: predicted time to the first token against tokens read again."""

from __future__ import annotations

from collections.abc import Collection, Sequence

import attrs

from ._choice import rank_homes, usable_upstreams
from ._prefill import PrefillModel
from ._prompts import Prompt
from ._upstreams import Upstream

REREAD_WEIGHT = 3.0
"""Times that the reading of tokens which another upstream has in memory counts beside its own time:
the reading delays all that run there, and the tokens push others out of memory."""

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
    """

    upstream: Upstream
    first_token_s: float
    backlog_s: float
    tokens: int


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
    Upstreams are ranked by the shared part of the prompt in the same way at each process. The first
    is taken to have the part in memory, so that all processes send it there; another one is taken
    when the wait there is longer than what the reading would cost.
    """
    candidates = usable_upstreams(upstreams, tried, now)
    best: Placement | None = None
    best_cost = float("inf")
    for rank, upstream in enumerate(rank_homes(candidates, prompt.key)):
        placement, missing_s = _estimate(upstream, prompt, model, rank == 0, now)
        cost = placement.first_token_s + REREAD_WEIGHT * missing_s
        if cost < best_cost:
            best, best_cost = placement, cost
    return best


def _estimate(
    upstream: Upstream, prompt: Prompt, model: PrefillModel, is_home: bool, now: float
) -> tuple[Placement, float]:
    missing = 0
    if prompt.shared is not None and not (is_home or upstream.memory.holds(prompt.shared, now)):
        missing = prompt.shared_tokens
    own = 0 if upstream.memory.holds(prompt.own, now) else prompt.own_tokens
    backlog = upstream.pending.tokens(now)
    factor = upstream.speed.value(now)
    backlog_s = backlog * model.token_s * factor
    predicted = model.predict(backlog + missing + own) * factor
    overdue = OVERDUE_SHARE * upstream.pending.oldest_s(now)
    placement = Placement(upstream, max(predicted, overdue), backlog_s, missing + own)
    return placement, missing * model.token_s * factor
