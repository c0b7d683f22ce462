"""Cold starts of the upstream of a slot: events and gauge."""

from __future__ import annotations

from burdockquay_coordination import RunGate

from ._clock import Clock
from ._events import Event, log_event
from ._metrics import MetricsSink

COLD_GAUGE = "upstream.cold"
"""Gauge of the requests per second that a cold upstream can bear; 0 once it is warm."""


class ColdUpstream:
    """Keeps track of the cold starts of an upstream that its slot notices.

    Parameters
    ----------
    gate : RunGate
        Limits the starts.
    clock : Clock
    metrics : MetricsSink
    """

    def __init__(self, gate: RunGate, clock: Clock, metrics: MetricsSink):
        self.gate = gate
        self.clock = clock
        self.metrics = metrics
        self._cold_since: float | None = None
        self._source = ""
        self._began("start")

    def begin(self, source: str) -> None:
        """Count the upstream as cold from now.

        Parameters
        ----------
        source : str
            How the slot has noticed that the upstream has started, or why it may have.
        """
        self.gate.begin_cold(self.clock.now())
        self._began(source)

    def ends(self, now: float) -> bool:
        """Return whether the upstream has become warm since the last call."""
        if self._cold_since is None or self.gate.cold_remaining_s(now):
            return False
        log_event(Event.ENGINE_WARM, cold_s=round(now - self._cold_since, 3))
        self.metrics.gauge(COLD_GAUGE, 0.0)
        self._cold_since = None
        return True

    def _began(self, source: str) -> None:
        now = self.clock.now()
        remaining_s = self.gate.cold_remaining_s(now)
        if not remaining_s:
            return
        if self._cold_since is None:
            self._cold_since = now
        elif source == self._source:
            # Each request that finds no connection begins it again; one line is enough.
            return
        self._source = source
        per_s = self.gate.cold_per_s
        log_event(Event.ENGINE_COLD, per_s=per_s, remaining_s=round(remaining_s, 3), source=source)
        self.metrics.gauge(COLD_GAUGE, per_s)
