"""Demand of the entries for the places of one slot."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from burdockquay_protocol import ClassDemand


@attrs.define
class _EntryDemand:
    """Queued requests of one class at one entry."""

    waiting: int
    oldest_since: float


class DemandTracker:
    """The latest demand of each entry by class.

    Notes
    -----
    A message replaces the previous one of its sender. Each grant decrements the count at once and
    moves the entry behind the others of the class until its next message, so that entries take
    turns and none is granted more places than it has requests.
    """

    def __init__(self) -> None:
        self._by_class: dict[str, dict[str, _EntryDemand]] = {}

    @property
    def classes(self) -> set[str]:
        """Classes that have demand."""
        return set(self._by_class)

    def replace(
        self, peer: str, demands: Iterable[ClassDemand], granted: dict[str, int], now: float
    ) -> None:
        """Replace the demand of an entry.

        Parameters
        ----------
        granted : dict of str to int
            Unused grants of the entry by class, which are subtracted.
        """
        self.forget(peer)
        for demand in demands:
            waiting = demand.waiting - granted.get(demand.class_name, 0)
            if waiting > 0:
                by_entry = self._by_class.setdefault(demand.class_name, {})
                by_entry[peer] = _EntryDemand(waiting, now - demand.oldest_wait_s)

    def forget(self, peer: str) -> None:
        """Drop the demand of an entry."""
        for class_name in list(self._by_class):
            self._by_class[class_name].pop(peer, None)
            self._drop_empty(class_name)

    def oldest_waits(self, now: float) -> dict[str, float]:
        """Return the longest wait of each class that has demand, seconds."""
        return {
            class_name: max(0.0, now - min(queued.oldest_since for queued in by_entry.values()))
            for class_name, by_entry in self._by_class.items()
        }

    def take(self, class_name: str, now: float) -> str:
        """Subtract one request from the entry whose request of the class has waited longest.

        Returns
        -------
        str
            Incarnation of the entry.
        """
        by_entry = self._by_class[class_name]
        peer = min(by_entry, key=lambda name: (by_entry[name].oldest_since, name))
        queued = by_entry[peer]
        queued.waiting -= 1
        queued.oldest_since = now
        if not queued.waiting:
            del by_entry[peer]
            self._drop_empty(class_name)
        return peer

    def _drop_empty(self, class_name: str) -> None:
        if not self._by_class[class_name]:
            del self._by_class[class_name]
