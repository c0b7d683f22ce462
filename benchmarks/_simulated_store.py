"""The platform's store in simulated time, as one process reaches it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from typing import Any

from _simulated_fleet import Fleet, Host
from result import Err, Ok, Result

from burdockquay_platform._store_clock import StoreClock
from burdockquay_protocol import ChangedRow
from burdockquay_standins import EraEndedError, FeedStore, HistoryDiscardedError
from burdockquay_state import Position, TableError, TableErrorKind
from burdockquay_transport.forwarding import TableReading, TableStore

UNAVAILABLE = TableError(TableErrorKind.UNAVAILABLE, "the store does not answer")


class Store:
    """The store, with outages and processes that are cut off from it."""

    def __init__(self, fleet: Fleet):
        self.loop = fleet.loop
        self.fleet = fleet
        self.feeds = FeedStore()
        self.is_up = True
        self.failed = self.loop.create_future()
        self._cut_off: dict[str, float] = {}

    def fail(self, for_s: float) -> None:
        """Answer nothing for a time, and reset all connections."""
        self.is_up = False
        failed, self.failed = self.failed, self.loop.create_future()
        failed.set_result(None)
        self.loop.call_later(for_s, self._recover)

    def _recover(self) -> None:
        self.is_up = True

    def cut_off(self, hosts: Iterable[Host], for_s: float) -> None:
        """Cut processes off for a time."""
        for host in hosts:
            self._cut_off[host.name] = self.loop.time() + for_s

    def reaches(self, host: Host) -> bool:
        """Return whether a process reaches the store."""
        return self.is_up and self.loop.time() >= self._cut_off.get(host.name, 0.0)

    def back_at(self, host: Host) -> float:
        """Return when a process that has lost its peers too is in touch with the store again."""
        return max(self._cut_off.get(host.name, 0.0), 0.0) if host.was_split else 0.0


class StoreReader(TableStore):
    """The store as one process reads it."""

    def __init__(self, store: Store, host: Host):
        self.store = store
        self.host = host
        self.clock = StoreClock()
        # Waiting queries wake in no fixed order; with a common generator, runs would differ.
        self.rng = random.Random(host.name)

    def now(self) -> float:
        """Return the time on the clock of the process."""
        return self.host.clock.now()

    def to_local_time(self, store_s: float, era: int) -> float | None:
        """Convert a time on the store's clock; see :class:`TableStore`."""
        return self.clock.to_local_time(store_s, self.now(), era)

    async def read_table(self, table: str) -> Result[TableReading, TableError]:
        """Return all rows of a table."""
        return await self._ask(lambda: self._rows(table))

    async def wait_for_rows(
        self, table: str, after: Position, wait_s: float
    ) -> Result[TableReading, TableError]:
        """Return the rows that changed after a position; see :class:`TableStore`."""
        return await self._ask(lambda: self._wait(table, after, wait_s))

    async def _rows(self, table: str) -> list[Any]:
        return self.store.feeds.rows(table)

    async def _wait(self, table: str, after: Position, wait_s: float) -> list[Any]:
        feeds = self.store.feeds
        return [] if after.era != feeds.era else await feeds.wait(table, after.revision, wait_s)

    async def _ask(self, content: Any) -> Result[TableReading, TableError]:
        store, sent = self.store, self.now()
        await asyncio.sleep(store.fleet.delay_s(self.rng))
        if not store.reaches(self.host):
            return Err(UNAVAILABLE)
        answer = asyncio.ensure_future(content())
        failed = store.failed
        await asyncio.wait((answer, failed), return_when=asyncio.FIRST_COMPLETED)
        if failed.done() or not store.reaches(self.host):
            answer.cancel()
            return Err(UNAVAILABLE)
        try:
            rows = [ChangedRow(row.key, row.value, row.revision) for row in answer.result()]
        except HistoryDiscardedError:
            return Err(TableError(TableErrorKind.CONFLICT, "history discarded"))
        except EraEndedError:
            return Err(UNAVAILABLE)
        position = Position(store.feeds.era, store.feeds.revision)
        store_s = store.loop.time()
        await asyncio.sleep(store.fleet.delay_s(self.rng))
        await self.host.thawed()
        as_of = self.clock.as_of(sent, self.now(), store_s, position.era)
        return Ok(TableReading(tuple(rows), position, as_of, store_s))
