"""Records that operators write: one attrs class for each (kind, schema version).

The classes are registered in :data:`record_schemas` by :func:`record`; an upgrader from one schema
version to the next is registered by :func:`upgrader`. The configuration in force uses the latest
schema version of each kind.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

import attrs

from ._validation import NAME, Constraint, InstanceOf, Interval, ListOf, Matches, OneOf

ANY = "*"
"""Wildcard that matches every organisation, model or header value."""

_NAME_OR_ANY: list[Constraint] = [NAME, OneOf((ANY,))]
_MODEL = Matches(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}", "a model name of 1 to 128 characters")
_BOOL: list[Constraint] = [InstanceOf(bool)]

record_schemas: dict[tuple[str, int], type] = {}
"""Record class by (kind, schema version)."""

upgraders: dict[tuple[str, int], Callable[[Any], Any]] = {}
"""Function that converts a record to the next schema version, by (kind, schema version)."""


def record(kind: str, schema: int) -> Callable[[type], type]:
    """Return a decorator that registers an attrs class as a record schema."""

    def add(cls: type) -> type:
        if (kind, schema) in record_schemas:
            raise ValueError(f"record schema {kind} {schema} is already registered")
        cls.kind = kind
        cls.schema = schema
        record_schemas[kind, schema] = cls
        return cls

    return add


def upgrader(kind: str, schema: int) -> Callable[[Callable], Callable]:
    """Return a decorator that registers the conversion from ``schema`` to ``schema + 1``."""

    def add(step: Callable) -> Callable:
        upgraders[kind, schema] = step
        return step

    return add


@record("class", 1)
@attrs.frozen
class ClassRecordV1:
    """Service class, schema version 1: one latency target, no share and no reserved places."""

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [NAME],
        "priority": [Interval(int, 0, 1000)],
        "latency_target_s": [Interval(float, 0.001, 3600)],
        "patience_s": [Interval(float, 0.001, 86400)],
        "protected": _BOOL,
        "preemptible": _BOOL,
    }

    name: str
    priority: int
    latency_target_s: float
    patience_s: float
    protected: bool = False
    preemptible: bool = True


@record("class", 2)
@attrs.frozen
class ClassRecord:
    """Service class.

    Parameters
    ----------
    name : str
    priority : int
        Larger values are more urgent.
    first_token_target_s, between_tokens_target_s : float
        Targets for the time to the first token and between tokens, seconds.
    patience_s : float
        How long a request of the class may wait before it is refused, seconds.
    share : float
        Fraction of the generated tokens that the class is guaranteed while it has demand.
    protected : bool
        Whether requests of the class are never shed or preempted for a lower class.
    preemptible : bool
        Whether running requests may be paused on their engine for a higher class.
    reserved_places : int
        Places at each upstream that are reserved for this class and higher ones.
    """

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [NAME],
        "priority": [Interval(int, 0, 1000)],
        "first_token_target_s": [Interval(float, 0.001, 3600)],
        "between_tokens_target_s": [Interval(float, 0.001, 3600)],
        "patience_s": [Interval(float, 0.001, 86400)],
        "share": [Interval(float, 0.0, 1.0)],
        "protected": _BOOL,
        "preemptible": _BOOL,
        "reserved_places": [Interval(int, 0, 1024)],
    }

    name: str
    priority: int
    first_token_target_s: float
    between_tokens_target_s: float
    patience_s: float
    share: float = 0.0
    protected: bool = False
    preemptible: bool = True
    reserved_places: int = 0


@upgrader("class", 1)
def _upgrade_class(old: ClassRecordV1) -> ClassRecord:
    return ClassRecord(
        name=old.name,
        priority=old.priority,
        first_token_target_s=old.latency_target_s,
        between_tokens_target_s=old.latency_target_s,
        patience_s=old.patience_s,
        share=0.0,
        protected=old.protected,
        preemptible=old.preemptible and not old.protected,
        reserved_places=1 if old.protected else 0,
    )


@record("organisation", 1)
@attrs.frozen
class OrganisationRecord:
    """Organisation that sends requests.

    Parameters
    ----------
    name : str
    key_salt : str
        Hexadecimal salt of the API key digests.
    key_digests : list of str
        Hexadecimal SHA-256 digests of salt and key, one for each valid API key.
    requests_per_s : float
        Limit on the request rate at one entry.
    outstanding : int
        Limit on the concurrent requests of the organisation at one entry.
    weight : float
        Weight of the organisation in fair queueing within a class.
    """

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [NAME],
        "key_salt": [Matches(r"[0-9a-f]{16,64}", "16 to 64 hexadecimal digits")],
        "key_digests": [ListOf(Matches(r"[0-9a-f]{64}", "64 hexadecimal digits"))],
        "requests_per_s": [Interval(float, 0.001, 1e6)],
        "outstanding": [Interval(int, 1, 1_000_000)],
        "weight": [Interval(float, 0.001, 1000)],
    }

    name: str
    key_salt: str
    key_digests: list[str]
    requests_per_s: float = 1000.0
    outstanding: int = 10_000
    weight: float = 1.0


@record("route", 1)
@attrs.frozen
class RouteRecordV1:
    """Routing rule, schema version 1: no header condition; idempotent unless it requires a key."""

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [NAME],
        "precedence": [Interval(int, 0, 1_000_000)],
        "organisation": _NAME_OR_ANY,
        "path_prefix": [Matches(r"/[^\s]{0,255}", "a path that starts with '/'")],
        "model": [_MODEL, OneOf((ANY,))],
        "class_name": [NAME],
        "group": [NAME],
        "requires_key": _BOOL,
    }

    name: str
    class_name: str
    group: str
    precedence: int = 0
    organisation: str = ANY
    path_prefix: str = "/"
    model: str = ANY
    requires_key: bool = False


@record("route", 2)
@attrs.frozen
class RouteRecord:
    """Routing rule, which assigns matching requests to a class and an upstream group.

    Of the rules that match a request, the one with the largest ``precedence`` applies; among
    equals, the one whose name sorts first.

    Parameters
    ----------
    name : str
    class_name, group : str
        Names of a class record and of an upstream group record.
    precedence : int
    organisation, model : str
        A name, or ``"*"``.
    path_prefix : str
        Prefix of the request path, such as ``/v1/chat/completions`` or ``/services/bookings``.
    service_class : str
        Value of the header ``X-Service-Class`` that the rule requires, or ``"*"``.
    idempotent : bool
        False if the request has an effect that must happen at most once.
    requires_key : bool
        Whether requests without an ``Idempotency-Key`` are refused.
    """

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        **RouteRecordV1._constraints,
        "service_class": _NAME_OR_ANY,
        "idempotent": _BOOL,
    }

    name: str
    class_name: str
    group: str
    precedence: int = 0
    organisation: str = ANY
    path_prefix: str = "/"
    model: str = ANY
    service_class: str = ANY
    idempotent: bool = True
    requires_key: bool = False


@upgrader("route", 1)
def _upgrade_route(old: RouteRecordV1) -> RouteRecord:
    fields = attrs.asdict(old)
    return RouteRecord(**fields, idempotent=not old.requires_key)


@record("group", 1)
@attrs.frozen
class GroupRecord:
    """Upstream group: a set of upstreams, any of which can serve a request.

    Parameters
    ----------
    name : str
    upstream_kind : str
        ``"engine"`` or ``"service"``.
    models : list of str
        Models that the engines serve; empty for services.
    places : int
        Maximum number of requests that one upstream runs concurrently.
    subset : int
        Number of upstreams of the group to which one entry connects.
    checks_fencing : bool
        Whether the upstreams reject an order with an outdated fencing number.
    """

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [NAME],
        "upstream_kind": [OneOf(("engine", "service"))],
        "models": [ListOf(_MODEL)],
        "places": [Interval(int, 1, 4096)],
        "subset": [Interval(int, 1, 256)],
        "checks_fencing": _BOOL,
    }

    name: str
    upstream_kind: str = "engine"
    models: list[str] = attrs.field(factory=list)
    places: int = 8
    subset: int = 16
    checks_fencing: bool = False


@record("placement", 1)
@attrs.frozen
class PlacementRecord:
    """Order to the engines of a group, executed at most once by each.

    Parameters
    ----------
    name : str
    group : str
    order : str
        ``"load_model"``, ``"load_adapter"``, ``"load_version"`` or ``"change_role"``.
    argument : str
        What to load, or the new role.
    vms : list of str
        Names of the VMs to which the order applies; empty for every upstream of the group.
    """

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [NAME],
        "group": [NAME],
        "order": [OneOf(("load_model", "load_adapter", "load_version", "change_role"))],
        "argument": [_MODEL],
        "vms": [ListOf(NAME)],
    }

    name: str
    group: str
    order: str
    argument: str
    vms: list[str] = attrs.field(factory=list)


@record("quarantine-withdrawal", 1)
@attrs.frozen
class QuarantineWithdrawalRecord:
    """Releases a request from quarantine.

    Parameters
    ----------
    name : str
        Any unused name.
    digest : str
        Digest of the request, as reported in the refusal and in the status.
    """

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [NAME],
        "digest": [Matches(r"[0-9a-f]{32}", "32 hexadecimal digits")],
    }

    name: str
    digest: str


@record("evacuation", 1)
@attrs.frozen
class EvacuationRecord:
    """Evacuates a failure domain: its slots get no requests until the record is withdrawn.

    Only the presence of the record counts. A body that a process cannot read does not end the
    evacuation there.

    Parameters
    ----------
    name : str
        The failure domain.
    reason : str
        For the operators; not evaluated.
    """

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [NAME],
        "reason": [Matches(r"[^\r\n]{0,200}", "one line of at most 200 characters")],
    }

    name: str
    reason: str = ""


QUEUE_POLICIES = ("class_share", "fifo")
PLACEMENT_POLICIES = ("least_reported", "random", "round_robin", "scored", "two_choices")
"""Policies that a record may name. The registries are in a higher layer; a test checks that both
agree."""


@record("policy", 1)
@attrs.frozen
class PolicyRecord:
    """Selection of registered policies and their limits; only the record ``default`` is used.

    Parameters
    ----------
    name : str
    binding : str
        ``"grant"``: requests wait at the entry until a slot grants a place. ``"slot_queue"``:
        requests are sent at once and queue in the slot.
    queue, placement : str
        Names of a registered queue policy and placement policy.
    preemption, reserve : bool
        Whether running requests are paused for higher classes, and whether places are reserved.
    shedding : bool
        Whether requests are refused early if their expected wait is too long.
    retry_ratio : float
        Retries allowed per new request.
    """

    kind: ClassVar[str]
    schema: ClassVar[int]
    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "name": [OneOf(("default",))],
        "binding": [OneOf(("grant", "slot_queue"))],
        "queue": [OneOf(QUEUE_POLICIES)],
        "placement": [OneOf(PLACEMENT_POLICIES)],
        "preemption": _BOOL,
        "reserve": _BOOL,
        "shedding": _BOOL,
        "retry_ratio": [Interval(float, 0.0, 1.0)],
    }

    name: str = "default"
    binding: str = "grant"
    queue: str = "class_share"
    placement: str = "scored"
    preemption: bool = True
    reserve: bool = True
    shedding: bool = True
    retry_ratio: float = 0.1
