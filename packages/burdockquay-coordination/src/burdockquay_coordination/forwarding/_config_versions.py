"""Whether the platform shows the configuration in force, or an older one."""

from __future__ import annotations

READ_NEWER_WAIT_S = 1.0
"""Time that a process has to read a configuration that is in force at another process, before it
honours no keys, seconds. Without failures, updates arrive within some hundredths of a second."""

VERIFICATION_WAIT_S = 2.0
"""Time for which a process that starts honours no keys unless another process confirms its
configuration, seconds: within it, the operator writes a lost configuration again."""


STARTUP_PERIOD_S = 3.0
"""Time after the first configuration of a process in which ``READ_NEWER_WAIT_S`` is not granted,
seconds: the configuration that it has just read may have been outdated at the others for long."""


class ConfigVersionTracker:
    """Compares the version that the platform shows with those in force at all processes.

    A store that was restored from a copy may show an older configuration until the operator has
    written the newer one again. A key that the newer one withdraws is still in the older one. A
    process that took the older one for a confirmation would continue to honour the key.

    Examples
    --------
    >>> tracker = ConfigVersionTracker()
    >>> tracker.record_shown_version(7, now=1.0)
    >>> tracker.record_version_in_force(9, now=2.0)
    >>> tracker.is_behind, tracker.behind_s(5.0)
    (True, 3.0)
    >>> tracker.record_shown_version(9, now=6.0)
    >>> tracker.is_behind, tracker.behind_s(7.0)
    (False, 0.0)
    >>> tracker.record_held_version(9, now=1.0)
    >>> tracker.record_version_in_force(11, now=9.0)
    >>> tracker.is_outdated(9.5), tracker.is_outdated(10.0)
    (False, True)

    A process that has just started, before and after a peer confirms its version:

    >>> tracker = ConfigVersionTracker()
    >>> tracker.record_held_version(7, now=1.0)
    >>> tracker.record_unverified(now=1.0)
    >>> tracker.is_unverified(2.9), tracker.is_unverified(3.0)
    (True, False)
    >>> tracker.record_peer_confirmation(7, now=1.1)
    >>> tracker.is_unverified(1.2)
    False
    """

    def __init__(self):
        self._shown_version = 0
        self._newest_version = 0
        self._held_version = 0
        self._first_held_at: float | None = None
        self._outdated_since: float | None = None
        self._behind_since: float | None = None
        self._unverified_until = float("-inf")
        self._is_verified = False

    @property
    def shown(self) -> int:
        """Version that the platform showed last."""
        return self._shown_version

    @property
    def newest(self) -> int:
        """Highest version known to be in force at any process."""
        return self._newest_version

    @property
    def is_behind(self) -> bool:
        """Whether the platform shows an older configuration than the newest one."""
        return self._shown_version < self._newest_version

    def behind_s(self, now: float) -> float:
        """Return for how long the platform has not shown the newest configuration, seconds."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def is_outdated(self, now: float) -> bool:
        """Return whether this process acts on an older configuration than it should by now.

        A process that starts while the store shows an older configuration has no newer one to keep.
        Other processes inform it that there is one, and it must not wait until its lease expires.
        """
        if self._outdated_since is None:
            return False
        has_started = self._outdated_since - self._first_held_at >= STARTUP_PERIOD_S
        return now - self._outdated_since >= (READ_NEWER_WAIT_S if has_started else 0.0)

    def is_unverified(self, now: float) -> bool:
        """Return whether the configuration may be an older one without this process knowing.

        A process that starts just after the store was restored from a copy may read a configuration
        from before a key was withdrawn, and has neither a newer one nor peers yet.
        """
        if self._is_verified and self._held_version >= self._newest_version:
            return False
        return now < self._unverified_until

    def record_unverified(self, now: float) -> None:
        """Record that the first configuration was read from a store restored from a copy."""
        self._unverified_until = now + VERIFICATION_WAIT_S

    def record_peer_confirmation(self, version: int, now: float) -> None:
        """Record the newest version in force according to a peer that has verified it."""
        self._is_verified = True
        self.record_version_in_force(version, now)

    def record_held_version(self, version: int, now: float) -> None:
        """Record the version that is in force at this process."""
        self._held_version = version
        if self._first_held_at is None:
            self._first_held_at = now
        self.record_version_in_force(version, now)

    def record_shown_version(self, version: int, now: float) -> None:
        """Record the version that the platform shows."""
        self._shown_version = version
        self._compare(now)

    def record_version_in_force(self, version: int, now: float) -> None:
        """Record a version that is in force at this process or another one."""
        self._newest_version = max(self._newest_version, version)
        self._compare(now)

    def _compare(self, now: float) -> None:
        self._behind_since = _since(self.is_behind, self._behind_since, now)
        is_older = 0 < self._held_version < self._newest_version
        self._outdated_since = _since(is_older, self._outdated_since, now)


def _since(holds: bool, since: float | None, now: float) -> float | None:
    """Return the time since which a condition holds, None if it does not hold."""
    if not holds:
        return None
    return now if since is None else since
