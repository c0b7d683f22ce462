"""Follows the tables of the platform, together with the other forwarders."""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Collection
from typing import Generic, TypeVar

import attrs
from result import Err, Ok, Result

from burdockquay_coordination.forwarding import (
    Fit,
    Mechanism,
    PollTurn,
    StoreEra,
    Switches,
    is_poller,
)
from burdockquay_protocol import ChangedRow, TableChanges
from burdockquay_state import Position, TableError, TableErrorKind

from .._events import Event, log_event

MAX_TOLD_BYTES = 8192
"""Most bytes of changed rows that one message holds. It goes to every process, over links that
callers use too; a process asks for larger changes by itself."""

MAX_HEARD = 200
"""Most messages of peers that wait to be taken in; a process that loses some asks by itself."""

T = TypeVar("T")


@attrs.frozen
class TableReading:
    """Rows as of one moment.

    Parameters
    ----------
    rows : tuple of ChangedRow
    position : Position
        In the history of the platform's store at that moment; changes go on from here.
    as_of : float
        A moment at which the rows were so, on the clock of this process.
    store_s : float or None
        The platform's own clock in the answer, seconds; None if it holds none.
    """

    rows: tuple[ChangedRow, ...]
    position: Position
    as_of: float
    store_s: float | None = None


class TableStore(ABC):
    """The platform's tables, as an adapter reads them."""

    now: Callable[[], float]

    @abstractmethod
    async def read_table(self, table: str) -> Result[TableReading, TableError]:
        """Return all rows of a table."""

    @abstractmethod
    async def wait_for_rows(
        self, table: str, after: Position, wait_s: float
    ) -> Result[TableReading, TableError]:
        """Return the rows that changed after a position, as soon as there is one.

        Returns
        -------
        Result of TableReading, TableError
            A reading of another era than ``after`` does not go on from there. ``CONFLICT`` says
            that the history does not reach back so far.
        """

    @abstractmethod
    def moment_of(self, store_s: float, era: int) -> float | None:
        """Return when the platform's clock showed a time, on the clock of this process.

        Parameters
        ----------
        store_s : float
            Seconds.
        era : int
            Of the store that showed the time: its clock may be another one after a return.

        Returns
        -------
        float or None
            A moment that is certainly not later; None if that cannot be told.
        """


@attrs.frozen
class RowsSplit(Generic[T]):
    """What rows hold.

    Parameters
    ----------
    entries : tuple
        What those hold that can be read.
    removed : tuple of str
        Keys of those that are gone.
    unreadable : tuple of ChangedRow
    """

    entries: tuple[T, ...]
    removed: tuple[str, ...]
    unreadable: tuple[ChangedRow, ...]


@attrs.frozen
class TableNews:
    """What the platform or a peer told of a table.

    Parameters
    ----------
    whole : bool
        Whether ``rows`` is the whole table; otherwise it holds what changed.
    rows : tuple of ChangedRow
    as_of : float
        A moment at which nothing else had changed, on the clock of this process.
    troubled_at : float
        When the platform last left a question for the table unanswered or came back from a copy,
        as far as is known.
    era : int
        Of the platform's store.
    after_return : bool
        Whether these are the first news since the store came back from a copy.
    """

    whole: bool
    rows: tuple[ChangedRow, ...]
    as_of: float
    troubled_at: float = float("-inf")
    era: int = 0
    after_return: bool = False

    def split(self, read: Callable[[ChangedRow], T | None]) -> RowsSplit[T]:
        """Return what the rows hold now, and which are gone or cannot be read.

        Only the last change of each row counts.

        Parameters
        ----------
        read : callable
            Returns what a row holds, None if it cannot be read.
        """
        newest = {row.key: row for row in self.rows}.values()
        held = [(row, read(row)) for row in newest if row.value is not None]
        return RowsSplit(
            tuple(entry for _, entry in held if entry is not None),
            tuple(row.key for row in newest if row.value is None),
            tuple(row for row, entry in held if entry is None),
        )


class FeedExchange:
    """What the forwarders tell each other of the platform's tables.

    Parameters
    ----------
    rng : random.Random
    switches : Switches
    """

    def __init__(self, rng: random.Random, switches: Switches):
        self.rng = rng
        self.switches = switches
        self.era = StoreEra()
        self.tell: Callable[[TableChanges], None] = lambda message: None
        self.on_return: Callable[[], None] = lambda: None
        self._feeds: dict[str, TableFeed] = {}

    def add(self, feed: TableFeed) -> None:
        """Let a feed hear what peers tell of its table."""
        self._feeds[feed.table] = feed

    def hear(self, message: TableChanges, now: float) -> None:
        """Hand on what a peer tells."""
        if not self.switches.uses(Mechanism.SHARED_POLLS):
            return
        if message.era:
            self.note_era(message.era, now)
        feed = self._feeds.get(message.table)
        if feed is not None:
            feed.hear(message)

    def note_era(self, era: int, now: float) -> None:
        """Note the era of the store in an answer or message; a new one starts all feeds anew."""
        before = self.era.newest
        if not self.era.note(era, now):
            return
        ages = {table: feed.age_s(now) for table, feed in self._feeds.items()}
        log_event(Event.STORE_RETURNED, era=era, era_before=before, ages_s=ages)
        for feed in self._feeds.values():
            feed.note_return(now)
        self.on_return()

    def note_peers(self, me: str, others: Collection[str]) -> None:
        """Choose the pollers of each table anew, by the incarnations of those connected."""
        for table, feed in self._feeds.items():
            feed.set_poller(is_poller(table, me, others))


@attrs.frozen
class _Question:
    """A question to the platform that is under way."""

    after: Position
    is_told: bool
    answer: asyncio.Task[Result[TableReading, TableError]]


class TableFeed:
    """Reads a table once, then its changes, and reads it again when the history has a gap.

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
        self.turn = PollTurn(exchange.rng, exchange.switches)
        self._position: Position | None = None
        self._read_era: int | None = None
        self._reread_at = float("-inf")
        self._keys: set[str] = set()
        self._heard: deque[TableChanges] = deque(maxlen=MAX_HEARD)
        self._question: _Question | None = None
        self._wake = asyncio.Event()
        exchange.add(self)

    async def next(self, wait_s: float) -> Result[TableNews, TableError]:
        """Return the table at first, then its changes, whoever tells them first.

        After a return of the store from a copy the whole table comes again.

        Parameters
        ----------
        wait_s : float
            Longest wait of a question at the platform, seconds.
        """
        if self._position is None:
            return self._take_told_table() or await self._read()
        try:
            while True:
                self._wake.clear()
                news = await self._look(wait_s)
                if news is not None:
                    return news
                await self._wait(wait_s)
        except asyncio.CancelledError:
            self._drop_question()
            raise

    def hear(self, message: TableChanges) -> None:
        """Note what a peer tells of the table."""
        self._heard.append(message)
        self._wake.set()

    def set_poller(self, polls: bool) -> None:
        """Take over whether this process is one of those that poll."""
        self.turn.is_poller = polls
        self._wake.set()

    def note_return(self, now: float) -> None:
        """Note that the store came back from a copy, so that changes do not go on from here."""
        self._reread_at = now + self.turn.reread_delay_s(now)
        self._wake.set()

    def age_s(self, now: float) -> float:
        """Return the age of what is known of the table, seconds."""
        return self.turn.age_s(now)

    def _is_past(self) -> bool:
        """Return whether what is known is of a store that has come back from a copy since."""
        return self.exchange.era.is_past(self._position.era)

    async def _look(self, wait_s: float) -> Result[TableNews, TableError] | None:
        """Return what has come, None if it is time to wait."""
        if self._is_past():
            self._drop_question()
            told = self._take_told_table()
            if told is not None:
                return told
            return await self._read() if self.store.now() >= self._reread_at else None
        news = self._take_heard()
        if news is not None:
            return Ok(news)
        if self._question is not None and self._question.answer.done():
            question, self._question = self._question, None
            return await self._take_answer(question, wait_s)
        self._ask_if_due(wait_s)
        return None

    def _drop_question(self) -> None:
        if self._question is not None:
            self._question.answer.cancel()
            self._question = None

    def _ask_if_due(self, wait_s: float) -> None:
        now = self.store.now()
        if self._question is not None or now < self._reread_at:
            return
        if not self.turn.is_due(now, wait_s):
            return
        hold_s = self.turn.hold_s(now, wait_s)
        answer = asyncio.ensure_future(self.store.wait_for_rows(self.table, self._position, hold_s))
        answer.add_done_callback(lambda _: self._wake.set())
        self._question = _Question(self._position, self.turn.tells(now, wait_s), answer)

    async def _wait(self, wait_s: float) -> None:
        """Wait for a peer, for the platform, or until it is time to ask."""
        now = self.store.now()
        limit_s = None
        if self._is_past():
            limit_s = max(0.0, self._reread_at - now)
        elif self._question is None:
            due_at = max(self._reread_at, self.turn.next_due_at(now, wait_s))
            limit_s = max(0.0, due_at - now)
        try:
            async with asyncio.timeout(limit_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _take_heard(self) -> TableNews | None:
        """Return the next news of a peer that can be used."""
        while self._heard:
            message = self._heard.popleft()
            if message.era != self._position.era:
                continue
            as_of = self._moment_of(message)
            fit = self.turn.judge(self._position.revision, message.after, message.upto)
            if fit is Fit.GAP:
                continue
            self.turn.confirm_by_peer(as_of, self.store.now())
            # A message may begin before what is known; a row of a copy that comes once more must
            # not pass for a change of its writer.
            known = self._position.revision
            rows = tuple(row for row in message.rows if row.revision > known)
            self._note_rows(rows, message.upto)
            return TableNews(False, rows, as_of, self._troubled_at(message), message.era)
        return None

    def _take_told_table(self) -> Result[TableNews, TableError] | None:
        """Return the whole table if a peer told it after the store came back."""
        while self._heard:
            message = self._heard.popleft()
            if message.after != 0 or message.era != self.exchange.era.newest:
                continue
            as_of = self._moment_of(message)
            self.turn.confirm_by_peer(as_of, self.store.now())
            rows = tuple(message.rows)
            after_return = self._start_anew(rows, Position(message.era, message.upto))
            troubled_at = self._troubled_at(message)
            return Ok(TableNews(True, rows, as_of, troubled_at, message.era, after_return))
        return None

    def _moment_of(self, message: TableChanges) -> float:
        """Return the moment of which a message tells; its rows count also where that is unknown.

        A process that does not reach the store cannot relate the clock of a new era to its own.
        """
        moment = self.store.moment_of(message.store_s, message.era)
        return float("-inf") if moment is None else moment

    def _troubled_at(self, message: TableChanges) -> float:
        asked_in_vain_at = self.store.now() - message.steady_s
        return max(asked_in_vain_at, self.exchange.era.returned_at)

    async def _take_answer(
        self, question: _Question, wait_s: float
    ) -> Result[TableNews, TableError] | None:
        """Return what an answer says, None if it is of another era than the question."""
        answer = question.answer.result()
        now = self.store.now()
        if isinstance(answer, Err):
            if answer.err().kind is TableErrorKind.CONFLICT:
                return await self._read()
            self.turn.fail(now)
            return answer
        reading = answer.ok()
        self.exchange.note_era(reading.position.era, now)
        if reading.position.era != question.after.era:
            return None
        self.turn.succeed(reading.as_of, now, wait_s)
        if question.is_told:
            self._tell(question.after, reading, reading.rows)
        rows = reading.rows if reading.position > self._position else ()
        self._note_rows(rows, reading.position.revision)
        troubled_at = max(now - self.turn.steady_s(now), self.exchange.era.returned_at)
        return Ok(TableNews(False, rows, reading.as_of, troubled_at, reading.position.era))

    async def _read(self) -> Result[TableNews, TableError]:
        """Read the whole table; the others are told what changed since it was known here."""
        read = await self.store.read_table(self.table)
        now = self.store.now()
        if isinstance(read, Err):
            self.turn.fail(now)
            self._position = None
            return read
        reading = read.ok()
        era = reading.position.era
        self.exchange.note_era(era, now)
        if self.exchange.era.is_past(era):
            return Err(TableError(TableErrorKind.UNAVAILABLE, f"rows of the past era {era}"))
        after, known = self._position, self._keys
        after_return = self._start_anew(reading.rows, reading.position)
        self.turn.confirm(reading.as_of)
        if after_return:
            self._tell_table(reading)
        elif after is not None:
            gone = [ChangedRow(key, None, self._position.revision) for key in known - self._keys]
            changed = [row for row in reading.rows if row.revision > after.revision]
            self._tell(after, reading, (*changed, *gone))
        returned_at = self.exchange.era.returned_at
        return Ok(TableNews(True, reading.rows, reading.as_of, returned_at, era, after_return))

    def _start_anew(self, rows: Collection[ChangedRow], position: Position) -> bool:
        """Go on from a whole table; return whether the store came back since the one before."""
        self._keys = {row.key for row in rows}
        self._position = position
        before, self._read_era = self._read_era, position.era
        return before is not None and before < position.era

    def _note_rows(self, rows: Collection[ChangedRow], revision: int) -> None:
        self._position = max(self._position, Position(self._position.era, revision))
        for row in rows:
            if row.value is None:
                self._keys.discard(row.key)
            else:
                self._keys.add(row.key)

    def _tell_table(self, reading: TableReading) -> None:
        """Tell the others the whole table, if this process is one of the first to read it."""
        if self.turn.reads_first(self.store.now()):
            self._tell(Position(reading.position.era, 0), reading, reading.rows)

    def _tell(self, after: Position, reading: TableReading, rows: Collection[ChangedRow]) -> None:
        if reading.store_s is None:
            return
        if sum(len(row.value or b"") for row in rows) > MAX_TOLD_BYTES:
            after, rows = reading.position, ()
        steady_s = self.turn.steady_s(self.store.now())
        self.exchange.tell(
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
