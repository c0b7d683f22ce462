"""Places (concurrent requests) of one upstream: which are occupied and which reserved."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from burdockquay_state import ClassRecord

from ._types import PlaceGrant, Work

Key = tuple[str, int]
"""Request id and attempt number."""


def is_preemptible(record: ClassRecord) -> bool:
    """Return whether requests of a class may be paused for a higher class."""
    return record.preemptible and not record.protected


class AttemptState(enum.Enum):
    """State of an accepted attempt."""

    READY = "ready"
    """Has a place and has not been sent upstream yet."""
    RUNNING = "running"
    PAUSED = "paused"
    """On the upstream, does not occupy a place."""


@attrs.define(eq=False)
class AcceptedAttempt:
    """An attempt that occupies a place, or did and is paused.

    Parameters
    ----------
    started : int
        Sequence number of the latest start; the largest is the most recent.
    since : float
        Time of the last state change, seconds.
    resumed : bool
        Whether it has been paused and resumed.
    """

    work: Work
    state: AttemptState
    started: int
    since: float
    resumed: bool = False

    @property
    def key(self) -> Key:
        """Request id and attempt number."""
        return self.work.request, self.work.attempt


class PlaceTable:
    """Counts occupied places by class and reserves some for higher classes.

    Parameters
    ----------
    places : int

    Notes
    -----
    Reserved places that their class does not occupy now are closed to lower classes. Where running
    requests can be paused, the reserved places are closed only to requests that may not be paused,
    and places taken by preemptible requests count as reserved: they can be freed immediately when
    needed, and leaving them empty would waste them. One place stays open to every class regardless
    of reservations, so that no class is starved.
    """

    def __init__(self, places: int):
        self.places = places
        self.attempts: dict[Key, AcceptedAttempt] = {}
        self._by_state: dict[AttemptState, dict[Key, AcceptedAttempt]] = {
            state: {} for state in AttemptState
        }
        self.grants: dict[int, PlaceGrant] = {}
        self._occupied: dict[str, int] = {}
        self._total = 0
        self._started = 0
        self._reserved: dict[str, int] = {}
        self.can_pause = False

    @property
    def occupied(self) -> int:
        """Places occupied by ready and running attempts and by grants."""
        return self._total

    @property
    def classes(self) -> set[str]:
        """Classes of the accepted attempts."""
        return {accepted.work.class_name for accepted in self.attempts.values()}

    def configure(self, places: int, classes: Mapping[str, ClassRecord], reserve: bool) -> None:
        """Set the number of places and the reservations."""
        self.places = places
        self._reserved = {
            name: record.reserved_places
            for name, record in classes.items()
            if reserve and record.reserved_places
        }

    def occupied_by(self, class_name: str) -> int:
        """Return the number of places that a class occupies."""
        return self._occupied.get(class_name, 0)

    def free_for(self, record: ClassRecord, classes: Mapping[str, ClassRecord]) -> int:
        """Return the number of places that the class may take now; not positive if none."""
        free = self.places - self._total
        if self.can_pause and is_preemptible(record):
            return free
        kept = sum(
            max(0, count - self.occupied_by(name))
            for name, count in self._reserved.items()
            if classes[name].priority > record.priority
        )
        fixed = sum(
            count
            for name, count in self._occupied.items()
            if not self._is_preemptible(name, classes)
        )
        return min(free, self.places - min(kept, self.places - 1) - fixed)

    def add(self, work: Work, now: float) -> AcceptedAttempt:
        """Assign a place to accepted work."""
        accepted = AcceptedAttempt(work, AttemptState.READY, 0, now)
        self.attempts[accepted.key] = accepted
        self._by_state[AttemptState.READY][accepted.key] = accepted
        self._change_occupied(work.class_name, 1)
        return accepted

    def add_grant(self, grant: PlaceGrant) -> None:
        """Reserve a place for a grant."""
        self.grants[grant.grant] = grant
        self._change_occupied(grant.class_name, 1)

    def drop_grant(self, grant: int) -> PlaceGrant | None:
        """Free the place of a grant; None if there is no such grant."""
        dropped = self.grants.pop(grant, None)
        if dropped is not None:
            self._change_occupied(dropped.class_name, -1)
        return dropped

    def run(self, accepted: AcceptedAttempt, now: float) -> None:
        """Mark an attempt as running; a paused one occupies a place again."""
        if accepted.state is AttemptState.PAUSED:
            self._change_occupied(accepted.work.class_name, 1)
            accepted.resumed = True
        self._started += 1
        accepted.started = self._started
        self._set_state(accepted, AttemptState.RUNNING, now)

    def pause(self, accepted: AcceptedAttempt, now: float) -> None:
        """Mark a running attempt as paused and free its place."""
        self._change_occupied(accepted.work.class_name, -1)
        self._set_state(accepted, AttemptState.PAUSED, now)

    def drop(self, key: Key) -> AcceptedAttempt | None:
        """Remove an attempt and free its place, if it has one."""
        accepted = self.attempts.pop(key, None)
        if accepted is None:
            return None
        del self._by_state[accepted.state][key]
        if accepted.state is not AttemptState.PAUSED:
            self._change_occupied(accepted.work.class_name, -1)
        return accepted

    def in_state(self, state: AttemptState) -> list[AcceptedAttempt]:
        """Return the attempts in a state, in the order in which they entered it."""
        return list(self._by_state[state].values())

    def _is_preemptible(self, class_name: str, classes: Mapping[str, ClassRecord]) -> bool:
        record = classes.get(class_name)
        return self.can_pause and (record is None or is_preemptible(record))

    def _set_state(self, accepted: AcceptedAttempt, state: AttemptState, now: float) -> None:
        del self._by_state[accepted.state][accepted.key]
        self._by_state[state][accepted.key] = accepted
        accepted.state, accepted.since = state, now

    def _change_occupied(self, class_name: str, change: int) -> None:
        self._total += change
        count = self._occupied.get(class_name, 0) + change
        if count:
            self._occupied[class_name] = count
        else:
            self._occupied.pop(class_name, None)
