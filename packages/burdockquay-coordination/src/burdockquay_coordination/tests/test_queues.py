import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import QueuedRequest, queue_policies
from burdockquay_coordination._fairness import QUANTUM_TOKENS, START_TOKENS
from burdockquay_coordination._shares import STARTS_PER_AGED_TURN_PROTECTED
from burdockquay_state import ClassRecord

CLASSES = {
    "hold": ClassRecord("hold", 100, 0.1, 0.1, 8.0, share=0.2, protected=True, preemptible=False),
    "question": ClassRecord("question", 10, 1.0, 0.1, 20.0, share=0.3),
    "summary": ClassRecord("summary", 1, 1.0, 0.1, 20.0, share=0.1),
    "batch": ClassRecord("batch", 0, 1.0, 0.1, 20.0),
}
FAR = 1e9

names = st.sampled_from(sorted(CLASSES))
organisations = st.sampled_from(["north", "south", "west"])


@pytest.fixture(params=queue_policies.names())
def queue(request):
    return queue_policies.get(request.param)(CLASSES, {"north": 2.0})


def waiting(number, class_name="question", organisation="north", at=0.0, deadline=FAR):
    return QueuedRequest(f"r{number}", organisation, class_name, at, deadline)


def drain(queue, now=0.0):
    popped = []
    while (one := queue.pop(now)) is not None:
        popped.append(one)
    return popped


def test_empty_queue_returns_none(queue):
    assert queue.pop(0.0) is None
    assert queue.pop(0.0, "question") is None
    assert queue.peek(0.0) is None
    assert queue.remove("r1", 0.0) is None
    assert queue.expire(0.0) == []
    assert queue.demand(0.0) == []
    assert queue.next_expiry() is None


def test_a_request_that_waits_already_is_refused(queue):
    queue.push(waiting(1), 0.0)
    with pytest.raises(ValueError, match="'r1'"):
        queue.push(waiting(1), 1.0)


operations = st.lists(
    st.one_of(
        st.tuples(st.just("push"), names, organisations, st.floats(0.5, 40.0)),
        st.tuples(st.just("pop"), st.none() | names),
        st.tuples(st.just("remove"), st.integers(0, 30)),
        st.tuples(st.just("expire")),
        st.tuples(st.just("charge"), names, organisations, st.integers(1, 3000)),
        st.tuples(st.just("classes"), st.sets(names)),
    ),
    max_size=60,
)


@pytest.mark.parametrize("policy", queue_policies.names())
@given(steps=operations)
def test_every_request_is_removed_exactly_once(policy, steps):
    queue = queue_policies.get(policy)(CLASSES, {})
    inside = {}
    for now, step in enumerate(steps):
        match step:
            case ("push", class_name, organisation, patience):
                one = waiting(now, class_name, organisation, float(now), now + patience)
                queue.push(one, float(now))
                inside[one.request] = one
            case ("pop", class_name):
                expected = queue.peek(float(now)) if class_name is None else None
                one = queue.pop(float(now), class_name)
                if class_name is None:
                    assert one == expected
                    assert (one is None) == (not inside)
                elif one is None:
                    assert class_name not in {other.class_name for other in inside.values()}
                else:
                    assert one.class_name == class_name
                if one is not None:
                    del inside[one.request]
            case ("remove", number):
                assert queue.remove(f"r{number}", float(now)) == inside.pop(f"r{number}", None)
            case ("expire",):
                for one in queue.expire(float(now)):
                    del inside[one.request]
                assert all(one.deadline > now for one in inside.values())
            case ("charge", class_name, organisation, tokens):
                queue.charge(class_name, organisation, tokens, float(now))
            case ("classes", kept):
                queue.set_classes({name: CLASSES[name] for name in kept}, {}, float(now))
        assert len(queue) == len(inside)
        demand = {one.class_name: one for one in queue.demand(float(now))}
        for name in CLASSES:
            members = [one for one in inside.values() if one.class_name == name]
            assert queue.waiting(name) == len(members)
            assert (name in demand) == bool(members)
            if members:
                oldest = min(one.enqueued_at for one in members)
                assert demand[name].oldest_wait_s == pytest.approx(now - oldest)
    assert {one.request for one in drain(queue)} == set(inside)


def test_requests_of_a_withdrawn_class_stay_queued(queue):
    """An operator withdraws a class while requests of it are queued.

    If they were dropped with the record, their callers would never get an answer.
    """
    queue.push(waiting(1, "summary", at=0.0), 0.0)
    queue.set_classes({"hold": CLASSES["hold"]}, {}, 1.0)
    assert [one.class_name for one in queue.demand(1.0)] == ["summary"]
    assert queue.expire(19.0) == []
    assert queue.pop(19.0).request == "r1"


def test_patience_and_deadline_both_expire(queue):
    queue.push(waiting(1, at=0.0, deadline=5.0), 0.0)
    queue.push(waiting(2, at=0.0), 0.0)
    queue.push(waiting(3, at=1.0), 1.0)
    assert queue.next_expiry() == 5.0
    assert [one.request for one in queue.expire(5.0)] == ["r1"]
    assert [one.request for one in queue.expire(20.0)] == ["r2"]
    assert [one.request for one in drain(queue)] == ["r3"]


def test_request_with_a_begun_answer_does_not_expire_by_patience(queue):
    """An engine crashes in the middle of an answer and the request is queued for another engine.

    Its patience counts from its arrival and has passed. If it expired because of that, the answer
    that the caller has partly received would be truncated.
    """
    queue.push(waiting(1, at=0.0), 0.0)
    begun = QueuedRequest("r2", "north", "question", -30.0, 60.0, begun=True)
    queue.push(begun, 0.0)
    assert queue.expire(10.0) == []
    assert queue.pop(10.0, "question") == begun
    queue.push(begun, 10.0)
    assert queue.expire(60.0)[-1] == begun


def test_first_in_first_out_ignores_classes():
    queue = queue_policies.get("fifo")(CLASSES, {})
    order = ["batch", "hold", "summary", "hold", "question"]
    for number, class_name in enumerate(order):
        queue.push(waiting(number, class_name, at=float(number)), float(number))
    assert [one.class_name for one in drain(queue, 5.0)] == order


@given(
    arrivals=st.lists(st.tuples(names, organisations), min_size=1, max_size=200),
    tokens=st.lists(st.integers(1, 200), min_size=1, max_size=20),
)
def test_every_class_is_served_within_the_stated_bound(arrivals, tokens):
    queue = queue_policies.get("class_share")(CLASSES, {})
    number = 0
    for class_name, organisation in arrivals:
        number += 1
        queue.push(waiting(number, class_name, organisation), 0.0)
    now = 20.0  # all queued requests are aged
    passed_by = dict.fromkeys(CLASSES, 0)
    for start in range(150):
        # Protected requests keep arriving, so strict priority alone would serve nothing else.
        number += 1
        queue.push(waiting(number, "hold", at=0.0), now)
        one = queue.pop(now)
        queue.charge(one.class_name, one.organisation, tokens[start % len(tokens)], now)
        for name in CLASSES:
            waits = name != one.class_name and queue.waiting(name)
            passed_by[name] = passed_by[name] + 1 if waits else 0
        bound = STARTS_PER_AGED_TURN_PROTECTED * len(CLASSES) + len(CLASSES)
        assert max(passed_by.values()) <= bound


@given(st.lists(st.integers(1, 500), min_size=1, max_size=10), st.integers(0, 1000))
def test_each_class_gets_its_share_of_tokens_under_overload(lengths, seed):
    queue = queue_policies.get("class_share")(CLASSES, {})
    rng = random.Random(seed)
    used = dict.fromkeys(CLASSES, 0)
    number = 0
    for _ in range(300):
        for class_name in ("question", "summary", "batch"):
            while queue.waiting(class_name) < 3:
                number += 1
                queue.push(waiting(number, class_name), 0.0)
        one = queue.pop(0.0)
        tokens = rng.choice(lengths)
        used[one.class_name] += tokens
        queue.charge(one.class_name, one.organisation, tokens, 0.0)
    total = sum(used.values())
    slack = 2 * max(lengths) / total
    assert used["summary"] / total >= CLASSES["summary"].share - slack
    assert used["question"] / total >= CLASSES["question"].share - slack


@given(
    st.dictionaries(organisations, st.sampled_from([0.5, 1.0, 3.0]), min_size=2),
    st.dictionaries(organisations, st.integers(1, 400)),
    st.integers(1, 12),
)
def test_organisations_divide_the_tokens_by_weight_not_by_requests(weights, lengths, at_once):
    queue = queue_policies.get("class_share")(CLASSES, weights)
    used = dict.fromkeys(weights, 0)
    running = []
    for number, organisation in enumerate(weights):
        queue.push(waiting(number, organisation=organisation), 0.0)
    for number in range(len(weights), 300):
        running.append(queue.pop(0.0).organisation)
        queue.push(waiting(number, organisation=running[-1]), 0.0)
        if len(running) == at_once:
            done = running.pop(0)
            used[done] += lengths.get(done, 50) + START_TOKENS
            queue.charge("question", done, lengths.get(done, 50), 0.0)
    longest = max([50, *lengths.values()])
    per_weight = [used[name] / weights[name] for name in weights]
    assert max(per_weight) - min(per_weight) <= (QUANTUM_TOKENS + longest * (at_once + 1)) / min(
        weights.values()
    )
