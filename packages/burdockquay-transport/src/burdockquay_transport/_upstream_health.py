"""Health of a slot's upstream: crashes, probes and token latencies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from burdockquay_coordination import ProbeCircuitBreaker, RunGate, Work

from ._clock import Clock
from ._events import Event, log_event
from ._upstream import UpstreamClient

_SMOOTHING = 0.1
"""Weight of the newest sample in the running means."""

CRASH_WINDOW_S = 1.0
"""Answers that fail within this time of the first one belong to the same crash, seconds."""


class TokenLatencyMeter:
    """Running means of the time to the first token and between tokens, seconds."""

    def __init__(self):
        self.first_token_s = 0.0
        self._step_s = 0.0
        self._last_token_at = 0.0

    def add_step(self, seconds: float, now: float) -> None:
        """Add the time between two tokens of one answer."""
        self._step_s = _smooth(self._step_s, seconds)
        self._last_token_at = now

    def add_first_token(self, seconds: float, now: float) -> None:
        """Add the time from sending a request to its first token."""
        self.first_token_s = _smooth(self.first_token_s, seconds)
        self._last_token_at = now

    def is_stale(self, age_s: float, now: float) -> bool:
        """Return whether the last token is older than ``age_s`` seconds."""
        return now - self._last_token_at > age_s

    def replace(self, step_s: float, now: float) -> None:
        """Replace the running mean by a new measurement."""
        self._step_s = step_s
        self._last_token_at = now

    def step_s(self, token_gap_s: float) -> float:
        """Return the time between tokens, seconds.

        Parameters
        ----------
        token_gap_s : float
            Time since the latest token of any running answer; 0 if there is none.

        Notes
        -----
        An upstream that stalls yields no more samples, and its last mean would look healthy
        indefinitely. So the gap since the latest token is used once it exceeds the mean.
        """
        return max(self._step_s, token_gap_s)


def _smooth(mean: float, sample: float) -> float:
    return sample if mean == 0.0 else mean + _SMOOTHING * (sample - mean)


class UpstreamHealth:
    """Probes the upstream after failures, and reports which requests ran when it crashed.

    Parameters
    ----------
    client : UpstreamClient
    clock : Clock
    probe_interval_s : float
        Time between two probes of an unhealthy upstream, seconds.
    on_change : callable
        Called without arguments when the upstream becomes healthy or unhealthy.
    on_crash : callable
        Called with the digests of the requests that ran when the upstream crashed.
    gate : RunGate
        What the upstream has stated; a probe is one of its requests.
    is_paused : callable
        Returns whether the upstream gets no requests for another reason; probes wait meanwhile.

    Notes
    -----
    Callers' requests are never used to test whether an upstream has recovered: a request that is
    sent to a crashed engine has waited in the queue without result. See docs/design/health.md.
    """

    def __init__(
        self,
        client: UpstreamClient,
        clock: Clock,
        probe_interval_s: float,
        on_change: Callable[[], None],
        on_crash: Callable[[Sequence[str]], None],
        gate: RunGate,
        is_paused: Callable[[], bool] = lambda: False,
    ):
        self.gate = gate
        self.is_paused = is_paused
        self.client = client
        self.clock = clock
        self.probe_interval_s = probe_interval_s
        self.on_change = on_change
        self.on_crash = on_crash
        self._breaker = ProbeCircuitBreaker()
        self._crashed_at = -CRASH_WINDOW_S
        self._checking: asyncio.Task | None = None

    @property
    def healthy(self) -> bool:
        """Whether the upstream accepts work."""
        return self._breaker.healthy

    def record_broken_answer(self, running: Sequence[Work], now: float) -> None:
        """Record that an answer was interrupted while ``running`` was on the upstream.

        The answers that a crash interrupts fail one after another. Only at the first failure does
        ``running`` still hold all requests, so further failures within ``CRASH_WINDOW_S`` report
        no crash.
        """
        if now - self._crashed_at >= CRASH_WINDOW_S:
            self._crashed_at = now
            requests = ",".join(work.request for work in running)
            log_event(Event.UPSTREAM_CRASHED, running=len(running), requests=requests)
            self.on_crash(sorted({work.digest for work in running}))
        self.probe_soon()

    def probe_soon(self) -> None:
        """Start a probe of the upstream, which is marked unhealthy if the probe fails."""
        if self._checking is None or self._checking.done():
            self._checking = asyncio.create_task(self._check())

    async def close(self) -> None:
        """Stop probing."""
        if self._checking is not None:
            self._checking.cancel()

    async def _check(self) -> None:
        if await self._probe():
            return
        self._breaker.failed(self.clock.now())
        log_event(Event.UPSTREAM_UNHEALTHY)
        self.on_change()
        while not self._breaker.healthy:
            await asyncio.sleep(self.probe_interval_s)
            self._breaker.probe_result(await self._probe(), self.clock.now())
        log_event(Event.UPSTREAM_HEALTHY)
        self.on_change()

    def _wait_s(self) -> float:
        if self.is_paused():
            return self.probe_interval_s
        return self.gate.probe_wait_s(self.clock.now())

    async def _probe(self) -> bool:
        """Probe the upstream once its limit and rest allow it; return whether it answered."""
        self.gate.probe_waits = True
        try:
            while (wait_s := self._wait_s()) > 0.0:
                await asyncio.sleep(wait_s)
        finally:
            self.gate.probe_waits = False
        self.gate.take(self.clock.now())
        return await self.client.probe()
