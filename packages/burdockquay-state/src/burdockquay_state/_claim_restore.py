"""Rewriting of the claims of this process after the table was restored from a copy."""

from __future__ import annotations

import asyncio

import attrs
from result import Err, Ok, Result

from ._claim_rows import ClaimRow, decode_row
from ._claims import ClaimStore, RewriteOutcome
from ._table import Row, TableError, TableErrorKind

_KEYS_PER_READ = 500


@attrs.frozen
class RestoreReport:
    """Result of restoring the recent claims of a process.

    Parameters
    ----------
    era : int
        Era of the table in which the rows are now present.
    standing : int
        Number of rows that the table had not lost.
    written : int
        Number of rows that were rewritten.
    taken : tuple of str
        Keys of rows that another attempt has claimed meanwhile; their requests may run twice.
    """

    era: int
    standing: int = 0
    written: int = 0
    taken: tuple[str, ...] = ()


class ClaimRestorer:
    """Restores the recent claims of this process in the table.

    Parameters
    ----------
    claims : ClaimStore

    Notes
    -----
    The table may have lost the latest claims while their requests run. Until they are present
    again, a retry with the same key looks like a first request. A slot therefore rewrites its
    claims as soon as it detects the restore, and other processes make no claims for a while.
    """

    def __init__(self, claims: ClaimStore):
        self.claims = claims

    async def restore(self) -> Result[RestoreReport, TableError]:
        """Rewrite the rows that the table has lost; the caller retries after an error."""
        era = self.claims.table.era
        rows = self.claims.recent_claims.newest_first()
        counts = dict.fromkeys(RewriteOutcome, 0)
        taken: list[str] = []
        for start in range(0, len(rows), _KEYS_PER_READ):
            part = rows[start : start + _KEYS_PER_READ]
            found = await self.claims.table.get([row_key for row_key, _ in part])
            if found.is_err():
                return found
            rewrites = (
                self._restore_one(row_key, row, current)
                for (row_key, row), current in zip(part, found.ok(), strict=True)
            )
            for (row_key, _), result in zip(part, await asyncio.gather(*rewrites), strict=True):
                if result.is_err():
                    return result
                counts[result.ok()] += 1
                if result.ok() is RewriteOutcome.TAKEN:
                    taken.append(row_key)
        if self.claims.table.era != era:
            return Err(TableError(TableErrorKind.UNCERTAIN, "the table returned once more"))
        self.claims.recent_claims.mark_present(era)
        return Ok(
            RestoreReport(
                era, counts[RewriteOutcome.PRESENT], counts[RewriteOutcome.WRITTEN], tuple(taken)
            )
        )

    async def _restore_one(
        self, row_key: str, row: ClaimRow, current: Row | None
    ) -> Result[RewriteOutcome, TableError]:
        decoded = Ok(None) if current is None else decode_row(current)
        if decoded.is_err():
            return decoded
        done = await self.claims.rewrite_row(row_key, row, decoded.ok())
        latest = self.claims.recent_claims.get(row_key)
        while done.is_ok() and latest is not None and latest is not row:
            # The outcome was recorded meanwhile, and its write may have found no row to replace.
            row = latest
            done = await self.claims.read_and_rewrite(row_key, row)
            latest = self.claims.recent_claims.get(row_key)
        return done
