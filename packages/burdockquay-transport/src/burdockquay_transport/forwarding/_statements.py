"""What upstreams state in their answers, as one forwarder keeps it."""

from __future__ import annotations

from collections.abc import Callable

from burdockquay_coordination import AnswerContext, StatementChange, statement_kinds
from burdockquay_coordination.forwarding import Upstream, UpstreamRegistry

from .._clock import Clock
from .._events import Event, log_event
from .._statement_events import log_change, log_fault
from ._call import ForwardCall
from ._forwarder_metrics import ForwarderMetrics
from ._platform import AnswerFacts
from ._rate_limits import RateLimits

OnChange = Callable[[Upstream, StatementChange], None]

LEAVING = "leaving"
"""The kind of statement that processes report to each other."""


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
        self.rate_limits = rate_limits
        self.report: Callable[[str, str], None] = lambda incarnation, kind: None
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
            if statement_kinds.get(kind).is_relayed:
                self.report(upstream.incarnation, kind)
        if facts.cold_s is not None:
            self._record_cold(upstream, facts, call, now)

    def _record_cold(
        self, upstream: Upstream, facts: AnswerFacts, call: ForwardCall, now: float
    ) -> None:
        if facts.cold_s > 0:
            upstream.limit.learn_cold(facts.cold_s, now)
        elif facts.sealed:
            upstream.limit.learn_warm(call.sent_at, now)
        self.rate_limits.apply_cold_starts()

    def receive_report(self, incarnation: str, kind: str, source: str) -> None:
        """Apply what another process reports of a run of an upstream.

        Parameters
        ----------
        incarnation : str
            It may not be listed here yet, or not any more.
        kind : str
            Kind of the statement; one of a later release is ignored.
        source : str
            VM of that process.
        """
        if kind != LEAVING:
            log_event(Event.STATEMENT_UNKNOWN, statement=kind, source=source)
            return
        if self.upstream_registry.learn_leaving(incarnation, self.clock.now()):
            change = StatementChange.between(None, 1.0)
            log_change(LEAVING, change, upstream=incarnation, source=source)

    def in_force(self) -> list[tuple[str, str]]:
        """Return the incarnation and kind of each statement that is reported to others."""
        return [(name, LEAVING) for name in self.upstream_registry.leaving_runs()]

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
