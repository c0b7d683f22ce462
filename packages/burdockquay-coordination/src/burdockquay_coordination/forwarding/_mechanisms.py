"""The mechanisms that decide about prompts and upstreams, each of which can be turned off."""

from __future__ import annotations

import enum
from collections.abc import Iterable


class Mechanism(enum.StrEnum):
    """One mechanism; the value is its name in the settings.

    The forwarder serves without any of them. An operator turns one off that misbehaves under a load
    it was not made for, and an experiment turns one off to measure what it is worth.
    """

    HOMES = "homes"
    """Shared prompt parts have a home, so that each is read at one upstream."""
    SHORT_FIRST = "short_first"
    """Short prompts go before long ones of the same priority."""
    FETCHES = "fetches"
    """Upstreams fetch prompt parts from each other instead of reading them again."""
    COPIES = "copies"
    """Streams that must not run twice have a copy of their memory where upstreams go down often."""
    READ_HARM = "read_harm"
    """Reading a part a second time counts by what runs where it would be read."""
    WRITE_HARM = "write_harm"
    """Any reading counts by the answers that are written beside it."""
    ANSWER_PACE = "answer_pace"
    """Placement counts the time of the whole answer."""
    WINDOW = "window"
    """Less urgent prompts wait while an upstream has much to read."""
    LATE_LAST = "late_last"
    """Requests that have missed their target go behind those that can meet it."""
    WARM_FIRST = "warm_first"
    """Among equals, prompts whose parts are in memory go first."""
    SET_APART = "set_apart"
    """Under load some upstreams take streams that must be written steadily and no long prompts."""
    SHARED_LOADS = "shared_loads"
    """Processes tell each other what they have under way at upstreams."""
    SHARED_PARTS = "shared_parts"
    """Processes tell each other which prompt parts they sent where."""
    SHARED_OUTCOMES = "shared_outcomes"
    """Processes tell each other which upstreams fail."""
    SPEED_FACTORS = "speed_factors"
    """Upstreams slower than the others are found by their answers."""
    FAILURE_SHARE = "failure_share"
    """Upstreams that fail many requests are avoided."""
    SUSPENSION = "suspension"
    """Upstreams that could not be reached are left out for a while."""
    REFERRAL = "referral"
    """A process that cannot honour keys sends callers to one that can."""
    SHARED_POLLS = "shared_polls"
    """A few processes ask the platform for changes and tell the others."""


class Switches:
    """Which mechanisms are off; one object for a process, changed while it runs.

    Parameters
    ----------
    off : iterable of str
        Names of mechanisms.

    Examples
    --------
    >>> switches = Switches(["fetches"])
    >>> switches.uses(Mechanism.FETCHES), switches.uses(Mechanism.COPIES)
    (False, True)
    """

    def __init__(self, off: Iterable[str] = ()):
        self.off = off

    @property
    def off(self) -> frozenset[Mechanism]:
        """The mechanisms that are off."""
        return self._off

    @off.setter
    def off(self, names: Iterable[str]) -> None:
        self._off = frozenset(map(Mechanism, names))

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is on."""
        return mechanism not in self._off


ALL_ON = Switches()
"""For decisions of their own, as in tests."""
