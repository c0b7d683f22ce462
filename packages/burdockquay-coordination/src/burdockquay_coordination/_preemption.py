"""Choice of the running requests to preempt."""

from __future__ import annotations

from burdockquay_state import ClassRecord

from ._places import AcceptedAttempt, AttemptState, PlaceTable, is_preemptible
from ._shares import ShareLedger

MIN_RUN_S = 0.25
"""Time for which a resumed request runs before it may be paused again, seconds."""


def choose_victims(
    places: PlaceTable, ledger: ShareLedger, record: ClassRecord, now: float
) -> list[AcceptedAttempt]:
    """Return the running requests that may be paused for a class, in the order to pause them.

    Parameters
    ----------
    record : ClassRecord
        The class that needs a place.

    Returns
    -------
    list of Hold
        Preemptible requests of lower unprotected classes: the lowest class first, within a class
        the most recently started first, because it has the least state to keep.

    Notes
    -----
    An upstream keeps the state of a paused request in its memory, so no more requests are paused
    than it has places. A resumed request runs for at least :data:`MIN_RUN_S` before it is paused
    again; otherwise a steady stream of protected requests could keep it from ever completing.
    """
    room = places.places - len(places.in_state(AttemptState.PAUSED))
    if room <= 0:
        return []
    found = []
    for accepted in places.in_state(AttemptState.RUNNING):
        other = ledger.record(accepted.work.class_name)
        lower = is_preemptible(other) and other.priority < record.priority
        if lower and not (accepted.resumed and now - accepted.since < MIN_RUN_S):
            found.append((other.priority, -accepted.started, accepted))
    found.sort(key=lambda item: item[:2])
    return [accepted for _, _, accepted in found[:room]]
