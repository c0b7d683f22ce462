"""What all requests of a forwarder share."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from burdockquay_coordination.forwarding import (
    ConfigDirectory,
    ConfigStanding,
    CrashSuspects,
    ForwardConfig,
    FreshnessLease,
    LossRate,
    Mechanism,
    OtherProcesses,
    RetryWindow,
    UpstreamBook,
)

from .._clock import Clock
from ._connections import UpstreamConnections
from ._dispatch import PromptDispatcher
from ._figures import Figures
from ._platform import ForwardingPlatform
from ._settings import ForwarderSettings

LEASE_SHARE = 0.72
"""Part of the time allowed for the withdrawal of a key during which the last confirmed reading is
good. The rest covers a send that is under way and readings of a store that lags by a second."""

ASSUMED_PROCESSES = 10
"""Least number of processes among which the repeats beyond the ratio are split: a process may not
know the others yet."""

FIRST_READS = ("configuration", "upstreams")
"""What a process reads from the platform before it can serve."""

FIRST_READS_S = 0.3
"""Longest time that a request waits for these readings, seconds: ten times what they take while
the platform answers. A request that waits longer is refused: its caller can go elsewhere."""


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
        self.standing = ConfigStanding()
        self.book = UpstreamBook(rng)
        self.suspects = CrashSuspects()
        self.others = OtherProcesses()
        self.connections = UpstreamConnections()
        self.leaving = False
        self.figures = Figures()
        self.tell_crash: Callable[[str, list[str]], None] = lambda incarnation, digests: None
        self._unread = set(FIRST_READS)
        self._knows_all = asyncio.Event()
        self._dispatchers: dict[str, PromptDispatcher] = {}
        self._budgets: dict[str, RetryWindow] = {}
        self._losses: dict[str, LossRate] = {}

    def note_read(self, what: str) -> None:
        """Note that something was read from the platform for the first time or once more.

        Parameters
        ----------
        what : str
            A member of ``FIRST_READS``.
        """
        self._unread.discard(what)
        if not self._unread:
            self._knows_all.set()

    async def wait_for_first_reads(self) -> None:
        """Wait until the process knows what it needs to serve, a short time at most.

        A process that has just started asks the platform and has its answers some 30 ms later.
        Callers that wait in its queue would all be refused in that moment.
        """
        if self._unread:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FIRST_READS_S):
                    await self._knows_all.wait()

    def apply(self, config: ForwardConfig) -> bool:
        """Take over a configuration unless a newer one is in force; return whether it is new."""
        if self.directory is not None and config.version <= self.directory.config.version:
            return False
        self.directory = ConfigDirectory(config)
        self.standing.note_held(config.version, self.clock.now())
        self.book.set_memories({item.service: item.tokens for item in config.memories})
        return True

    def confirm_configuration(self, as_of: float) -> None:
        """Note that the platform showed the configuration that it showed last at a moment.

        That confirms what is in force unless a newer one is in force at any process: the platform
        then shows an old one, and what the newer one withdraws must not be honoured.
        """
        if not self.standing.is_behind:
            self.lease.confirm(as_of)

    def dispatcher(self, service: str) -> PromptDispatcher:
        """Return the dispatcher of the prompts of a service."""
        found = self._dispatchers.get(service)
        if found is None:
            found = PromptDispatcher(
                service,
                self.book,
                self.clock,
                lambda: self.directory.targets(service),
                self.figures.prediction.labels(service).observe,
                self.switches,
            )
            self._dispatchers[service] = found
        return found

    def refresh_gauges(self) -> None:
        """Bring the gauges up to date; counters and histograms always are."""
        now = self.clock.now()
        figures = self.figures
        age = self.lease.age(now)
        figures.config_age.set(float("nan") if age is None else age)
        figures.store_era.set(self.platform.exchange.era.newest)
        figures.config_kept.set(self.standing.behind_s(now))
        figures.keys_trusted.set(self.keys_trusted(now))
        figures.revision.set(self.directory.config.version if self.directory else 0)
        for service, dispatcher in self._dispatchers.items():
            figures.waiting.labels(service).set(len(dispatcher.queue))

    def look_at_waiting(self) -> None:
        """Start what waits and may start now."""
        for dispatcher in self._dispatchers.values():
            dispatcher.look()

    def note_down(self, incarnation: str) -> None:
        """Note that an upstream is down, and tell the other processes what ran there."""
        digests = self.suspects.note_down(incarnation, self.clock.now())
        if digests:
            self.tell_crash(incarnation, digests)

    def losses(self, service: str) -> LossRate:
        """Return how often the upstreams of a service go down."""
        return self._losses.setdefault(service, LossRate())

    def budget(self, service: str) -> RetryWindow:
        """Return the retry budget of a service."""
        settings = self.settings
        found = self._budgets.get(service)
        if found is None:
            found = RetryWindow(settings.retry_ratio, 0.0, settings.retry_window_s)
            self._budgets[service] = found
        found.burst = settings.retry_burst / max(ASSUMED_PROCESSES, self.book.processes)
        return found

    def keys_trusted(self, now: float) -> bool:
        """Return whether API keys may be honoured."""
        if not self.settings.keys_fail_closed:
            return True
        if self.standing.is_outdated(now) or self.standing.is_unproven(now):
            return False
        return self.lease.is_fresh(now)

    def refers_callers(self, now: float) -> bool:
        """Return whether callers are better served by another process."""
        if not self.switches.uses(Mechanism.REFERRAL):
            return False
        return not self.keys_trusted(now) and self.others.can_serve(now)
