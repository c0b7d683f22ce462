"""Monitoring of the configuration revision that each process has in force."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import attrs
from _harness import Cluster
from _processes import Process

POLL_INTERVAL_S = 0.1
"""Time between two polls of a process, seconds; measured delays are too long by up to this."""


@attrs.define
class ObservedRevisions:
    """Revisions reported by one incarnation of a process.

    Parameters
    ----------
    first_at : float
        Time of the first answer with a configuration.
    reached : list of (float, int)
        Time and revision of each change.
    last_at : float
        Time of the last answer.
    reverts : int
        Number of times that the revision decreased.
    """

    first_at: float
    reached: list[tuple[float, int]]
    last_at: float
    reverts: int = 0


class RevisionMonitor:
    """Monitor that polls the status of every process.

    Parameters
    ----------
    cluster : Cluster
    """

    def __init__(self, cluster: Cluster):
        self.cluster = cluster
        self.observed: dict[tuple[str, str], ObservedRevisions] = {}
        self._accepted: list[tuple[float, int]] = []

    def record_accepted(self, revision: int, at: float) -> None:
        """Record an accepted change; the time until it is in force is measured from ``at``."""
        self._accepted.append((at, revision))

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            daemons = [*self.cluster.slots.values(), *self.cluster.entries.values()]
            await asyncio.gather(*map(self._poll_process, daemons), asyncio.sleep(POLL_INTERVAL_S))

    async def _poll_process(self, daemon: Process) -> None:
        try:
            page = await self.cluster.read_json(f"{daemon.status_url}/status")
        except aiohttp.ClientError:
            return
        now, revision = time.monotonic(), page["revision"]
        if not revision:
            return
        key = (page["vm"], page["incarnation"])
        observed = self.observed.setdefault(key, ObservedRevisions(now, [(now, revision)], now))
        observed.last_at = now
        known = observed.reached[-1][1]
        observed.reverts += revision < known
        if revision != known:
            observed.reached.append((now, revision))

    @property
    def reverts(self) -> int:
        """Number of times that any process went back to an older revision."""
        return sum(observed.reverts for observed in self.observed.values())

    def delays(self) -> list[float]:
        """Return, for each change, the time until the last process had it in force, seconds.

        A process that started after a change, or ended before it, is not counted for that change.
        """
        delays = []
        for at, revision in self._accepted:
            worst = 0.0
            for observed in self.observed.values():
                reached = next(
                    (when for when, value in observed.reached if value >= revision), None
                )
                if reached is None:
                    worst = max(worst, observed.last_at - at)
                elif observed.first_at < at:
                    worst = max(worst, reached - at)
            delays.append(worst)
        return delays
