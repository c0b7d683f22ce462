"""How the link of a relay bounds what it sends, and which processes have a link for the duty."""

from __future__ import annotations

RELAY_LINK_SHARE = 0.2
"""Share of the link of a relay that its messages about loads may take; callers need the rest."""

MIN_RELAY_LINK_BYTES_PER_S = 2_500_000.0
"""Slowest link of a process that becomes relay while others have faster ones, bytes per second. In
a burst, a relay sends the loads of some thirty upstreams to ten processes sixty times a second."""


def suits_relay(link_bytes_per_s: float | None) -> bool:
    """Return whether the link of a process is fast enough for a relay, or unknown.

    Parameters
    ----------
    link_bytes_per_s : float or None
    """
    return link_bytes_per_s is None or link_bytes_per_s >= MIN_RELAY_LINK_BYTES_PER_S


def relay_interval_s(round_bytes: int, link_bytes_per_s: float | None) -> float:
    """Return the shortest time between two rounds of messages of a relay, seconds.

    Without it, the messages would fill the link of a small VM in a burst: its connections to all
    upstreams would time out, and it would report these to others as unreachable.

    Parameters
    ----------
    round_bytes : int
        Size of the last round.
    link_bytes_per_s : float or None
        None if it is not known.

    Examples
    --------
    >>> relay_interval_s(15_000, 1_250_000.0)
    0.06
    """
    if link_bytes_per_s is None:
        return 0.0
    return round_bytes / (RELAY_LINK_SHARE * link_bytes_per_s)
