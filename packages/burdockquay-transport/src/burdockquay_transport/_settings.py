"""Settings of entry and slot, as attrs classes with declared constraints."""

from __future__ import annotations

from typing import ClassVar

import attrs

from burdockquay_state import (
    MIN_RETENTION_S,
    NAME,
    Constraint,
    InstanceOf,
    Interval,
    ListOf,
    Matches,
    OneOf,
)

_HOST = Matches(r"[0-9a-fA-F:.]+", "an IP address")
_URL = Matches(r"https?://[^\s]+", "an http:// or https:// URL")
_PORT: list[Constraint] = [Interval(int, 0, 65535)]
_POSITIVE_S: list[Constraint] = [Interval(float, 0.001, 86400)]
_ADDRESS = Matches(
    r"([0-9.]+|\[[0-9a-fA-F:]+\]):[0-9]{1,5}", "IP address and port, as 10.0.0.1:7000"
)


@attrs.frozen
class PlatformSettings:
    """Addresses of the platform's services, and the adapters to use for them.

    Parameters
    ----------
    table, objects, vms : str
        Names of registered adapters.
    table_url, objects_url, vms_url : str
    timeout_s : float
        Limit on the time to the answer of a call, and on each pause in it, seconds.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "table": [NAME],
        "objects": [NAME],
        "vms": [NAME],
        "table_url": [_URL],
        "objects_url": [_URL],
        "vms_url": [_URL],
        "timeout_s": _POSITIVE_S,
    }

    table_url: str
    objects_url: str
    vms_url: str
    table: str = "http"
    objects: str = "http"
    vms: str = "http"
    timeout_s: float = 1.0


@attrs.frozen
class MetricsSettings:
    """Destination of metrics.

    Parameters
    ----------
    sink : str
        ``"statsd"`` or ``"none"``.
    host, port
        Address of the statsd collector.
    prefix : str
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "sink": [OneOf(("statsd", "none"))],
        "host": [_HOST],
        "port": _PORT,
        "prefix": [NAME],
    }

    sink: str = "none"
    host: str = "127.0.0.1"
    port: int = 8125
    prefix: str = "burdockquay"


@attrs.frozen
class _ProcessSettings:
    """Settings that both roles have in common.

    Parameters
    ----------
    vm, failure_domain : str
        Identity of the process; the replacement of a VM gets a new name.
    peer_key : str
        Shared key of all processes, at least 32 hexadecimal digits.
    platform : PlatformSettings
    host, port
        Address where the process listens; port 0 picks a free port.
    log_level : str
    metrics : MetricsSettings
    stop_limit_s : float
        Longest graceful shutdown, seconds.
    poll_interval_s : float
        Mean time between two reads of the head revision from the table, seconds.
    table_read_budget : float
        Limit on the reads of the head revision by all processes together, per second; many
        processes read at longer intervals.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "vm": [NAME],
        "failure_domain": [NAME],
        "peer_key": [Matches(r"[0-9a-f]{32,128}", "32 to 128 hexadecimal digits")],
        "platform": [InstanceOf(PlatformSettings)],
        "host": [_HOST],
        "port": _PORT,
        "log_level": [OneOf(("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"))],
        "metrics": [InstanceOf(MetricsSettings)],
        "stop_limit_s": _POSITIVE_S,
        "poll_interval_s": _POSITIVE_S,
        "table_read_budget": [Interval(float, 0.001, 10000)],
    }

    vm: str
    failure_domain: str
    peer_key: str
    platform: PlatformSettings
    host: str = "127.0.0.1"
    port: int = 0
    log_level: str = "INFO"
    metrics: MetricsSettings = attrs.field(factory=MetricsSettings)
    stop_limit_s: float = 60.0
    poll_interval_s: float = 1.0
    table_read_budget: float = 300.0


@attrs.frozen
class EntrySettings(_ProcessSettings):
    """Settings of an entry.

    Parameters
    ----------
    max_body_bytes : int
        Largest request body, bytes.
    default_deadline_s, max_deadline_s : float
        Deadline of a request that specifies none, and the longest allowed deadline, seconds.
    vm_list_interval_s : float
        Time between two reads of the VM list, seconds.
    leave_delay_s : float
        How long a draining entry accepts requests while ``/readyz`` reports it as not ready,
        seconds: the time that the load balancer needs to notice.
    max_head_bytes : int
        Largest head of a request, bytes.
    head_timeout_s, idle_timeout_s, answer_timeout_s : float
        Time for a head, time for which a connection may be idle, and time after which a caller that
        takes nothing of its answer is given up, seconds.
    max_caller_connections : int or None
        Limit on the connections of callers; None derives it from the descriptors that the process
        may open and the memory of the machine.
    max_caller_bytes : int or None
        Limit on the bytes of requests and answers that the connections of callers hold together;
        None derives it from the memory of the machine.
    seed_slots : list of str
        Addresses of slots to connect to while the VM list cannot be read.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        **_ProcessSettings._constraints,
        "max_body_bytes": [Interval(int, 1024, 1 << 21)],
        "default_deadline_s": _POSITIVE_S,
        "max_deadline_s": _POSITIVE_S,
        "vm_list_interval_s": _POSITIVE_S,
        "leave_delay_s": [Interval(float, 0.0, 3600.0)],
        "max_head_bytes": [Interval(int, 1024, 1 << 20)],
        "head_timeout_s": _POSITIVE_S,
        "idle_timeout_s": _POSITIVE_S,
        "answer_timeout_s": _POSITIVE_S,
        "max_caller_connections": [Interval(int, 1, 1 << 20), InstanceOf(type(None))],
        "max_caller_bytes": [Interval(int, 1 << 16, 1 << 40), InstanceOf(type(None))],
        "seed_slots": [ListOf(_ADDRESS)],
    }

    max_body_bytes: int = 1 << 20
    default_deadline_s: float = 60.0
    max_deadline_s: float = 600.0
    vm_list_interval_s: float = 1.0
    leave_delay_s: float = 2.0
    max_head_bytes: int = 64 << 10
    head_timeout_s: float = 30.0
    idle_timeout_s: float = 300.0
    answer_timeout_s: float = 30.0
    max_caller_connections: int | None = None
    max_caller_bytes: int | None = None
    seed_slots: list[str] = attrs.field(factory=list)


@attrs.frozen
class ColdStartSettings:
    """What an upstream can bear after it has started.

    Parameters
    ----------
    duration_s : float
        Time for which it is cold, seconds.
    per_s : float
        Requests per second that it can bear meanwhile.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "duration_s": [Interval(float, 0.001, 3600.0)],
        "per_s": [Interval(float, 0.1, 1e6)],
    }

    duration_s: float
    per_s: float


@attrs.frozen
class SlotSettings(_ProcessSettings):
    """Settings of a slot.

    Parameters
    ----------
    group : str
        Name of the upstream group of the upstream.
    upstream_url : str
    status_port : int
        Port of the health, readiness and status pages.
    flush_interval_s : float
        Longest time that a part of an answer waits for others to share a message, seconds.
    status_interval_s : float
        Shortest time between two status messages, seconds.
    probe_interval_s : float
        Time between two probes of an unhealthy upstream, seconds.
    claim_retention_s : float
        Retention time of the outcome of an idempotency key, seconds.
    load_turns : int
        Number of engines that may read from the weight store at a time, over all VMs; must be the
        same everywhere.
    load_turn_s : float
        Shortest time for which such an engine counts as reading, seconds.
    cold_start : ColdStartSettings or None
        None if the upstream is never cold.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        **_ProcessSettings._constraints,
        "group": [NAME],
        "upstream_url": [_URL],
        "status_port": _PORT,
        "flush_interval_s": [Interval(float, 0.0, 1.0)],
        "status_interval_s": _POSITIVE_S,
        "probe_interval_s": _POSITIVE_S,
        "claim_retention_s": [Interval(float, MIN_RETENTION_S, 31_536_000)],
        "load_turns": [Interval(int, 1, 1000)],
        "load_turn_s": [Interval(float, 0.1, 3600.0)],
        "cold_start": [InstanceOf(ColdStartSettings)],
    }

    group: str = attrs.field(kw_only=True)
    upstream_url: str = attrs.field(kw_only=True)
    status_port: int = 0
    flush_interval_s: float = 0.002
    status_interval_s: float = 0.02
    probe_interval_s: float = 0.5
    claim_retention_s: float = 86400.0
    load_turns: int = 4
    load_turn_s: float = 10.0
    cold_start: ColdStartSettings | None = None
