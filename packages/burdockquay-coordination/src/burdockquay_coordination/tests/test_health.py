import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import HealthMonitor, ProbeCircuitBreaker
from burdockquay_state import InvalidParameterError


def observe(monitor, steps, times=5):
    for _ in range(times):
        for vm, step_s in steps.items():
            monitor.observe_step(vm, step_s, 0.0)


FLEET = {f"vm-{number}": 0.01 for number in range(8)}


@pytest.fixture
def monitor():
    return HealthMonitor()


def test_slow_upstream_is_ejected_until_it_recovers(monitor):
    """An upstream becomes slow but still answers every request, so that no error shows it.

    Its callers see long pauses between tokens, and its places stay occupied longer.
    """
    observe(monitor, {**FLEET, "vm-3": 0.03})
    assert monitor.ejected(0.0) == {"vm-3"}
    assert monitor.weight("vm-3", 0.0) == 0.0
    observe(monitor, FLEET, times=10)
    assert monitor.ejected(0.0) == frozenset()
    assert monitor.weight("vm-3", 0.0) == pytest.approx(1.0, abs=0.05)


def test_moderately_slow_upstream_has_a_smaller_weight(monitor):
    observe(monitor, {**FLEET, "vm-3": 0.018})
    assert monitor.ejected(0.0) == frozenset()
    assert monitor.weight("vm-3", 0.0) == pytest.approx((1.25 / 1.8) ** 2)
    assert monitor.weight("vm-1", 0.0) == 1.0


def test_uniform_slowness_ejects_no_upstream(monitor):
    observe(monitor, FLEET)
    observe(monitor, dict.fromkeys(FLEET, 0.1), times=20)
    assert monitor.ejected(0.0) == frozenset()


def test_failures_eject_temporarily_despite_a_late_success(monitor):
    """An upstream fails some requests, while one that was sent before still succeeds.

    If that success counted, all traffic would be sent again to an upstream that is known to fail.
    """
    observe(monitor, FLEET)
    monitor.observe_failure("vm-1", 0.0)
    monitor.observe_success("vm-1", 0.0)
    assert monitor.weight("vm-1", 0.0) == 1.0
    for _ in range(4):
        monitor.observe_failure("vm-1", 0.0)
    monitor.observe_success("vm-1", 0.1)
    assert monitor.ejected(0.1) == {"vm-1"}
    assert monitor.ejected(4.0) == frozenset()


@given(
    st.dictionaries(
        st.integers(0, 20),
        st.tuples(st.floats(0.001, 1.0), st.integers(0, 5)),
        min_size=1,
    )
)
def test_at_most_a_bounded_part_is_ejected_and_weights_are_fractions(fleet):
    monitor = HealthMonitor()
    for number, (step_s, failures) in fleet.items():
        observe(monitor, {str(number): step_s})
        for _ in range(failures):
            monitor.observe_failure(str(number), 0.0)
    observe(monitor, {str(number): step_s for number, (step_s, _) in fleet.items()})
    assert len(monitor.ejected(0.0)) <= math.floor(len(fleet) * 0.25)
    assert all(0.0 <= monitor.weight(str(number), 0.0) <= 1.0 for number in fleet)


def test_a_forgotten_vm_no_longer_counts(monitor):
    observe(monitor, {**FLEET, "vm-3": 0.03})
    monitor.forget("vm-3")
    assert monitor.ejected(0.0) == frozenset()
    assert monitor.weight("vm-3", 0.0) == 1.0


def test_bad_parameters_are_all_named():
    with pytest.raises(InvalidParameterError, match=r"eject_ratio.*max_ejected_share"):
        HealthMonitor(eject_ratio=0.5, max_ejected_share=2.0)


@given(st.lists(st.booleans()), st.integers(1, 4))
def test_breaker_closes_only_after_consecutive_successes(results, needed):
    breaker = ProbeCircuitBreaker(successes_needed=needed)
    assert breaker.healthy
    breaker.failed(0.0)
    row = 0
    healthy = False
    for ok in results:
        breaker.probe_result(ok, 0.0)
        row = row + 1 if ok else 0
        healthy = ok and (healthy or row >= needed)
        assert breaker.healthy == healthy
