"""Entries of the record log, and the parts in which they are sent to other processes."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

REVISION_ERA_SHIFT = 32
"""Bits of a revision below the count of restores of the table; the complete number stays exact as
a JSON number."""


def lowest_revision(era: int) -> int:
    """Return the exclusive lower bound of the revisions in an era of the table.

    Examples
    --------
    >>> lowest_revision(1), lowest_revision(2)
    (0, 4294967296)
    """
    return max(0, era - 1) << REVISION_ERA_SHIFT


@attrs.frozen
class Fork:
    """Point at which the log continued after the table was restored from a copy.

    Parameters
    ----------
    kept : int
        Last revision in the copy.
    first : int
        First revision accepted after the restore; the revisions in between were lost.
    """

    kept: int
    first: int


def find_fork(forks: Sequence[Fork], revision: int) -> Fork | None:
    """Return the first fork at which a revision was lost, None if the log still contains it."""
    later = next((fork for fork in forks if revision < fork.first), None)
    return later if later is not None and revision > later.kept else None


def revision_before(revision: int, count: int, forks: Sequence[Fork]) -> int:
    """Return the revision ``count`` changes before another; 0 or less if there are fewer changes.

    Examples
    --------
    >>> revision_before(102, 3, [Fork(kept=7, first=101)])
    6
    """
    for fork in reversed(forks):
        since = revision - fork.first + 1
        if count < since:
            break
        count -= since
        revision = fork.kept
    return revision - count


@attrs.frozen
class LogEntry:
    """Accepted change of one record of the configuration.

    Parameters
    ----------
    revision : int
    kind, name : str
    bodies : dict of int to bytes
        Encoded body by schema version; empty for a withdrawal.
    author : str
    at : float
        Time of acceptance, seconds since the epoch.
    """

    revision: int
    kind: str
    name: str
    bodies: dict[int, bytes]
    author: str
    at: float


@attrs.frozen
class LogPart:
    """Part of the record log, in order and without gaps after ``after_revision``.

    Parameters
    ----------
    after_revision : int
        Revision that precedes the entries.
    entries : list of LogEntry
    whole : bool
        True if the entries are a complete configuration (the last entry of each record in force),
        for a receiver without any state; they may then skip revisions.
    head : int
        Revision of the sender.
    forks : list of Fork
        The forks of the log, in order. A complete configuration with forks also contains the
        withdrawals since the first fork, as entries without bodies.
    """

    after_revision: int
    entries: list[LogEntry]
    whole: bool
    head: int
    forks: list[Fork] = attrs.field(factory=list)
