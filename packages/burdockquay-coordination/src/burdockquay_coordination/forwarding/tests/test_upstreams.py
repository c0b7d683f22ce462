"""Upstreams: their list, their health, and requests that crash them."""

import random

from burdockquay_coordination.forwarding import (
    CrashSuspects,
    ListedUpstream,
    UpstreamBook,
    UpstreamChanges,
    choose_upstream,
)


def entry(id_, revision=1, leaving=False):
    return ListedUpstream(id_, "s", "10.0.0.1", 80, "a", 8, leaving, revision)


def listed(book):
    return sorted(item.id for item in book.of_service("s"))


def test_vanished_entry_counts_at_once_on_a_calm_day():
    book = UpstreamBook()
    book.apply(UpstreamChanges(True, (entry("a"), entry("b"))), 0.0)
    gone = book.of_service("s")[0]
    book.apply(UpstreamChanges(False, removed=("a",)), 1.0)
    assert listed(book) == ["b"]
    assert not gone.takes_work()


def test_entries_that_vanish_in_trouble_and_come_back_are_never_dropped():
    """The store is away and the entries of live upstreams lapse.

    Every request to the service would be refused for seconds.
    """
    book = UpstreamBook()
    book.apply(UpstreamChanges(True, (entry("a"), entry("b"))), 0.0)
    book.note_trouble(5.0)
    book.apply(UpstreamChanges(True), 5.5)
    assert listed(book) == ["a", "b"]
    book.apply(UpstreamChanges(False, (entry("a", 2),)), 6.5)
    book.settle(7.3)
    assert listed(book) == ["a"]


def test_older_reading_of_an_entry_is_not_taken():
    book = UpstreamBook()
    book.apply(UpstreamChanges(True, (entry("a", 5, leaving=True),)), 0.0)
    book.apply(UpstreamChanges(False, (entry("a", 4),)), 1.0)
    assert not book.of_service("s")[0].takes_work()


def test_unreachable_upstream_is_left_out_longer_each_time_and_comes_back(make_upstream):
    upstream = make_upstream("a")
    upstream.note_unreachable(0.0)
    assert upstream.suspended(0.4) and not upstream.suspended(0.6)
    upstream.note_unreachable(0.6)
    assert upstream.suspended(1.5)
    upstream.note_success(1.6)
    assert not upstream.suspended(1.6)


def test_upstream_that_fails_many_requests_is_avoided_and_tried_again(make_upstream):
    """An upstream fails half of its requests while its health page is good.

    Half of its callers would get failures for as long as it lasts.
    """
    grey, sound = make_upstream("a"), make_upstream("b")
    for _ in range(6):
        grey.note_failure(1.0)
    rng = random.Random(1)
    chosen = {choose_upstream([grey, sound], "a", (), 1.1, rng).id for _ in range(20)}
    assert chosen == {"b"}
    assert not grey.is_grey(10.0)


def test_bad_upstreams_are_used_when_no_other_is_left(make_upstream):
    only = make_upstream("a")
    only.note_unreachable(0.0)
    assert choose_upstream([only], "a", (), 0.1, random.Random(1)) is only


def test_near_upstream_is_preferred_until_it_has_more_to_do(make_upstream):
    near, far = make_upstream("near", "a"), make_upstream("far", "b")
    rng = random.Random(1)
    assert choose_upstream([far, near], "a", (), 0.0, rng) is near
    near.outstanding = 1
    assert choose_upstream([far, near], "a", (), 0.0, rng) is far


def test_only_requests_that_broke_at_an_upstream_that_is_down_are_suspected():
    """A request breaks off at two upstreams, of which one went on serving.

    A bystander of garbled answers would be refused for a minute.
    """
    suspects = CrashSuspects()
    suspects.note_break("bystander", "a", 0.0)
    suspects.note_break("culprit", "b", 0.0)
    suspects.note_break("bystander", "b", 0.0)
    suspects.note_down("b", 0.5)
    suspects.note_break("culprit", "c", 1.0)
    assert suspects.note_down("c", 1.2) == ["culprit"]
    assert suspects.is_refused("culprit", 1.3)
    assert not suspects.is_refused("bystander", 1.3)
    assert not suspects.is_refused("culprit", 70.0)


def test_late_sign_of_a_crash_blames_nobody():
    suspects = CrashSuspects()
    suspects.note_break("digest", "a", 0.0)
    assert suspects.note_down("a", 10.0) == []
