"""Differences between two versions of a record."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from ._record_codec import decode_body


@attrs.frozen
class FieldChange:
    """Field that differs between two bodies.

    Parameters
    ----------
    schema : int
    key : str
    before, after : object
        None if the body or the key is missing.
    """

    schema: int
    key: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.key} (schema {self.schema}): {self.before!r} -> {self.after!r}"


def diff_bodies(before: Mapping[int, bytes], after: Mapping[int, bytes]) -> list[FieldChange]:
    """Return the fields that differ, ordered by schema version and key.

    Examples
    --------
    >>> from burdockquay_state import GroupRecord, encode_record
    >>> old, new = GroupRecord("desk", places=4), GroupRecord("desk", places=6)
    >>> [str(change) for change in diff_bodies({1: encode_record(old)}, {1: encode_record(new)})]
    ['places (schema 1): 4 -> 6']
    """
    changes = []
    for schema in sorted({*before, *after}):
        old = _fields(before.get(schema))
        new = _fields(after.get(schema))
        changes += [
            FieldChange(schema, key, old.get(key), new.get(key))
            for key in sorted({*old, *new})
            if old.get(key) != new.get(key)
        ]
    return changes


def _fields(data: bytes | None) -> dict[str, Any]:
    if data is None:
        return {}
    # A body that cannot be decoded is still reported as a difference.
    body = decode_body(data)
    return {"": data.hex()} if body is None else body
