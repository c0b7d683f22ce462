"""Decoding of record bodies, and the consistency checks of the complete configuration."""

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_state import (
    CheckedState,
    ClassRecord,
    GroupRecord,
    OrganisationRecord,
    PlacementRecord,
    PolicyRecord,
    RouteRecord,
    Snapshot,
    decode_record,
    encode_record,
    find_new_faults,
    find_state_faults,
    known_schemas,
    record_schemas,
    structure_record,
)

HOLD = ClassRecord("hold", 100, 0.4, 0.05, 5.0, 0.5, True, False, 1)
DRAFT = ClassRecord("draft", 10, 2.0, 0.1, 60.0, 0.5)
DESK = GroupRecord("desk", places=2)
VALID_SNAPSHOT = Snapshot(
    revision=1,
    classes={"hold": HOLD, "draft": DRAFT},
    groups={"desk": DESK},
    routes={
        "holds": RouteRecord("holds", "hold", "desk"),
        "drafts": RouteRecord("drafts", "draft", "desk"),
    },
)


def snapshot_with(**fields):
    return attrs.evolve(VALID_SNAPSHOT, **fields)


INVALID_SNAPSHOTS = {
    "dangling class": (
        snapshot_with(routes={"r": RouteRecord("r", "hodl", "desk")}),
        ("route/r", "class_name"),
    ),
    "dangling group": (
        snapshot_with(routes={"r": RouteRecord("r", "hold", "d")}),
        ("route/r", "group"),
    ),
    "dangling organisation": (
        snapshot_with(routes={"r": RouteRecord("r", "hold", "desk", organisation="x")}),
        ("route/r", "organisation"),
    ),
    "dangling placement": (
        snapshot_with(placements={"p": PlacementRecord("p", "d", "load_model", "m")}),
        ("placement/p", "group"),
    ),
    "shares": (
        snapshot_with(classes={"hold": HOLD, "draft": attrs.evolve(DRAFT, share=0.6)}),
        ("class/*", "share"),
    ),
    "protected and preemptible": (
        snapshot_with(classes={"hold": attrs.evolve(HOLD, preemptible=True), "draft": DRAFT}),
        ("class/hold", "preemptible"),
    ),
    "no place": (
        snapshot_with(
            classes={"hold": attrs.evolve(HOLD, reserved_places=0), "draft": DRAFT},
            policies={"default": PolicyRecord(preemption=False)},
        ),
        ("class/hold", "reserved_places"),
    ),
    "all places reserved": (
        snapshot_with(groups={"desk": attrs.evolve(DESK, places=1)}),
        ("group/desk", "places"),
    ),
}


@pytest.mark.parametrize("name", INVALID_SNAPSHOTS)
def test_check_finds_the_fault_and_names_the_key(name):
    assert find_state_faults(CheckedState(VALID_SNAPSHOT)) == []
    snapshot, location = INVALID_SNAPSHOTS[name]
    found = find_new_faults(CheckedState(VALID_SNAPSHOT), CheckedState(snapshot))
    assert location in [(fault.record, fault.key) for fault in found]
    assert find_new_faults(CheckedState(snapshot), CheckedState(snapshot)) == []


def test_reference_to_a_record_of_a_newer_release_is_no_fault():
    snapshot = snapshot_with(classes={"draft": DRAFT})
    assert find_state_faults(CheckedState(snapshot))
    assert not find_state_faults(CheckedState(snapshot, frozenset({("class", "hold")})))


def test_every_fault_of_a_body_is_reported_at_once():
    body = {"name": "Hold!", "prioritty": 3, "patience_s": -1, "share": 10**400}
    faults = structure_record("class", 2, body).err()
    assert {fault.key for fault in faults} == {
        "name",
        "prioritty",
        "priority",
        "patience_s",
        "share",
        "first_token_target_s",
        "between_tokens_target_s",
    }
    (mistyped,) = (fault for fault in faults if fault.key == "prioritty")
    assert "did you mean 'priority'" in mistyped.expected


def test_old_process_reads_the_old_body_and_the_new_process_the_new_one():
    """During the rollout of a new schema, processes of both releases read the same row. Each must
    use the newest body that it supports, and a body that it does not support must not stop it.
    """
    old = record_schemas["class", 1]("hold", 100, 0.7, 5.0, True, False)
    bodies = {1: encode_record(old), 2: encode_record(HOLD), 9: b"\xff"}
    assert decode_record("class", "hold", bodies).ok() == HOLD
    before = known_schemas() - {("class", 2)}
    assert decode_record("class", "hold", bodies, before).ok().first_token_target_s == 0.7
    (fault,) = decode_record("class", "hold", {9: b""}).err()
    assert (fault.key, fault.expected) == ("schema", "a body in schema 1 or 2")


def test_faulty_newer_body_falls_back_to_the_older_one():
    old = record_schemas["class", 1]("hold", 100, 0.7, 5.0, True, False)
    bodies = {1: encode_record(old), 2: b"\x01"}
    assert decode_record("class", "hold", bodies).ok().first_token_target_s == 0.7


@given(kind=st.sampled_from(sorted(known_schemas())), data=st.binary(max_size=64))
def test_arbitrary_bytes_never_raise(kind, data):
    decode_record(kind[0], "name", {kind[1]: data})


@given(
    kind=st.sampled_from(sorted(known_schemas())),
    body=st.dictionaries(
        st.sampled_from(["name", "priority", "share", "models", "group", "x"]),
        st.none() | st.integers() | st.floats() | st.text() | st.lists(st.text()),
    ),
)
def test_arbitrary_fields_never_raise(kind, body):
    structure_record(*kind, body)


SAMPLES = [
    HOLD,
    DESK,
    RouteRecord("holds", "hold", "desk"),
    OrganisationRecord("praha", "0" * 16, ["a" * 64]),
    PolicyRecord(),
]


@pytest.mark.parametrize("item", SAMPLES, ids=lambda item: item.kind)
def test_record_round_trips(item):
    decoded = decode_record(item.kind, item.name, {item.schema: encode_record(item)})
    assert decoded.ok() == item
