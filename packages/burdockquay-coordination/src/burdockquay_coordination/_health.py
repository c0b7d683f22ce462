"""Stragglers and failing upstreams, as an entry sees them, and the probe gate of a slot."""

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
    """Weighs each VM against the median of its peers, and ejects the worst.

    Parameters
    ----------
    eject_ratio : float
        A VM whose step time is this many times the median is ejected.
    return_ratio : float
        An ejected VM returns once its step time is below this many times the median.
    tolerated_ratio : float
        Up to this ratio a VM has full weight.
    eject_failures : float
        Recent failures at which a VM is ejected.
    max_ejected_share : float
        Largest part of the known VMs that is ejected at a time.
    failure_halflife_s : float
        Time after which a failure counts half, seconds.

    Notes
    -----
    An absolute limit on the step time would eject everyone when all are slow under load. Against
    the median a VM stands out only if its peers do better. The weight of a slow VM falls with the
    square of the ratio, since what it takes also stays longer with it.

    The bound on ejection holds whatever the figures say: if many look bad at once, the cause is
    more likely shared, or here, and the rest could not carry the load.

    Step times come from the slot's status, which its own probes keep fresh while the VM has no
    work. So users' requests are not needed to find out that it has recovered.
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
        # One choice among many candidates asks for the ejected ones once for each candidate.
        self._ejected: tuple[float, frozenset[str]] | None = None

    def observe_step(self, vm: str, step_s: float, now: float) -> None:
        """Take a time between tokens on a VM; 0 means unknown and is ignored."""
        if step_s <= 0:
            return
        state = self._state(vm)
        gain = self._smoothing if state.steps else 1.0
        state.step_s += gain * (step_s - state.step_s)
        state.steps += 1
        self._median = None
        self._judge(state)

    def observe_failure(self, vm: str, now: float) -> None:
        """Note that a request failed there by the VM's fault."""
        state = self._state(vm)
        state.failures = self._failures(state, now) + 1.0
        state.failed_at = now

    def observe_success(self, vm: str, now: float) -> None:
        """Note that a request ended well there.

        Notes
        -----
        It clears earlier failures, except those of a VM ejected for them: a request that was sent
        before the trouble began may end well long after it and says nothing of the VM now.
        """
        state = self._state(vm)
        if self._failures(state, now) < self.eject_failures:
            state.failures = 0.0

    def weight(self, vm: str, now: float) -> float:
        """Return from 0 (ejected) to 1 (as good as its peers)."""
        if vm in self.ejected(now):
            return 0.0
        state = self._vms.get(vm)
        if state is None:
            return 1.0
        ratio = max(self._ratio(state) / self.tolerated_ratio, 1.0)
        return 1.0 / (ratio * ratio * (1.0 + self._failures(state, now)))

    def ejected(self, now: float) -> frozenset[str]:
        """Return the VMs that should get no work, at most a bounded part of those known."""
        if self._ejected is None or self._ejected[0] != now:
            self._ejected = (now, self._find_ejected(now))
        return self._ejected[1]

    def forget(self, vm: str) -> None:
        """Drop a VM that is gone."""
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
        """Return the state of a VM that is about to change."""
        self._ejected = None
        return self._vms.setdefault(vm, _Vm())

    def _most_ejected(self) -> int:
        return math.floor(len(self._vms) * self.max_ejected_share)

    def _failures(self, state: _Vm, now: float) -> float:
        age = max(0.0, now - state.failed_at)
        return state.failures * 0.5 ** (age / self.failure_halflife_s)

    def _ratio(self, state: _Vm) -> float:
        """Return the step time over the median; 1 while either is unknown."""
        if self._median is None:
            steps = [other.step_s for other in self._vms.values() if other.steps]
            self._median = statistics.median_low(steps) if len(steps) >= self._min_peers else 0.0
        known = self._median > 0 and state.steps >= self._min_steps
        return state.step_s / self._median if known else 1.0

    def _judge(self, state: _Vm) -> None:
        limit = self.return_ratio if state.slow else self.eject_ratio
        state.slow = self._ratio(state) >= limit


class ProbeGate:
    """Two states: healthy until a failure, and again after enough probes in a row.

    Parameters
    ----------
    successes_needed : int

    Notes
    -----
    The usual third state, half-open, tests an upstream with users' requests. Here the slot stands
    beside its upstream all the time, so its own probes test it and users never do. One success of
    an upstream that still struggles would return all traffic to it; several in a row seldom happen
    by luck. A failure in between starts the count again.

    References
    ----------
    "My Circuit Breaker Has Two States and Lives in Postgres".

    Examples
    --------
    >>> gate = ProbeGate(successes_needed=2)
    >>> gate.failed(now=0.0)
    >>> gate.probe_result(True, now=1.0)
    >>> gate.healthy
    False
    >>> gate.probe_result(True, now=2.0)
    >>> gate.healthy
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
        """Note that the upstream failed."""
        self._healthy = False
        self._successes = 0

    def probe_result(self, ok: bool, now: float) -> None:
        """Take the result of a probe."""
        if not ok:
            self.failed(now)
            return
        self._successes += 1
        if self._successes >= self.successes_needed:
            self._healthy = True
