"""Expiry of claim rows, done by one slot at a time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok, Result

from burdockquay_state import (
    ClaimSweep,
    GroupCommitter,
    Lease,
    LeaseStore,
    TableError,
    TableErrorKind,
)

from ._clock import Clock
from ._platform import Platform

SWEEP_LEASE = "claim-sweep"
SWEEP_LEASE_S = 60.0
"""Duration of the lease of the slot that sweeps, seconds."""

SWEEP_INTERVAL_S = 600.0
"""Mean time between two tries of one slot to sweep, seconds."""

PAGE_PAUSE_S = 0.2
"""Pause between two pages, which bounds a sweep to five reads and five writes a second."""

DELETIONS_AT_ONCE = 500


class ClaimExpiry:
    """Sweeps the claim rows when this slot gets the lease to do so.

    Parameters
    ----------
    platform : Platform
    holder : str
        Incarnation of the slot.
    retention_s : float
        How long the outcome of a key is kept, seconds.
    clock : Clock
    rng : random.Random
        Jitter, so that the slots of a large deployment do not ask for the lease together.
    """

    def __init__(
        self, platform: Platform, holder: str, retention_s: float, clock: Clock, rng: random.Random
    ):
        self.platform = platform
        self.holder = holder
        self.retention_s = retention_s
        self.clock = clock
        self.rng = rng
        self._leases = LeaseStore(platform.table)
        committer = GroupCommitter(platform.table, max_operations=DELETIONS_AT_ONCE)
        self._sweep = ClaimSweep(platform.table, committer, retention_s)

    async def run(self) -> None:
        """Sweep now and then, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            await self.sweep()

    async def sweep(self) -> int:
        """Go through all rows once if the lease is free; return how many were deleted."""
        taken = await self._leases.acquire(
            SWEEP_LEASE, self.holder, SWEEP_LEASE_S, self.clock.now()
        )
        if taken.is_err():
            return 0
        known = await self._list_vms()
        return 0 if known.is_err() else await self._sweep_all(taken.ok(), known.ok())

    async def _list_vms(self) -> Result[Callable[[str], bool], TableError]:
        """Return whether the process of an incarnation may still act, as a function.

        Notes
        -----
        A VM that has left the list never comes back under its name, so a request that its slot
        had claimed cannot start any more. An empty list says that the list is broken, not that
        every VM is gone.
        """
        listed = await self.platform.vms.list()
        if listed.is_err():
            return listed
        names = {entry.vm for entry in listed.ok()}
        if not names:
            return Err(TableError(TableErrorKind.INVALID, "the VM list is empty"))
        return Ok(lambda incarnation: incarnation.split("/")[0] in names)

    async def _sweep_all(self, lease: Lease, may_act: Callable[[str], bool]) -> int:
        deleted = 0
        after = ""
        while lease.is_usable(self.clock.now()) and self._leases.is_current(lease):
            page = await self._sweep.sweep_page(after, may_act, self.clock.wall())
            if page.is_err():
                break
            deleted += page.ok().deleted
            after = page.ok().after
            if not after:
                break
            await asyncio.sleep(PAGE_PAUSE_S)
            renewed = await self._leases.renew(lease, self.clock.now())
            lease = renewed.ok() if renewed.is_ok() else lease
        return deleted


def claim_incarnation(vm: str, incarnation: str) -> str:
    """Return how claims name a slot: its VM, by which :class:`ClaimExpiry` judges, and process."""
    return f"{vm}/{incarnation}"
