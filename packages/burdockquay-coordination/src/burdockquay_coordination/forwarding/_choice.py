"""Which upstream gets a request."""

from __future__ import annotations

import random
from collections.abc import Collection, Sequence
from hashlib import blake2b

from ._upstreams import Upstream

HOMES = 2
"""Upstreams that keep one shared prompt part. Two let a busy part spill over while its tokens are
read again only once; with free placement ten times as many tokens were read again."""

SPILL = 1.5
"""Requests that the first home may have more than the second before the second is taken."""

DOMAIN_COST = 0.3
"""Requests that an upstream in another failure domain must have less to be preferred."""


def choose_upstream(
    upstreams: Sequence[Upstream],
    prompt_part: str | None,
    failure_domain: str,
    tried: Collection[str],
    now: float,
    rng: random.Random,
) -> Upstream | None:
    """Return the upstream for one send, None if none may be used.

    Parameters
    ----------
    upstreams : sequence of Upstream
        Of the wanted service.
    prompt_part : str or None
        Shared part of the prompt that upstreams keep in memory; requests that name the same one
        go to the same few upstreams, at every process, without a message between them.
    failure_domain : str
        Of this process.
    tried : collection of str
        Ids of the upstreams that the request was sent to already.
    now : float
    rng : random.Random

    Notes
    -----
    Upstreams that fail many requests or could not be reached are used only if no other is left:
    refusing all work because every upstream looks bad would turn a small fault into an outage.
    """
    usable = [item for item in upstreams if item.takes_work() and item.id not in tried]
    sound = [item for item in usable if not item.suspended(now) and not item.is_grey(now)]
    candidates = sound or [item for item in usable if not item.suspended(now)] or usable
    if not candidates:
        return None
    if prompt_part is None:
        return _least_outstanding(candidates, failure_domain, rng)
    return _home(candidates, prompt_part)


def _least_outstanding(
    candidates: Sequence[Upstream], failure_domain: str, rng: random.Random
) -> Upstream:
    def cost(item: Upstream) -> tuple[float, float]:
        away = DOMAIN_COST if item.entry.failure_domain != failure_domain else 0.0
        return (item.outstanding + away, rng.random())

    return min(candidates, key=cost)


def _home(candidates: Sequence[Upstream], prompt_part: str) -> Upstream:
    ranked = sorted(candidates, key=lambda item: _weight(item.id, prompt_part), reverse=True)
    homes = ranked[:HOMES]
    first = homes[0]
    for other in homes[1:]:
        if first.outstanding >= other.outstanding + SPILL:
            first = other
    return first


def _weight(id_: str, prompt_part: str) -> bytes:
    return blake2b(prompt_part.encode(), key=id_.encode()[:64], digest_size=8).digest()
