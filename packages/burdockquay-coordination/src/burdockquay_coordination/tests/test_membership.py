"""Lagging VM lists, connections that open and close, and slots that shut down."""

import random

import attrs
import pytest

from burdockquay_coordination import MembershipTracker
from burdockquay_state import GroupRecord, VmEntry, VmState

GROUP = GroupRecord("desk", subset=4)
DOMAINS = ("praha-hall", "plzen-hall", "kolin-hall")


def slot(number, state=VmState.LIVE, name="s"):
    domain = DOMAINS[number % len(DOMAINS)]
    return VmEntry(f"{name}{number}", "slot", "127.0.0.1", 7000 + number, 0, domain, "desk", state)


@pytest.fixture
def membership():
    membership = MembershipTracker("e1")
    membership.update_list([slot(number) for number in range(12)], 0.0)
    return membership


def connect_all(membership, now, incarnation="a"):
    for entry in membership.targets(GROUP, now):
        membership.connected(entry.vm, f"{entry.vm}-{incarnation}", now)


def names(entries):
    return {entry.vm for entry in entries}


def test_subset_is_stable_while_vms_are_added_and_removed(membership):
    before = names(membership.targets(GROUP, 0.0))
    assert len(before) == 4
    others = [slot(number) for number in range(12) if f"s{number}" not in before]
    membership.update_list([slot(number) for number in range(12) if slot(number) != others[0]], 1.0)
    assert names(membership.targets(GROUP, 1.0)) == before
    membership.update_list([slot(number) for number in range(13)], 2.0)
    assert len(before & names(membership.targets(GROUP, 2.0))) >= 3


def test_empty_list_keeps_connected_slots(membership):
    """The platform's list lags or is empty after an outage. Connected slots stay in use; one whose
    connection ends as well is removed.
    """
    before = names(membership.targets(GROUP, 0.0))
    connect_all(membership, 0.0)
    membership.update_list([], 1.0)
    assert names(membership.targets(GROUP, 1.0)) == before
    disconnected_vm = min(before)
    membership.disconnected(disconnected_vm, f"{disconnected_vm}-a", 2.0)
    assert names(membership.targets(GROUP, 2.0)) == before - {disconnected_vm}


@pytest.mark.parametrize("source", ["list", "slot"])
def test_shutdown_report_of_list_or_slot_is_sufficient(membership, source):
    """A VM shuts down. The list may show it long after the slot reported it, or the slot may not
    report it. In both cases the slot gets no new work, and another slot is used instead.
    """
    connect_all(membership, 0.0)
    vm = min(names(membership.targets(GROUP, 0.0)))
    if source == "list":
        entries = [slot(number) for number in range(12)]
        change = membership.update_list(
            [
                attrs.evolve(entry, state=VmState.LEAVING) if entry.vm == vm else entry
                for entry in entries
            ],
            1.0,
        )
        assert change.leaving == (vm,)
    else:
        membership.record_leaving(vm, f"{vm}-a", 1.0)
    assert not membership.usable(vm, 1.0)
    assert vm not in names(membership.targets(GROUP, 1.0))
    assert len(membership.targets(GROUP, 1.0)) == 4


def test_shutdown_report_applies_to_one_incarnation(membership):
    connect_all(membership, 0.0)
    vm = min(names(membership.targets(GROUP, 0.0)))
    membership.record_leaving(vm, f"{vm}-a", 1.0)
    membership.connected(vm, f"{vm}-b", 2.0)
    assert membership.usable(vm, 2.0)
    # The end of the old connection is detected late and must not affect the new one.
    membership.disconnected(vm, f"{vm}-a", 3.0)
    assert membership.usable(vm, 3.0)
    assert membership.incarnation(vm) == f"{vm}-b"
    membership.record_leaving(vm, f"{vm}-a", 4.0)
    assert membership.usable(vm, 4.0)


def test_replacement_on_the_same_address_is_not_its_predecessor(membership):
    """A VM is replaced and its address is reused. The entry dials the old VM, and the new one
    answers with its own name, which is not listed yet: the connection is not used.
    """
    assert not membership.connected("t3", "t3-a", 1.0)
    assert not membership.usable("t3", 1.0)
    entries = [slot(number) for number in range(12) if number != 3]
    membership.update_list([*entries, attrs.evolve(slot(3), vm="t3")], 2.0)
    assert membership.connected("t3", "t3-a", 2.0)
    assert membership.usable("t3", 2.0)
    assert not membership.usable("s3", 2.0)


def test_failed_domain_is_replaced_until_it_recovers(membership):
    """A failure domain fails while the list still shows it. Slots of the other domains are used
    after a few seconds, and the fixed subset is in use again when the domain recovers.
    """
    connect_all(membership, 0.0)
    fixed = names(membership.targets(GROUP, 0.0))
    domain = "praha-hall"
    lost = {f"s{number}" for number in range(12) if DOMAINS[number % 3] == domain}
    assert fixed & lost
    for vm in fixed & lost:
        membership.disconnected(vm, f"{vm}-a", 10.0)
    assert names(membership.targets(GROUP, 10.5)) == fixed
    for now in (14.0, 18.0, 22.0):
        for vm in names(membership.targets(GROUP, now)) & lost:
            membership.connect_failed(vm, now)
    chosen = names(membership.targets(GROUP, 26.0))
    assert fixed <= chosen
    assert len(chosen - lost) == 4
    for vm in fixed & lost:
        membership.connected(vm, f"{vm}-b", 30.0)
    assert names(membership.targets(GROUP, 30.0)) == fixed


def test_reconnects_to_a_recovered_domain_are_spread():
    """A failure domain of 400 slots recovers while 100 entries retry their connections. Their next
    attempts are spread over the entire delay bound instead of arriving at once.
    """
    due = []
    for number in range(100):
        membership = MembershipTracker(f"e{number}")
        rng = random.Random(number)
        membership.update_list([slot(0)], 0.0)
        for attempt in range(10):
            membership.connect_failed("s0", float(attempt))
        due.append(membership.reconnect_delay("s0", rng, 10.0))
    assert max(due) <= 5.0
    busiest = max(sum(start <= wait < start + 0.5 for wait in due) for start in range(5))
    assert busiest <= 25


def test_slot_that_closes_immediately_is_dialled_with_a_delay(membership):
    rng = random.Random(1)
    for attempt in range(8):
        membership.connected("s1", f"s1-{attempt}", float(attempt))
        membership.disconnected("s1", f"s1-{attempt}", attempt + 0.01)
    assert sum(membership.reconnect_delay("s1", rng, 9.0) for _ in range(50)) / 50 > 1.5
    membership.connected("s1", "s1-x", 10.0)
    membership.disconnected("s1", "s1-x", 20.0)
    assert membership.reconnect_delay("s1", rng, 20.0) <= 0.2


def test_slots_of_other_domains_replace_evacuated_ones_and_no_connection_is_closed(membership):
    """Guards against an entry whose subset lies in evacuated domains while other slots are idle."""
    fixed = names(membership.targets(GROUP, 0.0))
    targets = membership.targets(GROUP, 0.0, DOMAINS[:2])
    assert fixed <= names(targets)
    assert sum(entry.failure_domain == DOMAINS[2] for entry in targets) == GROUP.subset
