"""Brings the waiting calls of one upstream group to its slots."""

from __future__ import annotations

import random
from collections.abc import Callable

from burdockquay_coordination import (
    AdmissionController,
    Candidate,
    HealthMonitor,
    PlacementRequest,
    PrefixIndex,
    QueuePolicy,
    Waiting,
    classes_of_group,
    is_movable,
    placement_policies,
    queue_policies,
)
from burdockquay_protocol import ErrorKind, Grant, RequestError, ReturnGrant
from burdockquay_state import ClassRecord, Snapshot

from . import _engine_client, _service_client  # noqa: F401 (they register the kinds of upstream)
from ._call import Call, Refused
from ._clock import Clock
from ._events import Event, log_event
from ._slot_link import SlotLink

DEMAND_INTERVAL_S = 0.02
"""Shortest time between two demand messages that are not urgent, seconds."""

DEMAND_BYTES = 40
"""Size of a demand message on the wire, bytes."""

DEMAND_BYTES_PER_S = 2000.0
"""Traffic that demand messages to all slots together may cause, bytes a second."""

PAUSING_KINDS = frozenset({"engine"})
"""Kinds of upstream that can pause a request.

An entry does not load the clients of the upstreams, so that it cannot ask them.
"""

PREFIX_BLOCKS_PER_VM = 2048
"""Prompt blocks remembered of what was sent to one slot."""


class GroupDispatcher:
    """The queue of one upstream group at an entry, and the choice of slots.

    Parameters
    ----------
    group : str
    snapshot : Snapshot
    failure_domain : str
        Of the entry.
    clock : Clock
    rng : random.Random
    admission : AdmissionController
        Told how long calls waited.
    is_usable : callable
        Says of the name of a VM whether the membership lets it have new work.

    Notes
    -----
    With the binding ``"grant"`` a call waits here, in one sorted queue, until a slot has a place
    for its class; with ``"slot_queue"`` it is sent at once and waits there. See
    docs/design/queues.md for the comparison.
    """

    def __init__(
        self,
        group: str,
        snapshot: Snapshot,
        failure_domain: str,
        clock: Clock,
        rng: random.Random,
        admission: AdmissionController,
        is_usable: Callable[[str], bool],
    ):
        self.group = group
        self.snapshot = snapshot
        self._classes = classes_of_group(snapshot, group)
        self.failure_domain = failure_domain
        self.clock = clock
        self.rng = rng
        self.admission = admission
        self.is_usable = is_usable
        self.links: dict[str, SlotLink] = {}
        self.health = HealthMonitor()
        self.prefixes = PrefixIndex(PREFIX_BLOCKS_PER_VM)
        self._calls: dict[str, Call] = {}
        self._queue_name = snapshot.policy.queue
        self._queue = self._make_queue()
        self._placement = placement_policies.get(snapshot.policy.placement)()
        self._ejected: frozenset[str] = frozenset()
        self._served_at = clock.now()
        self._demand_changed = False
        self._demand_told_at = 0.0

    @property
    def queue(self) -> QueuePolicy:
        """The waiting calls."""
        return self._queue

    @property
    def ready(self) -> bool:
        """Whether any slot takes work."""
        return any(link.takes_work for link in self.links.values())

    def configure(self, snapshot: Snapshot, now: float) -> None:
        """Take over a new configuration; waiting calls keep their order of arrival."""
        policy = snapshot.policy
        changed_queue = policy.queue != self._queue_name
        self.snapshot = snapshot
        self._classes = classes_of_group(snapshot, self.group)
        self._placement = placement_policies.get(policy.placement)()
        if not changed_queue:
            self._queue.set_classes(snapshot.classes, self._weights(), now)
            return
        self._queue_name = policy.queue
        older = self._queue
        self._queue = self._make_queue()
        while waiting := older.pop(now):
            self._queue.push(waiting, now)

    def forget(self, vm: str) -> None:
        """Forget a slot that is no longer connected to."""
        self.links.pop(vm, None)
        self.health.forget(vm)
        self.prefixes.forget(vm)

    def submit(self, call: Call, now: float) -> None:
        """Bring a call to a slot now, or let it wait."""
        if self.snapshot.policy.binding == "slot_queue":
            link = self._choose(call, self._usable_links(now), now)
            if link is None:
                call.inbox.put(Refused(RequestError(ErrorKind.NO_UPSTREAM)))
            else:
                self._start(call, link, 0, now)
            return
        if not self._anyone_before(call):
            link = self._choose(call, self._free_links(call, now), now)
            if link is not None:
                self._start(call, link, 0, now)
                return
        self._wait(call, now)

    def refused(self, call: Call, kind: ErrorKind, now: float) -> None:
        """Note that the slot of a call's last attempt refused it without running it."""
        link = call.link
        if link is None:
            return
        if kind is ErrorKind.NO_PLACE:
            link.full_for.add(call.asked.service_class.name)
        else:
            call.avoid.add(link.vm)

    def take_grant(self, link: SlotLink, grant: Grant, now: float) -> None:
        """Use a promised place for the best waiting call of its class, or give it back."""
        told = link.told_demand
        if grant.class_name in told:
            told[grant.class_name] -= 1
        wanted = link in self._usable_links(now)
        call = self._next_call(link, grant.class_name, now) if wanted else None
        if call is None:
            link.post(ReturnGrant(grant.grant))
        else:
            self._start(call, link, grant.grant, now)
        self._demand_changed = True

    def abandon(self, call: Call, now: float) -> None:
        """Forget a call: it waits no more, and its live attempt is cancelled."""
        if self._calls.pop(call.asked.request, None) is not None:
            self._queue.remove(call.asked.request, now)
            self._demand_changed = True
        if call.link is not None:
            call.link.give_up(call)

    def charge(self, call: Call, tokens: int, now: float) -> None:
        """Charge generated tokens to the call's class and organisation."""
        asked = call.asked
        self._queue.charge(asked.service_class.name, asked.organisation.name, tokens, now)
        self.admission.charge(asked.organisation.name, tokens, now)

    def observe_status(self, link: SlotLink, now: float) -> None:
        """Take in the pace that a slot reports, and send it what may be waiting."""
        if link.status.step_s:
            self.health.observe_step(link.vm, link.status.step_s, now)
        if len(self._queue):
            self._demand_changed = True

    def tick(self, now: float) -> None:
        """Refuse calls that waited too long, and tell the slots what waits."""
        for waiting in self._queue.expire(now):
            call = self._calls.pop(waiting.request, None)
            if call is not None:
                late = now >= waiting.deadline
                kind = ErrorKind.DEADLINE_EXCEEDED if late else ErrorKind.PATIENCE_EXCEEDED
                call.inbox.put(Refused(RequestError(kind)))
                self._demand_changed = True
        self._give_up_begun(now)
        self._note_ejections(now)
        self._tell_demand(now)

    def _give_up_begun(self, now: float) -> None:
        """Refuse answers that broke off, once nobody has been there to go on with them for long.

        Their patience does not end by itself, since they have begun. Without this their callers
        would wait for their deadlines while every upstream of the group is down.
        """
        if self._usable_links(now):
            self._served_at = now
            return
        unserved_s = now - self._served_at
        for call in list(self._calls.values()):
            if call.delivered and unserved_s > call.asked.service_class.patience_s:
                self.abandon(call, now)
                call.inbox.put(Refused(RequestError(ErrorKind.NO_UPSTREAM)))

    def _make_queue(self) -> QueuePolicy:
        return queue_policies.get(self._queue_name)(self.snapshot.classes, self._weights())

    def _weights(self) -> dict[str, float]:
        return {name: item.weight for name, item in self.snapshot.organisations.items()}

    def _wait(self, call: Call, now: float) -> None:
        asked = call.asked
        self._calls[asked.request] = call
        self._queue.push(
            Waiting(
                asked.request,
                asked.organisation.name,
                asked.service_class.name,
                call.started_at,
                asked.deadline,
                begun=bool(call.delivered),
            ),
            now,
        )
        self._demand_changed = True
        self._tell_demand(now)

    def _next_call(self, link: SlotLink, class_name: str, now: float) -> Call | None:
        """Take the best waiting call of a class that this slot may have.

        A call that failed at a slot goes to another while one serves: what was wrong there would
        most likely be met again.
        """
        passed_over = []
        found = None
        while found is None and (waiting := self._queue.pop(now, class_name)) is not None:
            call = self._calls[waiting.request]
            if link.vm in call.avoid and self._serves_elsewhere(call, now):
                passed_over.append(waiting)
            else:
                found = self._calls.pop(waiting.request)
        for waiting in passed_over:
            self._queue.push(waiting, now)
        return found

    def _serves_elsewhere(self, call: Call, now: float) -> bool:
        return any(link.vm not in call.avoid for link in self._usable_links(now))

    def _start(self, call: Call, link: SlotLink, grant: int, now: float) -> None:
        if call.attempt == 0:
            self.admission.started(call.asked.service_class.name, now - call.started_at, now)
        self.prefixes.note(link.vm, call.asked.prefix, now)
        link.start(call, grant, now)

    def _anyone_before(self, call: Call) -> bool:
        own = call.asked.service_class
        classes = self.snapshot.classes
        return any(
            name not in classes or classes[name].priority >= own.priority
            for name in (item.class_name for item in self._queue.demand(self.clock.now()))
        )

    def _usable_links(self, now: float) -> list[SlotLink]:
        """Return the slots that may get work; ejected ones only if there are no others."""
        usable = [
            link for link in self.links.values() if link.takes_work and self.is_usable(link.vm)
        ]
        ejected = self.health.ejected(now)
        return [link for link in usable if link.vm not in ejected] or usable

    def _note_ejections(self, now: float) -> None:
        ejected = self.health.ejected(now)
        for vm in sorted(ejected - self._ejected):
            log_event(Event.STRAGGLER_EJECTED, vm=vm, group=self.group)
        for vm in sorted(self._ejected - ejected):
            log_event(Event.STRAGGLER_RETURNED, vm=vm, group=self.group)
        self._demand_changed = self._demand_changed or ejected != self._ejected
        self._ejected = ejected

    def _free_links(self, call: Call, now: float) -> list[SlotLink]:
        own = call.asked.service_class
        links = [link for link in self._usable_links(now) if own.name not in link.full_for]
        if own.protected:
            # The slot may pause lower work for it, which only the slot can see.
            return links
        kept = 0
        if self.snapshot.policy.reserve and not self._can_move(own):
            kept = sum(
                item.reserved_places
                for item in self._classes.values()
                if item.priority > own.priority
            )
        return [
            link
            for link in links
            if link.estimate_load()
            < link.status.places - max(0, kept - link.status.protected_running)
        ]

    def _can_move(self, record: ClassRecord) -> bool:
        """Return whether the slots may pause requests of a class to make room."""
        group = self.snapshot.groups.get(self.group)
        pauses = group is not None and group.upstream_kind in PAUSING_KINDS
        return pauses and self.snapshot.policy.preemption and is_movable(record)

    def _choose(self, call: Call, links: list[SlotLink], now: float) -> SlotLink | None:
        if not links:
            return None
        asked = call.asked
        candidates: list[Candidate] = [
            link.describe_candidate(
                self.health.weight(link.vm, now),
                self.prefixes.overlap(link.vm, asked.prefix),
                now,
            )
            for link in links
        ]
        request = PlacementRequest(
            asked.service_class.name,
            asked.service_class.protected,
            self.failure_domain,
            len(asked.prefix),
            frozenset(call.avoid),
        )
        chosen = self._placement.choose(candidates, request, now, self.rng)
        return None if chosen is None else self.links[chosen.vm]

    def _tell_demand(self, now: float) -> None:
        if not self._demand_changed:
            return
        demands = self._queue.demand(now)
        interval = max(DEMAND_INTERVAL_S, DEMAND_BYTES * len(self.links) / DEMAND_BYTES_PER_S)
        if now - self._demand_told_at >= interval:
            self._demand_told_at = now
            self._demand_changed = False
            targets = [link for link in self.links.values() if link.connected]
        else:
            # A slot that believes that nothing waits would let a place stand empty.
            targets = [
                link
                for link in self.links.values()
                if link.connected
                and any(link.told_demand.get(item.class_name, 0) <= 0 for item in demands)
            ]
        wanted = self._usable_links(now)
        for link in targets:
            told = demands if link in wanted else []
            if told or link.told_demand:
                link.tell_demand(told)
