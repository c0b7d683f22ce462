"""The entry: the process that callers talk to."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Collection
from typing import Any

import attrs
from result import Err

from burdockquay_coordination import (
    AdmissionController,
    ConfigurationHolder,
    MembershipBook,
    OnceResolver,
    QuarantineBook,
    RetryBudget,
    RouteTable,
    SuspicionStore,
    UsageLedger,
    choose_subset,
    load_until_read,
)
from burdockquay_protocol import Goodbye, Grant, Suspicions
from burdockquay_state import ClaimStore, RecordLog, VmEntry

from ._call_runner import CallRunner
from ._caller_http import CallerServer
from ._clock import Clock, SystemClock, ticks
from ._config_sync import ConfigurationSync
from ._dispatcher import GroupDispatcher
from ._events import Event, log_event
from ._metrics import keep_flushing, make_sink
from ._peer import Identity, TrafficCounts
from ._platform import open_platform
from ._settings import EntrySettings
from ._slot_link import LinkListener, SlotLink

QUARANTINE_RETENTION_S = 3600.0
"""How long a suspicion against a request is kept, seconds."""

BOOTSTRAP_LINKS = 4
"""Slots connected to while there is no configuration yet."""

RETRY_BURST = 20
"""Retries that may be made at once, whatever the share of fresh traffic."""


class Entry(LinkListener):
    """One entry process.

    Parameters
    ----------
    settings : EntrySettings
    clock : Clock or None
        None takes the clocks of the operating system.
    rng : random.Random or None
        Placement and jitter; None seeds one from the operating system.
    known_schemas : collection of (str, int) or None
        Record schemas that the process acts on; None for all of this release.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        known_schemas: Collection[tuple[str, int]] | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.known_schemas = known_schemas

    async def start(self) -> None:
        """Listen for callers, and begin to follow the configuration and the VM list.

        Raises
        ------
        OSError
            If the address is in use.
        """
        settings = self.settings
        self._clock = self.clock or SystemClock()
        self._rng = self.rng or random.Random(secrets.randbits(64))
        self.identity = Identity(settings.vm, settings.failure_domain, secrets.token_hex(8))
        self.traffic = TrafficCounts()
        self.metrics = make_sink(settings.metrics)
        self.ledger = UsageLedger()
        self._tasks: set[asyncio.Task] = set()
        self._links: dict[str, SlotLink] = {}
        self._link_tasks: dict[str, asyncio.Task] = {}
        self._dispatchers: dict[str, GroupDispatcher] = {}
        self._listed: list[VmEntry] = []
        self._wanted: set[str] = set()
        self._steady = False
        self._vm_list_healthy = True
        self._leaving = False
        self._platform = open_platform(settings.platform)
        self._open_parts()
        self._server = CallerServer(self)
        await self._server.start(settings.host, settings.port)
        for task in (
            self._sync.run(),
            self._follow_vm_list(),
            self._watch_time(),
            keep_flushing(self.metrics),
            self._load_suspicions(),
        ):
            self._spawn(task)
        log_event(Event.PROCESS_LISTENING, role="entry", vm=settings.vm, port=self.port)

    @property
    def port(self) -> int:
        """Port where callers connect."""
        return self._server.port

    @property
    def status_port(self) -> int:
        """Port of the read-only HTTP; the same as the callers'."""
        return self._server.port

    @property
    def ready(self) -> bool:
        """Whether callers are served: there is a configuration and some slot takes work."""
        return (
            self._holder.ready
            and not self._leaving
            and any(dispatcher.ready for dispatcher in self._dispatchers.values())
        )

    @property
    def leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._leaving

    @property
    def snapshot(self):
        """The configuration in force."""
        return self._holder.snapshot

    def dispatcher(self, group: str) -> GroupDispatcher | None:
        """Return the dispatcher of an upstream group, None if no record names it."""
        return self._dispatchers.get(group)

    async def stop(self) -> None:
        """Shut down gracefully: unready, finish what runs, then close.

        Notes
        -----
        What still runs at ``stop_limit_s`` is cut, and its callers are told that it broke off.
        """
        log_event(Event.PROCESS_STOPPING, role="entry", held=self._server.held)
        self._leaving = True
        try:
            async with asyncio.timeout(self.settings.stop_limit_s):
                await self._server.finish_all()
        except TimeoutError:
            log_event(Event.STOP_LIMIT_REACHED, held=self._server.held)
            await self._server.cut_all()
        await self.close()
        log_event(Event.PROCESS_STOPPED, role="entry")

    async def abort(self) -> None:
        """Stop at once; callers are told that their answers broke off."""
        await self._server.cut_all()
        await self.close()

    async def close(self) -> None:
        """Close all at once."""
        await self._server.close()
        for link in self._links.values():
            link.post(Goodbye("shutdown"))
            if link.connection is not None:
                await link.connection.drain()
        tasks = [*self._tasks, *self._link_tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.metrics.close()
        await self._platform.close()

    def _open_parts(self) -> None:
        settings = self.settings
        self._holder = ConfigurationHolder(self.known_schemas)
        self._sync = ConfigurationSync(
            self._holder,
            RecordLog(self._platform.table),
            self._clock,
            self._rng,
            settings.poll_interval_s,
            settings.table_read_budget,
            lambda: self._book.processes,
            self._reconfigure,
        )
        self._book = MembershipBook(settings.vm)
        self.quarantine = QuarantineBook(QUARANTINE_RETENTION_S)
        self.admission = AdmissionController()
        self.budget = RetryBudget(self.snapshot.policy.retry_ratio, RETRY_BURST)
        self.routes = RouteTable(self.snapshot)
        claims = ClaimStore(self._platform.table, self._platform.objects)
        self.runner = CallRunner(
            OnceResolver(claims),
            self.quarantine,
            self.budget,
            self.ledger,
            self.metrics,
            self._clock,
        )

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _reconfigure(self) -> None:
        snapshot = self.snapshot
        now = self._clock.now()
        self.routes = RouteTable(snapshot)
        self.admission.configure(snapshot.classes, snapshot.organisations, snapshot.policy, now)
        self.budget.ratio = snapshot.policy.retry_ratio
        for withdrawal in snapshot.withdrawals.values():
            self.quarantine.withdraw(withdrawal.digest, self._clock.wall())
        for name in snapshot.groups:
            dispatcher = self._dispatchers.get(name)
            if dispatcher is not None:
                dispatcher.configure(snapshot, now)
                continue
            self._dispatchers[name] = GroupDispatcher(
                name,
                snapshot,
                self.settings.failure_domain,
                self._clock,
                self._rng,
                self.admission,
                lambda vm: self._book.usable(vm, self._clock.now()),
            )
        self._connect_targets()

    async def _follow_vm_list(self) -> None:
        while True:
            listed = await self._platform.vms.list()
            self._note_vm_list(not isinstance(listed, Err))
            if isinstance(listed, Err):
                self._try_seeds()
            else:
                self._take_list(listed.ok())
            interval = self.settings.vm_list_interval_s
            await asyncio.sleep(interval * self._rng.uniform(0.8, 1.2))

    def _take_list(self, entries: list[VmEntry]) -> None:
        """Bring the connections in line with a reading of the VM list.

        Notes
        -----
        The subsets are chosen from every slot of the list, which at thousands of slots takes more
        of a core each second than all other control. While the list stays the same and every
        connection stands, the choice would be the same.
        """
        changed = entries != self._listed
        if changed:
            self._listed = entries
            self._book.update_list(entries, self._clock.now())
        was_steady, self._steady = self._steady, self._is_steady()
        if changed or not (was_steady and self._steady):
            self._connect_targets()

    def _is_steady(self) -> bool:
        """Return whether all wanted slots, and no others, are connected and stay."""
        return self._wanted == {link.vm for link in self._links.values()} and all(
            link.connected and not (link.status and link.status.leaving)
            for link in self._links.values()
        )

    def _try_seeds(self) -> None:
        """Connect to the slots that the settings name, while no slot is known at all."""
        if self._links:
            return
        for address in self.settings.seed_slots:
            host, _, port = address.rpartition(":")
            # Only the handshake tells whose address it is.
            self._add_link(VmEntry("", "slot", host.strip("[]"), int(port), 0, ""), address)

    def _note_vm_list(self, healthy: bool) -> None:
        if healthy == self._vm_list_healthy:
            return
        self._vm_list_healthy = healthy
        log_event(Event.VM_LIST_RECOVERED if healthy else Event.VM_LIST_UNREADABLE)

    def _connect_targets(self) -> None:
        """Open and drop connections so that they match the membership."""
        wanted = {target.vm: target for target in self._choose_targets()}
        for name, link in list(self._links.items()):
            target = wanted.get(link.vm)
            is_same = target is not None and target.port == link.target.port
            if not is_same and not link.outstanding and (wanted or not link.connected):
                self._drop_link(name)
        linked = {link.vm for link in self._links.values()}
        for vm, target in wanted.items():
            if vm not in linked:
                self._add_link(target, vm)
        self._wanted = set(wanted)
        for link in self._links.values():
            self._join_dispatcher(link)

    def _choose_targets(self) -> list[VmEntry]:
        now = self._clock.now()
        if self._holder.ready:
            groups = self.snapshot.groups.values()
            return [target for group in groups for target in self._book.targets(group, now)]
        # Without a configuration no group is known. Any slot may have the configuration, which
        # matters while the table is down.
        slots = [entry for entry in self._listed if entry.role == "slot"]
        return choose_subset(self.settings.vm, slots, BOOTSTRAP_LINKS)

    def _add_link(self, target: VmEntry, name: str) -> None:
        link = SlotLink(
            target,
            self.identity,
            bytes.fromhex(self.settings.peer_key),
            self._book,
            self._sync,
            self,
            self.traffic,
            self._clock,
            self._rng,
            self.metrics.count,
        )
        self._links[name] = link
        self._link_tasks[name] = asyncio.create_task(link.run())

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
        """Tell a newly connected slot the suspicions known here."""
        self._join_dispatcher(link)
        link.post(Suspicions(self.quarantine.suspicions(self._clock.wall())))

    def link_status(self, link: SlotLink) -> None:
        """Hand a slot's state to its dispatcher."""
        dispatcher = self._dispatchers.get(link.target.group)
        if dispatcher is not None:
            dispatcher.observe_status(link, self._clock.now())

    def link_grant(self, link: SlotLink, grant: Grant) -> None:
        """Hand a promised place to the dispatcher of its slot."""
        dispatcher = self._dispatchers.get(link.target.group)
        if dispatcher is not None:
            dispatcher.take_grant(link, grant, self._clock.now())

    def link_suspicions(self, link: SlotLink, message: Suspicions) -> None:
        """Take over suspicions, and pass them on if any was new."""
        news = self.quarantine.merge(message.suspicions, self._clock.wall())
        if not news:
            return
        log_event(Event.QUARANTINE_SUSPECTED, digests=",".join(item.digest for item in news))
        for other in self._links.values():
            if other is not link:
                other.post(Suspicions(news))

    async def _load_suspicions(self) -> None:
        """Take over what was known of dangerous requests before this process began."""
        store = SuspicionStore(self._platform.table)
        loaded = await load_until_read(store, self._clock.wall, self._rng)
        self.quarantine.merge(loaded, self._clock.wall())

    async def _watch_time(self) -> None:
        async for now in ticks(self._clock, self._has_waiting):
            for dispatcher in self._dispatchers.values():
                dispatcher.tick(now)

    def _has_waiting(self) -> bool:
        return any(len(dispatcher.queue) for dispatcher in self._dispatchers.values())

    def describe(self) -> dict[str, Any]:
        """Return what ``/status`` shows."""
        return {
            "vm": self.identity.vm,
            "role": "entry",
            "incarnation": self.identity.incarnation,
            "revision": self._holder.revision,
            "leaving": self._leaving,
            "held": self._server.held,
            "queued": {name: len(item.queue) for name, item in self._dispatchers.items()},
            "members": [
                {
                    "vm": link.vm,
                    "incarnation": link.connection.peer.incarnation if link.connection else "",
                    "connected": link.connected,
                    "leaving": bool(link.status and link.status.leaving),
                }
                for link in self._links.values()
            ],
            "quarantine": [
                attrs.asdict(item) for item in self.quarantine.suspicions(self._clock.wall())
            ],
            "table": {"healthy": self._sync.table_healthy},
            "traffic": attrs.asdict(self.traffic),
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
        """Return the present time on the clock of the entry."""
        return self._clock.now()

    def wall(self) -> float:
        """Return the present time of day."""
        return self._clock.wall()
