"""Detects that the table was restored from a copy, and restores the claims of this slot."""

from __future__ import annotations

import asyncio

from burdockquay_coordination import OPEN_ERA_KEY, ClaimEra
from burdockquay_state import RestoreReport

from ._clock import Clock
from ._events import Event, log_event

ERA_POLL_INTERVAL_S = 0.5
"""Time between two checks while claims may be lost or the era is not open, seconds."""

ERA_READ_TIMEOUT_S = 0.5
"""Timeout of one check, seconds: a connection from before the restore may be unresponsive."""

_KEYS_LOGGED = 10


class EraFollower:
    """Reads the era of the table while this process has claims that a copy may lack.

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
        """Follow the era until cancelled; run as a task."""
        while True:
            await asyncio.sleep(ERA_POLL_INTERVAL_S)
            await self.follow()

    async def follow(self) -> None:
        """Check the era once if necessary, and log changes."""
        if len(self.eras.claims.recent_claims):
            await self._refresh_era()
        if not self.eras.is_open:
            await self.eras.refresh_era()
        self._log_changes()

    async def _refresh_era(self) -> None:
        """Read a row to receive the era, and drop the claims that need not be kept any longer."""
        claims = self.eras.claims
        try:
            reply = await asyncio.wait_for(claims.table.get([OPEN_ERA_KEY]), ERA_READ_TIMEOUT_S)
        except TimeoutError:
            return
        if reply.is_ok():
            claims.recent_claims.prune(self.eras.era, self.clock.wall())

    def _log_changes(self) -> None:
        eras = self.eras
        if eras.era != self._era:
            if self._era:
                held = len(eras.claims.recent_claims)
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
                forgotten=self.eras.claims.recent_claims.dropped,
            )
        for row_key in report.taken[:_KEYS_LOGGED]:
            log_event(Event.CLAIM_TAKEN_MEANWHILE, row=row_key)
