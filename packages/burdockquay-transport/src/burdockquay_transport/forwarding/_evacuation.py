"""Apply the evacuations of failure domains at a forwarder."""

from __future__ import annotations

from burdockquay_coordination.forwarding import EvacuationChangeKind, EvacuationReading

from .._events import Event, log_event
from ._state import ForwarderState

_EVENTS = {
    EvacuationChangeKind.BEGAN: Event.EVACUATION_BEGAN,
    EvacuationChangeKind.ENDED: Event.EVACUATION_ENDED,
    EvacuationChangeKind.KEPT: Event.EVACUATION_KEPT,
}


def apply_evacuations(state: ForwarderState, reading: EvacuationReading, as_of: float) -> None:
    """Apply what a reading states, and let the requests that wait choose again after a change."""
    now = state.clock.now()
    registry = state.upstream_registry
    changes = registry.evacuations.apply(
        reading.rows, reading.whole, reading.era, now, reading.upto
    )
    for change in changes:
        has_ended = change.kind is EvacuationChangeKind.ENDED
        has_begun = change.kind is EvacuationChangeKind.BEGAN
        log_event(
            _EVENTS[change.kind],
            domain=change.domain,
            revision=change.position.revision,
            era=change.position.era,
            age_s=now - as_of,
            lasted_s=None if has_begun else change.lasted_s,
        )
        if has_ended:
            registry.mark_cold_unknown(change.domain, now)
    if changes:
        state.evaluate_waiting()
