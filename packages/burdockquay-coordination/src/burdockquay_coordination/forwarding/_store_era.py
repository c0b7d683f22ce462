"""The newest era of the platform's store that a process has heard of."""

from __future__ import annotations


class StoreEra:
    """Tells answers of the store as it is now from those of the store before its return.

    A store that comes back from a copy has lost its newest changes and gives out their revisions
    again. An answer or message of the time before may still be under way then.

    Examples
    --------
    >>> era = StoreEra()
    >>> era.note(1, now=5.0), era.note(2, now=9.0), era.note(1, now=9.5)
    (False, True, False)
    >>> era.newest, era.is_past(1), era.returned_at
    (2, True, 9.0)
    """

    def __init__(self):
        self._newest: int | None = None
        self._restored_at = float("-inf")

    @property
    def newest(self) -> int:
        """Newest era heard of; 0 before the first answer or if the store names none."""
        return self._newest or 0

    @property
    def returned_at(self) -> float:
        """When this process heard of the last return of the store."""
        return self._restored_at

    def is_past(self, era: int) -> bool:
        """Return whether an era is over."""
        return era < self.newest

    def note(self, era: int, now: float) -> bool:
        """Note the era of an answer or message.

        Returns
        -------
        bool
            Whether the store has come back from a copy since the last call. The first era that a
            process hears of replaces nothing.
        """
        if self._newest is not None and era <= self._newest:
            return False
        was_restored = self._newest is not None
        self._newest = era
        if was_restored:
            self._restored_at = now
        return was_restored
