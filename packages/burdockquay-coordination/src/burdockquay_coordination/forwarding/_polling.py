"""Which processes ask the platform for the changes of a table, and when the others ask too."""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable

from ._mechanisms import ALL_ON, Mechanism, Switches
from ._ranking import rank_processes

POLLERS = 3
"""Processes that wait at the platform for the changes of one table: with one alone, its loss would
delay changes for all until they notice."""

OVERDUE_SHARES = (1.2, 1.5)
"""Age of the last confirmation at which a process asks by itself, in times of the longest wait of a
question. Drawn anew each time: the first to ask tells the others, so that they need not."""

STEP_DOWN_S = 3.0
"""Time for which a poller that the platform did not answer leaves the asking to others, seconds."""

STAND_IN_S = 10.0
"""Time for which a process polls after nobody told it anything, seconds."""

REREAD_DELAYS_S = (0.05, 0.6)
"""Time after which a process that does not poll reads a table again whose store came back from a
copy, seconds. Drawn anew each time: all processes hear of it at the same moment."""

FOREVER_S = 3600.0
"""Time since the last trouble that is told where there was none, seconds."""


class Fit(enum.Enum):
    """How changes that a peer tells of relate to what a process knows."""

    NEXT = "next"
    """They go on from there."""
    KNOWN = "known"
    """They are known already."""
    GAP = "gap"
    """There are changes before them that the process does not know."""


class PollTurn:
    """Decides when a process asks the platform for the changes of one table.

    With hundreds of processes that each ask every second or two, almost all calls return what the
    neighbours have just heard, and the platform limits and charges them. So a few processes poll
    and tell all others what they hear. Nobody is appointed: each process ranks those that it is
    connected to. Where the ranking or the telling fails, what a process last heard grows old, and
    it asks by itself, so that a lost poller means older news and never none.

    Parameters
    ----------
    rng : random.Random
    switches : Switches

    Examples
    --------
    >>> turn = PollTurn(random.Random(1))
    >>> turn.is_poller = False
    >>> turn.confirm(10.0)
    >>> turn.is_due(11.0, wait_s=2.0), turn.is_due(13.0, wait_s=2.0)
    (False, True)
    """

    def __init__(self, rng: random.Random, switches: Switches = ALL_ON):
        self.rng = rng
        self.switches = switches
        self.is_poller = True
        self._as_of = float("-inf")
        self._overdue_share = rng.uniform(*OVERDUE_SHARES)
        self._missed = False
        self._told_at = float("-inf")
        self._troubled_at = float("-inf")
        self._is_failing = False
        self._steps_down_until = float("-inf")
        self._stands_in_until = float("-inf")

    def polls(self, now: float) -> bool:
        """Return whether the process waits at the platform for changes."""
        if not self.switches.uses(Mechanism.SHARED_POLLS):
            return True
        if now < self._steps_down_until:
            return False
        return self.is_poller or now < self._stands_in_until

    def is_due(self, now: float, wait_s: float) -> bool:
        """Return whether the process asks now.

        Parameters
        ----------
        now : float
        wait_s : float
            Longest wait of a question, seconds.
        """
        return self._missed or self.polls(now) or now >= self._overdue_at(wait_s)

    def next_due_at(self, now: float, wait_s: float) -> float:
        """Return when the process asks at the latest if it hears nothing."""
        due = self._overdue_at(wait_s)
        if self.is_poller and now < self._steps_down_until:
            due = min(due, self._steps_down_until)
        return due

    def hold_s(self, now: float, wait_s: float) -> float:
        """Return how long the platform may hold a question that is asked now, seconds.

        One that only makes up for what was missed is answered at once, and so is the first one
        after a failure: what is known is old by then, and the end of a wait would confirm it late.
        """
        return wait_s if self.polls(now) and not self._is_failing else 0.0

    def tells(self, now: float, wait_s: float) -> bool:
        """Return whether the others are told the answer to a question that is asked now.

        After a gap many processes ask at once, and all have pollers that tell them the rest.
        """
        return self.polls(now) or now >= self._overdue_at(wait_s)

    def reads_first(self, now: float) -> bool:
        """Return whether the process reads a table at once after its store came back.

        Such a process tells the others. One that left the asking to others while the store was away
        does so too: all pollers may have, and then nobody would tell.
        """
        return self.is_poller or self.polls(now)

    def reread_delay_s(self, now: float) -> float:
        """Return how long to wait before a table is read again after its store came back."""
        return 0.0 if self.reads_first(now) else self.rng.uniform(*REREAD_DELAYS_S)

    def judge(self, known: int, after: int, upto: int) -> Fit:
        """Return how changes that a peer tells of fit what is known.

        Parameters
        ----------
        known : int
            Revision up to which the process knows all changes.
        after, upto : int
            The changes are all those behind the one revision up to the other, in the same era of
            the store.
        """
        if upto <= known:
            return Fit.KNOWN
        if after > known:
            self._missed = True
            return Fit.GAP
        self._missed = False
        return Fit.NEXT

    def confirm(self, as_of: float) -> None:
        """Note a moment as of which the process knows all changes."""
        if as_of > self._as_of:
            self._as_of = as_of
            self._overdue_share = self.rng.uniform(*OVERDUE_SHARES)

    def confirm_by_peer(self, as_of: float, now: float) -> None:
        """Note such a moment that a peer told of."""
        self._told_at = now
        if as_of > self._troubled_at:
            # The platform has turned away this process alone, or answers again.
            self._end_trouble(as_of)
        self.confirm(as_of)

    def succeed(self, as_of: float, now: float, wait_s: float) -> None:
        """Note that the platform answered a question."""
        if not self._missed and not self.polls(now) and now >= self._overdue_at(wait_s):
            self._stands_in_until = now + STAND_IN_S
        self._missed = False
        self._end_trouble(now)
        self.confirm(as_of)

    def _end_trouble(self, now: float) -> None:
        """Note that the platform answers, if it did not before."""
        if self._is_failing:
            # The trouble may have lasted until now: nothing was heard since it was noticed.
            self._troubled_at = now
            self._is_failing = False

    def fail(self, now: float) -> None:
        """Note that the platform did not answer a question.

        While others tell what they hear, asking again and again gains nothing.
        """
        self._troubled_at = now
        self._is_failing = True
        if now - self._told_at < STEP_DOWN_S:
            self._steps_down_until = now + STEP_DOWN_S

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation, seconds."""
        return min(now - self._as_of, FOREVER_S)

    def steady_s(self, now: float) -> float:
        """Return the time since the platform may last have been in trouble, seconds."""
        return min(now - self._troubled_at, FOREVER_S)

    def _overdue_at(self, wait_s: float) -> float:
        return self._as_of + self._overdue_share * wait_s


def is_poller(table: str, me: str, others: Iterable[str]) -> bool:
    """Return whether a process is one of those that poll a table.

    Parameters
    ----------
    table : str
    me : str
        Incarnation of the process.
    others : iterable of str
        Those of the processes that it is connected to.

    Examples
    --------
    >>> names = ["a", "b", "c", "d", "e"]
    >>> sum(is_poller("table", me, set(names) - {me}) for me in names)
    3
    """
    return me in rank_processes(table, [me, *others])[:POLLERS]
