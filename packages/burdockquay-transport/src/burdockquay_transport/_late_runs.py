"""Which requests an entry or slot that shuts down still starts, and what becomes of them."""

from __future__ import annotations

from collections.abc import Hashable

from burdockquay_coordination import FinishDecision, FinishGate

from ._clock import Clock
from ._events import Event, log_event
from ._metrics import REQUESTS_CUT, MetricsSink, late_counter


class LateRuns:
    """Decides about the requests of a process that shuts down, with logs and counters.

    Parameters
    ----------
    clock : Clock
    metrics : MetricsSink

    Attributes
    ----------
    gate : FinishGate
    """

    def __init__(self, clock: Clock, metrics: MetricsSink):
        self.gate = FinishGate()
        self._clock = clock
        self._metrics = metrics
        self._told_at = 0.0

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
        self.gate.stop_at(ends_at, certain_from)

    def may_start(
        self, request: str, kind: Hashable, deadline: float, maybe_run: bool = False
    ) -> bool:
        """Return whether a request may be sent now, and log why.

        Parameters
        ----------
        request : str
        kind : hashable
        deadline : float
        maybe_run : bool
            Whether it may have run; it is then sent in any case, since its caller could not send it
            to another process either.
        """
        if not self.gate.is_stopping:
            return True
        decision = self._decide(kind, deadline)
        accepted = decision.accepted or maybe_run
        self._log(request, deadline, decision, accepted)
        return accepted

    def may_wait(self, request: str, kind: Hashable, deadline: float) -> bool:
        """Return whether a request of which nothing is sent may wait, and log why not."""
        decision = self._decide(kind, deadline)
        if not decision.accepted:
            self._log(request, deadline, decision, accepted=False)
        return decision.accepted

    def record_cut(self, request: str, began_at: float, deadline: float) -> None:
        """Record that a request that began to run is unfinished at the end of the process.

        Parameters
        ----------
        request : str
        began_at : float
            When it was sent.
        deadline : float
        """
        self._metrics.count(REQUESTS_CUT)
        now = self._clock.now()
        log_event(
            Event.REQUEST_CUT,
            request=request,
            passed_on_s=began_at - self._told_at,
            ran_s=now - began_at,
            deadline_s=deadline - now,
        )

    def _decide(self, kind: Hashable, deadline: float) -> FinishDecision:
        return self.gate.decide(kind, 0, deadline, self._clock.now())

    def _log(self, request: str, deadline: float, decision: FinishDecision, accepted: bool) -> None:
        name = "passed_on" if accepted else "refused"
        self._metrics.count(late_counter(name, decision.reason.value))
        now = self._clock.now()
        log_event(
            Event.LATE_REQUEST,
            request=request,
            decision=name,
            reason=decision.reason,
            age_s=now - self._told_at,
            expected_s=decision.expected_s,
            known_runs=decision.known_runs,
            deadline_s=deadline - now,
        )
