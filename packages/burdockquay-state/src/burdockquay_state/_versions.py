"""Versions of rows, which grow over every write and every return of the table from a copy.

A table that returns from an older copy forgets its latest writes and gives their versions out
again. Its era, a number that rises by one with each return, is the upper part of every version
here, so that versions of different eras are never equal and the later one compares as greater.
"""

from __future__ import annotations

ERA_SHIFT = 48
"""Bits of a version below its era: the table's own number of the write."""

_NUMBER_MASK = (1 << ERA_SHIFT) - 1


def make_version(era: int, number: int) -> int:
    """Return the version of a write, or with ``number`` 0 that of a missing row in an era.

    Parameters
    ----------
    era : int
        0 for a table that names none.
    number : int
        The table's own version.

    Examples
    --------
    >>> make_version(0, 7)
    7
    >>> make_version(1, 9) < make_version(2, 3)
    True
    """
    return era << ERA_SHIFT | number


def era_of(version: int) -> int:
    """Return the era in which a version was read or written."""
    return version >> ERA_SHIFT


def number_of(version: int) -> int:
    """Return the table's own number of a version, 0 for a missing row."""
    return version & _NUMBER_MASK
