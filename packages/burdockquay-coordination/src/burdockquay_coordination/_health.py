"""Detection of slow and failing upstreams by an entry, and the circuit breaker of a slot."""

from __future__ import annotations

import math
import statistics
from typing import ClassVar

import attrs

from burdockquay_state import Constraint, Interval, check_parameters


@attrs.define
class _Vm:
    step_s: float = 0.0
    steps: int = 0
    failures: float = 0.0
    failed_at: float = 0.0
    slow: bool = False


class HealthMonitor:
    """Compares each VM with the median of all VMs, and ejects the worst.

    Parameters
    ----------
    eject_ratio : float
        A VM is ejected if its step time is at least this multiple of the median.
    return_ratio : float
        An ejected VM is used again once its step time is below this multiple of the median.
    tolerated_ratio : float
        Ratio to the median up to which a VM has full weight.
    eject_failures : float
        Number of recent failures at which a VM is ejected.
    max_ejected_share : float
        Largest fraction of the known VMs that is ejected at a time.
    failure_halflife_s : float
        Half-life of the weight of a failure, seconds.

    Notes
    -----
    An absolute limit on the step time would eject every VM when all are slow under load. Relative
    to the median a VM stands out only if the others are faster. The weight of a slow VM falls with
    the square of the ratio, since the requests sent to it also take longer there.

    The bound on ejection always applies: if many VMs seem bad at once, the cause is more likely
    shared, or in this process, and the remaining VMs could not carry the load.

    Step times come from the slot's status, which the slot's probes keep current while the VM has no
    work. So no users' requests are needed to detect that it has recovered.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "eject_ratio": [Interval(float, 1.0)],
        "return_ratio": [Interval(float, 1.0)],
        "tolerated_ratio": [Interval(float, 1.0)],
        "eject_failures": [Interval(float, 1.0)],
        "max_ejected_share": [Interval(float, 0.0, 1.0)],
        "failure_halflife_s": [Interval(float, 0.001)],
    }
    _smoothing: ClassVar[float] = 0.4
    _min_steps: ClassVar[int] = 3
    _min_peers: ClassVar[int] = 3

    def __init__(
        self,
        eject_ratio: float = 2.0,
        return_ratio: float = 1.5,
        tolerated_ratio: float = 1.25,
        eject_failures: float = 3.0,
        max_ejected_share: float = 0.25,
        failure_halflife_s: float = 2.0,
    ):
        self.eject_ratio = eject_ratio
        self.return_ratio = return_ratio
        self.tolerated_ratio = tolerated_ratio
        self.eject_failures = eject_failures
        self.max_ejected_share = max_ejected_share
        self.failure_halflife_s = failure_halflife_s
        check_parameters(self)
        self._vms: dict[str, _Vm] = {}
        self._median: float | None = None
        # Cached per time: one placement asks for the ejected VMs once for each candidate.
        self._ejected: tuple[float, frozenset[str]] | None = None

    def observe_step(self, vm: str, step_s: float, now: float) -> None:
        """Record a time between tokens on a VM; 0 means unknown and is ignored."""
        if step_s <= 0:
            return
        state = self._state(vm)
        gain = self._smoothing if state.steps else 1.0
        state.step_s += gain * (step_s - state.step_s)
        state.steps += 1
        self._median = None
        self._update_slow(state)

    def observe_failure(self, vm: str, now: float) -> None:
        """Record that a request failed because of the VM."""
        state = self._state(vm)
        state.failures = self._failures(state, now) + 1.0
        state.failed_at = now

    def observe_success(self, vm: str, now: float) -> None:
        """Record that a request succeeded on the VM.

        Notes
        -----
        A success clears earlier failures, except on a VM that is ejected because of them: a request
        sent before the failures began may succeed long after, and is no evidence that the VM works
        now.
        """
        state = self._state(vm)
        if self._failures(state, now) < self.eject_failures:
            state.failures = 0.0

    def weight(self, vm: str, now: float) -> float:
        """Return the weight of a VM, from 0 (ejected) to 1 (as good as the others)."""
        if vm in self.ejected(now):
            return 0.0
        state = self._vms.get(vm)
        if state is None:
            return 1.0
        ratio = max(self._ratio(state) / self.tolerated_ratio, 1.0)
        return 1.0 / (ratio * ratio * (1.0 + self._failures(state, now)))

    def ejected(self, now: float) -> frozenset[str]:
        """Return the VMs that should get no work, at most ``max_ejected_share`` of those known."""
        if self._ejected is None or self._ejected[0] != now:
            self._ejected = (now, self._find_ejected(now))
        return self._ejected[1]

    def forget(self, vm: str) -> None:
        """Drop the state of a removed VM."""
        self._vms.pop(vm, None)
        self._ejected = None
        self._median = None

    def _find_ejected(self, now: float) -> frozenset[str]:
        bad = [
            (-self._failures(state, now), -self._ratio(state), vm)
            for vm, state in self._vms.items()
            if state.slow or self._failures(state, now) >= self.eject_failures
        ]
        return frozenset(vm for _, _, vm in sorted(bad)[: self._most_ejected()])

    def _state(self, vm: str) -> _Vm:
        """Return the state of a VM for a change, and invalidate the ejected VMs."""
        self._ejected = None
        return self._vms.setdefault(vm, _Vm())

    def _most_ejected(self) -> int:
        return math.floor(len(self._vms) * self.max_ejected_share)

    def _failures(self, state: _Vm, now: float) -> float:
        age = max(0.0, now - state.failed_at)
        return state.failures * 0.5 ** (age / self.failure_halflife_s)

    def _ratio(self, state: _Vm) -> float:
        """Return the ratio of the step time to the median; 1 while either is unknown."""
        if self._median is None:
            steps = [other.step_s for other in self._vms.values() if other.steps]
            self._median = statistics.median_low(steps) if len(steps) >= self._min_peers else 0.0
        known = self._median > 0 and state.steps >= self._min_steps
        return state.step_s / self._median if known else 1.0

    def _update_slow(self, state: _Vm) -> None:
        limit = self.return_ratio if state.slow else self.eject_ratio
        state.slow = self._ratio(state) >= limit


class ProbeCircuitBreaker:
    """Circuit breaker with two states: unhealthy after a failure, until enough probes succeed.

    Parameters
    ----------
    successes_needed : int

    Notes
    -----
    The usual third state, half-open, tests an upstream with users' requests. Here the slot runs
    next to its upstream, so its own probes test it and users' requests are not needed. A single
    success of an upstream that still has problems would send all traffic back to it; several
    consecutive ones seldom happen by chance. A failure in between restarts the count.

    References
    ----------
    "My Circuit Breaker Has Two States and Lives in Postgres".

    Examples
    --------
    >>> breaker = ProbeCircuitBreaker(successes_needed=2)
    >>> breaker.failed(now=0.0)
    >>> breaker.probe_result(True, now=1.0)
    >>> breaker.healthy
    False
    >>> breaker.probe_result(True, now=2.0)
    >>> breaker.healthy
    True
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {"successes_needed": [Interval(int, 1)]}

    def __init__(self, successes_needed: int = 3):
        self.successes_needed = successes_needed
        check_parameters(self)
        self._healthy = True
        self._successes = 0

    @property
    def healthy(self) -> bool:
        """Whether the upstream may get users' requests."""
        return self._healthy

    def failed(self, now: float) -> None:
        """Record that the upstream failed."""
        self._healthy = False
        self._successes = 0

    def probe_result(self, ok: bool, now: float) -> None:
        """Record the result of a probe."""
        if not ok:
            self.failed(now)
            return
        self._successes += 1
        if self._successes >= self.successes_needed:
            self._healthy = True
