"""What an operator asks for, and what the record log answers."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from typing import Any

import attrs

from ._record_codec import MAX_RECORD_BYTES, RecordFault, encode_record, record_path
from ._record_diff import FieldChange


@attrs.frozen
class RecordChange:
    """A change of one record.

    Parameters
    ----------
    kind, name : str
    bodies : dict of int to bytes
        Encoded body by schema version; empty for a withdrawal.
    expected_revision : int
        Revision of the record that the author read; 0 if there was no such record.
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
        """Kind and name as text."""
        return record_path(self.kind, self.name)


def change_of(records: Sequence[Any], expected_revision: int) -> RecordChange:
    """Return the change that puts a record, given once in each schema version.

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
    """A change is in the log.

    Parameters
    ----------
    revision : int
        The last revision of the change; with ``dry_run`` the one it would have had.
    changes : tuple of FieldChange
    dry_run : bool
        True: everything was checked, nothing written.
    confirmed_late : bool
        The confirmation of the table was lost; the change was found by reading back.
    """

    revision: int
    changes: tuple[FieldChange, ...] = ()
    dry_run: bool = False
    confirmed_late: bool = False


class RefusalKind(enum.Enum):
    """Why a change was not accepted."""

    INVALID = "invalid"
    """The change itself is faulty; nothing was written."""
    CHANGED = "changed"
    """The record is no longer as the author read it; nothing was written."""
    UNAVAILABLE = "unavailable"
    """The table service does not answer; nothing was written."""
    CONTENDED = "contended"
    """Other writers or stale reads got in the way each time; nothing was written."""
    UNKNOWN = "unknown"
    """The change may have been accepted or not, and the table does not tell now."""


@attrs.frozen
class Winner:
    """The change that came first.

    Parameters
    ----------
    record : str
    revision : int
        Revision of the record now, 0 if there is none.
    author : str
    at : float
        Seconds since the epoch.
    withdrawn : bool
    changes : tuple of FieldChange
        What it altered against the revision that the loser had read, as far as the log tells.
    """

    record: str
    revision: int
    author: str
    at: float
    withdrawn: bool
    changes: tuple[FieldChange, ...] = ()


@attrs.frozen
class PutRefusal:
    """A change that was not accepted, or whose fate is unknown.

    Parameters
    ----------
    kind : RefusalKind
    detail : str
    faults : tuple of RecordFault
        With ``INVALID``: all of them.
    winner : Winner or None
        With ``CHANGED``.
    change_id : str
        With ``UNKNOWN``: what the log row carries if the change was accepted.
    """

    kind: RefusalKind
    detail: str
    faults: tuple[RecordFault, ...] = ()
    winner: Winner | None = None
    change_id: str = ""
