"""Turns for loads from the weight store, shared by the slots of all VMs."""

from __future__ import annotations

import random
from typing import ClassVar

from result import Err, Ok, Result

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

    async def take(self, now: float) -> Result[Lease, LeaseHeld]:
        """Take any free turn.

        Parameters
        ----------
        now : float
            Seconds on the clock of this process.
        """
        first = self.rng.randrange(self.turns)
        refused = Err(LeaseHeld(TURN_PREFIX, "", "no turn"))
        for step in range(self.turns):
            name = f"{TURN_PREFIX}{(first + step) % self.turns}"
            taken = await self.leases.acquire(name, self.holder, self.duration_s, now)
            if taken.is_ok():
                return Ok(taken.ok())
            refused = taken
        return refused
