"""Positions in the history of a store that may come back from a copy."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Position:
    """A point in the history of a store.

    A store that comes back from a copy gives out revisions again, for other changes. Positions of
    one era are ordered by their revisions; all those of a later era lie behind them. Revisions of
    two eras say nothing about each other.

    Parameters
    ----------
    era : int
        Grows each time the store comes back from a copy; 0 where the store names none.
    revision : int
        Counter of the store's transactions.

    Examples
    --------
    >>> Position(1, 90) < Position(2, 80) < Position(2, 81)
    True
    """

    era: int
    revision: int
