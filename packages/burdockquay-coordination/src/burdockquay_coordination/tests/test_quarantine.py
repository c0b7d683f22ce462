import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import QuarantineTracker, Verdict
from burdockquay_protocol import Suspicion


@pytest.fixture
def quarantine():
    return QuarantineTracker(retention_s=100.0)


def verdicts(quarantine, digests, now=0.0):
    return [quarantine.verdict(digest, now).value for digest in digests]


def test_second_crash_quarantines_the_only_suspect(quarantine):
    """A request crashes each upstream that runs it, and its caller retries it.

    Without quarantine it would crash one upstream after the other, and the requests beside it.
    """
    quarantine.record_crash(["poison", "a", "b"], 0.0)
    assert verdicts(quarantine, ["poison", "a", "b", "c"]) == ["suspect"] * 3 + ["clear"]
    quarantine.record_crash(["poison", "c"], 1.0)
    assert verdicts(quarantine, ["poison", "a", "b", "c"]) == [
        "quarantined",
        "clear",
        "clear",
        "clear",
    ]


def test_third_crash_decides_between_two_suspects_that_ran_together(quarantine):
    quarantine.record_crash(["poison", "a"], 0.0)
    quarantine.record_crash(["poison", "a"], 1.0)
    assert verdicts(quarantine, ["poison", "a"]) == ["suspect", "suspect"]
    quarantine.record_crash(["poison", "b"], 2.0)
    assert verdicts(quarantine, ["poison", "a", "b"]) == ["quarantined", "clear", "clear"]


def test_wrongly_quarantined_request_is_cleared_when_the_cause_is_found(quarantine):
    """An innocent request runs beside each of two bad requests when they crash an upstream."""
    quarantine.record_crash(["first", "innocent"], 0.0)
    quarantine.record_crash(["second", "innocent"], 1.0)
    assert quarantine.verdict("innocent", 1.0) is Verdict.QUARANTINED
    quarantine.record_crash(["first"], 2.0)
    quarantine.record_crash(["first"], 3.0)
    assert verdicts(quarantine, ["first", "innocent"], 3.0) == ["quarantined", "suspect"]


def test_completed_request_is_cleared(quarantine):
    quarantine.record_crash(["poison", "a"], 0.0)
    report = quarantine.suspicions(0.0)
    quarantine.record_completion("a", 1.0)
    assert quarantine.merge(report, 1.0) == []
    assert verdicts(quarantine, ["poison", "a"], 1.0) == ["suspect", "clear"]


def test_suspicions_expire_and_can_be_withdrawn(quarantine):
    quarantine.record_crash(["poison"], 0.0)
    quarantine.record_crash(["poison"], 50.0)
    assert quarantine.verdict("poison", 149.0) is Verdict.QUARANTINED
    assert quarantine.verdict("poison", 150.0) is Verdict.CLEAR
    assert quarantine.suspicions(150.0) == []
    quarantine.record_crash(["poison"], 200.0)
    quarantine.record_crash(["poison"], 201.0)
    report = quarantine.suspicions(201.0)
    quarantine.withdraw("poison", 202.0)
    assert quarantine.merge(report, 203.0) == []
    assert quarantine.verdict("poison", 203.0) is Verdict.CLEAR


def test_merge_keeps_the_larger_counts_and_returns_changes(quarantine):
    quarantine.record_crash(["poison"], 0.0)
    assert quarantine.merge([Suspicion("poison", 1, 1, 100.0)], 0.0) == []
    assert quarantine.merge([Suspicion("old", 2, 1, 0.0)], 0.0) == []
    worse = Suspicion("poison", 2, 1, 90.0)
    assert quarantine.merge([worse], 0.0) == [worse]
    assert quarantine.suspicions(0.0) == [Suspicion("poison", 2, 1, 100.0)]


@given(
    st.lists(st.lists(st.integers(0, 9), min_size=1, max_size=4, unique=True), max_size=8),
    st.sets(st.integers(0, 7)),
)
def test_only_the_bad_request_is_quarantined_after_two_crashes(concurrent_runs, late_reports):
    """The bad request is sent repeatedly, each time beside others.

    `late_reports` are the runs in which other suspects take part because the report of the crash
    had not reached the entry.
    """
    quarantine = QuarantineTracker(retention_s=1000.0)
    alone = 0
    for turn, others in enumerate(concurrent_runs):
        if quarantine.verdict("poison", turn) is Verdict.QUARANTINED:
            break
        names = [f"d{number}" for number in others]
        if turn not in late_reports:
            names = [name for name in names if quarantine.verdict(name, turn) is Verdict.CLEAR]
        suspects = [name for name in names if quarantine.verdict(name, turn) is Verdict.SUSPECT]
        alone += not suspects and (turn > 0 or not names)
        quarantine.record_crash(["poison", *names], float(turn))
        assert all(
            quarantine.verdict(f"d{number}", turn) is not Verdict.QUARANTINED
            for number in range(10)
        )
        named = quarantine.verdict("poison", turn) is Verdict.QUARANTINED
        assert named == (turn > 0 and alone > 0)
