"""Exchange of the changes of the platform's tables between the forwarders."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection
from typing import Protocol

import attrs
from result import Err

from burdockquay_coordination.forwarding import (
    POLLERS_PER_TABLE,
    Mechanism,
    StoreEra,
    Switches,
    place_of,
)
from burdockquay_protocol import TableChanges, TableContent, TableQuestion, unpack_rows

from .._events import Event, log_event
from ._entry_faults import EntryFaults


class SharedFeed(Protocol):
    """The feed of a table as the exchange uses it."""

    table: str

    def receive(self, message: TableChanges, is_complete: bool = False) -> None:
        """Queue a message of a peer about the table."""

    def answer_question(self, message: TableQuestion) -> TableContent | None:
        """Return the complete table for a peer that misses changes."""

    def set_poller(self, polls: bool, processes: int = 1, place: int = 0) -> None:
        """Set whether this process polls, how many are connected, and its place among them."""

    def on_store_restored(self, now: float, from_peer: bool = False) -> None:
        """Schedule reading the table again: the store was restored from a copy."""

    def age_s(self, now: float) -> float:
        """Return the time since the known state of the table was last confirmed, seconds."""


class FeedExchange:
    """Exchange of changes of the platform's tables between the forwarders.

    Parameters
    ----------
    rng : random.Random
    switches : Switches
    """

    def __init__(self, rng: random.Random, switches: Switches):
        self.rng = rng
        self.switches = switches
        self.era = StoreEra()
        self.faults = EntryFaults()
        self.send_changes: Callable[[TableChanges], None] = lambda message: None
        self.send_question: Callable[[TableQuestion], None] = lambda message: None
        self.on_restored: Callable[[], None] = lambda: None
        self._feeds: dict[str, SharedFeed] = {}
        self._me = ""
        self._others: Collection[str] = ()

    def add(self, feed: SharedFeed) -> None:
        """Pass the messages of peers about a table to its feed, in place of a former one."""
        self._feeds[feed.table] = feed
        if self._others:
            self._choose_poller(feed)

    def receive_changes(self, message: TableChanges, now: float, is_complete: bool = False) -> None:
        """Pass a message of a peer to the feed of its table.

        Parameters
        ----------
        message : TableChanges
        now : float
        is_complete : bool
            Whether rows that it does not have were removed.
        """
        if not self.switches.uses(Mechanism.SHARED_POLLS):
            return
        if message.era:
            self.record_era(message.era, now, from_peer=True)
        rows = list(self.faults.usable(message.table, message.rows))
        message = attrs.evolve(message, rows=rows)
        feed = self._feeds.get(message.table)
        if feed is not None:
            feed.receive(message, is_complete)

    def answer_question(self, message: TableQuestion) -> TableContent | None:
        """Return the table that a peer asks for, None if this process has no newer one."""
        feed = self._feeds.get(message.table)
        return None if feed is None else feed.answer_question(message)

    def receive_content(self, message: TableContent, now: float) -> None:
        """Pass a complete table that a peer has sent to its feed."""
        rows = unpack_rows(message.packed)
        if isinstance(rows, Err):
            log_event(Event.TABLE_CONTENT_FAULT, table=message.table, fault=rows.err())
            return
        log_event(
            Event.TABLE_CONTENT_RECEIVED,
            table=message.table,
            revision=message.upto,
            rows=len(rows.ok()),
            size=len(message.packed),
        )
        changes = TableChanges(
            message.table,
            message.era,
            0,
            message.upto,
            message.store_s,
            message.steady_s,
            list(rows.ok()),
        )
        self.receive_changes(changes, now, is_complete=True)

    def record_era(self, era: int, now: float, from_peer: bool = False) -> None:
        """Record the era of the store in an answer or message; a new era restarts all feeds."""
        before = self.era.newest
        if not self.era.record_era(era, now):
            return
        ages = {table: feed.age_s(now) for table, feed in self._feeds.items()}
        log_event(Event.STORE_RETURNED, era=era, era_before=before, ages_s=ages)
        for feed in self._feeds.values():
            feed.on_store_restored(now, from_peer)
        self.on_restored()

    def choose_pollers(self, me: str, others: Collection[str]) -> None:
        """Choose the pollers of each table again, by the incarnations of connected processes."""
        self._me, self._others = me, others
        for feed in self._feeds.values():
            self._choose_poller(feed)

    def _choose_poller(self, feed: SharedFeed) -> None:
        place = place_of(feed.table, self._me, self._others)
        feed.set_poller(place < POLLERS_PER_TABLE, 1 + len(self._others), place)
