"""Decides what runs on the upstream of one slot."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from burdockquay_protocol import ClassDemand, ErrorKind
from burdockquay_state import ClassRecord, PolicyRecord

from ._contention import Contention, Source
from ._demands import DemandBook
from ._places import Hold, HoldState, PlaceTable
from ._preemption import choose_victims
from ._shares import ShareLedger
from ._slot_queue import SlotQueue, attempt_name
from ._types import PlaceGrant, SlotCounts, Work

GRANT_VALID_S = 0.1
"""How long a place is kept for an entry that was granted it, seconds."""


class SlotScheduler:
    """The authority on the places of one upstream.

    Parameters
    ----------
    places : int
        Requests that the upstream runs at a time.
    classes : mapping of str to ClassRecord
    weights : mapping of str to float
        Weights of the organisations.
    policy : PolicyRecord
    can_pause : bool
        Whether the upstream can pause and resume a request.
    grant_valid_s : float
        How long a granted place is kept, seconds.

    Attributes
    ----------
    protected_shed : int
        Protected attempts that were refused although lower work could have been moved. Stays 0;
        anything else is a fault of this class and is reported as a metric.

    Notes
    -----
    After every event call :meth:`next_pause`, :meth:`next_start`, :meth:`next_resume` and
    :meth:`next_grant` over and over until all four return None in a row: an answer of one can open
    the way for another.

    Only protected work pauses others. Preemption by every higher class was weighed too: under
    lasting overload some higher class always waits, lower answers would be paused at once and for
    long, and their time between tokens would be lost.
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
        self._demands = DemandBook()
        self._places = PlaceTable(places)
        self._places.configure(places, classes, policy.reserve)
        self.can_pause = can_pause
        self._queue = SlotQueue(policy.queue, classes, weights)
        self._contention = Contention(self._places, self._queue, self._demands, self._ledger)
        self._grants_given = 0

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
        """Take a new configuration; nothing that runs or waits is lost."""
        self._ledger.configure(classes, in_use=self._contention.classes | self._places.classes)
        self._queue.configure(policy.queue, classes, weights, now)
        self.policy = policy
        self._places.configure(places, self._ledger.classes, policy.reserve)
        self.can_pause = self._can_pause
        self._refresh()

    def set_demand(self, peer: str, demands: Iterable[ClassDemand], now: float) -> None:
        """Take what waits at an entry; replaces its earlier message."""
        granted: dict[str, int] = {}
        for grant in self._places.grants.values():
            if grant.peer == peer:
                granted[grant.class_name] = granted.get(grant.class_name, 0) + 1
        self._demands.replace(peer, demands, granted, now)
        self._refresh()

    def forget_peer(self, peer: str, now: float) -> list[Work]:
        """Drop everything of an entry that is gone, but for what is on the upstream.

        Returns
        -------
        list of Work
            Its attempts, also those on the upstream. The caller cancels the latter there; they keep
            their places until :meth:`finish`, because until then they use the upstream.
        """
        self._demands.forget(peer)
        for grant in [one for one in self._places.grants.values() if one.peer == peer]:
            self._places.drop_grant(grant.grant)
        ready = [hold.work for hold in self._places.in_state(HoldState.READY)]
        waiting = [work for work in ready if work.peer == peer] + self._queue.of_peer(peer)
        for work in waiting:
            self.finish(work.request, work.attempt, now)
        self._refresh()
        return waiting + [work for work in self.running(now) if work.peer == peer]

    def offer(self, work: Work, grant: int, now: float) -> Result[None, ErrorKind]:
        """Accept work or refuse it.

        Parameters
        ----------
        grant : int
            Grant that the entry uses, 0 for none.

        Returns
        -------
        Result of None or ErrorKind
            ``NO_PLACE`` if there is neither a valid grant, nor a free place with nobody better
            waiting, nor a lower request that can be paused, nor a queue in the slot. The work then
            certainly did not run.

        Raises
        ------
        ValueError
            If the slot holds the attempt already.
        """
        self._lapse_grants(now)
        if self._holds(work):
            raise ValueError(f"expected a new attempt, got {work.request}/{work.attempt} again")
        has_place = self._use_grant(work, grant) or self._take_free_place(work, now)
        if has_place and self._must_wait_apart(work):
            self._queue.add_suspect(work)
        elif has_place:
            self._places.add(work, now)
        elif self._makes_way(work, now) or self.policy.binding == "slot_queue":
            self._queue.add(work, now)
        else:
            self._check_refusal(work, now)
            return Err(ErrorKind.NO_PLACE)
        self._refresh()
        return Ok(None)

    def next_start(self, now: float) -> Work | None:
        """Return work to send upstream now; it counts as running from now on."""
        for hold in self._places.in_state(HoldState.READY):
            self._places.run(hold, now)
            return hold.work
        work = self._startable_suspect() or self._startable_work(now)
        if work is None:
            return None
        self._queue.discard(attempt_name(work.request, work.attempt), now)
        self._places.run(self._places.add(work, now), now)
        self._refresh()
        return work

    def next_pause(self, now: float) -> Work | None:
        """Return running work to pause on the upstream; its place is free from now on."""
        claimed = 0
        for record, count in self._contention.protected_waiting():
            claimed += count
            if claimed > self._free_for(record):
                victims = self._victims(record, now)
                if victims:
                    self._places.pause(victims[0], now)
                    self._refresh()
                    return victims[0].work
        return None

    def next_resume(self, now: float) -> Work | None:
        """Return paused work to resume on the upstream; it counts as running from now on."""
        class_name = self._take_best(Source.PAUSED, now)
        if class_name is None:
            return None
        hold = self._contention.paused(class_name)[0]
        self._places.run(hold, now)
        self._refresh()
        return hold.work

    def next_grant(self, now: float) -> PlaceGrant | None:
        """Return a grant to send to its entry; the place is kept until it expires."""
        self._lapse_grants(now)
        class_name = self._take_best(Source.DEMAND, now)
        if class_name is None:
            return None
        self._grants_given += 1
        peer = self._demands.take(class_name, now)
        grant = PlaceGrant(self._grants_given, peer, class_name, now + self.grant_valid_s)
        self._places.add_grant(grant)
        self._refresh()
        return grant

    def return_grant(self, grant: int, now: float) -> None:
        """Free the place of a grant that its entry has no use for."""
        self._places.drop_grant(grant)

    def finish(self, request: str, attempt: int, now: float) -> bool:
        """Forget an attempt that ended, failed or was cancelled.

        Returns
        -------
        bool
            Whether the slot held it.
        """
        held = self._places.drop((request, attempt)) is not None
        queued = self._queue.discard(attempt_name(request, attempt), now)
        self._refresh()
        return held or queued

    def charge(self, request: str, attempt: int, tokens: float, now: float) -> None:
        """Account tokens that an attempt generated; unknown attempts are ignored."""
        hold = self._places.holds.get((request, attempt))
        if hold is not None:
            self._ledger.charge(hold.work.class_name, tokens)
            self._queue.charge(hold.work, tokens, now)

    def counts(self, now: float) -> SlotCounts:
        """Return how many attempts there are in each state."""
        running = self._places.in_state(HoldState.RUNNING)
        ready = self._places.in_state(HoldState.READY)
        return SlotCounts(
            running=len(running),
            paused=len(self._places.in_state(HoldState.PAUSED)),
            queued=len(self._queue) + len(ready),
            granted=len(self._places.grants),
            protected_running=sum(self._record(hold.work).protected for hold in running),
        )

    def running(self, now: float) -> list[Work]:
        """Return the attempts that are on the upstream, running and paused."""
        states = (HoldState.RUNNING, HoldState.PAUSED)
        return [hold.work for state in states for hold in self._places.in_state(state)]

    def next_deadline(self, now: float) -> float | None:
        """Return when a grant lapses or queued work expires next, seconds; None for never."""
        times = [grant.expires_at for grant in self._places.grants.values()]
        expiry = self._queue.next_expiry()
        return min(times if expiry is None else [*times, expiry], default=None)

    def expire(self, now: float) -> list[Work]:
        """Let grants lapse and take out queued work that waited too long.

        Returns
        -------
        list of Work
            Work that did not run: its deadline or its class's patience has passed.
        """
        self._lapse_grants(now)
        expired = self._queue.expire(now)
        self._refresh()
        return expired

    def _record(self, work: Work) -> ClassRecord:
        return self._ledger.record(work.class_name)

    def _free_for(self, record: ClassRecord) -> int:
        return self._places.free_for(record, self._ledger.classes)

    def _holds(self, work: Work) -> bool:
        held = (work.request, work.attempt) in self._places.holds
        return held or attempt_name(work.request, work.attempt) in self._queue

    def _lapse_grants(self, now: float) -> None:
        lapsed = [one for one in self._places.grants.values() if one.expires_at <= now]
        for grant in lapsed:
            self._places.drop_grant(grant.grant)

    def _use_grant(self, work: Work, number: int) -> bool:
        grant = self._places.grants.get(number)
        if grant is None or (grant.peer, grant.class_name) != (work.peer, work.class_name):
            return False
        self._places.drop_grant(number)
        return True

    def _take_free_place(self, work: Work, now: float) -> bool:
        """Return whether the work may have a free place ahead of what waits.

        Notes
        -----
        Protected work yields only to other protected work: were it refused for the turn or the
        share of a lower class, an urgent request would stand behind a routine one.
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
        """Free the youngest granted place of a lower class for protected work.

        Notes
        -----
        The entry that held the grant is refused with ``NO_PLACE`` if it still uses it, and its
        request goes back into its queue: nothing ran and nothing is lost.
        """
        full = self._places.occupied >= self._places.places
        if not (full and record.protected and self.policy.preemption):
            return
        for grant in reversed(self._places.grants.values()):
            other = self._ledger.record(grant.class_name)
            if not other.protected and other.priority < record.priority:
                self._places.drop_grant(grant.grant)
                return

    def _makes_way(self, work: Work, now: float) -> bool:
        """Return whether a running request could be paused for the work."""
        record = self._record(work)
        if not record.protected:
            return False
        expected = sum(count for _, count in self._contention.protected_waiting())
        return len(self._victims(record, now)) > expected

    def _victims(self, record: ClassRecord, now: float) -> list[Hold]:
        if not self._places.can_pause:
            return []
        return choose_victims(self._places, self._ledger, record, now)

    def _check_refusal(self, work: Work, now: float) -> None:
        """Count a refusal of protected work that had a place or a victim; see `protected_shed`."""
        record = self._record(work)
        if not record.protected:
            return
        rivals = [self._ledger.record(one.class_name) for one in self._contention.contenders(now)]
        lower_only = not any(other.protected for other in rivals)
        if self._makes_way(work, now) or (lower_only and self._free_for(record) > 0):
            self.protected_shed += 1

    def _must_wait_apart(self, work: Work) -> bool:
        """Return whether the work is a suspect and another one is on the upstream or waits."""
        return work.apart and any(hold.work.apart for hold in self._places.holds.values())

    def _startable_suspect(self) -> Work | None:
        work = self._queue.first_suspect()
        if work is None or self._must_wait_apart(work) or self._free_for(self._record(work)) <= 0:
            return None
        return work

    def _startable_work(self, now: float) -> Work | None:
        """Return the next queued work of the class to serve, if its next work is queued."""
        while (class_name := self._take_best(Source.QUEUE, now)) is not None:
            work = self._queue.pop(class_name, now)
            if not self._must_wait_apart(work):
                return work
            self._queue.add_suspect(work)
        return None

    def _take_best(self, source: Source, now: float) -> str | None:
        """Return the class to serve now if its next work comes from the source, and note it."""
        contenders = self._contention.contenders(now)
        chosen = self._contention.choose(contenders, self.policy.binding)
        if chosen is None or self._contention.source(chosen) is not source:
            return None
        self._ledger.started(chosen, contenders)
        return chosen

    def _refresh(self) -> None:
        self._ledger.set_active(self._contention.classes)
