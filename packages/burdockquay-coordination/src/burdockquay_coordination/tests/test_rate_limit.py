"""Tests of reading the request rate limits of upstreams, and of the one in force."""

import pytest

from burdockquay_coordination import (
    NO_RATE,
    RateChange,
    RateChangeKind,
    RateFault,
    RateLimit,
    RateReading,
    read_rate,
)


@pytest.mark.parametrize(
    ("texts", "reading"),
    [
        ([], NO_RATE),
        (["1.7"], RateReading(1.7)),
        ([" 2 "], RateReading(2.0)),
        ([".5"], RateReading(0.5)),
        (["9", "1.5", "4"], RateReading(1.5)),
        (["9, 1.5"], RateReading(1.5)),
        (["-1", "3"], RateReading(3.0)),
        ([""], RateReading(None, RateFault.UNREADABLE)),
        (["-1"], RateReading(None, RateFault.UNREADABLE)),
        (["+1"], RateReading(None, RateFault.UNREADABLE)),
        (["1e3"], RateReading(None, RateFault.UNREADABLE)),
        (["1_0"], RateReading(None, RateFault.UNREADABLE)),
        (["nan"], RateReading(None, RateFault.UNREADABLE)),
        (["inf"], RateReading(None, RateFault.UNREADABLE)),
        (["٣"], RateReading(None, RateFault.UNREADABLE)),
        (["9" * 400], RateReading(None, RateFault.UNREADABLE)),
        (["0"], RateReading(0.1, RateFault.TOO_LOW)),
        (["0.0001"], RateReading(0.1, RateFault.TOO_LOW)),
        (["123456789012"], RateReading(None, RateFault.TOO_HIGH)),
    ],
)
def test_each_text_has_a_defined_reading(texts, reading):
    assert read_rate(texts) == reading


@pytest.fixture
def limited():
    """A limit of 2 requests a second, learnt at 1 s."""
    limit = RateLimit()
    limit.record_answer(RateReading(2.0), 0.5, 1.0)
    return limit


def test_unreadable_limit_keeps_the_one_in_force(limited):
    garbled = RateReading(None, RateFault.UNREADABLE)
    assert limited.record_answer(garbled, 2.0, 2.1) is None
    assert limited.per_s == 2.0


@pytest.mark.parametrize("per_s", [None, 5.0])
def test_overtaken_answer_does_not_loosen_the_limit(limited, per_s):
    """Guards against a limit that an answer from before it ends or raises."""
    assert limited.record_answer(RateReading(per_s), 0.9, 1.5) is None
    assert limited.per_s == 2.0


def test_overtaken_answer_lowers_the_limit(limited):
    limited.record_answer(RateReading(1.0), 0.9, 1.5)
    assert limited.per_s == 1.0


def test_limit_ends_with_an_answer_that_names_none(limited):
    assert limited.record_answer(NO_RATE, 1.1, 1.5) == RateChange(RateChangeKind.ENDED, 2.0, None)
    assert limited.per_s is None


def test_limit_may_come_back(limited):
    limited.record_answer(NO_RATE, 1.1, 1.5)
    change = limited.record_answer(RateReading(3.0), 1.6, 1.7)
    assert change == RateChange(RateChangeKind.LEARNT, None, 3.0)


def test_fault_is_new_once_only(limited):
    assert limited.is_new_fault(RateFault.TOO_LOW)
    assert not limited.is_new_fault(RateFault.TOO_LOW)
    assert limited.is_new_fault(RateFault.TOO_HIGH)
