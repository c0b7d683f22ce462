"""Decisions: queues, admission, placement, retries, health, membership, configuration.

This package opens no sockets and reads no clock: functions receive the current time and the
random generator as arguments.
"""

from burdockquay_state._lazy import lazy_exports

_EXPORTS = {
    "._admission": ("AdmissionController",),
    "._caller_accounts": (
        "CallerAccount",
        "CallerAccounts",
        "CallerPhase",
        "CallerTerms",
        "GiveUpReason",
        "UnsentAnswer",
    ),
    "._task_restarts": ("STEADY_S", "TaskRestarts"),
    "._token_bucket": ("TokenBucket",),
    "._configuration": (
        "ApplyOutcome",
        "ApplyStatus",
        "ConfigurationHolder",
        "ConfigurationReader",
        "next_read_delay",
    ),
    "._evacuated_domains": (
        "EvacuatedDomain",
        "EvacuatedDomains",
        "EvacuationChange",
    ),
    "._finish_gate": ("FinishDecision", "FinishGate", "FinishReason", "RunInProgress"),
    "._held_answers": ("MAX_ANSWER_BYTES", "MAX_HELD_BYTES", "HeldAnswer", "HeldAnswers"),
    "._fleet_size": ("FleetSize",),
    "._health": (
        "HealthMonitor",
        "ProbeCircuitBreaker",
    ),
    "._load_turns": ("LoadTurns",),
    "._membership": ("MembershipTracker",),
    "._once_entry": (
        "SETTLED_KINDS",
        "AtMostOnceResolver",
        "AtMostOnceTicket",
        "Settled",
        "SettledState",
    ),
    "._once_era": (
        "CLAIM_HOLD_S",
        "OPEN_ERA_KEY",
        "ClaimEra",
    ),
    "._once_slot": ("AtMostOnceGuard",),
    "._orders": (
        "EngineOrder",
        "OrderFailure",
        "OrderRunner",
        "OrderState",
        "OrderTarget",
        "applies_to_engine",
        "order_id",
    ),
    "._organisation_use": ("OrganisationUse",),
    "._outcomes": ("OutcomeWriter",),
    "._placement": (
        "PlacementPolicy",
        "placement_policies",
    ),
    "._places": ("is_preemptible",),
    "._prefixes": (
        "PrefixIndex",
        "hash_short_prefixes",
    ),
    "._quarantine": (
        "QuarantineTracker",
        "Verdict",
    ),
    "._crash_evidence": ("CrashEvidence",),
    "._part_store": ("PartStore",),
    "._queues": (
        "QueuePolicy",
        "queue_policies",
    ),
    ".sending._leaving": (
        "Leaving",
        "read_leaving",
    ),
    ".sending._rate_limit": (
        "RateLimit",
        "read_rate",
    ),
    ".sending._rest": (
        "TURNED_AWAY_STATUSES",
        "Rest",
        "read_rest",
    ),
    "._run_gate": ("RunGate",),
    ".sending._run_statements": (
        "AnswerContext",
        "RunStatements",
        "read_statements",
    ),
    ".sending._statements": (
        "NOT_STATED",
        "Binding",
        "ProofNeed",
        "StatementChange",
        "StatementChangeKind",
        "StatementFault",
        "StatementReading",
        "Statements",
        "statement_kinds",
    ),
    ".regions": ("Homes", "RegionDelays", "RegionMap"),
    "._retries": (
        "RetryDecision",
        "RetryRule",
        "rule_of",
        "should_retry",
    ),
    "._routing": (
        "RouteTable",
        "authenticate",
        "classes_of_group",
        "make_key_digest",
    ),
    "._shares": (
        "Contender",
        "ShareLedger",
    ),
    "._shared_retry_budget": ("SharedRetryBudget",),
    "._slots": ("SlotScheduler",),
    ".sending._start_gate": ("StartGate",),
    "._subsets": ("choose_subset",),
    "._suspicion_store": (
        "SuspicionStore",
        "load_with_retries",
    ),
    "._types": (
        "Candidate",
        "PlaceGrant",
        "PlacementRequest",
        "SlotCounts",
        "QueuedRequest",
        "Work",
    ),
    "._usage": (
        "AttainmentRow",
        "LatencyTarget",
        "UsageLedger",
        "UsageRow",
    ),
}

__getattr__, __dir__, __all__ = lazy_exports(__name__, _EXPORTS)
