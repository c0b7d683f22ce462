"""The slot: the process beside one upstream, which decides what runs there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from burdockquay_coordination import (
    AnswerContext,
    AtMostOnceGuard,
    ClaimEra,
    EvacuationChange,
    LoadTurns,
    OrderRunner,
    OutcomeWriter,
    PlaceGrant,
    RunGate,
    SlotScheduler,
    StatementChange,
    StatementChangeKind,
    Statements,
    classes_of_group,
)
from burdockquay_protocol import (
    Cancel,
    CrashNotice,
    Demand,
    ErrorKind,
    FetchLog,
    Goodbye,
    Grant,
    Heartbeat,
    LogPart,
    NotRun,
    PartReports,
    ReturnGrant,
    Run,
    SlotStatus,
    Suspicions,
)
from burdockquay_state import ClaimStore, GroupCommitter, GroupRecord, LeaseStore

from . import _engine_client, _service_client  # noqa: F401 (they register upstream clients)
from ._addresses import bind_socket
from ._background import Begin
from ._claim_expiry import ClaimExpiry, claim_incarnation
from ._clock import ticks
from ._cold_upstream import ColdUpstream
from ._era_follower import EraFollower
from ._late_runs import LateRuns
from ._order_follower import HttpOrderTarget, OrderFollower
from ._peer import HEARTBEAT_S, RECEIVE_TIMEOUT_S, PeerConnection
from ._peer_server import PeerServer
from ._process import Process
from ._slot_runner import SlotRunner
from ._statement_events import STATEMENT_GAUGES, log_change, log_fault
from ._status_http import serve_status
from ._status_sender import StatusSender
from ._upstream import UpstreamSessions, upstream_clients
from ._upstream_health import UpstreamHealth

IDLE_PROBE_FACTOR = 4.0
"""Interval of the measurements of an idle upstream, as a multiple of the probe interval."""


class Slot(Process):
    """One slot process; see :class:`Process` for the parameters."""

    role = "slot"

    @property
    def port(self) -> int:
        """Port where entries connect."""
        return self._peers.port

    @property
    def status_port(self) -> int:
        """Port of the read-only HTTP pages."""
        return self._status_server.port

    @property
    def ready(self) -> bool:
        """Whether the slot has a configuration that contains its group."""
        return self._holder.ready and self._group is not None

    def _open_components(self) -> None:
        settings = self.settings
        self._crashes = 0
        self._peers = PeerServer(
            self.identity,
            bytes.fromhex(settings.peer_key),
            settings.flush_interval_s,
            self.traffic,
            self.metrics.count,
            self._make_handlers(),
            self._peer_up,
            self._peer_down,
        )
        self._status = StatusSender(
            self._make_status, self._connected_peers, settings.status_interval_s
        )
        self._open_runner()

    async def _listen(self) -> None:
        settings = self.settings
        await self._peers.listen(bind_socket(settings.host, settings.port))
        self._status_server = await serve_status(
            settings.host, settings.status_port, lambda: self.ready, self.describe
        )

    def _background_tasks(self) -> dict[str, Begin]:
        return {
            "ticks": self._run_ticks,
            "status": self._status.run,
            "idle_measurement": self._measure_when_idle,
            "leaving_upstream": self._watch_leaving_upstream,
            "claim_expiry": self._expiry.run,
            "era": self._eras.run,
            "orders": self._orders.run,
        }

    def _connected_peers(self) -> list[PeerConnection]:
        return self._peers.all()

    def _held(self) -> int:
        return self._runner.held

    def _on_leaving(self, told_at: float, ends_at: float) -> None:
        # Entries send what is queued here to other slots, or keep it until this one is back.
        self._runner.late_runs.stop_at(told_at, ends_at, told_at)
        self._runner.run_scheduler(self._clock.now())
        self._stop_taking_work()

    async def _finish_all(self) -> None:
        await self._runner.finish_all()
        await self._orders.stop()
        await self._outcomes.flush()

    async def _abort_all(self, reason: str) -> None:
        self._runner.abort_all(reason, self._clock.now())

    async def _close_components(self) -> None:
        await self._peers.close()
        await self._health.close()
        await self._status_server.close()
        await self._sessions.close()

    def _open_runner(self) -> None:
        settings = self.settings
        terms = settings.cold_start
        cold = () if terms is None else (terms.duration_s, terms.per_s)
        self._gate = RunGate(self._clock.now(), *cold)
        self._cold = ColdUpstream(self._gate, self._clock, self.metrics)
        self._sessions = UpstreamSessions(self._record_statements)
        self._committer = GroupCommitter(self._platform.table)
        claims = ClaimStore(self._platform.table, self._platform.objects, self._committer)
        self._claims = claims
        self._outcomes = OutcomeWriter(claims, self._clock.wall)
        holder = claim_incarnation(settings.vm, self.identity.incarnation)
        eras = ClaimEra(claims, self._clock.now)
        self._eras = EraFollower(eras, self._clock)
        self._guard = AtMostOnceGuard(claims, self._outcomes, eras, holder)
        self._expiry = ClaimExpiry(
            self._platform, holder, settings.claim_retention_s, self._clock, self._rng
        )
        self._orders = self._make_follower(claims, eras, holder)
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
            self._status.counts_changed,
            self._gate,
            LateRuns(self._clock, self.metrics),
            lambda: self._cold.begin("refused"),
        )
        self._health = UpstreamHealth(
            self._client,
            self._clock,
            settings.probe_interval_s,
            self._health_changed,
            self._record_crash,
            self._gate,
            lambda: self._is_evacuated,
        )
        self._runner.health = self._health

    def _make_follower(self, claims: ClaimStore, eras: ClaimEra, holder: str) -> OrderFollower:
        settings = self.settings
        leases = LeaseStore(self._platform.table)
        runner = OrderRunner(
            claims,
            leases,
            self._outcomes,
            eras,
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
        # A slot receives every change from its entries, which share the read budget among all
        # processes of the VM list. Its own reads only cover the case that all its entries are cut
        # off from the table, and become rarer with the number of entries. With a read per interval
        # from each slot, thousands of slots would exceed the reads that the table can serve.
        readers_in_budget = self.settings.table_read_budget * self.settings.poll_interval_s
        return round(readers_in_budget * (1 + len(self._connected_peers())))

    @property
    def _is_evacuated(self) -> bool:
        return self.evacuations.covers(self.settings.failure_domain)

    def _reconfigure(self, evacuations: EvacuationChange) -> None:
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
        self.suspicions.withdraw(snapshot.withdrawals.values())
        if any(one.domain == self.settings.failure_domain for one in evacuations.began):
            self._runner.refuse_queued("the failure domain is evacuated", now)
            self._drop_demand(now)
        if any(one.domain == self.settings.failure_domain for one in evacuations.ended):
            self._cold.begin("evacuation")
        self._runner.run_scheduler(now)
        self._status.send_now()

    def _replace_client(self, kind: str) -> None:
        self._client = upstream_clients.get(kind)(self.settings.upstream_url, self._sessions)
        self._runner.client = self._client
        self._health.client = self._client
        self._scheduler.can_pause = self._client.can_pause

    def _find_priority(self, class_name: str) -> int:
        record = self._holder.snapshot.classes.get(class_name)
        return record.priority if record else 0

    def _peer_up(self, peer: PeerConnection) -> None:
        peer.keep_alive(HEARTBEAT_S, RECEIVE_TIMEOUT_S, self._sync.heartbeat)
        self._sync.add_peer(peer)
        self.suspicions.send_all(peer)
        peer.post(self._make_status())

    def _peer_down(self, peer: PeerConnection) -> None:
        self._sync.remove_peer(peer)
        self._runner.drop_peer(peer.peer.incarnation, self._clock.now())

    def _make_handlers(self) -> dict[type, Callable[[PeerConnection, Any], None]]:
        return {
            Run: self._on_run,
            Cancel: self._on_cancel,
            Demand: self._on_demand,
            ReturnGrant: self._on_return_grant,
            Heartbeat: lambda peer, message: self._sync.fetch_if_behind(peer, message.revision),
            FetchLog: self._sync.answer_fetch,
            LogPart: self._sync.receive_part,
            Suspicions: self.suspicions.receive,
            PartReports: self.suspicions.receive_parts,
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
        if self._is_evacuated or not self._gate.takes_work(self._clock.now()):
            return ErrorKind.NO_PLACE
        if run.deadline_s <= 0:
            return ErrorKind.DEADLINE_EXCEEDED
        return None

    def _takes_work(self) -> bool:
        """Return whether the upstream is healthy, neither leaves nor rests, nor is evacuated."""
        restricted = self._is_evacuated or not self._gate.takes_work(self._clock.now())
        return self._health.healthy and not restricted

    def _on_cancel(self, peer: PeerConnection, message: Cancel) -> None:
        self._runner.cancel(message.request, message.attempt, self._clock.now())

    def _on_demand(self, peer: PeerConnection, message: Demand) -> None:
        now = self._clock.now()
        # A slot that accepts no work must not send grants.
        refuses_work = self._leaving or self._gate.is_leaving or self._is_evacuated
        accepts_work = not refuses_work and self._health.healthy
        classes = message.classes if accepts_work else []
        self._scheduler.set_demand(peer.peer.incarnation, classes, now)
        self._runner.run_scheduler(now)

    def _on_return_grant(self, peer: PeerConnection, message: ReturnGrant) -> None:
        now = self._clock.now()
        self._scheduler.return_grant(message.grant, now)
        self._runner.run_scheduler(now)

    def _record_crash(self, digests: Sequence[str]) -> None:
        self.metrics.count("upstream.crashed")
        self._cold.begin("crash")
        if self._is_evacuated:
            # The operator stops what is left there; the requests that ran are no suspects.
            return
        self._crashes += 1
        for peer in self._connected_peers():
            peer.post(CrashNotice(f"{self.identity.incarnation}:{self._crashes}"))
        added = self.suspicions.record_crash(digests)
        self._tasks.spawn(self.suspicions.save(added))

    def _post_grant(self, place: PlaceGrant, grant: Grant) -> None:
        peer = self._peers.get(place.peer)
        if peer is None:
            self._scheduler.return_grant(place.grant, self._clock.now())
        else:
            peer.post(grant)

    def _record_statements(self, statements: Statements, waited_s: float) -> None:
        """Apply what an answer of the upstream states."""
        kept = self._gate.statements
        for kind, fault in kept.new_faults(statements):
            log_fault(kind, fault)
        now = self._clock.now()
        # The upstream is reached on a private network, so that its answers need no further proof.
        answer = AnswerContext(now - waited_s, is_proved=True)
        changes = dict(kept.record_answer(statements, answer, now))
        for kind, change in changes.items():
            self._log_statement(kind, change)
        if not changes:
            return
        if not self._gate.takes_work(now):
            self._runner.refuse_queued("the upstream takes no requests now", now)
        if self._gate.is_leaving:
            self._stop_taking_work()
        self._runner.run_scheduler(now)

    def _log_statement(self, kind: str, change: StatementChange) -> None:
        log_change(kind, change)
        self.metrics.gauge(STATEMENT_GAUGES[kind], change.after or 0.0)

    async def _watch_leaving_upstream(self) -> None:
        """Probe an upstream that leaves until another run answers in its place, until cancelled."""
        while True:
            await asyncio.sleep(self.settings.probe_interval_s)
            if self._is_evacuated:
                continue
            if self._gate.is_leaving and (
                not await self._client.probe() or self._gate.is_new_run()
            ):
                self._begin_upstream_run()

    def _begin_upstream_run(self) -> None:
        """Forget what the upstream has stated, since its run has ended."""
        self._gate.begin_run(self._clock.now())
        self._cold.begin("replaced")
        self._log_statement("leaving", StatementChange(StatementChangeKind.ENDED, 1.0, None))
        self._health.probe_soon()
        self._status.send_now()

    async def _run_ticks(self) -> None:
        async for now in ticks(self._clock, self._needs_ticks):
            due = self._scheduler.next_deadline(now)
            if self._cold.ends(now):
                self._runner.run_scheduler(now)
            if due is not None and due <= now:
                self._runner.expire(now)
            elif self._gate.is_restricted(now):
                self._runner.run_scheduler(now)

    def _needs_ticks(self) -> bool:
        now = self._clock.now()
        return self._scheduler.next_deadline(now) is not None or self._gate.is_restricted(now)

    async def _measure_when_idle(self) -> None:
        """Measure the time per token of an idle upstream, until cancelled.

        Entries send no work to an upstream that was slow. Without work there would be no new
        measurement and the upstream would stay ejected, so the slot sends a small request itself.
        """
        interval_s = IDLE_PROBE_FACTOR * self.settings.probe_interval_s
        while True:
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            idle = self.ready and self._takes_work() and not self._runner.held
            models = self._group.models if idle else []
            if not models or not self._runner.latency.is_stale(interval_s, self._clock.now()):
                continue
            if not self._gate.may_start(self._clock.now()):
                continue
            self._gate.take(self._clock.now())
            step_s = await self._client.measure(models[0])
            if step_s is None and self.settings.cold_start is not None:
                # An engine that restarts while it is idle shows in nothing else.
                self._cold.begin("probe")
                self._health.probe_soon()
            if step_s is not None and not self._runner.held:
                self._runner.latency.replace(step_s, self._clock.now())
                self._status.counts_changed()

    def _health_changed(self) -> None:
        if self._health.healthy:
            self._cold.begin("probe")
            self._status.send_now()
        else:
            self._stop_taking_work()

    def _stop_taking_work(self) -> None:
        """Drop the demand of all entries, and send them the status."""
        self._drop_demand(self._clock.now())
        self._status.send_now()

    def _drop_demand(self, now: float) -> None:
        for peer in self._connected_peers():
            self._scheduler.set_demand(peer.peer.incarnation, [], now)

    def _make_status(self) -> SlotStatus:
        now = self._clock.now()
        counts = self._scheduler.counts(now)
        group = self._group
        places = group.places if group else 0
        if self._gate.is_restricted(now):
            # A place without a start is not free: entries would send requests that only wait here.
            starts = max(0, int(self._gate.available(now)))
            places = min(places, counts.running + counts.granted + counts.queued + starts)
        return SlotStatus(
            places,
            counts.running + counts.granted,
            counts.queued,
            counts.protected_running,
            round(self._runner.latency.step_s(self._runner.token_gap_s(now)), 5),
            round(self._runner.latency.first_token_s, 5),
            self._health.healthy,
            self._leaving,
            self._holder.revision,
        )

    def describe(self) -> dict[str, Any]:
        """Return what ``/status`` shows."""
        status = self._make_status()
        members = [
            {
                "vm": peer.peer.vm,
                "incarnation": peer.peer.incarnation,
                "connected": True,
                "leaving": False,
            }
            for peer in self._connected_peers()
        ]
        return {
            **self._describe_common(),
            "healthy": status.healthy,
            "places": status.places,
            "running": status.running,
            "queued": status.queued,
            "protected_shed": self._scheduler.protected_shed,
            "members": members,
            "claims": {
                "outcomes_pending": self._outcomes.pending,
                "outcomes_retried": self._outcomes.retries,
                "outcomes_lost": self._outcomes.lost,
                "remembered": len(self._claims.recent_claims),
                "era": self._claims.table.era,
                "table_transactions": self._committer.writes,
                "table_writes": self._committer.operations,
                "table_reads": self._claims.reads,
            },
        }
