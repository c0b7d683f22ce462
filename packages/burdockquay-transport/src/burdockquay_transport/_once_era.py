"""Notices that the table returned from a copy, and brings the claims of this slot back."""

from __future__ import annotations

import asyncio

from burdockquay_coordination import OPEN_ERA_KEY, ClaimEra
from burdockquay_state import RestoreReport

from ._clock import Clock
from ._events import Event, log_event

LOOK_S = 0.5
"""Time between two looks while claims might be lost or an era is not open, seconds."""

LOOK_LIMIT_S = 0.5
"""Limit on one look, seconds: a connection may be silent since before the return."""

_KEYS_LOGGED = 10


class EraFollower:
    """Asks the table for its era while this process has claims that a copy may lack.

    Parameters
    ----------
    eras : ClaimEra
    clock : Clock
    """

    def __init__(self, eras: ClaimEra, clock: Clock):
        self.eras = eras
        self.clock = clock
        self._era = eras.era
        self._was_open = eras.is_open
        self._reported = 0

    async def run(self) -> None:
        """Follow the era until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            await self.follow()

    async def follow(self) -> None:
        """Look once if there is a reason to, and log what has changed."""
        if len(self.eras.claims.memory):
            await self._ask()
        if not self.eras.is_open:
            await self.eras.look()
        self._log_changes()

    async def _ask(self) -> None:
        """Learn the era, and forget the claims that are old enough."""
        claims = self.eras.claims
        try:
            asked = await asyncio.wait_for(claims.table.get([OPEN_ERA_KEY]), LOOK_LIMIT_S)
        except TimeoutError:
            return
        if asked.is_ok():
            claims.memory.prune(self.eras.era, self.clock.wall())

    def _log_changes(self) -> None:
        eras = self.eras
        if eras.era != self._era:
            if self._era:
                held = len(eras.claims.memory)
                log_event(Event.TABLE_ERA_CHANGED, era=eras.era, before=self._era, claims=held)
            self._era = eras.era
        report = eras.report
        if report is not None and report.era != self._reported:
            self._reported = report.era
            self._log_report(report)
        if eras.is_open != self._was_open:
            self._was_open = eras.is_open
            log_event(Event.CLAIMS_OPEN if self._was_open else Event.CLAIMS_HELD, era=eras.era)

    def _log_report(self, report: RestoreReport) -> None:
        if report.written or report.standing:
            log_event(
                Event.CLAIMS_RESTORED,
                era=report.era,
                written=report.written,
                standing=report.standing,
                forgotten=self.eras.claims.memory.dropped,
            )
        for row_key in report.taken[:_KEYS_LOGGED]:
            log_event(Event.CLAIM_TAKEN_MEANWHILE, row=row_key)
