"""Decides what runs on the upstream of one slot."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from burdockquay_protocol import ClassDemand, ErrorKind
from burdockquay_state import ClassRecord, PolicyRecord

from ._demands import DemandBook
from ._places import Hold, HoldState, PlaceTable
from ._preemption import choose_victims
from ._queues import QueuePolicy, queue_policies
from ._shares import Contender, ShareLedger
from ._types import PlaceGrant, SlotCounts, Waiting, Work

GRANT_VALID_S = 0.1
"""How long a place is kept for an entry that was granted it, seconds."""


class Source(enum.Enum):
    """Where the next work of a class comes from; the first that has some is taken."""

    PAUSED = "paused"
    QUEUE = "queue"
    DEMAND = "demand"


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
        self.can_pause = can_pause
        self.grant_valid_s = grant_valid_s
        self.protected_shed = 0
        self._ledger = ShareLedger(classes)
        self._demands = DemandBook()
        self._places = PlaceTable(places)
        self._places.configure(places, classes, policy.reserve)
        self._queue = queue_policies.get(policy.queue)(classes, weights)
        self._queued: dict[str, Work] = {}
        self._suspects: dict[str, Work] = {}
        self._grants_given = 0

    def configure(
        self,
        places: int,
        classes: Mapping[str, ClassRecord],
        weights: Mapping[str, float],
        policy: PolicyRecord,
        now: float,
    ) -> None:
        """Take a new configuration; nothing that runs or waits is lost."""
        self._ledger.configure(classes, in_use=self._classes_in_use())
        if policy.queue == self.policy.queue:
            self._queue.set_classes(classes, weights, now)
        else:
            self._queue = self._moved_queue(policy.queue, classes, weights, now)
        self.policy = policy
        self._places.configure(places, self._ledger.classes, policy.reserve)
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
        """Drop everything of an entry that is gone.

        Returns
        -------
        list of Work
            Its attempts, queued ones and those on the upstream, which the caller cancels there.
        """
        self._demands.forget(peer)
        for grant in [one for one in self._places.grants.values() if one.peer == peer]:
            self._places.drop_grant(grant.grant)
        queued = [work for work in self._queued.values() if work.peer == peer]
        held = [hold.work for hold in self._places.holds.values() if hold.work.peer == peer]
        for work in queued + held:
            self.finish(work.request, work.attempt, now)
        self._refresh()
        return queued + held

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
            raise ValueError(f"expected a new attempt, got {_name(work)} again")
        has_place = self._use_grant(work, grant) or self._take_free_place(work, now)
        if has_place and self._must_wait_apart(work):
            self._suspects[_name(work)] = work
        elif has_place:
            self._places.add(work, now)
        elif self._makes_way(work, now) or self.policy.binding == "slot_queue":
            self._enqueue(work, now)
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
        work = self._startable_suspect()
        if work is None:
            class_name = self._take_best(Source.QUEUE, now)
            if class_name is None:
                return None
            work = self._queued.pop(self._queue.pop(now, class_name).request)
        if self._must_wait_apart(work):
            self._suspects[_name(work)] = work
            return self.next_start(now)
        self._places.run(self._places.add(work, now), now)
        self._refresh()
        return work

    def next_pause(self, now: float) -> Work | None:
        """Return running work to pause on the upstream; its place is free from now on."""
        claimed = 0
        for class_name, count in self._protected_waiting():
            record = self._ledger.record(class_name)
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
        hold = self._paused(class_name)[0]
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
        name = f"{request}/{attempt}"
        held = self._places.drop((request, attempt)) is not None
        suspect = self._suspects.pop(name, None) is not None
        queued = self._queued.pop(name, None) is not None
        if queued:
            self._queue.remove(name, now)
        self._refresh()
        return held or queued or suspect

    def charge(self, request: str, attempt: int, tokens: float, now: float) -> None:
        """Account tokens that an attempt generated; unknown attempts are ignored."""
        hold = self._places.holds.get((request, attempt))
        if hold is not None:
            self._ledger.charge(hold.work.class_name, tokens)
            self._queue.charge(hold.work.class_name, hold.work.organisation, tokens, now)

    def counts(self, now: float) -> SlotCounts:
        """Return how many attempts there are in each state."""
        running = self._places.in_state(HoldState.RUNNING)
        ready = self._places.in_state(HoldState.READY)
        return SlotCounts(
            running=len(running),
            paused=len(self._places.in_state(HoldState.PAUSED)),
            queued=len(self._queued) + len(self._suspects) + len(ready),
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
        times += [work.deadline for work in self._suspects.values()]
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
        expired = [self._queued.pop(waiting.request) for waiting in self._queue.expire(now)]
        late = [name for name, work in self._suspects.items() if work.deadline <= now]
        expired += [self._suspects.pop(name) for name in late]
        self._refresh()
        return expired

    def _record(self, work: Work) -> ClassRecord:
        return self._ledger.record(work.class_name)

    def _free_for(self, record: ClassRecord) -> int:
        return self._places.free_for(record, self._ledger.classes)

    def _paused(self, class_name: str) -> list[Hold]:
        paused = self._places.in_state(HoldState.PAUSED)
        return [hold for hold in paused if hold.work.class_name == class_name]

    def _holds(self, work: Work) -> bool:
        name = _name(work)
        held = (work.request, work.attempt) in self._places.holds
        return held or name in self._queued or name in self._suspects

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
        if self._free_for(record) <= 0 and not self._revoke_lower_grant(record):
            return False
        rivals = [one for one in self._contenders(now) if one.class_name != work.class_name]
        if record.protected:
            rivals = [one for one in rivals if self._ledger.record(one.class_name).protected]
        contenders = [*rivals, self._contender(work.class_name, 0.0)]
        if self._queue.choose_class(contenders, self._ledger) != work.class_name:
            return False
        self._ledger.started(work.class_name, contenders)
        return True

    def _revoke_lower_grant(self, record: ClassRecord) -> bool:
        """Free the youngest granted place of a lower class for protected work.

        Notes
        -----
        The entry that held the grant is refused with ``NO_PLACE`` if it still uses it, and its
        request goes back into its queue: nothing ran and nothing is lost.
        """
        if not (record.protected and self.policy.preemption and self._free_for(record) == 0):
            return False
        for grant in reversed(self._places.grants.values()):
            other = self._ledger.record(grant.class_name)
            if not other.protected and other.priority < record.priority:
                self._places.drop_grant(grant.grant)
                return True
        return False

    def _makes_way(self, work: Work, now: float) -> bool:
        """Return whether a running request could be paused for the work."""
        record = self._record(work)
        if not record.protected:
            return False
        expected = sum(count for _, count in self._protected_waiting())
        return len(self._victims(record, now)) > expected

    def _victims(self, record: ClassRecord, now: float) -> list[Hold]:
        if not (self.policy.preemption and self.can_pause):
            return []
        return choose_victims(self._places, self._ledger, record, now)

    def _check_refusal(self, work: Work, now: float) -> None:
        """Count a refusal of protected work that had a place or a victim; see `protected_shed`."""
        record = self._record(work)
        if not record.protected:
            return
        rivals = [self._ledger.record(one.class_name) for one in self._contenders(now)]
        lower_only = not any(other.protected for other in rivals)
        if self._makes_way(work, now) or (lower_only and self._free_for(record) > 0):
            self.protected_shed += 1

    def _must_wait_apart(self, work: Work) -> bool:
        """Return whether the work is a suspect and another one is on the upstream or waits."""
        return work.apart and any(hold.work.apart for hold in self._places.holds.values())

    def _startable_suspect(self) -> Work | None:
        for name, work in self._suspects.items():
            if self._must_wait_apart(work) or self._free_for(self._record(work)) <= 0:
                return None
            return self._suspects.pop(name)
        return None

    def _enqueue(self, work: Work, now: float) -> None:
        name = _name(work)
        self._queued[name] = work
        waiting = Waiting(name, work.organisation, work.class_name, now, work.deadline)
        self._queue.push(waiting, now)

    def _protected_waiting(self) -> list[tuple[str, int]]:
        """Return the protected classes with queued work and how much, the most urgent first."""
        records = [record for record in self._ledger.classes.values() if record.protected]
        records.sort(key=lambda record: (-record.priority, record.name))
        counts = [(record.name, self._queue.waiting(record.name)) for record in records]
        return [(name, count) for name, count in counts if count]

    def _contender(self, class_name: str, wait_s: float) -> Contender:
        allowed = math.ceil(self._ledger.record(class_name).share * self._places.places)
        below = self._places.occupied_by(class_name) < allowed
        return Contender(class_name, wait_s, may_claim_share=below)

    def _waits(self, now: float) -> dict[str, float]:
        """Return the longest wait of each class with paused, queued or announced requests."""
        waits = self._demands.oldest_waits(now)
        queued = {one.class_name: one.oldest_wait_s for one in self._queue.demand(now)}
        paused: dict[str, float] = {}
        for hold in reversed(self._places.in_state(HoldState.PAUSED)):
            paused[hold.work.class_name] = now - hold.since
        for more in (queued, paused):
            for class_name, wait in more.items():
                waits[class_name] = max(wait, waits.get(class_name, 0.0))
        return waits

    def _contenders(self, now: float) -> list[Contender]:
        """Return the classes that wait and have a place they may take."""
        return [
            self._contender(class_name, wait)
            for class_name, wait in self._waits(now).items()
            if self._free_for(self._ledger.record(class_name)) > 0
        ]

    def _take_best(self, source: Source, now: float) -> str | None:
        """Return the class to serve now if its next work comes from the source, and note it."""
        contenders = self._contenders(now)
        chosen = self._choose(contenders)
        if chosen is None or self._source(chosen) is not source:
            return None
        self._ledger.started(chosen, contenders)
        return chosen

    def _choose(self, contenders: list[Contender]) -> str | None:
        """Return the class to serve.

        Notes
        -----
        With grants the slot's own queue holds only protected work that others were paused for. It
        takes the place so freed before any turn or share is looked at: otherwise the place would go
        to a lower class and one more request would be paused.
        """
        if self.policy.binding == "grant":
            names = {contender.class_name for contender in contenders}
            for class_name, _ in self._protected_waiting():
                if class_name in names:
                    return class_name
        return self._queue.choose_class(contenders, self._ledger)

    def _source(self, class_name: str) -> Source:
        if self._paused(class_name):
            return Source.PAUSED
        return Source.QUEUE if self._queue.waiting(class_name) else Source.DEMAND

    def _refresh(self) -> None:
        self._ledger.set_active(self._classes_waiting())

    def _classes_waiting(self) -> set[str]:
        paused = {hold.work.class_name for hold in self._places.in_state(HoldState.PAUSED)}
        queued = {work.class_name for work in self._queued.values()}
        return self._demands.classes | paused | queued

    def _classes_in_use(self) -> set[str]:
        held = {hold.work.class_name for hold in self._places.holds.values()}
        return self._classes_waiting() | held

    def _moved_queue(
        self,
        name: str,
        classes: Mapping[str, ClassRecord],
        weights: Mapping[str, float],
        now: float,
    ) -> QueuePolicy:
        queue = queue_policies.get(name)(classes, weights)
        while (waiting := self._queue.pop(now)) is not None:
            queue.push(waiting, now)
        return queue


def _name(work: Work) -> str:
    return f"{work.request}/{work.attempt}"
