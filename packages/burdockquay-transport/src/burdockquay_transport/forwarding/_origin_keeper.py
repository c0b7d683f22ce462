"""Keep in the platform's table where the streams of each route may have begun."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine, Iterable
from typing import Any

import attrs
from result import Err, Ok, Result

from burdockquay_coordination.forwarding import (
    FIRST_ERA,
    ORIGIN_KEY_PREFIX,
    UNKNOWN_ORIGIN,
    OriginRecord,
    OriginRecords,
    RouteKey,
    StreamOrigin,
    extend_record,
    possible_origins,
)
from burdockquay_state import Delete, Put, Row, TableError, TableErrorKind, TableService, era_of

from .._events import Event, log_event
from ._shared_read import SharedRead

RECORD_WAIT_S = 0.5
"""Longest time for which the first event of a stream is held until its origin is recorded, seconds:
shorter than the silence that callers tolerate."""

FAILED_WAIT_S = 2.0
"""Time after a failed write for which no other stream is held, seconds."""

RETRY_PAUSES_S = (0.02, 2.0)
"""First and longest pause between two attempts to write a record, seconds."""

MAX_PLAN_DELAY_S = 1.0
"""Longest delay before a process records an origin at which it begins no stream, seconds."""

MAX_WRITTEN_ROWS = 100
"""Most rows of one transaction; the platform accepts no more."""

SCANNED_ROWS = 500
"""Most rows of one query; the platform returns no more."""

STAGGER_PER_PROCESS_S = 0.002
MAX_STAGGER_S = 0.3
"""Spread of the writes of all processes when a version appears, seconds. The first one to write
tells the others."""


@attrs.frozen
class _Wanted:
    """An origin that is to be recorded."""

    since: float
    recorded: asyncio.Future[None]
    failures: int = 0
    error: TableError | None = None


class OriginKeeper:
    """Records the origins of streams before callers get their first events, and reads the record.

    A process that has just started knows only the present list of upstreams. The record tells it
    where streams that are resumed may have begun, also if all processes were lost.

    Parameters
    ----------
    table : TableService or None
        None if the platform has no table; nothing is then recorded.
    now : callable
        Returns the time on the clock of the process, seconds.
    rng : random.Random
    processes : callable
        Returns the number of processes that may write the same record.
    """

    def __init__(
        self,
        table: TableService | None,
        now: Callable[[], float],
        rng: random.Random,
        processes: Callable[[], int],
    ):
        self.table = table
        self.now = now
        self.rng = rng
        self.processes = processes
        self.records = OriginRecords()
        self.spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task] = asyncio.ensure_future
        self.share: Callable[[OriginRecord], None] = lambda record: None
        self.on_several: Callable[[OriginRecord], None] = lambda record: None
        self._era = 0
        self._wanted: dict[tuple[RouteKey, StreamOrigin], _Wanted] = {}
        self._writer: asyncio.Task | None = None
        self._planned: set[tuple[RouteKey, StreamOrigin]] = set()
        self._reading = SharedRead(self._scan)
        self._malformed: set[str] = set()
        self._failed_at = float("-inf")

    def has(self, route: RouteKey, origin: StreamOrigin) -> bool:
        """Return whether an origin is recorded, or need not be."""
        if self.table is None:
            return True
        self._check_era()
        return self.records.has(route, origin)

    def begin(self, route: RouteKey, origin: StreamOrigin) -> None:
        """Begin to record an origin, if that is needed."""
        item = (route, origin)
        if self.has(route, origin) or item in self._wanted:
            return
        self._wanted[item] = _Wanted(self.now(), asyncio.get_running_loop().create_future())
        if self._writer is None or self._writer.done():
            self._writer = self.spawn(self._write_wanted())

    async def ensure(self, route: RouteKey, origin: StreamOrigin, request: str) -> bool:
        """Wait until an origin is recorded, or for a short time while the table is unavailable.

        Parameters
        ----------
        route : RouteKey
        origin : StreamOrigin
        request : str
            Id of the request whose first event waits, for the log.

        Returns
        -------
        bool
            Whether it is recorded.
        """
        self.begin(route, origin)
        wanted = self._wanted.get((route, origin))
        if wanted is None:
            return True
        begun_at = self.now()
        if begun_at - self._failed_at >= FAILED_WAIT_S:
            # The writes go on if the stream that waits for them ends.
            await asyncio.wait([wanted.recorded], timeout=RECORD_WAIT_S)
            if not self.has(route, origin):
                self._failed_at = self.now()
        is_recorded = self.has(route, origin)
        wanted = self._wanted.get((route, origin), wanted)
        if not is_recorded:
            log_event(
                Event.ORIGIN_NOT_RECORDED,
                request=request,
                prefix=route.prefix,
                service=origin.service,
                software=origin.version,
                waited_s=self.now() - begun_at,
                failures=wanted.failures,
                reason=wanted.error.kind if wanted.error else "no answer",
                detail=wanted.error.detail if wanted.error else "",
            )
        return is_recorded

    async def find_possible(self, route: RouteKey) -> frozenset[StreamOrigin] | None:
        """Return where a stream that is resumed now may have begun, None if that is unknown.

        Requests at the same time share a query that begins after all of them.

        Returns
        -------
        frozenset of StreamOrigin or None
            Empty if no stream of the route has begun.
        """
        if self.table is None:
            return None
        # A query that began before this request may lack the origin of the stream.
        read = await self._reading.get(self.spawn)
        if isinstance(read, Err):
            return None
        possible = possible_origins(route, read.ok())
        is_copy = self.table.era > FIRST_ERA
        return possible or frozenset({UNKNOWN_ORIGIN} if is_copy else ())

    def receive(self, record: OriginRecord) -> None:
        """Apply a record that another process has read or written."""
        self._check_era()
        if era_of(record.version) == self._era:
            self._learn(record)
            self._settle_wanted()

    def observe(self, route: RouteKey, present: Iterable[StreamOrigin], now: float) -> None:
        """Record at which origins streams of a route may begin at present."""
        present = frozenset(present)
        self.records.observe(route, present, now)
        for origin in present if route in self.records.routes else ():
            item = (route, origin)
            if not self.has(route, origin) and item not in self._planned:
                if not self._planned:
                    self.spawn(self._begin_planned())
                self._planned.add(item)

    async def _begin_planned(self) -> None:
        """Record origins before streams begin there, unless another process does.

        A version that appears concerns all routes of its service; they are written together.
        """
        await asyncio.sleep(self.rng.uniform(0.0, MAX_PLAN_DELAY_S))
        planned, self._planned = self._planned, set()
        for route, origin in planned:
            self.begin(route, origin)

    def has_expired(self, now: float) -> bool:
        """Return whether the record has origins at which no stream has begun for long."""
        if self.table is None:
            return False
        self._check_era()
        return any(self.records.expired(route, now) for route in self.records.routes)

    async def remove_expired(self, now: float, in_use: Collection[StreamOrigin]) -> None:
        """Remove the origins from the record at which no stream has begun for long.

        Parameters
        ----------
        now : float
        in_use : collection of StreamOrigin
            Origins that may have begun streams, as a list shows that was read after ``now``.
        """
        for record in list(self.records.all()):
            expired = self.records.expired(record.route, now) - frozenset(in_use)
            if not expired:
                continue
            left = OriginRecord(record.route, record.origins - expired, record.version)
            written = await (self._write([left]) if left.origins else self._remove(left))
            if isinstance(written, Err):
                # The row may have changed; it is read again before the next write.
                self.records.forget(record.route)

    async def _write_wanted(self) -> None:
        """Write all wanted origins, as many as possible in one transaction."""
        await asyncio.sleep(self._stagger_s())
        pause_s = RETRY_PAUSES_S[0]
        most = MAX_WRITTEN_ROWS
        while True:
            self._settle_wanted()
            items = list(self._wanted)[:most]
            if not items:
                return
            written = await self._extend(items)
            if written.is_ok():
                pause_s = RETRY_PAUSES_S[0]
                continue
            error = written.err()
            if error.kind is not TableErrorKind.CONFLICT:
                self._failed_at = self.now()
            if error.kind is TableErrorKind.INVALID:
                # One row that the platform does not accept must not hold back the others.
                most = max(1, most // 2)
            for item in items:
                wanted = self._wanted.pop(item)
                self._wanted[item] = attrs.evolve(wanted, failures=wanted.failures + 1, error=error)
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, RETRY_PAUSES_S[1])

    def _settle_wanted(self) -> None:
        """Wake the streams whose origins this process or another one has recorded."""
        for item in [item for item in self._wanted if self.has(*item)]:
            wanted = self._wanted.pop(item)
            wanted.recorded.set_result(None)
            route, origin = item
            log_event(
                Event.ORIGIN_RECORDED,
                prefix=route.prefix,
                service=origin.service,
                software=origin.version,
                seconds=self.now() - wanted.since,
                failures=wanted.failures,
            )

    def _stagger_s(self) -> float:
        limit_s = min(MAX_STAGGER_S, STAGGER_PER_PROCESS_S * self.processes())
        return self.rng.uniform(0.0, limit_s)

    async def _extend(
        self, items: Collection[tuple[RouteKey, StreamOrigin]]
    ) -> Result[None, TableError]:
        """Add origins to the records of their routes, in one transaction."""
        read = await self._scan()
        if isinstance(read, Err):
            return read
        by_route: dict[RouteKey, OriginRecord] = {}
        for route, origin in items:
            if self.has(route, origin):
                self.share(self.records.get(route))
            elif route in by_route:
                known = by_route[route]
                by_route[route] = attrs.evolve(known, origins=known.origins | {origin})
            else:
                by_route[route] = extend_record(route, read.ok(), origin, self.table.era)
        return await self._write(by_route.values()) if by_route else Ok(None)

    async def _scan(self) -> Result[tuple[OriginRecord, ...], TableError]:
        """Return all records, which this process then knows."""
        rows: list[Row] = []
        while True:
            after = rows[-1].key if rows else ""
            page = await self.table.scan(ORIGIN_KEY_PREFIX, after, SCANNED_ROWS)
            if isinstance(page, Err):
                return page
            rows += page.ok()
            if len(page.ok()) < SCANNED_ROWS:
                break
        era = self.table.era
        found = {row.key: OriginRecord.decode(row.value, row.version, era) for row in rows}
        self._malformed = {key for key, record in found.items() if record is None}
        records = tuple(record for record in found.values() if record is not None)
        self._check_era()
        for record in records:
            self._learn(record)
        return Ok(records)

    async def _write(self, records: Collection[OriginRecord]) -> Result[None, TableError]:
        written = await self.table.transact([self._make_put(record) for record in records])
        if isinstance(written, Err):
            return written
        self._check_era()
        for record, version in zip(records, written.ok(), strict=True):
            stored = attrs.evolve(record, version=version)
            self._learn(stored)
            self.share(stored)
        return Ok(None)

    def _make_put(self, record: OriginRecord) -> Put:
        expected = record.version or self.table.absent
        if record.route.row_key in self._malformed:
            expected = None
        return Put(record.route.row_key, record.encode(self.table.era), expected)

    async def _remove(self, record: OriginRecord) -> Result[None, TableError]:
        removed = await self.table.transact([Delete(record.route.row_key, record.version)])
        if isinstance(removed, Err):
            return removed
        self.records.forget(record.route)
        return Ok(None)

    def _learn(self, record: OriginRecord) -> None:
        was_single = len(self.records.get(record.route).origins) < 2
        if self.records.learn(record) and was_single and len(record.origins) > 1:
            self.on_several(record)

    def _check_era(self) -> None:
        """Forget what was recorded in a table that has been restored from a copy since."""
        if self.table is not None and self.table.era != self._era:
            self._era = self.table.era
            self.records.forget_all()
