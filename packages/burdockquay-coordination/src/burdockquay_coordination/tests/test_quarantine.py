import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import QuarantineTracker, Verdict
from burdockquay_protocol import Suspicion


@pytest.fixture
def tracker():
    return QuarantineTracker(retention_s=100.0)


def verdicts(tracker, digests, now=0.0):
    return [tracker.verdict(digest, now).value for digest in digests]


def test_second_crash_quarantines_the_only_suspect(tracker):
    """A request crashes each upstream that runs it, and its caller retries it.

    Without quarantine it would crash one upstream after the other, and the requests beside it.
    """
    tracker.record_crash(["poison", "a", "b"], 0.0)
    assert verdicts(tracker, ["poison", "a", "b", "c"]) == ["suspect"] * 3 + ["clear"]
    tracker.record_crash(["poison", "c"], 1.0)
    assert verdicts(tracker, ["poison", "a", "b", "c"]) == [
        "quarantined",
        "clear",
        "clear",
        "clear",
    ]


def test_third_crash_decides_between_two_suspects_that_ran_together(tracker):
    tracker.record_crash(["poison", "a"], 0.0)
    tracker.record_crash(["poison", "a"], 1.0)
    assert verdicts(tracker, ["poison", "a"]) == ["suspect", "suspect"]
    tracker.record_crash(["poison", "b"], 2.0)
    assert verdicts(tracker, ["poison", "a", "b"]) == ["quarantined", "clear", "clear"]


def test_wrongly_quarantined_request_is_cleared_when_the_cause_is_found(tracker):
    """An innocent request runs beside each of two bad requests when they crash an upstream."""
    tracker.record_crash(["first", "innocent"], 0.0)
    tracker.record_crash(["second", "innocent"], 1.0)
    assert tracker.verdict("innocent", 1.0) is Verdict.QUARANTINED
    tracker.record_crash(["first"], 2.0)
    tracker.record_crash(["first"], 3.0)
    assert verdicts(tracker, ["first", "innocent"], 3.0) == ["quarantined", "suspect"]


def test_completed_request_is_cleared(tracker):
    tracker.record_crash(["poison", "a"], 0.0)
    report = tracker.suspicions(0.0)
    tracker.record_completion("a", 1.0)
    assert tracker.merge(report, 1.0) == []
    assert verdicts(tracker, ["poison", "a"], 1.0) == ["suspect", "clear"]


def test_suspicions_expire_and_can_be_withdrawn(tracker):
    tracker.record_crash(["poison"], 0.0)
    tracker.record_crash(["poison"], 50.0)
    assert tracker.verdict("poison", 149.0) is Verdict.QUARANTINED
    assert tracker.verdict("poison", 150.0) is Verdict.CLEAR
    assert tracker.suspicions(150.0) == []
    tracker.record_crash(["poison"], 200.0)
    tracker.record_crash(["poison"], 201.0)
    report = tracker.suspicions(201.0)
    tracker.withdraw("poison", 202.0)
    assert tracker.merge(report, 203.0) == []
    assert tracker.verdict("poison", 203.0) is Verdict.CLEAR


def test_merge_keeps_the_larger_counts_and_returns_changes(tracker):
    tracker.record_crash(["poison"], 0.0)
    assert tracker.merge([Suspicion("poison", 1, 1, 100.0)], 0.0) == []
    assert tracker.merge([Suspicion("old", 2, 1, 0.0)], 0.0) == []
    worse = Suspicion("poison", 2, 1, 90.0)
    assert tracker.merge([worse], 0.0) == [worse]
    assert tracker.suspicions(0.0) == [Suspicion("poison", 2, 1, 100.0)]


@given(
    st.lists(st.lists(st.integers(0, 9), min_size=1, max_size=4, unique=True), max_size=8),
    st.sets(st.integers(0, 7)),
)
def test_only_the_bad_request_is_quarantined_after_two_crashes(concurrent_runs, runs_before_report):
    """The bad request is sent repeatedly, each time beside others.

    In `runs_before_report`, the entry has not yet received the report of the crash, and other
    suspects take part.
    """
    tracker = QuarantineTracker(retention_s=1000.0)
    alone = 0
    for turn, others in enumerate(concurrent_runs):
        if tracker.verdict("poison", turn) is Verdict.QUARANTINED:
            break
        names = [f"d{number}" for number in others]
        if turn not in runs_before_report:
            names = [name for name in names if tracker.verdict(name, turn) is Verdict.CLEAR]
        suspects = [name for name in names if tracker.verdict(name, turn) is Verdict.SUSPECT]
        alone += not suspects and (turn > 0 or not names)
        tracker.record_crash(["poison", *names], float(turn))
        assert all(
            tracker.verdict(f"d{number}", turn) is not Verdict.QUARANTINED for number in range(10)
        )
        named = tracker.verdict("poison", turn) is Verdict.QUARANTINED
        assert named == (turn > 0 and alone > 0)
