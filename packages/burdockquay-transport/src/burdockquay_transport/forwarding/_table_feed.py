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

from burdockquay_coordination.forwarding import Fit, Mechanism, PollTurn, Switches, is_poller
from burdockquay_protocol import ChangedRow, TableChanges
from burdockquay_state import TableError, TableErrorKind

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
    revision : int
        Counter of the platform's transactions at that moment; changes go on from here.
    as_of : float
        A moment at which the rows were so, on the clock of this process.
    store_s : float or None
        The platform's own clock in the answer, seconds; None if it holds none.
    """

    rows: tuple[ChangedRow, ...]
    revision: int
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
        self, table: str, after: int, wait_s: float
    ) -> Result[TableReading, TableError]:
        """Return the rows that changed after a revision, as soon as there is one.

        Returns
        -------
        Result of TableReading, TableError
            ``CONFLICT`` says that the history does not reach back so far.
        """

    @abstractmethod
    def moment_of(self, store_s: float) -> float | None:
        """Return when the platform's clock showed a time, on the clock of this process.

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
        When the platform last left a question for the table unanswered, as far as is known.
    """

    whole: bool
    rows: tuple[ChangedRow, ...]
    as_of: float
    troubled_at: float = float("-inf")

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
        self.tell: Callable[[TableChanges], None] = lambda message: None
        self._feeds: dict[str, TableFeed] = {}

    def add(self, feed: TableFeed) -> None:
        """Let a feed hear what peers tell of its table."""
        self._feeds[feed.table] = feed

    def hear(self, message: TableChanges) -> None:
        """Hand on what a peer tells."""
        feed = self._feeds.get(message.table)
        if feed is not None and self.switches.uses(Mechanism.SHARED_POLLS):
            feed.hear(message)

    def note_peers(self, me: str, others: Collection[str]) -> None:
        """Choose the pollers of each table anew, by the incarnations of those connected."""
        for table, feed in self._feeds.items():
            feed.set_poller(is_poller(table, me, others))


@attrs.frozen
class _Question:
    """A question to the platform that is under way."""

    after: int
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
        self._revision: int | None = None
        self._keys: set[str] = set()
        self._heard: deque[TableChanges] = deque(maxlen=MAX_HEARD)
        self._question: _Question | None = None
        self._wake = asyncio.Event()
        exchange.add(self)

    async def next(self, wait_s: float) -> Result[TableNews, TableError]:
        """Return the table at first, then its changes, whoever tells them first.

        Parameters
        ----------
        wait_s : float
            Longest wait of a question at the platform, seconds.
        """
        if self._revision is None:
            return await self._read()
        try:
            while True:
                self._wake.clear()
                news = self._take_heard()
                if news is not None:
                    return Ok(news)
                if self._question is not None and self._question.answer.done():
                    question, self._question = self._question, None
                    return await self._take_answer(question, wait_s)
                self._ask_if_due(wait_s)
                await self._wait(wait_s)
        except asyncio.CancelledError:
            if self._question is not None:
                self._question.answer.cancel()
            raise

    def hear(self, message: TableChanges) -> None:
        """Note what a peer tells of the table."""
        self._heard.append(message)
        self._wake.set()

    def set_poller(self, polls: bool) -> None:
        """Take over whether this process is one of those that poll."""
        self.turn.is_poller = polls
        self._wake.set()

    def _ask_if_due(self, wait_s: float) -> None:
        now = self.store.now()
        if self._question is not None or not self.turn.is_due(now, wait_s):
            return
        hold_s = self.turn.hold_s(now, wait_s)
        answer = asyncio.ensure_future(self.store.wait_for_rows(self.table, self._revision, hold_s))
        answer.add_done_callback(lambda _: self._wake.set())
        self._question = _Question(self._revision, self.turn.tells(now, wait_s), answer)

    async def _wait(self, wait_s: float) -> None:
        """Wait for a peer, for the platform, or until it is time to ask."""
        now = self.store.now()
        limit_s = None
        if self._question is None:
            limit_s = max(0.0, self.turn.next_due_at(now, wait_s) - now)
        try:
            async with asyncio.timeout(limit_s):
                await self._wake.wait()
        except TimeoutError:
            return

    def _take_heard(self) -> TableNews | None:
        """Return the next news of a peer that can be used."""
        while self._heard:
            message = self._heard.popleft()
            as_of = self.store.moment_of(message.store_s)
            if as_of is None:
                continue
            fit = self.turn.judge(self._revision, message.after, message.upto)
            if fit is Fit.GAP:
                continue
            self.turn.confirm_by_peer(as_of, self.store.now())
            troubled_at = self.store.now() - message.steady_s
            rows = tuple(message.rows) if fit is Fit.NEXT else ()
            self._note_rows(rows, message.upto)
            return TableNews(False, rows, as_of, troubled_at)
        return None

    async def _take_answer(
        self, question: _Question, wait_s: float
    ) -> Result[TableNews, TableError]:
        answer = question.answer.result()
        now = self.store.now()
        if isinstance(answer, Err):
            if answer.err().kind is TableErrorKind.CONFLICT:
                return await self._read()
            self.turn.fail(now)
            return answer
        reading = answer.ok()
        self.turn.succeed(reading.as_of, now, wait_s)
        if question.is_told:
            self._tell(question.after, reading, reading.rows)
        rows = reading.rows if reading.revision > self._revision else ()
        self._note_rows(rows, reading.revision)
        return Ok(TableNews(False, rows, reading.as_of))

    async def _read(self) -> Result[TableNews, TableError]:
        """Read the whole table; the others are told what changed since it was known here."""
        read = await self.store.read_table(self.table)
        if isinstance(read, Err):
            self.turn.fail(self.store.now())
            self._revision = None
            return read
        reading = read.ok()
        after, known = self._revision, self._keys
        self._keys = {row.key for row in reading.rows}
        self._revision = reading.revision
        self.turn.confirm(reading.as_of)
        if after is not None:
            gone = [ChangedRow(key, None, reading.revision) for key in known - self._keys]
            changed = [row for row in reading.rows if row.revision > after]
            self._tell(after, reading, (*changed, *gone))
        return Ok(TableNews(True, reading.rows, reading.as_of))

    def _note_rows(self, rows: Collection[ChangedRow], revision: int) -> None:
        self._revision = max(self._revision, revision)
        for row in rows:
            if row.value is None:
                self._keys.discard(row.key)
            else:
                self._keys.add(row.key)

    def _tell(self, after: int, reading: TableReading, rows: Collection[ChangedRow]) -> None:
        if reading.store_s is None:
            return
        if sum(len(row.value or b"") for row in rows) > MAX_TOLD_BYTES:
            after, rows = reading.revision, ()
        steady_s = self.turn.steady_s(self.store.now())
        self.exchange.tell(
            TableChanges(self.table, after, reading.revision, reading.store_s, steady_s, list(rows))
        )
