"""Compressed rows of a platform table."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Any

import cbor2
from result import Err, Ok, Result

from ._table_messages import ChangedRow

COMPRESSION_LEVEL = 1

MAX_UNPACKED_BYTES = 16 << 20
"""Largest size of the rows of one table once they are decompressed, bytes."""


def pack_rows(rows: Iterable[ChangedRow]) -> bytes:
    """Return rows in compressed form."""
    listed = [[row.key, row.value, row.revision] for row in rows]
    return zlib.compress(cbor2.dumps(listed), COMPRESSION_LEVEL)


def unpack_rows(packed: bytes) -> Result[tuple[ChangedRow, ...], str]:
    """Return the rows that :func:`pack_rows` has compressed, or what is wrong with the bytes.

    Examples
    --------
    >>> unpack_rows(pack_rows([ChangedRow("k", b"v", 7)])).ok()
    (ChangedRow(key='k', value=b'v', revision=7),)
    >>> unpack_rows(b"abc").is_err()
    True
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            return Err(f"expected at most {MAX_UNPACKED_BYTES} bytes of complete rows")
        return Ok(tuple(map(_read_row, cbor2.loads(data))))
    except (zlib.error, cbor2.CBORDecodeError, RecursionError, TypeError, ValueError) as error:
        return Err(f"malformed rows: {type(error).__name__}")


def _read_row(item: Any) -> ChangedRow:
    key, value, revision = item
    is_revision = type(revision) is int and 0 <= revision < 1 << 63
    if not (type(key) is str and is_revision and isinstance(value, bytes | None)):
        raise TypeError("expected a row of str, bytes or None, and int")
    return ChangedRow(key, value, revision)
