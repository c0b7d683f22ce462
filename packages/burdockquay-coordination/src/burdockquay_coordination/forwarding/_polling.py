"""Choice of the processes that poll the platform for changes of a table, and fallback polling."""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable

from ._mechanisms import ALL_ON, Mechanism, Switches
from ._ranking import rank_processes

POLLERS_PER_TABLE = 3
"""Processes that poll the platform for the changes of one table. If the only poller failed, all
processes would receive changes late until they notice."""

WAIT_SHARE = 1.2
"""Longest wait of a request, as a multiple of the time within which a change must be known."""

OVERDUE_INTERVALS = (1.4, 1.75)
"""Age of the last confirmation at which a process that is no poller polls by itself, as a multiple
of the time between two confirmations. Sampled anew each time: the first to poll sends the answer to
the others, so that they need not poll."""

MIN_HOLD_SHARE = 1 / 6
"""Shortest time for which the platform holds a request of a poller, as a share of the longest."""

POLLER_BACKOFF_S = 3.0
"""Time for which a poller that the platform did not answer leaves polling to others, seconds."""

FAILED_POLLS_PER_S = 10.0
"""Requests for one table that all processes without a poller's duty repeat per second while the
platform answers none. The platform charges refused calls too, and its recovery is found by the
pollers, which broadcast it."""

MIN_SPREAD_PROCESSES = 16
"""Processes from which repeated requests are spread. Fewer processes repeat them at less than twice
that rate anyway."""

SUBSTITUTE_POLL_S = 10.0
"""Time for which a process polls after it has received no updates from peers, seconds."""

REREAD_DELAYS_S = (0.05, 0.6)
"""Delay before a process that is no poller reads a table again whose store was restored from a
copy, seconds. Sampled anew each time, as all processes are informed at the same moment."""

QUESTION_DELAY_S = 1.0
"""Time after which a process asks a peer for changes that it misses, if the platform has not sent
them yet, seconds. It asks at once if the platform refuses it."""

QUESTION_INTERVALS_S = (0.15, 0.3)
"""Time between two such questions, each to another peer, seconds. Sampled anew each time."""

MAX_AGE_S = 3600.0
"""Upper limit of reported ages, and the age reported if there was no event, seconds."""


class ChangeContinuity(enum.Enum):
    """Relation of changes received from a peer to the known revision."""

    NEXT = "next"
    """They continue from the known revision."""
    KNOWN = "known"
    """They are already known."""
    GAP = "gap"
    """There are earlier changes that the process does not have."""


class PollSchedule:
    """Decides when a process polls the platform for the changes of one table.

    If hundreds of processes polled every second or two, almost all calls would return what other
    processes have just received, and the platform limits and charges calls. So a few processes poll
    and broadcast what they receive. They are not elected: each process ranks those that it is
    connected to. If the ranking or the broadcast fails, the data of a process becomes older, and it
    polls by itself; the loss of a poller therefore delays updates and never stops them.

    The requests of the pollers end one after the other, at equal intervals on the clock of the
    platform. So the other processes have a confirmation in a fraction of the longest wait, and
    notice in time that all pollers have fallen silent.

    Parameters
    ----------
    rng : random.Random
    switches : Switches

    Examples
    --------
    >>> poll_schedule = PollSchedule(random.Random(1))
    >>> poll_schedule.is_poller = False
    >>> poll_schedule.confirm(10.0)
    >>> poll_schedule.is_due(10.8, wait_s=2.0), poll_schedule.is_due(11.2, wait_s=2.0)
    (False, True)
    """

    def __init__(self, rng: random.Random, switches: Switches = ALL_ON):
        self.rng = rng
        self.switches = switches
        self.is_poller = True
        self.processes = 1
        self.place = 0
        self._platform_ahead_s: float | None = None
        self._as_of = float("-inf")
        self._overdue_intervals = rng.uniform(*OVERDUE_INTERVALS)
        self._has_gap = False
        self._asks_at = float("inf")
        self._peer_confirmed_at = float("-inf")
        self._failed_at = float("-inf")
        self._is_failing = False
        self._backs_off_until = float("-inf")
        self._substitutes_until = float("-inf")
        self._repeats_at = float("-inf")

    @property
    def confirmed_platform_s(self) -> float | None:
        """Time of the last confirmation on the clock of the platform, seconds, if it is known."""
        if self._platform_ahead_s is None or self._as_of == float("-inf"):
            return None
        return self._as_of + self._platform_ahead_s

    @property
    def question_due_at(self) -> float:
        """When the process asks a peer for changes that it misses, infinity if it misses none."""
        return self._asks_at if self._has_gap else float("inf")

    def polls(self, now: float) -> bool:
        """Return whether the process is a poller at present."""
        if not self.switches.uses(Mechanism.SHARED_POLLS):
            return True
        if now < self._backs_off_until:
            return False
        return self.is_poller or now < self._substitutes_until

    def is_due(self, now: float, wait_s: float) -> bool:
        """Return whether the process sends a request to the platform now.

        Parameters
        ----------
        now : float
        wait_s : float
            Longest time that the platform holds a request, seconds.
        """
        if now < self._repeats_at and not self._is_needed(now):
            return False
        return self._has_gap or self.polls(now) or now >= self._overdue_at(wait_s)

    def next_due_at(self, now: float, wait_s: float) -> float:
        """Return when the process polls at the latest if it receives no updates."""
        due = self._overdue_at(wait_s)
        if self.is_poller and now < self._backs_off_until:
            due = min(due, self._backs_off_until)
        return due if self._is_needed(now) else max(due, self._repeats_at)

    def _is_needed(self, now: float) -> bool:
        """Return whether others rely on this process to find the recovery of the platform."""
        return self.is_poller or self.polls(now)

    def hold_s(self, now: float, wait_s: float) -> float:
        """Return how long the platform may hold a request that is sent now, seconds.

        A request that only fills a gap is to be answered at once, and so is the first one after a
        failure: the data is old by then, and a confirmation at the end of the wait would be late.
        Otherwise it ends at the next of the moments that are left to this poller.
        """
        if not self.polls(now) or self._is_failing:
            return 0.0
        if self._platform_ahead_s is None:
            return wait_s
        pollers = min(self.processes, POLLERS_PER_TABLE)
        moment_s = self.place % pollers * wait_s / pollers
        rest_s = (moment_s - now - self._platform_ahead_s) % wait_s
        return rest_s if rest_s >= MIN_HOLD_SHARE * wait_s else rest_s + wait_s

    def broadcasts_answer(self, now: float, wait_s: float) -> bool:
        """Return whether the answer to a request that is sent now is broadcast.

        After a gap many processes send requests at once, and all receive later changes from
        pollers.
        """
        return self.polls(now) or now >= self._overdue_at(wait_s)

    def reads_first(self, now: float, wait_s: float) -> bool:
        """Return whether the process reads a table at once after its store was restored.

        Such a process broadcasts the result. A poller that backed off while the store was
        unavailable does so too: all pollers may have backed off, and then no process would
        broadcast. So does one that receives no updates: all pollers may be out of reach.
        """
        return self.is_poller or self.broadcasts_answer(now, wait_s)

    def reread_delay_s(self, now: float, wait_s: float) -> float:
        """Return the delay before a table is read again after its store was restored, seconds."""
        return 0.0 if self.reads_first(now, wait_s) else self.rng.uniform(*REREAD_DELAYS_S)

    def classify_changes(self, known: int, after: int, upto: int) -> ChangeContinuity:
        """Return how changes received from a peer relate to the known revision.

        Parameters
        ----------
        known : int
            Revision up to which the process has all changes.
        after, upto : int
            The received changes are all those after revision ``after`` up to and including
            ``upto``, in the same era of the store.
        """
        if upto <= known:
            return ChangeContinuity.KNOWN
        if after > known:
            if not self._has_gap:
                # A question at an earlier gap, or at the first read, decides nothing here.
                self._asks_at = float("inf")
            self._has_gap = True
            return ChangeContinuity.GAP
        self._close_gap()
        return ChangeContinuity.NEXT

    def record_gap(self, as_of: float, now: float) -> None:
        """Record a message of a peer that shows that this process misses changes.

        Parameters
        ----------
        as_of : float
            Time at which the platform answered the peer.
        now : float
        """
        if self._asks_at == float("inf"):
            self._asks_at = now + (0.0 if self._is_failing else QUESTION_DELAY_S)
        self.record_peer_answer(as_of, now)

    def record_question(self, now: float) -> None:
        """Record that the process has asked a peer for the changes that it misses."""
        self._asks_at = now + self.rng.uniform(*QUESTION_INTERVALS_S)

    def _close_gap(self) -> None:
        self._has_gap = False
        self._asks_at = float("inf")

    def confirm(self, as_of: float, platform_s: float | None = None) -> None:
        """Record a time as of which the process has all changes.

        Parameters
        ----------
        as_of : float
        platform_s : float or None
            The same time on the clock of the platform, seconds; None if it is not known.
        """
        if as_of > self._as_of:
            if platform_s is not None:
                self._platform_ahead_s = platform_s - as_of
            self._as_of = as_of
            self._overdue_intervals = self.rng.uniform(*OVERDUE_INTERVALS)

    def confirm_by_peer(self, as_of: float, now: float, platform_s: float | None = None) -> None:
        """Record such a time received from a peer."""
        self.record_peer_answer(as_of, now)
        self.confirm(as_of, platform_s)

    def record_peer_answer(self, as_of: float, now: float) -> None:
        """Record that the platform answered a peer, whether or not its changes can be used here."""
        self._peer_confirmed_at = now
        if as_of > self._failed_at:
            # The platform rejected only this process, or has recovered.
            self._record_recovery(as_of)

    def record_answer(
        self, as_of: float, now: float, wait_s: float, platform_s: float | None = None
    ) -> None:
        """Record that the platform answered a request."""
        if not self._has_gap and not self.polls(now) and now >= self._overdue_at(wait_s):
            self._substitutes_until = now + SUBSTITUTE_POLL_S
        self._close_gap()
        self._record_recovery(now)
        self.confirm(as_of, platform_s)

    def _record_recovery(self, now: float) -> None:
        """Record that the platform answers, if it did not before."""
        if self._is_failing:
            # The failure may have lasted until now: there was no answer since it began.
            self._failed_at = now
            self._is_failing = False
            self._repeats_at = float("-inf")

    def record_no_answer(self, now: float) -> None:
        """Record that the platform did not answer a request.

        While peers send updates, retrying at once gains nothing.
        """
        self._failed_at = now
        self._is_failing = True
        if self._has_gap:
            self._asks_at = min(self._asks_at, now)
        if now - self._peer_confirmed_at < POLLER_BACKOFF_S:
            self._backs_off_until = now + POLLER_BACKOFF_S
        if self.processes >= MIN_SPREAD_PROCESSES:
            spread_s = self.processes / FAILED_POLLS_PER_S
            self._repeats_at = now + spread_s * self.rng.uniform(0.5, 1.5)

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation, seconds."""
        return min(now - self._as_of, MAX_AGE_S)

    def steady_s(self, now: float) -> float:
        """Return the time since the platform last failed as far as is known, seconds."""
        return min(now - self._failed_at, MAX_AGE_S)

    def _overdue_at(self, wait_s: float) -> float:
        return self._as_of + self._overdue_intervals * wait_s / POLLERS_PER_TABLE


def poll_wait_s(known_within_s: float, longest_s: float) -> float:
    """Return how long the platform may hold a request for changes of a table, seconds.

    Parameters
    ----------
    known_within_s : float
        Time within which all processes must know a change, seconds. If all pollers fall silent, the
        others query the platform after seven tenths of it at the latest.
    longest_s : float
        Longest wait, whatever that time is, seconds.

    Examples
    --------
    >>> poll_wait_s(2.0, longest_s=2.5), poll_wait_s(10.0, longest_s=2.5)
    (2.4, 2.5)
    """
    return min(WAIT_SHARE * known_within_s, longest_s)


def place_of(table: str, me: str, others: Iterable[str]) -> int:
    """Return the place of a process in the order in which processes poll a table, 0 first."""
    return rank_processes(table, [me, *others]).index(me)


def is_poller(table: str, me: str, others: Iterable[str]) -> bool:
    """Return whether a process is one of the pollers of a table.

    Parameters
    ----------
    table : str
    me : str
        Incarnation of the process.
    others : iterable of str
        Incarnations of the processes that it is connected to.

    Examples
    --------
    >>> names = ["a", "b", "c", "d", "e"]
    >>> sum(is_poller("table", me, set(names) - {me}) for me in names)
    3
    """
    return place_of(table, me, others) < POLLERS_PER_TABLE
