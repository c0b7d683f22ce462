"""Which calls a forwarder that shuts down still passes on, and what becomes of them."""

from __future__ import annotations

from burdockquay_coordination import FinishDecision, FinishGate, RunInProgress

from .._clock import Clock
from .._events import Event, log_event
from ._call import ForwardCall
from ._forwarder_metrics import ForwarderMetrics


class LateCalls:
    """Decides about the calls of a process that shuts down, with logs and counters.

    Parameters
    ----------
    clock : Clock
    metrics : ForwarderMetrics
    """

    def __init__(self, clock: Clock, metrics: ForwarderMetrics):
        self._clock = clock
        self._metrics = metrics
        self._gate = FinishGate()
        self._told_at = 0.0
        self._noticed_at = 0.0

    def unnoticed_s(self, now: float) -> float:
        """Return the time until the load balancer has noticed the shutdown, seconds."""
        return self._noticed_at - now

    def stop_at(self, told_at: float, ends_at: float, certain_from: float) -> None:
        """Begin the shutdown.

        Parameters
        ----------
        told_at : float
            Time of the signal to stop.
        ends_at, certain_from : float
            As for :meth:`FinishGate.stop_at`.
        """
        self._told_at = told_at
        self._noticed_at = certain_from
        self._gate.stop_at(ends_at, certain_from)

    def accept(self, call: ForwardCall) -> bool:
        """Return whether a call that is about to be sent may be, and keep and log why.

        One that may have run is never refused: its caller could not send it to another process
        either, and would lose the answer that it may still get here.
        """
        decision = self._decide(call)
        accepted = decision.accepted or call.maybe_run
        if self._gate.is_stopping:
            call.finish = decision
            self._log(call, decision, accepted)
        return accepted

    def admit(self, call: ForwardCall) -> bool:
        """Return whether a call of which nothing is sent may be served, and log why not."""
        decision = self._decide(call)
        if not decision.accepted:
            self._log(call, decision, accepted=False)
        return decision.accepted

    def begin(self, call: ForwardCall) -> RunInProgress:
        """Record that a call begins to run."""
        return self._gate.begin(call.run_kind, call.run_size, self._clock.now())

    def end(self, run: RunInProgress, is_whole: bool) -> None:
        """Record the end of a run."""
        self._gate.end(run, self._clock.now(), is_whole)

    def record_cut(self, call: ForwardCall) -> None:
        """Record that a call that was sent is unfinished at the end of the process."""
        self._metrics.requests_cut.inc()
        now = self._clock.now()
        finish = call.finish
        log_event(
            Event.REQUEST_CUT,
            request=call.request.id,
            route=call.route.name,
            service=call.service,
            passed_on_s=call.sent_at - self._told_at,
            ran_s=now - call.sent_at,
            events=call.last_event,
            reason=finish.reason if finish else None,
            expected_s=finish.expected_s if finish else None,
            known_runs=finish.known_runs if finish else None,
            deadline_s=call.deadline - now,
        )

    def _decide(self, call: ForwardCall) -> FinishDecision:
        return self._gate.decide(call.run_kind, call.run_size, call.deadline, self._clock.now())

    def _log(self, call: ForwardCall, decision: FinishDecision, accepted: bool) -> None:
        name = "passed_on" if accepted else "refused"
        self._metrics.late_requests.labels(name, decision.reason.value).inc()
        now = self._clock.now()
        log_event(
            Event.LATE_REQUEST,
            request=call.request.id,
            route=call.route.name,
            service=call.service,
            decision=name,
            reason=decision.reason,
            age_s=now - self._told_at,
            arrived_s=call.started - self._told_at,
            expected_s=decision.expected_s,
            known_runs=decision.known_runs,
            deadline_s=call.deadline - now,
        )
