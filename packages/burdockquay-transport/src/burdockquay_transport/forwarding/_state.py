"""State of a forwarder that all its requests share."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Iterable, Sequence

from result import Err, Result

from burdockquay_coordination import (
    FleetSize,
    HeldAnswers,
    Homes,
    RegionDelays,
    RegionMap,
    SharedRetryBudget,
)
from burdockquay_coordination.forwarding import (
    ConfigDirectory,
    ConfigVersionTracker,
    CrashSuspects,
    Crowding,
    ForwardConfig,
    FreshnessLease,
    Interruption,
    LossRate,
    Mechanism,
    OriginRecord,
    PeerAvailability,
    PeerKnowledge,
    RouteServices,
    StreamOrigin,
    StreamVersions,
    UpstreamChanges,
    UpstreamRegistry,
)
from burdockquay_protocol import ErrorKind, RequestError
from burdockquay_state import TableError, TableErrorKind

from .._clock import Clock
from .._events import Event, log_event
from .._part_suspicions import PartSuspicions
from ._call import ForwardCall
from ._connections import UpstreamConnections
from ._dispatch import PromptDispatcher
from ._forwarder_metrics import ForwarderMetrics
from ._held_calls import HeldCalls
from ._late_calls import LateCalls
from ._list_coverage import ListCoverage
from ._origin_keeper import OriginKeeper
from ._platform import ForwardingPlatform
from ._rate_limits import RateLimits
from ._settings import ForwarderSettings
from ._shared_read import SharedRead
from ._statements import UpstreamStatements

LEASE_SHARE = 0.72
"""Share of the time allowed for the withdrawal of a key for which the last confirmed reading is
valid. The rest covers a send in progress and readings of a store that lags by a second."""

FLEET_MEMORY_FACTOR = 2.0
"""Time for which a larger number of processes is remembered, as a multiple of the window of the
retry budget."""

MAX_LIST_AGE_S = 10.0
"""Age from which the list of upstreams is too old to trust at a process without contact to others,
seconds: several long polls, so that a failed one alone restricts nothing."""

REQUIRED_READS = ("configuration", "upstreams", "suspicions")
"""Readings from the platform that a process needs before it can serve."""

REQUIRED_READS_TIMEOUT_S = 0.3
"""Longest time that a request waits for these readings, seconds: ten times their duration while the
platform answers. A request that waits longer is refused: its caller can use another process."""

CRASH_RETRY_AFTER_S = 10.0
"""When a caller may return whose request has a refused prompt part, seconds."""

AskPeers = Callable[..., Awaitable[PeerKnowledge]]
AnnounceVersions = Callable[[Collection[StreamOrigin]], None]
ReadConfigChange = Callable[[], Awaitable[Result[bool, TableError]]]
ReadListChanges = Callable[[], Awaitable[Result[UpstreamChanges, TableError]]]
WaitForPeers = Callable[[float], Awaitable[bool]]
SendStarts = Callable[[Iterable[tuple[bytes, StreamOrigin]]], None]


class ForwarderState:
    """Configuration, upstreams and budgets of one process.

    Parameters
    ----------
    settings : ForwarderSettings
    platform : ForwardingPlatform
    clock : Clock
    rng : random.Random
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        platform: ForwardingPlatform,
        clock: Clock,
        rng: random.Random,
    ):
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.rng = rng
        self.switches = platform.exchange.switches
        self.directory: ConfigDirectory | None = None
        self.lease = FreshnessLease(settings.withdrawal_ms / 1000 * LEASE_SHARE)
        self.config_versions = ConfigVersionTracker()
        memory_s = FLEET_MEMORY_FACTOR * settings.retry_window_s
        self.upstream_registry = UpstreamRegistry(rng, FleetSize(memory_s))
        self.suspects = CrashSuspects()
        self.crowding = Crowding()
        self.connected_peers: Callable[[], int] = lambda: 0
        # Connected processes of the same failure domain.
        self.connected_neighbours: Callable[[], int] = lambda: 0
        self.upstream_list_age_s: Callable[[float], float] = lambda now: 0.0
        self.read_list_changes: ReadListChanges = _read_nothing
        self.read_config_change: ReadConfigChange = _read_nothing
        self.config_changes = SharedRead(lambda: self.read_config_change())
        # Readings of the list at once, for decisions that need its present state.
        self.list_changes = SharedRead(lambda: self.read_list_changes())
        self.streams = StreamVersions()
        self.route_services = RouteServices()
        self.coverage = ListCoverage(self.streams, self.route_services, clock.now)
        self.origins = OriginKeeper(None, clock.now, rng, lambda: self.upstream_registry.processes)
        self.origins.on_several = self._send_begun
        self.others = PeerAvailability()
        self.region_map = RegionMap(settings.regions, settings.failure_domain)
        self.delays = RegionDelays(self.region_map)
        self.connections = UpstreamConnections(
            self._record_connect if self.region_map.has_several else None
        )
        self.leaving = False
        self.held_answers = HeldAnswers(settings.max_answer_bytes, settings.max_held_bytes)
        self.started_at = clock.now()
        self.metrics = ForwarderMetrics()
        self.late_calls = LateCalls(clock, self.metrics)
        self.parts = PartSuspicions(clock.now)
        self.rate_limits = RateLimits(
            clock, self.metrics, self.upstream_registry, rng, self.evaluate_waiting
        )
        self.held_calls = HeldCalls(clock, self.upstream_registry, self.rate_limits, rng)
        self.statements = UpstreamStatements(
            clock, self.metrics, self.upstream_registry, self.rate_limits
        )
        self.broadcast_crash: Callable[[str, list[str]], None] = lambda incarnation, digests: None
        # Whether a task without which this process serves by old data fails again and again.
        self.is_stuck: Callable[[], bool] = lambda: False
        self.send_stream_starts: SendStarts = lambda starts: None
        self.announce_versions: AnnounceVersions = lambda origins: None
        self.ask_stream_origin: AskPeers = _ask_nobody
        self.wait_for_peers: WaitForPeers = _wait_for_nobody
        # Whether a duty with this name, which one process at a time carries out, falls to this one.
        self.is_first_of: Callable[[str], bool] = lambda name: True
        self.count_usage: Callable[[str | None, float], None] = lambda organisation, begun_at: None
        # Called after each change of what this process sends to others.
        self.note_change: Callable[[], None] = lambda: None
        self._unread = set(REQUIRED_READS)
        self._required_reads_done = asyncio.Event()
        self._dispatchers: dict[str, PromptDispatcher] = {}
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._losses: dict[str, LossRate] = {}

    def record_read(self, what: str) -> None:
        """Record that something was read from the platform, for the first time or again.

        Parameters
        ----------
        what : str
            A member of ``REQUIRED_READS``.
        """
        self._unread.discard(what)
        if not self._unread:
            self._required_reads_done.set()

    async def wait_for_required_reads(self) -> None:
        """Wait a short time for the readings that the process needs to serve.

        A process that has just started queries the platform and has the answers some 30 ms later.
        Without this wait, it would refuse all callers that connected before.
        """
        if self._unread:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(REQUIRED_READS_TIMEOUT_S):
                    await self._required_reads_done.wait()

    def apply(self, config: ForwardConfig) -> bool:
        """Apply a configuration unless a newer one is in force; return whether it was applied."""
        if self.directory is not None and config.version <= self.directory.config.version:
            return False
        self.directory = ConfigDirectory(config, self.region_map)
        self.route_services.observe(config.version, config.routes, self.clock.now())
        for item in self.directory.without_home():
            log_event(Event.HOMES_FAULT, limited=item.name[:64], revision=config.version)
        for dispatcher in self._dispatchers.values():
            dispatcher.apply_homes()
        self.config_versions.record_held_version(config.version, self.clock.now())
        self.upstream_registry.set_memory_capacities(
            {item.service: item.tokens for item in config.memories}
        )
        self.upstream_registry.set_cold_starts(
            config.cold_starts,
            self.clock.now(),
            self.settings.cold_overage,
            self.settings.cold_slack,
        )
        self.rate_limits.apply_cold_starts()
        return True

    def confirm_configuration(self, as_of: float) -> None:
        """Confirm the configuration in force, if the platform still showed it at a time.

        Nothing is confirmed if a newer configuration is in force at any process: the platform then
        shows an old one, and keys that the newer one withdraws must not be honoured.
        """
        if not self.config_versions.is_behind:
            self.lease.confirm(as_of)
        self.note_change()

    def dispatcher(self, service: str) -> PromptDispatcher:
        """Return the dispatcher of the prompts of a service."""
        found = self._dispatchers.get(service)
        if found is None:
            found = PromptDispatcher(
                service,
                self.upstream_registry,
                self.clock,
                lambda: self.directory.targets(service),
                self.metrics,
                self.switches,
                self.held_calls,
                self.may_crash,
                self.delays,
                lambda: self.note_change(),
            )
            self._dispatchers[service] = found
        return found

    def find_homes(self, call: ForwardCall) -> Homes | None:
        """Return the regions in which a call may be served by the configuration now in force."""
        directory = self.directory
        if not directory.names_homes:
            return None
        request = call.request
        return directory.homes(request.host, request.path, call.organisation, call.route)

    def _record_connect(self, failure_domain: str, seconds: float) -> None:
        region = self.region_map.region_of(failure_domain)
        change = self.delays.record_connect(region, seconds, self.clock.now())
        if change is not None:
            log_event(
                Event.REGION_WAY_CHANGED,
                region=change.region,
                seconds=change.seconds,
                previous_s=change.previous_s,
            )

    def closes_new_connections(self) -> bool:
        """Return whether callers that connect now are better served by another process."""
        now = self.clock.now()
        if not self.crowding.is_behind(now):
            return False
        upstreams = self.upstream_registry.all()
        own = sum(item.outstanding for item in upstreams)
        elsewhere = sum(item.pending.running_elsewhere(now) for item in upstreams)
        processes = 1 + self.connected_peers()
        is_crowded = self.crowding.is_crowded(own, elsewhere, processes, now)
        self.metrics.closed_unread.inc(is_crowded)
        return is_crowded

    def may_crash(self, call: ForwardCall) -> bool:
        """Return whether the parts of a request may crash the upstream that begins to answer it."""
        return self.parts.may_crash(call.shared_parts)

    def is_crash_suspect(self, call: ForwardCall) -> bool:
        """Return whether upstreams have crashed under a request, for no other known cause."""
        explained = self.parts.explained_crashes()
        return self.suspects.is_refused(call.digest, self.clock.now(), explained)

    def refusal_by_parts(self, call: ForwardCall) -> RequestError | None:
        """Return the refusal of a request whose prompt parts crash upstreams, None for others."""
        refused = self.parts.refused(call.shared_parts)
        if not refused:
            return None
        detail = f"prompt parts {','.join(refused)}"
        return RequestError(ErrorKind.CRASH_SUSPECT, detail, retry_after_s=CRASH_RETRY_AFTER_S)

    def refresh_gauges(self) -> None:
        """Update the gauges; counters and histograms are always up to date."""
        now = self.clock.now()
        metrics = self.metrics
        age = self.lease.age(now)
        metrics.config_age.set(float("nan") if age is None else age)
        metrics.origins_known.set(self.coverage.is_complete)
        metrics.store_era.set(self.platform.exchange.era.newest)
        metrics.config_kept.set(self.config_versions.behind_s(now))
        metrics.keys_trusted.set(self.keys_trusted(now))
        metrics.revision.set(self.directory.config.version if self.directory else 0)
        metrics.members.set(self.upstream_registry.processes)
        for service in self._budgets:
            metrics.retry_burst.labels(service).set(self.budget(service).burst or 0.0)
        self.rate_limits.refresh_gauges()
        self.statements.refresh_gauges()
        metrics.evacuated.clear()
        for domain, evacuation in self.upstream_registry.evacuations.domains.items():
            metrics.evacuated.labels(domain).set(now - evacuation.since)
        if self.region_map.has_several:
            self.delays.expire(now)
            metrics.region_ways.clear()
            for region, way_s in self.delays.measured().items():
                metrics.region_ways.labels(region).set(way_s)
        suspects, refused = self.parts.count_states()
        metrics.crash_parts.labels("suspect").set(suspects)
        metrics.crash_parts.labels("refused").set(refused)
        for service, dispatcher in self._dispatchers.items():
            metrics.waiting.labels(service).set(len(dispatcher.queue))

    def evaluate_waiting(self) -> None:
        """Start the waiting calls that may start now."""
        self.held_calls.wake()
        for dispatcher in self._dispatchers.values():
            dispatcher.evaluate()

    def check_isolation(self) -> None:
        """Check whether the list of upstreams is too old to show which of them have turned cold.

        While another process is connected, it reports what it sees.
        """
        now = self.clock.now()
        registry = self.upstream_registry
        is_old = self.upstream_list_age_s(now) > MAX_LIST_AGE_S
        has_contact = registry.fleet.is_alone or self.connected_peers() > 0
        registry.set_isolated(is_old and not has_contact, now)
        self.rate_limits.apply_cold_starts()

    def record_down(self, incarnation: str) -> None:
        """Record that an upstream is down, and send peers the digests of what ran there."""
        now = self.clock.now()
        interrupted = self.suspects.record_down(incarnation, now)
        self.parts.record_down(incarnation)
        if not interrupted:
            return
        self.metrics.crashes.inc()
        log_event(
            Event.UPSTREAM_WENT_DOWN,
            upstream=incarnation,
            waiting=",".join(item.request for item in interrupted if not item.has_begun),
            begun=",".join(item.request for item in interrupted if item.has_begun),
            detected_s=now - interrupted[0].at,
            parts=_describe_parts(interrupted),
            suspects=self._describe_suspects(item.digest for item in interrupted),
        )
        self.parts.record_crash(
            incarnation, [item.parts for item in interrupted if not item.has_begun]
        )
        self.broadcast_crash(incarnation, [item.digest for item in interrupted])

    def receive_crash(self, incarnation: str, digests: Sequence[str], vm: str) -> None:
        """Record the report of a peer that an upstream went down."""
        now = self.clock.now()
        for digest in digests:
            self.suspects.record_crash(digest, incarnation, now)
        log_event(
            Event.UPSTREAM_REPORTED_DOWN,
            upstream=incarnation,
            by=vm,
            suspects=self._describe_suspects(digests),
        )

    def _describe_suspects(self, digests: Iterable[str]) -> str:
        """Return digests with the number of upstreams that crashed while they ran."""
        return ",".join(f"{digest}:{self.suspects.crashes(digest)}" for digest in digests)

    def losses(self, service: str) -> LossRate:
        """Return the rate at which the upstreams of a service go down."""
        return self._losses.setdefault(service, LossRate())

    def budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        settings = self.settings
        now = self.clock.now()
        found = self._budgets.get(service)
        if found is None:
            found = SharedRetryBudget(
                settings.retry_ratio, settings.retry_window_s, self.started_at
            )
            self._budgets[service] = found
        processes = self.upstream_registry.fleet.divisor(now)
        found.set_burst(None if processes is None else settings.retry_burst / processes, now)
        return found

    def keys_trusted(self, now: float) -> bool:
        """Return whether API keys may be honoured."""
        if not self.settings.keys_fail_closed:
            return True
        if self.config_versions.is_outdated(now) or self.config_versions.is_unverified(now):
            return False
        return self.lease.is_fresh(now)

    def keys_due_in_s(self, now: float) -> float:
        """Return the time until ``keys_trusted`` may change by time alone, seconds."""
        versions = self.config_versions
        if versions.is_behind or versions.is_unverified(now):
            return 0.0
        age_s = self.lease.age(now)
        left_s = float("inf") if age_s is None else self.lease.limit_s - age_s
        return left_s if left_s > 0.0 else float("inf")

    def observe_versions(self, service: str) -> None:
        """Record the software versions of the upstreams of a service, as they are listed now."""
        versions = [
            item.entry.software_version for item in self.upstream_registry.of_service(service)
        ]
        starts = self.streams.observe(service, versions, self.clock.now())
        if starts:
            self.send_stream_starts(starts)

    def _send_begun(self, record: OriginRecord) -> None:
        """Send the streams of a route whose streams no longer have a single origin."""
        services = {origin.service for origin in record.origins}
        starts = self.streams.begun_at(services, self.clock.now())
        if starts:
            self.send_stream_starts(starts)

    def refers_callers(self, now: float) -> bool:
        """Return whether callers should be referred to another process."""
        if not self.switches.uses(Mechanism.REFERRAL):
            return False
        return not self.can_serve(now) and self.others.can_serve(now)

    def can_serve(self, now: float) -> bool:
        """Return whether callers are served as well here as at any other process."""
        return self.keys_trusted(now) and not self.is_stuck()


def _describe_parts(interrupted: Iterable[Interruption]) -> str:
    """Return the parts of the requests that had no answer, with the number of these requests."""
    counts = Counter(part for item in interrupted if not item.has_begun for part in item.parts)
    return ",".join(f"{part}:{count}" for part, count in counts.most_common())


async def _read_nothing() -> Err[TableError]:
    """Return that the platform has not been read yet."""
    return Err(TableError(TableErrorKind.UNAVAILABLE, "not read yet"))


async def _ask_nobody(digest: bytes, service: str, count: int = 0) -> PeerKnowledge:
    """Return that nobody else knows a stream: the process connects to no others."""
    return PeerKnowledge(None)


async def _wait_for_nobody(limit_s: float) -> bool:
    """Return that no peer has connected: the process connects to no others."""
    return False
