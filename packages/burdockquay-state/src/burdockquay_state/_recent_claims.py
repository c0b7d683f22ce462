"""A slot's copy of its own recent claims, to rewrite them after the table has lost them."""

from __future__ import annotations

from typing import ClassVar

from ._claim_rows import ClaimRow
from ._validation import Constraint, Interval, check_parameters

_ROW_OVERHEAD_BYTES = 512
"""Bytes counted for a cached row in addition to its answer."""


class RecentClaims:
    """Cache of the latest state of each key that this process claimed recently.

    Parameters
    ----------
    keep_s : float
        How long a row is kept after it was written, seconds; must exceed the age of any copy from
        which the table is restored.
    max_bytes : int
        Size limit, bytes; the oldest rows are evicted first.

    Attributes
    ----------
    dropped : int
        Number of rows evicted early because of the size limit.

    Notes
    -----
    Rows expire only while they are known to be present in the current era of the table. During an
    outage no row expires, because the copy from which the table is restored may be as old as the
    outage.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "keep_s": [Interval(float, 0.0)],
        "max_bytes": [Interval(int, 0)],
    }

    def __init__(self, keep_s: float = 60.0, max_bytes: int = 1 << 24):
        self.keep_s = keep_s
        self.max_bytes = max_bytes
        check_parameters(self)
        self.dropped = 0
        self._rows: dict[str, ClaimRow] = {}
        self._bytes = 0
        self._era = 0

    @property
    def era(self) -> int:
        """Latest era of the table in which all cached rows are known to be present."""
        return self._era

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, row_key: str) -> ClaimRow | None:
        """Return the latest state of a row, None if it is not cached."""
        return self._rows.get(row_key)

    def newest_first(self) -> list[tuple[str, ClaimRow]]:
        """Return keys and rows, latest first, as a copy is likeliest to lack the latest writes."""
        return list(reversed(self._rows.items()))

    def record_row(self, row_key: str, row: ClaimRow) -> None:
        """Store the state that this process wrote or is about to write."""
        self._discard(row_key)
        self._rows[row_key] = row
        self._bytes += _size(row)
        while self._bytes > self.max_bytes:
            self._discard(next(iter(self._rows)))
            self.dropped += 1

    def mark_present(self, era: int) -> None:
        """Record that all rows are present in the given era of the table."""
        self._era = max(self._era, era)

    def prune(self, era: int, now: float) -> None:
        """Drop the rows that every copy holds by now, after an answer of the table in ``era``."""
        if era != self._era:
            return
        while self._rows:
            row_key, row = next(iter(self._rows.items()))
            if now - row.written_at < self.keep_s:
                return
            self._discard(row_key)

    def _discard(self, row_key: str) -> None:
        row = self._rows.pop(row_key, None)
        self._bytes -= 0 if row is None else _size(row)


def _size(row: ClaimRow) -> int:
    return _ROW_OVERHEAD_BYTES + len(row.answer or b"")
