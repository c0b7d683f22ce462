"""Handshake in which an entry and a slot prove to each other that they hold the shared key."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

NONCE_BYTES = 16
"""Length of the nonce in a handshake, bytes."""


def choose_version(ours: Sequence[int], theirs: Sequence[int]) -> int | None:
    """Return the highest protocol version that both sides support, None if there is none.

    Examples
    --------
    >>> choose_version((1, 2), (2, 3))
    2
    >>> choose_version((1,), (2, 3)) is None
    True
    """
    return max(set(ours) & set(theirs), default=None)


def make_proof(
    key: bytes, side: str, vm: str, incarnation: str, own_nonce: bytes, other_nonce: bytes
) -> bytes:
    """Return the HMAC-SHA256 digest that one side sends as its proof.

    Parameters
    ----------
    key : bytes
        Shared key from the settings.
    side : str
        ``"entry"`` or ``"slot"``; prevents a peer from reflecting the other side's proof.
    vm, incarnation : str
        Identity of the side that sends the proof.
    own_nonce, other_nonce : bytes
        Nonces of this handshake, which prevent the replay of an earlier proof.
    """
    parts = (side.encode(), vm.encode(), incarnation.encode(), own_nonce, other_nonce)
    # Each part is prefixed with its length, so that different parts never give the same bytes.
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    return hmac.new(key, text, hashlib.sha256).digest()


def check_proof(
    proof: bytes,
    key: bytes,
    side: str,
    vm: str,
    incarnation: str,
    own_nonce: bytes,
    other_nonce: bytes,
) -> bool:
    """Return whether ``proof`` is the expected one; the comparison takes constant time."""
    expected = make_proof(key, side, vm, incarnation, own_nonce, other_nonce)
    return hmac.compare_digest(proof, expected)
