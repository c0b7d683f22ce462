"""What upstreams state in their answers, as one forwarder keeps it."""

from __future__ import annotations

from collections.abc import Callable

from burdockquay_coordination import AnswerContext, StatementChange
from burdockquay_coordination.forwarding import Upstream, UpstreamRegistry

from .._clock import Clock
from .._statement_events import log_change, log_fault
from ._call import ForwardCall
from ._forwarder_metrics import ForwarderMetrics
from ._platform import AnswerFacts
from ._rate_limits import RateLimits

OnChange = Callable[[Upstream, StatementChange], None]


class UpstreamStatements:
    """Applies the statements of answers to the upstreams that made them.

    Parameters
    ----------
    clock : Clock
    metrics : ForwarderMetrics
    upstream_registry : UpstreamRegistry
    rate_limits : RateLimits
    """

    def __init__(
        self,
        clock: Clock,
        metrics: ForwarderMetrics,
        upstream_registry: UpstreamRegistry,
        rate_limits: RateLimits,
    ):
        self.clock = clock
        self.metrics = metrics
        self.upstream_registry = upstream_registry
        self._on_change: dict[str, OnChange] = {"request_rate": rate_limits.apply_change}

    def record_answer(self, upstream: Upstream, facts: AnswerFacts, call: ForwardCall) -> None:
        """Apply what an answer to a call states, or that it states nothing."""
        statements = upstream.statements
        fields = {"upstream": upstream.id, "request": call.request.id, "proved": facts.sealed}
        for kind, fault in statements.new_faults(facts.statements):
            log_fault(kind, fault, **fields)
        answer = AnswerContext(call.sent_at, facts.sealed)
        now = self.clock.now()
        for kind, change in statements.record_answer(facts.statements, answer, now):
            log_change(kind, change, source="answer", **fields)
            self.metrics.statements.labels(kind, change.kind.value).inc()
            if kind in self._on_change:
                self._on_change[kind](upstream, change)

    def refresh_gauges(self) -> None:
        """Show the upstreams that leave and rest; others are left out."""
        now = self.clock.now()
        self.metrics.leaving.clear()
        self.metrics.rest.clear()
        for upstream in self.upstream_registry.all():
            if upstream.statements.leaving.in_force:
                self.metrics.leaving.labels(upstream.id).set(1)
            rest_s = upstream.statements.rest.remaining_s(now)
            if rest_s:
                self.metrics.rest.labels(upstream.id).set(rest_s)
