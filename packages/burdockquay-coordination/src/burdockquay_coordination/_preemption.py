"""Which running requests are paused to make room."""

from __future__ import annotations

from burdockquay_state import ClassRecord

from ._places import Hold, HoldState, PlaceTable, is_movable
from ._shares import ShareLedger

MIN_RUN_S = 0.25
"""How long a resumed request runs before it may be paused again, seconds."""


def choose_victims(
    places: PlaceTable, ledger: ShareLedger, record: ClassRecord, now: float
) -> list[Hold]:
    """Return the running requests that may be paused for a class, the first to pause first.

    Parameters
    ----------
    record : ClassRecord
        The class that needs a place.

    Returns
    -------
    list of Hold
        Preemptible requests of lower classes that are not protected: the lowest class first, in it
        the youngest first, which has the least work to hold on to.

    Notes
    -----
    An upstream keeps the state of a paused request in its memory, so no more are paused than it has
    places. A resumed request runs for :data:`MIN_RUN_S` before it is paused again; without that, a
    steady stream of protected requests could keep it from ever ending.
    """
    room = places.places - len(places.in_state(HoldState.PAUSED))
    if room <= 0:
        return []
    found = []
    for hold in places.in_state(HoldState.RUNNING):
        other = ledger.record(hold.work.class_name)
        lower = is_movable(other) and other.priority < record.priority
        if lower and not (hold.resumed and now - hold.since < MIN_RUN_S):
            found.append((other.priority, -hold.started, hold))
    found.sort(key=lambda item: item[:2])
    return [hold for _, _, hold in found[:room]]
