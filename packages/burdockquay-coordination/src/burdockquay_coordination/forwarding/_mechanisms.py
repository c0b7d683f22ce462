"""Switchable mechanisms of the decisions about prompts and upstreams."""

from __future__ import annotations

import enum
from collections.abc import Iterable


class Mechanism(enum.StrEnum):
    """One mechanism; the value is its name in the settings.

    The forwarder can serve without any of them. An operator turns one off that performs badly under
    a load that it was not designed for; an experiment turns one off to measure its effect.
    """

    HOMES = "homes"
    """Each shared prompt part has a preferred upstream, so that it is read at one upstream."""
    SHORT_FIRST = "short_first"
    """Short prompts go before long ones of the same priority."""
    FETCHES = "fetches"
    """Upstreams fetch prompt parts from each other instead of reading them again."""
    COPIES = "copies"
    """Streams that must not run twice have a copy of their memory if upstreams go down often."""
    READ_HARM = "read_harm"
    """The cost of reading a part a second time grows with the running requests of the upstream."""
    WRITE_HARM = "write_harm"
    """The cost of any reading grows with the running answers, which it slows down."""
    ANSWER_PACE = "answer_pace"
    """Placement includes the predicted time of the complete answer."""
    WINDOW = "window"
    """Less urgent prompts wait while an upstream has a large backlog."""
    LATE_LAST = "late_last"
    """Requests that have missed their target go after those that can meet it."""
    WARM_FIRST = "warm_first"
    """Among equal requests, prompts whose parts are cached go first."""
    SET_APART = "set_apart"
    """Under load some upstreams are reserved for steady streams and read no long prompts."""
    SHARED_LOADS = "shared_loads"
    """Processes send each other their loads at upstreams."""
    SHARED_PARTS = "shared_parts"
    """Processes send each other which prompt parts they sent to which upstream."""
    SHARED_OUTCOMES = "shared_outcomes"
    """Processes send each other the outcomes of requests at upstreams."""
    SPEED_FACTORS = "speed_factors"
    """Upstreams slower than the others are detected by the times of their answers."""
    FAILURE_SHARE = "failure_share"
    """Upstreams that fail many requests are avoided."""
    SUSPENSION = "suspension"
    """Upstreams that could not be reached are left out for some time."""
    REFERRAL = "referral"
    """A process that cannot honour keys refers callers to one that can."""
    SHARED_POLLS = "shared_polls"
    """A few processes poll the platform for changes and broadcast them."""


class Switches:
    """The mechanisms that are off; one object per process, changed at run time.

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
        # A decision asks some hundred times, and the hash of a member is computed in Python.
        return not self._off or mechanism not in self._off


ALL_ON = Switches()
"""Default of functions that are called without switches, as in tests."""
