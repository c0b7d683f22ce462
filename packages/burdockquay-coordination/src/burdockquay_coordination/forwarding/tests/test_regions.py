"""Homes of requests, and placement over several regions."""

import random
from collections import Counter

import pytest

from burdockquay_coordination import Homes, RegionDelays, RegionMap
from burdockquay_coordination.forwarding import (
    ConfigDirectory,
    Demand,
    EngineModel,
    FirstTokenModel,
    ForwardConfig,
    ForwardRoute,
    Prompt,
    PromptQueue,
    RouteKind,
    ServiceShare,
    ServiceTargets,
    WaitingPrompt,
    choose_backup,
    choose_upstream,
    group_relays,
    place_prompt,
)

REGIONS = {"a": "north", "b": "north", "c": "south", "d": "south", "e": "east", "f": "east"}
WAY_S = 0.06


def make_model(own_domain="a", regions=REGIONS):
    """Return a model whose other regions are one round trip of ``WAY_S`` away."""
    region_map = RegionMap(regions, own_domain)
    delays = RegionDelays(region_map)
    for region in region_map.names - {region_map.own_region}:
        delays.record_connect(region, WAY_S, 0.0)
    model = EngineModel(delays=delays)
    model.first_token = FirstTokenModel(0.02, 1 / 50_000)
    return model


def make_prompt(number=0, tokens=4000):
    return Prompt(((f"shared-{number}", tokens), (f"own-{number}", 500)), 40)


def make_homes(*names):
    return Homes(frozenset(names), RegionMap(REGIONS, "a"))


def place(upstreams, model, number=0, tried=(), **fields):
    return place_prompt(
        upstreams, Demand(make_prompt(number), 0.5, 5.0, **fields), model, tried, 0.0
    )


def make_fleet(make_upstream, hot_tokens=0, count=2):
    """Return upstreams of two regions, those in the north with some tokens to read."""
    upstreams = [make_upstream(f"{domain}{n}", domain) for domain in "abcd" for n in range(count)]
    for item in upstreams:
        if hot_tokens and item.entry.failure_domain in "ab":
            item.pending.add("hot", hot_tokens, 0.0)
    return upstreams


@pytest.fixture
def upstreams(make_upstream):
    return make_fleet(make_upstream)


def domains_of(upstreams):
    return {item.entry.failure_domain for item in upstreams}


def test_retry_stays_inside_although_all_others_inside_fail(upstreams):
    """Guards against a healthy upstream outside that is preferred to suspended ones inside."""
    inside = [item for item in upstreams if item.entry.failure_domain in "cd"]
    for item in inside:
        item.health.record_unreachable(0.0)
    homes = make_homes("south")
    tried = {inside[0].id, inside[1].id, inside[2].id}
    assert place(upstreams, make_model(), tried=tried, homes=homes).upstream is inside[3]
    assert place(upstreams, make_model(), tried={*tried, inside[3].id}, homes=homes) is None


def test_parts_are_not_fetched_from_outside(upstreams):
    """Guards against a fetch source outside the homes."""
    holder = upstreams[-1]
    for part, tokens in make_prompt().parts[:1]:
        holder.memory.record_read(part, tokens)
    holder.pending.add("other", 100_000, 0.0)
    model = make_model()
    model.fetch.offset = model.fetch.slope = 0.0
    assert place(upstreams, model).source is holder
    assert place(upstreams, model, homes=make_homes("north")).source is None


def test_upstream_in_no_region_is_outside_of_all_homes(make_upstream):
    """Guards against a failure domain that the map lacks and that counts as allowed."""
    assert place([make_upstream("u", "z")], make_model(), homes=make_homes("north")) is None
    assert place([make_upstream("u", "z")], make_model()) is not None


def test_homes_of_route_and_organisation_both_apply():
    """Guards against the homes of one that widen those of the other, and of a lost route."""
    shares = (ServiceShare("s", 1.0),)

    def make_route(prefix, *homes):
        allowed = frozenset(homes) if homes else None
        return ForwardRoute("r", "h", prefix, RouteKind.ONCE, shares, 1, 1, 0, 1, homes=allowed)

    admitted = make_route("/x/", "north", "south")
    regions = RegionMap(REGIONS, "a")
    wide = ConfigDirectory(ForwardConfig(1, (admitted, make_route("/"))), regions)
    assert wide.homes("h", "/x/y", None, admitted).regions == {"north", "south"}
    narrow = ConfigDirectory(
        ForwardConfig(2, (make_route("/"), make_route("/x/", "south", "lost"))), regions
    )
    assert narrow.homes("h", "/x/y", None, admitted).regions == {"south", "lost"}
    gone = ConfigDirectory(ForwardConfig(3, (make_route("/", "south"),)), regions)
    assert gone.homes("h", "/x/y", None, admitted).regions == {"south"}


def test_way_to_another_region_counts_for_the_target_and_for_being_late(upstreams):
    """Guards against requests sent across that cannot be in time."""
    model = make_model()
    south = [item for item in upstreams if item.entry.failure_domain in "cd"]
    fresh, reused = place(south, model), place(south, model, round_trips=1)
    assert fresh.way_s == pytest.approx(2 * WAY_S)
    assert fresh.first_token_s - reused.first_token_s == pytest.approx(WAY_S)

    def is_late(found):
        queue = PromptQueue()
        demand = Demand(make_prompt(), 0.15, 5.0)
        queue.add(WaitingPrompt(demand, 1, 0.15, 1.0, ()))
        return queue.take_start(found, model, ServiceTargets(0.15, 0), 0.0).late

    assert is_late(south) and not is_late(upstreams)


@pytest.mark.parametrize("own_domain", ["a", "c"])
def test_cool_region_sends_nothing_across(upstreams, own_domain):
    """Guards against crossings at random, which fill the link between the regions."""
    model = make_model(own_domain)
    own = {"a": set("ab"), "c": set("cd")}[own_domain]
    placed = [place(upstreams, model, number).upstream for number in range(60)]
    assert domains_of(placed) <= own


def test_hot_region_spills_over_in_degrees(make_upstream):
    """Guards against a hot region that keeps all its work, or sends all of it across at once."""

    def crossing(tokens):
        upstreams, model, crossed = make_fleet(make_upstream, tokens), make_model(), 0
        for number in range(40):
            upstream = place(upstreams, model, number).upstream
            upstream.pending.add(f"r{number}", 4500, 0.0)
            crossed += upstream.entry.failure_domain in "cd"
        return crossed

    crossed = [crossing(tokens) for tokens in (0, 2000, 6000, 12_000, 24_000)]
    assert crossed == sorted(crossed) and len(set(crossed)) > 2
    assert crossed[0] < 20 < crossed[-1]


def test_processes_of_both_regions_do_not_choose_the_same_idle_upstream(make_upstream):
    """Guards against the stampede of all processes with the same view on one idle upstream."""
    upstreams = make_fleet(make_upstream, 40_000, 4)
    models = [make_model(domain) for domain in "abcd"]
    chosen = Counter(
        place(upstreams, model, number).upstream.id for number in range(40) for model in models
    )
    assert len(chosen) == 8 and max(chosen.values()) <= 0.3 * sum(chosen.values())


def test_part_is_read_once_in_each_region_that_needs_it(upstreams):
    """Guards against a part that is read at two upstreams of the own region."""
    model = make_model()
    first = place(upstreams, model).upstream
    other = next(item for item in upstreams if item is not first and item.id[0] in "ab")
    other.memory.record_read("shared-0", 4000)
    model.fetch.offset = 10.0
    # Waiting there takes longer than reading the part, but not than what a second read costs.
    other.pending.add("hot", 6500, 0.0)
    assert place(upstreams, model).upstream is other
    other.memory = type(other.memory)()
    far = next(item for item in upstreams if item.id[0] == "c")
    far.memory.record_read("shared-0", 4000)
    assert place(upstreams, model).upstream is first


def test_own_domain_is_used_among_nearly_equal_placements(make_upstream):
    """Guards against bytes that cross between failure domains for a gain of a few milliseconds."""
    own, other = make_upstream("a0", "a"), make_upstream("b0", "b")
    for tokens, expected in ((500, own), (5000, other)):
        own.pending.add("hot", tokens, 0.0)
        for item in (own, other):
            item.memory.record_read("shared-0", 4000)
        assert place([other, own], make_model()).upstream is expected


def test_region_without_upstreams_uses_those_of_the_nearest_one(upstreams):
    """Guards against one upstream that gets all prompts of a part from a region that failed."""
    south = [item for item in upstreams if item.entry.failure_domain in "cd"]
    model = make_model()
    busy = place(south, model).upstream
    busy.pending.add("other", 50_000, 0.0)
    assert place(south, model).upstream is not busy


def test_plain_request_prefers_own_domain_then_own_region(make_upstream):
    """Guards against plain requests that cross while their own region can take them."""
    far, near, own = (make_upstream(domain, domain) for domain in "cba")
    delays, rng = make_model().delays, random.Random(1)

    def choose():
        return choose_upstream([far, near, own], "a", (), 0.0, rng, delays=delays)

    assert choose() is own
    own.outstanding = 1
    assert choose() is near
    near.outstanding = 2
    assert choose() is own
    own.outstanding = near.outstanding = 6
    assert choose() is far


def test_backup_is_in_another_domain_of_the_same_region(make_upstream):
    """Guards against copies that cross while the region has another failure domain."""
    serving, same, other, far = (make_upstream(name, name[0]) for name in ("a0", "a1", "b0", "c0"))
    other.outstanding = 3
    regions = RegionMap(REGIONS, "a")

    def choose(*found):
        return choose_backup(found, serving, 0.0, random.Random(1), regions)

    assert choose(same, other, far) is other
    assert choose(same, far) is far


def test_measured_way_is_the_smallest_recent_value():
    """Guards against a way that a busy process or an old route makes too long for ever."""
    delays = RegionDelays(RegionMap(REGIONS, "a"))
    changes = [delays.record_connect("south", s, 0.0) for s in (0.5, WAY_S, 0.4)]
    assert [change is not None for change in changes] == [True, True, False]
    assert delays.way_s("south") == WAY_S
    for now in (40.0, 75.0):
        delays.record_connect("south", 0.2, now)
    assert delays.way_s("south") == 0.2
    delays.expire(300.0)
    assert delays.way_s("south") < 0.1


def test_domain_whose_processes_are_gone_is_not_the_gateway():
    """Guards against a region that is cut off because the domain of its relay failed."""
    regions = RegionMap(REGIONS | {"g": "south"}, "c")

    def gateways(domains):
        known = {name: name for name in domains}
        return {me for me in domains if group_relays(me, me, known, regions).is_gateway}

    (failed,) = gateways({"c", "d", "g"})
    assert len(gateways({"c", "d", "g"} - {failed})) == 1
