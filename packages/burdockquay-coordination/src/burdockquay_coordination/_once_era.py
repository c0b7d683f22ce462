"""When claims may be made after the table returned from a copy."""

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
"""Key of the row that names the latest era in which claims may be made."""

RESTORE_LIMIT_S = 2.0
"""Time in which a slot that reaches the table writes its claims again, seconds."""

NOTICE_LIMIT_S = 1.0
"""Time in which a slot with recent claims notices the return of the table, seconds."""

HOLD_MARGIN_S = 0.5
"""Allowance for clocks of different rates and for writes under way, seconds."""

LOOK_PAUSE_S = 0.5
"""Time between two looks at a table whose era is known and not open, seconds."""

HOLD_S = NOTICE_LIMIT_S + RESTORE_LIMIT_S + HOLD_MARGIN_S
"""Time for which no claim is made after a new era was first seen, seconds."""


class ClaimEra:
    """Restores the claims of this slot in a new era, and holds new ones back meanwhile.

    Parameters
    ----------
    claims : ClaimStore
    clock : callable
        Returns seconds on a clock that never goes back.
    hold_s : float
        Time from the first answer of an era to the first claim in it, seconds.

    Notes
    -----
    A claim that the table has lost must not be handed out anew while its holder can still write
    it again. Every holder is given ``hold_s`` from the first answer of the new era that the
    observer itself got, which is later than the return, so that no clocks are compared. Whoever has
    waited so long names the era in a row, and a process that starts later need not wait. The row
    of an earlier era that a copy brings back opens nothing.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {"hold_s": [Interval(float, 0.0)]}

    def __init__(self, claims: ClaimStore, clock: Callable[[], float], hold_s: float = HOLD_S):
        self.claims = claims
        self.clock = clock
        self.hold_s = hold_s
        check_parameters(self)
        self._restorer = ClaimRestorer(claims)
        self._looking: asyncio.Task | None = None
        self._looked_at = -float("inf")
        self._seen_era = 0
        self._seen_at = clock()
        self._open_era = 0
        self._report: RestoreReport | None = None

    @property
    def era(self) -> int:
        """The latest era known."""
        return self.claims.table.era

    @property
    def report(self) -> RestoreReport | None:
        """What became of the claims of this process in the latest era, None if not yet known."""
        return self._report if self._report and self._report.era == self.era else None

    @property
    def is_open(self) -> bool:
        """Whether claims may be made in the latest era known."""
        return self.may_claim(self.era)

    def may_claim(self, era: int) -> bool:
        """Return whether a claim may be made in an era; the table refuses any but its own."""
        return era == 0 or era == self._open_era == self.claims.memory.era

    def has_waited(self, since: float) -> bool:
        """Return whether a claim begun at ``since`` is too old to be acted on.

        Notes
        -----
        A slot that is paused between claim and send may miss a return of the table and the whole
        time that holders are given, so that another slot may hold the key by now.
        """
        return self.era > 0 and self.clock() - since >= self.hold_s

    async def admits(self, era: int) -> bool:
        """Return whether a claim may be made in an era; asks the table if that is not known."""
        is_due = era > self._seen_era or self.clock() - self._looked_at >= LOOK_PAUSE_S
        if not self.may_claim(era) and is_due:
            await self.look()
        return self.may_claim(era)

    async def look(self) -> Result[None, TableError]:
        """Ask the table for its era, and do what a new one demands.

        Notes
        -----
        Who comes while a look is under way shares it: requests would otherwise queue up, each for
        the timeout of a table that does not answer.
        """
        if self._looking is None or self._looking.done():
            self._looked_at = self.clock()
            self._looking = asyncio.create_task(self._look())
        return await asyncio.shield(self._looking)

    async def _look(self) -> Result[None, TableError]:
        asked = await self.claims.table.get([OPEN_ERA_KEY])
        if asked.is_err():
            return asked
        (row,) = asked.ok()
        era = self._note_era()
        if self.claims.memory.era < era:
            restored = await self._restorer.restore()
            if restored.is_err():
                return Err(restored.err())
            self._report = restored.ok()
        if self._open_era < era and self.claims.memory.era == era:
            await self._open_when_due(era, row)
        return Ok(None)

    def _note_era(self) -> int:
        if self.era > self._seen_era:
            self._seen_era = self.era
            self._seen_at = self.clock()
        return self._seen_era

    async def _open_when_due(self, era: int, row: Row | None) -> None:
        if row is None or row.value != cbor2.dumps(era):
            if self.clock() - self._seen_at < self.hold_s:
                return
            version = row.version if row else self.claims.table.absent
            # A lost or refused write makes only those wait that start later.
            await self.claims.table.transact([Put(OPEN_ERA_KEY, cbor2.dumps(era), version)])
        self._open_era = era
