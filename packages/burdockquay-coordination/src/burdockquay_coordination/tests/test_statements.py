"""Tests of reading what upstreams state, and of keeping it for one run."""

import pytest

from burdockquay_coordination import (
    NOT_STATED,
    AnswerContext,
    RateLimit,
    Rest,
    RunStatements,
    StatementChange,
    StatementChangeKind,
    StatementFault,
    StatementReading,
    read_leaving,
    read_rest,
    read_statements,
)

UNREADABLE = StatementReading(None, StatementFault.UNREADABLE)


@pytest.mark.parametrize(
    ("texts", "reading"),
    [
        ([], NOT_STATED),
        (["3"], StatementReading(3.0)),
        ([" 0.25 "], StatementReading(0.25)),
        (["1", "4", "2"], StatementReading(4.0)),
        (["1, 4"], StatementReading(4.0)),
        (["soon", "2"], StatementReading(2.0)),
        (["0"], NOT_STATED),
        (["0.0"], NOT_STATED),
        ([""], UNREADABLE),
        (["-3"], UNREADABLE),
        (["nan"], UNREADABLE),
        (["inf"], UNREADABLE),
        (["1e3"], UNREADABLE),
        (["Thu, 03 Dec 2026 12:00:00 GMT"], UNREADABLE),
        (["9" * 400], UNREADABLE),
        (["300"], StatementReading(300.0)),
        (["86400"], StatementReading(300.0, StatementFault.TOO_HIGH)),
    ],
)
def test_each_text_of_a_rest_has_a_defined_reading(texts, reading):
    assert read_rest(texts) == reading


@pytest.mark.parametrize(
    ("texts", "reading"),
    [
        ([], NOT_STATED),
        (["1"], StatementReading(1.0)),
        ([" 1 "], StatementReading(1.0)),
        (["0"], NOT_STATED),
        (["0", "1"], StatementReading(1.0)),
        (["0, 1"], StatementReading(1.0)),
        ([""], UNREADABLE),
        (["yes"], UNREADABLE),
        (["10"], UNREADABLE),
        (["0", "soon"], UNREADABLE),
    ],
)
def test_each_text_of_leaving_has_a_defined_reading(texts, reading):
    assert read_leaving(texts) == reading


@pytest.fixture
def run():
    """Statements of one run of an upstream, without a limit."""
    return RunStatements(RateLimit())


def record(run, now, is_proved=True, **texts):
    answer = AnswerContext(now - 0.1, is_proved)
    statements = read_statements({kind: [text] for kind, text in texts.items()})
    return dict(run.record_answer(statements, answer, now))


def test_leaving_needs_proof_of_origin(run):
    """Guards against a forged answer that takes an upstream out of use."""
    assert record(run, 1.0, is_proved=False, leaving="1") == {}
    assert not run.leaving.in_force
    assert list(record(run, 2.0, leaving="1")) == ["leaving"]


def test_leaving_is_never_taken_back(run):
    """Guards against an answer that was overtaken, and puts an upstream back in use."""
    record(run, 1.0, leaving="1")
    assert record(run, 2.0, leaving="0") == {}
    assert record(run, 3.0) == {}
    assert run.leaving.in_force
    assert run.leaving.age_s(4.0) == 3.0


def test_rest_needs_no_proof_of_origin(run):
    """Guards against rests that are ignored because refusals carry no proof of origin."""
    assert list(record(run, 1.0, is_proved=False, rest="3")) == ["rest"]
    assert run.rest.remaining_s(2.0) == 2.0


def test_longest_of_overlapping_rests_holds(run):
    """Guards against a later answer that shortens the rest."""
    record(run, 1.0, rest="3")
    assert record(run, 1.5, rest="1") == {}
    assert record(run, 2.0) == {}
    assert run.rest.remaining_s(2.0) == 2.0
    assert record(run, 2.0, rest="5")["rest"].kind is StatementChangeKind.CHANGED
    assert run.rest.remaining_s(2.0) == 5.0


def test_rest_after_another_one_is_learnt_anew():
    rest = Rest()
    rest.record_answer(StatementReading(1.0), 0.0, 0.1)
    change = rest.record_answer(StatementReading(2.0), 1.9, 2.0)
    assert change == StatementChange(StatementChangeKind.LEARNT, None, 2.0)


def test_unproved_answer_does_not_end_a_limit(run):
    record(run, 1.0, request_rate="2")
    assert record(run, 2.0, is_proved=False) == {}
    assert list(record(run, 3.0)) == ["request_rate"]


def test_fault_is_new_once_only(run):
    """Guards against a log line for each answer with the same fault."""
    too_low = read_statements({"request_rate": ["0"]})
    assert list(run.new_faults(too_low)) == [("request_rate", StatementFault.TOO_LOW)]
    assert list(run.new_faults(too_low)) == []
    others = read_statements({"request_rate": ["9999999"], "rest": ["soon"]})
    assert set(run.new_faults(others)) == {
        ("request_rate", StatementFault.TOO_HIGH),
        ("rest", StatementFault.UNREADABLE),
    }
