"""Expiry of claim rows, run by one slot at a time."""

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
"""Duration of the lease of the sweeping slot, seconds."""

SWEEP_INTERVAL_S = 600.0
"""Mean time between two sweep attempts of one slot, seconds."""

PAGE_PAUSE_S = 0.2
"""Pause between two pages, seconds; bounds a sweep to five reads and five writes a second."""

DELETIONS_PER_BATCH = 500


class ClaimExpiry:
    """Deletes expired claim rows while this slot holds the sweep lease.

    Parameters
    ----------
    platform : Platform
    holder : str
        Incarnation of the slot.
    retention_s : float
        Retention time of the outcome of a key, seconds.
    clock : Clock
    rng : random.Random
        Jitter, so that the slots of a large deployment do not request the lease simultaneously.
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
        committer = GroupCommitter(platform.table, max_operations=DELETIONS_PER_BATCH)
        self._sweep = ClaimSweep(platform.table, committer, retention_s)

    async def run(self) -> None:
        """Sweep at random intervals until cancelled; run as a task."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            await self.sweep()

    async def sweep(self) -> int:
        """Sweep all rows once if the lease is free; return the number of deleted rows."""
        acquired = await self._leases.acquire(
            SWEEP_LEASE, self.holder, SWEEP_LEASE_S, self.clock.now()
        )
        if acquired.is_err():
            return 0
        may_still_act = await self._find_listed_vms()
        return (
            0
            if may_still_act.is_err()
            else await self._sweep_all(acquired.ok(), may_still_act.ok())
        )

    async def _find_listed_vms(self) -> Result[Callable[[str], bool], TableError]:
        """Return a predicate: whether the process of an incarnation may still act on a claim.

        Notes
        -----
        The name of a VM that has left the list is never reused, so a request that its slot had
        claimed cannot start any more. An empty list is treated as a fault of the list, not as the
        removal of every VM.
        """
        listed = await self.platform.vms.list()
        if listed.is_err():
            return listed
        names = {entry.vm for entry in listed.ok()}
        if not names:
            return Err(TableError(TableErrorKind.INVALID, "the VM list is empty"))
        return Ok(lambda incarnation: incarnation.split("/")[0] in names)

    async def _sweep_all(self, lease: Lease, may_still_act: Callable[[str], bool]) -> int:
        deleted = 0
        after = ""
        while lease.is_usable(self.clock.now()) and self._leases.is_current(lease):
            page = await self._sweep.sweep_page(after, may_still_act, self.clock.wall())
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
    """Return a slot's name in claims: its VM, which :class:`ClaimExpiry` checks, and process."""
    return f"{vm}/{incarnation}"
