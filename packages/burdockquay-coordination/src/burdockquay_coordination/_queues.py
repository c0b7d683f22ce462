"""Queue policies: in which order waiting requests leave."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence

import attrs

from burdockquay_protocol import ClassDemand
from burdockquay_state import ClassRecord, Registry

from ._fairness import OrganisationRounds
from ._heap import LazyHeap
from ._shares import Contender, ShareLedger
from ._types import Waiting

queue_policies: Registry[type[QueuePolicy]] = Registry("queue policy")
"""Queue policies by name."""


@attrs.define(eq=False)
class _Entry:
    waiting: Waiting
    alive: bool = True


class _ClassLine:
    """The requests of one class, by age and by organisation."""

    def __init__(self) -> None:
        self.by_age = LazyHeap()
        self.begun = LazyHeap()
        self.by_organisation: dict[str, LazyHeap] = {}
        self.counts: dict[str, int] = {}
        self.count = 0

    def add(self, entry: _Entry) -> bool:
        """Add an entry; return whether it is the only one of its organisation."""
        waiting = entry.waiting
        self.by_age.push(waiting.enqueued_at, entry)
        if waiting.begun:
            self.begun.push(waiting.enqueued_at, entry)
        line = self.by_organisation.setdefault(waiting.organisation, LazyHeap())
        line.push(waiting.enqueued_at, entry)
        self.count += 1
        self.counts[waiting.organisation] = self.counts.get(waiting.organisation, 0) + 1
        return self.counts[waiting.organisation] == 1

    def drop(self, entry: _Entry) -> bool:
        """Drop a dead entry; return whether its organisation has none left."""
        organisation = entry.waiting.organisation
        self.by_age.discard()
        if entry.waiting.begun:
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
    """Requests that wait, and which of them leaves next.

    Parameters
    ----------
    classes : mapping of str to ClassRecord
    weights : mapping of str to float
        Weight of each organisation in the division inside a class; 1 for those not named.

    Notes
    -----
    Times are seconds on one clock that does not run backwards. Push, pop and remove take time
    logarithmic in the number of requests and linear in the number of classes with requests.
    Call :meth:`expire` before :meth:`pop`: a request is given out until it was expired.

    A request whose answer has begun leaves first in its class, whatever the policy, and is not
    subject to the class's patience. Its upstream has crashed and tokens were spent on it; refusing
    it would cut an answer that its caller is reading.
    """

    def __init__(self, classes: Mapping[str, ClassRecord], weights: Mapping[str, float]):
        self.classes = dict(classes)
        self.weights = dict(weights)
        self._ledger = ShareLedger(classes)
        self._entries: dict[str, _Entry] = {}
        self._lines: dict[str, _ClassLine] = {}
        self._expiries = LazyHeap()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def classes_waiting(self) -> set[str]:
        """Classes with waiting requests."""
        return set(self._lines)

    def waiting(self, class_name: str) -> int:
        """Return how many requests of a class wait."""
        line = self._lines.get(class_name)
        return line.count if line else 0

    def ahead(self, class_name: str, organisation: str) -> float:
        """Estimate how many requests of the class would leave before a new one.

        Notes
        -----
        Fair division lets an organisation with few waiting requests pass one with many, so that the
        estimate, and with it early refusal, falls on the organisation that fills the queue.
        """
        line = self._lines.get(class_name)
        return min(float(line.count), self._ahead(line, organisation)) if line else 0.0

    def push(self, waiting: Waiting, now: float) -> None:
        """Add a request.

        Raises
        ------
        ValueError
            If a request of the same id waits already.
        """
        if waiting.request in self._entries:
            raise ValueError(f"expected a request that does not wait yet, got {waiting.request!r}")
        entry = _Entry(waiting)
        self._entries[waiting.request] = entry
        self._expiries.push(self._expiry(waiting), entry)
        line = self._lines.setdefault(waiting.class_name, _ClassLine())
        if line.add(entry):
            self._organisation_came(waiting)

    def pop(self, now: float, class_name: str | None = None) -> Waiting | None:
        """Take out the next request, of one class if given; None if there is none."""
        contenders = self._contenders(now)
        chosen = class_name or self.choose_class(contenders, self._ledger)
        if chosen is None or chosen not in self._lines:
            return None
        entry = self._next_entry(chosen)
        self._take(entry)
        self._started(entry.waiting, contenders)
        return entry.waiting

    def peek(self, now: float) -> Waiting | None:
        """Return the request that :meth:`pop` would take out."""
        chosen = self.choose_class(self._contenders(now), self._ledger)
        return self._next_entry(chosen).waiting if chosen else None

    def remove(self, request: str, now: float) -> Waiting | None:
        """Take out one request by its id; None if it does not wait."""
        entry = self._entries.get(request)
        if entry is None:
            return None
        self._take(entry)
        return entry.waiting

    def expire(self, now: float) -> list[Waiting]:
        """Take out requests whose deadline has passed or whose class's patience is used up."""
        expired = []
        while (due := self._expiries.peek_key()) is not None and due <= now:
            entry = self._expiries.peek()
            self._take(entry)
            expired.append(entry.waiting)
        return expired

    def next_expiry(self) -> float | None:
        """Return when :meth:`expire` next has something to take out, seconds; None for never."""
        return self._expiries.peek_key()

    def charge(self, class_name: str, organisation: str, tokens: float, now: float) -> None:
        """Account tokens that a request of the class and organisation generated."""
        self._ledger.charge(class_name, tokens)

    def demand(self, now: float) -> list[ClassDemand]:
        """Return how many requests of each class wait, and how long the oldest has."""
        return [
            ClassDemand(contender.class_name, self.waiting(contender.class_name), wait)
            for contender in self._contenders(now)
            for wait in [contender.oldest_wait_s]
        ]

    def set_classes(
        self, classes: Mapping[str, ClassRecord], weights: Mapping[str, float], now: float
    ) -> None:
        """Take new records; requests of withdrawn classes keep waiting under the last record."""
        self._ledger.configure(classes, in_use=self._lines)
        self.classes = dict(classes)
        self.weights = dict(weights)
        self._expiries = LazyHeap()
        for entry in self._entries.values():
            self._expiries.push(self._expiry(entry.waiting), entry)

    @abstractmethod
    def choose_class(self, contenders: Sequence[Contender], ledger: ShareLedger) -> str | None:
        """Return the class whose turn it is by the ledger's accounts; None without contenders."""

    @abstractmethod
    def _choose_entry(self, class_name: str) -> _Entry:
        """Return the next entry of a class that has entries."""

    def _ahead(self, line: _ClassLine, organisation: str) -> float:
        return float(line.count)

    def _organisation_came(self, waiting: Waiting) -> None:
        """Note the first waiting request of an organisation in a class."""
        self._ledger.activate(waiting.class_name)

    def _organisation_went(self, waiting: Waiting) -> None:
        """Note that no request of an organisation waits in a class any more."""
        if not self._lines[waiting.class_name].count:
            del self._lines[waiting.class_name]
            self._ledger.deactivate(waiting.class_name)

    def _started(self, waiting: Waiting, contenders: Sequence[Contender]) -> None:
        """Note that a request was taken out to be run while the contenders waited."""
        self._ledger.started(waiting.class_name, contenders)

    def _next_entry(self, class_name: str) -> _Entry:
        return self._lines[class_name].begun.peek() or self._choose_entry(class_name)

    def _expiry(self, waiting: Waiting) -> float:
        if waiting.begun:
            return waiting.deadline
        patience = self._ledger.record(waiting.class_name).patience_s
        return min(waiting.deadline, waiting.enqueued_at + patience)

    def _contenders(self, now: float) -> list[Contender]:
        return [
            Contender(name, max(0.0, now - line.by_age.peek_key()))
            for name, line in self._lines.items()
        ]

    def _take(self, entry: _Entry) -> None:
        waiting = entry.waiting
        entry.alive = False
        del self._entries[waiting.request]
        self._expiries.discard()
        line = self._lines[waiting.class_name]
        if line.drop(entry):
            self._organisation_went(waiting)


@queue_policies.register("fifo")
class FifoQueue(QueuePolicy):
    """One line over everything: the earliest enqueued request leaves first."""

    def choose_class(self, contenders: Sequence[Contender], ledger: ShareLedger) -> str | None:
        """Return the class with the longest wait."""
        oldest = max(contenders, key=lambda one: (one.oldest_wait_s, one.class_name), default=None)
        return oldest.class_name if oldest else None

    def _choose_entry(self, class_name: str) -> _Entry:
        return self._lines[class_name].by_age.peek()


@queue_policies.register("class_share")
class ClassShareQueue(QueuePolicy):
    """Priority with guaranteed shares between classes, fair between organisations inside a class.

    Notes
    -----
    :class:`ShareLedger` chooses the class and states the bound on the wait.
    :class:`OrganisationRounds` chooses the organisation, by deficit round robin over the tokens
    really generated. Inside an organisation the earliest enqueued request leaves first.
    """

    def __init__(self, classes: Mapping[str, ClassRecord], weights: Mapping[str, float]):
        super().__init__(classes, weights)
        self._rounds: dict[str, OrganisationRounds] = {}

    def charge(self, class_name: str, organisation: str, tokens: float, now: float) -> None:
        """Account tokens that a request of the class and organisation generated."""
        super().charge(class_name, organisation, tokens, now)
        self._class_rounds(class_name).charge(organisation, tokens)

    def set_classes(
        self, classes: Mapping[str, ClassRecord], weights: Mapping[str, float], now: float
    ) -> None:
        """Take new records; requests of withdrawn classes keep waiting under the last record."""
        super().set_classes(classes, weights, now)
        known = set(self._lines) | set(classes)
        self._rounds = {name: line for name, line in self._rounds.items() if name in known}
        for line in self._rounds.values():
            line.set_weights(self.weights)

    def choose_class(self, contenders: Sequence[Contender], ledger: ShareLedger) -> str | None:
        """Return the class that the ledger ranks first."""
        return ledger.choose(contenders)

    def _choose_entry(self, class_name: str) -> _Entry:
        organisation = self._class_rounds(class_name).choose()
        return self._lines[class_name].by_organisation[organisation].peek()

    def _ahead(self, line: _ClassLine, organisation: str) -> float:
        own = line.counts.get(organisation, 0) + 1
        return own * len(line.counts) / self.weights.get(organisation, 1.0)

    def _organisation_came(self, waiting: Waiting) -> None:
        super()._organisation_came(waiting)
        self._class_rounds(waiting.class_name).arrive(waiting.organisation)

    def _organisation_went(self, waiting: Waiting) -> None:
        super()._organisation_went(waiting)
        self._class_rounds(waiting.class_name).leave(waiting.organisation)

    def _started(self, waiting: Waiting, contenders: Sequence[Contender]) -> None:
        super()._started(waiting, contenders)
        self._class_rounds(waiting.class_name).served(waiting.organisation)

    def _class_rounds(self, class_name: str) -> OrganisationRounds:
        if class_name not in self._rounds:
            self._rounds[class_name] = OrganisationRounds(self.weights)
        return self._rounds[class_name]
