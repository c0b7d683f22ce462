"""Turns for loads from the weight store, shared by the slots of all VMs."""

from __future__ import annotations

import random
from typing import ClassVar

from result import Result

from burdockquay_state import (
    Constraint,
    Interval,
    Lease,
    LeaseHeld,
    LeaseStore,
    check_parameters,
)

TURN_PREFIX = "weight-store/"


class LoadTurns:
    """A fixed number of leases, one of which a slot holds while it lets its engine load.

    Parameters
    ----------
    leases : LeaseStore
    holder : str
        Incarnation of the slot.
    rng : random.Random
        Spreads the slots over the turns.
    turns : int
        Loads that the weight store serves at a time.
    duration_s : float
        Duration of the lease of a turn, seconds. A turn that is kept at least so long bounds the
        loads to ``turns / duration_s`` a second.

    Notes
    -----
    A holder that is paused past its lease may load beside the next one. That costs the weight
    store one load too many for a while and nothing else, so no fencing is needed here.

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
        self._ended: list[tuple[float, Lease]] = []

    async def take(self, now: float) -> Result[Lease, LeaseHeld]:
        """Take one of the turns, drawn at random, if it is free.

        Parameters
        ----------
        now : float
            Seconds on the clock of this process.

        Notes
        -----
        Only one turn is looked at in each try: thousands of slots that wait for a turn would
        otherwise read every row of the turns each time.
        """
        name = f"{TURN_PREFIX}{self.rng.randrange(self.turns)}"
        return await self.leases.acquire(name, self.holder, self.duration_s, now)

    def keep_until_due(self, lease: Lease, taken_at: float) -> None:
        """Give a turn back once it has lasted its duration; :meth:`tend` does so."""
        self._ended.append((taken_at + self.duration_s, lease))

    async def tend(self, now: float) -> None:
        """Give back the turns that are due. One that cannot be given back expires."""
        due = [lease for due_at, lease in self._ended if due_at <= now]
        self._ended = [part for part in self._ended if part[0] > now]
        for lease in due:
            await self.leases.release(lease)
