"""Log events about what upstreams state in their answers."""

from __future__ import annotations

from typing import Any

from burdockquay_coordination import StatementChange, StatementChangeKind, StatementFault

from ._events import Event, log_event

STATEMENT_GAUGES = {
    "leaving": "upstream.leaving",
    "request_rate": "upstream.rate_limit",
    "rest": "upstream.rest",
}
"""Gauge of each kind of statement of the upstream of a slot."""

_RATE_EVENTS = {
    StatementChangeKind.LEARNT: Event.RATE_LIMIT_LEARNT,
    StatementChangeKind.CHANGED: Event.RATE_LIMIT_CHANGED,
    StatementChangeKind.ENDED: Event.RATE_LIMIT_ENDED,
}
_EVENTS = {
    StatementChangeKind.LEARNT: Event.STATEMENT_LEARNT,
    StatementChangeKind.CHANGED: Event.STATEMENT_CHANGED,
    StatementChangeKind.ENDED: Event.STATEMENT_ENDED,
}


def log_change(kind: str, change: StatementChange, **fields: Any) -> None:
    """Log a change of the statement in force.

    Parameters
    ----------
    kind : str
        Name of the kind of statement.
    change : StatementChange
    fields : any
        Further fields of the line.
    """
    if kind == "request_rate":
        event = _RATE_EVENTS[change.kind]
        log_event(event, before=change.before, per_s=change.after, **fields)
    else:
        event = _EVENTS[change.kind]
        log_event(event, statement=kind, before=change.before, value=change.after, **fields)


def log_fault(kind: str, fault: StatementFault, **fields: Any) -> None:
    """Log that a statement was not taken as it was made; see :func:`log_change`."""
    if kind == "request_rate":
        log_event(Event.RATE_LIMIT_FAULT, fault=fault.value, **fields)
    else:
        log_event(Event.STATEMENT_FAULT, statement=kind, fault=fault.value, **fields)
