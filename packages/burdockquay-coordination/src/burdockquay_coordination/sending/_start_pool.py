"""Who may start requests at an upstream that limits the requests of all processes together.

Each process has a right to an even share of the limit. It lends its share to one process, the owner
of the upstream's limit, which grants single starts to the processes that need them. A share is lent
to one owner at a time and for a limited time, so that the shares in use never exceed the limit,
whichever processes are cut off, freeze, or take each other for the owner.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Mapping

import attrs

from ._start_bucket import StartBucket

MIN_INTERVAL_S = 0.25
"""Shortest time between two messages that only renew something, seconds."""

RENEWALS_PER_S = 100
"""Renewals of shares that an owner receives per second; the more processes there are, the less
often each of them renews."""

NEEDS_PER_S = 400
"""The same for the renewals of needs."""

SHARE_RENEWALS = 3
"""Intervals for which a share is lent."""

NEED_VALIDITY = 1.2
"""Intervals for which an owner grants starts for a need."""

GRANT_DELAY_S = 0.25
"""Time beyond the validity of a need after which a start granted for it lapses, seconds."""

MIN_FRACTION = 0.2
"""Smallest part of all shares with which an owner grants starts. At most five owners have as much;
with more, the first start of each would exceed the limit together."""

LENT_FACTOR = 1.15
"""Factor on the lent part of the limit, up to the whole limit: an owner that lacks a few processes
still grants the whole limit. Two owners exceed it by this factor at the most."""

WANT_S = 0.25
"""Time for which a request that another upstream has taken still counts as wanting a start,
seconds: the next one of its class may use it."""

MAX_PASSED_OVER = 20
"""Starts of more urgent requests after which a rank that wants a start gets one."""


def share_interval_s(processes: int) -> float:
    """Return the time between two renewals of a share, seconds."""
    return max(MIN_INTERVAL_S, processes / RENEWALS_PER_S)


def need_interval_s(processes: int) -> float:
    """Return the time between two renewals of a need, seconds."""
    return max(MIN_INTERVAL_S, processes / NEEDS_PER_S)


@attrs.frozen
class StartNeed:
    """What a process needs of the owner of a limit, and what it lends.

    Parameters
    ----------
    wanted : mapping of int to int
        Number of requests that want a start, by rank; rank 0 is the most urgent.
    sent_at : float
        Time on the sender's clock, which the owner's grants name.
    share : float
        Part of the limit that the sender lends; 0 if it lends none.
    answers : float
        Time on the owner's clock that the owner's latest message named.
    processes : int
        Number of processes that the sender knows.
    """

    wanted: Mapping[int, int]
    sent_at: float
    share: float
    answers: float
    processes: int


@attrs.frozen
class StartGrant:
    """Starts that an owner grants to a process; none if it only asks for the share again.

    Parameters
    ----------
    starts : int
    need_sent_at : float
        ``sent_at`` of the need that the starts are granted for.
    sent_at : float
        Time on the owner's clock.
    """

    starts: int
    need_sent_at: float
    sent_at: float


class StartAccount:
    """Starts that this process holds at one upstream, its wants, and where its share is lent."""

    def __init__(self):
        self._starts: deque[float] = deque()
        self._wanted: dict[int, tuple[int, float]] = {}
        self._owner: str | None = None
        self._owner_sent_at: float | None = None
        self._lent_to: str | None = None
        self._lent_until = float("-inf")
        self._need_due_at = float("-inf")
        self._has_unsent_want = False
        self._has_unsent_end = False

    def may_start(self, now: float) -> bool:
        """Return whether this process holds a start."""
        while self._starts and self._starts[0] <= now:
            self._starts.popleft()
        return bool(self._starts)

    def take(self, rank: int, now: float) -> None:
        """Use a start for a request.

        Raises
        ------
        ValueError
            If none is held.
        """
        if not self.may_start(now):
            raise ValueError("expected a start to be held")
        self._starts.popleft()
        count, until = self._wanted.get(rank, (0, 0.0))
        if count > 1:
            self._wanted[rank] = (count - 1, until)
        else:
            self._wanted.pop(rank, None)

    def want(self, rank: int, count: int, now: float) -> None:
        """Record that requests want a start, those that wait now included."""
        if rank not in self.wanted(now):
            self._has_unsent_want = True
        self._wanted[rank] = (count, now + WANT_S)

    def drop_wants(self) -> None:
        """Forget the wants, since nothing waits any more; the next need says so at once.

        The owner would otherwise grant starts that nobody uses until the need is not valid any
        more, which with many processes takes longer than most requests wait.
        """
        self._has_unsent_end = bool(self._wanted)
        self._has_unsent_want = False
        self._wanted.clear()

    def wanted(self, now: float) -> dict[int, int]:
        """Return the number of requests that want a start, by rank."""
        return {rank: count for rank, (count, until) in self._wanted.items() if now < until}

    def set_owner(self, owner: str | None) -> None:
        """Set the process whose grants this one asks for."""
        if owner != self._owner:
            self._owner = owner
            self._owner_sent_at = None
            self._need_due_at = float("-inf")

    def need_due_at(self, now: float) -> float:
        """Return when the next need is due."""
        return now if self._has_unsent_want or self._has_unsent_end else self._need_due_at

    def compose_need(
        self, processes: int | None, now: float, is_forced: bool = False
    ) -> StartNeed | None:
        """Return the need for the owner, None if none is due.

        Parameters
        ----------
        processes : int or None
            Number of processes; None if it is unknown, so that the share is too.
        now : float
        is_forced : bool
            Whether it is due in any case.
        """
        is_due = is_forced or now >= self.need_due_at(now)
        if self._owner is None or not is_due:
            return None
        wanted = self.wanted(now)
        count = processes or 1
        interval_s = need_interval_s(count) if wanted else share_interval_s(count)
        self._need_due_at = now + interval_s
        self._has_unsent_want = self._has_unsent_end = False
        share = 0.0 if processes is None else self._lend(processes, now)
        return StartNeed(wanted, now, share, self._owner_sent_at or 0.0, count)

    def receive_grant(
        self,
        owner: str,
        grant: StartGrant,
        processes: int,
        now: float,
        hold_s: float | None = None,
    ) -> bool:
        """Apply a grant; return whether this process holds more starts than before.

        Parameters
        ----------
        hold_s : float or None
            Longest time for which its starts are held from now on, seconds; None if only the
            validity of the need bounds it.
        """
        if owner == self._owner:
            if self._owner_sent_at is None:
                # The share can be lent from now on.
                self._need_due_at = now
            self._owner_sent_at = grant.sent_at
        valid_s = NEED_VALIDITY * need_interval_s(processes) + GRANT_DELAY_S
        until = grant.need_sent_at + valid_s
        if hold_s is not None:
            until = min(until, now + hold_s)
        if not grant.starts or until <= now:
            return False
        self._starts.extend([until] * grant.starts)
        return True

    def drop_starts(self) -> None:
        """Forget the starts that are held."""
        self._starts.clear()

    def clear(self) -> None:
        """Forget starts and wants when the limit has ended; a lent share stays lent."""
        self._starts.clear()
        self._wanted.clear()
        self._has_unsent_want = False

    def _lend(self, processes: int, now: float) -> float:
        """Return the share that is lent to the owner from now on, 0 if none can be lent."""
        if self._owner_sent_at is None:
            return 0.0
        if self._lent_to != self._owner and now < self._lent_until:
            return 0.0
        self._lent_to = self._owner
        self._lent_until = now + SHARE_RENEWALS * share_interval_s(processes)
        return 1.0 / processes


@attrs.define
class _Member:
    """A process that asks this one for starts."""

    sent_at: float
    received_at: float
    need_validity_s: float
    share: float = 0.0
    lent_until: float = float("-inf")

    def is_need_valid(self, now: float) -> bool:
        return now - self.received_at <= self.need_validity_s


class _RankQueue:
    """Processes that want starts for requests of one rank, in the order in which they get them."""

    def __init__(self):
        self.passed_over = 0
        self._counts: OrderedDict[str, int] = OrderedDict()

    def __bool__(self) -> bool:
        return bool(self._counts)

    def set_count(self, member: str, count: int) -> None:
        """Set the number of requests of a process; it keeps its turn."""
        if count > 0:
            self._counts[member] = count
        else:
            self._counts.pop(member, None)

    def first(self) -> str:
        """Return the process whose turn it is."""
        return next(iter(self._counts))

    def take(self) -> str:
        """Return the process whose turn it is, and count one start for it."""
        member, count = self._counts.popitem(last=False)
        self.passed_over = 0
        if count > 1:
            self._counts[member] = count - 1
        return member

    def clear(self) -> None:
        """Remove all processes."""
        self._counts.clear()


class StartPool:
    """Starts that this process grants as the owner of a limit.

    The most urgent requests go first, and among processes with equally urgent ones each has its
    turn. Now and then a start goes to a rank that others keep waiting, so that no class is starved.

    Examples
    --------
    >>> pool = StartPool(now=0.0)
    >>> pool.receive_need("a", StartNeed({0: 1}, 10.0, share=1.0, answers=0.0, processes=1), 0.0)
    >>> pool.grant(10.0, now=0.1), pool.grant(10.0, now=0.25)
    ({}, {'a': StartGrant(starts=1, need_sent_at=10.0, sent_at=0.25)})
    """

    def __init__(self, now: float):
        self._bucket = StartBucket(now)
        self._members: dict[str, _Member] = {}
        self._ranks: dict[int, _RankQueue] = {}
        self._lent = 0.0
        self._lent_valid_until = float("-inf")

    @property
    def is_used(self) -> bool:
        """Whether a process lends a share or wants something."""
        return bool(self._members)

    def receive_need(self, member: str, need: StartNeed, now: float) -> None:
        """Apply the need of a process."""
        known = self._members.get(member)
        entry = _Member(need.sent_at, now, NEED_VALIDITY * need_interval_s(need.processes))
        if need.share:
            entry.share = need.share
            # Counted from when this process asked for the share, which was before it was lent.
            asked_at = min(need.answers, now)
            entry.lent_until = asked_at + SHARE_RENEWALS * share_interval_s(need.processes)
        elif known is not None:
            entry.share, entry.lent_until = known.share, known.lent_until
        if known is None or known.share != entry.share or now >= known.lent_until:
            self._lent_valid_until = float("-inf")
        self._members[member] = entry
        for rank in need.wanted.keys() | self._ranks.keys():
            queue = self._ranks.setdefault(rank, _RankQueue())
            queue.set_count(member, need.wanted.get(rank, 0))

    def lent_fraction(self, now: float) -> float:
        """Return the part of all shares that is lent to this process."""
        if now >= self._lent_valid_until:
            lent = [item for item in self._members.values() if now < item.lent_until]
            self._lent = min(1.0, sum(item.share for item in lent))
            self._lent_valid_until = min((item.lent_until for item in lent), default=now)
        return self._lent

    def grant(self, per_s: float, now: float) -> dict[str, StartGrant]:
        """Return the starts granted now, by process.

        Parameters
        ----------
        per_s : float
            The limit.
        now : float
        """
        self._bucket.set_rate(self._rate(per_s, now), now)
        granted: dict[str, int] = {}
        while self._bucket.available(now) >= 1.0:
            chosen = self._choose(now)
            if chosen is None:
                break
            self._bucket.take(now)
            granted[chosen] = granted.get(chosen, 0) + 1
        return {
            name: StartGrant(count, self._members[name].sent_at, now)
            for name, count in granted.items()
        }

    def due_in_s(self, now: float) -> float:
        """Return the time until a start can be granted, seconds; infinite if nobody wants one."""
        self._drop_outdated(now)
        return self._bucket.wait_s(now) if any(self._ranks.values()) else float("inf")

    def forget_silent(self, now: float) -> None:
        """Forget processes that neither lend a share nor want anything."""
        self._members = {
            name: item
            for name, item in self._members.items()
            if now < item.lent_until or item.is_need_valid(now)
        }

    def clear(self) -> None:
        """Forget the needs when the limit has ended; what was lent stays counted."""
        for queue in self._ranks.values():
            queue.clear()

    def _rate(self, per_s: float, now: float) -> float:
        lent = self.lent_fraction(now)
        return per_s * min(1.0, LENT_FACTOR * lent) if lent >= MIN_FRACTION else 0.0

    def _choose(self, now: float) -> str | None:
        """Return the process that gets the next start, and count it."""
        self._drop_outdated(now)
        waiting = sorted(rank for rank, queue in self._ranks.items() if queue)
        if not waiting:
            return None
        passed = [rank for rank in waiting if self._ranks[rank].passed_over >= MAX_PASSED_OVER]
        chosen = passed[0] if passed else waiting[0]
        for rank in waiting:
            self._ranks[rank].passed_over += rank > chosen
        return self._ranks[chosen].take()

    def _drop_outdated(self, now: float) -> None:
        """Drop the first processes of each rank whose needs are not valid any more."""
        for queue in self._ranks.values():
            while queue and not self._is_need_valid(queue.first(), now):
                queue.set_count(queue.first(), 0)

    def _is_need_valid(self, member: str, now: float) -> bool:
        entry = self._members.get(member)
        return entry is not None and entry.is_need_valid(now)
