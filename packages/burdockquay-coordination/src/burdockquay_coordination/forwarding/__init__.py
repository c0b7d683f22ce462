"""Decisions of the forwarder: routes, keys, freshness, choice of an upstream, retries.

A forwarder passes HTTP requests to upstreams unchanged. It receives routes, organisations and
upstreams from the platform and persists nothing. All times are seconds on one clock of the process;
``now`` is an argument of each decision.
"""

from ..sending._cold_start import ColdReport, ColdStart, ColdTerms, granted_rate
from ..sending._evacuations import (
    Evacuation,
    EvacuationChange,
    EvacuationChangeKind,
    EvacuationReading,
    EvacuationRow,
    Evacuations,
)
from ..sending._shared_limit import (
    ColdMessage,
    Fleet,
    GrantMessage,
    LimitStep,
    NeedMessage,
    SharedLimit,
)
from ..sending._start_asks import StartAsks
from ..sending._start_pool import StartGrant, StartNeed
from ._choice import (
    choose_backup,
    choose_upstream,
    held_back_upstreams,
    spare_upstreams,
    usable_upstreams,
)
from ._config import (
    CallerLimits,
    CallerOrganisation,
    ColdStartTerms,
    ForwardConfig,
    ForwardRoute,
    RouteKind,
    ServiceMemory,
    ServiceShare,
    ServiceTargets,
)
from ._config_versions import ConfigVersionTracker
from ._crowding import Crowding
from ._demand import Demand, Placement
from ._directory import ConfigDirectory, pick_service
from ._engine_model import EngineModel
from ._freshness import FreshnessLease
from ._linear import LinearModel, SpeedFactor
from ._list_checkpoint import (
    CONFIRM_INTERVAL_S,
    CheckpointRows,
    CheckpointSchedule,
    ListCheckpoint,
    ListState,
    find_unknown_removed,
    start_of_changes,
)
from ._listed_upstream import ListedUpstream, UnreadableEntry, UpstreamChanges
from ._load_relay import LoadRelay, LoadUpdate, RelaySelector, split_by_domain
from ._losses import LossRate
from ._mechanisms import Mechanism, Switches
from ._origin_records import (
    FIRST_ERA,
    RECORD_RETENTION_S,
    UNKNOWN_ORIGIN,
    OriginRecord,
    OriginRecords,
    RouteKey,
    extend_record,
    possible_origins,
)
from ._origin_records import KEY_PREFIX as ORIGIN_KEY_PREFIX
from ._outcome_relay import OutcomeRelay, Outcomes, OutcomesByUpstream, add_outcomes
from ._pending import NO_LOAD, LoadShare, PendingPrompts
from ._placing import LARGE_FLEET_PROCESSES, place_prompt
from ._polling import (
    POLLERS_PER_TABLE,
    ChangeContinuity,
    PollSchedule,
    is_poller,
    place_of,
    poll_wait_s,
)
from ._prompts import Prompt, PromptMemory
from ._ranking import rank_processes
from ._reading import FirstTokenModel
from ._relay_groups import RelayGroups, group_relays
from ._relay_links import relay_interval_s, suits_relay
from ._retry_after import (
    PeerAvailability,
    leaving_delay_s,
    limited_delay_s,
    rest_delay_s,
    retry_delay_s,
)
from ._route_services import RouteMove, RouteServices, RouteState, former_origins
from ._steady_reservation import SteadyReservation
from ._store_era import StoreEra
from ._stream_versions import (
    ASKED_AT_LAST,
    ASKED_PROCESSES,
    DIGEST_BYTES,
    RECORD_OWNERS,
    OriginEvidence,
    PeerKnowledge,
    StreamOrigin,
    StreamVersions,
    rank_owners,
    stream_digest,
)
from ._suspects import CrashSuspects, Interruption
from ._upstream import Upstream
from ._upstreams import UpstreamRegistry
from ._urgency import SHORT_READING_SHARE, request_priority, request_rank, urgency_level
from ._waiting import HoldReason, PassedOver, PromptQueue, Start, WaitingPrompt

__all__ = [
    "FIRST_ERA",
    "ORIGIN_KEY_PREFIX",
    "OriginRecord",
    "UNKNOWN_ORIGIN",
    "OriginRecords",
    "RouteKey",
    "extend_record",
    "possible_origins",
    "ASKED_AT_LAST",
    "ASKED_PROCESSES",
    "DIGEST_BYTES",
    "RECORD_OWNERS",
    "OriginEvidence",
    "PeerKnowledge",
    "StreamOrigin",
    "StreamVersions",
    "rank_owners",
    "stream_digest",
    "leaving_delay_s",
    "limited_delay_s",
    "rest_delay_s",
    "spare_upstreams",
    "held_back_upstreams",
    "StartNeed",
    "StartGrant",
    "SharedLimit",
    "ColdMessage",
    "ColdStart",
    "ColdTerms",
    "ColdReport",
    "StartAsks",
    "granted_rate",
    "NeedMessage",
    "LimitStep",
    "GrantMessage",
    "Fleet",
    "CallerLimits",
    "CallerOrganisation",
    "ColdStartTerms",
    "ConfigDirectory",
    "ConfigVersionTracker",
    "CrashSuspects",
    "Crowding",
    "Demand",
    "LoadUpdate",
    "LoadRelay",
    "EngineModel",
    "Evacuation",
    "EvacuationChange",
    "EvacuationChangeKind",
    "EvacuationReading",
    "EvacuationRow",
    "Evacuations",
    "LinearModel",
    "ChangeContinuity",
    "ForwardConfig",
    "ForwardRoute",
    "FreshnessLease",
    "Interruption",
    "CONFIRM_INTERVAL_S",
    "CheckpointRows",
    "CheckpointSchedule",
    "ListCheckpoint",
    "ListState",
    "ListedUpstream",
    "RECORD_RETENTION_S",
    "RouteMove",
    "RouteServices",
    "RouteState",
    "find_unknown_removed",
    "former_origins",
    "start_of_changes",
    "LoadShare",
    "SteadyReservation",
    "OutcomeRelay",
    "Outcomes",
    "OutcomesByUpstream",
    "add_outcomes",
    "PendingPrompts",
    "LossRate",
    "LARGE_FLEET_PROCESSES",
    "Mechanism",
    "NO_LOAD",
    "PeerAvailability",
    "Placement",
    "PollSchedule",
    "Prompt",
    "PromptMemory",
    "HoldReason",
    "PassedOver",
    "PromptQueue",
    "FirstTokenModel",
    "SHORT_READING_SHARE",
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
    "UpstreamRegistry",
    "UpstreamChanges",
    "WaitingPrompt",
    "choose_backup",
    "choose_upstream",
    "is_poller",
    "place_of",
    "poll_wait_s",
    "POLLERS_PER_TABLE",
    "place_prompt",
    "rank_processes",
    "RelayGroups",
    "RelaySelector",
    "group_relays",
    "split_by_domain",
    "request_priority",
    "relay_interval_s",
    "request_rank",
    "suits_relay",
    "urgency_level",
    "retry_delay_s",
    "usable_upstreams",
    "pick_service",
]
