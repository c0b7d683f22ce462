"""Follow the tables of the platform, sharing the polling with the other forwarders."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Collection, Iterable

import attrs
from result import Err, Ok, Result

from burdockquay_coordination.forwarding import (
    ChangeContinuity,
    PollSchedule,
)
from burdockquay_protocol import (
    ChangedRow,
    TableChanges,
    TableContent,
    TableQuestion,
    pack_rows,
)
from burdockquay_state import Position, TableError, TableErrorKind

from ._feed_exchange import FeedExchange
from ._table_store import TableReading, TableStore
from ._table_update import TableUpdate

MAX_BROADCAST_BYTES = 8192
"""Most bytes of changed rows in one message. It is sent to every process, over links that callers
use too; each process queries larger changes from the platform, or asks a peer if it cannot."""

MAX_CONTENT_BYTES = 2 << 20
"""Largest complete table that is sent to a peer, bytes after compression."""

MAX_RECEIVED_MESSAGES = 200
"""Most queued messages of peers; a process that drops some queries the platform itself."""


@attrs.frozen
class _PendingQuery:
    """A query to the platform that has not been handled yet."""

    after: Position
    is_shared: bool
    answer: asyncio.Task[Result[TableReading, TableError]]


class TableFeed:
    """Reads a table once, then its changes, and reads it again if the history has a gap.

    Parameters
    ----------
    store : TableStore
    table : str
    exchange : FeedExchange
    """

    def __init__(self, store: TableStore, table: str, exchange: FeedExchange):
        self.store = store
        self.table = table
        self.exchange = exchange
        self.poll_schedule = PollSchedule(exchange.rng, exchange.switches)
        self._position: Position | None = None
        self._read_era: int | None = None
        self._reread_at = float("-inf")
        self._rows: dict[str, ChangedRow] = {}
        self._packed: tuple[Position, bytes] | None = None
        # Each with whether it is a complete table.
        self._received: deque[tuple[TableChanges, bool]] = deque(maxlen=MAX_RECEIVED_MESSAGES)
        self._pending_query: _PendingQuery | None = None
        self._wait_s = float("inf")
        self._wake = asyncio.Event()
        exchange.add(self)

    @property
    def content(self) -> tuple[Position, frozenset[str]] | None:
        """The known position and the keys of all rows there, None if that is not known."""
        if self._position is None or self._is_past():
            return None
        return self._position, frozenset(self._rows)

    async def next(self, wait_s: float) -> Result[TableUpdate, TableError]:
        """Return the table at first, then its changes, from the platform or from a peer.

        After the store was restored from a copy, the complete table is returned again.

        Parameters
        ----------
        wait_s : float
            Longest time for which the platform holds a query, seconds.
        """
        self._wait_s = wait_s
        if self._position is None:
            return self._take_peer_table() or await self._read()
        try:
            while True:
                self._wake.clear()
                update = await self._poll_once(wait_s)
                if update is not None:
                    return update
                await self._wait(wait_s)
        except BaseException:
            # No later call of this feed would take the answer.
            self._cancel_query()
            raise

    def receive(self, message: TableChanges, is_complete: bool = False) -> None:
        """Queue a message of a peer about the table; see :meth:`FeedExchange.receive_changes`."""
        self._received.append((message, is_complete))
        self._wake.set()

    def answer_question(self, message: TableQuestion) -> TableContent | None:
        """Return the complete table for a peer that misses changes.

        Returns
        -------
        TableContent or None
            None if this process has no newer revision of the same era.
        """
        confirmed_s = self.poll_schedule.confirmed_platform_s
        position = self._position
        if position is None or confirmed_s is None or self._is_past():
            return None
        if message.era != position.era or message.known >= position.revision:
            return None
        if self._packed is None or self._packed[0] != position:
            self._packed = (position, pack_rows(self._rows.values()))
        packed = self._packed[1]
        if len(packed) > MAX_CONTENT_BYTES:
            return None
        steady_s = self.poll_schedule.steady_s(self.store.now())
        return TableContent(
            self.table, position.era, position.revision, confirmed_s, steady_s, packed
        )

    def set_poller(self, polls: bool, processes: int = 1, place: int = 0) -> None:
        """Set whether this process polls, how many are connected, and its place among them."""
        self.poll_schedule.place = place
        self.poll_schedule.is_poller = polls
        self.poll_schedule.processes = processes
        self._wake.set()

    def on_store_restored(self, now: float, from_peer: bool = False) -> None:
        """Schedule reading the table again: the store was restored from a copy.

        The changes of the restored store do not continue from the known position.

        Parameters
        ----------
        now : float
        from_peer : bool
            Whether a peer has told of it, which then sends the table, too.
        """
        wait_s = float("inf") if from_peer else self._wait_s
        self._reread_at = now + self.poll_schedule.reread_delay_s(now, wait_s)
        self._wake.set()

    def age_s(self, now: float) -> float:
        """Return the time since the known state of the table was last confirmed, seconds."""
        return self.poll_schedule.age_s(now)

    def _is_past(self) -> bool:
        """Return whether the store was restored from a copy after the known position."""
        return self.exchange.era.is_past(self._position.era)

    async def _poll_once(self, wait_s: float) -> Result[TableUpdate, TableError] | None:
        """Return the next update or error, None if there is none yet."""
        if self._is_past():
            self._cancel_query()
            received = self._take_peer_table()
            if received is not None:
                return received
            return await self._read() if self.store.now() >= self._reread_at else None
        update = self._take_peer_update()
        if update is not None:
            return Ok(update)
        if self._pending_query is not None and self._pending_query.answer.done():
            query, self._pending_query = self._pending_query, None
            return await self._apply_answer(query, wait_s)
        self._query_if_due(wait_s)
        self._ask_if_due()
        return None

    def _ask_if_due(self) -> None:
        """Ask a peer for changes that the platform does not send to this process in time."""
        if self.store.now() >= self.poll_schedule.question_due_at:
            self._ask_peer(self._position)

    def _ask_peer(self, position: Position) -> None:
        self.poll_schedule.record_question(self.store.now())
        self.exchange.send_question(TableQuestion(self.table, position.era, position.revision))

    def _cancel_query(self) -> None:
        if self._pending_query is not None:
            self._pending_query.answer.cancel()
            self._pending_query = None

    def _query_if_due(self, wait_s: float) -> None:
        now = self.store.now()
        if self._pending_query is not None or now < self._reread_at:
            return
        if not self.poll_schedule.is_due(now, wait_s):
            return
        hold_s = self.poll_schedule.hold_s(now, wait_s)
        answer = asyncio.ensure_future(self.store.wait_for_rows(self.table, self._position, hold_s))
        answer.add_done_callback(lambda _: self._wake.set())
        self._pending_query = _PendingQuery(
            self._position, self.poll_schedule.broadcasts_answer(now, wait_s), answer
        )

    async def _wait(self, wait_s: float) -> None:
        """Wait for a peer, for the platform, or until the next query is due."""
        now = self.store.now()
        limit_s = None
        if self._is_past():
            limit_s = max(0.0, self._reread_at - now)
        elif self._pending_query is None:
            due_at = max(self._reread_at, self.poll_schedule.next_due_at(now, wait_s))
            limit_s = max(0.0, due_at - now)
        question_due_at = self.poll_schedule.question_due_at
        if question_due_at < float("inf"):
            asks_in_s = max(0.0, question_due_at - now)
            limit_s = asks_in_s if limit_s is None else min(limit_s, asks_in_s)
        try:
            async with asyncio.timeout(limit_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _take_peer_update(self) -> TableUpdate | None:
        """Return the next update of a peer that continues from the known position."""
        while self._received:
            message, is_complete = self._received.popleft()
            if message.era != self._position.era:
                continue
            as_of = self._valid_at(message)
            continuity = self.poll_schedule.classify_changes(
                self._position.revision, message.after, message.upto
            )
            if continuity is ChangeContinuity.GAP:
                self.poll_schedule.record_gap(as_of, self.store.now())
                continue
            self.poll_schedule.confirm_by_peer(as_of, self.store.now(), message.store_s)
            # A message may begin before the known position. A row from the copy that is received
            # again must not be taken for a change by its writer.
            known = self._position.revision
            rows = tuple(row for row in message.rows if row.revision > known)
            if is_complete and message.upto > known:
                rows += self._removed_from(message.rows, message.upto)
            has_missed = self._record_rows(rows, message.upto)
            return TableUpdate(
                False,
                rows,
                as_of,
                self._last_failure_at(message),
                message.era,
                has_missed=has_missed,
                is_continuous=not is_complete,
            )
        return None

    def _take_peer_table(self) -> Result[TableUpdate, TableError] | None:
        """Return the complete table if a peer sent it after the store was restored."""
        while self._received:
            message, _ = self._received.popleft()
            if message.after != 0 or message.era != self.exchange.era.newest:
                continue
            as_of = self._valid_at(message)
            self.poll_schedule.confirm_by_peer(as_of, self.store.now(), message.store_s)
            rows = tuple(message.rows)
            after_restore = self._restart_from(rows, Position(message.era, message.upto))
            last_failure_at = self._last_failure_at(message)
            return Ok(
                TableUpdate(
                    True, rows, as_of, last_failure_at, message.era, after_restore, message.upto
                )
            )
        return None

    def _valid_at(self, message: TableChanges) -> float:
        """Return the time at which a message was valid, minus infinity if that is unknown.

        Its rows are used in both cases. A process that cannot reach the store cannot relate the
        clock of a new era to its own.
        """
        valid_at = self.store.to_local_time(message.store_s, message.era)
        return float("-inf") if valid_at is None else valid_at

    def _last_failure_at(self, message: TableChanges) -> float:
        failed_query_at = self.store.now() - message.steady_s
        return max(failed_query_at, self.exchange.era.restored_at)

    async def _apply_answer(
        self, query: _PendingQuery, wait_s: float
    ) -> Result[TableUpdate, TableError] | None:
        """Return the update in an answer, None if it is of another era than the query."""
        answer = query.answer.result()
        now = self.store.now()
        if isinstance(answer, Err):
            if answer.err().kind is TableErrorKind.CONFLICT:
                return await self._read()
            self.poll_schedule.record_no_answer(now)
            return answer
        reading = answer.ok()
        self.exchange.record_era(reading.position.era, now)
        if reading.position.era != query.after.era:
            return None
        self.poll_schedule.record_answer(reading.as_of, now, wait_s, reading.store_s)
        if query.is_shared:
            self._broadcast(query.after, reading, reading.rows)
        rows = reading.rows if reading.position > self._position else ()
        has_missed = self._record_rows(rows, reading.position.revision)
        last_failure_at = max(now - self.poll_schedule.steady_s(now), self.exchange.era.restored_at)
        era = reading.position.era
        return Ok(
            TableUpdate(False, rows, reading.as_of, last_failure_at, era, has_missed=has_missed)
        )

    async def read_changes(self) -> Result[TableUpdate, TableError]:
        """Return what has changed since the last update, as of a time after this call.

        Nothing is applied: :meth:`next` returns these changes, too.
        """
        after = self._position
        if after is None or self._is_past():
            return Err(TableError(TableErrorKind.UNAVAILABLE, f"{self.table}: not read yet"))
        return await self.read_since(after)

    async def read_since(self, after: Position) -> Result[TableUpdate, TableError]:
        """Return what has changed since a position; nothing is applied."""
        read = await self.store.wait_for_rows(self.table, after, 0.0)
        if isinstance(read, Err):
            return read
        reading = read.ok()
        if self._position is None or not reading.position.era == after.era == self._position.era:
            detail = f"{self.table}: changes are of another era"
            return Err(TableError(TableErrorKind.UNAVAILABLE, detail))
        has_missed = self._has_missed(reading.rows)
        return Ok(
            TableUpdate(False, reading.rows, reading.as_of, era=after.era, has_missed=has_missed)
        )

    async def _read(self) -> Result[TableUpdate, TableError]:
        """Read the complete table, and send peers what changed since the known position."""
        read = await self.store.read_table(self.table)
        now = self.store.now()
        if isinstance(read, Err):
            # The known position stays: changes that peers send from there on still apply.
            self.poll_schedule.record_no_answer(now)
            if self._position is None:
                self._ask_peer(Position(self.exchange.era.newest, 0))
            return read
        reading = read.ok()
        era = reading.position.era
        self.exchange.record_era(era, now)
        if self.exchange.era.is_past(era):
            return Err(TableError(TableErrorKind.UNAVAILABLE, f"rows of the past era {era}"))
        after = self._position
        removed = self._removed_from(reading.rows, reading.position.revision)
        after_restore = self._restart_from(reading.rows, reading.position)
        self.poll_schedule.confirm(reading.as_of, reading.store_s)
        if after_restore:
            self._broadcast_table(reading)
        elif after is not None:
            changed = [row for row in reading.rows if row.revision > after.revision]
            self._broadcast(after, reading, (*changed, *removed))
        restored_at = self.exchange.era.restored_at
        upto = reading.position.revision
        return Ok(
            TableUpdate(
                True,
                reading.rows,
                reading.as_of,
                restored_at,
                era,
                after_restore,
                upto,
                is_continuous=after is None,
            )
        )

    def _removed_from(self, rows: Iterable[ChangedRow], revision: int) -> tuple[ChangedRow, ...]:
        """Return the known rows that a complete table lacks, as removed by a revision."""
        removed = self._rows.keys() - {row.key for row in rows}
        return tuple(ChangedRow(key, None, revision) for key in removed)

    def _restart_from(self, rows: Collection[ChangedRow], position: Position) -> bool:
        """Continue from a complete table.

        Returns
        -------
        bool
            Whether the store was restored since the last complete table.
        """
        self._rows = {row.key: row for row in rows}
        self._position = position
        before, self._read_era = self._read_era, position.era
        return before is not None and before < position.era

    def _has_missed(self, rows: Iterable[ChangedRow]) -> bool:
        """Return whether a row is removed that was added since the known position."""
        known = self._position.revision
        return any(
            row.value is None and row.revision > known and row.key not in self._rows for row in rows
        )

    def _record_rows(self, rows: Collection[ChangedRow], revision: int) -> bool:
        """Record changes; return whether a row was removed that was never known."""
        has_missed = self._has_missed(rows)
        self._position = max(self._position, Position(self._position.era, revision))
        for row in rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        return has_missed

    def _broadcast_table(self, reading: TableReading) -> None:
        """Send the complete table to peers, if this process is one of the first to read it."""
        if self.poll_schedule.reads_first(self.store.now(), self._wait_s):
            self._broadcast(Position(reading.position.era, 0), reading, reading.rows)

    def _broadcast(
        self, after: Position, reading: TableReading, rows: Collection[ChangedRow]
    ) -> None:
        if reading.store_s is None:
            return
        if sum(len(row.value or b"") for row in rows) > MAX_BROADCAST_BYTES:
            after, rows = reading.position, ()
        steady_s = self.poll_schedule.steady_s(self.store.now())
        self.exchange.send_changes(
            TableChanges(
                self.table,
                reading.position.era,
                after.revision,
                reading.position.revision,
                reading.store_s,
                steady_s,
                list(rows),
            )
        )
