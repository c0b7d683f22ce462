"""Sends to an upstream through one slot, by all that the upstream has stated."""

from __future__ import annotations

from .sending._run_statements import RunStatements
from .sending._start_gate import StartGate

MIN_UNSTATED_ANSWERS = 3
"""Answers in a row without the statement after which an upstream that left counts as another run: a
run that leaves says so in all its answers."""


class RunGate:
    """Decides whether a slot may send a request to its upstream.

    Parameters
    ----------
    now : float

    Examples
    --------
    >>> from burdockquay_coordination import AnswerContext, read_statements
    >>> gate = RunGate(now=0.0)
    >>> gate.may_start(0.0), gate.is_restricted(0.0)
    (True, False)
    >>> answer = AnswerContext(sent_at=0.0, is_proved=True)
    >>> _ = list(gate.statements.record_answer(read_statements({"rest": ["2"]}), answer, 1.0))
    >>> gate.may_start(2.9), gate.may_start(3.0), gate.is_restricted(3.0)
    (False, True, True)
    """

    def __init__(self, now: float):
        self.begin_run(now)

    def begin_run(self, now: float) -> None:
        """Forget what the former run of the upstream has stated."""
        self._limit = StartGate(now)
        self.statements = RunStatements(self._limit)

    @property
    def is_leaving(self) -> bool:
        """Whether the upstream leaves."""
        return self.statements.leaving.in_force

    def is_new_run(self) -> bool:
        """Return whether the answers of an upstream that left come from another run."""
        return self.is_leaving and self.statements.leaving.unstated >= MIN_UNSTATED_ANSWERS

    def takes_work(self, now: float) -> bool:
        """Return whether the upstream neither leaves nor rests."""
        return not self.is_leaving and not self.statements.rest.remaining_s(now)

    def is_restricted(self, now: float) -> bool:
        """Return whether the upstream limits its requests, leaves, rests or recovers."""
        return self.statements.is_any_in_force(now)

    def available(self, now: float) -> float:
        """Return the number of requests that may be sent now; infinite without restrictions."""
        if self.is_leaving:
            return 0.0
        return min(self._limit.available(now), self.statements.rest.available(now))

    def may_start(self, now: float, reserved: int = 0) -> bool:
        """Return whether a request may be sent now.

        Parameters
        ----------
        now : float
        reserved : int
            Requests that have been promised a start before.
        """
        return self.available(now) >= 1 + reserved

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._limit.take(now)
        self.statements.rest.record_sent()

    def probe_wait_s(self, now: float) -> float:
        """Return the time until a probe may be sent, seconds; also to an upstream that leaves."""
        return max(self._limit.wait_s(now), self.statements.rest.wait_s(now))
