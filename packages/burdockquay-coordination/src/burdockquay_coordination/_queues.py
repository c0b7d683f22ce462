"""Queue policies: the order in which queued requests are dispatched."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

import attrs

from burdockquay_protocol import ClassDemand
from burdockquay_state import ClassRecord, Registry

from ._fairness import OrganisationRounds
from ._heap import LazyHeap
from ._shares import Contender, ShareLedger
from ._types import QueuedRequest

queue_policies: Registry[type[QueuePolicy]] = Registry("queue policy")
"""Queue policies by name."""


@attrs.define(eq=False)
class _QueuedItem:
    waiting: QueuedRequest
    alive: bool = True


class _ClassQueue:
    """Queued requests of one class, indexed by age and by organisation."""

    def __init__(self) -> None:
        self.by_age = LazyHeap()
        self.begun = LazyHeap()
        self.by_organisation: dict[str, LazyHeap] = {}
        self.counts: dict[str, int] = {}
        self.count = 0

    def add(self, item: _QueuedItem) -> bool:
        """Add an item; return whether it is the only one of its organisation."""
        waiting = item.waiting
        self.by_age.push(waiting.enqueued_at, item)
        if waiting.begun:
            self.begun.push(waiting.enqueued_at, item)
        class_queue = self.by_organisation.setdefault(waiting.organisation, LazyHeap())
        class_queue.push(waiting.enqueued_at, item)
        self.count += 1
        self.counts[waiting.organisation] = self.counts.get(waiting.organisation, 0) + 1
        return self.counts[waiting.organisation] == 1

    def drop(self, item: _QueuedItem) -> bool:
        """Drop a removed item; return whether its organisation has none left."""
        organisation = item.waiting.organisation
        self.by_age.discard()
        if item.waiting.begun:
            self.begun.discard()
        self.by_organisation[organisation].discard()
        self.count -= 1
        self.counts[organisation] -= 1
        if self.counts[organisation]:
            return False
        del self.counts[organisation]
        del self.by_organisation[organisation]
        return True


class QueuePolicy(ABC):
    """Base class of the queue policies: queued requests, and which is dispatched next.

    Parameters
    ----------
    classes : mapping of str to ClassRecord
    weights : mapping of str to float
        Weight of each organisation within a class; 1 for organisations that are not listed.

    Notes
    -----
    Times are seconds on one monotonic clock. Push, pop and remove take time logarithmic in the
    number of requests and linear in the number of classes with requests. Call :meth:`expire` before
    :meth:`pop`: an overdue request can still be dispatched until :meth:`expire` removes it.

    A request whose answer has begun is dispatched first in its class under every policy and is not
    subject to the class's patience. Its upstream has crashed after generating tokens; rejecting it
    would truncate an answer that its caller is reading.
    """

    def __init__(self, classes: Mapping[str, ClassRecord], weights: Mapping[str, float]):
        self.classes = dict(classes)
        self.weights = dict(weights)
        self._ledger = ShareLedger(classes)
        self._items: dict[str, _QueuedItem] = {}
        self._class_queues: dict[str, _ClassQueue] = {}
        self._expiries = LazyHeap()

    def __len__(self) -> int:
        return len(self._items)

    @property
    def classes_waiting(self) -> set[str]:
        """Classes with queued requests."""
        return set(self._class_queues)

    def waiting(self, class_name: str) -> int:
        """Return the number of queued requests of a class."""
        class_queue = self._class_queues.get(class_name)
        return class_queue.count if class_queue else 0

    def ahead(self, class_name: str, organisation: str) -> float:
        """Estimate how many requests of the class would be dispatched before a new one.

        Notes
        -----
        With fair queueing an organisation with few queued requests overtakes one with many, so the
        estimate, and with it early rejection, affects the organisation that fills the queue.
        """
        class_queue = self._class_queues.get(class_name)
        return (
            min(float(class_queue.count), self._ahead(class_queue, organisation))
            if class_queue
            else 0.0
        )

    def push(self, waiting: QueuedRequest, now: float) -> None:
        """Add a request.

        Raises
        ------
        ValueError
            If a request with the same id is already queued.
        """
        if waiting.request in self._items:
            raise ValueError(f"expected a request that is not queued yet, got {waiting.request!r}")
        item = _QueuedItem(waiting)
        self._items[waiting.request] = item
        self._expiries.push(self._expiry(waiting), item)
        class_queue = self._class_queues.setdefault(waiting.class_name, _ClassQueue())
        if class_queue.add(item):
            self._organisation_arrived(waiting)

    def pop(self, now: float, class_name: str | None = None) -> QueuedRequest | None:
        """Remove and return the next request, of one class if given; None if there is none."""
        contenders = self._contenders(now)
        chosen = class_name or self.choose_class(contenders, self._ledger)
        if chosen is None or chosen not in self._class_queues:
            return None
        item = self._next_item(chosen)
        self._discard_item(item)
        self._record_start(item.waiting, contenders)
        return item.waiting

    def peek(self, now: float) -> QueuedRequest | None:
        """Return the request that :meth:`pop` would return."""
        chosen = self.choose_class(self._contenders(now), self._ledger)
        return self._next_item(chosen).waiting if chosen else None

    def remove(self, request: str, now: float) -> QueuedRequest | None:
        """Remove and return a request by its id; None if it is not queued."""
        item = self._items.get(request)
        if item is None:
            return None
        self._discard_item(item)
        return item.waiting

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return requests whose deadline or class patience has passed."""
        expired = []
        while (due := self._expiries.peek_key()) is not None and due <= now:
            item = self._expiries.peek()
            self._discard_item(item)
            expired.append(item.waiting)
        return expired

    def next_expiry(self) -> float | None:
        """Return the time of the next expiry, seconds; None if nothing is queued."""
        return self._expiries.peek_key()

    def charge(self, class_name: str, organisation: str, tokens: float, now: float) -> None:
        """Charge generated tokens to a class and organisation."""
        self._ledger.charge(class_name, tokens)

    def demand(self, now: float) -> list[ClassDemand]:
        """Return the number of queued requests of each class and the longest wait."""
        return [
            ClassDemand(contender.class_name, self.waiting(contender.class_name), wait)
            for contender in self._contenders(now)
            for wait in [contender.oldest_wait_s]
        ]

    def set_classes(
        self, classes: Mapping[str, ClassRecord], weights: Mapping[str, float], now: float
    ) -> None:
        """Apply new records; queued requests of withdrawn classes keep the last record."""
        self._ledger.configure(classes, in_use=self._class_queues)
        self.classes = dict(classes)
        self.weights = dict(weights)
        self._expiries = LazyHeap()
        for item in self._items.values():
            self._expiries.push(self._expiry(item.waiting), item)

    @abstractmethod
    def choose_class(self, contenders: Sequence[Contender], ledger: ShareLedger) -> str | None:
        """Return the class to serve next according to the ledger; None without contenders."""

    @abstractmethod
    def _choose_item(self, class_name: str) -> _QueuedItem:
        """Return the next item of a class that has queued requests."""

    def _ahead(self, class_queue: _ClassQueue, organisation: str) -> float:
        return float(class_queue.count)

    def _organisation_arrived(self, waiting: QueuedRequest) -> None:
        """Handle the first queued request of an organisation in a class."""
        self._ledger.activate(waiting.class_name)

    def _organisation_left(self, waiting: QueuedRequest) -> None:
        """Handle the removal of the last queued request of an organisation in a class."""
        if not self._class_queues[waiting.class_name].count:
            del self._class_queues[waiting.class_name]
            self._ledger.deactivate(waiting.class_name)

    def _record_start(self, waiting: QueuedRequest, contenders: Sequence[Contender]) -> None:
        """Record that a request was dispatched while the contenders waited."""
        self._ledger.started(waiting.class_name, contenders)

    def _next_item(self, class_name: str) -> _QueuedItem:
        return self._class_queues[class_name].begun.peek() or self._choose_item(class_name)

    def _expiry(self, waiting: QueuedRequest) -> float:
        if waiting.begun:
            return waiting.deadline
        patience = self._ledger.record(waiting.class_name).patience_s
        return min(waiting.deadline, waiting.enqueued_at + patience)

    def _contenders(self, now: float) -> list[Contender]:
        return [
            Contender(name, max(0.0, now - class_queue.by_age.peek_key()))
            for name, class_queue in self._class_queues.items()
        ]

    def _discard_item(self, item: _QueuedItem) -> None:
        waiting = item.waiting
        item.alive = False
        del self._items[waiting.request]
        self._expiries.discard()
        class_queue = self._class_queues[waiting.class_name]
        if class_queue.drop(item):
            self._organisation_left(waiting)


@queue_policies.register("fifo")
class FifoQueue(QueuePolicy):
    """One FIFO queue over all classes: the earliest enqueued request is dispatched first."""

    def choose_class(self, contenders: Sequence[Contender], ledger: ShareLedger) -> str | None:
        """Return the class with the longest wait."""
        oldest = max(contenders, key=lambda one: (one.oldest_wait_s, one.class_name), default=None)
        return oldest.class_name if oldest else None

    def _choose_item(self, class_name: str) -> _QueuedItem:
        return self._class_queues[class_name].by_age.peek()


@queue_policies.register("class_share")
class ClassShareQueue(QueuePolicy):
    """Priorities and guaranteed shares between classes, fair queueing between organisations.

    Notes
    -----
    :class:`ShareLedger` chooses the class and documents the bound on the wait.
    :class:`OrganisationRounds` chooses the organisation within the class, by deficit round robin
    over the tokens actually generated. Within an organisation the order is FIFO.
    """

    def __init__(self, classes: Mapping[str, ClassRecord], weights: Mapping[str, float]):
        super().__init__(classes, weights)
        self._rounds: dict[str, OrganisationRounds] = {}

    def charge(self, class_name: str, organisation: str, tokens: float, now: float) -> None:
        """Charge generated tokens to a class and organisation."""
        super().charge(class_name, organisation, tokens, now)
        self._class_rounds(class_name).charge(organisation, tokens)

    def set_classes(
        self, classes: Mapping[str, ClassRecord], weights: Mapping[str, float], now: float
    ) -> None:
        """Apply new records; queued requests of withdrawn classes keep the last record."""
        super().set_classes(classes, weights, now)
        known = set(self._class_queues) | set(classes)
        self._rounds = {name: rounds for name, rounds in self._rounds.items() if name in known}
        for rounds in self._rounds.values():
            rounds.set_weights(self.weights)

    def choose_class(self, contenders: Sequence[Contender], ledger: ShareLedger) -> str | None:
        """Return the class that the ledger chooses."""
        return ledger.choose(contenders)

    def _choose_item(self, class_name: str) -> _QueuedItem:
        organisation = self._class_rounds(class_name).choose()
        return self._class_queues[class_name].by_organisation[organisation].peek()

    def _ahead(self, class_queue: _ClassQueue, organisation: str) -> float:
        own = class_queue.counts.get(organisation, 0) + 1
        return own * len(class_queue.counts) / self.weights.get(organisation, 1.0)

    def _organisation_arrived(self, waiting: QueuedRequest) -> None:
        super()._organisation_arrived(waiting)
        self._class_rounds(waiting.class_name).arrive(waiting.organisation)

    def _organisation_left(self, waiting: QueuedRequest) -> None:
        super()._organisation_left(waiting)
        self._class_rounds(waiting.class_name).leave(waiting.organisation)

    def _record_start(self, waiting: QueuedRequest, contenders: Sequence[Contender]) -> None:
        super()._record_start(waiting, contenders)
        self._class_rounds(waiting.class_name).served(waiting.organisation)

    def _class_rounds(self, class_name: str) -> OrganisationRounds:
        if class_name not in self._rounds:
            self._rounds[class_name] = OrganisationRounds(self.weights)
        return self._rounds[class_name]
