"""When a refused caller is told to come back."""

from __future__ import annotations

import random

RETRY_AFTER_SHARE = (0.10, 0.30)
"""Part of the remaining patience after which a refused caller is told to come back. Callers wait at
most a third of it; the spread keeps them from coming back together."""

MAX_PATIENCE_S = 6.5
"""Patience beyond which the time does not grow, seconds, so that it is two seconds at most: most
trouble has passed by then, and a caller told to wait longer would rather give up. A limit on the
time itself would let all patient callers come back at the same moment."""

REFERRAL_DELAY_S = (0.005, 0.05)
"""First and last time after which a caller is told to come back to another process, seconds: only a
spread, as the other process can serve at once."""

PEER_STATUS_EXPIRY_S = 2.5
"""Age at which what another process said is dropped, seconds. It says something every second."""


class OtherProcesses:
    """What the other processes say of themselves: whether they can serve callers with API keys.

    A process that does not reach the platform refuses such callers. While others reach it, the next
    process that a caller is led to serves it at once; told to wait as in an outage of the platform,
    the caller gets its answer two seconds late.
    """

    def __init__(self):
        self._statuses: dict[str, tuple[bool, float]] = {}

    def hear(self, peer: str, can_serve: bool, now: float) -> None:
        """Note what a process says."""
        self._statuses[peer] = (can_serve, now)

    def forget(self, peer: str) -> None:
        """Note that a process is gone."""
        self._statuses.pop(peer, None)

    def can_serve(self, now: float) -> bool:
        """Return whether at least one of them can serve."""
        return any(
            can_serve_now and now - at <= PEER_STATUS_EXPIRY_S
            for can_serve_now, at in self._statuses.values()
        )


def return_after_s(patience_s: float | None, is_referred: bool, rng: random.Random) -> float:
    """Return the time after which a refused caller should come back, seconds.

    Parameters
    ----------
    patience_s : float or None
        Time for which the caller still waits, seconds; None if it does not say.
    is_referred : bool
        Whether another process can serve it now.
    rng : random.Random
    """
    patience = MAX_PATIENCE_S if patience_s is None else min(max(0.0, patience_s), MAX_PATIENCE_S)
    if is_referred:
        return min(patience, rng.uniform(*REFERRAL_DELAY_S))
    return patience * rng.uniform(*RETRY_AFTER_SHARE)
