"""The record log as it travels: entries and parts of it."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

REVISION_ERA_SHIFT = 32
"""Bits of a revision below the returns of the table; the whole stays exact as a JSON number."""


def lowest_revision(era: int) -> int:
    """Return the number above which the revisions of an era of the table lie.

    Examples
    --------
    >>> lowest_revision(1), lowest_revision(2)
    (0, 4294967296)
    """
    return max(0, era - 1) << REVISION_ERA_SHIFT


@attrs.frozen
class Fork:
    """Where the log went on after the table had returned from a copy.

    Parameters
    ----------
    kept : int
        Last revision that the copy held.
    first : int
        First revision accepted after the return; those between were lost.
    """

    kept: int
    first: int


def find_fork(forks: Sequence[Fork], revision: int) -> Fork | None:
    """Return the first fork behind which a revision was lost, None if the log still leads to it."""
    later = next((fork for fork in forks if revision < fork.first), None)
    return later if later is not None and revision > later.kept else None


def step_back(revision: int, count: int, forks: Sequence[Fork]) -> int:
    """Return the revision ``count`` changes before one; 0 or less if there are not so many.

    Examples
    --------
    >>> step_back(102, 3, [Fork(kept=7, first=101)])
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
    """One accepted change of the configuration.

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
    """Part of the record log, in order and without gaps behind ``after_revision``.

    Parameters
    ----------
    after_revision : int
        Revision the entries follow on.
    entries : list of LogEntry
    whole : bool
        True if the entries are a whole configuration (the last entry of each record in force), for
        a receiver that starts from nothing; they may then skip revisions.
    head : int
        The sender's revision.
    forks : list of Fork
        The forks of the log, in order. A whole configuration with forks also holds the
        withdrawals since the first one, as entries without bodies.
    """

    after_revision: int
    entries: list[LogEntry]
    whole: bool
    head: int
    forks: list[Fork] = attrs.field(factory=list)
