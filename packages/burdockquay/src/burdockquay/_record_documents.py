"""Documents in which operators write records: JSON with comments, one document or a list."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from typing import Any

import attrs
import jsonc
from result import Err, Ok, Result

from burdockquay_state import (
    LogRow,
    RecordChange,
    RecordFault,
    decode_body,
    describe_unknown,
    find_put_faults,
    known_schemas,
    make_record_change,
    record_path,
    structure_record,
)

MAX_INPUT_BYTES = 1 << 22
"""Maximum size of the input, bytes."""

_KEYS = ("kind", "name", "schema", "revision", "body")


@attrs.frozen
class Document:
    """One record in one schema version.

    Parameters
    ----------
    record : record
        Instance of the registered class.
    revision : int
        Revision of the record that the author read; 0 for a new record.
    """

    record: Any
    revision: int


def read_documents(text: str) -> Result[list[Document], list[RecordFault]]:
    """Return the documents in the input, or all their faults.

    Examples
    --------
    >>> text = '{"kind": "group", "name": "desk", "schema": 1, "body": {"places": 4}} // small'
    >>> read_documents(text).ok()[0].record.places
    4
    >>> print(read_documents('{"kind": "gruop"}').err()[0])
    input 1: kind: expected a known kind; did you mean 'group'?, got 'gruop'
    """
    try:
        parsed = jsonc.loads(text, object_pairs_hook=_read_object)
    except (ValueError, RecursionError) as error:
        return Err([RecordFault("input", "", "JSON with comments", str(error))])
    items = parsed if isinstance(parsed, list) else [parsed]
    if not items:
        return Err([RecordFault("input", "", "at least one record", "an empty list")])
    documents: list[Document] = []
    faults: list[RecordFault] = []
    for number, item in enumerate(items, 1):
        read = _read_document(f"input {number}", item)
        if isinstance(read, Ok):
            documents.append(read.ok_value)
        else:
            faults += read.err_value
    return Err(faults) if faults else Ok(documents)


def _read_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # The parser would silently keep only the last of several equal keys.
    keys = [key for key, _ in pairs]
    duplicate_keys = sorted({key for key in keys if keys.count(key) > 1})
    if duplicate_keys:
        raise ValueError(
            f"expected each key once, got {', '.join(map(repr, duplicate_keys))} again"
        )
    return dict(pairs)


def _read_document(location: str, item: Any) -> Result[Document, list[RecordFault]]:
    if not isinstance(item, dict):
        return Err([RecordFault(location, "", "an object with " + ", ".join(_KEYS), repr(item))])
    kind, name, schema = item.get("kind"), item.get("name"), item.get("schema")
    if isinstance(name, str) and isinstance(kind, str):
        location = record_path(kind, name)
    faults = [
        RecordFault(location, str(key), describe_unknown("key", str(key), _KEYS), "this key")
        for key in item
        if key not in _KEYS
    ]
    revision, body = item.get("revision", 0), item.get("body", {})
    if type(revision) is not int or revision < 0:
        faults.append(RecordFault(location, "revision", "an integer of at least 0", repr(revision)))
    faults += _find_kind_faults(location, kind, schema)
    if not isinstance(body, dict):
        faults.append(RecordFault(location, "body", "an object", repr(body)))
    if faults:
        return Err(faults)
    fields = {**body} if name is None else {"name": name, **body}
    structured = structure_record(kind, schema, fields)
    return structured.map(lambda record: Document(record, revision))


def _find_kind_faults(location: str, kind: Any, schema: Any) -> list[RecordFault]:
    kinds = sorted({known for known, _ in known_schemas()})
    if kind not in kinds:
        hint = describe_unknown("kind", str(kind), kinds).partition("; ")[2].partition(" (known")[0]
        expected = f"a known kind; {hint}" if hint else "one of " + ", ".join(kinds)
        return [RecordFault(location, "kind", expected, repr(kind))]
    schemas = sorted(known for of, known in known_schemas() if of == kind)
    if type(schema) is not int or schema not in schemas:
        expected = " or ".join(str(known) for known in schemas)
        return [RecordFault(location, "schema", expected, repr(schema))]
    return []


def group_documents(
    documents: Sequence[Document],
) -> Result[list[RecordChange], list[RecordFault]]:
    """Return one change for each record, which combines its schema versions."""
    groups: dict[tuple[str, str], list[Document]] = {}
    for document in documents:
        groups.setdefault((document.record.kind, document.record.name), []).append(document)
    faults: list[RecordFault] = []
    changes = []
    for key, group in groups.items():
        faults += find_put_faults(document.record for document in group)
        revisions = {document.revision for document in group}
        if len(revisions) > 1:
            got = ", ".join(map(str, sorted(revisions)))
            faults.append(RecordFault(record_path(*key), "revision", "one for all schemas", got))
        changes.append(
            make_record_change([document.record for document in group], group[0].revision)
        )
    return Err(faults) if faults else Ok(changes)


def show_documents(rows: Iterable[LogRow]) -> list[dict[str, Any]]:
    """Return stored records as documents that ``put`` accepts."""
    return [
        {
            "kind": row.entry.kind,
            "name": row.entry.name,
            "schema": schema,
            "revision": row.entry.revision,
            "body": decode_body(body) or {},
        }
        for row in rows
        for schema, body in sorted(row.entry.bodies.items())
    ]


def write_documents(rows: Sequence[LogRow]) -> str:
    """Return text that ``put`` accepts for the records, with comments naming their authors."""
    comments = [
        f"// {row.entry.kind}/{row.entry.name}: revision {row.entry.revision} "
        f"by {json.dumps(row.entry.author)}"
        for row in rows
    ]
    return "\n".join([*comments, json.dumps(show_documents(rows), indent=2)])
