"""Expiry of claim rows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import ClassVar

import attrs
from result import Ok, Result

from ._claim_rows import CLAIM_PREFIX, ORDER_ORGANISATION, ClaimRow, ClaimState, decode_row
from ._group_commit import GroupCommitter
from ._table import Delete, Row, TableError, TableService
from ._validation import Constraint, Interval, check_parameters

ATTEMPT_START_LIMIT_S = 3600.0
"""Longest time between the arrival of a request and the start of one of its attempts, seconds.

After this time, a slot sends no attempt and an entry no longer reports a request as not run.
"""

MIN_RETENTION_S = 2 * ATTEMPT_START_LIMIT_S
"""Shortest retention of claims, seconds; the excess over the limit allows for clock differences
between VMs."""


@attrs.frozen
class SweepPage:
    """Result of one page of a sweep.

    Parameters
    ----------
    seen, deleted : int
        Numbers of rows scanned and deleted.
    after : str
        Key after which the next page starts; empty at the end of the sweep.
    """

    seen: int
    deleted: int
    after: str


class ClaimSweep:
    """Deletes claim rows that are older than the retention time.

    Parameters
    ----------
    table : TableService
    committer : GroupCommitter
    retention_s : float
        How long the outcome of a key is kept, seconds.
    page : int
        Number of rows per scan.

    Notes
    -----
    After a row is deleted, an attempt that expects no row could claim again, and an entry that
    reads the key would conclude that nothing ran. Slots and entries therefore refuse to act later
    than ``ATTEMPT_START_LIMIT_S`` after the request arrived, and the retention is at least twice as
    long.

    Claims of orders are never deleted: a record may be in force for longer than any retention time,
    and its order would then be executed again.

    Age alone does not expire a row in state ``RUNNING``, because its slot may be paused right
    before it sends the request. The row is kept until the caller of the sweep knows that the
    process of the slot has ended for good.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "retention_s": [Interval(float, MIN_RETENTION_S)],
        "page": [Interval(int, 1, 1000)],
    }

    def __init__(
        self,
        table: TableService,
        committer: GroupCommitter,
        retention_s: float = 86400.0,
        page: int = 500,
    ):
        self.table = table
        self.committer = committer
        self.retention_s = retention_s
        self.page = page
        check_parameters(self)

    async def sweep_page(
        self, after: str, may_still_act: Callable[[str], bool], now: float
    ) -> Result[SweepPage, TableError]:
        """Scan one page of rows and delete those that have expired.

        Parameters
        ----------
        after : str
            :attr:`SweepPage.after` of the previous page; empty to start.
        may_still_act : callable
            Called with the incarnation of a slot; returns False only if that process has ended for
            good.
        now : float
            Seconds since the epoch.
        """
        rows = await self.table.scan(CLAIM_PREFIX, after, self.page)
        if rows.is_err():
            return rows
        expired = [row for row in rows.ok() if self._is_expired(row, may_still_act, now)]
        deletions = [Delete(row.key, row.version) for row in expired]
        results = await asyncio.gather(*(self.committer.write(delete) for delete in deletions))
        deleted = sum(result.is_ok() for result in results)
        last = rows.ok()[-1].key if len(rows.ok()) == self.page else ""
        return Ok(SweepPage(len(rows.ok()), deleted, last))

    def _is_expired(self, row: Row, may_still_act: Callable[[str], bool], now: float) -> bool:
        if row.key.startswith(f"{CLAIM_PREFIX}{ORDER_ORGANISATION}/"):
            return False
        decoded = decode_row(row)
        if decoded.is_err():
            return False
        claim: ClaimRow = decoded.ok()
        if claim.state is ClaimState.RUNNING and may_still_act(claim.incarnation):
            return False
        return now - claim.written_at > self.retention_s
