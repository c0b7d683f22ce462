"""The record log as it travels: entries and parts of it."""

from __future__ import annotations

import attrs


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
    """

    after_revision: int
    entries: list[LogEntry]
    whole: bool
    head: int
