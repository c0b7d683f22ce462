"""What waits for the places of a slot, and which class is served next."""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence

from burdockquay_state import ClassRecord

from ._demands import DemandBook
from ._places import Hold, HoldState, PlaceTable
from ._shares import Contender, ShareLedger
from ._slot_queue import SlotQueue


class Source(enum.Enum):
    """Where the next work of a class comes from; the first that has some is taken."""

    PAUSED = "paused"
    QUEUE = "queue"
    DEMAND = "demand"


class Contention:
    """Joins paused requests, the slot's own queue and the demand of the entries.

    Parameters
    ----------
    places : PlaceTable
    queue : SlotQueue
    demands : DemandBook
    ledger : ShareLedger
    """

    def __init__(
        self, places: PlaceTable, queue: SlotQueue, demands: DemandBook, ledger: ShareLedger
    ):
        self.places = places
        self.queue = queue
        self.demands = demands
        self.ledger = ledger

    @property
    def classes(self) -> set[str]:
        """Classes with paused, queued or announced requests."""
        paused = {hold.work.class_name for hold in self.places.in_state(HoldState.PAUSED)}
        return self.demands.classes | self.queue.classes | paused

    def contenders(self, now: float) -> list[Contender]:
        """Return the classes that wait and have a place they may take."""
        return [
            self.contender(class_name, wait)
            for class_name, wait in self._waits(now).items()
            if self._free_for(class_name) > 0
        ]

    def contender(self, class_name: str, wait_s: float) -> Contender:
        """Return a class as a contender.

        Notes
        -----
        Requests that run side by side on an engine generate at the same pace. So a class that holds
        its share of the places is on its way to its share of the tokens and claims no more.
        """
        allowed = math.ceil(self.ledger.record(class_name).share * self.places.places)
        below = self.places.occupied_by(class_name) < allowed
        return Contender(class_name, wait_s, may_claim_share=below)

    def choose(self, contenders: Sequence[Contender], binding: str) -> str | None:
        """Return the class to serve.

        Parameters
        ----------
        binding : str
            Of the policy record.

        Notes
        -----
        With grants the slot's own queue holds only protected work that others were paused for. It
        takes the place so freed before any turn or share is looked at: otherwise the place would go
        to a lower class and one more request would be paused.
        """
        if binding == "grant":
            names = {contender.class_name for contender in contenders}
            for record, _ in self.protected_waiting():
                if record.name in names:
                    return record.name
        return self.queue.choose_class(contenders, self.ledger)

    def source(self, class_name: str) -> Source:
        """Return where the next work of a class that waits comes from."""
        if self.paused(class_name):
            return Source.PAUSED
        return Source.QUEUE if self.queue.waiting(class_name) else Source.DEMAND

    def paused(self, class_name: str) -> list[Hold]:
        """Return the paused attempts of a class, the one paused first first."""
        paused = self.places.in_state(HoldState.PAUSED)
        return [hold for hold in paused if hold.work.class_name == class_name]

    def protected_waiting(self) -> list[tuple[ClassRecord, int]]:
        """Return the protected classes with queued work and how much, the most urgent first."""
        records = [record for record in self.ledger.classes.values() if record.protected]
        records.sort(key=lambda record: (-record.priority, record.name))
        counts = [(record, self.queue.waiting(record.name)) for record in records]
        return [(record, count) for record, count in counts if count]

    def _free_for(self, class_name: str) -> int:
        return self.places.free_for(self.ledger.record(class_name), self.ledger.classes)

    def _waits(self, now: float) -> dict[str, float]:
        """Return the longest wait of each class with paused, queued or announced requests."""
        waits = self.demands.oldest_waits(now)
        paused: dict[str, float] = {}
        for hold in reversed(self.places.in_state(HoldState.PAUSED)):
            paused[hold.work.class_name] = now - hold.since
        for more in (self.queue.oldest_waits(now), paused):
            for class_name, wait in more.items():
                waits[class_name] = max(wait, waits.get(class_name, 0.0))
        return waits
