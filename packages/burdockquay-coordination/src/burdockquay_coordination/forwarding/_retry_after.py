"""Time after which a rejected caller should retry."""

from __future__ import annotations

import random

RETRY_AFTER_SHARE = (0.10, 0.30)
"""Share of the remaining patience after which a rejected caller should retry. Callers wait at most
a third of it; the spread keeps them from retrying at the same time."""

MAX_PATIENCE_S = 6.5
"""Patience beyond which the delay does not grow, seconds, so that it is two seconds at most: most
failures are over by then, and a caller that has to wait longer would rather give up. A limit on the
delay itself would let all patient callers retry at the same moment."""

MAX_LIMITED_DELAY_S = 30.0
"""Longest delay of a caller rejected because of limits, seconds: limits end."""

LIMITED_SPREAD = (0.75, 1.25)
"""Spread of that delay, so that callers do not retry at the same time."""

REST_SPREAD_S = 0.5
"""Time over which callers rejected because of a rest return after its end, seconds."""

REFERRAL_DELAY_S = (0.005, 0.05)
"""Shortest and longest delay before a caller retries at another process, seconds: only a spread, as
the other process can serve at once."""

NOTICED_SPREAD_S = (0.0, 0.3)
"""Shortest and longest delay of a retry after the load balancer has noticed a shutdown, seconds."""

PEER_STATUS_EXPIRY_S = 2.5
"""Age at which the status of another process is dropped, seconds. Each process sends its status
every second."""


class PeerAvailability:
    """Status of the other processes: whether they can serve callers with API keys.

    A process that cannot reach the platform rejects such callers. If others reach it, the next
    process that a caller connects to serves it at once; if it got the delay of an outage of
    the platform, it would get its answer two seconds late.
    """

    def __init__(self):
        self._statuses: dict[str, tuple[bool, float]] = {}

    def receive_update(self, peer: str, can_serve: bool, now: float) -> None:
        """Record the status of a process."""
        self._statuses[peer] = (can_serve, now)

    def forget(self, peer: str) -> None:
        """Remove a process that has disconnected."""
        self._statuses.pop(peer, None)

    def can_serve(self, now: float) -> bool:
        """Return whether at least one other process can serve."""
        return any(
            can_serve_now and now - at <= PEER_STATUS_EXPIRY_S
            for can_serve_now, at in self._statuses.values()
        )


def limited_delay_s(waiting: int, processes: int, per_s: float, rng: random.Random) -> float:
    """Return the time after which a caller rejected because of limits should retry, seconds.

    Parameters
    ----------
    waiting : int
        Requests that wait at this process; others are taken to have as many.
    processes : int
    per_s : float
        Sum of the limits of the upstreams, requests per second.
    rng : random.Random
    """
    until_start_s = (waiting + 1) * processes / per_s
    return min(until_start_s, MAX_LIMITED_DELAY_S) * rng.uniform(*LIMITED_SPREAD)


def rest_delay_s(rest_s: float, rng: random.Random) -> float:
    """Return the time after which a caller rejected because of rests should retry, seconds.

    Parameters
    ----------
    rest_s : float
        Time until the first upstream takes requests again, seconds.
    rng : random.Random
    """
    return rest_s + rng.uniform(0.0, REST_SPREAD_S)


def leaving_delay_s(
    patience_s: float | None, unnoticed_s: float, has_neighbour: bool, rng: random.Random
) -> float:
    """Return the time after which a caller rejected by a process that shuts down should retry.

    Parameters
    ----------
    patience_s : float or None
        Time for which the caller still waits, seconds; None if unknown.
    unnoticed_s : float
        Time until the load balancer has noticed the shutdown, seconds; not positive if it has.
    has_neighbour : bool
        Whether another process of the failure domain serves callers.
    rng : random.Random

    Returns
    -------
    float
        Seconds.

    Notes
    -----
    Until the load balancer has noticed, it sends the callers of a failure domain with one process
    to that process again, where a caller with one retry would be rejected for good.
    """
    patience = MAX_PATIENCE_S if patience_s is None else max(0.0, patience_s)
    wait_s = 0.0 if has_neighbour else max(0.0, unnoticed_s)
    spread = REFERRAL_DELAY_S if wait_s <= 0.0 else NOTICED_SPREAD_S
    return min(patience, wait_s + rng.uniform(*spread))


def retry_delay_s(patience_s: float | None, is_referred: bool, rng: random.Random) -> float:
    """Return the time after which a rejected caller should retry, seconds.

    Parameters
    ----------
    patience_s : float or None
        Time for which the caller still waits, seconds; None if unknown.
    is_referred : bool
        Whether another process can serve it now.
    rng : random.Random
    """
    patience = MAX_PATIENCE_S if patience_s is None else min(max(0.0, patience_s), MAX_PATIENCE_S)
    if is_referred:
        return min(patience, rng.uniform(*REFERRAL_DELAY_S))
    return patience * rng.uniform(*RETRY_AFTER_SHARE)
