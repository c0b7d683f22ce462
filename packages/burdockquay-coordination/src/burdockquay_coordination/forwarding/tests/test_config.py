"""Look-ups in the configuration, its freshness, and the retry budget."""

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination import SharedRetryBudget
from burdockquay_coordination.forwarding import (
    CallerOrganisation,
    ConfigDirectory,
    ForwardConfig,
    ForwardRoute,
    FreshnessLease,
    RouteKind,
    ServiceShare,
    pick_service,
    request_priority,
    request_rank,
)


def make_route(prefix, host="shop.example", **fields):
    values = {
        "name": prefix,
        "host": host,
        "prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "shares": (ServiceShare("s", 1.0),),
        "timeout_s": 1.0,
        "target_s": 0.1,
        "priority": 0,
        "max_attempts": 2,
    }
    return ForwardRoute(**(values | fields))


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("shop.example", "/a/x", "/a/"),
        ("SHOP.example:8080", "/a/b/x", "/a/b/"),
        ("shop.example", "/a/bx", "/a/"),
        ("shop.example", "/a", None),
        ("shop.example", "/ab/x", None),
        ("shop.example", "/a%2Fb/x", None),
        ("other.example", "/a/x", None),
        ("", "/a/x", None),
    ],
)
def test_longest_prefix_that_begins_the_path_wins(host, path, prefix):
    routes = (make_route("/a/"), make_route("/a/b/"))
    found = ConfigDirectory(ForwardConfig(1, routes)).find_route(host, path)
    assert (found.prefix if found else None) == prefix


@given(st.lists(st.sampled_from(["a", "b", "ab"]), max_size=4), st.data())
def test_route_found_is_the_one_that_a_search_of_all_finds(parts, data):
    prefixes = ["/", "/a/", "/a/b/", "/ab/", "/a/b/a/"]
    chosen = data.draw(st.sets(st.sampled_from(prefixes)))
    path = "/" + "/".join(parts)
    expected = max((p for p in chosen if path.startswith(p)), key=len, default=None)
    directory = ConfigDirectory(ForwardConfig(1, tuple(map(make_route, chosen))))
    found = directory.find_route("shop.example", path)
    assert (found.prefix if found else None) == expected


def test_keys_name_their_organisation():
    organisations = (CallerOrganisation("one", frozenset({"k1", "k2"})),)
    directory = ConfigDirectory(ForwardConfig(1, (), organisations))
    assert directory.find_organisation("k2").name == "one"
    assert directory.find_organisation("") is None


def test_services_are_sampled_by_their_weights():
    shares = (ServiceShare("old", 90), ServiceShare("new", 10))
    rng = random.Random(1)
    sampled = [pick_service(make_route("/a/", shares=shares), rng) for _ in range(2000)]
    assert 0.07 < sampled.count("new") / 2000 < 0.13


def test_older_confirmation_does_not_shorten_the_lease():
    lease = FreshnessLease(4.0)
    lease.confirm(10.0)
    lease.confirm(8.0)
    assert lease.is_fresh(13.9)
    assert not lease.is_fresh(14.0)


@given(st.lists(st.tuples(st.floats(0, 2), st.booleans()), max_size=200))
def test_retries_of_a_window_never_exceed_the_budget(steps):
    """Requests and retries arrive in any order.

    In each window, retries stay within the share of the requests of that window plus the burst.
    """
    window = SharedRetryBudget(0.2, 10.0, 0.0)
    window.set_burst(2.0, 0.0)
    now = 0.0
    requests, retries = [], []
    for pause, is_request in steps:
        now += pause
        if is_request:
            window.record_request(now)
            requests.append(now)
        elif window.try_retry(now):
            retries.append(now)
            since = now - 10.0
            # Counts are kept in buckets, so a request may count for one bucket longer.
            counted = sum(1 for at in requests if at > since - 1.0)
            assert sum(1 for at in retries if at > since) <= 0.2 * counted + 2.0


def directory_of(route_priorities, organisation_priorities):
    routes = tuple(
        make_route(f"/{priority}/", priority=priority, by_prompt=True)
        for priority in route_priorities
    )
    organisations = tuple(
        CallerOrganisation(f"o{number}", frozenset({f"k{number}"}), priority)
        for number, priority in enumerate(organisation_priorities)
    )
    return ConfigDirectory(ForwardConfig(1, routes, organisations))


def test_route_priority_decides_between_requests_of_equal_organisation_priority():
    """All organisations have the same priority.

    If it took precedence over that of the routes, requests of an urgent route and of another one
    would have the same urgency except for their length. An engine that runs out of memory preempts
    the newest requests. These would be the urgent ones, 55 of them in one burst, and their callers
    would see their streams stop while less urgent ones continue.
    """
    levels = directory_of((0, 1), (1, 1)).describe_levels()
    assert max(levels["0/1"]) < min(levels["1/1"])


@given(
    st.lists(st.integers(0, 3), min_size=1, max_size=4, unique=True),
    st.lists(st.one_of(st.none(), st.integers(0, 3)), min_size=1, max_size=4),
    st.data(),
)
def test_routes_go_before_organisations_in_the_order_of_prompts(routes, organisations, data):
    directory = directory_of(sorted(routes), organisations)
    levels = []
    for _ in range(2):
        route = data.draw(st.sampled_from(directory.config.routes))
        organisation = data.draw(st.sampled_from(directory.config.organisations))
        priority = request_priority(route, organisation)
        level = directory.describe_levels()[f"{route.priority}/{priority}"]
        rank = request_rank(route, organisation)
        levels.append(((route.priority, priority), level[data.draw(st.booleans())], rank))
    (first, first_level, first_rank), (second, second_level, second_rank) = sorted(levels)
    assert first == second or first_level <= second_level
    assert first_rank <= second_rank


ORGANISATIONS = st.lists(st.none() | st.integers(0, 9), max_size=4)


def make_directory(priorities):
    organisations = [
        CallerOrganisation(f"o{number}", frozenset({f"key-{number}"}), priority)
        for number, priority in enumerate(priorities)
    ]
    routes = [
        make_route(f"/{priority}/", priority=priority, by_prompt=True) for priority in range(4)
    ]
    return ConfigDirectory(ForwardConfig(1, tuple(routes), tuple(organisations)))


@given(ORGANISATIONS, ORGANISATIONS)
def test_urgent_prompts_go_first_at_upstreams_whatever_version_each_process_has(here, there):
    """Guards against urgent streams that engines preempt for prompts of a process with another
    version."""
    first_levels = make_directory(here).describe_levels()
    second_levels = make_directory(there).describe_levels()
    for (first, levels), (second, others) in itertools.product(
        first_levels.items(), second_levels.items()
    ):
        if first[0] < second[0]:
            assert max(levels) < min(others)
        if first == second:
            assert levels == others
