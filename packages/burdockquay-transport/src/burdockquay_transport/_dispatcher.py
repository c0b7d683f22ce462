"""Dispatches the waiting calls of one upstream group to its slots."""

from __future__ import annotations

import random
from collections.abc import Callable

from burdockquay_coordination import (
    AdmissionController,
    Candidate,
    EvacuatedDomains,
    HealthMonitor,
    PlacementRequest,
    PrefixIndex,
    QueuedRequest,
    QueuePolicy,
    classes_of_group,
    is_preemptible,
    placement_policies,
    queue_policies,
)
from burdockquay_protocol import ErrorKind, Grant, RequestError, ReturnGrant
from burdockquay_state import ClassRecord, Snapshot

from . import _engine_client, _service_client  # noqa: F401 (they register upstream clients)
from ._call import Call, Refused
from ._clock import Clock
from ._events import Event, log_event
from ._late_runs import LateRuns
from ._slot_link import SlotLink

DEMAND_INTERVAL_S = 0.02
"""Shortest time between two demand messages that are not urgent, seconds."""

DEMAND_BYTES = 40
"""Size of a demand message on the wire, bytes."""

DEMAND_BYTES_PER_S = 2000.0
"""Limit on the traffic of demand messages to all slots together, bytes per second."""

EVACUATED_RETRY_AFTER_S = 5.0
"""Time after which a caller may retry while all domains are evacuated, seconds: an entry may need
that long to learn that an evacuation has ended."""

PAUSING_KINDS = frozenset({"engine"})
"""Kinds of upstream that can pause a request.

They are listed here because entries do not depend on the upstream clients, which define them.
"""

PREFIX_BLOCKS_PER_VM = 2048
"""Prompt blocks kept in the prefix index for each slot."""


class GroupDispatcher:
    """Queue of one upstream group at an entry, and the choice of slots for its calls.

    Parameters
    ----------
    group : str
    snapshot : Snapshot
    failure_domain : str
        Failure domain of the entry.
    clock : Clock
    rng : random.Random
    admission : AdmissionController
        Receives the waiting times of calls.
    is_usable : callable
        Maps the name of a VM to whether the membership allows new work for it.
    evacuations : EvacuatedDomains, optional
        The evacuated failure domains; by default there are none.
    late_runs : LateRuns or None
        Which calls are sent during a shutdown; None for all.

    Notes
    -----
    With the binding ``"grant"`` a call waits here, in one sorted queue, until a slot has capacity
    for its class; with ``"slot_queue"`` it is sent at once and waits at the slot. See
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
        evacuations: EvacuatedDomains | None = None,
        late_runs: LateRuns | None = None,
    ):
        self.group = group
        self.snapshot = snapshot
        self._classes = classes_of_group(snapshot, group)
        self.failure_domain = failure_domain
        self.clock = clock
        self.rng = rng
        self.admission = admission
        self.is_usable = is_usable
        self.evacuations = EvacuatedDomains() if evacuations is None else evacuations
        self.late_runs = late_runs
        self.links: dict[str, SlotLink] = {}
        self.health = HealthMonitor()
        self.prefixes = PrefixIndex(PREFIX_BLOCKS_PER_VM)
        self._calls: dict[str, Call] = {}
        self._queue_name = snapshot.policy.queue
        self._queue = self._make_queue()
        self._placement = placement_policies.get(snapshot.policy.placement)()
        self._ejected: frozenset[str] = frozenset()
        self._last_usable_at = clock.now()
        self._demand_changed = False
        self._demand_sent_at = 0.0

    @property
    def queue(self) -> QueuePolicy:
        """Queue of the waiting calls."""
        return self._queue

    @property
    def ready(self) -> bool:
        """Whether any slot accepts work."""
        return any(link.accepts_work for link in self.links.values())

    def configure(self, snapshot: Snapshot, now: float) -> None:
        """Apply a new configuration; waiting calls keep their order of arrival."""
        policy = snapshot.policy
        changed_queue = policy.queue != self._queue_name
        self.snapshot = snapshot
        self._classes = classes_of_group(snapshot, self.group)
        self._placement = placement_policies.get(policy.placement)()
        if not changed_queue:
            self._queue.set_classes(snapshot.classes, self._weights(), now)
            return
        self._queue_name = policy.queue
        old_queue = self._queue
        self._queue = self._make_queue()
        while waiting := old_queue.pop(now):
            self._queue.push(waiting, now)

    def apply_evacuations(self) -> None:
        """Apply a change of the evacuated domains: take back the attempts that are not sent yet."""
        self._demand_changed = True
        for link in self.links.values():
            if self.is_evacuated(link):
                link.withdraw_unsent("the failure domain is evacuated")

    def is_evacuated(self, link: SlotLink) -> bool:
        """Return whether the failure domain of a slot is evacuated."""
        return self.evacuations.covers(link.target.failure_domain)

    def forget(self, vm: str) -> None:
        """Drop the state of a slot that this entry no longer connects to."""
        self.links.pop(vm, None)
        self.health.forget(vm)
        self.prefixes.forget(vm)

    def submit(self, call: Call, now: float) -> None:
        """Send a call to a slot now, queue it, or refuse it if all slots are evacuated."""
        if self._is_group_evacuated():
            self._refuse_evacuated(call)
            return
        if self.snapshot.policy.binding == "slot_queue":
            link = self._choose(call, self._usable_links(now), now)
            if link is None:
                call.inbox.put(Refused(RequestError(ErrorKind.NO_UPSTREAM)))
            else:
                self._start(call, link, 0, now)
            return
        if not self._has_waiting_ahead(call):
            link = self._choose(call, self._free_links(call, now), now)
            if link is not None:
                self._start(call, link, 0, now)
                return
        self._enqueue(call, now)

    def record_refusal(self, call: Call, kind: ErrorKind, now: float) -> None:
        """Record that the slot of a call's last attempt refused it without running it."""
        link = call.link
        if link is None:
            return
        if kind is ErrorKind.NO_PLACE:
            link.full_classes.add(call.spec.service_class.name)
        else:
            call.avoid.add(link.vm)

    def use_grant(self, link: SlotLink, grant: Grant, now: float) -> None:
        """Start the best waiting call of the granted class, or return the grant."""
        sent = link.sent_demand
        if grant.class_name in sent:
            sent[grant.class_name] -= 1
        usable = link in self._usable_links(now)
        self._demand_changed = True
        while usable and (call := self._next_call(link, grant.class_name, now)) is not None:
            if self._start(call, link, grant.grant, now):
                return
        link.post(ReturnGrant(grant.grant))

    def abandon(self, call: Call, now: float) -> None:
        """Remove a call from the queue and cancel its current attempt."""
        if self._calls.pop(call.spec.request, None) is not None:
            self._queue.remove(call.spec.request, now)
            self._demand_changed = True
        if call.link is not None:
            call.link.cancel_attempt(call)

    def charge(self, call: Call, tokens: int, now: float) -> None:
        """Charge generated tokens to the call's class and organisation."""
        spec = call.spec
        self._queue.charge(spec.service_class.name, spec.organisation.name, tokens, now)
        self.admission.charge(spec.organisation.name, tokens, now)

    def observe_status(self, link: SlotLink, now: float) -> None:
        """Record the time per token that a slot reports, and schedule a demand message."""
        if link.status.step_s and not self.is_evacuated(link):
            self.health.observe_step(link.vm, link.status.step_s, now)
        if len(self._queue):
            self._demand_changed = True

    def observe_failure(self, link: SlotLink, now: float) -> None:
        """Record that an attempt failed at a slot.

        Attempts that fail in an evacuated domain are no evidence: the operator stops its VMs.
        """
        if not self.is_evacuated(link):
            self.health.observe_failure(link.vm, now)

    def tick(self, now: float) -> None:
        """Refuse calls that waited too long, and send the demand to the slots."""
        for waiting in self._queue.expire(now):
            call = self._calls.pop(waiting.request, None)
            if call is not None:
                late = now >= waiting.deadline
                kind = ErrorKind.DEADLINE_EXCEEDED if late else ErrorKind.PATIENCE_EXCEEDED
                call.inbox.put(Refused(RequestError(kind)))
                self._demand_changed = True
        if self._is_group_evacuated():
            for call in list(self._calls.values()):
                self.abandon(call, now)
                self._refuse_evacuated(call)
        self._refuse_unfinishable(now)
        self._fail_unserved_answers(now)
        self._log_ejections(now)
        self._send_demand(now)

    def _is_group_evacuated(self) -> bool:
        """Return whether the group has slots, and all of them are in evacuated domains."""
        return bool(self.evacuations.names and self.links) and all(
            self.is_evacuated(link) for link in self.links.values()
        )

    def _refuse_evacuated(self, call: Call) -> None:
        domains = ",".join(sorted({link.target.failure_domain for link in self.links.values()}))
        log_event(
            Event.REFUSED_EVACUATED, request=call.spec.request, group=self.group, domains=domains
        )
        error = RequestError(
            ErrorKind.NO_UPSTREAM,
            f"evacuated failure domains: {domains}",
            retry_after_s=EVACUATED_RETRY_AFTER_S,
        )
        call.inbox.put(Refused(error))

    def _fail_unserved_answers(self, now: float) -> None:
        """Refuse interrupted answers when no slot has been usable for longer than their patience.

        The queue applies no patience to a call whose answer has begun. Without this check its
        caller would wait until the deadline while every upstream of the group is down.
        """
        if self._usable_links(now):
            self._last_usable_at = now
            return
        unserved_s = now - self._last_usable_at
        for call in list(self._calls.values()):
            if call.delivered and unserved_s > call.spec.service_class.patience_s:
                self.abandon(call, now)
                call.inbox.put(Refused(RequestError(ErrorKind.NO_UPSTREAM)))

    def _refuse_unfinishable(self, now: float) -> None:
        """Refuse the waiting calls that a process that shuts down would not finish."""
        if self.late_runs is None or not self.late_runs.gate.is_stopping:
            return
        for call in list(self._calls.values()):
            spec = call.spec
            if not (call.delivered or call.may_have_run) and not self.late_runs.may_wait(
                spec.request, spec.run_kind, spec.deadline
            ):
                self.abandon(call, now)
                call.inbox.put(Refused(RequestError(ErrorKind.LEAVING)))

    def _make_queue(self) -> QueuePolicy:
        return queue_policies.get(self._queue_name)(self.snapshot.classes, self._weights())

    def _weights(self) -> dict[str, float]:
        return {name: item.weight for name, item in self.snapshot.organisations.items()}

    def _enqueue(self, call: Call, now: float) -> None:
        spec = call.spec
        self._calls[spec.request] = call
        self._queue.push(
            QueuedRequest(
                spec.request,
                spec.organisation.name,
                spec.service_class.name,
                call.started_at,
                spec.deadline,
                begun=bool(call.delivered),
            ),
            now,
        )
        self._demand_changed = True
        self._send_demand(now)

    def _next_call(self, link: SlotLink, class_name: str, now: float) -> Call | None:
        """Remove the best waiting call of a class that may run at this slot, and return it.

        A call that failed at a slot is not sent there again while another slot is usable, since it
        would most likely fail there again.
        """
        skipped = []
        found = None
        while found is None and (waiting := self._queue.pop(now, class_name)) is not None:
            call = self._calls[waiting.request]
            if link.vm in call.avoid and self._has_alternative(call, now):
                skipped.append(waiting)
            else:
                found = self._calls.pop(waiting.request)
        for waiting in skipped:
            self._queue.push(waiting, now)
        return found

    def _has_alternative(self, call: Call, now: float) -> bool:
        return any(link.vm not in call.avoid for link in self._usable_links(now))

    def _start(self, call: Call, link: SlotLink, grant: int, now: float) -> bool:
        """Send a call to a slot, or refuse it if this process would not finish it."""
        spec = call.spec
        maybe_run = bool(call.delivered) or call.may_have_run
        if self.late_runs is not None and not self.late_runs.may_start(
            spec.request, spec.run_kind, spec.deadline, maybe_run
        ):
            call.inbox.put(Refused(RequestError(ErrorKind.LEAVING)))
            return False
        if call.attempt == 0:
            self.admission.started(call.spec.service_class.name, now - call.started_at, now)
        self.prefixes.record_prompt(link.vm, call.spec.prefix, now)
        link.start(call, grant, now)
        return True

    def _has_waiting_ahead(self, call: Call) -> bool:
        service_class = call.spec.service_class
        classes = self.snapshot.classes
        return any(
            name not in classes or classes[name].priority >= service_class.priority
            for name in (item.class_name for item in self._queue.demand(self.clock.now()))
        )

    def _usable_links(self, now: float) -> list[SlotLink]:
        """Return the slots that may receive work; ejected ones only if there are no others."""
        usable = [
            link
            for link in self.links.values()
            if link.accepts_work and self.is_usable(link.vm) and not self.is_evacuated(link)
        ]
        ejected = self.health.ejected(now)
        return [link for link in usable if link.vm not in ejected] or usable

    def _log_ejections(self, now: float) -> None:
        ejected = self.health.ejected(now)
        for vm in sorted(ejected - self._ejected):
            log_event(Event.STRAGGLER_EJECTED, vm=vm, group=self.group)
        for vm in sorted(self._ejected - ejected):
            log_event(Event.STRAGGLER_RETURNED, vm=vm, group=self.group)
        self._demand_changed = self._demand_changed or ejected != self._ejected
        self._ejected = ejected

    def _free_links(self, call: Call, now: float) -> list[SlotLink]:
        service_class = call.spec.service_class
        links = [
            link for link in self._usable_links(now) if service_class.name not in link.full_classes
        ]
        if service_class.protected:
            # The slot may pause work of lower priority for it; only the slot can decide that.
            return links
        reserved = 0
        if self.snapshot.policy.reserve and not self._is_preemptible(service_class):
            reserved = sum(
                item.reserved_places
                for item in self._classes.values()
                if item.priority > service_class.priority
            )
        return [
            link
            for link in links
            if link.estimate_load()
            < link.status.places - max(0, reserved - link.status.protected_running)
        ]

    def _is_preemptible(self, record: ClassRecord) -> bool:
        """Return whether the slots may pause requests of a class to make room."""
        group = self.snapshot.groups.get(self.group)
        pauses = group is not None and group.upstream_kind in PAUSING_KINDS
        return pauses and self.snapshot.policy.preemption and is_preemptible(record)

    def _choose(self, call: Call, links: list[SlotLink], now: float) -> SlotLink | None:
        if not links:
            return None
        spec = call.spec
        candidates: list[Candidate] = [
            link.make_candidate(
                self.health.weight(link.vm, now),
                self.prefixes.overlap(link.vm, spec.prefix),
                now,
            )
            for link in links
        ]
        request = PlacementRequest(
            spec.service_class.name,
            spec.service_class.protected,
            self.failure_domain,
            len(spec.prefix),
            frozenset(call.avoid),
        )
        chosen = self._placement.choose(candidates, request, now, self.rng)
        return None if chosen is None else self.links[chosen.vm]

    def _send_demand(self, now: float) -> None:
        if not self._demand_changed:
            return
        demands = self._queue.demand(now)
        interval = max(DEMAND_INTERVAL_S, DEMAND_BYTES * len(self.links) / DEMAND_BYTES_PER_S)
        if now - self._demand_sent_at >= interval:
            self._demand_sent_at = now
            self._demand_changed = False
            targets = [link for link in self.links.values() if link.connected]
        else:
            # A slot that was last sent no demand for a class would leave capacity unused.
            targets = [
                link
                for link in self.links.values()
                if link.connected
                and any(link.sent_demand.get(item.class_name, 0) <= 0 for item in demands)
            ]
        usable = self._usable_links(now)
        for link in targets:
            demand = demands if link in usable else []
            if demand or link.sent_demand:
                link.send_demand(demand)
