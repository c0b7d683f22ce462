"""Tests of the store with change feeds, and of its restore from a copy."""

import asyncio

import pytest

from burdockquay_standins import EraEndedError, FeedStore, HistoryDiscardedError


@pytest.fixture
def store():
    """A store with two changes."""
    filled = FeedStore()
    filled.put("fruit", "apple", b"red")
    filled.put("fruit", "pear", b"green")
    return filled


def values(store):
    return {row.key: row.value for row in store.rows("fruit")}


def test_restore_undoes_changes_since_the_copy(store):
    copy = store.copy()
    store.put("fruit", "apple", b"brown")
    store.remove("fruit", "pear")
    store.put("fruit", "plum", b"blue")
    store.restore_copy(copy)
    assert (store.era, store.revision) == (2, 2)
    assert values(store) == {"apple": b"red", "pear": b"green"}


def test_copy_of_an_earlier_revision_holds_the_rows_of_that_revision(store):
    store.remove("fruit", "apple")
    store.restore_copy(store.copy(1))
    assert values(store) == {"apple": b"red"}
    assert store.revision == 1


def test_revisions_are_assigned_again(store):
    copy = store.copy()
    store.put("fruit", "apple", b"brown")
    store.restore_copy(copy)
    assert store.put("fruit", "pear", b"yellow") == 3
    assert [(row.key, row.value) for row in store.changes("fruit", 2)] == [("pear", b"yellow")]


def test_revision_beyond_the_copy_is_unknown_until_it_is_assigned_again(store):
    copy = store.copy()
    store.put("fruit", "apple", b"brown")
    store.restore_copy(copy)
    with pytest.raises(HistoryDiscardedError):
        store.changes("fruit", 3)
    store.put("fruit", "pear", b"yellow")
    assert store.changes("fruit", 3) == []


def test_history_discarded_before_the_copy_stays_discarded(store):
    store.discard_history()
    copy = store.copy()
    store.put("fruit", "apple", b"brown")
    store.restore_copy(copy)
    with pytest.raises(HistoryDiscardedError):
        store.changes("fruit", 1)
    assert store.changes("fruit", 2) == []


def test_history_discarded_after_the_copy_is_available_again(store):
    copy = store.copy()
    store.put("fruit", "apple", b"brown")
    store.discard_history()
    store.restore_copy(copy)
    assert [row.key for row in store.changes("fruit", 1)] == ["pear"]


def test_copy_is_not_changed_by_the_store_restored_from_it(store):
    copy = store.copy()
    store.restore_copy(copy)
    store.put("fruit", "apple", b"brown")
    store.restore_copy(copy)
    assert store.era == 3
    assert values(store) == {"apple": b"red", "pear": b"green"}


async def test_waiting_query_ends_with_its_era(store):
    waiting = asyncio.ensure_future(store.wait("fruit", 2, 60.0))
    await asyncio.sleep(0)
    store.restore_copy(store.copy())
    with pytest.raises(EraEndedError):
        await waiting
