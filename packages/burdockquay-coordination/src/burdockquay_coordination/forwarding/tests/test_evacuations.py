"""Tests of the statements about evacuated failure domains."""

import random

import pytest

from burdockquay_coordination.forwarding import (
    EvacuationRow,
    Evacuations,
    Prompt,
    choose_backup,
    choose_upstream,
)
from burdockquay_coordination.forwarding._placing import find_holders
from burdockquay_coordination.sending._evacuations import KEPT_S


def put(domain, revision):
    return EvacuationRow(domain, True, revision)


def removal(domain, revision):
    return EvacuationRow(domain, False, revision)


@pytest.fixture
def evacuations():
    """Evacuations with domain b evacuated at revision 5 of era 1."""
    made = Evacuations()
    made.apply([put("b", 5)], False, 1, 10.0)
    return made


def test_late_row_changes_nothing(evacuations):
    """Guards against a message that was long on its way and undoes a newer statement."""
    evacuations.apply([removal("b", 4)], False, 1, 11.0)
    assert evacuations.is_evacuated("b")
    evacuations.apply([removal("b", 6)], False, 1, 12.0)
    evacuations.apply([put("b", 5)], False, 1, 13.0)
    evacuations.apply([put("b", 5)], True, 1, 13.0, upto=5)
    assert not evacuations.is_evacuated("b")


def test_complete_reading_ends_only_what_it_covers(evacuations):
    """Guards against a lost removal, and against a lagging store that lacks a newer row."""
    evacuations.apply([put("c", 9)], False, 1, 11.0)
    evacuations.apply([], True, 1, 12.0, upto=7)
    assert set(evacuations.domains) == {"c"}


def test_restored_store_without_the_row_ends_nothing(evacuations):
    """Guards against sends to an evacuated domain until the operator writes the row again."""
    for at in (11.0, 12.0):
        evacuations.apply([], True, 2, at, upto=3)
    assert evacuations.is_evacuated("b")
    evacuations.apply([put("b", 4)], False, 2, 13.0)
    evacuations.apply([], True, 2, 14.0, upto=9)
    assert not evacuations.is_evacuated("b")


def test_kept_evacuation_does_not_last_for_ever(evacuations):
    """Guards against a process that missed both the new row and its removal."""
    evacuations.apply([], True, 2, 11.0, upto=3)
    evacuations.apply([], True, 2, 11.0 + KEPT_S, upto=8)
    assert not evacuations.is_evacuated("b")


def test_evacuated_upstream_is_neither_target_nor_backup_nor_source(evacuations, make_upstream):
    """Guards against a role of an upstream that an evacuation does not cover."""
    inside, outside = make_upstream("i-1", "b"), make_upstream("i-2", "a")
    prompt = Prompt((("p", 900), ("q", 50)), 10)
    for upstream in (inside, outside):
        upstream.evacuations = evacuations
        upstream.record_prompt_read(prompt)
    rng = random.Random(1)
    both = [inside, outside]
    assert choose_upstream(both, "b", (), 11.0, rng) is outside
    assert choose_backup(both, outside, 11.0, rng) is None
    assert [holder.upstream for holder in find_holders(both, prompt, 11.0)] == [outside]
    assert inside.held_back_by(11.0) == "evacuation"
