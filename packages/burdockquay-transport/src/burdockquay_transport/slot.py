"""The slot: the process beside one upstream, and the authority on what runs there."""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from result import Err
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed

from burdockquay_coordination import (
    ConfigurationHolder,
    LoadTurns,
    OnceGuard,
    OrderRunner,
    OutcomeWriter,
    PlaceGrant,
    QuarantineBook,
    SlotScheduler,
    SuspicionStore,
    classes_of_group,
    load_until_read,
)
from burdockquay_protocol import (
    Cancel,
    Demand,
    ErrorKind,
    FetchLog,
    Goodbye,
    Grant,
    Heartbeat,
    LogPart,
    NotRun,
    ReturnGrant,
    Run,
    SlotStatus,
    Suspicion,
    Suspicions,
)
from burdockquay_state import ClaimStore, GroupCommitter, GroupRecord, LeaseStore, RecordLog

from . import _engine_client, _service_client  # noqa: F401 (they register upstream clients)
from ._claim_expiry import ClaimExpiry, claim_incarnation
from ._clock import Clock, SystemClock, ticks
from ._config_sync import ConfigurationSync
from ._events import Event, log_event
from ._metrics import keep_flushing, make_sink
from ._order_follower import HttpOrderTarget, OrderFollower
from ._peer import (
    WEBSOCKET_OPTIONS,
    Identity,
    PeerConnection,
    TrafficCounts,
    greet_entry,
    report_fault,
    report_out_of_order,
)
from ._platform import open_platform
from ._settings import SlotSettings
from ._slot_runner import SlotRunner
from ._status_http import serve_status
from ._upstream import UpstreamSessions, upstream_clients
from ._upstream_health import UpstreamHealth

HEARTBEAT_S = 1.0
"""Idle time after which a heartbeat is sent, seconds."""

SILENCE_S = 5.0
"""Silence after which a connection is given up, seconds."""

QUARANTINE_RETENTION_S = 3600.0
"""How long a suspicion against a request is kept, seconds."""

IDLE_PROBE_FACTOR = 4.0
"""Interval of the measurements of an idle upstream, in intervals of the probes."""

STATUS_BYTES = 60
"""Size of a status message on the wire, bytes."""

STATUS_BYTES_PER_S = 1000.0
"""Traffic that status messages to all entries together may cause, bytes a second."""


class Slot:
    """One slot process.

    Parameters
    ----------
    settings : SlotSettings
    clock : Clock or None
        None takes the clocks of the operating system.
    rng : random.Random or None
        Jitter; None seeds one from the operating system.
    """

    def __init__(
        self,
        settings: SlotSettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng

    async def start(self) -> None:
        """Listen for entries and HTTP, and begin to follow the configuration.

        Raises
        ------
        OSError
            If an address is in use.
        """
        settings = self.settings
        self._clock = self.clock or SystemClock()
        self._rng = self.rng or random.Random(secrets.randbits(64))
        self.identity = Identity(
            settings.vm, settings.failure_domain, secrets.token_hex(8), settings.group
        )
        self.traffic = TrafficCounts()
        self.metrics = make_sink(settings.metrics)
        self._peers: dict[str, PeerConnection] = {}
        self._tasks: set[asyncio.Task] = set()
        self._leaving = False
        self._status_wanted = asyncio.Event()
        self._urgent_status: tuple | None = None
        self._platform = open_platform(settings.platform)
        self._sessions = UpstreamSessions()
        self._open_configuration()
        self._open_runner()
        self._handlers = self._make_handlers()
        await self._listen()
        for task in (
            self._sync.run(),
            keep_flushing(self.metrics),
            self._watch_time(),
            self._send_status(),
            self._measure_when_idle(),
            self._load_suspicions(),
            self._expiry.run(),
            self._orders.run(),
        ):
            self._spawn(task)
        log_event(Event.PROCESS_LISTENING, role="slot", vm=settings.vm, port=self.port)

    @property
    def port(self) -> int:
        """Port where entries connect."""
        return self._server.sockets[0].getsockname()[1]

    @property
    def status_port(self) -> int:
        """Port of the read-only HTTP."""
        return self._status_server.port

    @property
    def ready(self) -> bool:
        """Whether the slot has a configuration with its group in it."""
        return self._holder.ready and self._group is not None

    async def stop(self) -> None:
        """Shut down gracefully: refuse new work, finish what runs, then close.

        Notes
        -----
        What still runs at ``stop_limit_s`` is cut, and its callers are told that it failed.
        """
        log_event(Event.PROCESS_STOPPING, role="slot", held=self._runner.held)
        self._leaving = True
        self._wake_status()
        try:
            async with asyncio.timeout(self.settings.stop_limit_s):
                await self._runner.finish_all()
                await self._outcomes.flush()
        except TimeoutError:
            log_event(Event.STOP_LIMIT_REACHED, held=self._runner.held)
            self._runner.cut_all("the limit of the shutdown was reached", self._clock.now())
        await self.close()
        log_event(Event.PROCESS_STOPPED, role="slot")

    async def abort(self) -> None:
        """Stop at once; what ran is cut, and its entries are told so."""
        self._leaving = True
        self._runner.cut_all("the process was told to end at once", self._clock.now())
        await self.close()

    async def close(self) -> None:
        """Close all at once; what ran is cut."""
        for peer in list(self._peers.values()):
            peer.post(Goodbye("shutdown"))
            await peer.drain()
        self._server.close()
        await self._server.wait_closed()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._health.close()
        await self._status_server.close()
        await self._sessions.close()
        await self._platform.close()
        self.metrics.close()

    def _open_configuration(self) -> None:
        self._holder = ConfigurationHolder()
        self._sync = ConfigurationSync(
            self._holder,
            RecordLog(self._platform.table),
            self._clock,
            self._rng,
            self.settings.poll_interval_s,
            self.settings.table_read_budget,
            self._count_processes,
            self._reconfigure,
        )

    def _open_runner(self) -> None:
        settings = self.settings
        self._committer = GroupCommitter(self._platform.table)
        claims = ClaimStore(self._platform.table, self._platform.objects, self._committer)
        self._outcomes = OutcomeWriter(claims, self._clock.wall)
        holder = claim_incarnation(settings.vm, self.identity.incarnation)
        self._guard = OnceGuard(claims, self._outcomes, holder)
        self._expiry = ClaimExpiry(
            self._platform, holder, settings.claim_retention_s, self._clock, self._rng
        )
        self._orders = self._make_follower(claims, holder)
        self._quarantine = QuarantineBook(QUARANTINE_RETENTION_S)
        self._store = SuspicionStore(self._platform.table)
        kind = "engine"
        self._client = upstream_clients.get(kind)(settings.upstream_url, self._sessions)
        self._scheduler = SlotScheduler(
            0, {}, {}, self._holder.snapshot.policy, can_pause=self._client.can_pause
        )
        self._runner = SlotRunner(
            self._scheduler,
            self._client,
            self._guard,
            self._clock,
            self._find_priority,
            self._post_grant,
            self._status_wanted.set,
        )
        self._health = UpstreamHealth(
            self._client,
            self._clock,
            settings.probe_interval_s,
            self._wake_status,
            self._note_crash,
        )
        self._runner.health = self._health

    def _make_follower(self, claims: ClaimStore, holder: str) -> OrderFollower:
        settings = self.settings
        leases = LeaseStore(self._platform.table)
        runner = OrderRunner(
            claims,
            leases,
            self._outcomes,
            LoadTurns(leases, holder, self._rng, settings.load_turns, settings.load_turn_s),
            HttpOrderTarget(settings.upstream_url, self._sessions),
            settings.vm,
            holder,
        )
        return OrderFollower(
            runner,
            settings.group,
            settings.vm,
            lambda: self._holder.snapshot,
            self._clock,
            self._rng,
        )

    @property
    def _group(self) -> GroupRecord | None:
        return self._holder.snapshot.groups.get(self.settings.group)

    def _count_processes(self) -> int:
        # A slot hears of every change from its entries, which share the budget of reads among all
        # processes by the VM list. It reads by itself only in case all of them are cut off from
        # the table, the more rarely the more of them there are. With a read every interval from
        # each, thousands of slots would take more reads than the table has.
        readers_in_budget = self.settings.table_read_budget * self.settings.poll_interval_s
        return round(readers_in_budget * (1 + len(self._peers)))

    def _reconfigure(self) -> None:
        snapshot = self._holder.snapshot
        group = self._group
        now = self._clock.now()
        if group is not None and not isinstance(
            self._client, upstream_clients.get(group.upstream_kind)
        ):
            self._replace_client(group.upstream_kind)
        weights = {name: item.weight for name, item in snapshot.organisations.items()}
        places = group.places if group else 0
        classes = classes_of_group(snapshot, self.settings.group)
        self._scheduler.configure(places, classes, weights, snapshot.policy, now)
        for withdrawal in snapshot.withdrawals.values():
            self._quarantine.withdraw(withdrawal.digest, self._clock.wall())
        self._runner.fill_places(now)
        self._wake_status()

    def _replace_client(self, kind: str) -> None:
        self._client = upstream_clients.get(kind)(self.settings.upstream_url, self._sessions)
        self._runner.client = self._client
        self._health.client = self._client
        self._scheduler.can_pause = self._client.can_pause

    def _find_priority(self, class_name: str) -> int:
        known = self._holder.snapshot.classes.get(class_name)
        return known.priority if known else 0

    async def _listen(self) -> None:
        self._server = await serve(
            self._serve_entry, self.settings.host, self.settings.port, **WEBSOCKET_OPTIONS
        )
        self._status_server = await serve_status(
            self.settings.host, self.settings.status_port, lambda: self.ready, self.describe
        )

    def _spawn(self, work: Any) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve_entry(self, websocket: Any) -> None:
        """Own one connection: handshake, then one message after another until it closes."""
        greeted = await greet_entry(
            websocket,
            self.identity,
            bytes.fromhex(self.settings.peer_key),
            self.settings.flush_interval_s,
            self.traffic,
        )
        if isinstance(greeted, Err):
            log_event(Event.HANDSHAKE_REFUSED, reason=greeted.err())
            self.metrics.count("peer.handshake_refused")
            await websocket.close(code=1008, reason="handshake refused")
            return
        peer = greeted.ok()
        writer = self._spawn(peer.write())
        try:
            await self._register(peer)
            await self._read_messages(peer)
        except ConnectionClosed:
            pass
        finally:
            await self._unregister(peer)
            writer.cancel()

    async def _register(self, peer: PeerConnection) -> None:
        name = peer.peer.incarnation
        older = self._peers.get(name)
        if older is not None:
            # The entry came back before this side noticed that its old connection had broken.
            await older.close("replaced by a newer connection")
            self._runner.drop_peer(name, self._clock.now())
        self._peers[name] = peer
        log_event(Event.PEER_CONNECTED, vm=peer.peer.vm, incarnation=name)
        peer.keep_alive(HEARTBEAT_S, SILENCE_S, self._sync.heartbeat)
        self._sync.add_peer(peer)
        peer.post(Suspicions(self._quarantine.suspicions(self._clock.wall())))
        peer.post(self._status())

    async def _unregister(self, peer: PeerConnection) -> None:
        name = peer.peer.incarnation
        self._sync.remove_peer(peer)
        await peer.close("")
        if self._peers.get(name) is not peer:
            return
        del self._peers[name]
        log_event(Event.PEER_DISCONNECTED, vm=peer.peer.vm, incarnation=name)
        self._runner.drop_peer(name, self._clock.now())

    async def _read_messages(self, peer: PeerConnection) -> None:
        while True:
            received = await peer.receive()
            if isinstance(received, Err):
                report_fault(received.err(), peer.peer.vm, self.metrics.count)
                return
            message = received.ok()
            handler = self._handlers.get(type(message))
            if handler is None:
                report_out_of_order(message, peer.peer.vm, self.metrics.count)
                return
            handler(peer, message)

    def _make_handlers(self) -> dict[type, Callable[[PeerConnection, Any], None]]:
        return {
            Run: self._on_run,
            Cancel: self._on_cancel,
            Demand: self._on_demand,
            ReturnGrant: self._on_return_grant,
            Heartbeat: lambda peer, message: self._sync.peer_has(peer, message.revision),
            FetchLog: self._sync.answer_fetch,
            LogPart: self._sync.receive_part,
            Suspicions: self._on_suspicions,
            Goodbye: lambda peer, message: None,
        }

    def _on_run(self, peer: PeerConnection, run: Run) -> None:
        refusal = self._find_refusal(run)
        if refusal is None:
            self._runner.accept(peer, run, self._clock.now())
            return
        if run.grant:
            self._scheduler.return_grant(run.grant, self._clock.now())
        peer.post(NotRun(run.request, run.attempt, refusal))

    def _find_refusal(self, run: Run) -> ErrorKind | None:
        if self._leaving:
            return ErrorKind.LEAVING
        if not self.ready:
            return ErrorKind.NOT_READY
        if not self._health.healthy:
            return ErrorKind.NO_UPSTREAM
        if run.deadline_s <= 0:
            return ErrorKind.DEADLINE_EXCEEDED
        return None

    def _on_cancel(self, peer: PeerConnection, message: Cancel) -> None:
        self._runner.cancel(message.request, message.attempt, self._clock.now())

    def _on_demand(self, peer: PeerConnection, message: Demand) -> None:
        now = self._clock.now()
        # A slot that takes no work must not promise a place.
        takes_work = not self._leaving and self._health.healthy
        classes = message.classes if takes_work else []
        self._scheduler.set_demand(peer.peer.incarnation, classes, now)
        self._runner.fill_places(now)

    def _on_return_grant(self, peer: PeerConnection, message: ReturnGrant) -> None:
        now = self._clock.now()
        self._scheduler.return_grant(message.grant, now)
        self._runner.fill_places(now)

    def _on_suspicions(self, peer: PeerConnection, message: Suspicions) -> None:
        news = self._quarantine.merge(message.suspicions, self._clock.wall())
        if news:
            self._tell_suspicions(news, except_peer=peer)

    def _tell_suspicions(
        self, suspicions: list[Suspicion], except_peer: PeerConnection | None = None
    ) -> None:
        for peer in self._peers.values():
            if peer is not except_peer:
                peer.post(Suspicions(suspicions))

    def _note_crash(self, digests: Sequence[str]) -> None:
        news = self._quarantine.note_crash(digests, self._clock.wall())
        self.metrics.count("upstream.crashed")
        log_event(Event.QUARANTINE_SUSPECTED, digests=",".join(item.digest for item in news))
        self._tell_suspicions(news)
        self._spawn(self._store.save(news, self._clock.wall()))

    def _post_grant(self, place: PlaceGrant, grant: Grant) -> None:
        peer = self._peers.get(place.peer)
        if peer is None:
            self._scheduler.return_grant(place.grant, self._clock.now())
        else:
            peer.post(grant)

    async def _watch_time(self) -> None:
        async for now in ticks(self._clock, self._has_deadlines):
            due = self._scheduler.next_deadline(now)
            if due is not None and due <= now:
                self._runner.expire(now)

    def _has_deadlines(self) -> bool:
        return self._scheduler.next_deadline(self._clock.now()) is not None

    async def _measure_when_idle(self) -> None:
        """Refresh the pace of an upstream that has no work.

        Entries give no work to an upstream that was slow. Without work it would bring no figures,
        and stay out for ever; so a small request of the slot's own takes the place of users' ones.
        """
        interval_s = IDLE_PROBE_FACTOR * self.settings.probe_interval_s
        while True:
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            idle = self.ready and self._health.healthy and not self._runner.held
            models = self._group.models if idle else []
            if not models or not self._runner.pace.is_stale(interval_s, self._clock.now()):
                continue
            step_s = await self._client.measure(models[0])
            if step_s is not None and not self._runner.held:
                self._runner.pace.replace(step_s, self._clock.now())
                self._status_wanted.set()

    async def _load_suspicions(self) -> None:
        """Take over what was known of dangerous requests before this process began."""
        loaded = await load_until_read(self._store, self._clock.wall, self._rng)
        self._quarantine.merge(loaded, self._clock.wall())

    def _wake_status(self) -> None:
        now = self._clock.now()
        if self._leaving or not self._health.healthy:
            for name in self._peers:
                self._scheduler.set_demand(name, [], now)
        for peer in self._peers.values():
            peer.post(self._status())

    async def _send_status(self) -> None:
        """Tell the entries the counts after changes, within a budget of bytes."""
        last = None
        while True:
            await self._status_wanted.wait()
            self._status_wanted.clear()
            status = self._status()
            if status != last:
                last = status
                for peer in self._peers.values():
                    peer.post(status)
            budget_s = STATUS_BYTES * len(self._peers) / STATUS_BYTES_PER_S
            await asyncio.sleep(max(self.settings.status_interval_s, budget_s))

    def _status(self) -> SlotStatus:
        now = self._clock.now()
        counts = self._scheduler.counts(now)
        group = self._group
        return SlotStatus(
            group.places if group else 0,
            counts.running + counts.granted,
            counts.queued,
            counts.protected_running,
            round(self._runner.pace.step_s(self._runner.silence_s(now)), 5),
            round(self._runner.pace.first_token_s, 5),
            self._health.healthy,
            self._leaving,
            self._holder.revision,
        )

    def describe(self) -> dict[str, Any]:
        """Return what ``/status`` shows."""
        status = self._status()
        return {
            "vm": self.identity.vm,
            "role": "slot",
            "incarnation": self.identity.incarnation,
            "revision": self._holder.revision,
            "leaving": self._leaving,
            "healthy": status.healthy,
            "places": status.places,
            "running": status.running,
            "queued": status.queued,
            "protected_shed": self._scheduler.protected_shed,
            "members": [
                {
                    "vm": peer.peer.vm,
                    "incarnation": peer.peer.incarnation,
                    "connected": True,
                    "leaving": False,
                }
                for peer in self._peers.values()
            ],
            "quarantine": [
                attrs.asdict(item) for item in self._quarantine.suspicions(self._clock.wall())
            ],
            "table": {"healthy": self._sync.table_healthy},
            "traffic": attrs.asdict(self.traffic),
        }
