"""Know where streams began before this process started, and record it for later processes."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from burdockquay_coordination.forwarding import (
    CheckpointRows,
    CheckpointSchedule,
    ListCheckpoint,
    ListState,
    RouteServices,
    StreamOrigin,
    StreamVersions,
    UpstreamChanges,
    find_unknown_removed,
    start_of_changes,
)
from burdockquay_state import Position, Put, TableError, TableErrorKind, TableService

from .._events import Event, log_event
from ._shared_read import SharedRead, Spawn

KEY_PREFIX = "list/"
POSITION_KEY = "list/position"
ENTRIES_KEY = "list/entries"
ROUTES_KEY = "list/routes"
"""Keys of the rows that hold the checkpoint."""

ReadListSince = Callable[[Position], Awaitable[Result[UpstreamChanges, TableError]]]


async def _read_nothing(after: Position) -> Result[UpstreamChanges, TableError]:
    """Return that the platform has not been read yet."""
    return Err(TableError(TableErrorKind.UNAVAILABLE, "not read yet"))


class ListCoverage:
    """Covers the time before this process began to follow the list of upstreams.

    The processes know which versions have left, and lose that knowledge if all end at once. One of
    them keeps a :class:`ListCheckpoint` in the platform's table. A process that has just started
    reads it and all changes of the list since. If it cannot, it does not know where streams that
    are resumed have begun, until it has followed the list for as long as streams are kept.

    Parameters
    ----------
    streams : StreamVersions
    routes : RouteServices
    now : callable
        Returns the time on the clock of the process, seconds.
    """

    def __init__(self, streams: StreamVersions, routes: RouteServices, now: Callable[[], float]):
        self.streams = streams
        self.routes = routes
        self.now = now
        self.table: TableService | None = None
        self.read_since: ReadListSince = _read_nothing
        self.listed: Callable[[], ListState | None] = lambda: None
        self._schedule = CheckpointSchedule()
        self._row_version = 0
        self._covering = SharedRead(self._cover)
        self._fault = ""

    @property
    def is_complete(self) -> bool:
        """Whether all origins are known at which streams have begun that can be resumed."""
        now = self.now()
        return self.streams.is_covered(now) and not self.streams.has_missed(now)

    async def ensure(self, spawn: Spawn) -> None:
        """Learn what happened before this process started, unless it knows.

        Requests at the same time share a reading.
        """
        if self.table is not None and not self.streams.is_covered(self.now()):
            await self._covering.get(spawn)

    async def maintain(self, spawn: Spawn) -> None:
        """Write the checkpoint if it is due; called by one process at a time.

        If several processes take themselves for the one that maintains it, each writes only what
        is newer than the row that it replaces.
        """
        if self.table is None or self._schedule.is_paused(self.now()):
            return
        await self.ensure(spawn)
        if not self.is_complete:
            self._schedule.record_incomplete(self.now())
            return
        if self._schedule.must_read:
            read = await self._read()
            if isinstance(read, Err) and read.err().kind is not TableErrorKind.INVALID:
                return
        checkpoint = self._make()
        if checkpoint is None or not self._schedule.is_due(checkpoint, self.now()):
            return
        await self._write(checkpoint)

    def _make(self) -> ListCheckpoint | None:
        """Return a checkpoint at the present position, None if this process cannot vouch for it."""
        now = self.now()
        listed, routes = self.listed(), self.routes.state(now)
        if listed is None or routes is None or not self.is_complete:
            return None
        if listed.position.era != self.table.era:
            return None
        return ListCheckpoint.make(listed, self.streams.all_seen(now), routes)

    async def _read(self) -> Result[ListCheckpoint | None, TableError]:
        """Return the checkpoint in the table, None if it has none."""
        read = await self.table.scan(KEY_PREFIX)
        if isinstance(read, Err):
            self._record_failure("read", read.err())
            return read
        rows = {row.key: row for row in read.ok()}
        position = rows.get(POSITION_KEY)
        self._row_version = 0 if position is None else position.version
        checkpoint = None
        if rows.keys() >= {POSITION_KEY, ENTRIES_KEY, ROUTES_KEY}:
            values = (rows[key].value for key in (POSITION_KEY, ENTRIES_KEY, ROUTES_KEY))
            checkpoint = ListCheckpoint.decode(CheckpointRows(*values))
        self._schedule.record_read(checkpoint, self.now())
        if rows and checkpoint is None:
            error = TableError(TableErrorKind.INVALID, f"{KEY_PREFIX}: malformed checkpoint")
            self._log_fault("read", error)
            return Err(error)
        return Ok(checkpoint)

    async def _write(self, checkpoint: ListCheckpoint) -> None:
        expected = self._row_version or self.table.absent
        rows = checkpoint.encode()
        # Whoever writes one of the others also writes this one, whose version is compared.
        operations = [Put(POSITION_KEY, rows.position, expected)]
        if self._schedule.must_write_entries(checkpoint):
            operations.append(Put(ENTRIES_KEY, rows.entries, None))
        if self._schedule.must_write_routes(checkpoint):
            operations.append(Put(ROUTES_KEY, rows.routes, None))
        written = await self.table.transact(operations)
        if isinstance(written, Err):
            self._record_failure("write", written.err())
            return
        self._row_version = written.ok()[0]
        self._schedule.record_written(checkpoint, self.now())
        self._fault = ""
        log_event(
            Event.CHECKPOINT_WRITTEN,
            era=checkpoint.position.era,
            revision=checkpoint.position.revision,
            entries=len(checkpoint.entries),
            origins=_names(checkpoint.origins),
            routes=len(checkpoint.routes.routes),
            moves=len(checkpoint.routes.moves),
        )

    async def _cover(self) -> None:
        """Read the checkpoint and all changes of the list since."""
        read = await self._read()
        if isinstance(read, Err):
            return
        checkpoint = read.ok()
        after = start_of_changes(checkpoint, self.table.era)
        if after is None:
            detail = "the store was restored since the checkpoint"
            self._log_fault("cover", TableError(TableErrorKind.CONFLICT, detail))
            return
        since = await self.read_since(after)
        if isinstance(since, Err):
            self._log_fault("cover", since.err())
            return
        self._apply(checkpoint, since.ok(), after)

    def _apply(
        self, checkpoint: ListCheckpoint | None, since: UpstreamChanges, after: Position
    ) -> None:
        now = self.now()
        entries = (*since.listed, *since.superseded)
        origins = {StreamOrigin(entry.service, entry.software_version) for entry in entries}
        if checkpoint is not None:
            origins |= checkpoint.origins
            self.routes.learn(checkpoint.routes, now)
        unknown = find_unknown_removed(checkpoint, since.removed)
        if unknown:
            self.streams.note_missed(now)
        self.streams.cover(origins, now)
        self._fault = ""
        log_event(
            Event.LIST_COVERED,
            era=after.era,
            revision=after.revision,
            has_checkpoint=checkpoint is not None,
            origins=_names(origins),
            changed=len(since.listed),
            removed=len(since.removed),
            unknown=",".join(sorted(unknown)),
        )

    def _record_failure(self, operation: str, error: TableError) -> None:
        self._schedule.record_failure(error, self.now())
        self._log_fault(operation, error)

    def _log_fault(self, operation: str, error: TableError) -> None:
        """Log a failure unless it is that of the last call."""
        if error.detail != self._fault:
            self._fault = error.detail
            log_event(
                Event.LIST_NOT_COVERED,
                operation=operation,
                reason=error.kind,
                detail=error.detail,
            )


def _names(origins: frozenset[StreamOrigin] | set[StreamOrigin]) -> str:
    return ",".join(sorted(f"{origin.service} {origin.version}" for origin in origins))
