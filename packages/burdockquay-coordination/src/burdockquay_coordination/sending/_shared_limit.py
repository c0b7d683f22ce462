"""The request rate limit of one upstream, as all processes keep it together."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from .._local_stall import LOCAL_STALL_S
from ._rate_limit import RateLimit
from ._start_pool import StartAccount, StartGrant, StartNeed, StartPool, share_interval_s
from ._statements import StatementChange, StatementReading

ENDED_RETENTION_S = 60.0
"""Time for which a process remembers that a limit has ended, seconds: one that was cut off
meanwhile still asks for starts."""

OWNER_TIMEOUT_RENEWALS = 2.5
"""Intervals without a message after which a process takes another one for the owner."""

MAX_STEP_INTERVAL_S = 0.25
"""Longest time between two steps while the upstream is limited, seconds."""


@attrs.frozen
class Fleet:
    """The processes that keep a limit together, as one of them knows them.

    Parameters
    ----------
    me : str
        Incarnation of this process.
    ranked : sequence of str
        Connected processes and this one, in the order in which they own the limit.
    processes : int or None
        Number of all processes; None if it is not known yet.
    """

    me: str
    ranked: Sequence[str]
    processes: int | None


@attrs.frozen
class NeedMessage:
    """A need on its way to the owner, with what its sender knows of the limit.

    Parameters
    ----------
    to : str
    per_s : float or None
    observed : bool
        Whether an answer to the sender has just changed the limit.
    need : StartNeed
    """

    to: str
    per_s: float | None
    observed: bool
    need: StartNeed


@attrs.frozen
class GrantMessage:
    """A grant on its way to a process, with the limit as the sender knows it."""

    to: str
    per_s: float | None
    grant: StartGrant


@attrs.define
class LimitStep:
    """What one step produced.

    Parameters
    ----------
    messages : list of NeedMessage or GrantMessage
    own_starts : int
        Starts that this process granted to itself.
    has_new_owner : bool
        Whether this process asks another one than before for starts.
    """

    messages: list[NeedMessage | GrantMessage] = attrs.field(factory=list)
    own_starts: int = 0
    has_new_owner: bool = False


class OwnerSelector:
    """Chooses the owner of a limit: the first connected process that is not silent.

    A process that was silent for too long is passed over until it sends something again. An owner
    sends the limit to all processes, so that a frozen one is taken back soon after it goes on.

    Examples
    --------
    >>> selector = OwnerSelector()
    >>> [selector.choose(["a", "b"], "b", 0.6, now) for now in (0.0, 0.25, 0.5, 0.75)]
    ['a', 'a', 'a', 'b']
    >>> selector.record_message("a", 0.8)
    >>> selector.choose(["a", "b"], "b", 0.6, 0.9)
    'a'
    """

    def __init__(self):
        self._silent: set[str] = set()
        self._chosen: str | None = None
        self._received_at = float("-inf")
        self._checked_at = float("-inf")

    def record_message(self, name: str, now: float) -> None:
        """Record that a process has sent the limit."""
        self._silent.discard(name)
        if name == self._chosen:
            self._received_at = now

    def choose(self, ranked: Sequence[str], me: str, timeout_s: float, now: float) -> str:
        """Return the owner.

        Parameters
        ----------
        ranked : sequence of str
            Candidates in order of preference; this process is one of them.
        me : str
        timeout_s : float
            Time without a message after which a process is silent, seconds.
        now : float
        """
        if now - self._checked_at > LOCAL_STALL_S:
            # This process itself stalled, and may not have read what others sent meanwhile.
            self._received_at = now
        self._checked_at = now
        for name in ranked:
            if name in self._silent:
                continue
            if name != self._chosen:
                self._chosen = name
                self._received_at = now
            elif name != me and now - self._received_at > timeout_s:
                self._silent.add(name)
                continue
            return name
        return me


class SharedLimit:
    """The limit of one upstream at one process, which may be its owner.

    The owner is the first connected process in an order that is the same at all; nobody elects it.
    Every process also grants starts to those that take it for the owner, out of the shares that
    they lend.
    """

    def __init__(self):
        self._limit = RateLimit()
        self._account = StartAccount()
        self._pool: StartPool | None = None
        self._selector = OwnerSelector()
        self._owner: str | None = None
        self._is_reported = True
        self._is_announced = True
        self._corrected: set[str] = set()
        self._renewal_due_at = float("-inf")
        self._ended_at = float("-inf")

    @property
    def per_s(self) -> float | None:
        """Requests per second of all processes together; None if the upstream is not limited."""
        return self._limit.per_s

    @property
    def owner(self) -> str | None:
        """The process that this one asks for starts."""
        return self._owner

    def lent_fraction(self, now: float) -> float:
        """Return the part of the limit that this process grants."""
        return self._pool.lent_fraction(now) if self._pool is not None else 0.0

    def binds(self, now: float) -> bool:
        """Return whether the upstream is limited; see :class:`StatementState`."""
        return self.per_s is not None

    def is_active(self) -> bool:
        """Return whether there is anything to do in a step."""
        has_unsent = bool(self._corrected) or not (self._is_reported and self._is_announced)
        return self.per_s is not None or has_unsent

    def may_start(self, now: float) -> bool:
        """Return whether this process may send a request now."""
        return self._limit.per_s is None or self._account.may_start(now)

    def take(self, rank: int, now: float) -> None:
        """Count a request that is sent.

        Raises
        ------
        ValueError
            If this process may not send one.
        """
        if self.per_s is not None:
            self._account.take(rank, now)

    def want(self, rank: int, count: int, now: float) -> None:
        """Record that requests could be sent, if this process were granted starts.

        Parameters
        ----------
        rank : int
            Rank of the requests; 0 is the first.
        count : int
            Number of requests of this rank that wait.
        now : float
        """
        if self.per_s is not None:
            self._account.want(rank, count, now)

    def record_answer(
        self, reading: StatementReading, sent_at: float, now: float
    ) -> StatementChange | None:
        """Apply an answer of the upstream; see :meth:`RateLimit.record_answer`."""
        change = self._limit.record_answer(reading, sent_at, now)
        if change is not None:
            self._is_reported = False
            self._on_change(now)
        return change

    def receive_need(self, member: str, message: NeedMessage, now: float) -> StatementChange | None:
        """Apply the need of a process that takes this one for the owner."""
        change = None
        is_unknown = self.per_s is None and message.per_s is not None
        if message.observed or (is_unknown and now - self._ended_at > ENDED_RETENTION_S):
            change = self._limit.apply_peer(message.per_s, now)
            if change is not None:
                self._is_announced = False
                self._on_change(now)
        elif is_unknown:
            self._corrected.add(member)
        self._open_pool(now).receive_need(member, message.need, now)
        return change

    def receive_grant(
        self, owner: str, message: GrantMessage, processes: int | None, now: float
    ) -> tuple[StatementChange | None, bool]:
        """Apply a grant; return the change of the limit, and whether there are more starts."""
        self._selector.record_message(owner, now)
        change = self._limit.apply_peer(message.per_s, now)
        if change is not None:
            self._on_change(now)
        if self.per_s is None:
            return change, False
        return change, self._account.receive_grant(owner, message.grant, processes or 1, now)

    def step(self, fleet: Fleet, now: float) -> LimitStep:
        """Return the messages that are due, and grant starts to this process."""
        step = LimitStep()
        interval_s = share_interval_s(fleet.processes or 1)
        timeout_s = OWNER_TIMEOUT_RENEWALS * interval_s
        owner = self._selector.choose(fleet.ranked, fleet.me, timeout_s, now)
        step.has_new_owner = owner != self._owner
        self._owner = owner
        self._account.set_owner(self._owner)
        self._send_need(fleet, step, now)
        self._grant(fleet, step, now)
        self._announce(fleet, step, interval_s, now)
        return step

    def due_at(self, now: float) -> float:
        """Return when the next step is due."""
        granting_s = self._pool.due_in_s(now) if self._pool is not None else float("inf")
        return min(
            self._account.need_due_at(now),
            self._renewal_due_at if self._owner is not None else now,
            now + granting_s,
            now + MAX_STEP_INTERVAL_S,
        )

    def _send_need(self, fleet: Fleet, step: LimitStep, now: float) -> None:
        if self._owner == fleet.me:
            if not self._is_reported:
                self._is_reported, self._is_announced = True, False
            if self.per_s is None:
                return
            self._account.receive_grant(
                fleet.me, StartGrant(0, now, now), fleet.processes or 1, now
            )
            need = self._account.compose_need(fleet.processes, now)
            if need is not None:
                self._open_pool(now).receive_need(fleet.me, need, now)
            return
        need = self._account.compose_need(fleet.processes, now, is_forced=not self._is_reported)
        if need is not None and self.is_active():
            observed, self._is_reported = not self._is_reported, True
            step.messages.append(NeedMessage(self._owner, self.per_s, observed, need))

    def _grant(self, fleet: Fleet, step: LimitStep, now: float) -> None:
        if self._pool is None or self.per_s is None:
            return
        for name, grant in self._pool.grant(self.per_s, now).items():
            if name == fleet.me:
                self._account.receive_grant(fleet.me, grant, fleet.processes or 1, now)
                step.own_starts += grant.starts
            else:
                step.messages.append(GrantMessage(name, self.per_s, grant))

    def _announce(self, fleet: Fleet, step: LimitStep, interval_s: float, now: float) -> None:
        """Send the limit to all processes: at once after a change, and at regular intervals."""
        recipients: Sequence[str] = list(self._corrected)
        self._corrected.clear()
        is_renewal = now >= self._renewal_due_at and self.per_s is not None
        if is_renewal:
            self._drop_unused_pool(now)
        grants_to_others = self._owner == fleet.me or self._pool is not None
        if not self._is_announced or (is_renewal and grants_to_others):
            recipients = [name for name in fleet.ranked if name != fleet.me]
        if is_renewal or not self._is_announced:
            self._renewal_due_at = now + interval_s
        self._is_announced = True
        for name in recipients:
            step.messages.append(GrantMessage(name, self.per_s, StartGrant(0, 0.0, now)))

    def _drop_unused_pool(self, now: float) -> None:
        if self._pool is not None:
            self._pool.forget_silent(now)
            if not self._pool.is_used:
                self._pool = None

    def _on_change(self, now: float) -> None:
        if self.per_s is None:
            self._ended_at = now
            self._account.clear()
            if self._pool is not None:
                self._pool.clear()

    def _open_pool(self, now: float) -> StartPool:
        if self._pool is None:
            self._pool = StartPool(now)
        return self._pool
