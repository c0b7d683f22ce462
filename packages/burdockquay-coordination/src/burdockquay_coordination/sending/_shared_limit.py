"""The request rate limit of one upstream, as all processes keep it together."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from .._local_stall import LOCAL_STALL_S
from ._cold_start import ANSWER, GRANT_HOLD_S, ColdReport, ColdStart
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


@attrs.frozen
class ColdMessage:
    """A report of coldness on its way to a process."""

    to: str
    report: ColdReport


LimitMessage = NeedMessage | GrantMessage | ColdMessage


@attrs.define
class LimitStep:
    """What one step produced.

    Parameters
    ----------
    messages : list of NeedMessage, GrantMessage or ColdMessage
    own_starts : int
        Starts that this process granted to itself.
    has_new_owner : bool
        Whether this process asks another one than before for starts.
    cold : bool or None
        Whether the upstream has turned cold or warm since the last step; None if neither.
    """

    messages: list[LimitMessage] = attrs.field(factory=list)
    own_starts: int = 0
    has_new_owner: bool = False
    cold: bool | None = None


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

    The narrowest of the stated limit and the rate of a cold start is in force. Only the stated one
    is sent to others, with needs and grants. The end of a cold start is reported once: by a process
    that has seen it in an answer, and by the owner, to all; by others to the owner, which could not
    grant them starts if it took the upstream for warm.

    Attributes
    ----------
    cold : ColdStart
    """

    def __init__(self):
        self.cold = ColdStart()
        self._was_cold = False
        self._is_cold_reported = True
        self._is_warm_reported = True
        self._cold_told_to: str | None = None
        self._cold_corrections: dict[str, ColdReport] = {}
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
    def stated_per_s(self) -> float | None:
        """Limit that the upstream states, requests per second; None if it states none."""
        return self._limit.per_s

    @property
    def owner(self) -> str | None:
        """The process that this one asks for starts."""
        return self._owner

    def per_s(self, now: float) -> float | None:
        """Return the narrowest rate in force, requests per second of all processes together.

        None if the upstream is neither limited nor cold.
        """
        stated, cold = self._limit.per_s, self.cold.per_s(now)
        if stated is None or cold is None:
            return cold if stated is None else stated
        return min(stated, cold)

    def lent_fraction(self, now: float) -> float:
        """Return the part of the limit that this process grants."""
        return self._pool.lent_fraction(now) if self._pool is not None else 0.0

    def binds(self, now: float) -> bool:
        """Return whether the upstream is limited; see :class:`StatementState`."""
        return self.per_s(now) is not None

    def is_active(self, now: float) -> bool:
        """Return whether there is anything to do in a step."""
        has_unsent = bool(self._corrected) or not (self._is_reported and self._is_announced)
        has_unsent |= bool(self._cold_corrections)
        return self._was_cold or self.per_s(now) is not None or has_unsent

    def is_cold_step_due(self, now: float) -> bool:
        """Return whether something was learnt of its cold start since the last step."""
        is_cold = self.cold.binds(now)
        is_reported = self._is_cold_reported and self._is_warm_reported
        return is_cold != self._was_cold or (is_cold and not is_reported)

    def may_start(self, now: float) -> bool:
        """Return whether this process may send a request now."""
        return self.per_s(now) is None or self._account.may_start(now)

    def take(self, rank: int, now: float) -> None:
        """Count a request that is sent.

        Raises
        ------
        ValueError
            If this process may not send one.
        """
        if self.per_s(now) is not None:
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
        if self.per_s(now) is not None:
            self._account.want(rank, count, now)

    def drop_wants(self, now: float) -> None:
        """Record that no request waits any more for a start at this upstream, if it is cold."""
        if self.cold.binds(now):
            self._account.drop_wants()

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
        is_unknown = self.stated_per_s is None and message.per_s is not None
        if message.observed or (is_unknown and now - self._ended_at > ENDED_RETENTION_S):
            change = self._limit.apply_peer(message.per_s, now)
            if change is not None:
                self._is_announced = False
                self._on_change(now)
        elif is_unknown:
            self._corrected.add(member)
        if not message.need.answers and self.cold.binds(now):
            # A process lends its share only to an owner that has answered since the upstream turned
            # cold. The next renewal may be seconds away.
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
        if self.per_s(now) is None:
            return change, False
        return change, self._receive_starts(owner, message.grant, processes, now)

    def learn_cold(self, remaining_s: float, now: float) -> None:
        """Apply the cold time that an answer of the upstream states."""
        if self.cold.learn(remaining_s, now):
            self._on_cold(now)

    def learn_listed(self, cold_s: float, row: int, now: float) -> None:
        """Apply a row of the list; see :meth:`ColdStart.learn_listed`."""
        if self.cold.learn_listed(cold_s, row, now):
            self._on_cold(now)

    def learn_warm(self, sent_at: float, now: float) -> None:
        """Apply an answer, to a request sent at a time, that states that the upstream is warm."""
        was_cold = self.cold.binds(now)
        if self.cold.learn_warm(sent_at) and was_cold:
            self._is_warm_reported = False

    def receive_cold(self, sender: str, report: ColdReport, now: float, source: str) -> None:
        """Apply the report of another process.

        The owner passes only the first one on: two owners could go on to repeat the reports of each
        other.

        Parameters
        ----------
        sender : str
            Incarnation of that process.
        report : ColdReport
        now : float
        source : str
            VM of that process.
        """
        was_cold = self.cold.binds(now)
        correction = self.cold.correction(report, now)
        if correction is not None:
            self._cold_corrections[sender] = correction
        elif self.cold.receive(report, now, source) and not was_cold:
            self._on_cold(now)

    def step(self, fleet: Fleet, now: float) -> LimitStep:
        """Return the messages that are due, and grant starts to this process."""
        step = LimitStep()
        interval_s = share_interval_s(fleet.processes or 1)
        timeout_s = OWNER_TIMEOUT_RENEWALS * interval_s
        owner = self._selector.choose(fleet.ranked, fleet.me, timeout_s, now)
        step.has_new_owner = owner != self._owner
        self._owner = owner
        self._account.set_owner(self._owner)
        self._note_cold(step, now)
        self._report_cold(fleet, step, now)
        self._send_need(fleet, step, now)
        self._grant(fleet, step, now)
        self._announce(fleet, step, interval_s, now)
        return step

    def due_at(self, now: float) -> float:
        """Return when the next step is due."""
        granting_s = self._pool.due_in_s(now) if self._pool is not None else float("inf")
        cold_until = self.cold.until if self.cold.binds(now) else float("inf")
        return min(
            cold_until,
            self._account.need_due_at(now),
            self._renewal_due_at if self._owner is not None else now,
            now + granting_s,
            now + MAX_STEP_INTERVAL_S,
        )

    def _note_cold(self, step: LimitStep, now: float) -> None:
        """Apply that the upstream has turned cold, or warm by the passing of time."""
        is_cold = self.cold.binds(now)
        if is_cold == self._was_cold:
            return
        self._was_cold = step.cold = is_cold
        if not is_cold:
            self._clear_unless_limited(now)

    def _report_cold(self, fleet: Fleet, step: LimitStep, now: float) -> None:
        messages = [ColdMessage(*item) for item in self._cold_corrections.items()]
        self._cold_corrections.clear()
        others = [name for name in fleet.ranked if name != fleet.me]
        if not self._is_warm_reported:
            self._is_warm_reported = True
            messages += [ColdMessage(name, ColdReport(0.0)) for name in others]
        is_due, self._is_cold_reported = not self._is_cold_reported, True
        recipients: Sequence[str] = ()
        if is_due and (self.cold.source == ANSWER or self._owner == fleet.me):
            recipients = others
        elif self._owner not in (fleet.me, self._cold_told_to):
            recipients = [self._owner]
        if recipients and (reports := self.cold.reports(now)):
            self._cold_told_to = self._owner
            messages += [ColdMessage(name, report) for name in recipients for report in reports]
        step.messages += messages

    def _on_cold(self, now: float) -> None:
        self._cold_told_to = None
        self._is_cold_reported = False
        if not self._was_cold:
            # Starts at the wider rate that are still held would come on top of those granted now.
            self._account.drop_starts()

    def _receive_starts(
        self, owner: str, grant: StartGrant, processes: int | None, now: float
    ) -> bool:
        hold_s = GRANT_HOLD_S if self.cold.binds(now) else None
        return self._account.receive_grant(owner, grant, processes or 1, now, hold_s)

    def _send_need(self, fleet: Fleet, step: LimitStep, now: float) -> None:
        if self._owner == fleet.me:
            if not self._is_reported:
                self._is_reported, self._is_announced = True, False
            if self.per_s(now) is None:
                return
            self._receive_starts(fleet.me, StartGrant(0, now, now), fleet.processes, now)
            need = self._account.compose_need(fleet.processes, now)
            if need is not None:
                self._open_pool(now).receive_need(fleet.me, need, now)
            return
        need = self._account.compose_need(fleet.processes, now, is_forced=not self._is_reported)
        if need is not None and self.is_active(now):
            observed, self._is_reported = not self._is_reported, True
            step.messages.append(NeedMessage(self._owner, self.stated_per_s, observed, need))

    def _grant(self, fleet: Fleet, step: LimitStep, now: float) -> None:
        per_s = self.per_s(now)
        if self._pool is None or per_s is None:
            return
        for name, grant in self._pool.grant(per_s, now).items():
            if name == fleet.me:
                self._receive_starts(fleet.me, grant, fleet.processes, now)
                step.own_starts += grant.starts
            else:
                step.messages.append(GrantMessage(name, self.stated_per_s, grant))

    def _announce(self, fleet: Fleet, step: LimitStep, interval_s: float, now: float) -> None:
        """Send the limit to all processes: at once after a change, and at regular intervals."""
        recipients: Sequence[str] = list(self._corrected)
        self._corrected.clear()
        is_renewal = now >= self._renewal_due_at and self.per_s(now) is not None
        if is_renewal:
            self._drop_unused_pool(now)
        grants_to_others = self._owner == fleet.me or self._pool is not None
        if not self._is_announced or (is_renewal and grants_to_others):
            recipients = [name for name in fleet.ranked if name != fleet.me]
        if is_renewal or not self._is_announced:
            self._renewal_due_at = now + interval_s
        self._is_announced = True
        for name in recipients:
            step.messages.append(GrantMessage(name, self.stated_per_s, StartGrant(0, 0.0, now)))

    def _drop_unused_pool(self, now: float) -> None:
        if self._pool is not None:
            self._pool.forget_silent(now)
            if not self._pool.is_used:
                self._pool = None

    def _on_change(self, now: float) -> None:
        if self.stated_per_s is None:
            self._ended_at = now
            self._clear_unless_limited(now)

    def _clear_unless_limited(self, now: float) -> None:
        if self.per_s(now) is None:
            self._account.clear()
            if self._pool is not None:
                self._pool.clear()

    def _open_pool(self, now: float) -> StartPool:
        if self._pool is None:
            self._pool = StartPool(now)
        return self._pool
