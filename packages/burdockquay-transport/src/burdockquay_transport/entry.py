"""The entry: the process that serves callers."""

from __future__ import annotations

import asyncio
from typing import Any

from result import Err

from burdockquay_coordination import (
    AdmissionController,
    AtMostOnceResolver,
    EvacuationChange,
    FinishGate,
    FleetSize,
    MembershipTracker,
    RouteTable,
    SharedRetryBudget,
    UsageLedger,
    choose_subset,
)
from burdockquay_protocol import Goodbye, Grant, PartReports, Suspicions
from burdockquay_state import ClaimStore, VmEntry

from ._background import Begin
from ._call_runner import CallRunner
from ._caller_http import CallerServer
from ._clock import ticks
from ._dispatcher import GroupDispatcher
from ._events import Event, log_event
from ._late_runs import LateRuns
from ._peer import PeerConnection
from ._process import Process
from ._slot_link import LinkListener, SlotLink

BOOTSTRAP_LINKS = 4
"""Number of slots to connect to while there is no configuration yet."""

RETRY_BURST = 20.0
RETRY_WINDOW_S = 10.0
"""Retries of all entries together in a window of this length, seconds, beyond their share of the
first attempts."""


class Entry(Process, LinkListener):
    """One entry process; see :class:`Process` for the parameters."""

    role = "entry"

    @property
    def port(self) -> int:
        """Port where callers connect."""
        return self._server.port

    @property
    def status_port(self) -> int:
        """Port of the read-only HTTP pages; the same as the callers' port."""
        return self._server.port

    @property
    def ready(self) -> bool:
        """Whether callers are served: there is a configuration and some slot accepts work."""
        return (
            self._holder.ready
            and not self._leaving
            and any(dispatcher.ready for dispatcher in self._dispatchers.values())
        )

    @property
    def finish_gate(self) -> FinishGate:
        """Decides which requests are accepted during a shutdown."""
        return self.late_runs.gate

    @property
    def refusing(self) -> bool:
        """Whether new requests are refused because the process is about to close."""
        return self._refusing

    def dispatcher(self, group: str) -> GroupDispatcher | None:
        """Return the dispatcher of an upstream group, None if there is no record of the group."""
        return self._dispatchers.get(group)

    def _open_components(self) -> None:
        settings = self.settings
        self.ledger = UsageLedger()
        self.late_runs = LateRuns(self._clock, self.metrics)
        self._links: dict[str, SlotLink] = {}
        self._link_tasks: dict[str, asyncio.Task] = {}
        self._dispatchers: dict[str, GroupDispatcher] = {}
        self._vm_list: list[VmEntry] = []
        self._target_vms: set[str] = set()
        self._connections_stable = False
        self._refusing = False
        self._vm_list_healthy = True
        self._membership = MembershipTracker(settings.vm)
        self.admission = AdmissionController()
        now = self._clock.now()
        # Starts with its part: a deployment with one entry retries from the first request on.
        self.budget = SharedRetryBudget(
            self.snapshot.policy.retry_ratio, RETRY_WINDOW_S, now - RETRY_WINDOW_S
        )
        self.budget.set_burst(RETRY_BURST, now)
        self._entries = FleetSize(2 * RETRY_WINDOW_S)
        self.routes = RouteTable(self.snapshot)
        claims = ClaimStore(self._platform.table, self._platform.objects)
        self.runner = CallRunner(
            AtMostOnceResolver(claims),
            self.suspicions,
            self.budget,
            self.ledger,
            self.metrics,
            self._clock,
        )

    async def _listen(self) -> None:
        self._server = CallerServer(self)
        await self._server.start(self.settings.host, self.settings.port)

    def _background_tasks(self) -> dict[str, Begin]:
        return {
            "vm_list": self._follow_vm_list,
            "ticks": self._run_ticks,
            "caller_guard": self._server.run_guard,
        }

    def _count_processes(self) -> int:
        return self._membership.processes

    def _connected_peers(self) -> list[PeerConnection]:
        return [link.connection for link in self._links.values() if link.connected]

    def _held(self) -> int:
        return self._server.held

    def _on_leaving(self, told_at: float, ends_at: float) -> None:
        """Refuse what cannot be finished; ``/readyz`` reports that the entry is draining."""
        self.late_runs.stop_at(told_at, ends_at, told_at + self.settings.leave_delay_s)

    async def _finish_all(self) -> None:
        # The balancer keeps sending requests until its next readiness check. Refusing connections
        # before that would make the replacement of a VM visible to callers.
        await asyncio.sleep(self.settings.leave_delay_s)
        self._refusing = True
        await self._server.stop_accepting()
        await self._server.finish_all()

    async def _abort_all(self, reason: str) -> None:
        await self._server.abort_all()

    async def _close_components(self) -> None:
        await self._server.close()
        for peer in self._connected_peers():
            peer.post(Goodbye("shutdown"))
            await peer.drain()
        tasks = list(self._link_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _reconfigure(self, evacuations: EvacuationChange) -> None:
        snapshot = self.snapshot
        now = self._clock.now()
        self.routes = RouteTable(snapshot)
        self.admission.configure(snapshot.classes, snapshot.organisations, snapshot.policy, now)
        self.budget.ratio = snapshot.policy.retry_ratio
        self.suspicions.withdraw(snapshot.withdrawals.values())
        for name in snapshot.groups:
            dispatcher = self._dispatchers.get(name)
            if dispatcher is not None:
                dispatcher.configure(snapshot, now)
                if evacuations != EvacuationChange():
                    dispatcher.apply_evacuations()
                continue
            self._dispatchers[name] = GroupDispatcher(
                name,
                snapshot,
                self.settings.failure_domain,
                self._clock,
                self._rng,
                self.admission,
                lambda vm: self._membership.usable(vm, self._clock.now()),
                self.evacuations,
                self.late_runs,
            )
        self._connect_targets()

    async def _follow_vm_list(self) -> None:
        while True:
            listed = await self._platform.vms.list()
            self._record_vm_list_health(not isinstance(listed, Err))
            if isinstance(listed, Err):
                self._connect_seeds()
            else:
                self._apply_vm_list(listed.ok())
            interval = self.settings.vm_list_interval_s
            await asyncio.sleep(interval * self._rng.uniform(0.8, 1.2))

    def _apply_vm_list(self, entries: list[VmEntry]) -> None:
        """Update the connections after a read of the VM list.

        Notes
        -----
        The subsets are chosen from every slot of the list, which at thousands of slots takes more
        processor time than all other control work. The choice is skipped while the list is
        unchanged and every connection is up, since its result would be the same.
        """
        now = self._clock.now()
        listed = sum(entry.role == self.role for entry in entries)
        self._entries.set_alone(not listed)
        self._entries.update(max(1, listed), now, now)
        self.budget.set_burst(RETRY_BURST / self._entries.divisor(now), now)
        changed = entries != self._vm_list
        if changed:
            self._vm_list = entries
            self._membership.update_list(entries, now)
        was_stable, self._connections_stable = (
            self._connections_stable,
            self._are_connections_stable(),
        )
        if changed or not (was_stable and self._connections_stable):
            self._connect_targets()

    def _are_connections_stable(self) -> bool:
        """Return whether exactly the target slots are connected and none is draining."""
        return self._target_vms == {link.vm for link in self._links.values()} and all(
            link.connected and not (link.status and link.status.leaving)
            for link in self._links.values()
        )

    def _connect_seeds(self) -> None:
        """Connect to the seed slots of the settings while no slot is known."""
        if self._links:
            return
        for address in self.settings.seed_slots:
            host, _, port = address.rpartition(":")
            # The VM and group of the slot are received in the handshake.
            self._add_link(VmEntry("", "slot", host.strip("[]"), int(port), 0, ""), address)

    def _record_vm_list_health(self, healthy: bool) -> None:
        if healthy == self._vm_list_healthy:
            return
        self._vm_list_healthy = healthy
        log_event(Event.VM_LIST_RECOVERED if healthy else Event.VM_LIST_UNREADABLE)

    def _connect_targets(self) -> None:
        """Open and close connections so that they match the membership."""
        targets = {target.vm: target for target in self._choose_targets()}
        for name, link in list(self._links.items()):
            target = targets.get(link.vm)
            is_same = target is not None and target.address == link.target.address
            if not is_same and not link.outstanding and (targets or not link.connected):
                self._drop_link(name)
        linked = {link.vm for link in self._links.values()}
        for vm, target in targets.items():
            if vm not in linked:
                self._add_link(target, vm)
        self._target_vms = set(targets)
        for link in self._links.values():
            self._join_dispatcher(link)

    def _choose_targets(self) -> list[VmEntry]:
        now = self._clock.now()
        if self._holder.ready:
            groups = self.snapshot.groups.values()
            evacuated = self.evacuations.names
            return [
                target
                for group in groups
                for target in self._membership.targets(group, now, evacuated)
            ]
        # Without a configuration there are no groups. Any slot may provide the configuration,
        # which is needed while the table is unavailable.
        slots = [entry for entry in self._vm_list if entry.role == "slot"]
        return choose_subset(self.settings.vm, slots, BOOTSTRAP_LINKS)

    def _add_link(self, target: VmEntry, name: str) -> None:
        link = SlotLink(
            target,
            self.identity,
            bytes.fromhex(self.settings.peer_key),
            self._membership,
            self._sync,
            self,
            self.traffic,
            self._clock,
            self._rng,
            self.metrics.count,
        )
        self._links[name] = link
        self._link_tasks[name] = self._tasks.supervise("slot_link", link.run, peer=name)

    def _join_dispatcher(self, link: SlotLink) -> None:
        dispatcher = self._dispatchers.get(link.target.group)
        if dispatcher is not None and link.vm:
            dispatcher.links[link.vm] = link

    def _drop_link(self, name: str) -> None:
        link = self._links.pop(name)
        self._link_tasks.pop(name).cancel()
        dispatcher = self._dispatchers.get(link.target.group)
        if dispatcher is not None and dispatcher.links.get(link.vm) is link:
            dispatcher.forget(link.vm)

    def link_up(self, link: SlotLink) -> None:
        """Send the current suspicions to a newly connected slot."""
        self._join_dispatcher(link)
        self.suspicions.send_all(link.connection)

    def link_status(self, link: SlotLink) -> None:
        """Pass a slot's status to its dispatcher."""
        dispatcher = self._dispatchers.get(link.target.group)
        if dispatcher is not None:
            dispatcher.observe_status(link, self._clock.now())

    def link_grant(self, link: SlotLink, grant: Grant) -> None:
        """Pass a grant to the dispatcher of its slot."""
        dispatcher = self._dispatchers.get(link.target.group)
        if dispatcher is not None:
            dispatcher.use_grant(link, grant, self._clock.now())

    def link_suspicions(self, link: SlotLink, message: Suspicions) -> None:
        """Merge received suspicions, and forward the new ones."""
        self.suspicions.receive(link.connection, message)

    def link_part_reports(self, link: SlotLink, message: PartReports) -> None:
        """Merge evidence about prompt prefixes, and forward what is new."""
        self.suspicions.receive_parts(link.connection, message)

    async def _run_ticks(self) -> None:
        async for now in ticks(self._clock, self._has_waiting):
            for dispatcher in self._dispatchers.values():
                dispatcher.tick(now)

    def _has_waiting(self) -> bool:
        return any(len(dispatcher.queue) for dispatcher in self._dispatchers.values())

    def describe(self) -> dict[str, Any]:
        """Return what ``/status`` shows."""
        members = [
            {
                "vm": link.vm,
                "incarnation": link.connection.peer.incarnation if link.connection else "",
                "connected": link.connected,
                "leaving": bool(link.status and link.status.leaving),
            }
            for link in self._links.values()
        ]
        return {
            **self._describe_common(),
            "held": self._held(),
            "queued": {name: len(item.queue) for name, item in self._dispatchers.items()},
            "members": members,
        }

    def describe_usage(self) -> dict[str, Any]:
        """Return what ``/usage`` shows."""
        attainment: dict[str, dict[str, dict[str, int]]] = {}
        for row in self.ledger.attainment():
            counts = {"met": row.met, "missed": row.missed}
            attainment.setdefault(row.class_name, {})[row.target.value] = counts
        rows = [
            {
                "organisation": row.organisation,
                "class_name": row.class_name,
                "generated": row.generated_tokens,
                "wasted": row.wasted_tokens,
                "refusals": row.refusals,
            }
            for row in self.ledger.rows()
        ]
        return {"rows": rows, "attainment": attainment}

    def now(self) -> float:
        """Return the current time on the clock of the entry."""
        return self._clock.now()

    def wall(self) -> float:
        """Return the current time of day."""
        return self._clock.wall()
