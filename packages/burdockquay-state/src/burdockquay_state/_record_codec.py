"""Conversion of record bodies between operators' input, stored bytes and attrs classes.

Invalid input raises no exception: all faults are returned, each with the key, the expected value
and the value found.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any

import attrs
import cbor2
from result import Err, Ok, Result

from ._records import record_schemas, upgraders
from ._registry import describe_unknown
from ._validation import list_faults

MAX_RECORD_BYTES = 1 << 16
"""Largest encoded body of a record, bytes."""


@attrs.frozen
class RecordFault:
    """Fault of a record.

    Parameters
    ----------
    record : str
        Kind and name, such as ``class/hold``.
    key : str
        Key of the body; empty if the fault concerns the complete record.
    expected, got : str
    """

    record: str
    key: str
    expected: str
    got: str

    def __str__(self) -> str:
        location = f"{self.record}: {self.key}" if self.key else self.record
        return f"{location}: expected {self.expected}, got {self.got}"


def known_schemas() -> frozenset[tuple[str, int]]:
    """Return every (kind, schema version) that this release supports."""
    return frozenset(record_schemas)


def record_path(kind: str, name: str) -> str:
    """Return kind and name as one string, such as ``class/hold``."""
    return f"{kind}/{name}"


def structure_record(
    kind: str, schema: int, body: Mapping[str, Any]
) -> Result[Any, list[RecordFault]]:
    """Return the record built from the fields in ``body``.

    Parameters
    ----------
    kind : str
    schema : int
        A registered schema version of the kind.
    body : mapping of str to object
        Fields by name, including ``name``.

    Returns
    -------
    Result of record, list of RecordFault
        The error lists all faults.

    Examples
    --------
    >>> structure_record("group", 1, {"name": "desk", "plcaes": 4}).err()[0].expected
    "a known key; did you mean 'places'?"
    """
    cls = record_schemas[kind, schema]
    path = record_path(kind, str(body.get("name", "?")))
    fields = {field.name: field for field in attrs.fields(cls)}
    faults = [_unknown_key(path, key, fields) for key in body if key not in fields]
    faults += [
        RecordFault(path, name, "a value, as the key has no default", "nothing")
        for name, field in fields.items()
        if field.default is attrs.NOTHING and name not in body
    ]
    faults += [
        RecordFault(path, fault.key, fault.expected, fault.got)
        for fault in list_faults(cls._constraints, body)
    ]
    return Err(faults) if faults else Ok(cls(**body))


def _unknown_key(path: str, key: Any, fields: Collection[str]) -> RecordFault:
    # A mistyped optional key must not pass unnoticed and leave its default in force, so the fault
    # suggests the closest known key.
    hint = describe_unknown("key", str(key), fields).partition("; ")[2].partition(" (known")[0]
    known = f"one of {', '.join(sorted(fields))}"
    return RecordFault(path, str(key), f"a known key; {hint}" if hint else known, repr(key))


def encode_record(record: Any) -> bytes:
    """Return the encoded body of a record."""
    return cbor2.dumps(attrs.asdict(record))


def decode_body(data: bytes) -> dict[str, Any] | None:
    """Return the fields of an encoded body, None if the bytes are not a valid body."""
    try:
        body = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError):
        return None
    return body if isinstance(body, dict) else None


def decode_record(
    kind: str,
    name: str,
    bodies: Mapping[int, bytes],
    known: Collection[tuple[str, int]] | None = None,
) -> Result[Any, list[RecordFault]]:
    """Return a record in the latest schema of this release.

    The body with the highest schema version in ``known`` is used; if it is invalid, the one with
    the next lower version. Registered upgraders convert it.

    Parameters
    ----------
    kind, name : str
    bodies : mapping of int to bytes
        Encoded body by schema version.
    known : collection of (str, int), optional
        The (kind, schema version) pairs that this process supports; by default all registered.

    Returns
    -------
    Result of record, list of RecordFault
        The faults state why no body could be used.

    Notes
    -----
    During the rollout of a new schema, a record has both its old and its new body, and processes of
    both releases read the same row. A body of an unknown schema raises no exception, as it would
    otherwise crash processes of the old release although every record is valid.
    """
    known = known_schemas() if known is None else known
    usable = sorted((schema for schema in bodies if (kind, schema) in known), reverse=True)
    if not usable:
        return Err([_no_known_schema(kind, name, bodies, known)])
    faults: list[RecordFault] = []
    for schema in usable:
        body = decode_body(bodies[schema])
        if body is None:
            path = record_path(kind, name)
            faults.append(RecordFault(path, "", f"a CBOR map in schema {schema}", "other bytes"))
            continue
        structured = structure_record(kind, schema, body)
        if isinstance(structured, Err):
            faults += structured.err_value
        elif structured.ok_value.name != name:
            got = repr(structured.ok_value.name)
            faults.append(RecordFault(record_path(kind, name), "name", repr(name), got))
        else:
            return Ok(upgrade(structured.ok_value))
    return Err(faults)


def _no_known_schema(
    kind: str, name: str, bodies: Mapping[int, bytes], known: Collection[tuple[str, int]]
) -> RecordFault:
    accepted = sorted(schema for known_kind, schema in known if known_kind == kind)
    expected = f"a body in schema {' or '.join(map(str, accepted))}" if accepted else "a known kind"
    got = f"kind {kind!r} with schemas {sorted(bodies)}"
    return RecordFault(record_path(kind, name), "schema", expected, got)


def upgrade(record: Any) -> Any:
    """Convert a record step by step to the latest schema of its kind.

    Examples
    --------
    >>> from burdockquay_state import RouteRecordV1
    >>> upgrade(RouteRecordV1("r", "hold", "desk", requires_key=True)).idempotent
    False
    """
    while (record.kind, record.schema) in upgraders:
        record = upgraders[record.kind, record.schema](record)
    return record
