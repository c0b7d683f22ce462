"""Writes the claims of this process again after the table returned from a copy."""

from __future__ import annotations

import asyncio

import attrs
from result import Err, Ok, Result

from ._claim_rows import ClaimRow, decode_row
from ._claims import ClaimStore, Rewrite
from ._table import Row, TableError, TableErrorKind

_KEYS_AT_ONCE = 500


@attrs.frozen
class RestoreReport:
    """What became of the claims that a process remembered.

    Parameters
    ----------
    era : int
        Era of the table in which they stand now.
    standing : int
        Rows that the table had not lost.
    written : int
        Rows written again.
    taken : tuple of str
        Row keys that another attempt holds by now, so that the request may run twice.
    """

    era: int
    standing: int = 0
    written: int = 0
    taken: tuple[str, ...] = ()


class ClaimRestorer:
    """Brings the remembered claims back into the table.

    Parameters
    ----------
    claims : ClaimStore

    Notes
    -----
    The table may have lost the latest claims although their requests run. Until they stand again
    a repeat of a key looks like its first request, so a slot writes them as soon as it learns of
    the return, and others make no claims for a while.
    """

    def __init__(self, claims: ClaimStore):
        self.claims = claims

    async def restore(self) -> Result[RestoreReport, TableError]:
        """Write again what the table lacks; after an error the caller tries again."""
        era = self.claims.table.era
        rows = self.claims.memory.newest_first()
        counts = dict.fromkeys(Rewrite, 0)
        taken: list[str] = []
        for start in range(0, len(rows), _KEYS_AT_ONCE):
            part = rows[start : start + _KEYS_AT_ONCE]
            found = await self.claims.table.get([row_key for row_key, _ in part])
            if found.is_err():
                return found
            works = (
                self._restore_one(row_key, row, current)
                for (row_key, row), current in zip(part, found.ok(), strict=True)
            )
            for (row_key, _), result in zip(part, await asyncio.gather(*works), strict=True):
                if result.is_err():
                    return result
                counts[result.ok()] += 1
                if result.ok() is Rewrite.TAKEN:
                    taken.append(row_key)
        if self.claims.table.era != era:
            return Err(TableError(TableErrorKind.UNCERTAIN, "the table returned once more"))
        self.claims.memory.mark_standing(era)
        return Ok(
            RestoreReport(era, counts[Rewrite.STANDING], counts[Rewrite.WRITTEN], tuple(taken))
        )

    async def _restore_one(
        self, row_key: str, row: ClaimRow, current: Row | None
    ) -> Result[Rewrite, TableError]:
        decoded = Ok(None) if current is None else decode_row(current)
        if decoded.is_err():
            return decoded
        done = await self.claims.write_again(row_key, row, decoded.ok())
        latest = self.claims.memory.get(row_key)
        while done.is_ok() and latest is not None and latest is not row:
            # The outcome came meanwhile, and its own write may have met no row to replace.
            row = latest
            done = await self.claims.read_and_write_again(row_key, row)
            latest = self.claims.memory.get(row_key)
        return done
