"""Storage of refused prompt parts in the table, for processes that start later."""

from __future__ import annotations

import json
from collections.abc import Iterable

from result import Err, Ok, Result

from burdockquay_protocol import PartEvidence
from burdockquay_state import Delete, Put, Row, TableError, TableService

KEY_PREFIX = "crash-part/"
"""Prefix of the row keys."""

ROW_RETENTION_S = 90.0
"""Time after which a row is out of date, seconds: longer than processes keep a suspicion without a
refusal, and than the time of day may differ between them."""


class PartStore:
    """Stores the refused prompt parts in table rows that outlive the processes.

    Parameters
    ----------
    table : TableService

    Notes
    -----
    Processes tell each other what crashes upstreams. If all of them were replaced, or one that
    starts reached no other, the same requests would crash upstreams again. Rows are written when a
    part is refused, tried or cleared, and again while requests with it come; each process that
    starts reads them once.
    """

    def __init__(self, table: TableService):
        self.table = table

    async def save(self, report: PartEvidence, now: float) -> Result[None, TableError]:
        """Write the evidence against a part, at a time of day."""
        value = json.dumps([report.crashes, report.trials, now]).encode()
        written = await self.table.transact([Put(KEY_PREFIX + report.part, value)])
        return written if isinstance(written, Err) else Ok(None)

    async def remove(self, part: str) -> Result[None, TableError]:
        """Delete the row of a part."""
        removed = await self.table.transact([Delete(KEY_PREFIX + part)])
        return removed if isinstance(removed, Err) else Ok(None)

    async def load(self, now: float) -> Result[list[PartEvidence], TableError]:
        """Return the evidence that is not out of date, and delete the other rows."""
        scanned = await self.table.scan(KEY_PREFIX)
        if isinstance(scanned, Err):
            return scanned
        found = list(_read_rows(scanned.ok()))
        for row, report, at in found:
            if report is None or abs(now - at) > ROW_RETENTION_S:
                await self.table.transact([Delete(row.key, row.version)])
        return Ok(
            [
                report
                for _, report, at in found
                if report is not None and abs(now - at) <= ROW_RETENTION_S
            ]
        )


def _read_rows(rows: Iterable[Row]) -> Iterable[tuple[Row, PartEvidence | None, float]]:
    """Yield each row with its evidence, None if it is malformed, and the time of its writing."""
    for row in rows:
        try:
            crashes, trials, at = json.loads(row.value)
            part = row.key.removeprefix(KEY_PREFIX)
            report = PartEvidence(part, [str(item) for item in crashes], [], int(trials))
            yield row, report, float(at)
        except (ValueError, TypeError):
            yield row, None, 0.0
