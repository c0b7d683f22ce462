"""Log lines about prompts that start while more urgent ones wait."""

from __future__ import annotations

from burdockquay_coordination.forwarding import Start

from .._events import Event, log_event
from ._forwarder_metrics import ForwarderMetrics

PASSED_OVER_INTERVAL_S = 1.0
"""Shortest time between two lines about one service, seconds."""


class PassedOverLog:
    """Counts the prompts of one service that start while more urgent ones wait, and logs some.

    Parameters
    ----------
    service : str
    metrics : ForwarderMetrics
    """

    def __init__(self, service: str, metrics: ForwarderMetrics):
        self.service = service
        self.metrics = metrics
        self._starts = 0
        self._logged_at = float("-inf")

    def record(self, start: Start, now: float) -> None:
        """Record a start; nothing is counted if no more urgent request waits.

        Parameters
        ----------
        start : Start
        now : float
        """
        passed_over = start.passed_over
        if passed_over is None:
            return
        self.metrics.passed_over.labels(self.service).inc()
        self._starts += 1
        if now - self._logged_at < PASSED_OVER_INTERVAL_S:
            return
        oldest = passed_over.oldest.owner.call
        log_event(
            Event.LESS_URGENT_STARTED,
            service=self.service,
            starts=self._starts,
            rank=start.waiting.rank,
            upstream=start.placement.upstream.id,
            waiting=passed_over.count,
            oldest=oldest.request.id,
            oldest_rank=oldest.rank,
            oldest_s=now - oldest.started,
            reasons={reason.value: count for reason, count in passed_over.reasons.items()},
        )
        self._starts = 0
        self._logged_at = now
