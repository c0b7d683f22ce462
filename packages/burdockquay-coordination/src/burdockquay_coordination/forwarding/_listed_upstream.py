"""Upstreams as the platform lists them."""

from __future__ import annotations

import attrs

from burdockquay_state import Position


@attrs.frozen
class ListedUpstream:
    """An upstream as the platform lists it.

    Parameters
    ----------
    id : str
        Stays the same when the upstream restarts.
    service : str
    host, port
    failure_domain : str
    places : int
        Number of requests that it runs at once.
    leaving : bool
        Whether it is draining and accepts no new work.
    revision : int
        Increases with each change of the entry, within one era.
    started_ms : int or None
        Start time in Unix milliseconds; None if the entry has none.
    era : int
        Era of the store that holds the entry.
    sequence : int
        Increases with each entry that the upstream writes while it runs, across eras.
    software_version : str
        Version of its software, any text; versions have no order. What two versions write does not
        fit together in one stream. Empty if the entry has none.
    cold_s : float
        Time for which it stays cold after the entry was written, seconds; 0 if it is warm.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    places: int
    leaving: bool
    revision: int
    started_ms: int | None = None
    era: int = 0
    sequence: int = 0
    software_version: str = ""
    cold_s: float = 0.0

    @property
    def position(self) -> Position:
        """Position of the entry in the history of the store."""
        return Position(self.era, self.revision)

    @property
    def incarnation(self) -> str:
        """Name of one run of the process; another run has no state of the requests of this one."""
        return self.id if self.started_ms is None else f"{self.id}@{self.started_ms}"


@attrs.frozen
class UnreadableEntry:
    """An entry of the list that cannot be decoded, for example one written by another program.

    Parameters
    ----------
    id : str
    revision : int
    era : int
        Era of the store that holds the entry.
    """

    id: str
    revision: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the entry in the history of the store."""
        return Position(self.era, self.revision)


@attrs.frozen
class UpstreamChanges:
    """The result of reading the list once.

    Parameters
    ----------
    whole : bool
        Whether ``listed`` is the complete list; otherwise it holds the changed entries.
    listed : tuple of ListedUpstream
    removed : tuple of str
        Ids whose entries were deleted.
    unreadable : tuple of UnreadableEntry
    last_failure_at : float
        Time of the last request for the list that the platform did not answer, at any process.
    after_restore : bool
        Whether this is the first reading since the store was restored from a copy.
    has_missed : bool
        Whether an entry was deleted that had been added since the last reading.
    is_continuous : bool
        Whether no changes since the last reading are unknown.
    superseded : tuple of ListedUpstream
        Entries that were replaced since the last reading, where the platform sends them.
    """

    whole: bool
    listed: tuple[ListedUpstream, ...] = ()
    removed: tuple[str, ...] = ()
    unreadable: tuple[UnreadableEntry, ...] = ()
    last_failure_at: float = float("-inf")
    after_restore: bool = False
    has_missed: bool = False
    is_continuous: bool = True
    superseded: tuple[ListedUpstream, ...] = ()


def is_newer_entry(entry: ListedUpstream, known: ListedUpstream) -> bool:
    """Return whether an entry of the same incarnation is newer than the known one.

    Within one era, revisions decide. A store that was restored from a copy first shows an old entry
    of the upstream. The upstream's own sequence number distinguishes it from the entries that it
    has written since; if the numbers are equal, an upstream that is known to be draining stays so.
    """
    if entry.era == known.era:
        return entry.revision >= known.revision
    if entry.era < known.era or entry.sequence < known.sequence:
        return False
    return entry.sequence > known.sequence or entry.leaving or not known.leaving


def compare_starts(listed_ms: int | None, known_ms: int | None) -> int:
    """Return 1 if an entry is of a later incarnation than the known one, 0 of the same, -1 before.

    An entry without a start time belongs to the known incarnation. One that has a start time for
    the first time cannot be shown to belong to the same incarnation, so it begins a new one:
    discarding the state of an upstream with cached parts costs little, while keeping that of a
    former incarnation is misleading.
    """
    if listed_ms is None or listed_ms == known_ms:
        return 0
    return 1 if known_ms is None or listed_ms > known_ms else -1
