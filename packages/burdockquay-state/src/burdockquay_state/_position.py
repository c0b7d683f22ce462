"""Positions in the history of a store that may be restored from a copy."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class Position:
    """A point in the history of a store.

    A store that is restored from a copy assigns revisions again, for other changes. Positions of
    one era are ordered by their revisions and come before all positions of a later era. Revisions
    of different eras are not comparable.

    Parameters
    ----------
    era : int
        Increases each time the store is restored from a copy; 0 if the store reports none.
    revision : int
        Value of the store's transaction counter.

    Examples
    --------
    >>> Position(1, 90) < Position(2, 80) < Position(2, 81)
    True
    """

    era: int
    revision: int
