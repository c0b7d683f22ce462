"""The handshake accepts only the proof made from the same key, identity and nonces."""

import pytest

from burdockquay_protocol import check_proof, make_proof

VALID = {
    "key": b"k" * 32,
    "side": "slot",
    "vm": "vm-1",
    "incarnation": "i-1",
    "own_nonce": b"a" * 16,
    "other_nonce": b"b" * 16,
}


def test_valid_proof_is_accepted():
    assert check_proof(make_proof(**VALID), **VALID)


@pytest.mark.parametrize(
    "change",
    [
        {"key": b"x" * 32},
        {"side": "entry"},
        {"vm": "vm-2"},
        {"incarnation": "i-2"},
        {"own_nonce": b"c" * 16},
        {"vm": "vm-1i", "incarnation": "-1"},
    ],
)
def test_proof_of_other_inputs_is_rejected(change):
    assert not check_proof(make_proof(**{**VALID, **change}), **VALID)
