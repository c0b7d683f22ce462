"""Requested changes of records, and the results that the record log returns."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Any

import attrs

from ._record_codec import MAX_RECORD_BYTES, RecordFault, encode_record, record_path
from ._record_diff import FieldChange


@attrs.frozen
class RecordChange:
    """Requested change of one record.

    Parameters
    ----------
    kind, name : str
    bodies : dict of int to bytes
        Encoded body by schema version; empty for a withdrawal.
    expected_revision : int
        Revision of the record that the author read; 0 if the record did not exist.
    """

    kind: str
    name: str
    bodies: dict[int, bytes]
    expected_revision: int

    @property
    def withdraws(self) -> bool:
        """Whether the change withdraws the record."""
        return not self.bodies

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name of the record."""
        return self.kind, self.name

    @property
    def path(self) -> str:
        """Kind and name as one string; see :func:`record_path`."""
        return record_path(self.kind, self.name)


def make_record_change(records: Sequence[Any], expected_revision: int) -> RecordChange:
    """Return the change that writes a record, given once per schema version.

    Parameters
    ----------
    records : sequence of record
        At least one, all of one kind and name.
    expected_revision : int
    """
    first = records[0]
    bodies = {item.schema: encode_record(item) for item in records}
    return RecordChange(first.kind, first.name, bodies, expected_revision)


def find_size_faults(change: RecordChange) -> list[RecordFault]:
    """Return a fault for each body that is too large."""
    return [
        RecordFault(change.path, "", f"at most {MAX_RECORD_BYTES} bytes", f"{len(body)} bytes")
        for body in change.bodies.values()
        if len(body) > MAX_RECORD_BYTES
    ]


@attrs.frozen
class Accepted:
    """Result of a change that is in the log.

    Parameters
    ----------
    revision : int
        Last revision of the change; with ``dry_run``, the one that it would have had.
    changes : tuple of FieldChange
    dry_run : bool
        True if the change was only checked and nothing was written.
    confirmed_late : bool
        True if the confirmation of the table was lost and the change was found by reading back.
    """

    revision: int
    changes: tuple[FieldChange, ...] = ()
    dry_run: bool = False
    confirmed_late: bool = False


class RefusalKind(enum.Enum):
    """Reason why a change was not accepted."""

    INVALID = "invalid"
    """The change itself is invalid; nothing was written."""
    CHANGED = "changed"
    """The record has changed since the author read it; nothing was written."""
    UNAVAILABLE = "unavailable"
    """The table service is unavailable; nothing was written."""
    CONTENDED = "contended"
    """Concurrent writers or stale reads defeated every attempt; nothing was written."""
    UNKNOWN = "unknown"
    """The change may have been accepted; the table cannot be read back to find out."""


@attrs.frozen
class CompetingChange:
    """Accepted change with which a refused change conflicts.

    Parameters
    ----------
    record : str
    revision : int
        Current revision of the record, 0 if there is none.
    author : str
    at : float
        Seconds since the epoch.
    withdrawn : bool
    changes : tuple of FieldChange
        Differences from the revision that the rejected author had read, as far as the log still
        holds that revision.
    """

    record: str
    revision: int
    author: str
    at: float
    withdrawn: bool
    changes: tuple[FieldChange, ...] = ()


@attrs.frozen
class PutRefusal:
    """Result of a change that was not accepted, or whose outcome is unknown.

    Parameters
    ----------
    kind : RefusalKind
    detail : str
    faults : tuple of RecordFault
        With ``INVALID``: all faults.
    winner : CompetingChange or None
        With ``CHANGED``: the last change of the record, None if it has none.
    change_id : str
        With ``UNKNOWN``: identifier that the log row has if the change was accepted.
    """

    kind: RefusalKind
    detail: str
    faults: tuple[RecordFault, ...] = ()
    winner: CompetingChange | None = None
    change_id: str = ""
