"""Decisions: queues, admission, placement, retries, health, membership, configuration.

No sockets and no clock: the present time is an argument, randomness a parameter.
"""

from ._types import Candidate, PlaceGrant, PlacementRequest, SlotCounts, Waiting, Work

__all__ = [
    "Candidate",
    "PlaceGrant",
    "PlacementRequest",
    "SlotCounts",
    "Waiting",
    "Work",
]
