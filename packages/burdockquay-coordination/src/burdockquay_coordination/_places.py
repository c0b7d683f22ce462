"""The places of one upstream: who occupies them, and which are kept free."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from burdockquay_state import ClassRecord

from ._types import PlaceGrant, Work

Key = tuple[str, int]
"""Request id and attempt."""


def is_movable(record: ClassRecord) -> bool:
    """Return whether requests of a class may be paused for a higher one."""
    return record.preemptible and not record.protected


class HoldState(enum.Enum):
    """Where an accepted attempt is."""

    READY = "ready"
    """Accepted with a place, not sent upstream yet."""
    RUNNING = "running"
    PAUSED = "paused"
    """On the upstream, without a place."""


@attrs.define(eq=False)
class Hold:
    """An attempt that holds a place, or had one and is paused.

    Parameters
    ----------
    started : int
        Counts up with each start; the largest is the youngest.
    since : float
        When the state was entered, seconds.
    resumed : bool
        Whether it was paused before.
    """

    work: Work
    state: HoldState
    started: int
    since: float
    resumed: bool = False

    @property
    def key(self) -> Key:
        """Request id and attempt."""
        return self.work.request, self.work.attempt


class PlaceTable:
    """Counts occupied places by class and keeps some free for higher classes.

    Parameters
    ----------
    places : int

    Notes
    -----
    For each class with reserved places that it does not occupy now, that many places stay closed to
    lower classes. Where running requests can be paused, they are closed only to requests that may
    not be, and places taken by any other count as kept free: they are free again the moment they
    are needed, and keeping them empty would waste them. One place stays open to every class
    whatever is reserved, so that no class is shut out for good.
    """

    def __init__(self, places: int):
        self.places = places
        self.holds: dict[Key, Hold] = {}
        self._by_state: dict[HoldState, dict[Key, Hold]] = {state: {} for state in HoldState}
        self.grants: dict[int, PlaceGrant] = {}
        self._occupied: dict[str, int] = {}
        self._total = 0
        self._started = 0
        self._reserved: dict[str, int] = {}
        self.can_pause = False

    @property
    def occupied(self) -> int:
        """Places taken by ready and running attempts and by grants."""
        return self._total

    @property
    def classes(self) -> set[str]:
        """Classes of the attempts that have or had a place."""
        return {hold.work.class_name for hold in self.holds.values()}

    def configure(self, places: int, classes: Mapping[str, ClassRecord], reserve: bool) -> None:
        """Take a new number of places and new reservations."""
        self.places = places
        self._reserved = {
            name: record.reserved_places
            for name, record in classes.items()
            if reserve and record.reserved_places
        }

    def occupied_by(self, class_name: str) -> int:
        """Return the places taken by a class."""
        return self._occupied.get(class_name, 0)

    def free_for(self, record: ClassRecord, classes: Mapping[str, ClassRecord]) -> int:
        """Return how many places the class could take now."""
        free = self.places - self._total
        if self.can_pause and is_movable(record):
            return free
        kept = sum(
            max(0, count - self.occupied_by(name))
            for name, count in self._reserved.items()
            if classes[name].priority > record.priority
        )
        fixed = sum(
            count for name, count in self._occupied.items() if not self._is_movable(name, classes)
        )
        return min(free, self.places - min(kept, self.places - 1) - fixed)

    def add(self, work: Work, now: float) -> Hold:
        """Give a place to accepted work."""
        hold = Hold(work, HoldState.READY, 0, now)
        self.holds[hold.key] = hold
        self._by_state[HoldState.READY][hold.key] = hold
        self._occupy(work.class_name, 1)
        return hold

    def add_grant(self, grant: PlaceGrant) -> None:
        """Keep a place for a grant."""
        self.grants[grant.grant] = grant
        self._occupy(grant.class_name, 1)

    def drop_grant(self, grant: int) -> PlaceGrant | None:
        """Free the place of a grant; None if there is no such grant."""
        dropped = self.grants.pop(grant, None)
        if dropped is not None:
            self._occupy(dropped.class_name, -1)
        return dropped

    def run(self, hold: Hold, now: float) -> None:
        """Mark an attempt as running; a paused one takes a place again."""
        if hold.state is HoldState.PAUSED:
            self._occupy(hold.work.class_name, 1)
            hold.resumed = True
        self._started += 1
        hold.started = self._started
        self._enter(hold, HoldState.RUNNING, now)

    def pause(self, hold: Hold, now: float) -> None:
        """Take the place from a running attempt."""
        self._occupy(hold.work.class_name, -1)
        self._enter(hold, HoldState.PAUSED, now)

    def drop(self, key: Key) -> Hold | None:
        """Forget an attempt and free its place, if it has one."""
        hold = self.holds.pop(key, None)
        if hold is None:
            return None
        del self._by_state[hold.state][key]
        if hold.state is not HoldState.PAUSED:
            self._occupy(hold.work.class_name, -1)
        return hold

    def in_state(self, state: HoldState) -> list[Hold]:
        """Return the attempts in a state, in the order in which they entered it."""
        return list(self._by_state[state].values())

    def _is_movable(self, class_name: str, classes: Mapping[str, ClassRecord]) -> bool:
        record = classes.get(class_name)
        return self.can_pause and (record is None or is_movable(record))

    def _enter(self, hold: Hold, state: HoldState, now: float) -> None:
        del self._by_state[hold.state][hold.key]
        self._by_state[state][hold.key] = hold
        hold.state, hold.since = state, now

    def _occupy(self, class_name: str, change: int) -> None:
        self._total += change
        count = self._occupied.get(class_name, 0) + change
        if count:
            self._occupied[class_name] = count
        else:
            self._occupied.pop(class_name, None)
