"""A slot's own view of its upstream: crashes, probes and the pace of its answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from burdockquay_coordination import ProbeGate, Work

from ._clock import Clock
from ._events import Event, log_event
from ._upstream import UpstreamClient

_SMOOTHING = 0.1
"""Weight of the newest sample in the running means."""

INCIDENT_S = 1.0
"""Answers that break within this time of the first belong to the same crash, seconds."""


class PaceMeter:
    """Running means of the time to the first token and between tokens, seconds."""

    def __init__(self):
        self.first_token_s = 0.0
        self._step_s = 0.0
        self._token_at = 0.0

    def add_step(self, seconds: float, now: float) -> None:
        """Add the time between two tokens of one answer."""
        self._step_s = _smooth(self._step_s, seconds)
        self._token_at = now

    def add_first_token(self, seconds: float, now: float) -> None:
        """Add the time from sending a request to its first token."""
        self.first_token_s = _smooth(self.first_token_s, seconds)
        self._token_at = now

    def is_stale(self, age_s: float, now: float) -> bool:
        """Return whether the last token is older than ``age_s`` seconds."""
        return now - self._token_at > age_s

    def replace(self, step_s: float, now: float) -> None:
        """Take a fresh measurement in place of the running mean."""
        self._step_s = step_s
        self._token_at = now

    def step_s(self, silence_s: float) -> float:
        """Return the time between tokens.

        Parameters
        ----------
        silence_s : float
            Time since the latest token of any answer that is under way; 0 if none is.

        Notes
        -----
        An upstream that stalls brings no more samples, and its last mean would look healthy for
        ever. So the silence counts once it is longer than the mean.
        """
        return max(self._step_s, silence_s)


def _smooth(mean: float, sample: float) -> float:
    return sample if mean == 0.0 else mean + _SMOOTHING * (sample - mean)


class UpstreamHealth:
    """Finds out by probes whether the upstream serves, and what ran when it crashed.

    Parameters
    ----------
    client : UpstreamClient
    clock : Clock
    probe_interval_s : float
        Time between two probes of an upstream that failed, seconds.
    on_change : callable
        Called without arguments when the upstream becomes healthy or unhealthy.
    on_crash : callable
        Called with the digests of what ran when the upstream crashed.

    Notes
    -----
    Callers' requests are never used to find out whether an upstream is back: a request that is
    sent to a dead engine has waited for nothing. See docs/design/health.md.
    """

    def __init__(
        self,
        client: UpstreamClient,
        clock: Clock,
        probe_interval_s: float,
        on_change: Callable[[], None],
        on_crash: Callable[[Sequence[str]], None],
    ):
        self.client = client
        self.clock = clock
        self.probe_interval_s = probe_interval_s
        self.on_change = on_change
        self.on_crash = on_crash
        self._gate = ProbeGate()
        self._incident_at = -INCIDENT_S
        self._checking: asyncio.Task | None = None

    @property
    def healthy(self) -> bool:
        """Whether the upstream takes work."""
        return self._gate.healthy

    def answer_broke(self, running: Sequence[Work], now: float) -> None:
        """Note that an answer was cut, while ``running`` was on the upstream.

        All answers that a crash cuts break one after another; only the first one still sees all
        that ran, so the others within a short time count for nothing.
        """
        if now - self._incident_at >= INCIDENT_S:
            self._incident_at = now
            log_event(Event.UPSTREAM_CRASHED, running=len(running))
            self.on_crash(sorted({work.digest for work in running}))
        self.suspect()

    def suspect(self) -> None:
        """Probe the upstream soon, and keep it out of work if the probe fails."""
        if self._checking is None or self._checking.done():
            self._checking = asyncio.create_task(self._check())

    async def close(self) -> None:
        """Stop probing."""
        if self._checking is not None:
            self._checking.cancel()

    async def _check(self) -> None:
        if await self.client.probe():
            return
        self._gate.failed(self.clock.now())
        log_event(Event.UPSTREAM_UNHEALTHY)
        self.on_change()
        while not self._gate.healthy:
            await asyncio.sleep(self.probe_interval_s)
            self._gate.probe_result(await self.client.probe(), self.clock.now())
        log_event(Event.UPSTREAM_HEALTHY)
        self.on_change()
