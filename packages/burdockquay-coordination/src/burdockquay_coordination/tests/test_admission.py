import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import (
    AdmissionController,
    OrganisationUse,
    QueuedRequest,
    queue_policies,
)
from burdockquay_protocol import ErrorKind
from burdockquay_state import ClassRecord, OrganisationRecord, PolicyRecord

CLASSES = {
    "hold": ClassRecord("hold", 100, 0.1, 0.1, 1.0, protected=True, preemptible=False),
    "draft": ClassRecord("draft", 10, 1.0, 0.1, 4.0),
}
ORGANISATIONS = {
    "north": OrganisationRecord("north", "ab" * 16, [], requests_per_s=5.0, outstanding=1000),
    "south": OrganisationRecord("south", "ab" * 16, [], requests_per_s=1e6, outstanding=1000),
    "small": OrganisationRecord("small", "ab" * 16, [], requests_per_s=1e6, outstanding=2),
}


@pytest.fixture
def admission():
    controller = AdmissionController()
    controller.configure(CLASSES, ORGANISATIONS, PolicyRecord(), 0.0)
    return controller


@pytest.fixture
def queue():
    return queue_policies.get("class_share")(CLASSES, {})


def fill(queue, count, class_name="draft", organisation="south"):
    for number in range(count):
        name = f"{class_name}-{organisation}-{number}"
        queue.push(QueuedRequest(name, organisation, class_name, 0.0, 1e9), 0.0)


def test_outstanding_requests_are_limited_and_released(admission, queue):
    assert admission.admit("small", "draft", queue, 0.0).is_ok()
    assert admission.admit("small", "draft", queue, 0.0).is_ok()
    assert admission.admit("small", "draft", queue, 0.0).err().kind is ErrorKind.ORGANISATION_LIMIT
    admission.finished("small", "draft", 1.0)
    assert admission.admit("small", "draft", queue, 1.0).is_ok()


@given(st.lists(st.floats(0.0, 0.4), max_size=80))
def test_the_rate_of_an_organisation_is_limited(gaps):
    controller = AdmissionController()
    controller.configure(CLASSES, ORGANISATIONS, PolicyRecord(), 0.0)
    queue = queue_policies.get("fifo")(CLASSES, {})
    now, admitted = 0.0, 0
    for gap in gaps:
        now += gap
        answer = controller.admit("north", "draft", queue, now)
        admitted += answer.is_ok()
        if answer.is_err():
            error = answer.err()
            assert error.kind is ErrorKind.ORGANISATION_LIMIT
            after = now + error.retry_after_s + 1e-9
            assert controller._account("north").bucket.wait_s(after) == 0.0
            now = after
    assert admitted <= 5.0 * now + 5.0 + 1e-6


def serve(admission, queue, starts_per_s, seconds):
    """Start queued requests at a constant rate and return the time afterwards."""
    now = 0.0
    for _ in range(int(starts_per_s * seconds)):
        now += 1.0 / starts_per_s
        one = queue.pop(now, "draft")
        admission.started("draft", now - one.enqueued_at, now)
    return now


@pytest.mark.parametrize(("waiting", "admitted"), [(30, True), (60, False)])
def test_a_request_is_refused_if_it_would_wait_beyond_its_patience(
    admission, queue, waiting, admitted
):
    """A class receives more requests than it can serve.

    Without early rejection, requests would wait until their patience ends and only then fail.
    """
    fill(queue, 100 + waiting)
    assert admission.admit("south", "draft", queue, 0.0).is_ok()
    now = serve(admission, queue, starts_per_s=10.0, seconds=10.0)
    answer = admission.admit("south", "draft", queue, now)
    assert answer.is_ok() is admitted
    if not admitted:
        assert answer.err().kind is ErrorKind.OVERLOADED
        # 60 wait, 10 start per second, 4 s are allowed: admitted again after 2 s.
        assert answer.err().retry_after_s == pytest.approx(2.0, rel=0.2)


def test_organisation_is_admitted_despite_the_flood_of_another(admission, queue):
    """One organisation sends many times its share.

    Fair queueing serves the others immediately, so they must not be rejected because of the flood.
    """
    fill(queue, 1000, organisation="south")
    assert admission.admit("south", "draft", queue, 0.0).is_ok()
    now = serve(admission, queue, starts_per_s=10.0, seconds=10.0)
    assert admission.admit("south", "draft", queue, now).is_err()
    assert admission.admit("small", "draft", queue, now).is_ok()


def test_a_protected_class_and_an_idle_class_are_not_refused_by_estimate(admission, queue):
    fill(queue, 1000, "hold")
    fill(queue, 1000, "draft")
    serve(admission, queue, starts_per_s=10.0, seconds=10.0)
    assert admission.admit("south", "hold", queue, 10.0).is_ok()
    empty = queue_policies.get("class_share")(CLASSES, {})
    assert admission.admit("south", "draft", empty, 500.0).is_ok()
    fill(empty, 3, "draft", "small")
    assert admission.admit("south", "draft", empty, 500.1).is_ok()


def test_without_shedding_nothing_is_refused_by_estimate(admission, queue):
    admission.configure(CLASSES, ORGANISATIONS, PolicyRecord(shedding=False), 0.0)
    fill(queue, 1000)
    serve(admission, queue, starts_per_s=10.0, seconds=10.0)
    assert admission.admit("south", "draft", queue, 10.0).is_ok()


def test_a_withdrawn_organisation_is_forgotten_once_its_requests_ended(admission, queue):
    assert admission.admit("small", "draft", queue, 0.0).is_ok()
    admission.configure(CLASSES, {}, PolicyRecord(), 1.0)
    admission.finished("small", "draft", 2.0)
    assert admission._accounts == {}


def test_only_the_flooding_organisation_is_rejected(admission, queue):
    """One organisation sends far more than its share, in a higher class than the others.

    Without the check, requests of the others would wait for its places and finally be rejected.
    """
    for organisation, tokens in (("south", 5000.0), ("north", 100.0), ("small", 100.0)):
        admission.charge(organisation, tokens, 0.0)
    assert admission.admit("south", "draft", queue, 0.0).is_ok(), "nobody waits"
    fill(queue, 1, organisation="north")
    refusal = admission.admit("south", "draft", queue, 0.0).err()
    assert refusal.kind is ErrorKind.OVERLOADED
    assert admission.admit("south", "hold", queue, 0.0).is_ok(), "protected"
    assert admission.admit("north", "draft", queue, 0.0).is_ok()


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0.1, 1e6), min_size=1),
    st.dictionaries(st.sampled_from("abcdef"), st.floats(0.1, 10.0)),
)
def test_not_every_organisation_can_be_over_its_share(uses, weights):
    use = OrganisationUse()
    for name, tokens in uses.items():
        use.charge(name, tokens, 0.0)
    assert not all(use.is_over(name, weights, 0.0) for name in list(uses))


def test_old_usage_has_decayed():
    use = OrganisationUse()
    use.charge("south", 5000.0, 0.0)
    use.charge("north", 100.0, 0.0)
    assert use.is_over("south", {}, 0.0)
    use.charge("north", 100.0, 60.0)
    assert not use.is_over("south", {}, 60.0)
