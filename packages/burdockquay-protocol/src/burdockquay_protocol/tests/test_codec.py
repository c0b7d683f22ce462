"""The codec round-trips every message and rejects all other bytes."""

import attrs
import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

import burdockquay_protocol as protocol
from burdockquay_protocol import FaultKind, decode, encode, message_types

NEWEST = max(protocol.PROTOCOL_VERSIONS)


st.register_type_strategy(float, st.floats(allow_nan=False, allow_infinity=False))
st.register_type_strategy(int, st.integers(-(1 << 63), (1 << 64) - 1))


@pytest.mark.parametrize("cls", message_types.values(), ids=lambda cls: cls.__name__)
@given(data=st.data())
def test_message_round_trips(cls, data):
    message = data.draw(st.from_type(cls))
    assert decode(encode(message), NEWEST).ok() == message


@given(st.binary())
def test_arbitrary_bytes_never_raise(data):
    decode(data, NEWEST)


@pytest.mark.parametrize(
    ("items", "kind"),
    [
        ([], FaultKind.MALFORMED),
        ({"a": 1}, FaultKind.MALFORMED),
        ([999], FaultKind.UNKNOWN_TYPE),
        ([13], FaultKind.MALFORMED),
        ([13, "seven"], FaultKind.MALFORMED),
        ([13, True], FaultKind.MALFORMED),
        ([6, 1, "hold", float("nan")], FaultKind.MALFORMED),
        ([11, "r", 1, "no_such_kind", "", 0], FaultKind.MALFORMED),
        ([10, [["r", 1, 0]]], FaultKind.MALFORMED),
        ([10, 5], FaultKind.MALFORMED),
        ([30, [["u", 1, True, []]]], FaultKind.MALFORMED),
        ([30, [["u", 1, 1]]], FaultKind.MALFORMED),
        ([30, [["u", 1, 1, [["p", 1.0]]]]], FaultKind.MALFORMED),
        ([30, [["u", 1, 1, 5]]], FaultKind.MALFORMED),
        ([36, [["u", 1, 1, "1"]]], FaultKind.MALFORMED),
        ([13, 1 << 64], FaultKind.MALFORMED),
        ([13, -(1 << 63) - 1], FaultKind.MALFORMED),
        ([6, 1, "hold", 10**400], FaultKind.MALFORMED),
        ([30, [["u", 10**400, 1, []]]], FaultKind.MALFORMED),
        ([30, [["u", 1, 1, [["p", 10**400]]]]], FaultKind.MALFORMED),
        ([36, [["u", 1, -(10**400), 0]]], FaultKind.MALFORMED),
    ],
)
def test_invalid_message_gives_its_fault_kind(items, kind):
    assert decode(cbor2.dumps(items), NEWEST).err().kind is kind


def test_message_of_a_newer_version_is_rejected():
    data = encode(protocol.Suspicions([]))
    assert decode(data, 1).err().kind is FaultKind.WRONG_VERSION


def test_oversized_message_is_rejected():
    data = bytes(protocol.MAX_FRAME_BYTES + 1)
    assert decode(data, NEWEST).err().kind is FaultKind.OVERSIZED


def test_every_error_kind_has_an_answer():
    assert set(protocol.ANSWERS) == set(protocol.ErrorKind)
    for answer in protocol.ANSWERS.values():
        assert 400 <= answer.status < 600
        assert answer.text.endswith(".")


def test_messages_are_frozen_attrs_classes():
    for cls in message_types.values():
        assert attrs.has(cls)
