"""One table as a process follows it, over a return of the store from a copy."""

import asyncio
import random

import pytest
from result import Err, Ok

from burdockquay_coordination.forwarding import Switches
from burdockquay_protocol import ChangedRow, TableChanges
from burdockquay_state import Position, TableError, TableErrorKind
from burdockquay_transport.forwarding import FeedExchange, TableFeed, TableReading, TableStore

AWAY = Err(TableError(TableErrorKind.UNAVAILABLE, "away"))


class ScriptedStore(TableStore):
    """A store of one row that answers when the test says so, and counts what it is asked."""

    def __init__(self):
        self.time = 10.0
        self.position = Position(1, 50)
        self.value = b"old"
        self.is_away = False
        self.knows_clock = True
        self.reads = 0
        self.waits = 0
        self.waiting = []

    def now(self):
        return self.time

    async def read_table(self, table):
        self.reads += 1
        return AWAY if self.is_away else Ok(self.reading())

    async def wait_for_rows(self, table, after, wait_s):
        self.waits += 1
        answer = asyncio.get_running_loop().create_future()
        self.waiting.append(answer)
        return await answer

    def moment_of(self, store_s, era):
        return store_s if self.knows_clock else None

    def reading(self, *rows):
        rows = rows or (ChangedRow("k", self.value, self.position.revision),)
        return TableReading(rows, self.position, self.time, self.time)

    def answer(self, answered):
        self.waiting.pop(0).set_result(answered)

    def come_back(self, revision, value):
        self.position = Position(self.position.era + 1, revision)
        self.value = value


@pytest.fixture
def store():
    """A store in its first era."""
    return ScriptedStore()


@pytest.fixture
def exchange():
    """What the process tells and hears; told messages are in ``exchange.told``."""
    exchange = FeedExchange(random.Random(1), Switches())
    exchange.told = []
    exchange.tell = exchange.told.append
    return exchange


@pytest.fixture
async def feed(store, exchange):
    """A feed that has read its table in the first era."""
    feed = TableFeed(store, "t", exchange)
    await feed.next(1.0)
    return feed


def told(era, after, upto, value=b"new", store_s=10.0):
    return TableChanges("t", era, after, upto, store_s, 3600.0, [ChangedRow("k", value, upto)])


async def next_news(feed):
    async with asyncio.timeout(5):
        return (await feed.next(1.0)).ok()


async def is_quiet(feed):
    """Return whether the feed has nothing to say for a moment."""
    try:
        async with asyncio.timeout(0.05):
            await feed.next(1.0)
    except TimeoutError:
        return True
    return False


async def test_raised_era_in_an_answer_makes_the_table_be_read_again(feed, store):
    """The answer brings changes behind the same revision of another history."""
    asking = asyncio.create_task(next_news(feed))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    store.come_back(60, b"newest")
    store.answer(Ok(store.reading(ChangedRow("other", b"", 60))))
    news = await asking
    assert news.whole and news.after_return and news.era == 2
    assert [row.value for row in news.rows] == [b"newest"]


async def test_raised_era_seen_elsewhere_ends_a_question_that_waits(feed, store, exchange):
    """Another table, or an answer to a write, tells first that the store came back."""
    asking = asyncio.create_task(next_news(feed))
    await asyncio.sleep(0.01)
    store.come_back(20, b"older")
    exchange.note_era(2, store.time)
    assert (await asking).after_return
    assert store.waiting[0].cancelled()


async def test_message_of_a_past_era_confirms_nothing(feed, store, exchange):
    """A peer's message was frozen, or its sender was, while the store came back.

    Its revisions lie far ahead of those that are given out now.
    """
    store.come_back(20, b"older")
    exchange.note_era(2, store.time)
    assert (await next_news(feed)).after_return
    feed.turn.is_poller = False
    exchange.hear(told(1, 50, 90), store.time)
    assert await is_quiet(feed)


async def test_message_of_a_later_era_is_no_continuation(feed, store, exchange):
    """A peer is ahead; its message seems to go on from what this process knows."""
    feed.turn.is_poller = False
    store.come_back(60, b"newest")
    exchange.hear(told(2, 50, 60, b"part"), store.time)
    assert await is_quiet(feed), "it does not read with all others at the same moment"
    store.time += 1.0
    news = await next_news(feed)
    assert news.whole and [row.value for row in news.rows] == [b"newest"]


async def test_process_that_does_not_poll_takes_the_whole_table_that_a_peer_tells(
    feed, store, exchange
):
    """All processes would read all tables at the same moment."""
    feed.turn.is_poller = False
    exchange.hear(told(2, 0, 40), store.time)
    news = await next_news(feed)
    assert news.whole and news.after_return and store.reads == 1
    exchange.hear(told(2, 40, 41, b"next"), store.time)
    assert [row.value for row in (await next_news(feed)).rows] == [b"next"]


async def test_told_rows_confirm_nothing_where_the_clock_of_the_new_era_is_not_known(
    feed, store, exchange
):
    """The store turns one process away after its return; its peers tell it what they read."""
    store.knows_clock = False
    store.is_away = True
    exchange.note_era(2, store.time)
    assert (await feed.next(1.0)).is_err()
    exchange.hear(told(2, 0, 40), store.time)
    news = await next_news(feed)
    assert news.after_return and [row.value for row in news.rows] == [b"new"]
    assert news.as_of == float("-inf")
    exchange.hear(told(2, 40, 41, b"next"), store.time)
    assert [row.value for row in (await next_news(feed)).rows] == [b"next"]


async def test_process_that_was_told_the_table_does_not_ask_with_all_others(feed, store, exchange):
    """All know the table and lack the clock of the new era, which one question shows."""
    feed.turn.is_poller = False
    store.time += 5.0
    exchange.hear(told(2, 0, 40), store.time)
    assert (await next_news(feed)).after_return
    assert await is_quiet(feed)
    assert store.waits == 0
    store.time += 1.0
    await is_quiet(feed)
    assert (store.waits, store.reads) == (1, 1)


async def test_poller_tells_the_whole_table_after_the_return(feed, store, exchange):
    store.come_back(20, b"older")
    exchange.note_era(2, store.time)
    await next_news(feed)
    (message,) = exchange.told
    assert (message.era, message.after, message.upto) == (2, 0, 20)
    assert [row.value for row in message.rows] == [b"older"]


async def test_poller_that_left_the_asking_to_others_tells_after_the_return(feed, store, exchange):
    """All pollers got no answer while the store was away and left the asking to others.

    Nobody told what the store holds, and a process that it turned away knew nothing of it.
    """
    feed.turn.confirm_by_peer(store.time, store.time)
    feed.turn.fail(store.time)
    assert not feed.turn.polls(store.time)
    store.come_back(20, b"older")
    exchange.note_era(2, store.time)
    await next_news(feed)
    assert [(item.era, item.after) for item in exchange.told] == [(2, 0)]


async def test_process_that_does_not_poll_tells_nothing_after_the_return(feed, store, exchange):
    """With a hundred processes each would tell all others what they read themselves."""
    feed.turn.is_poller = False
    store.come_back(20, b"older")
    exchange.note_era(2, store.time)
    store.time += 1.0
    await next_news(feed)
    assert exchange.told == []


async def test_table_that_an_answer_of_a_past_era_holds_is_an_error(feed, store, exchange):
    """A whole reading comes late, after another table has shown that the store came back."""
    exchange.note_era(2, store.time)
    read = await feed.next(1.0)
    assert read.err().kind is TableErrorKind.UNAVAILABLE
    store.come_back(20, b"older")
    assert (await next_news(feed)).after_return


async def test_two_returns_in_a_row_are_read_once(feed, store, exchange):
    store.come_back(20, b"older")
    exchange.note_era(2, store.time)
    store.come_back(10, b"oldest")
    exchange.note_era(3, store.time)
    assert (await next_news(feed)).era == 3
    assert store.reads == 2


async def test_row_that_a_message_repeats_is_no_change(feed, store, exchange):
    """A message begins before what is known, and brings a row of the copy once more."""
    store.come_back(20, b"older")
    exchange.note_era(2, store.time)
    await next_news(feed)
    exchange.hear(told(2, 0, 20, b"older"), store.time)
    assert (await next_news(feed)).rows == ()
    rows = [ChangedRow("k", b"older", 20), ChangedRow("j", b"new", 21)]
    exchange.hear(TableChanges("t", 2, 0, 21, 10.0, 3600.0, rows), store.time)
    assert [row.key for row in (await next_news(feed)).rows] == ["j"]


async def test_outage_without_a_new_era_reads_no_table_again(feed, store):
    """The store is away and comes back with all that it had."""
    for _ in range(3):
        asking = asyncio.create_task(feed.next(1.0))
        await asyncio.sleep(0.01)
        store.answer(AWAY)
        assert (await asking).is_err()
    asking = asyncio.create_task(next_news(feed))
    await asyncio.sleep(0.01)
    store.answer(Ok(store.reading()))
    assert not (await asking).whole
    assert (store.reads, store.waits) == (1, 4)


async def test_trouble_lasts_until_the_first_answer_after_it(feed, store):
    """A process asks again seconds after the store failed, and entries may just have lapsed."""
    asking = asyncio.create_task(feed.next(1.0))
    await asyncio.sleep(0.01)
    store.answer(AWAY)
    await asking
    store.time += 3.0
    asking = asyncio.create_task(next_news(feed))
    await asyncio.sleep(0.01)
    store.answer(Ok(store.reading()))
    assert (await asking).troubled_at == store.time


async def test_first_era_that_a_process_hears_of_is_no_return(store, exchange):
    store.position = Position(7, 50)
    feed = TableFeed(store, "t", exchange)
    news = await next_news(feed)
    assert not news.after_return
    assert news.troubled_at == float("-inf")
