"""What waits at the entries for one slot."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from burdockquay_protocol import ClassDemand


@attrs.define
class _Line:
    """Requests of one class that wait at one entry."""

    waiting: int
    oldest_since: float


class DemandBook:
    """The latest demand of each entry by class.

    Notes
    -----
    A message replaces the earlier one of its sender. Each grant lowers the count at once and moves
    the entry behind the others of the class until its next message, so that several entries take
    turns and none is granted more places than it has requests.
    """

    def __init__(self) -> None:
        self._lines: dict[str, dict[str, _Line]] = {}

    @property
    def classes(self) -> set[str]:
        """Classes that have demand."""
        return set(self._lines)

    def replace(
        self, peer: str, demands: Iterable[ClassDemand], granted: dict[str, int], now: float
    ) -> None:
        """Take the demand of an entry.

        Parameters
        ----------
        granted : dict of str to int
            Grants of each class that the entry holds and has not used yet; they are taken off.
        """
        self.forget(peer)
        for demand in demands:
            waiting = demand.waiting - granted.get(demand.class_name, 0)
            if waiting > 0:
                lines = self._lines.setdefault(demand.class_name, {})
                lines[peer] = _Line(waiting, now - demand.oldest_wait_s)

    def forget(self, peer: str) -> None:
        """Drop the demand of an entry."""
        for class_name in list(self._lines):
            self._lines[class_name].pop(peer, None)
            self._drop_empty(class_name)

    def oldest_waits(self, now: float) -> dict[str, float]:
        """Return the longest wait of each class that has demand, seconds."""
        return {
            class_name: max(0.0, now - min(line.oldest_since for line in lines.values()))
            for class_name, lines in self._lines.items()
        }

    def take(self, class_name: str, now: float) -> str:
        """Take one request off the entry whose request of the class waits longest.

        Returns
        -------
        str
            The entry.
        """
        lines = self._lines[class_name]
        peer = min(lines, key=lambda name: (lines[name].oldest_since, name))
        line = lines[peer]
        line.waiting -= 1
        line.oldest_since = now
        if not line.waiting:
            del lines[peer]
            self._drop_empty(class_name)
        return peer

    def _drop_empty(self, class_name: str) -> None:
        if not self._lines[class_name]:
            del self._lines[class_name]
