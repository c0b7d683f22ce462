"""Failure domains that the operator has evacuated."""

from __future__ import annotations

import enum
import sys
from collections.abc import Iterable, Mapping

import attrs

from burdockquay_state import Position

KEPT_S = 10.0
"""Time for which an evacuation that a restored store lacks is kept although further complete
readings lack it, seconds: five times what the operator needs to write a lost row again. Without an
end, a process that missed both the new row and its removal would keep the evacuation for ever."""


@attrs.frozen
class EvacuationRow:
    """A row about one failure domain.

    Parameters
    ----------
    domain : str
    is_present : bool
        Whether the domain is evacuated; False for a removed row.
    revision : int
    """

    domain: str
    is_present: bool
    revision: int


@attrs.frozen
class EvacuationReading:
    """Statements about evacuations in one reading of their table.

    Parameters
    ----------
    rows : tuple of EvacuationRow
    whole : bool
        Whether ``rows`` holds all evacuations; otherwise it holds those that changed.
    era : int
        Of the store.
    upto : int or None
        Revision up to which the reading is complete; None if it is later than all known rows.
    """

    rows: tuple[EvacuationRow, ...]
    whole: bool
    era: int
    upto: int | None = None


@attrs.frozen
class Evacuation:
    """An evacuation in force.

    Parameters
    ----------
    position : Position
        Of the newest row that states it.
    since : float
        When this process learnt of it.
    kept_at : float or None
        When a restored store first lacked it; None if its row is there as far as is known.
    kept_era : int or None
        Era of that store.
    """

    position: Position
    since: float
    kept_at: float | None = None
    kept_era: int | None = None


class EvacuationChangeKind(enum.Enum):
    """What a reading has changed."""

    BEGAN = "began"
    ENDED = "ended"
    KEPT = "kept"
    """A restored store lacks the row; the evacuation stays in force."""


@attrs.frozen
class EvacuationChange:
    """A change of the evacuation of one failure domain.

    Parameters
    ----------
    kind : EvacuationChangeKind
    domain : str
    position : Position
        Of the row or reading that made the change.
    lasted_s : float
        Time since this process learnt of the evacuation, seconds.
    """

    kind: EvacuationChangeKind
    domain: str
    position: Position
    lasted_s: float = 0.0


class Evacuations:
    """The evacuated failure domains, by the newest statement about each.

    Readings may arrive late, twice and in any order: from the store, from peers, and from a store
    that was restored from a copy. The position of a row in the history of the store decides.

    Examples
    --------
    >>> evacuations = Evacuations()
    >>> begun = evacuations.apply([EvacuationRow("b", True, 7)], whole=False, era=1, now=10.0)
    >>> evacuations.is_evacuated("b"), evacuations.is_evacuated("a")
    (True, False)

    A complete reading without the row ends it, but not the first one of a restored store:

    >>> [change.kind.value for change in evacuations.apply([], whole=True, era=2, now=11.0)]
    ['kept']
    >>> removed = [EvacuationRow("b", False, 4)]
    >>> [change.lasted_s for change in evacuations.apply(removed, whole=False, era=2, now=12.0)]
    [2.0]
    """

    def __init__(self):
        self._in_force: dict[str, Evacuation] = {}
        self._removed: dict[str, Position] = {}

    @property
    def domains(self) -> Mapping[str, Evacuation]:
        """The evacuations in force, by failure domain."""
        return self._in_force

    def is_evacuated(self, domain: str) -> bool:
        """Return whether a failure domain is evacuated."""
        return domain in self._in_force

    def apply(
        self,
        rows: Iterable[EvacuationRow],
        whole: bool,
        era: int,
        now: float,
        upto: int | None = None,
    ) -> list[EvacuationChange]:
        """Apply a reading and return what it has changed; see :class:`EvacuationReading`."""
        rows = tuple(rows)
        changes = [self._apply_row(row, Position(era, row.revision), now) for row in rows]
        if whole:
            present = {row.domain for row in rows if row.is_present}
            covered = Position(era, sys.maxsize if upto is None else upto)
            for domain in sorted(self._in_force.keys() - present):
                changes.append(self._apply_absence(domain, covered, now))
            # No later reading goes back behind a complete one.
            self._removed = {
                domain: position for domain, position in self._removed.items() if position > covered
            }
        return [change for change in changes if change is not None]

    def _apply_row(
        self, row: EvacuationRow, position: Position, now: float
    ) -> EvacuationChange | None:
        known = self._in_force.get(row.domain)
        newest = known.position if known is not None else self._removed.get(row.domain)
        if newest is not None and position < newest:
            return None
        if not row.is_present:
            self._removed[row.domain] = position
            return self._end(row.domain, position, now) if known is not None else None
        self._removed.pop(row.domain, None)
        since = now if known is None else known.since
        self._in_force[row.domain] = Evacuation(position, since)
        if known is not None:
            return None
        return EvacuationChange(EvacuationChangeKind.BEGAN, row.domain, position)

    def _apply_absence(self, domain: str, covered: Position, now: float) -> EvacuationChange | None:
        """Apply that a reading which is complete up to a position lacks an evacuation."""
        known = self._in_force[domain]
        if known.position > covered:
            return None
        if known.position.era < covered.era:
            if known.kept_era != covered.era:
                self._in_force[domain] = attrs.evolve(known, kept_at=now, kept_era=covered.era)
                lasted_s = now - known.since
                return EvacuationChange(EvacuationChangeKind.KEPT, domain, covered, lasted_s)
            if now - known.kept_at < KEPT_S:
                return None
        return self._end(domain, covered, now)

    def _end(self, domain: str, position: Position, now: float) -> EvacuationChange:
        ended = self._in_force.pop(domain)
        lasted_s = now - ended.since
        return EvacuationChange(EvacuationChangeKind.ENDED, domain, position, lasted_s)
