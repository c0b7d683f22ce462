"""How long a process may act on the configuration that it holds."""

from __future__ import annotations


class FreshnessLease:
    """Tells whether the configuration was the newest one a short time ago.

    A key that an operator withdraws must stop working everywhere within a fixed time, also at a
    process that no longer reaches the platform. Such a process does not hear of the withdrawal; it
    only knows when it last asked. Counting from the moment of the question, and refusing when that
    is too long ago, keeps the promise without any message.

    Parameters
    ----------
    limit_s : float
        Seconds after the last confirmed question during which keys are honoured.

    Examples
    --------
    >>> lease = FreshnessLease(4.0)
    >>> lease.is_fresh(0.0)
    False
    >>> lease.confirm(asked_at=1.0)
    >>> lease.is_fresh(4.5), lease.is_fresh(5.5)
    (True, False)
    """

    def __init__(self, limit_s: float):
        self.limit_s = limit_s
        self._confirmed_at: float | None = None

    def confirm(self, asked_at: float) -> None:
        """Note that the answer to a question asked at ``asked_at`` showed nothing newer."""
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at

    def age(self, now: float) -> float | None:
        """Return seconds since the last confirmed question; None if there was none."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may be honoured."""
        age = self.age(now)
        return age is not None and age < self.limit_s
