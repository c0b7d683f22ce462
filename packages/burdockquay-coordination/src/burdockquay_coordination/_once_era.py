"""When claims may be made after the table was restored from a copy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import ClassVar

import cbor2
from result import Err, Ok, Result

from burdockquay_state import (
    ClaimRestorer,
    ClaimStore,
    Constraint,
    Interval,
    Put,
    RestoreReport,
    Row,
    TableError,
    check_parameters,
)

OPEN_ERA_KEY = "era/claims"
"""Key of the row that stores the latest era in which claims may be made."""

RESTORE_LIMIT_S = 2.0
"""Time within which a slot that reaches the table rewrites its claims, seconds."""

DETECTION_LIMIT_S = 1.0
"""Time within which a slot with recent claims detects a new era of the table, seconds."""

HOLD_MARGIN_S = 0.5
"""Margin for clock rate differences and for writes in progress, seconds."""

ERA_POLL_INTERVAL_S = 0.5
"""Interval between two reads of a table whose era is known and not open, seconds."""

CLAIM_HOLD_S = DETECTION_LIMIT_S + RESTORE_LIMIT_S + HOLD_MARGIN_S
"""Time without claims after a new era was first observed, seconds."""


class ClaimEra:
    """Restores the claims of this slot in a new era, and permits no new claims meanwhile.

    Parameters
    ----------
    claims : ClaimStore
    clock : callable
        Returns seconds on a monotonic clock.
    hold_s : float
        Time from the first answer with a new era to the first claim in that era, seconds.

    Notes
    -----
    A claim that the table has lost must not be granted again while its holder can still rewrite it.
    Every process waits for ``hold_s`` after its own first answer with the new era. That answer is
    later than the restore of the table, so no clocks are compared. A process that has waited stores
    the era in a row, so that processes that start later need not wait. A row of an earlier era that
    is restored from the copy does not permit claims.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {"hold_s": [Interval(float, 0.0)]}

    def __init__(
        self, claims: ClaimStore, clock: Callable[[], float], hold_s: float = CLAIM_HOLD_S
    ):
        self.claims = claims
        self.clock = clock
        self.hold_s = hold_s
        check_parameters(self)
        self._restorer = ClaimRestorer(claims)
        self._poll_task: asyncio.Task | None = None
        self._polled_at = -float("inf")
        self._observed_era = 0
        self._observed_at = clock()
        self._open_era = 0
        self._report: RestoreReport | None = None

    @property
    def era(self) -> int:
        """The latest known era."""
        return self.claims.table.era

    @property
    def report(self) -> RestoreReport | None:
        """Result of restoring this process's claims in the latest era; None until available."""
        return self._report if self._report and self._report.era == self.era else None

    @property
    def is_open(self) -> bool:
        """Whether claims may be made in the latest known era."""
        return self.may_claim(self.era)

    def may_claim(self, era: int) -> bool:
        """Return whether a claim may be made in an era; the table accepts only its own era."""
        return era == 0 or era == self._open_era == self.claims.recent_claims.era

    def is_claim_too_old(self, since: float) -> bool:
        """Return whether a claim begun at ``since`` is too old to send the request.

        Notes
        -----
        A slot that is paused between the claim and sending may miss a restore of the table and the
        entire hold time, so that another slot may have claimed the key meanwhile.
        """
        return self.era > 0 and self.clock() - since >= self.hold_s

    async def admits(self, era: int) -> bool:
        """Return whether a claim may be made in an era; reads the table if that is not known."""
        is_due = era > self._observed_era or self.clock() - self._polled_at >= ERA_POLL_INTERVAL_S
        if not self.may_claim(era) and is_due:
            await self.refresh_era()
        return self.may_claim(era)

    async def refresh_era(self) -> Result[None, TableError]:
        """Read the era of the table, and restore claims or permit new ones if it is new.

        Notes
        -----
        Concurrent callers share one read. Otherwise requests would queue up, each waiting for the
        timeout of a table that does not answer.
        """
        if self._poll_task is None or self._poll_task.done():
            self._polled_at = self.clock()
            self._poll_task = asyncio.create_task(self._poll_era())
        return await asyncio.shield(self._poll_task)

    async def _poll_era(self) -> Result[None, TableError]:
        read = await self.claims.table.get([OPEN_ERA_KEY])
        if read.is_err():
            return read
        (row,) = read.ok()
        era = self._record_era()
        if self.claims.recent_claims.era < era:
            restored = await self._restorer.restore()
            if restored.is_err():
                return Err(restored.err())
            self._report = restored.ok()
        if self._open_era < era and self.claims.recent_claims.era == era:
            await self._open_when_due(era, row)
        return Ok(None)

    def _record_era(self) -> int:
        if self.era > self._observed_era:
            self._observed_era = self.era
            self._observed_at = self.clock()
        return self._observed_era

    async def _open_when_due(self, era: int, row: Row | None) -> None:
        if row is None or row.value != cbor2.dumps(era):
            if self.clock() - self._observed_at < self.hold_s:
                return
            version = row.version if row else self.claims.table.absent
            # If the write fails, only processes that start later have to wait.
            await self.claims.table.transact([Put(OPEN_ERA_KEY, cbor2.dumps(era), version)])
        self._open_era = era
