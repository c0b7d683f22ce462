"""Row versions, which increase with every write and every restore of the table from a copy.

A table that is restored from an older copy loses its latest writes and assigns their versions
again. Its era, a number that increases by one with each restore, is the upper part of every
version here, so that versions of different eras are never equal and the later one is greater.
"""

from __future__ import annotations

ERA_SHIFT = 48
"""Bits of a version below its era, which hold the table's own write number."""

_NUMBER_MASK = (1 << ERA_SHIFT) - 1


def make_version(era: int, number: int) -> int:
    """Return the version of a write; with ``number`` 0, that of a missing row in the era.

    Parameters
    ----------
    era : int
        0 for a table that reports none.
    number : int
        The write number that the table assigned.

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
    """Return the table's own write number in a version, 0 for a missing row."""
    return version & _NUMBER_MASK
