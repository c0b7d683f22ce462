"""JSON encoding of the rows and operations of the table service."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Mapping
from typing import Any

from burdockquay_state import Check, Delete, Operation, Put, Row, make_version, number_of


def row_to_json(row: Row | None) -> dict[str, Any] | None:
    """Return the JSON form of a row, with its value in base64; None for None."""
    if row is None:
        return None
    value = base64.b64encode(row.value).decode()
    return {"key": row.key, "value": value, "version": number_of(row.version)}


def parse_keys(body: Mapping[str, Any]) -> list[str]:
    """Return the keys of a ``get`` request.

    Raises
    ------
    ValueError
        If they are not a list of strings.
    """
    keys = body.get("keys")
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError("expected a list of strings 'keys'")
    return keys


def parse_scan(body: Mapping[str, Any]) -> tuple[str, str, int]:
    """Return prefix, key to start after, and limit of a ``scan`` request.

    Raises
    ------
    ValueError
        If one has the wrong type, or the limit is negative.
    """
    prefix, after, limit = body.get("prefix"), body.get("after", ""), body.get("limit", 1000)
    if not isinstance(prefix, str) or not isinstance(after, str):
        raise ValueError("expected strings 'prefix' and 'after'")
    if not _is_integer(limit) or limit < 0:
        raise ValueError(f"expected an integer 'limit' of at least 0, got {limit!r}")
    return prefix, after, limit


def parse_operations(body: Mapping[str, Any]) -> list[Operation]:
    """Return the operations of a ``transact`` request.

    Raises
    ------
    ValueError
        If an operation is malformed, or the list is missing or empty.
    """
    operations = body.get("operations")
    if not isinstance(operations, list) or not operations:
        raise ValueError("expected a list 'operations' with at least one item")
    return [_parse_operation(operation) for operation in operations]


def _parse_operation(operation: Any) -> Operation:
    if not isinstance(operation, dict):
        raise ValueError(f"expected an object as operation, got {operation!r}")
    parse = _PARSERS.get(operation.get("op"))
    if parse is None:
        raise ValueError(f"expected 'op' out of {sorted(_PARSERS)}, got {operation.get('op')!r}")
    key, version = operation.get("key"), operation.get("expected_version")
    if not isinstance(key, str) or not key:
        raise ValueError(f"expected a string 'key' that is not empty, got {key!r}")
    if version is not None and not _is_integer(version):
        raise ValueError(f"expected an integer or null 'expected_version', got {version!r}")
    era = operation.get("era", 0)
    if not _is_integer(era) or era < 0:
        raise ValueError(f"expected an integer 'era' of at least 0, got {era!r}")
    return parse(operation, key, None if version is None else make_version(era, version))


def _parse_put(operation: Mapping[str, Any], key: str, version: int | None) -> Put:
    value = operation.get("value")
    if not isinstance(value, str):
        raise ValueError("expected a base64 string 'value'")
    try:
        return Put(key, base64.b64decode(value, validate=True), version)
    except binascii.Error as error:
        raise ValueError(f"expected a base64 string 'value': {error}") from error


def _parse_delete(_: Mapping[str, Any], key: str, version: int | None) -> Delete:
    return Delete(key, version)


def _parse_check(_: Mapping[str, Any], key: str, version: int | None) -> Check:
    if version is None:
        raise ValueError("expected an integer 'expected_version' in a check")
    return Check(key, version)


_PARSERS = {"put": _parse_put, "delete": _parse_delete, "check": _parse_check}


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
