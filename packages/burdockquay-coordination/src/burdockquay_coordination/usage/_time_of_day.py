"""Estimate of the true time of day on VMs whose clocks may jump."""

from __future__ import annotations

import statistics

import attrs

MAX_STEP_S = 0.05
"""Largest change of the local clock between two updates that counts as drift, seconds. Clocks that
are adjusted gradually change by less than a millisecond in that time."""

MAX_DEVIATION_S = 0.25
"""Deviation from the median of the peers beyond which the local clock counts as wrong, seconds.
Below it the local clock is better, since the readings of peers are late by the time of a message.
"""

MIN_PEERS = 2
"""Fewest peers that can outvote the local clock."""

READING_LIFETIME_S = 10.0
"""Time for which the reading of a peer is used, seconds."""


@attrs.frozen
class _PeerReading:
    offset_s: float
    received_at: float


class TimeOfDay:
    """Relates the monotonic clock of this process to the true time of day.

    The time of day of a VM may jump by seconds, forward or backward. A jump is recognised by
    comparing it with the monotonic clock, and ignored. A process that starts after a jump is
    corrected by the median of its peers.

    Examples
    --------
    >>> time_of_day = TimeOfDay(wall=1000.0, now=10.0)
    >>> time_of_day.update(wall=1003.0, now=11.0)
    >>> time_of_day.at(11.0)
    1001.0
    """

    def __init__(self, wall: float, now: float):
        self._own_offset_s = wall - now
        self._peers: dict[str, _PeerReading] = {}

    def update(self, wall: float, now: float) -> None:
        """Follow the drift of the local time of day; a jump is ignored.

        Parameters
        ----------
        wall, now : float
            Time of day and monotonic time, read at the same moment, seconds.
        """
        offset_s = wall - now
        if abs(offset_s - self._own_offset_s) <= MAX_STEP_S:
            self._own_offset_s = offset_s

    def record_peer(self, name: str, time_of_day: float, now: float) -> None:
        """Record the estimate of a peer, as received just now."""
        self._peers[name] = _PeerReading(time_of_day - now, now)

    def at(self, now: float) -> float:
        """Return the true time of day at a time of the monotonic clock, seconds since 1970."""
        if abs(self.deviation_s(now)) > MAX_DEVIATION_S:
            return now + self._median_offset_s(now)
        return now + self._own_offset_s

    def deviation_s(self, now: float) -> float:
        """Return how far the local clock is ahead of the median of all, seconds."""
        return self._own_offset_s - self._median_offset_s(now)

    def _median_offset_s(self, now: float) -> float:
        recent = {
            name: reading
            for name, reading in self._peers.items()
            if now - reading.received_at <= READING_LIFETIME_S
        }
        self._peers = recent
        if len(recent) < MIN_PEERS:
            return self._own_offset_s
        offsets = [reading.offset_s for reading in recent.values()]
        return statistics.median([*offsets, self._own_offset_s])
