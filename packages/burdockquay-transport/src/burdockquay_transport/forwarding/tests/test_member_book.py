"""Tests of the members when the store is restored from a copy."""

import pytest

from burdockquay_transport.forwarding import Member, MemberChanges
from burdockquay_transport.forwarding._known_members import REJOIN_WAIT_S, KnownMembers

RESTORED_AT = 100.0


def member(vm, incarnation="1", revision=5, era=1):
    return Member(vm, f"{vm}{incarnation}", "10.0.0.1:7200", revision, era)


def restored(*listed):
    return MemberChanges(True, listed, after_restore=True)


def changed(*listed, removed=()):
    return MemberChanges(False, listed, removed)


@pytest.fixture
def members():
    """Return two known members."""
    members = KnownMembers()
    members.apply(MemberChanges(True, (member("a"), member("b"))), 0.0)
    return members


def test_member_that_the_copy_lacks_is_kept_while_it_may_register_again(members):
    assert members.apply(restored(member("a", era=2)), RESTORED_AT) == set()
    assert members.apply(changed(member("b", revision=9, era=2)), RESTORED_AT + 1) == set()
    assert members.apply(changed(), RESTORED_AT + REJOIN_WAIT_S) == set()
    assert (members.get("a").era, members.get("b").era) == (2, 2), "their rows can be removed later"


def test_former_process_in_the_copy_does_not_replace_its_successor(members):
    copy = (member("a", era=2), member("b", "0", era=2))
    assert members.apply(restored(*copy), RESTORED_AT) == set()
    assert members.get("b").incarnation == "b1"


def test_copy_applies_to_a_member_that_does_not_register_again(members):
    members.apply(restored(member("b", "0", era=2)), RESTORED_AT)
    assert members.apply(changed(), RESTORED_AT + REJOIN_WAIT_S) == {"a", "b"}
    assert members.get("a") is None
    assert members.get("b").incarnation == "b0"


def test_successor_that_registers_after_the_restore_replaces_the_member(members):
    members.apply(restored(member("a", era=2)), RESTORED_AT)
    assert members.apply(changed(member("b", "2", 9, 2)), RESTORED_AT + 1) == {"b"}
    assert members.get("b").incarnation == "b2"


def test_member_that_leaves_after_the_restore_is_removed_at_once(members):
    members.apply(restored(member("a", era=2), member("b", era=2)), RESTORED_AT)
    assert members.apply(changed(removed=("b",)), RESTORED_AT + 1) == {"b"}


def test_complete_reading_after_the_first_one_does_not_end_the_wait(members):
    """The store answers 410 again, and each process reads all members once more."""
    members.apply(restored(member("a", era=2)), RESTORED_AT)
    again = MemberChanges(True, (member("a", era=2),))
    assert members.apply(again, RESTORED_AT + 1) == set()
    assert members.apply(again, RESTORED_AT + REJOIN_WAIT_S) == {"b"}
