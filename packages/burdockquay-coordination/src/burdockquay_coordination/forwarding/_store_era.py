"""Newest known era of the platform's store."""

from __future__ import annotations


class StoreEra:
    """Distinguishes answers of the present store from those before it was restored from a copy.

    A store that is restored from a copy has lost its newest changes and assigns their revisions
    again. An answer or message from before may still be in transit then.

    Examples
    --------
    >>> era = StoreEra()
    >>> era.record_era(1, now=5.0), era.record_era(2, now=9.0), era.record_era(1, now=9.5)
    (False, True, False)
    >>> era.newest, era.is_past(1), era.restored_at
    (2, True, 9.0)
    """

    def __init__(self):
        self._newest: int | None = None
        self._restored_at = float("-inf")

    @property
    def newest(self) -> int:
        """Newest known era; 0 before the first answer or if the store has none."""
        return self._newest or 0

    @property
    def restored_at(self) -> float:
        """Time at which this process detected the last restore of the store."""
        return self._restored_at

    def is_past(self, era: int) -> bool:
        """Return whether an era is over."""
        return era < self.newest

    def record_era(self, era: int, now: float) -> bool:
        """Record the era of an answer or message.

        Returns
        -------
        bool
            Whether the store was restored from a copy since the last call. False for the first era
            that a process records, which replaces no other.
        """
        if self._newest is not None and era <= self._newest:
            return False
        was_restored = self._newest is not None
        self._newest = era
        if was_restored:
            self._restored_at = now
        return was_restored
