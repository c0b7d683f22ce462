import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import RetryRule, SharedRetryBudget, rule_of, should_retry
from burdockquay_protocol import ANSWERS, ErrorKind, RunState


@pytest.mark.parametrize("kind", ErrorKind)
def test_a_request_that_may_have_run_is_repeated_only_if_idempotent(kind):
    """The confirmation of a request is lost, and the entry does not know whether it ran.

    Another attempt could execute the request twice.
    """
    decision = should_retry(kind, idempotent=False, attempt=1, can_resume=True)
    if decision.retry:
        assert ANSWERS[kind].run is RunState.NOT_RUN
    if rule_of(kind) in (RetryRule.FREE, RetryRule.NOT_RUN):
        assert ANSWERS[kind].run is RunState.NOT_RUN


@pytest.mark.parametrize("kind", ErrorKind)
@pytest.mark.parametrize("attempt", [1, 50])
def test_only_free_rejections_need_no_budget_and_have_no_attempt_limit(kind, attempt):
    decision = should_retry(kind, idempotent=True, attempt=attempt, can_resume=True)
    free = kind in (ErrorKind.NO_PLACE, ErrorKind.LEAVING)
    assert (decision.retry and not decision.needs_budget) == free
    assert decision.retry == (free or (attempt == 1 and rule_of(kind) is not RetryRule.NEVER))


@pytest.mark.parametrize("kind", ErrorKind)
def test_an_answer_that_cannot_be_continued_is_not_started_again(kind):
    assert not should_retry(kind, idempotent=True, attempt=1, can_resume=False).retry


@given(st.lists(st.tuples(st.floats(0.0, 1.0), st.booleans()), max_size=200))
def test_retries_stay_a_share_of_the_new_requests(events):
    budget = SharedRetryBudget(ratio=0.1, window_s=10.0, now=0.0)
    budget.set_burst(5.0, 0.0)
    now = fresh = 0
    retries = []
    for gap, is_fresh in events:
        now += gap
        if is_fresh:
            fresh += 1
            budget.record_request(now)
        elif budget.try_retry(now):
            retries.append(now)
        recent = sum(at > now - 10.0 for at in retries)
        assert recent <= 5.0 + 0.1 * fresh + 1e-6
