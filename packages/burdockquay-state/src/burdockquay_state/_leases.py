"""Leases with fencing numbers, for what has one owner at a time."""

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

HOLDER_PART = 0.8
"""Part of a lease's duration for which its holder uses it."""

FENCING_ERA_SHIFT = 32
"""Bits of a fencing number below its era; the whole stays exact as a JSON number."""


@attrs.frozen
class Lease:
    """A lease as its holder sees it.

    Parameters
    ----------
    name, holder : str
    fencing : int
        Grows with each change of the holder; goes with every order given under the lease. The era
        of the table is its upper part, so that a row lost by the table gives no number out twice.
    renewal : int
        Counts the writes of the row.
    duration_s : float
    usable_until : float
        Time on the holder's own clock after which it must not use the lease.
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
class LeaseHeld:
    """The lease was not obtained.

    Parameters
    ----------
    name : str
    holder : str
        Who holds it as far as is known; empty if that is not known.
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
    def is_of_present_era(self) -> bool:
        """Whether the row was written in the era in which it was read."""
        return self.fencing >> FENCING_ERA_SHIFT == era_of(self.version)

    def encode(self) -> bytes:
        return cbor2.dumps([self.holder, self.fencing, self.renewal, self.duration_s])


@attrs.frozen
class _Sighting:
    """A version of a lease row, and when this process first saw it."""

    version: int
    since: float


class LeaseStore:
    """Leases in the platform's table.

    Parameters
    ----------
    table : TableService
    margin : float
        Part of the duration that others wait on top of it before they take over.

    Notes
    -----
    The clocks of two VMs are never compared. An observer counts the duration on its own clock,
    from the moment at which it first saw the row as it is; each renewal changes the row and
    starts the count again. The holder counts from before its write and stops early.

    A holder may be paused and act after its lease has passed on. Expiry therefore only decides
    who tries: each order carries the fencing number, by which an upstream that checks it refuses
    the earlier holder, and where upstreams do not check it a claim row per order decides.

    A table that returned from a copy may have lost a change of the holder. A row of an earlier era
    is therefore left alone for a whole duration, whoever it names, and so is a missing row by a
    process that saw the return; a present holder takes its lease again at once.

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
        self._sightings: dict[str, _Sighting] = {}
        self._era = table.era
        self._returned_at = -float("inf")

    def is_current(self, lease: Lease) -> bool:
        """Return whether a lease is of the present era, as far as is known; others are void."""
        return era_of(lease.version) == self.table.era

    async def acquire(
        self, name: str, holder: str, duration_s: float, now: float
    ) -> Result[Lease, LeaseHeld]:
        """Obtain a lease, or renew it if ``holder`` has it already.

        Parameters
        ----------
        name : str
        holder : str
            Incarnation of the process; a restarted process is another holder.
        duration_s : float
        now : float
            Seconds on the clock of this process.
        """
        found = await self._read(name)
        if found.is_err():
            return Err(LeaseHeld(name, "", f"table: {found.err().kind.value}"))
        row = found.ok()
        self._note_era(now)
        if row is None:
            if now - self._returned_at < duration_s * (1.0 + self.margin):
                return Err(LeaseHeld(name, "", "the table may have lost its holder"))
            return await self._take(name, row, holder, duration_s, now)
        is_free = row.holder in ("", holder) and row.is_of_present_era
        if not is_free and not self._has_lapsed(name, row, now):
            return Err(LeaseHeld(name, row.holder, "held"))
        return await self._take(name, row, holder, duration_s, now)

    async def renew(self, lease: Lease, now: float) -> Result[Lease, LeaseHeld]:
        """Prolong a lease; refused if anyone wrote the row since.

        Notes
        -----
        After a return of the table the holder takes the lease again, under a new number. Nobody
        else can have it before the duration that the holder counts is over.
        """
        wanted = _LeaseRow(lease.holder, lease.fencing, lease.renewal + 1, lease.duration_s)
        written = await self._write(lease.name, wanted, lease.version, now)
        if written.is_ok() or self.is_current(lease) or not lease.is_usable(now):
            return written
        found = await self._read(lease.name)
        if found.is_err():
            return Err(LeaseHeld(lease.name, "", f"table: {found.err().kind.value}"))
        row = found.ok()
        if row is not None and row.is_of_present_era:
            return Err(LeaseHeld(lease.name, row.holder, "held"))
        return await self._take(lease.name, row, lease.holder, lease.duration_s, now)

    async def release(self, lease: Lease) -> Result[None, LeaseHeld]:
        """Give a lease up, so that the next holder need not wait for its expiry.

        Notes
        -----
        The row stays, since it keeps the fencing number: a number that started again from 1 would
        let a paused earlier holder pass for the present one.
        """
        wanted = _LeaseRow("", lease.fencing, lease.renewal + 1, lease.duration_s)
        written = await self._write(lease.name, wanted, lease.version, now=0.0)
        return Ok(None) if written.is_ok() else Err(written.err())

    def _note_era(self, now: float) -> None:
        if self.table.era > self._era:
            self._returned_at = now if self._era else self._returned_at
            self._era = self.table.era

    async def _take(
        self, name: str, row: _LeaseRow | None, holder: str, duration_s: float, now: float
    ) -> Result[Lease, LeaseHeld]:
        version = row.version if row else self.table.absent
        first = (era_of(version) << FENCING_ERA_SHIFT) + 1
        if row is None:
            return await self._write(name, _LeaseRow(holder, first, 1, duration_s), version, now)
        keeps_number = row.holder == holder and row.is_of_present_era
        fencing = row.fencing if keeps_number else max(row.fencing + 1, first)
        wanted = _LeaseRow(holder, fencing, row.renewal + 1, duration_s)
        return await self._write(name, wanted, version, now)

    def _has_lapsed(self, name: str, row: _LeaseRow, now: float) -> bool:
        seen = self._sightings.get(name)
        if seen is None or seen.version != row.version:
            self._sightings[name] = _Sighting(row.version, now)
            return False
        return now - seen.since >= row.duration_s * (1.0 + self.margin)

    async def _write(
        self, name: str, wanted: _LeaseRow, expected_version: int, now: float
    ) -> Result[Lease, LeaseHeld]:
        written = await self.table.transact(
            [Put(LEASE_PREFIX + name, wanted.encode(), expected_version)]
        )
        if written.is_ok():
            return Ok(self._make_lease(name, wanted, written.ok()[0], now))
        if written.err().kind is not TableErrorKind.UNCERTAIN:
            return Err(LeaseHeld(name, "", f"table: {written.err().kind.value}"))
        # The confirmation was lost. The row tells whether the write took effect; if it did not
        # yet, the lease counts as not obtained, and a late write only delays the next holder.
        found = await self._read(name)
        row = found.ok() if found.is_ok() else None
        if row is not None and attrs.evolve(row, version=ABSENT) == wanted:
            return Ok(self._make_lease(name, wanted, row.version, now))
        return Err(LeaseHeld(name, "", "no confirmation"))

    def _make_lease(self, name: str, row: _LeaseRow, version: int, now: float) -> Lease:
        return Lease(
            name=name,
            holder=row.holder,
            fencing=row.fencing,
            renewal=row.renewal,
            duration_s=row.duration_s,
            usable_until=now + row.duration_s * HOLDER_PART,
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
