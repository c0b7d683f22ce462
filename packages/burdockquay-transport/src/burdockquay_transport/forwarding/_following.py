"""Keep the configuration and the upstreams of a forwarder up to date."""

from __future__ import annotations

import asyncio

from result import Err

from burdockquay_coordination.forwarding import (
    FIRST_ERA,
    ForwardConfig,
    UpstreamChanges,
    UpstreamRegistry,
    poll_wait_s,
)
from burdockquay_state import TableError

from .._events import Event, log_event
from ._evacuation import apply_evacuations
from ._state import ForwarderState
from ._stream_origins import observe_origins

MAX_CONFIG_POLL_S = 1.7
"""Longest time for which the platform may hold a query for changes of the configuration, seconds. A
process that connects to no others has no other confirmation."""

MAX_UPSTREAMS_POLL_S = 2.5
"""The same for the list of upstreams, seconds."""

FIRST_RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.6
"""Pauses after failed queries, seconds: doubled from the first to the longest, with jitter. API
keys are honoured for 3.6 s after the last answer (``LEASE_SHARE`` of the 5 s allowed for a
withdrawal), so that some queries fit in before that time ends."""

BATCH_PAUSE_S = 0.1
"""Pause after a change of the upstreams before the next query, seconds: when many start or shut
down together, one answer has the changes of a tenth of a second. Short compared with the two
seconds or more for which a draining upstream still serves."""

SETTLE_INTERVAL_S = 0.25
"""Time between two checks of the upstreams that vanished from the list, seconds."""


class _RetryBackoff:
    """Exponential pauses after failed queries, and one log line for each failure and recovery."""

    def __init__(self, state: ForwarderState, failed_event: Event, recovered_event: Event):
        self.state = state
        self.failed_event = failed_event
        self.recovered_event = recovered_event
        self._pause_s = FIRST_RETRY_PAUSE_S
        self._failures = 0
        self._failed_at = 0.0

    async def after_failure(self, error: TableError) -> None:
        """Wait before the next query."""
        if not self._failures:
            log_event(self.failed_event, reason=error.kind, detail=error.detail)
            self._failed_at = self.state.clock.now()
        self._failures += 1
        await asyncio.sleep(self._pause_s * self.state.rng.uniform(0.5, 1.0))
        self._pause_s = min(self._pause_s * 2, MAX_RETRY_PAUSE_S)

    def record_success(self) -> None:
        """Reset the pause to the shortest one."""
        if self._failures:
            seconds = self.state.clock.now() - self._failed_at
            log_event(self.recovered_event, failures=self._failures, seconds=seconds)
        self._failures = 0
        self._pause_s = FIRST_RETRY_PAUSE_S


async def follow_configuration(state: ForwarderState) -> None:
    """Apply each new configuration and confirm the current one, until cancelled."""
    source = state.platform.configuration()
    backoff = _RetryBackoff(state, Event.TABLE_UNAVAILABLE, Event.TABLE_RECOVERED)
    state.read_config_change = source.has_changed
    wait_s = poll_wait_s(state.settings.config_apply_ms / 1000, MAX_CONFIG_POLL_S)
    while True:
        read = await source.next(wait_s)
        if isinstance(read, Err):
            await backoff.after_failure(read.err())
            continue
        reading = read.ok()
        if reading.evacuations is not None:
            # Before the configuration, which makes the process ready.
            apply_evacuations(state, reading.evacuations, reading.as_of)
        if reading.fault is not None:
            await backoff.after_failure(reading.fault)
            continue
        backoff.record_success()
        if reading.config is not None:
            _apply_configuration(state, reading.config, reading.as_of)
        state.confirm_configuration(reading.as_of)
        state.record_read("configuration")


def _apply_configuration(state: ForwarderState, config: ForwardConfig, as_of: float) -> None:
    now = state.clock.now()
    state.config_versions.record_shown_version(config.version, now)
    if state.directory is None and state.platform.exchange.era.newest > FIRST_ERA:
        state.config_versions.record_unverified(now)
    if state.apply(config):
        log_event(
            Event.CONFIGURATION_APPLIED,
            revision=config.version,
            routes=len(config.routes),
            levels=state.directory.describe_levels(),
            age_s=now - as_of,
        )
    if state.config_versions.is_behind:
        log_event(
            Event.CONFIGURATION_KEPT,
            revision=state.directory.config.version,
            shown=config.version,
            newest=state.config_versions.newest,
            age_s=state.lease.age(now),
        )


async def follow_upstreams(state: ForwarderState) -> None:
    """Apply each change of the list of upstreams, until cancelled."""
    source = state.platform.upstreams()
    state.upstream_list_age_s = source.age_s
    state.read_list_changes = source.read_changes
    state.coverage.read_since = source.read_since
    state.coverage.listed = source.listed
    backoff = _RetryBackoff(state, Event.VM_LIST_UNREADABLE, Event.VM_LIST_RECOVERED)
    wait_s = poll_wait_s(state.settings.drain_ms / 1000, MAX_UPSTREAMS_POLL_S)
    while True:
        read = await source.next(wait_s)
        now = state.clock.now()
        if isinstance(read, Err):
            state.upstream_registry.record_list_failure(now)
            await backoff.after_failure(read.err())
            continue
        backoff.record_success()
        changes = read.ok()
        if changes.has_missed:
            state.streams.note_missed(now)
        for entry in changes.superseded:
            state.streams.note_seen(entry.service, entry.software_version, now)
        if changes.whole or not changes.is_continuous:
            state.streams.restart_watch(now)
        ended = state.upstream_registry.apply(changes, now)
        state.rate_limits.apply_cold_starts()
        state.record_read("upstreams")
        for incarnation in ended:
            state.record_down(incarnation)
        if changes.after_restore:
            _log_kept(state.upstream_registry, changes)
        if changes.listed or changes.removed or changes.unreadable:
            log_event(
                Event.UPSTREAMS_CHANGED,
                listed=",".join(entry.incarnation for entry in changes.listed),
                leaving=",".join(entry.id for entry in changes.listed if entry.leaving),
                removed=",".join(changes.removed),
                unreadable=",".join(entry.id for entry in changes.unreadable),
                over=",".join(ended),
                known=len(state.upstream_registry),
            )
            for service in state.upstream_registry.services:
                state.observe_versions(service)
            observe_origins(state)
            await asyncio.sleep(BATCH_PAUSE_S)


def _log_kept(upstream_registry: UpstreamRegistry, changes: UpstreamChanges) -> None:
    """Log which known entries are kept although a store restored from a copy differs."""
    listed = {entry.id for entry in changes.listed if not entry.leaving}
    leaving = [
        item.id for item in upstream_registry.all() if item.entry.leaving and item.id in listed
    ]
    log_event(
        Event.UPSTREAMS_KEPT,
        leaving=",".join(leaving),
        withheld=",".join(upstream_registry.withheld),
        missing=",".join(upstream_registry.missing),
    )


async def remove_vanished_upstreams(state: ForwarderState) -> None:
    """Remove vanished upstreams once the list can be trusted again, until cancelled."""
    while True:
        await asyncio.sleep(SETTLE_INTERVAL_S)
        state.upstream_registry.settle(state.clock.now())
        state.check_isolation()
