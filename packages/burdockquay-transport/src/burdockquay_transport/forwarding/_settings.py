"""Settings of a forwarder."""

from __future__ import annotations

from typing import ClassVar

import attrs

from burdockquay_coordination import MAX_ANSWER_BYTES, MAX_HELD_BYTES
from burdockquay_coordination.forwarding import Mechanism
from burdockquay_state import (
    NAME,
    Constraint,
    InstanceOf,
    Interval,
    ListOf,
    MappingOf,
    Matches,
    OneOf,
)

_ADDRESS = Matches(
    r"([0-9.]+|\[[0-9a-fA-F:]+\]):[0-9]{1,5}", "IP address and port, as 10.0.0.1:7000"
)
_PACKAGE = Matches(r"[A-Za-z_][A-Za-z0-9_.]*", "the name of a Python package")
_MS: list[Constraint] = [Interval(float, 1.0, 86_400_000.0)]
_SECONDS: list[Constraint] = [Interval(float, 0.001, 86_400.0)]


@attrs.frozen
class ForwarderPlatformSettings:
    """Address of the platform, and the adapter for it.

    Parameters
    ----------
    adapter : str
        Name of a registered forwarding platform.
    address : str
        Host and port of the platform's store.
    timeout_s : float
        Limit on the time to the answer of a call that does not wait for changes, and on each
        pause in any answer, seconds.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "adapter": [NAME],
        "address": [_ADDRESS],
        "timeout_s": _SECONDS,
    }

    adapter: str
    address: str
    timeout_s: float = 0.7


@attrs.frozen
class ForwarderSettings:
    """Settings of a forwarder.

    Parameters
    ----------
    vm, failure_domain : str
        Identity of the process.
    listen, status_listen : str
        Addresses for callers, and for readiness and metrics; port 0 selects a free port.
    peer_listen : str or None
        Address for other forwarders; None to run without connections to them.
    platform : ForwarderPlatformSettings
    adapters : list of str
        Packages that register adapters.
    log_level : str
    withdrawal_ms : float
        Time after which a withdrawn API key must not work anywhere, milliseconds.
    keys_fail_closed : bool
        Whether keys are refused while it is unknown if they were withdrawn.
    drain_ms : float
        Time after which an upstream that is listed as leaving, or is no longer listed, must get no
        requests, milliseconds.
    config_apply_ms : float
        Time within which a configuration must be in force everywhere, milliseconds.
    stop_limit_s : float
        Time from the signal to stop until the process is killed, seconds.
    leave_delay_s : float
        How long a process that shuts down still accepts requests, seconds: as long as the load
        balancer needs to notice.
    max_answer_bytes, max_held_bytes : int
        Largest answer that is kept until it is complete, and most bytes of all such answers of
        unknown length that are not complete yet. An answer beyond that is given up.
    max_caller_connections : int or None
        Limit on the connections of callers; None derives it from the descriptors that the process
        may open and the memory of the machine.
    max_caller_bytes : int or None
        Limit on the bytes of requests and answers that the connections of callers hold together;
        None derives it from the memory of the machine.
    answer_timeout_s : float
        Time after which a caller that takes nothing of its answer is given up, seconds.
    retry_ratio, retry_burst, retry_window_s : float
        Retry budget of a service in a window of time, for all processes together: a ratio of the
        requests, plus a constant number.
    duty_address : str or None
        Host and port where the platform accepts the calls of its duties, which one process at a
        time carries out; None if it asks for none.
    duty_names : list of str
        The duties that the platform asks for, by its own names.
    duty_lease_ms : float
        Duration of the lease of the process that carries out a duty, milliseconds.
    usage_window_s, usage_due_s : float
        Length of a window of reported usage, and time after its end at which its report is due,
        seconds.
    regions : dict of str to str
        Region of each failure domain; a domain that is not named has no region. None names none.
    link_mbps : float or None
        Speed of the link of the VM, Mbit/s; None if it is not known. Processes with a slow link
        relay the loads of others only where no other can, and at a bounded rate.
    cold_overage, cold_slack : float
        A cold upstream gets at most its rate times the first, plus the second, in any one second.
    mechanisms_off : list of str
        Disabled mechanisms, see :class:`Mechanism`; can be changed while the process runs.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "vm": [NAME],
        "failure_domain": [NAME],
        "listen": [_ADDRESS],
        "status_listen": [_ADDRESS],
        "peer_listen": [_ADDRESS, InstanceOf(type(None))],
        "platform": [InstanceOf(ForwarderPlatformSettings)],
        "duty_address": [_ADDRESS, InstanceOf(type(None))],
        "duty_names": [ListOf(NAME)],
        "duty_lease_ms": [Interval(float, 100.0, 3_600_000.0)],
        "usage_window_s": [Interval(float, 0.1, 86_400.0)],
        "usage_due_s": [Interval(float, 0.1, 86_400.0)],
        "adapters": [ListOf(_PACKAGE)],
        "log_level": [OneOf(("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"))],
        "withdrawal_ms": _MS,
        "keys_fail_closed": [InstanceOf(bool)],
        "drain_ms": _MS,
        "config_apply_ms": _MS,
        "stop_limit_s": _SECONDS,
        "leave_delay_s": [Interval(float, 0.0, 3600.0)],
        "max_answer_bytes": [Interval(int, 1024, 1 << 32)],
        "max_held_bytes": [Interval(int, 1024, 1 << 32)],
        "max_caller_connections": [Interval(int, 1, 1 << 20), InstanceOf(type(None))],
        "max_caller_bytes": [Interval(int, 1 << 16, 1 << 40), InstanceOf(type(None))],
        "answer_timeout_s": _SECONDS,
        "retry_ratio": [Interval(float, 0.0, 10.0)],
        "retry_burst": [Interval(float, 0.0, 100_000.0)],
        "retry_window_s": _SECONDS,
        "regions": [MappingOf(NAME, NAME), InstanceOf(type(None))],
        "link_mbps": [Interval(float, 0.001, 10_000_000.0), InstanceOf(type(None))],
        "cold_overage": [Interval(float, 1.0, 100.0)],
        "cold_slack": [Interval(float, 0.0, 100_000.0)],
        "mechanisms_off": [ListOf(OneOf(tuple(map(str, Mechanism))))],
    }

    vm: str
    failure_domain: str
    platform: ForwarderPlatformSettings
    listen: str = "127.0.0.1:0"
    status_listen: str = "127.0.0.1:0"
    peer_listen: str | None = None
    adapters: list[str] = attrs.field(factory=list)
    log_level: str = "INFO"
    withdrawal_ms: float = 5000.0
    keys_fail_closed: bool = True
    drain_ms: float = 2000.0
    config_apply_ms: float = 2000.0
    stop_limit_s: float = 8.0
    leave_delay_s: float = 2.5
    max_answer_bytes: int = MAX_ANSWER_BYTES
    max_held_bytes: int = MAX_HELD_BYTES
    max_caller_connections: int | None = None
    max_caller_bytes: int | None = None
    answer_timeout_s: float = 30.0
    retry_ratio: float = 0.2
    retry_burst: float = 20.0
    retry_window_s: float = 10.0
    duty_address: str | None = None
    duty_names: list[str] = attrs.field(factory=list)
    duty_lease_ms: float = 3000.0
    usage_window_s: float = 5.0
    usage_due_s: float = 10.0
    regions: dict[str, str] = attrs.field(
        factory=dict, converter=attrs.converters.default_if_none(factory=dict)
    )
    link_mbps: float | None = None
    cold_overage: float = 1.0
    cold_slack: float = 1.0
    mechanisms_off: list[str] = attrs.field(factory=list)
