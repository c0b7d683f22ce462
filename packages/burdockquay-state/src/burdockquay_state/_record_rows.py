"""Rows of the record log in the table service, and their bytes.

======================================  ==========================================================
``configuration/head``                  the head revision and the fingerprint of what is in force
``configuration/log/<revision>``        one accepted change each, never written again
``configuration/record/<kind>/<name>``  the last change of each record; a withdrawal stays as a row
======================================  ==========================================================
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import cattrs
import cbor2
import xxhash
from result import Err, Ok, Result

from ._log_entry import Fork, LogEntry
from ._table import Row, TableError, TableErrorKind

HEAD_KEY = "configuration/head"
LOG_PREFIX = "configuration/log/"
RECORD_PREFIX = "configuration/record/"

_FORMAT = 1
_converter = cattrs.Converter(
    unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE, detailed_validation=False
)


@attrs.frozen
class HeadRow:
    """The head of the record log.

    Parameters
    ----------
    revision : int
    fingerprint : int
        See :func:`fingerprint`.
    forks : tuple of Fork
        Where the log went on after returns of the table, in order.
    """

    revision: int = 0
    fingerprint: int = 0
    forks: tuple[Fork, ...] = ()


@attrs.frozen
class LogRow:
    """One accepted change as the table keeps it.

    Parameters
    ----------
    entry : LogEntry
    change_id : str
        Drawn by the writer, so that it finds its own change again after a lost confirmation.
    previous_revision : int
        Revision of the change of the same record before this one, 0 if there was none.
    """

    entry: LogEntry
    change_id: str
    previous_revision: int

    @property
    def withdrawn(self) -> bool:
        """Whether the change withdrew the record."""
        return not self.entry.bodies

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name of the record."""
        return self.entry.kind, self.entry.name


attrs.resolve_types(Fork)
attrs.resolve_types(LogEntry)
attrs.resolve_types(LogRow)
attrs.resolve_types(HeadRow)


def log_key(revision: int) -> str:
    """Return the key of a log row; keys sort as the revisions do.

    Examples
    --------
    >>> log_key(7)
    'configuration/log/00000000000000000007'
    """
    return f"{LOG_PREFIX}{revision:020d}"


def record_key(kind: str, name: str) -> str:
    """Return the key of a record row."""
    return f"{RECORD_PREFIX}{kind}/{name}"


def encode_row(value: HeadRow | LogRow) -> bytes:
    """Return the bytes of a row."""
    return cbor2.dumps([_FORMAT, _converter.unstructure(value)])


def decode_head(row: Row | None) -> Result[HeadRow, TableError]:
    """Return the head in a row; a missing row is the empty log."""
    return Ok(HeadRow()) if row is None else _decode(row, HeadRow)


def decode_log_row(row: Row) -> Result[LogRow, TableError]:
    """Return the change in a log row or a record row."""
    return _decode(row, LogRow)


def _decode(row: Row, cls: type) -> Result:
    try:
        number, fields = cbor2.loads(row.value)
        if number != _FORMAT:
            return _invalid(row, f"row format {number}, expected {_FORMAT}")
        return Ok(_converter.structure(fields, cls))
    except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError, RecursionError) as error:
        return _invalid(row, f"no {cls.__name__}: {type(error).__name__}: {error}")


def _invalid(row: Row, detail: str) -> Err[TableError]:
    return Err(TableError(TableErrorKind.INVALID, f"{row.key}: {detail}"))


def fingerprint(rows: Iterable[LogRow]) -> int:
    """Return a digest of the set of records in force and their revisions.

    Notes
    -----
    A configuration is read in several pages, and the table may answer each from an older state.
    The mixture could miss a change that the head already counts, and would then be taken for the
    configuration of that revision. The head row carries this digest of the right set, which only
    the right set of rows yields. Digests of single rows are combined by exclusive or, so that the
    writer of one record updates the sum without the other rows.
    """
    total = 0
    for row in rows:
        if not row.withdrawn:
            total ^= row_fingerprint(row)
    return total


def row_fingerprint(row: LogRow) -> int:
    """Return the digest of one record in force."""
    text = f"{row.entry.kind}/{row.entry.name}@{row.entry.revision}"
    return xxhash.xxh3_64_intdigest(text.encode())
