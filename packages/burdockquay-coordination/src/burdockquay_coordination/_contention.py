"""Choice of the class that gets the next place of a slot."""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence

from burdockquay_state import ClassRecord

from ._demands import DemandTracker
from ._places import AcceptedAttempt, AttemptState, PlaceTable
from ._shares import Contender, ShareLedger
from ._slot_queue import SlotQueue


class WorkSource(enum.Enum):
    """Where the next work of a class comes from, in order of preference."""

    PAUSED = "paused"
    QUEUE = "queue"
    DEMAND = "demand"


class Contention:
    """Combines paused requests, the slot's own queue and the demand of the entries.

    Parameters
    ----------
    places : PlaceTable
    queue : SlotQueue
    demands : DemandTracker
    ledger : ShareLedger
    """

    def __init__(
        self, places: PlaceTable, queue: SlotQueue, demands: DemandTracker, ledger: ShareLedger
    ):
        self.places = places
        self.queue = queue
        self.demands = demands
        self.ledger = ledger

    @property
    def classes(self) -> set[str]:
        """Classes with paused or queued requests, or demand at the entries."""
        paused = {
            accepted.work.class_name for accepted in self.places.in_state(AttemptState.PAUSED)
        }
        return self.demands.classes | self.queue.classes | paused

    def contenders(self, now: float) -> list[Contender]:
        """Return the waiting classes for which a place is free."""
        return [
            self.contender(class_name, wait)
            for class_name, wait in self._waits(now).items()
            if self._free_for(class_name) > 0
        ]

    def contender(self, class_name: str, wait_s: float) -> Contender:
        """Return a class as a contender.

        Notes
        -----
        Requests that run concurrently on an engine generate at the same rate. So a class that holds
        its share of the places is approaching its share of the tokens and may not claim more.
        """
        allowed = math.ceil(self.ledger.record(class_name).share * self.places.places)
        below = self.places.occupied_by(class_name) < allowed
        return Contender(class_name, wait_s, may_claim_share=below)

    def choose(self, contenders: Sequence[Contender], binding: str) -> str | None:
        """Return the class to serve.

        Parameters
        ----------
        binding : str
            Binding of the policy record.

        Notes
        -----
        With grants the slot's own queue holds only protected work that others were paused for. It
        takes the freed place before turns and shares are considered: otherwise the place could go
        to a lower class and one more request would have to be paused.
        """
        if binding == "grant":
            names = {contender.class_name for contender in contenders}
            for record, _ in self.protected_waiting():
                if record.name in names:
                    return record.name
        return self.queue.choose_class(contenders, self.ledger)

    def source(self, class_name: str) -> WorkSource:
        """Return where the next work of a waiting class comes from."""
        if self.paused(class_name):
            return WorkSource.PAUSED
        return WorkSource.QUEUE if self.queue.waiting(class_name) else WorkSource.DEMAND

    def paused(self, class_name: str) -> list[AcceptedAttempt]:
        """Return the paused attempts of a class, in the order in which they were paused."""
        paused = self.places.in_state(AttemptState.PAUSED)
        return [accepted for accepted in paused if accepted.work.class_name == class_name]

    def protected_waiting(self) -> list[tuple[ClassRecord, int]]:
        """Return the protected classes with queued work and its count, by falling priority."""
        records = [record for record in self.ledger.classes.values() if record.protected]
        records.sort(key=lambda record: (-record.priority, record.name))
        counts = [(record, self.queue.waiting(record.name)) for record in records]
        return [(record, count) for record, count in counts if count]

    def _free_for(self, class_name: str) -> int:
        return self.places.free_for(self.ledger.record(class_name), self.ledger.classes)

    def _waits(self, now: float) -> dict[str, float]:
        """Return the longest wait of each class that has paused, queued or entry demand."""
        waits = self.demands.oldest_waits(now)
        paused: dict[str, float] = {}
        for accepted in reversed(self.places.in_state(AttemptState.PAUSED)):
            paused[accepted.work.class_name] = now - accepted.since
        for more in (self.queue.oldest_waits(now), paused):
            for class_name, wait in more.items():
                waits[class_name] = max(wait, waits.get(class_name, 0.0))
        return waits
