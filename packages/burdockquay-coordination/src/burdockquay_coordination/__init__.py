"""Decisions: queues, admission, placement, retries, health, membership, configuration.

No sockets and no clock: the present time is an argument, randomness a parameter.
"""

from ._admission import AdmissionController, TokenBucket
from ._configuration import (
    ApplyOutcome,
    ApplyStatus,
    ConfigurationHolder,
    ConfigurationReader,
    next_read_delay,
)
from ._health import HealthMonitor, ProbeGate
from ._load_turns import LoadTurns
from ._membership import MembershipBook
from ._once_entry import SETTLED_KINDS, OnceResolver, OnceTicket, Settled, SettledState
from ._once_slot import OnceGuard
from ._orders import (
    EngineOrder,
    OrderFailure,
    OrderRunner,
    OrderState,
    OrderTarget,
    concerns,
    order_id,
)
from ._organisation_use import OrganisationUse
from ._outcomes import OutcomeWriter
from ._placement import PlacementPolicy, placement_policies
from ._places import is_movable
from ._prefixes import PrefixIndex
from ._quarantine import QuarantineBook, Verdict
from ._queues import QueuePolicy, queue_policies
from ._retries import RetryBudget, RetryDecision, RetryRule, rule_of, should_retry
from ._routing import RouteTable, authenticate, classes_of_group, make_key_digest
from ._shares import Contender, ShareLedger
from ._slots import SlotScheduler
from ._subsets import choose_subset
from ._suspicion_store import SuspicionStore, load_until_read
from ._types import Candidate, PlaceGrant, PlacementRequest, SlotCounts, Waiting, Work
from ._usage import AttainmentRow, LatencyTarget, UsageLedger, UsageRow

__all__ = [
    "AdmissionController",
    "ApplyOutcome",
    "ApplyStatus",
    "AttainmentRow",
    "Candidate",
    "ConfigurationHolder",
    "ConfigurationReader",
    "Contender",
    "EngineOrder",
    "HealthMonitor",
    "LatencyTarget",
    "LoadTurns",
    "MembershipBook",
    "OnceGuard",
    "OnceResolver",
    "OnceTicket",
    "OrderFailure",
    "OrderRunner",
    "OrderState",
    "OrderTarget",
    "OrganisationUse",
    "OutcomeWriter",
    "PlaceGrant",
    "PlacementPolicy",
    "PlacementRequest",
    "PrefixIndex",
    "ProbeGate",
    "QuarantineBook",
    "QueuePolicy",
    "RetryBudget",
    "RetryDecision",
    "RetryRule",
    "RouteTable",
    "SETTLED_KINDS",
    "Settled",
    "SettledState",
    "ShareLedger",
    "SlotCounts",
    "SlotScheduler",
    "SuspicionStore",
    "TokenBucket",
    "UsageLedger",
    "UsageRow",
    "Verdict",
    "Waiting",
    "Work",
    "authenticate",
    "choose_subset",
    "classes_of_group",
    "concerns",
    "is_movable",
    "load_until_read",
    "make_key_digest",
    "next_read_delay",
    "order_id",
    "placement_policies",
    "queue_policies",
    "rule_of",
    "should_retry",
]
