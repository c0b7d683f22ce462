"""What a slot remembers of its own claims, to write them again after the table lost them."""

from __future__ import annotations

from typing import ClassVar

from ._claim_rows import ClaimRow
from ._validation import Constraint, Interval, check_parameters

_ROW_BYTES = 512
"""Bytes counted for a remembered row beside its answer."""


class ClaimMemory:
    """The latest state of each key that this process claimed a short time ago.

    Parameters
    ----------
    keep_s : float
        How long a row is remembered after it was written, seconds; longer than a copy of the table
        is old when the table returns to it.
    max_bytes : int
        Bytes remembered at most; the oldest rows go first.

    Attributes
    ----------
    dropped : int
        Rows forgotten early for lack of room.

    Notes
    -----
    Rows are forgotten only while they are known to stand in the present era of the table. During
    an outage nothing is forgotten, as the copy to which the table returns may be as old as the
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
        """The latest era of the table in which all remembered rows are known to stand."""
        return self._era

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, row_key: str) -> ClaimRow | None:
        """Return the latest state of a row, None if it is not remembered."""
        return self._rows.get(row_key)

    def newest_first(self) -> list[tuple[str, ClaimRow]]:
        """Return keys and rows; those that a copy is likeliest to lack come first."""
        return list(reversed(self._rows.items()))

    def remember(self, row_key: str, row: ClaimRow) -> None:
        """Take over the state that this process wrote or is about to write."""
        self._forget(row_key)
        self._rows[row_key] = row
        self._bytes += _size(row)
        while self._bytes > self.max_bytes:
            self._forget(next(iter(self._rows)))
            self.dropped += 1

    def mark_standing(self, era: int) -> None:
        """Note that all rows stand in an era of the table."""
        self._era = max(self._era, era)

    def prune(self, era: int, now: float) -> None:
        """Forget what any copy holds by now, after an answer of the table in ``era``."""
        if era != self._era:
            return
        while self._rows:
            row_key, row = next(iter(self._rows.items()))
            if now - row.written_at < self.keep_s:
                return
            self._forget(row_key)

    def _forget(self, row_key: str) -> None:
        row = self._rows.pop(row_key, None)
        self._bytes -= 0 if row is None else _size(row)


def _size(row: ClaimRow) -> int:
    return _ROW_BYTES + len(row.answer or b"")
