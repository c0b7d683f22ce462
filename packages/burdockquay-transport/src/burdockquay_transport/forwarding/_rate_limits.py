"""Request rate limits of upstreams, as the answers to this process name them."""

from __future__ import annotations

from burdockquay_coordination import RateChange, RateChangeKind, RateFault, RateReading
from burdockquay_coordination.forwarding import Upstream, UpstreamRegistry

from .._clock import Clock
from .._events import Event, log_event
from ._call import ForwardCall
from ._forwarder_metrics import ForwarderMetrics

_CHANGE_EVENTS = {
    RateChangeKind.LEARNT: Event.RATE_LIMIT_LEARNT,
    RateChangeKind.CHANGED: Event.RATE_LIMIT_CHANGED,
    RateChangeKind.ENDED: Event.RATE_LIMIT_ENDED,
}


class RateLimits:
    """Keeps the limits of the upstreams that answers name.

    Parameters
    ----------
    clock : Clock
    metrics : ForwarderMetrics
    upstream_registry : UpstreamRegistry
    """

    def __init__(
        self, clock: Clock, metrics: ForwarderMetrics, upstream_registry: UpstreamRegistry
    ):
        self.clock = clock
        self.metrics = metrics
        self.upstream_registry = upstream_registry

    def refresh_gauges(self) -> None:
        """Show the limits in force; an upstream that is not limited any more is left out."""
        self.metrics.rate_limit.clear()
        for upstream in self.upstream_registry.all():
            if upstream.rate_limit.per_s is not None:
                self.metrics.rate_limit.labels(upstream.id).set(upstream.rate_limit.per_s)

    def record_answer(self, upstream: Upstream, reading: RateReading, call: ForwardCall) -> None:
        """Apply the limit that an answer to a call names, or that it names none."""
        if reading.fault is not None and upstream.rate_limit.is_new_fault(reading.fault):
            self._log_fault(upstream, reading.fault, call)
        change = upstream.rate_limit.record_answer(reading, call.sent_at, self.clock.now())
        if change is not None:
            self._log_change(upstream, change, "answer", call.request.id)

    def _log_change(
        self, upstream: Upstream, change: RateChange, source: str, request: str | None = None
    ) -> None:
        log_event(
            _CHANGE_EVENTS[change.kind],
            upstream=upstream.id,
            before=change.before,
            per_s=change.after,
            source=source,
            request=request,
        )

    def _log_fault(self, upstream: Upstream, fault: RateFault, call: ForwardCall) -> None:
        log_event(
            Event.RATE_LIMIT_FAULT,
            upstream=upstream.id,
            fault=fault.value,
            request=call.request.id,
        )
