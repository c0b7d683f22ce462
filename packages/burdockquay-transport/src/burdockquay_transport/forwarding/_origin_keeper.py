"""Keep in the platform's table where the streams of each route may have begun."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Coroutine, Iterable
from typing import Any

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

SCANNED_ROWS = 500
"""Most rows of one query; the platform returns no more."""

STAGGER_PER_PROCESS_S = 0.002
MAX_STAGGER_S = 0.3
"""Spread of the writes of all processes when a version appears, seconds. The first one to write
tells the others."""


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
        self._writing: dict[tuple[RouteKey, StreamOrigin], asyncio.Task] = {}
        self._failures: dict[tuple[RouteKey, StreamOrigin], tuple[int, TableError]] = {}
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
        if not self.has(route, origin) and item not in self._writing:
            task = self._writing[item] = self.spawn(self._record(route, origin))
            task.add_done_callback(lambda _: self._forget_write(item))

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
        task = self._writing.get((route, origin))
        if task is None:
            return True
        begun_at = self.now()
        if begun_at - self._failed_at >= FAILED_WAIT_S:
            # The task goes on if the stream that waits for it ends.
            await asyncio.wait([task], timeout=RECORD_WAIT_S)
            if not self.has(route, origin):
                self._failed_at = self.now()
        is_recorded = self.has(route, origin)
        if not is_recorded:
            failures, error = self._failures.get((route, origin), (0, None))
            log_event(
                Event.ORIGIN_NOT_RECORDED,
                request=request,
                prefix=route.prefix,
                service=origin.service,
                software=origin.version,
                waited_s=self.now() - begun_at,
                failures=failures,
                reason=error.kind if error else "no answer",
                detail=error.detail if error else "",
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

    def observe(self, route: RouteKey, present: Iterable[StreamOrigin], now: float) -> None:
        """Record at which origins streams of a route may begin at present."""
        present = frozenset(present)
        self.records.observe(route, present, now)
        for origin in present if route in self.records.routes else ():
            item = (route, origin)
            if not self.has(route, origin) and item not in self._planned:
                self._planned.add(item)
                self.spawn(self._begin_later(route, origin))

    async def _begin_later(self, route: RouteKey, origin: StreamOrigin) -> None:
        """Record an origin before a stream begins there, unless another process does."""
        await asyncio.sleep(self.rng.uniform(0.0, MAX_PLAN_DELAY_S))
        self._planned.discard((route, origin))
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
            written = await (self._write(left) if left.origins else self._remove(left))
            if isinstance(written, Err):
                # The row may have changed; it is read again before the next write.
                self.records.forget(record.route)

    def _forget_write(self, item: tuple[RouteKey, StreamOrigin]) -> None:
        self._writing.pop(item, None)
        self._failures.pop(item, None)

    async def _record(self, route: RouteKey, origin: StreamOrigin) -> None:
        begun_at = self.now()
        await asyncio.sleep(self._stagger_s())
        pause_s = RETRY_PAUSES_S[0]
        failures = 0
        while not self.has(route, origin):
            written = await self._extend(route, origin)
            if written.is_ok():
                continue
            if written.err().kind is not TableErrorKind.CONFLICT:
                self._failed_at = self.now()
            failures += 1
            self._failures[route, origin] = (failures, written.err())
            await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.0))
            pause_s = min(2 * pause_s, RETRY_PAUSES_S[1])
        log_event(
            Event.ORIGIN_RECORDED,
            prefix=route.prefix,
            service=origin.service,
            software=origin.version,
            seconds=self.now() - begun_at,
            failures=failures,
        )

    def _stagger_s(self) -> float:
        limit_s = min(MAX_STAGGER_S, STAGGER_PER_PROCESS_S * self.processes())
        return self.rng.uniform(0.0, limit_s)

    async def _extend(self, route: RouteKey, origin: StreamOrigin) -> Result[None, TableError]:
        read = await self._scan()
        if isinstance(read, Err):
            return read
        record = extend_record(route, read.ok(), origin, self.table.era)
        if self.has(route, origin):
            self.share(self.records.get(route))
            return Ok(None)
        return await self._write(record)

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

    async def _write(self, record: OriginRecord) -> Result[None, TableError]:
        value = record.encode(self.table.era)
        expected = record.version or self.table.absent
        if record.route.row_key in self._malformed:
            expected = None
        written = await self.table.transact([Put(record.route.row_key, value, expected)])
        if isinstance(written, Err):
            return written
        stored = OriginRecord(record.route, record.origins, written.ok()[0])
        self._check_era()
        self._learn(stored)
        self.share(stored)
        return Ok(None)

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
