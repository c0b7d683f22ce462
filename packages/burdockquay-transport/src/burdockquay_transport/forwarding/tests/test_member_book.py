"""Members over a return of the store from a copy."""

import pytest

from burdockquay_transport.forwarding import Member, MemberChanges
from burdockquay_transport.forwarding._member_book import REJOIN_WAIT_S, MemberBook

RETURNED = 100.0


def member(vm, incarnation="1", revision=5, era=1):
    return Member(vm, f"{vm}{incarnation}", "10.0.0.1:7200", revision, era)


def returned(*listed):
    return MemberChanges(True, listed, after_return=True)


def changed(*listed, removed=()):
    return MemberChanges(False, listed, removed)


@pytest.fixture
def book():
    """A book of two members."""
    book = MemberBook()
    book.take(MemberChanges(True, (member("a"), member("b"))), 0.0)
    return book


def test_member_that_the_copy_lacks_is_kept_while_it_enters_itself_again(book):
    assert book.take(returned(member("a", era=2)), RETURNED) == set()
    assert book.take(changed(member("b", revision=9, era=2)), RETURNED + 1) == set()
    assert book.take(changed(), RETURNED + REJOIN_WAIT_S) == set()
    assert (book.get("a").era, book.get("b").era) == (2, 2), "their rows can be taken out again"


def test_former_process_of_the_copy_takes_no_place(book):
    copy = (member("a", era=2), member("b", "0", era=2))
    assert book.take(returned(*copy), RETURNED) == set()
    assert book.get("b").incarnation == "b1"


def test_copy_is_believed_of_a_member_that_does_not_enter_itself_again(book):
    book.take(returned(member("b", "0", era=2)), RETURNED)
    assert book.take(changed(), RETURNED + REJOIN_WAIT_S) == {"a", "b"}
    assert book.get("a") is None
    assert book.get("b").incarnation == "b0"


def test_successor_that_enters_itself_after_the_return_takes_the_place(book):
    book.take(returned(member("a", era=2)), RETURNED)
    assert book.take(changed(member("b", "2", 9, 2)), RETURNED + 1) == {"b"}
    assert book.get("b").incarnation == "b2"


def test_member_that_leaves_after_the_return_goes_at_once(book):
    book.take(returned(member("a", era=2), member("b", era=2)), RETURNED)
    assert book.take(changed(removed=("b",)), RETURNED + 1) == {"b"}


def test_whole_reading_after_the_first_one_does_not_end_the_wait(book):
    """The store answers 410 once more, and each process reads all members again."""
    book.take(returned(member("a", era=2)), RETURNED)
    again = MemberChanges(True, (member("a", era=2),))
    assert book.take(again, RETURNED + 1) == set()
    assert book.take(again, RETURNED + REJOIN_WAIT_S) == {"b"}
