"""Messages between forwarders about the tables of the platform."""

from __future__ import annotations

import attrs

from ._messages import message


@attrs.frozen
class ChangedRow:
    """Row of one of the platform's tables.

    Parameters
    ----------
    key : str
    value : bytes or None
        None if the row was removed.
    revision : int
        Value of the platform's transaction counter at the last change of the row.
    """

    key: str
    value: bytes | None
    revision: int


@message(33, since=5)
@attrs.frozen
class EralessTableChanges:
    """Changes of a platform table, from a process of a release without eras.

    See :class:`TableChanges`. They can be applied only while the platform's store reports no era.
    """

    table: str
    after: int
    upto: int
    store_s: float
    steady_s: float
    rows: list[ChangedRow]

    def to_table_changes(self) -> TableChanges:
        """Return the same changes as those of a store that reports no era."""
        return TableChanges(
            self.table, 0, self.after, self.upto, self.store_s, self.steady_s, self.rows
        )


@message(37, since=6)
@attrs.frozen
class TableChanges:
    """Changes of a platform table, as the sender received them from the platform.

    Parameters
    ----------
    table : str
    era : int
        Era of the platform's store; the revisions and ``store_s`` are valid in this era only. 0 if
        the store reports none.
    after, upto : int
        ``rows`` holds all changes after the first revision, up to and including the second one; it
        is the complete table if ``after`` is 0. If both are equal, the sender leaves out earlier
        changes, and a process that has not received them requests them.
    store_s : float
        Time as of which ``rows`` was complete, on the platform's monotonic clock, seconds. It is
        valid however late the message arrives.
    steady_s : float
        Time since the last request of the sender that the platform did not answer, seconds.
    rows : list of ChangedRow
    """

    table: str
    era: int
    after: int
    upto: int
    store_s: float
    steady_s: float
    rows: list[ChangedRow]

    def without_era(self) -> EralessTableChanges:
        """Return the same changes for a process of a release without eras."""
        return EralessTableChanges(
            self.table, self.after, self.upto, self.store_s, self.steady_s, self.rows
        )


@message(49, since=14)
@attrs.frozen
class TableQuestion:
    """Question of a process that misses changes of a platform table, for the complete table.

    A process that has no newer revision does not answer.

    Parameters
    ----------
    table : str
    era : int
        Era of the platform's store.
    known : int
        Revision up to which the sender has all changes; 0 if it has not read the table.
    """

    table: str
    era: int
    known: int


@message(50, since=14)
@attrs.frozen
class TableContent:
    """A complete platform table as the sender knows it.

    Parameters
    ----------
    table : str
    era, upto, store_s, steady_s
        As in :class:`TableChanges`.
    packed : bytes
        The rows; see :func:`unpack_rows`.
    """

    table: str
    era: int
    upto: int
    store_s: float
    steady_s: float
    packed: bytes
