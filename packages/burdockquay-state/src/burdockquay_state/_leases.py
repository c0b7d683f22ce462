"""Leases with fencing numbers, for tasks that one process at a time may carry out."""

from __future__ import annotations

from typing import ClassVar

import attrs
import cbor2
from result import Err, Ok, Result

from ._table import ABSENT, Put, Row, TableError, TableErrorKind, TableService
from ._validation import Constraint, Interval, check_parameters
from ._versions import era_of

LEASE_PREFIX = "lease/"
"""Prefix of the table keys of all leases."""

HOLDER_USE_FRACTION = 0.8
"""Fraction of the duration of a lease during which its holder uses it."""

FENCING_ERA_SHIFT = 32
"""Bits of a fencing number below its era; the complete number stays exact as a JSON number."""


@attrs.frozen
class Lease:
    """Lease as seen by its holder.

    Parameters
    ----------
    name, holder : str
    fencing : int
        Increases with each change of the holder; sent with every order given under the lease. Its
        upper part is the era of the table, so that no number is assigned twice after the table
        has lost a row.
    renewal : int
        Number of writes of the row.
    duration_s : float
    usable_until : float
        Time on the clock of the holder from which on it must not use the lease.
    version : int
        Version of the row in the table.
    """

    name: str
    holder: str
    fencing: int
    renewal: int
    duration_s: float
    usable_until: float
    version: int

    def is_usable(self, now: float) -> bool:
        """Return whether the holder may still act under the lease."""
        return now < self.usable_until


@attrs.frozen
class LeaseRefusal:
    """Error for a lease that was not obtained.

    Parameters
    ----------
    name : str
    holder : str
        Current holder; empty if unknown.
    detail : str
    """

    name: str
    holder: str
    detail: str


@attrs.frozen
class _LeaseRow:
    holder: str
    fencing: int
    renewal: int
    duration_s: float
    version: int = ABSENT

    @property
    def is_of_current_era(self) -> bool:
        """Whether the row was written in the era in which it was read."""
        return self.fencing >> FENCING_ERA_SHIFT == era_of(self.version)

    def encode(self) -> bytes:
        return cbor2.dumps([self.holder, self.fencing, self.renewal, self.duration_s])


@attrs.frozen
class _ObservedVersion:
    """Version of a lease row, and the time at which this process first read it."""

    version: int
    first_read_at: float


class LeaseStore:
    """Leases stored in the platform's table.

    Parameters
    ----------
    table : TableService
    margin : float
        Fraction of the duration that other processes wait in addition before they take over.

    Notes
    -----
    The clocks of different VMs are never compared. An observer measures the duration on its own
    clock, from the time at which it first read the current version of the row; each renewal changes
    the row and restarts the measurement. The holder measures from before its write and stops early.

    A paused holder may act after its lease has passed to another process. Expiry therefore only
    decides who may try. Each order carries the fencing number, and an upstream that checks it
    rejects the earlier holder. Where upstreams do not check it, one claim row per order decides.

    A table that was restored from a copy may have lost a change of the holder. A row of an earlier
    era is therefore not taken over for a complete duration, whichever holder it names. A process
    that observed the restore treats a missing row in the same way. The current holder may obtain
    its lease again at once.

    Examples
    --------
    >>> import asyncio
    >>> from burdockquay_state import MemoryTable
    >>> leases = LeaseStore(MemoryTable())
    >>> asyncio.run(leases.acquire("sweep", "slot-1", 10.0, now=0.0)).ok().fencing
    1
    >>> asyncio.run(leases.acquire("sweep", "slot-2", 10.0, now=1.0)).err().holder
    'slot-1'
    >>> asyncio.run(leases.acquire("sweep", "slot-2", 10.0, now=13.0)).ok().fencing
    2
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {"margin": [Interval(float, 0.0, 10.0)]}

    def __init__(self, table: TableService, margin: float = 0.1):
        self.table = table
        self.margin = margin
        check_parameters(self)
        self._observed_versions: dict[str, _ObservedVersion] = {}
        self._era = table.era
        self._restored_at = -float("inf")

    def is_current(self, lease: Lease) -> bool:
        """Return whether a lease is of the latest known era of the table; all others are void."""
        return era_of(lease.version) == self.table.era

    async def acquire(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> Result[Lease, LeaseRefusal]:
        """Obtain a lease, or renew it if ``holder`` already has it.

        Parameters
        ----------
        name : str
        holder : str
            Incarnation of the process; a restarted process is a different holder.
        duration_s : float
        now : float
            Time on the clock of this process, seconds.
        """
        found = await self._read(name)
        if found.is_err():
            return Err(LeaseRefusal(name, "", f"table: {found.err().kind.value}"))
        row = found.ok()
        self._record_era(now)
        if row is None:
            if now - self._restored_at < duration_s * (1.0 + self.margin):
                return Err(LeaseRefusal(name, "", "the table may have lost its holder"))
            return await self._write_holder(name, row, holder, duration_s, now)
        is_free = row.holder in ("", holder) and row.is_of_current_era
        if not is_free and not self._has_expired(name, row, now):
            return Err(LeaseRefusal(name, row.holder, "held"))
        return await self._write_holder(name, row, holder, duration_s, now)

    async def renew(self, lease: Lease, now: float) -> Result[Lease, LeaseRefusal]:
        """Extend a lease; fails if the row was written since.

        Notes
        -----
        After a restore of the table, the holder obtains the lease again under a new fencing number.
        No other process can obtain it before the duration measured by the holder has passed.
        """
        wanted = _LeaseRow(lease.holder, lease.fencing, lease.renewal + 1, lease.duration_s)
        written = await self._write(lease.name, wanted, lease.version, now)
        if written.is_ok() or self.is_current(lease) or not lease.is_usable(now):
            return written
        found = await self._read(lease.name)
        if found.is_err():
            return Err(LeaseRefusal(lease.name, "", f"table: {found.err().kind.value}"))
        row = found.ok()
        if row is not None and row.is_of_current_era:
            return Err(LeaseRefusal(lease.name, row.holder, "held"))
        return await self._write_holder(lease.name, row, lease.holder, lease.duration_s, now)

    async def release(self, lease: Lease) -> Result[None, LeaseRefusal]:
        """Release a lease, so that the next holder need not wait for it to expire.

        Notes
        -----
        The row is kept because it holds the fencing number. If numbers started again from 1, a
        paused earlier holder could pass for the current one.
        """
        wanted = _LeaseRow("", lease.fencing, lease.renewal + 1, lease.duration_s)
        written = await self._write(lease.name, wanted, lease.version, now=0.0)
        return Ok(None) if written.is_ok() else Err(written.err())

    def _record_era(self, now: float) -> None:
        if self.table.era > self._era:
            self._restored_at = now if self._era else self._restored_at
            self._era = self.table.era

    async def _write_holder(
        self, name: str, row: _LeaseRow | None, holder: str, duration_s: float, now: float
    ) -> Result[Lease, LeaseRefusal]:
        version = row.version if row else self.table.absent
        first = (era_of(version) << FENCING_ERA_SHIFT) + 1
        if row is None:
            return await self._write(name, _LeaseRow(holder, first, 1, duration_s), version, now)
        keeps_number = row.holder == holder and row.is_of_current_era
        fencing = row.fencing if keeps_number else max(row.fencing + 1, first)
        wanted = _LeaseRow(holder, fencing, row.renewal + 1, duration_s)
        return await self._write(name, wanted, version, now)

    def _has_expired(self, name: str, row: _LeaseRow, now: float) -> bool:
        observed = self._observed_versions.get(name)
        if observed is None or observed.version != row.version:
            self._observed_versions[name] = _ObservedVersion(row.version, now)
            return False
        return now - observed.first_read_at >= row.duration_s * (1.0 + self.margin)

    async def _write(
        self, name: str, wanted: _LeaseRow, expected_version: int, now: float
    ) -> Result[Lease, LeaseRefusal]:
        written = await self.table.transact(
            [Put(LEASE_PREFIX + name, wanted.encode(), expected_version)]
        )
        if written.is_ok():
            return Ok(self._make_lease(name, wanted, written.ok()[0], now))
        if written.err().kind is not TableErrorKind.UNCERTAIN:
            return Err(LeaseRefusal(name, "", f"table: {written.err().kind.value}"))
        # The confirmation was lost. The row shows whether the write took effect. If it has not yet,
        # the lease counts as not obtained, and a late write only delays the next holder.
        found = await self._read(name)
        row = found.ok() if found.is_ok() else None
        if row is not None and attrs.evolve(row, version=ABSENT) == wanted:
            return Ok(self._make_lease(name, wanted, row.version, now))
        return Err(LeaseRefusal(name, "", "no confirmation"))

    def _make_lease(self, name: str, row: _LeaseRow, version: int, now: float) -> Lease:
        return Lease(
            name=name,
            holder=row.holder,
            fencing=row.fencing,
            renewal=row.renewal,
            duration_s=row.duration_s,
            usable_until=now + row.duration_s * HOLDER_USE_FRACTION,
            version=version,
        )

    async def _read(self, name: str) -> Result[_LeaseRow | None, TableError]:
        rows = await self.table.get([LEASE_PREFIX + name])
        if rows.is_err():
            return rows
        (row,) = rows.ok()
        return Ok(None) if row is None else _decode(row)


def _decode(row: Row) -> Result[_LeaseRow, TableError]:
    try:
        return Ok(_LeaseRow(*cbor2.loads(row.value), version=row.version))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        return Err(TableError(TableErrorKind.INVALID, f"lease row {row.key}: {error}"))
