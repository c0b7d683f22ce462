"""Decisions of the forwarder: routes, keys, freshness, choice of an upstream, retries.

A forwarder passes HTTP requests to upstreams unchanged. It receives routes, organisations and
upstreams from the platform and persists nothing. All times are seconds on one clock of the process;
``now`` is an argument of each decision.
"""

from ._budget import RetryWindow
from ._choice import choose_backup, choose_upstream, usable_upstreams
from ._config import (
    CallerLimits,
    CallerOrganisation,
    ForwardConfig,
    ForwardRoute,
    RouteKind,
    ServiceMemory,
    ServiceShare,
    ServiceTargets,
)
from ._config_standing import ConfigStanding
from ._directory import ConfigDirectory, pick_service, request_priority
from ._engine_model import EngineModel
from ._freshness import FreshnessLease
from ._linear import LinearModel, SpeedFactor
from ._load_relay import LoadNews, LoadRelay, RelayWatch, split_by_domain
from ._losses import LossRate
from ._mechanisms import Mechanism, Switches
from ._outcome_ledger import OutcomeLedger, Outcomes, OutcomesByUpstream, add_outcomes
from ._pending import NO_LOAD, LoadShare, PendingPrompts
from ._placing import Demand, Placement, place_prompt
from ._polling import Fit, PollTurn, is_poller
from ._prompts import Prompt, PromptMemory
from ._ranking import rank_processes
from ._reading import FirstTokenModel
from ._retry_after import OtherProcesses, return_after_s
from ._steady_reservation import SteadyReservation
from ._store_era import StoreEra
from ._suspects import CrashSuspects
from ._upstreams import (
    ListedUpstream,
    UnreadableEntry,
    Upstream,
    UpstreamBook,
    UpstreamChanges,
)
from ._urgency import SHORT_SHARE, UrgencyScale
from ._waiting import PromptQueue, Start, WaitingPrompt

__all__ = [
    "CallerLimits",
    "CallerOrganisation",
    "ConfigDirectory",
    "ConfigStanding",
    "CrashSuspects",
    "Demand",
    "LoadNews",
    "LoadRelay",
    "EngineModel",
    "LinearModel",
    "Fit",
    "ForwardConfig",
    "ForwardRoute",
    "FreshnessLease",
    "ListedUpstream",
    "LoadShare",
    "SteadyReservation",
    "OutcomeLedger",
    "Outcomes",
    "OutcomesByUpstream",
    "add_outcomes",
    "PendingPrompts",
    "LossRate",
    "Mechanism",
    "NO_LOAD",
    "OtherProcesses",
    "Placement",
    "PollTurn",
    "Prompt",
    "PromptMemory",
    "PromptQueue",
    "FirstTokenModel",
    "RetryWindow",
    "SHORT_SHARE",
    "RouteKind",
    "ServiceMemory",
    "ServiceShare",
    "ServiceTargets",
    "SpeedFactor",
    "Start",
    "StoreEra",
    "Switches",
    "UnreadableEntry",
    "Upstream",
    "UpstreamBook",
    "UpstreamChanges",
    "UrgencyScale",
    "WaitingPrompt",
    "choose_backup",
    "choose_upstream",
    "is_poller",
    "place_prompt",
    "rank_processes",
    "RelayWatch",
    "split_by_domain",
    "request_priority",
    "return_after_s",
    "usable_upstreams",
    "pick_service",
]
