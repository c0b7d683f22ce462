"""Failure domains that the records evacuate, as known to one process."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from burdockquay_state import LogEntry


@attrs.frozen
class EvacuatedDomain:
    """A failure domain whose slots get no requests.

    Parameters
    ----------
    domain : str
    revision : int
        Revision of its record.
    since : float
        When the record was accepted, seconds since the epoch.
    """

    domain: str
    revision: int
    since: float


@attrs.frozen
class EvacuationChange:
    """Evacuations that a new configuration begins and ends."""

    began: tuple[EvacuatedDomain, ...] = ()
    ended: tuple[EvacuatedDomain, ...] = ()


class EvacuatedDomains:
    """The evacuated failure domains.

    Examples
    --------
    >>> domains = EvacuatedDomains()
    >>> change = domains.update({"north": LogEntry(7, "evacuation", "north", {}, "op", 12.0)})
    >>> change.began
    (EvacuatedDomain(domain='north', revision=7, since=12.0),)
    >>> domains.covers("north"), domains.covers("south")
    (True, False)
    >>> [one.domain for one in domains.update({}).ended]
    ['north']
    """

    def __init__(self) -> None:
        self._domains: dict[str, EvacuatedDomain] = {}

    @property
    def names(self) -> frozenset[str]:
        """Names of the evacuated domains."""
        return frozenset(self._domains)

    def covers(self, domain: str) -> bool:
        """Return whether a failure domain is evacuated."""
        return domain in self._domains

    def update(self, records: Mapping[str, LogEntry]) -> EvacuationChange:
        """Apply the evacuation records in force, by name; return what begins and ends."""
        before = self._domains
        self._domains = {
            name: before.get(name) or EvacuatedDomain(name, entry.revision, entry.at)
            for name, entry in sorted(records.items())
        }
        return EvacuationChange(
            tuple(one for name, one in self._domains.items() if name not in before),
            tuple(one for name, one in before.items() if name not in self._domains),
        )

    def describe(self) -> list[dict[str, Any]]:
        """Return what ``/status`` shows."""
        return [attrs.asdict(one) for one in self._domains.values()]
