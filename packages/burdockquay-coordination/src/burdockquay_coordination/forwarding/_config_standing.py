"""Whether the platform shows the configuration in force, or an older one."""

from __future__ import annotations

CATCH_UP_S = 1.0
"""Time that a process has to read a configuration that is in force at another one, seconds, before
it honours no keys: on a calm day the news comes within some hundredths."""

PROOF_WAIT_S = 2.0
"""Time for which a process that starts honours no keys unless another one vouches for its
configuration, seconds: the operator writes a lost configuration again within that."""


START_S = 3.0
"""Time after its first configuration in which a process gets no such time, seconds: the others may
have known for long that what it has just read is old."""


class ConfigStanding:
    """Compares what the platform shows with what is in force at this process and at others.

    A store that comes back from a copy may show an older configuration until the operator has
    written the newer one again. A key that the newer one withdraws stands in the older one. A
    process that took the older one for a confirmation would go on to honour it.

    Examples
    --------
    >>> standing = ConfigStanding()
    >>> standing.note_shown(7, now=1.0)
    >>> standing.note_in_force(9, now=2.0)
    >>> standing.is_behind, standing.behind_s(5.0)
    (True, 3.0)
    >>> standing.note_shown(9, now=6.0)
    >>> standing.is_behind, standing.behind_s(7.0)
    (False, 0.0)
    >>> standing.note_held(9, now=1.0)
    >>> standing.note_in_force(11, now=9.0)
    >>> standing.is_outdated(9.5), standing.is_outdated(10.0)
    (False, True)

    A process that has just started, before and after another one vouches for what it holds:

    >>> standing = ConfigStanding()
    >>> standing.note_held(7, now=1.0)
    >>> standing.note_unproven(now=1.0)
    >>> standing.is_unproven(2.9), standing.is_unproven(3.0)
    (True, False)
    >>> standing.note_vouched(7, now=1.1)
    >>> standing.is_unproven(1.2)
    False
    """

    def __init__(self):
        self._shown = 0
        self._newest = 0
        self._held = 0
        self._first_held_at: float | None = None
        self._outdated_since: float | None = None
        self._behind_since: float | None = None
        self._unproven_until = float("-inf")
        self._is_vouched_for = False

    @property
    def shown(self) -> int:
        """Version that the platform showed last."""
        return self._shown

    @property
    def newest(self) -> int:
        """Highest version known to be in force at any process."""
        return self._newest

    @property
    def is_behind(self) -> bool:
        """Whether the platform shows an older configuration than the newest one."""
        return self._shown < self._newest

    def behind_s(self, now: float) -> float:
        """Return for how long the newest configuration has waited to be shown again, seconds."""
        return 0.0 if self._behind_since is None else now - self._behind_since

    def is_outdated(self, now: float) -> bool:
        """Return whether this process acts on an older configuration than it should by now.

        A process that starts while the store shows an older configuration has no newer one to keep.
        It learns from the others that there is one, and must not wait until its lease runs out.
        """
        if self._outdated_since is None:
            return False
        has_started = self._outdated_since - self._first_held_at >= START_S
        return now - self._outdated_since >= (CATCH_UP_S if has_started else 0.0)

    def is_unproven(self, now: float) -> bool:
        """Return whether the configuration may be an older one that nobody here knows better.

        A process that starts just after the store came back from a copy may read a configuration
        of before a key was withdrawn, and has neither a newer one nor peers yet.
        """
        if self._is_vouched_for and self._held >= self._newest:
            return False
        return now < self._unproven_until

    def note_unproven(self, now: float) -> None:
        """Note that the first configuration was read from a store that came back from a copy."""
        self._unproven_until = now + PROOF_WAIT_S

    def note_vouched(self, version: int, now: float) -> None:
        """Note the newest version that another process, which can tell, knows to be in force."""
        self._is_vouched_for = True
        self.note_in_force(version, now)

    def note_held(self, version: int, now: float) -> None:
        """Note the version that is in force at this process."""
        self._held = version
        if self._first_held_at is None:
            self._first_held_at = now
        self.note_in_force(version, now)

    def note_shown(self, version: int, now: float) -> None:
        """Note the version that the platform shows."""
        self._shown = version
        self._compare(now)

    def note_in_force(self, version: int, now: float) -> None:
        """Note a version that is in force at this process or another one."""
        self._newest = max(self._newest, version)
        self._compare(now)

    def _compare(self, now: float) -> None:
        self._behind_since = _since(self.is_behind, self._behind_since, now)
        is_older = 0 < self._held < self._newest
        self._outdated_since = _since(is_older, self._outdated_since, now)


def _since(holds: bool, since: float | None, now: float) -> float | None:
    """Return since when something holds, None if it does not."""
    if not holds:
        return None
    return now if since is None else since
