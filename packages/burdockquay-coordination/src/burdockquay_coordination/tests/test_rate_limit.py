"""Tests of reading the request rate limits of upstreams, and of the one in force."""

import pytest

from burdockquay_coordination import (
    NOT_STATED,
    RateLimit,
    StatementChange,
    StatementChangeKind,
    StatementFault,
    StatementReading,
    read_rate,
)


@pytest.mark.parametrize(
    ("texts", "reading"),
    [
        ([], NOT_STATED),
        (["1.7"], StatementReading(1.7)),
        ([" 2 "], StatementReading(2.0)),
        ([".5"], StatementReading(0.5)),
        (["9", "1.5", "4"], StatementReading(1.5)),
        (["9, 1.5"], StatementReading(1.5)),
        (["-1", "3"], StatementReading(3.0)),
        ([""], StatementReading(None, StatementFault.UNREADABLE)),
        (["-1"], StatementReading(None, StatementFault.UNREADABLE)),
        (["+1"], StatementReading(None, StatementFault.UNREADABLE)),
        (["1e3"], StatementReading(None, StatementFault.UNREADABLE)),
        (["1_0"], StatementReading(None, StatementFault.UNREADABLE)),
        (["nan"], StatementReading(None, StatementFault.UNREADABLE)),
        (["inf"], StatementReading(None, StatementFault.UNREADABLE)),
        (["٣"], StatementReading(None, StatementFault.UNREADABLE)),
        (["9" * 400], StatementReading(None, StatementFault.UNREADABLE)),
        (["0"], StatementReading(0.1, StatementFault.TOO_LOW)),
        (["0.0001"], StatementReading(0.1, StatementFault.TOO_LOW)),
        (["123456789012"], StatementReading(None, StatementFault.TOO_HIGH)),
    ],
)
def test_each_text_has_a_defined_reading(texts, reading):
    assert read_rate(texts) == reading


@pytest.fixture
def limited():
    """A limit of 2 requests a second, learnt at 1 s."""
    limit = RateLimit()
    limit.record_answer(StatementReading(2.0), 0.5, 1.0)
    return limit


def test_unreadable_limit_keeps_the_one_in_force(limited):
    garbled = StatementReading(None, StatementFault.UNREADABLE)
    assert limited.record_answer(garbled, 2.0, 2.1) is None
    assert limited.per_s == 2.0


@pytest.mark.parametrize("per_s", [None, 5.0])
def test_overtaken_answer_does_not_loosen_the_limit(limited, per_s):
    """Guards against a limit that an answer from before it ends or raises."""
    assert limited.record_answer(StatementReading(per_s), 0.9, 1.5) is None
    assert limited.per_s == 2.0


def test_overtaken_answer_lowers_the_limit(limited):
    limited.record_answer(StatementReading(1.0), 0.9, 1.5)
    assert limited.per_s == 1.0


def test_limit_ends_with_an_answer_that_names_none(limited):
    assert limited.record_answer(NOT_STATED, 1.1, 1.5) == StatementChange(
        StatementChangeKind.ENDED, 2.0, None
    )
    assert limited.per_s is None


def test_limit_may_come_back(limited):
    limited.record_answer(NOT_STATED, 1.1, 1.5)
    change = limited.record_answer(StatementReading(3.0), 1.6, 1.7)
    assert change == StatementChange(StatementChangeKind.LEARNT, None, 3.0)
