import random
from collections import Counter

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import (
    Candidate,
    PlacementRequest,
    PrefixIndex,
    choose_subset,
    placement_policies,
)
from burdockquay_state import VmEntry

REQUEST = PlacementRequest("draft", False, "praha-hall")


def candidate(number, **fields):
    values = {
        "vm": f"vm-{number}",
        "failure_domain": "praha-hall",
        "places": 8,
        "outstanding": 0,
        "reported": 0,
        "report_age_s": 0.0,
        "outstanding_at_report": 0,
    }
    return Candidate(**{**values, **fields})


@pytest.fixture(params=placement_policies.names())
def policy(request):
    return placement_policies.get(request.param)()


def choose(policy, candidates, request=REQUEST, seed=1):
    return policy.choose(candidates, request, 0.0, random.Random(seed))


def test_without_candidates_there_is_no_choice(policy):
    assert choose(policy, []) is None


def test_the_same_seed_gives_the_same_choices(policy):
    twin = type(policy)()
    candidates = [candidate(number, outstanding=number % 3) for number in range(9)]
    choices = [choose(policy, candidates, seed=seed).vm for seed in range(20)]
    assert choices == [choose(twin, candidates, seed=seed).vm for seed in range(20)]


@given(
    weights=st.lists(st.sampled_from([0.0, 0.2, 1.0]), min_size=1, max_size=6),
    avoided=st.sets(st.integers(0, 5)),
    seed=st.integers(0, 99),
    name=st.sampled_from(placement_policies.names()),
)
def test_bad_candidates_are_taken_only_if_nothing_else_is_left(weights, avoided, seed, name):
    candidates = [candidate(n, weight=weight) for n, weight in enumerate(weights)]
    avoid = frozenset(f"vm-{number}" for number in avoided)
    request = attrs.evolve(REQUEST, avoid=avoid)
    chosen = choose(placement_policies.get(name)(), candidates, request, seed)
    assert chosen in candidates
    usable = [one for one in candidates if one.weight > 0]
    if usable:
        assert chosen.weight > 0
    if any(one.vm not in avoid for one in usable or candidates):
        assert chosen.vm not in avoid


def shares(candidates, request=REQUEST, turns=1000):
    policy = placement_policies.get("scored")()
    rng = random.Random(7)
    counts = Counter(policy.choose(candidates, request, 0.0, rng).vm for _ in range(turns))
    return {one.vm: counts[one.vm] / turns for one in candidates}


@pytest.mark.parametrize(
    "better",
    [
        {"outstanding": 0},
        {"prefix_overlap": 8, "outstanding": 1},
        {"failure_domain": "praha-hall", "outstanding": 1},
        {"step_s": 0.01, "outstanding": 1},
    ],
)
def test_scored_prefers_upstream_that_is_better_in_one_property(better):
    request = attrs.evolve(REQUEST, prefix_blocks=8)
    worse = {"outstanding": 1, "failure_domain": "kolin-hall", "step_s": 0.02}
    candidates = [candidate(0, **{**worse, **better}), candidate(1, **worse)]
    assert shares(candidates, request)["vm-0"] == 1.0


def test_scored_counts_requests_sent_since_the_report():
    """An entry sends several requests before the next load report arrives.

    If only the report counted, all of them would be sent to one upstream.
    """
    candidates = [candidate(0, reported=0, outstanding=5), candidate(1, reported=2)]
    assert shares(candidates)["vm-1"] == 1.0


def test_an_old_report_no_longer_decides():
    fresh = [candidate(0, reported=0), candidate(1, reported=4, outstanding=0)]
    old = [attrs.evolve(one, report_age_s=60.0) for one in fresh]
    old[1] = attrs.evolve(old[1], failure_domain="praha-hall")
    old[0] = attrs.evolve(old[0], failure_domain="kolin-hall")
    assert shares(fresh)["vm-0"] == 1.0
    assert shares(old)["vm-1"] == 1.0


def member(number, domain):
    return VmEntry(f"vm-{number}", "slot", "127.0.0.1", 1, 2, domain)


members = st.lists(
    st.tuples(st.integers(0, 60), st.sampled_from("abc")), unique_by=lambda pair: pair[0]
).map(lambda pairs: [member(number, domain) for number, domain in pairs])


@given(members, st.integers(1, 20), st.sampled_from(["entry-1", "entry-2"]), st.randoms())
def test_a_subset_is_spread_and_stable(fleet, size, own, rng):
    chosen = choose_subset(own, fleet, size)
    shuffled = fleet[:]
    rng.shuffle(shuffled)
    assert choose_subset(own, shuffled, size) == chosen
    assert len(set(chosen)) == min(size, len(fleet))
    per_domain = Counter(one.failure_domain for one in chosen)
    left = Counter(one.failure_domain for one in fleet if one not in chosen)
    for domain in left:
        assert per_domain[domain] >= max(per_domain.values(), default=0) - 1
    for gone in fleet[:3]:
        without = choose_subset(own, [one for one in fleet if one != gone], size)
        assert len(set(chosen) - set(without) - {gone}) <= (gone in chosen) * 2
        if gone not in chosen:
            assert without == chosen


@given(st.text(max_size=2000), st.text(max_size=2000))
def test_overlap_is_the_common_prefix_in_blocks(first, second):
    index = PrefixIndex(blocks_per_vm=100)
    index.record_prompt("vm-1", index.blocks(first), 0.0)
    common = 0
    while first[common : common + 1] and first[common] == second[common : common + 1]:
        common += 1
    assert index.overlap("vm-1", index.blocks(second)) == common // 256
    index.forget("vm-1")
    assert index.overlap("vm-1", index.blocks(second)) == 0


def test_prefix_index_evicts_the_least_recently_used():
    index = PrefixIndex(blocks_per_vm=3)
    index.record_prompt("vm-1", [1, 2, 3], 0.0)
    index.record_prompt("vm-1", [1, 2], 1.0)
    index.record_prompt("vm-1", [9], 2.0)
    assert index.overlap("vm-1", [1, 2, 3]) == 2
