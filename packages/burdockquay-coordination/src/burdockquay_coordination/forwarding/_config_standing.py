"""Whether the platform shows the configuration in force, or an older one."""

from __future__ import annotations


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
    """

    def __init__(self):
        self._shown = 0
        self._newest = 0
        self._behind_since: float | None = None

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

    def note_shown(self, version: int, now: float) -> None:
        """Note the version that the platform shows."""
        self._shown = version
        self._compare(now)

    def note_in_force(self, version: int, now: float) -> None:
        """Note a version that is in force at this process or another one."""
        self._newest = max(self._newest, version)
        self._compare(now)

    def _compare(self, now: float) -> None:
        if not self.is_behind:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
