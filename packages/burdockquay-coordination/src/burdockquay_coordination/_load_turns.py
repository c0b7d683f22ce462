"""Limit on concurrent loads from the weight store, shared by the slots of all VMs."""

from __future__ import annotations

import random
from typing import ClassVar

from result import Result

from burdockquay_state import (
    Constraint,
    Interval,
    Lease,
    LeaseRefusal,
    LeaseStore,
    check_parameters,
)

WEIGHT_LOAD_LEASE_PREFIX = "weight-store/"


class LoadTurns:
    """Distributed semaphore: a fixed number of leases (turns), one held per engine load.

    Parameters
    ----------
    leases : LeaseStore
    holder : str
        Incarnation of the slot.
    rng : random.Random
        Distributes the slots over the turns.
    turns : int
        Loads that the weight store serves concurrently.
    duration_s : float
        Duration of the lease of a turn, seconds. Each turn is kept at least for this time, which
        limits the loads to ``turns / duration_s`` per second.

    Notes
    -----
    A holder that is paused past the end of its lease may load concurrently with the next holder.
    The only effect is one load too many on the weight store for a while, so no fencing is needed.

    References
    ----------
    ``docs/design/leases-and-orders.md`` compares this with a row of tokens.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "turns": [Interval(int, 1, 1000)],
        "duration_s": [Interval(float, 0.1, 3600.0)],
    }

    def __init__(
        self,
        leases: LeaseStore,
        holder: str,
        rng: random.Random,
        turns: int = 4,
        duration_s: float = 10.0,
    ):
        self.leases = leases
        self.holder = holder
        self.rng = rng
        self.turns = turns
        self.duration_s = duration_s
        check_parameters(self)
        self._pending_releases: list[tuple[float, Lease]] = []

    async def take(self, now: float) -> Result[Lease, LeaseRefusal]:
        """Acquire a randomly chosen turn if it is free.

        Parameters
        ----------
        now : float
            Seconds on the clock of this process.

        Notes
        -----
        Each call tries only one turn: otherwise thousands of slots that wait for a turn would read
        the rows of all turns each time.
        """
        name = f"{WEIGHT_LOAD_LEASE_PREFIX}{self.rng.randrange(self.turns)}"
        return await self.leases.acquire(name, self.holder, self.duration_s, now)

    def keep_until_due(self, lease: Lease, taken_at: float) -> None:
        """Schedule the release of a turn at the end of its duration; see :meth:`release_due`."""
        self._pending_releases.append((taken_at + self.duration_s, lease))

    async def release_due(self, now: float) -> None:
        """Release the turns that are due. A turn that cannot be released expires."""
        due = [lease for due_at, lease in self._pending_releases if due_at <= now]
        self._pending_releases = [part for part in self._pending_releases if part[0] > now]
        for lease in due:
            await self.leases.release(lease)
