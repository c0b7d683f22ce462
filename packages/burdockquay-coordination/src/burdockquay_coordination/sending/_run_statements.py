"""All statements of one answer, and of one run of an upstream."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

import attrs

from . import _rate_limit  # noqa: F401 (it registers a kind of statement)
from ._leaving import Leaving
from ._rest import Rest
from ._statements import (
    NOT_STATED,
    StatementChange,
    StatementFault,
    StatementReading,
    Statements,
    is_credible,
    statement_kinds,
)


def read_statements(texts: Mapping[str, Iterable[str]]) -> Statements:
    """Return what an answer states.

    Parameters
    ----------
    texts : mapping of str to iterable of str
        The texts that make each kind of statement; a kind that is missing is not stated.

    Examples
    --------
    >>> read_statements({"rest": ["3"]})["rest"].value
    3.0
    """
    kinds = (statement_kinds.get(name) for name in statement_kinds)
    return {kind.name: kind.read(texts.get(kind.name, ())) for kind in kinds}


class StatementState(Protocol):
    """What is kept of one kind of statement."""

    def binds(self, now: float) -> bool:
        """Return whether the statement restricts sends now."""

    def record_answer(
        self, reading: StatementReading, sent_at: float, now: float
    ) -> StatementChange | None:
        """Apply an answer of the upstream; return the change, None if there is none.

        Parameters
        ----------
        reading : StatementReading
        sent_at : float
            When the request was sent.
        now : float
            When its answer was received.
        """


@attrs.frozen
class AnswerContext:
    """Circumstances of an answer that decide what its statements change.

    Parameters
    ----------
    sent_at : float
        When the request was sent.
    is_proved : bool
        Whether the answer proves that the upstream itself made it.
    """

    sent_at: float
    is_proved: bool


class RunStatements:
    """What one run of an upstream has stated, as known to one process.

    Parameters
    ----------
    limit : StatementState
        State of the request rate limit, which forwarders keep together and a slot keeps alone.
    spread : float
        See :class:`Rest`.

    Examples
    --------
    >>> from burdockquay_coordination import RateLimit, read_statements
    >>> run = RunStatements(RateLimit())
    >>> answer = AnswerContext(sent_at=0.9, is_proved=True)
    >>> [name for name, _ in run.record_answer(read_statements({"leaving": ["1"]}), answer, 1.0)]
    ['leaving']
    >>> run.leaving.in_force
    True
    """

    def __init__(self, limit: StatementState, spread: float = 0.0):
        self.limit = limit
        self.leaving = Leaving()
        self.rest = Rest(spread)
        self._states: Mapping[str, StatementState] = {
            "leaving": self.leaving,
            "request_rate": limit,
            "rest": self.rest,
        }
        self._faults: set[tuple[str, StatementFault]] = set()

    def is_any_in_force(self, now: float) -> bool:
        """Return whether any statement restricts sends now."""
        return any(state.binds(now) for state in self._states.values())

    def record_answer(
        self, statements: Statements, answer: AnswerContext, now: float
    ) -> Iterator[tuple[str, StatementChange]]:
        """Apply an answer of the upstream, and yield each change with the kind of statement.

        Parameters
        ----------
        statements : Statements
        answer : AnswerContext
        now : float
            When the answer was received.
        """
        for name, state in self._states.items():
            reading = statements.get(name, NOT_STATED)
            if not is_credible(statement_kinds.get(name), reading, answer.is_proved):
                continue
            change = state.record_answer(reading, answer.sent_at, now)
            if change is not None:
                yield name, change

    def new_faults(self, statements: Statements) -> Iterator[tuple[str, StatementFault]]:
        """Yield the faults that this run has not shown before, each with the kind of statement."""
        for name, reading in statements.items():
            if reading.fault is not None and (name, reading.fault) not in self._faults:
                self._faults.add((name, reading.fault))
                yield name, reading.fault
