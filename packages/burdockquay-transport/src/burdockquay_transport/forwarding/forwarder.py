"""The forwarder: a process that passes callers' requests to upstreams unchanged."""

from __future__ import annotations

import asyncio
import functools
import random
import secrets
from typing import TYPE_CHECKING

import attrs

from burdockquay_coordination import PartStore
from burdockquay_coordination.forwarding import Switches

from .._addresses import split_address
from .._background import BackgroundTasks
from .._clock import Clock, SuspendedClock
from .._early_listener import EarlyListener, listen_early
from .._events import Event, log_event
from .._part_keeper import PartKeeper
from .._status_http import StatusServer, serve_status
from ._feed_exchange import FeedExchange
from ._following import follow_configuration, follow_upstreams, remove_vanished_upstreams
from ._ingress import Ingress
from ._platform import PlatformAddress, forwarding_platforms, load_adapters
from ._settings import ForwarderSettings
from ._state import ForwarderState
from ._stream_origins import keep_origins

if TYPE_CHECKING:
    from .._peer import Identity
    from ._peers import PeerMesh
    from ._usage import UsageDuty

STOP_MARGIN_S = 0.8
"""Time between the end of a graceful shutdown and the time at which the platform kills the process,
seconds: for the last answers to arrive and the process to close."""


_TASKS = {
    "configuration": follow_configuration,
    "upstreams": follow_upstreams,
    "vanished_upstreams": remove_vanished_upstreams,
    "stream_origins": keep_origins,
}
"""Tasks that need only the state of the process, by name."""

_NEEDED_TO_SERVE = ("configuration", "upstreams")
"""Tasks without which a process serves by what it knew before."""


class Forwarder:
    """One forwarder process.

    Parameters
    ----------
    settings : ForwarderSettings
    clock : Clock or None
        None uses the clocks of the operating system, with suspended time counted.
    rng : random.Random or None
        Used for placement and jitter; None seeds one from the operating system.
    early : EarlyListener or None
        Socket that already listens for callers; None opens one in ``start``.
    """

    role = "forwarder"

    def __init__(
        self,
        settings: ForwarderSettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        early: EarlyListener | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.early = early

    @property
    def port(self) -> int:
        """Port where callers connect."""
        return self._ingress.port

    @property
    def status_port(self) -> int:
        """Port of readiness and status."""
        return self._status.port

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send new connections of callers.

        A process without any configuration cannot serve. One whose configuration is old can still
        serve callers without keys: if it became unready, a failure of the store would make all
        processes unready at once. It is unready only while another process reports that it can
        serve.
        """
        state = self._state
        if state.directory is None or state.leaving:
            return False
        return not state.refers_callers(state.clock.now())

    async def start(self) -> None:
        """Listen, and start following the configuration and the upstreams.

        Raises
        ------
        OSError
            If an address is in use.
        """
        settings = self.settings
        load_adapters(settings.adapters)
        platform_class = forwarding_platforms.get(settings.platform.adapter)
        clock = self.clock or SuspendedClock()
        address = PlatformAddress(settings.platform.address, settings.platform.timeout_s, clock.now)
        rng = self.rng or random.Random(secrets.randbits(64))
        exchange = FeedExchange(rng, Switches(settings.mechanisms_off))
        self._state = ForwarderState(settings, platform_class(address, exchange), clock, rng)
        self._tasks = BackgroundTasks(clock.now, rng, self._state.metrics.record_task)
        self._state.is_stuck = lambda: self._tasks.is_failing(_NEEDED_TO_SERVE)
        exchange.faults.on_fault = self._state.metrics.record_odd_entry
        regions = self._state.region_map
        if regions.has_several:
            log_event(
                Event.REGIONS_SET,
                region=regions.own_region,
                regions=",".join(sorted(regions.names)),
            )
        await self._state.platform.open()
        self._state.origins.table = self._state.platform.origin_table()
        self._state.origins.spawn = self._tasks.spawn
        self._state.coverage.table = self._state.platform.checkpoint_table()
        self._state.connections.open()
        self._ingress = Ingress(self._state)
        await self._ingress.start(self.early or listen_early(settings.listen))
        self._status: StatusServer = await serve_status(
            *split_address(settings.status_listen),
            lambda: self.ready,
            self.describe,
            self._expose,
        )
        self._incarnation = secrets.token_hex(8)
        self._tasks.supervise("caller_guard", self._ingress.guard.run)
        self._tasks.supervise("prompt_parts", lambda: self._keep_parts(clock))
        self._mesh = self._open_mesh()
        self._usage = self._open_usage()
        for name, work in _TASKS.items():
            self._tasks.supervise(name, functools.partial(work, self._state))
        log_event(
            Event.PROCESS_LISTENING,
            role=self.role,
            vm=settings.vm,
            port=self.port,
            status_port=self.status_port,
        )
        log_event(Event.MECHANISMS_SET, off=",".join(settings.mechanisms_off))

    def _open_mesh(self) -> PeerMesh | None:
        """Start connecting to the other forwarders; None if the settings have no peer address."""
        settings = self.settings
        if settings.peer_listen is None:
            return None
        # The modules for peers are imported after callers are served: the import takes a tenth of
        # the startup time.
        from ._peers import PeerMesh

        mesh = PeerMesh(self._state, self._identity(), settings.peer_listen)
        self._state.broadcast_crash = mesh.broadcast_crash
        self._state.connected_peers = lambda: mesh.connected
        self._state.connected_neighbours = lambda: mesh.connected_neighbours
        self._tasks.supervise("peers", mesh.run)
        return mesh

    async def _keep_parts(self, clock: Clock) -> None:
        """Read the refused prompt parts from the platform, and write what changes from now on."""
        table = self._state.platform.suspicion_table()
        if table is not None:
            keeper = PartKeeper(self._state.parts, PartStore(table), clock.wall, self._tasks.spawn)
            await keeper.load()
        self._state.record_read("suspicions")

    def _identity(self) -> Identity:
        from .._peer import Identity

        return Identity(self.settings.vm, self.settings.failure_domain, self._incarnation)

    def _open_usage(self) -> UsageDuty | None:
        """Start counting and reporting usage; None if the platform does not ask for it."""
        settings = self.settings
        if settings.duty_address is None:
            return None
        sink = self._state.platform.usage_sink(settings.duty_address, settings.duty_names)
        if sink is None:
            return None
        from burdockquay_coordination.usage import ReportTerms
        from burdockquay_protocol import ClockReading, UsageCounts

        from ._peers import post_all
        from ._usage import UsageDuty, exchange_usage

        mesh = self._mesh
        usage = UsageDuty(
            self._state,
            self._identity(),
            lambda: exchange_usage(mesh.peer_connections.values()) if mesh else {},
            post_all,
            self._state.platform.duty_table(),
            sink,
            ReportTerms(
                settings.usage_window_s, settings.usage_due_s, settings.duty_lease_ms / 1000
            ),
        )
        self._state.count_usage = usage.count
        if mesh is not None:
            mesh.add_handler(UsageCounts, usage.receive_counts)
            mesh.add_handler(ClockReading, usage.receive_clock)
        self._tasks.supervise("usage_sharing", usage.keep_sharing)
        self._tasks.supervise("usage_reports", usage.keep_reporting)
        return usage

    def reload(self, settings: ForwarderSettings) -> ForwarderSettings:
        """Apply the settings that can change while the process runs; return those in force."""
        off = settings.mechanisms_off
        self.settings = attrs.evolve(self.settings, mechanisms_off=off)
        self._state.switches.off = off
        log_event(Event.MECHANISMS_SET, off=",".join(off))
        return self.settings

    def describe(self) -> dict[str, object]:
        """Return what ``/status`` shows."""
        state = self._state
        now = state.clock.now()
        return {
            "vm": self.settings.vm,
            "role": self.role,
            "leaving": state.leaving,
            "held": self._ingress.held,
            "revision": state.directory.config.version if state.directory else None,
            "configuration_age_s": state.lease.age(now),
            "upstreams": len(state.upstream_registry),
            "leaving_upstreams": sum(item.entry.leaving for item in state.upstream_registry.all()),
            "evacuations": {
                domain: {
                    "seconds": now - evacuation.since,
                    "era": evacuation.position.era,
                    "revision": evacuation.position.revision,
                    "kept": evacuation.kept_at is not None,
                }
                for domain, evacuation in state.upstream_registry.evacuations.domains.items()
            },
            "peers": self._mesh.connected if self._mesh else 0,
            "crash_parts": state.parts.describe(),
            "tasks": self._tasks.describe(),
        }

    def _expose(self) -> bytes:
        self._state.refresh_gauges()
        self._state.metrics.refresh_tasks(self._tasks.named)
        list_age_s = self._state.upstream_list_age_s(self._state.clock.now())
        self._state.metrics.list_age.set(list_age_s)
        if self._usage is not None:
            self._usage.refresh_gauges()
        self._ingress.refresh_gauges()
        self._state.metrics.peers.set(self._mesh.connected if self._mesh else 0)
        if self._mesh is not None and self._mesh.connected:
            self._state.metrics.loads_age.set(self._mesh.loads_age(self._state.clock.now()))
        return self._state.metrics.expose()

    async def stop(self, late_s: float = 0.0) -> None:
        """Shut down gracefully: become unready, finish the running requests, then close.

        Parameters
        ----------
        late_s : float
            Time since the process received the signal to stop, seconds.

        Notes
        -----
        The load balancer sends requests until it has checked readiness twice. Connections refused
        meanwhile would be requests lost by a planned stop.
        """
        settings = self.settings
        log_event(Event.PROCESS_STOPPING, role=self.role, held=self._ingress.held)
        self._state.leaving = True
        limit_s = max(0.0, settings.stop_limit_s - STOP_MARGIN_S - late_s)
        delay_s = max(0.0, settings.leave_delay_s - late_s)
        now = self._state.clock.now()
        self._state.late_calls.stop_at(now - late_s, now + limit_s, now + delay_s)
        self._tasks.supervise("end_of_stop", self._ingress.release_unfinishable)
        try:
            async with asyncio.timeout(limit_s):
                await asyncio.sleep(delay_s)
                await self._ingress.stop_accepting()
                await self._ingress.finish_all()
        except TimeoutError:
            log_event(Event.STOP_LIMIT_REACHED, held=self._ingress.held)
        await self._ingress.answer_unfinished()
        if self._usage is not None:
            self._usage.share_last()
        if self._mesh is not None:
            await self._mesh.leave()
        await self.close()
        log_event(Event.PROCESS_STOPPED, role=self.role)

    async def abort(self) -> None:
        """Stop at once; running requests are cancelled, and their callers receive an error."""
        self._state.leaving = True
        now = self._state.clock.now()
        self._state.late_calls.stop_at(now, ends_at=now, certain_from=now)
        await self._ingress.answer_unfinished()
        await self.close()

    async def close(self) -> None:
        """Close servers and connections."""
        await self._tasks.close()
        # Closed concurrently: each may wait for peers that do not answer, and one after the other
        # they would take longer than the time that a stop leaves for them.
        closing = [self._ingress.close(), self._status.close()]
        if self._mesh is not None:
            closing.append(self._mesh.close())
        await asyncio.gather(*closing)
        await self._state.connections.close()
        await self._state.platform.close()
