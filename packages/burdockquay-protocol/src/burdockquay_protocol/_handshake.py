"""The keyed handshake by which an entry and a slot prove to each other that they hold the key."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

NONCE_BYTES = 16
"""Length of the challenge in a handshake."""


def choose_version(ours: Sequence[int], theirs: Sequence[int]) -> int | None:
    """Return the highest common protocol version, None if there is none.

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
    """Return the keyed digest that one side sends.

    Parameters
    ----------
    key : bytes
        Shared key from the settings.
    side : str
        ``"entry"`` or ``"slot"``; keeps one side's proof from being sent back by the other.
    vm, incarnation : str
        Identity that is proved.
    own_nonce, other_nonce : bytes
        Challenges of this handshake, which keep an old proof from being used again.
    """
    parts = (side.encode(), vm.encode(), incarnation.encode(), own_nonce, other_nonce)
    # Each part goes in with its length, so that no two lists of parts give the same bytes.
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
    """Return whether ``proof`` is what the other side must send; takes constant time."""
    expected = make_proof(key, side, vm, incarnation, own_nonce, other_nonce)
    return hmac.compare_digest(proof, expected)
