"""Updates of a table of the platform, as its readers receive them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs

from burdockquay_protocol import ChangedRow

T = TypeVar("T")


@attrs.frozen
class RowsSplit(Generic[T]):
    """Rows divided into decoded entries, removed rows and unreadable rows.

    Parameters
    ----------
    entries : tuple
        Decoded values of the readable rows.
    removed : tuple of str
        Keys of the removed rows.
    unreadable : tuple of ChangedRow
    superseded : tuple
        Decoded values that rows had before their last change, where the platform sends them.
    """

    entries: tuple[T, ...]
    removed: tuple[str, ...]
    unreadable: tuple[ChangedRow, ...]
    superseded: tuple[T, ...] = ()


@attrs.frozen
class TableUpdate:
    """Update of a table, received from the platform or a peer.

    Parameters
    ----------
    whole : bool
        Whether ``rows`` is the complete table; otherwise it holds the changed rows.
    rows : tuple of ChangedRow
    as_of : float
        A time at which nothing else had changed, on the clock of this process.
    last_failure_at : float
        When the platform last failed to answer a query for the table or was restored from a copy,
        as far as is known.
    era : int
        Of the platform's store.
    after_restore : bool
        Whether this is the first update since the store was restored from a copy.
    upto : int or None
        Revision up to which a complete table is complete.
    has_missed : bool
        Whether a row was removed that had been added since the last update.
    is_continuous : bool
        Whether the rows are all those that have changed since the last update.
    """

    whole: bool
    rows: tuple[ChangedRow, ...]
    as_of: float
    last_failure_at: float = float("-inf")
    era: int = 0
    after_restore: bool = False
    upto: int | None = None
    has_missed: bool = False
    is_continuous: bool = True

    def split(self, read: Callable[[ChangedRow], T | None]) -> RowsSplit[T]:
        """Decode the rows, and list those that were removed or cannot be read.

        Only the last change of each row counts; values before it are returned apart.

        Parameters
        ----------
        read : callable
            Returns the decoded value of a row, None if it cannot be read.
        """
        last = {row.key: row for row in self.rows}
        newest = last.values()
        held = [(row, read(row)) for row in newest if row.value is not None]
        earlier = [row for row in self.rows if row.value is not None and row is not last[row.key]]
        superseded = (read(row) for row in earlier)
        return RowsSplit(
            tuple(entry for _, entry in held if entry is not None),
            tuple(row.key for row in newest if row.value is None),
            tuple(row for row, entry in held if entry is None),
            tuple(entry for entry in superseded if entry is not None),
        )
