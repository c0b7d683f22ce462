"""Tests of the order in which usage reports are fixed and delivered."""

import pytest

from burdockquay_coordination.usage import ReportPlan, ReportTerms, UsageLedger, UsageReport

TERMS = ReportTerms(window_s=5.0, due_s=10.0, lease_s=3.0)


@pytest.fixture
def ledger():
    return UsageLedger()


@pytest.fixture
def plan(ledger):
    plan = ReportPlan(TERMS, ledger)
    plan.record_era(1, moment=0.0)
    return plan


def test_window_is_fixed_once_all_processes_have_reported_past_its_end(plan, ledger):
    ledger.record("a", {20: {"one": 3}}, complete_until=106.2)
    ledger.record("b", {20: {"one": 4}}, complete_until=104.0)
    assert plan.next_task(106.2, ["a", "b"]) is None
    ledger.record("b", {20: {"one": 5}}, complete_until=106.1)
    task = plan.next_task(106.2, ["a", "b"])
    assert (task.report, task.is_fixed) == (UsageReport(20, {"one": 8}), False)


def test_missing_process_is_waited_for_until_a_share_of_the_due_time(plan, ledger):
    """Guards against a report without the counts of a process that is cut off for some seconds."""
    ledger.record("a", {20: {"one": 3}}, complete_until=112.0)
    ledger.record("cut", {20: {"one": 4}}, complete_until=103.0)
    assert plan.next_task(110.9, ["a"]) is None
    assert plan.next_task(111.0, ["a"]).report.counts == {"one": 7}


def test_fixed_counts_are_delivered_although_more_arrive(plan, ledger):
    """Guards against two deliveries of a window with different counts."""
    ledger.record("a", {20: {"one": 3}}, complete_until=106.2)
    plan.record_fixed(plan.next_task(106.2, ["a"]).report, era=1)
    ledger.record("late", {20: {"one": 9}}, complete_until=107.0)
    task = plan.next_task(107.0, ["a"])
    assert (task.report.counts, task.is_fixed) == ({"one": 3}, True)


def test_report_that_can_be_in_time_goes_before_an_overdue_one(plan, ledger):
    ledger.record("a", {20: {"one": 1}, 21: {}, 22: {}, 23: {}}, complete_until=124.0)
    assert plan.next_task(121.2, ["a"]).report.window == 22


def test_window_fixed_before_a_restore_is_left_out_by_a_new_holder(plan, ledger):
    """The store lost the fixed counts, which may have been delivered."""
    ledger.record("a", {20: {"one": 1}, 21: {"one": 2}}, complete_until=111.5)
    plan.record_era(2, moment=106.5)
    assert plan.next_task(111.5, ["a"]).report.window == 21
    assert plan.is_lost(20)


def test_window_fixed_before_a_restore_is_fixed_again_with_the_same_counts(plan, ledger):
    ledger.record("a", {20: {"one": 1}}, complete_until=106.2)
    plan.record_fixed(UsageReport(20, {"one": 1}), era=1)
    plan.record_era(2, moment=106.5)
    ledger.record("a", {20: {"one": 4}}, complete_until=107.0)
    task = plan.next_task(107.0, ["a"])
    assert (task.report.counts, task.is_fixed) == ({"one": 1}, False)


def test_process_that_starts_after_a_restore_leaves_out_earlier_windows(ledger):
    plan = ReportPlan(TERMS, ledger)
    ledger.record("a", {20: {"one": 1}, 21: {"one": 2}}, complete_until=111.5)
    plan.record_era(3, moment=107.0)
    assert plan.next_task(111.5, ["a"]).report.window == 21


def test_other_counts_in_the_store_after_a_restore_close_the_window(plan, ledger):
    ledger.record("a", {20: {"one": 1}}, complete_until=106.2)
    plan.record_fixed(UsageReport(20, {"one": 1}), era=1)
    plan.record_era(2, moment=106.5)
    assert not plan.record_fixed(UsageReport(20, {"one": 2}), era=2)
    assert plan.next_task(107.0, ["a"]) is None


def test_windows_delivered_by_the_former_holder_are_not_repeated(plan, ledger):
    ledger.record("a", {18: {}, 19: {"one": 1}, 20: {"one": 1}}, complete_until=106.2)
    plan.record_delivered_upto(19)
    assert plan.next_task(106.2, ["a"]).report.window == 20


def test_counts_do_not_grow_when_messages_are_repeated_or_reordered(ledger):
    """Guards against requests that are counted twice after a connection was opened again."""
    ledger.record("a", {20: {"one": 5}}, complete_until=104.0)
    ledger.record("a", {20: {"one": 3}}, complete_until=103.0)
    ledger.record("a", {20: {"one": 5}}, complete_until=104.0)
    assert ledger.totals(20) == {"one": 5}


def test_restarted_process_adds_to_the_counts_of_its_former_incarnation(ledger):
    ledger.record("edge-1/old", {20: {"one": 5}}, complete_until=102.0)
    ledger.record("edge-1/new", {20: {"one": 2}}, complete_until=104.0)
    assert ledger.totals(20) == {"one": 7}
