"""Limit on the age of the configuration that a process acts on."""

from __future__ import annotations


class FreshnessLease:
    """Checks whether the configuration was the newest one a short time ago.

    A key that an operator withdraws must stop working everywhere within a fixed time, also at a
    process that cannot reach the platform. Such a process does not receive the withdrawal; it only
    knows the age of its last confirmation. Rejecting keys when that age exceeds the limit
    guarantees the time without any message.

    Parameters
    ----------
    limit_s : float
        Age of the last confirmation up to which keys are honoured, seconds.

    Examples
    --------
    >>> lease = FreshnessLease(4.0)
    >>> lease.is_fresh(0.0)
    False
    >>> lease.confirm(1.0)
    >>> lease.is_fresh(4.5), lease.is_fresh(5.5)
    (True, False)
    """

    def __init__(self, limit_s: float):
        self.limit_s = limit_s
        self._confirmed_at: float | None = None

    def confirm(self, as_of: float) -> None:
        """Record that the configuration was the newest one at the given time."""
        if self._confirmed_at is None or as_of > self._confirmed_at:
            self._confirmed_at = as_of

    def age(self, now: float) -> float | None:
        """Return the age of the last confirmation, seconds; None if there was none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may be honoured."""
        age = self.age(now)
        return age is not None and age < self.limit_s
