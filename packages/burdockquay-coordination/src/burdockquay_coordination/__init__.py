"""Decisions: queues, admission, placement, retries, health, membership, configuration.

No sockets and no clock: the present time is an argument, randomness a parameter.
"""

from ._configuration import (
    ApplyOutcome,
    ApplyStatus,
    ConfigurationHolder,
    ConfigurationReader,
    next_read_delay,
)
from ._once_entry import SETTLED_KINDS, OnceResolver, OnceTicket, Settled, SettledState
from ._once_slot import OnceGuard
from ._outcomes import OutcomeWriter
from ._types import Candidate, PlaceGrant, PlacementRequest, SlotCounts, Waiting, Work

__all__ = [
    "ApplyOutcome",
    "ApplyStatus",
    "Candidate",
    "ConfigurationHolder",
    "ConfigurationReader",
    "OnceGuard",
    "OnceResolver",
    "OnceTicket",
    "OutcomeWriter",
    "PlaceGrant",
    "PlacementRequest",
    "SETTLED_KINDS",
    "Settled",
    "SettledState",
    "SlotCounts",
    "Waiting",
    "Work",
    "next_read_delay",
]
