"""Base class of entry and slot: identity, platform, configuration, tasks and shutdown."""

from __future__ import annotations

import asyncio
import random
import secrets
from abc import ABC, abstractmethod
from collections.abc import Collection
from typing import Any, ClassVar

import attrs

from burdockquay_coordination import ConfigurationHolder, EvacuatedDomains, EvacuationChange
from burdockquay_state import RecordLog, Snapshot

from ._background import BackgroundTasks, Begin, NamedTask
from ._clock import Clock, SystemClock, ticks
from ._config_sync import ConfigurationSync
from ._events import Event, log_event
from ._metrics import (
    EVACUATED_DOMAINS,
    TASKS_NOT_RUNNING,
    keep_flushing,
    make_sink,
    task_failure_counter,
)
from ._peer import Identity, PeerConnection, TrafficCounts
from ._platform import open_platform
from ._suspicion_exchange import SuspicionExchange


class Process(ABC):
    """Base class of an entry or slot process.

    Parameters
    ----------
    settings : EntrySettings or SlotSettings
    clock : Clock or None
        None uses the clocks of the operating system.
    rng : random.Random or None
        For placement and jitter; None seeds one from the operating system.
    known_schemas : collection of (str, int) or None
        Record schemas that the process supports; None for all of this release.
    """

    role: ClassVar[str]

    def __init__(
        self,
        settings: Any,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        known_schemas: Collection[tuple[str, int]] | None = None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.known_schemas = known_schemas

    @property
    def leaving(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self._leaving

    @property
    def snapshot(self) -> Snapshot:
        """Configuration in force."""
        return self._holder.snapshot

    @property
    @abstractmethod
    def port(self) -> int:
        """Port that accepts connections."""

    @property
    @abstractmethod
    def ready(self) -> bool:
        """Whether the process can serve requests."""

    async def start(self) -> None:
        """Start listening, and start the background tasks.

        Raises
        ------
        OSError
            If an address is in use.
        """
        self._open_common()
        self._open_components()
        await self._listen()
        common = {
            "configuration": self._sync.run,
            "metrics": lambda: keep_flushing(self.metrics),
            "suspicions": self.suspicions.load,
            "readiness": self._log_when_ready,
        }
        for name, begin in (common | self._background_tasks()).items():
            self._tasks.supervise(name, begin)
        log_event(Event.PROCESS_LISTENING, role=self.role, vm=self.settings.vm, port=self.port)

    async def stop(self, late_s: float = 0.0) -> None:
        """Shut down gracefully: accept no new work, finish running work, then close.

        Parameters
        ----------
        late_s : float
            Time since the process received the stop signal, seconds.

        Notes
        -----
        Requests that still run at ``stop_limit_s`` are aborted, and their callers get an error.
        """
        log_event(Event.PROCESS_STOPPING, role=self.role, held=self._held())
        self._leaving = True
        limit_s = max(0.0, self.settings.stop_limit_s - late_s)
        now = self._clock.now()
        self._on_leaving(now - late_s, now + limit_s)
        try:
            async with asyncio.timeout(limit_s):
                await self._finish_all()
        except TimeoutError:
            log_event(Event.STOP_LIMIT_REACHED, held=self._held())
            await self._abort_all("the limit of the shutdown was reached")
        await self.close()
        log_event(Event.PROCESS_STOPPED, role=self.role)

    def reload(self, settings: Any) -> Any:
        """Apply settings that can change at run time; there are none in this base class.

        Returns
        -------
        EntrySettings or SlotSettings
            Settings in force.
        """
        return self.settings

    async def abort(self) -> None:
        """Stop at once; running requests are aborted, and their callers get an error."""
        self._leaving = True
        await self._abort_all("the process was told to end at once")
        await self.close()

    async def close(self) -> None:
        """Close all resources without draining."""
        await self._close_components()
        await self._tasks.close()
        await self._platform.close()
        self.metrics.close()

    def _open_common(self) -> None:
        settings = self.settings
        self._clock = self.clock or SystemClock()
        self._rng = self.rng or random.Random(secrets.randbits(64))
        self.identity = Identity(
            settings.vm,
            settings.failure_domain,
            secrets.token_hex(8),
            getattr(settings, "group", ""),
        )
        self.traffic = TrafficCounts()
        self.metrics = make_sink(settings.metrics)
        self._tasks = BackgroundTasks(self._clock.now, self._rng, self._record_task)
        self._leaving = False
        self._platform = open_platform(settings.platform)
        self._holder = ConfigurationHolder(self.known_schemas)
        self.evacuations = EvacuatedDomains()
        self._sync = ConfigurationSync(
            self._holder,
            RecordLog(self._platform.table),
            self._clock,
            self._rng,
            settings.poll_interval_s,
            settings.table_read_budget,
            self._count_processes,
            self._apply_configuration,
        )
        self.suspicions = SuspicionExchange(
            self._platform.table, self._clock, self._rng, self._connected_peers, self._tasks.spawn
        )

    def _record_task(self, task: NamedTask) -> None:
        if not task.is_running:
            self.metrics.count(task_failure_counter(task.name))
        self.metrics.gauge(
            TASKS_NOT_RUNNING, sum(not item.is_running for item in self._tasks.named)
        )

    async def _log_when_ready(self) -> None:
        async for _ in ticks(self._clock, lambda: False):
            if self.ready:
                log_event(Event.PROCESS_READY, role=self.role, vm=self.settings.vm)
                return

    def _apply_configuration(self) -> None:
        """Apply the configuration in force."""
        change = self.evacuations.update(self._holder.entries_of("evacuation"))
        if change != EvacuationChange():
            self._record_evacuations(change)
        self._reconfigure(change)

    def _record_evacuations(self, change: EvacuationChange) -> None:
        now = self._clock.wall()
        for one in change.began:
            log_event(
                Event.EVACUATION_BEGAN,
                domain=one.domain,
                revision=one.revision,
                age_s=round(max(0.0, now - one.since), 3),
            )
        for one in change.ended:
            log_event(
                Event.EVACUATION_ENDED,
                domain=one.domain,
                revision=self._holder.revision,
                lasted_s=round(max(0.0, now - one.since), 3),
            )
        self.metrics.gauge(EVACUATED_DOMAINS, len(self.evacuations.names))

    def _describe_common(self) -> dict[str, Any]:
        """Return the part of ``/status`` that both roles have."""
        return {
            "vm": self.identity.vm,
            "role": self.role,
            "incarnation": self.identity.incarnation,
            "revision": self._holder.revision,
            "leaving": self._leaving,
            "evacuations": self.evacuations.describe(),
            "quarantine": self.suspicions.describe(),
            "table": {"healthy": self._sync.table_healthy},
            "tasks": self._tasks.describe(),
            "traffic": attrs.asdict(self.traffic),
        }

    @abstractmethod
    def _open_components(self) -> None:
        """Create the components of this role."""

    @abstractmethod
    async def _listen(self) -> None:
        """Start the servers."""

    @abstractmethod
    def _background_tasks(self) -> dict[str, Begin]:
        """Return what runs until the process closes, by name."""

    @abstractmethod
    def _reconfigure(self, evacuations: EvacuationChange) -> None:
        """Apply the configuration in force to the components of this role.

        Parameters
        ----------
        evacuations : EvacuationChange
            What the configuration changes about the evacuated failure domains.
        """

    @abstractmethod
    def _count_processes(self) -> int:
        """Return how many processes share the read budget of the table."""

    @abstractmethod
    def _connected_peers(self) -> list[PeerConnection]:
        """Return the connections that are up."""

    @abstractmethod
    def _held(self) -> int:
        """Return the number of unfinished requests."""

    @abstractmethod
    def _on_leaving(self, told_at: float, ends_at: float) -> None:
        """Announce that no new work is accepted.

        Parameters
        ----------
        told_at : float
            Time of the signal to stop.
        ends_at : float
            Time at which unfinished work is aborted.
        """

    @abstractmethod
    async def _finish_all(self) -> None:
        """Wait until all requests are finished."""

    @abstractmethod
    async def _abort_all(self, reason: str) -> None:
        """Abort what still runs, and report whether it may have run."""

    @abstractmethod
    async def _close_components(self) -> None:
        """Close the components of this role."""
