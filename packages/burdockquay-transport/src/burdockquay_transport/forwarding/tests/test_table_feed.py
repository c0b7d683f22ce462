"""Tests of following a table, with a store that is restored from a copy."""

import asyncio
import random

import pytest
from result import Err, Ok

from burdockquay_coordination.forwarding import Switches
from burdockquay_protocol import (
    ChangedRow,
    TableChanges,
    TableContent,
    TableQuestion,
    pack_rows,
    unpack_rows,
)
from burdockquay_state import Position, TableError, TableErrorKind
from burdockquay_transport.forwarding import FeedExchange, TableFeed, TableReading, TableStore

STORE_UNAVAILABLE = Err(TableError(TableErrorKind.UNAVAILABLE, "away"))


class ScriptedStore(TableStore):
    """Store with one row that counts its calls and answers queries when the test says so."""

    def __init__(self):
        self.time = 10.0
        self.position = Position(1, 50)
        self.value = b"old"
        self.is_unavailable = False
        self.has_clock = True
        self.reads = 0
        self.waits = 0
        self.waiting = []

    def now(self):
        return self.time

    async def read_table(self, table):
        self.reads += 1
        return STORE_UNAVAILABLE if self.is_unavailable else Ok(self.reading())

    async def wait_for_rows(self, table, after, wait_s):
        self.waits += 1
        answer = asyncio.get_running_loop().create_future()
        self.waiting.append(answer)
        return await answer

    def to_local_time(self, store_s, era):
        return store_s if self.has_clock else None

    def reading(self, *rows):
        rows = rows or (ChangedRow("k", self.value, self.position.revision),)
        return TableReading(rows, self.position, self.time, self.time)

    def answer(self, answered):
        self.waiting.pop(0).set_result(answered)

    def restore(self, revision, value):
        self.position = Position(self.position.era + 1, revision)
        self.value = value


@pytest.fixture
def store():
    """Store in its first era."""
    return ScriptedStore()


@pytest.fixture
def exchange():
    """Exchange of the process; the messages that it sends are in ``exchange.sent``."""
    exchange = FeedExchange(random.Random(1), Switches())
    exchange.sent = []
    exchange.send_changes = exchange.sent.append
    return exchange


@pytest.fixture
async def feed(store, exchange):
    """Feed that has read its table in the first era."""
    feed = TableFeed(store, "t", exchange)
    await feed.next(1.0)
    return feed


def make_message(era, after, upto, value=b"new", store_s=10.0):
    return TableChanges("t", era, after, upto, store_s, 3600.0, [ChangedRow("k", value, upto)])


def make_marker(revision, store_s):
    """Return a message that leaves out the changes up to a revision."""
    return TableChanges("t", 1, revision, revision, store_s, 3600.0, [])


async def next_update(feed):
    async with asyncio.timeout(5):
        return (await feed.next(1.0)).ok()


async def yields_nothing(feed):
    """Return whether the feed yields no update for 50 ms."""
    try:
        async with asyncio.timeout(0.05):
            await feed.next(1.0)
    except TimeoutError:
        return True
    return False


async def test_table_is_read_again_after_an_answer_of_a_later_era(feed, store):
    """The answer has changes after the same revision of another history."""
    pending = asyncio.create_task(next_update(feed))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    store.restore(60, b"newest")
    store.answer(Ok(store.reading(ChangedRow("other", b"", 60))))
    update = await pending
    assert update.whole and update.after_restore and update.era == 2
    assert [row.value for row in update.rows] == [b"newest"]


async def test_later_era_seen_elsewhere_cancels_a_pending_query(feed, store, exchange):
    """Another table, or the answer to a write, is the first to show that the store was restored."""
    pending = asyncio.create_task(next_update(feed))
    await asyncio.sleep(0.01)
    store.restore(20, b"older")
    exchange.record_era(2, store.time)
    assert (await pending).after_restore
    assert store.waiting[0].cancelled()


async def test_message_of_a_past_era_confirms_nothing(feed, store, exchange):
    """A message was delayed, or its sender was paused, while the store was restored.

    Its revisions are far ahead of those that the store assigns now.
    """
    store.restore(20, b"older")
    exchange.record_era(2, store.time)
    assert (await next_update(feed)).after_restore
    feed.poll_schedule.is_poller = False
    exchange.receive_changes(make_message(1, 50, 90), store.time)
    assert await yields_nothing(feed)


async def test_message_of_a_later_era_is_no_continuation(feed, store, exchange):
    """A peer is ahead; its message seems to continue from the known position."""
    feed.poll_schedule.is_poller = False
    store.restore(60, b"newest")
    exchange.receive_changes(make_message(2, 50, 60, b"part"), store.time)
    assert await yields_nothing(feed), "it does not read at the same time as all others"
    store.time += 1.0
    update = await next_update(feed)
    assert update.whole and [row.value for row in update.rows] == [b"newest"]


async def test_process_that_does_not_poll_uses_the_complete_table_sent_by_a_peer(
    feed, store, exchange
):
    """Otherwise, all processes would read all tables at the same time."""
    feed.poll_schedule.is_poller = False
    exchange.receive_changes(make_message(2, 0, 40), store.time)
    update = await next_update(feed)
    assert update.whole and update.after_restore and store.reads == 1
    exchange.receive_changes(make_message(2, 40, 41, b"next"), store.time)
    assert [row.value for row in (await next_update(feed)).rows] == [b"next"]


async def test_received_rows_confirm_nothing_if_the_clock_of_the_new_era_is_unknown(
    feed, store, exchange
):
    """The restored store rejects one process; its peers send it what they read."""
    store.has_clock = False
    store.is_unavailable = True
    exchange.record_era(2, store.time)
    assert (await feed.next(1.0)).is_err()
    exchange.receive_changes(make_message(2, 0, 40), store.time)
    update = await next_update(feed)
    assert update.after_restore and [row.value for row in update.rows] == [b"new"]
    assert update.as_of == float("-inf")
    exchange.receive_changes(make_message(2, 40, 41, b"next"), store.time)
    assert [row.value for row in (await next_update(feed)).rows] == [b"next"]


async def test_process_that_received_the_table_does_not_query_with_all_others(
    feed, store, exchange
):
    """All processes have the table and need one query each to get the clock of the new era."""
    feed.poll_schedule.is_poller = False
    store.time += 5.0
    exchange.receive_changes(make_message(2, 0, 40), store.time)
    assert (await next_update(feed)).after_restore
    assert await yields_nothing(feed)
    assert store.waits == 0
    store.time += 1.0
    await yields_nothing(feed)
    assert (store.waits, store.reads) == (1, 1)


async def test_poller_sends_the_complete_table_after_the_restore(feed, store, exchange):
    store.restore(20, b"older")
    exchange.record_era(2, store.time)
    await next_update(feed)
    (message,) = exchange.sent
    assert (message.era, message.after, message.upto) == (2, 0, 20)
    assert [row.value for row in message.rows] == [b"older"]


async def test_poller_that_stopped_polling_sends_the_table_after_the_restore(feed, store, exchange):
    """All pollers got no answer while the store was unavailable and left polling to others.

    If no process sent the table after the restore, a process that the store rejects would not
    receive it.
    """
    feed.poll_schedule.confirm_by_peer(store.time, store.time)
    feed.poll_schedule.record_no_answer(store.time)
    assert not feed.poll_schedule.polls(store.time)
    store.restore(20, b"older")
    exchange.record_era(2, store.time)
    await next_update(feed)
    assert [(item.era, item.after) for item in exchange.sent] == [(2, 0)]


async def test_process_that_does_not_poll_sends_nothing_after_the_restore(feed, store, exchange):
    """With a hundred processes, each would send all others what they read themselves."""
    feed.poll_schedule.is_poller = False
    store.restore(20, b"older")
    exchange.record_era(2, store.time)
    store.time += 1.0
    await next_update(feed)
    assert exchange.sent == []


async def test_complete_reading_of_a_past_era_is_an_error(feed, store, exchange):
    """A complete reading arrives late, after another table showed that the store was restored."""
    exchange.record_era(2, store.time)
    read = await feed.next(1.0)
    assert read.err().kind is TableErrorKind.UNAVAILABLE
    store.restore(20, b"older")
    assert (await next_update(feed)).after_restore


async def test_table_is_read_once_after_two_restores_in_a_row(feed, store, exchange):
    store.restore(20, b"older")
    exchange.record_era(2, store.time)
    store.restore(10, b"oldest")
    exchange.record_era(3, store.time)
    assert (await next_update(feed)).era == 3
    assert store.reads == 2


async def test_row_that_a_message_repeats_is_no_change(feed, store, exchange):
    """A message begins before the known position and has a row from the copy again."""
    store.restore(20, b"older")
    exchange.record_era(2, store.time)
    await next_update(feed)
    exchange.receive_changes(make_message(2, 0, 20, b"older"), store.time)
    assert (await next_update(feed)).rows == ()
    rows = [ChangedRow("k", b"older", 20), ChangedRow("j", b"new", 21)]
    exchange.receive_changes(TableChanges("t", 2, 0, 21, 10.0, 3600.0, rows), store.time)
    assert [row.key for row in (await next_update(feed)).rows] == ["j"]


async def test_table_is_not_read_again_after_an_outage_without_a_new_era(feed, store):
    """The store is unavailable and recovers with all its data."""
    for _ in range(3):
        pending = asyncio.create_task(feed.next(1.0))
        await asyncio.sleep(0.01)
        store.answer(STORE_UNAVAILABLE)
        assert (await pending).is_err()
    pending = asyncio.create_task(next_update(feed))
    await asyncio.sleep(0.01)
    store.answer(Ok(store.reading()))
    assert not (await pending).whole
    assert (store.reads, store.waits) == (1, 4)


async def test_failure_lasts_until_the_first_answer_after_it(feed, store):
    """A process queries again seconds after the store failed; entries may just have expired."""
    pending = asyncio.create_task(feed.next(1.0))
    await asyncio.sleep(0.01)
    store.answer(STORE_UNAVAILABLE)
    await pending
    store.time += 3.0
    pending = asyncio.create_task(next_update(feed))
    await asyncio.sleep(0.01)
    store.answer(Ok(store.reading()))
    assert (await pending).last_failure_at == store.time


async def test_first_era_that_a_process_receives_is_not_a_restore(store, exchange):
    store.position = Position(7, 50)
    feed = TableFeed(store, "t", exchange)
    update = await next_update(feed)
    assert not update.after_restore
    assert update.last_failure_at == float("-inf")


async def test_missed_change_is_queried_at_once_after_a_failure_that_peers_did_not_see(
    feed, store, exchange
):
    """Guards against a process that misses a change for seconds after one reset connection."""
    feed.set_poller(False, processes=30)
    exchange.receive_changes(make_marker(60, store.time), store.time)
    pending = asyncio.create_task(feed.next(1.0))
    await asyncio.sleep(0.01)
    store.answer(STORE_UNAVAILABLE)
    assert (await pending).is_err()
    store.time += 0.3
    exchange.receive_changes(make_marker(60, store.time), store.time)
    pending = asyncio.create_task(feed.next(1.0))
    await asyncio.sleep(0.01)
    pending.cancel()
    assert store.waits == 2


async def test_peer_is_asked_for_changes_that_the_store_refuses_to_send(feed, store, exchange):
    """Guards against a process that waits for the store while its peers have the change."""
    questions = []
    exchange.send_question = questions.append
    exchange.receive_changes(make_marker(60, store.time), store.time)
    pending = asyncio.create_task(feed.next(1.0))
    await asyncio.sleep(0.01)
    assert not questions, "the store may still answer"
    store.answer(STORE_UNAVAILABLE)
    assert (await pending).is_err()
    pending = asyncio.create_task(next_update(feed))
    await asyncio.sleep(0.01)
    assert questions == [TableQuestion("t", 1, 50)]
    rows = [ChangedRow("new", b"large", 60)]
    exchange.receive_content(
        TableContent("t", 1, 60, store.time, 3600.0, pack_rows(rows)), store.time
    )
    update = await pending
    assert sorted(update.rows, key=lambda row: row.key) == [ChangedRow("k", None, 60), *rows]
    assert feed.poll_schedule.question_due_at == float("inf")


async def test_process_that_asked_at_its_first_read_asks_no_more_once_it_has_read(store, exchange):
    """Guards against questions that never end after a start beside a store that was away."""
    questions = []
    exchange.send_question = questions.append
    feed = TableFeed(store, "t", exchange)
    store.is_unavailable = True
    assert (await feed.next(1.0)).is_err()
    assert questions == [TableQuestion("t", 0, 0)]
    store.is_unavailable = False
    assert (await feed.next(1.0)).is_ok()
    store.time += 1.0
    assert await yields_nothing(feed)
    assert len(questions) == 1


async def test_only_a_newer_table_of_the_same_era_is_sent_to_a_peer(feed, store, exchange):
    """Guards against an older table that replaces a newer one after a restore from a copy."""
    content = exchange.answer_question(TableQuestion("t", 1, 49))
    assert (content.upto, unpack_rows(content.packed).ok()) == (50, (ChangedRow("k", b"old", 50),))
    assert exchange.answer_question(TableQuestion("t", 1, 50)) is None
    assert exchange.answer_question(TableQuestion("t", 2, 10)) is None
    assert exchange.answer_question(TableQuestion("other", 1, 0)) is None
    exchange.record_era(2, store.time)
    assert exchange.answer_question(TableQuestion("t", 1, 49)) is None


async def test_malformed_table_of_a_peer_is_ignored(feed, store, exchange):
    """Guards against a feed that stalls at bytes that it cannot read."""
    exchange.receive_content(TableContent("t", 1, 60, store.time, 3600.0, b"no rows"), store.time)
    assert await yields_nothing(feed)
