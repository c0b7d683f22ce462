"""Rows of the claims: their states, their bytes, and the answers that they keep."""

from __future__ import annotations

import enum
import hashlib

import attrs
import cbor2
from result import Err, Ok, Result

from ._table import ABSENT, Row, TableError, TableErrorKind

CLAIM_PREFIX = "claim/"
"""Prefix of the table keys of all claims."""

ORDER_ORGANISATION = "_orders"
"""Stands for the organisation in the claims of orders; no organisation can bear the name."""

ROW_SCHEMA = 1
"""Schema number that the rows written by this release carry."""

_KEY_DIGEST_BYTES = 16


class ClaimState(enum.Enum):
    """State of a claim row; a row that does not exist has none."""

    RUNNING = "running"
    """A slot has the right to send the request upstream, once."""
    DONE = "done"
    """The request ran; the row keeps its answer."""
    CANCELLED = "cancelled"
    """No attempt made for an earlier version of the row can start any more."""


@attrs.frozen
class StoredAnswer:
    """The whole answer of an upstream to a request that runs at most once.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of list of str
        Pairs of name and value.
    body : bytes
    prompt_tokens, generated_tokens : int
        Tokens counted by the upstream; 0 for plain services.
    finish_reason : str
    """

    status: int
    headers: list[list[str]]
    body: bytes
    prompt_tokens: int = 0
    generated_tokens: int = 0
    finish_reason: str = ""


@attrs.frozen
class ClaimRow:
    """One row: what is known of an idempotency key of an organisation.

    Parameters
    ----------
    state : ClaimState
    attempt : int
        Number of the attempt within its request, 0 for a cancellation by an entry.
    attempt_id : str
        Names the attempt of which the row tells; drawn by the slot, never used twice.
    incarnation : str
        Incarnation of the slot that claimed, empty for a cancellation by an entry.
    digest : str
        Digest of the request, by which a key used with another body is recognised.
    not_after : float
        Time after which the attempt must not be sent upstream, seconds since the epoch.
    written_at : float
        Time of this write on the writer's clock, seconds since the epoch.
    answer : bytes or None
        Encoded answer, if it is small.
    object_digest : str
        Where the answer lies in the object store, empty if nowhere.
    version : int
        Version of the row in the table, not part of its bytes.
    """

    state: ClaimState
    attempt: int
    attempt_id: str
    incarnation: str
    digest: str
    not_after: float
    written_at: float
    answer: bytes | None = None
    object_digest: str = ""
    version: int = ABSENT

    def is_same_write(self, other: ClaimRow) -> bool:
        """Return whether both rows come from one writer's wish to write this state."""
        return self.state is other.state and self.is_of_attempt(other)

    def is_of_attempt(self, other: ClaimRow) -> bool:
        """Return whether both rows tell of the same attempt, in whichever states."""
        return self.attempt_id == other.attempt_id and self.incarnation == other.incarnation


def claim_row_key(organisation: str, key: str) -> str:
    """Return the table key of the claim of an idempotency key.

    The key is a caller's text of any length and signs, so its digest stands for it.

    Examples
    --------
    >>> claim_row_key("parish", "hold-7")
    'claim/parish/08655aea1b1c041833b5b62251a92e01'
    """
    digest = hashlib.blake2b(key.encode(), digest_size=_KEY_DIGEST_BYTES).hexdigest()
    return f"{CLAIM_PREFIX}{organisation}/{digest}"


def encode_row(row: ClaimRow) -> bytes:
    """Return the bytes of a row, without its version."""
    return cbor2.dumps(
        [
            ROW_SCHEMA,
            row.state.value,
            row.attempt,
            row.attempt_id,
            row.incarnation,
            row.digest,
            row.not_after,
            row.written_at,
            row.answer,
            row.object_digest,
        ]
    )


def decode_row(row: Row) -> Result[ClaimRow, TableError]:
    """Return the claim in a row of the table, or an error of kind ``INVALID``."""
    try:
        schema, state, *fields = cbor2.loads(row.value)
        if schema != ROW_SCHEMA:
            raise ValueError(f"expected schema {ROW_SCHEMA}, got {schema!r}")
        return Ok(ClaimRow(ClaimState(state), *fields, version=row.version))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        return Err(TableError(TableErrorKind.INVALID, f"claim row {row.key}: {error}"))


def encode_answer(answer: StoredAnswer) -> bytes:
    """Return the bytes of an answer."""
    return cbor2.dumps(list(attrs.astuple(answer, recurse=False)))


def decode_answer(content: bytes) -> Result[StoredAnswer, TableError]:
    """Return the answer in ``content``, or an error of kind ``INVALID``."""
    try:
        return Ok(StoredAnswer(*cbor2.loads(content)))
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        return Err(TableError(TableErrorKind.INVALID, f"stored answer: {error}"))


def content_digest(content: bytes) -> str:
    """Return the digest under which the object store keeps ``content``."""
    return hashlib.blake2b(content, digest_size=32).hexdigest()
