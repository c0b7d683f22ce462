"""Scheduling of the requests that run on the upstream of one slot."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from burdockquay_protocol import ClassDemand, ErrorKind
from burdockquay_state import ClassRecord, PolicyRecord

from ._contention import Contention, WorkSource
from ._demands import DemandTracker
from ._places import AcceptedAttempt, AttemptState, PlaceTable
from ._preemption import choose_victims
from ._shares import ShareLedger
from ._slot_queue import SlotQueue, attempt_name
from ._types import PlaceGrant, SlotCounts, Work

GRANT_VALID_S = 0.1
"""Time for which a granted place stays reserved for the entry, seconds."""


class SlotScheduler:
    """Scheduler of the places (concurrent requests) of one upstream.

    Parameters
    ----------
    places : int
        Requests that the upstream runs concurrently.
    classes : mapping of str to ClassRecord
    weights : mapping of str to float
        Weights of the organisations.
    policy : PolicyRecord
    can_pause : bool
        Whether the upstream can pause and resume a request.
    grant_valid_s : float
        Time for which a granted place stays reserved, seconds.

    Attributes
    ----------
    protected_shed : int
        Protected attempts that were rejected although lower work could have been paused. Always
        0; any other value is a fault of this class and is reported as a metric.

    Notes
    -----
    After every event call :meth:`next_pause`, :meth:`next_start`, :meth:`next_resume` and
    :meth:`next_grant` repeatedly until all four return None in a row, because the result of one can
    make another possible.

    Only protected work preempts. Preemption by every higher class is no alternative: under lasting
    overload some higher class always waits, so lower answers would be paused at once and for a long
    time, and their time between tokens would be far above its target.
    """

    def __init__(
        self,
        places: int,
        classes: Mapping[str, ClassRecord],
        weights: Mapping[str, float],
        policy: PolicyRecord,
        can_pause: bool = True,
        grant_valid_s: float = GRANT_VALID_S,
    ):
        self.policy = policy
        self.grant_valid_s = grant_valid_s
        self.protected_shed = 0
        self._ledger = ShareLedger(classes)
        self._demands = DemandTracker()
        self._places = PlaceTable(places)
        self._places.configure(places, classes, policy.reserve)
        self.can_pause = can_pause
        self._queue = SlotQueue(policy.queue, classes, weights)
        self._contention = Contention(self._places, self._queue, self._demands, self._ledger)
        self._grants_issued = 0

    @property
    def can_pause(self) -> bool:
        """Whether the upstream can pause and resume a request."""
        return self._can_pause

    @can_pause.setter
    def can_pause(self, value: bool) -> None:
        self._can_pause = value
        self._places.can_pause = value and self.policy.preemption

    def configure(
        self,
        places: int,
        classes: Mapping[str, ClassRecord],
        weights: Mapping[str, float],
        policy: PolicyRecord,
        now: float,
    ) -> None:
        """Apply a new configuration; running and queued work is kept."""
        self._ledger.configure(classes, in_use=self._contention.classes | self._places.classes)
        self._queue.configure(policy.queue, classes, weights, now)
        self.policy = policy
        self._places.configure(places, self._ledger.classes, policy.reserve)
        self.can_pause = self._can_pause
        self._update_active_classes()

    def set_demand(self, peer: str, demands: Iterable[ClassDemand], now: float) -> None:
        """Set the demand of an entry, replacing its previous demand message."""
        granted: dict[str, int] = {}
        for grant in self._places.grants.values():
            if grant.peer == peer:
                granted[grant.class_name] = granted.get(grant.class_name, 0) + 1
        self._demands.replace(peer, demands, granted, now)
        self._update_active_classes()

    def forget_peer(self, peer: str, now: float) -> list[Work]:
        """Drop everything of a disconnected entry except what is on the upstream.

        Returns
        -------
        list of Work
            Its attempts, also those on the upstream. The caller cancels the latter there; they keep
            their places until :meth:`finish`, because until then they use the upstream.
        """
        self._demands.forget(peer)
        for grant in [one for one in self._places.grants.values() if one.peer == peer]:
            self._places.drop_grant(grant.grant)
        ready = [accepted.work for accepted in self._places.in_state(AttemptState.READY)]
        waiting = [work for work in ready if work.peer == peer] + self._queue.of_peer(peer)
        for work in waiting:
            self.finish(work.request, work.attempt, now)
        self._update_active_classes()
        return waiting + [work for work in self.running(now) if work.peer == peer]

    def offer(self, work: Work, grant: int, now: float) -> Result[None, ErrorKind]:
        """Accept or reject work.

        Parameters
        ----------
        grant : int
            Grant that the entry uses, 0 for none.

        Returns
        -------
        Result of None or ErrorKind
            ``NO_PLACE`` if there is neither a valid grant, nor a free place that no other waiting
            class has precedence for, nor a lower request that can be paused, nor a queue in the
            slot. The work then certainly did not run.

        Raises
        ------
        ValueError
            If the slot already has the attempt.
        """
        self._expire_grants(now)
        if self._has_attempt(work):
            raise ValueError(f"expected a new attempt, got {work.request}/{work.attempt} again")
        has_place = self._use_grant(work, grant) or self._take_free_place(work, now)
        if has_place and self._is_blocked_suspect(work):
            self._queue.add_suspect(work)
        elif has_place:
            self._places.add(work, now)
        elif self._can_preempt_for(work, now) or self.policy.binding == "slot_queue":
            self._queue.add(work, now)
        else:
            self._count_avoidable_rejection(work, now)
            return Err(ErrorKind.NO_PLACE)
        self._update_active_classes()
        return Ok(None)

    def next_start(self, now: float) -> Work | None:
        """Return work to send upstream now, and mark it as running."""
        for accepted in self._places.in_state(AttemptState.READY):
            self._places.run(accepted, now)
            return accepted.work
        work = self._startable_suspect() or self._startable_work(now)
        if work is None:
            return None
        self._queue.discard(attempt_name(work.request, work.attempt), now)
        self._places.run(self._places.add(work, now), now)
        self._update_active_classes()
        return work

    def next_pause(self, now: float) -> Work | None:
        """Return running work to pause on the upstream, and free its place."""
        claimed = 0
        for record, count in self._contention.protected_waiting():
            claimed += count
            if claimed > self._free_for(record):
                victims = self._victims(record, now)
                if victims:
                    self._places.pause(victims[0], now)
                    self._update_active_classes()
                    return victims[0].work
        return None

    def next_resume(self, now: float) -> Work | None:
        """Return paused work to resume on the upstream, and mark it as running."""
        class_name = self._choose_class_from(WorkSource.PAUSED, now)
        if class_name is None:
            return None
        accepted = self._contention.paused(class_name)[0]
        self._places.run(accepted, now)
        self._update_active_classes()
        return accepted.work

    def next_grant(self, now: float) -> PlaceGrant | None:
        """Return a grant to send to its entry; its place stays reserved until it expires."""
        self._expire_grants(now)
        class_name = self._choose_class_from(WorkSource.DEMAND, now)
        if class_name is None:
            return None
        self._grants_issued += 1
        peer = self._demands.take(class_name, now)
        grant = PlaceGrant(self._grants_issued, peer, class_name, now + self.grant_valid_s)
        self._places.add_grant(grant)
        self._update_active_classes()
        return grant

    def return_grant(self, grant: int, now: float) -> None:
        """Free the place of a grant that its entry has returned unused."""
        self._places.drop_grant(grant)

    def finish(self, request: str, attempt: int, now: float) -> bool:
        """Remove an attempt that has ended, failed or been cancelled.

        Returns
        -------
        bool
            Whether the slot had it.
        """
        was_placed = self._places.drop((request, attempt)) is not None
        queued = self._queue.discard(attempt_name(request, attempt), now)
        self._update_active_classes()
        return was_placed or queued

    def charge(self, request: str, attempt: int, tokens: float, now: float) -> None:
        """Charge tokens generated by an attempt; unknown attempts are ignored."""
        accepted = self._places.attempts.get((request, attempt))
        if accepted is not None:
            self._ledger.charge(accepted.work.class_name, tokens)
            self._queue.charge(accepted.work, tokens, now)

    def counts(self, now: float) -> SlotCounts:
        """Return the number of attempts in each state."""
        running = self._places.in_state(AttemptState.RUNNING)
        ready = self._places.in_state(AttemptState.READY)
        return SlotCounts(
            running=len(running),
            paused=len(self._places.in_state(AttemptState.PAUSED)),
            queued=len(self._queue) + len(ready),
            granted=len(self._places.grants),
            protected_running=sum(self._record(accepted.work).protected for accepted in running),
        )

    def running(self, now: float) -> list[Work]:
        """Return the attempts that are on the upstream, running or paused."""
        states = (AttemptState.RUNNING, AttemptState.PAUSED)
        return [accepted.work for state in states for accepted in self._places.in_state(state)]

    def next_deadline(self, now: float) -> float | None:
        """Return the time of the next expiry of a grant or of queued work, seconds, or None."""
        times = [grant.expires_at for grant in self._places.grants.values()]
        expiry = self._queue.next_expiry()
        return min(times if expiry is None else [*times, expiry], default=None)

    def expire(self, now: float) -> list[Work]:
        """Drop expired grants, and remove queued work that has waited too long.

        Returns
        -------
        list of Work
            Work that did not run because its deadline or its class's patience has passed.
        """
        self._expire_grants(now)
        expired = self._queue.expire(now)
        self._update_active_classes()
        return expired

    def _record(self, work: Work) -> ClassRecord:
        return self._ledger.record(work.class_name)

    def _free_for(self, record: ClassRecord) -> int:
        return self._places.free_for(record, self._ledger.classes)

    def _has_attempt(self, work: Work) -> bool:
        is_placed = (work.request, work.attempt) in self._places.attempts
        return is_placed or attempt_name(work.request, work.attempt) in self._queue

    def _expire_grants(self, now: float) -> None:
        expired = [one for one in self._places.grants.values() if one.expires_at <= now]
        for grant in expired:
            self._places.drop_grant(grant.grant)

    def _use_grant(self, work: Work, number: int) -> bool:
        grant = self._places.grants.get(number)
        if grant is None or (grant.peer, grant.class_name) != (work.peer, work.class_name):
            return False
        self._places.drop_grant(number)
        return True

    def _take_free_place(self, work: Work, now: float) -> bool:
        """Take a free place for the work if it has precedence over what waits.

        Notes
        -----
        Protected work yields only to other protected work: if it were rejected because a lower
        class is due a turn or a share, an urgent request would wait for a routine one.
        """
        record = self._record(work)
        if self._free_for(record) <= 0:
            self._revoke_lower_grant(record)
        if self._free_for(record) <= 0:
            return False
        rivals = [
            one for one in self._contention.contenders(now) if one.class_name != work.class_name
        ]
        if record.protected:
            rivals = [one for one in rivals if self._ledger.record(one.class_name).protected]
        contenders = [*rivals, self._contention.contender(work.class_name, 0.0)]
        if self._queue.choose_class(contenders, self._ledger) != work.class_name:
            return False
        self._ledger.started(work.class_name, contenders)
        return True

    def _revoke_lower_grant(self, record: ClassRecord) -> None:
        """Revoke the most recent grant of a lower class to free a place for protected work.

        Notes
        -----
        If the entry still uses the grant, it is rejected with ``NO_PLACE`` and puts the request
        back into its queue; the request has not run.
        """
        full = self._places.occupied >= self._places.places
        if not (full and record.protected and self.policy.preemption):
            return
        for grant in reversed(self._places.grants.values()):
            other = self._ledger.record(grant.class_name)
            if not other.protected and other.priority < record.priority:
                self._places.drop_grant(grant.grant)
                return

    def _can_preempt_for(self, work: Work, now: float) -> bool:
        """Return whether a running request can be paused for the work."""
        record = self._record(work)
        if not record.protected:
            return False
        expected = sum(count for _, count in self._contention.protected_waiting())
        return len(self._victims(record, now)) > expected

    def _victims(self, record: ClassRecord, now: float) -> list[AcceptedAttempt]:
        if not self._places.can_pause:
            return []
        return choose_victims(self._places, self._ledger, record, now)

    def _count_avoidable_rejection(self, work: Work, now: float) -> None:
        """Count a rejection of protected work that could have started or preempted other work.

        The count is `protected_shed`.
        """
        record = self._record(work)
        if not record.protected:
            return
        rivals = [self._ledger.record(one.class_name) for one in self._contention.contenders(now)]
        lower_only = not any(other.protected for other in rivals)
        if self._can_preempt_for(work, now) or (lower_only and self._free_for(record) > 0):
            self.protected_shed += 1

    def _is_blocked_suspect(self, work: Work) -> bool:
        """Return whether the work is a suspect and another suspect is already accepted."""
        return work.apart and any(
            accepted.work.apart for accepted in self._places.attempts.values()
        )

    def _startable_suspect(self) -> Work | None:
        work = self._queue.first_suspect()
        if (
            work is None
            or self._is_blocked_suspect(work)
            or self._free_for(self._record(work)) <= 0
        ):
            return None
        return work

    def _startable_work(self, now: float) -> Work | None:
        """Remove and return the next queued work of the class to serve, if it is queued."""
        while (class_name := self._choose_class_from(WorkSource.QUEUE, now)) is not None:
            work = self._queue.pop(class_name, now)
            if not self._is_blocked_suspect(work):
                return work
            self._queue.add_suspect(work)
        return None

    def _choose_class_from(self, source: WorkSource, now: float) -> str | None:
        """Return the class to serve if its next work is from the source, and record the start."""
        contenders = self._contention.contenders(now)
        chosen = self._contention.choose(contenders, self.policy.binding)
        if chosen is None or self._contention.source(chosen) is not source:
            return None
        self._ledger.started(chosen, contenders)
        return chosen

    def _update_active_classes(self) -> None:
        self._ledger.set_active(self._contention.classes)
