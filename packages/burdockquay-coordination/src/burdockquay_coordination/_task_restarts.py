"""When a background task that has failed is begun again, and whether it makes progress."""

from __future__ import annotations

import random

FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 15.0
"""First and longest pause before a task is begun again, seconds. Each beginning may read a whole
table of the platform."""

STEADY_S = 10.0
"""Time for which a task runs after which its earlier failures do not count, seconds: longer than
any query that the platform holds."""

FAILING_FROM = 3
"""Failures in a row from which a task counts as failing."""


class TaskRestarts:
    """Decides about the restarts of one task.

    Parameters
    ----------
    rng : random.Random
        Jitter: all processes meet what makes a task fail at the same moment.

    Examples
    --------
    >>> restarts = TaskRestarts(random.Random(1))
    >>> pauses = [restarts.record_failure(now) for now in (0.0, 0.1, 0.4)]
    >>> [0.05 <= pause <= 0.4 for pause in pauses], restarts.is_failing(0.5)
    ([True, True, True], True)
    >>> restarts.record_begin(0.8)
    >>> restarts.is_failing(10.0), restarts.is_failing(11.0)
    (True, False)
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.failures = 0
        self._in_row = 0
        self._begun_at: float | None = None

    def is_failing(self, now: float) -> bool:
        """Return whether the task has failed repeatedly without progress since."""
        return self._in_row >= FAILING_FROM and not self._is_steady(now)

    def record_begin(self, now: float) -> None:
        """Record that the task is begun."""
        self._begun_at = now

    def record_failure(self, now: float) -> float:
        """Record that the task has ended by an exception.

        Returns
        -------
        float
            Time until it is begun again, seconds.
        """
        if self._is_steady(now):
            self._in_row = 0
        self._begun_at = None
        self.failures += 1
        self._in_row += 1
        # The exponent is bounded, as a float is.
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(self._in_row - 1, 30))
        return pause_s * self.rng.uniform(0.5, 1.0)

    def _is_steady(self, now: float) -> bool:
        return self._begun_at is not None and now - self._begun_at >= STEADY_S
