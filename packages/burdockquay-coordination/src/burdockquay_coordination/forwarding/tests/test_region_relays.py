"""Exchange of loads and outcomes between regions through one relay of each."""

import itertools

import pytest

from burdockquay_coordination import RegionMap
from burdockquay_coordination.forwarding import LoadRelay, LoadShare, group_relays

DOMAINS = {"a": "north", "b": "north", "c": "south", "d": "south", "e": "south", "f": "west"}


class Fleet:
    """The relays of the failure domains; each has one other process."""

    def __init__(self, regions):
        self.groups = {
            me: group_relays(
                me, me, {name: name for name in DOMAINS if name != me}, RegionMap(regions, me)
            )
            for me in DOMAINS
        }
        self.relays = {name: LoadRelay() for name in DOMAINS}
        self.views = {name: {} for name in DOMAINS}
        self.across = set()
        self.parts = {name: [] for name in DOMAINS}

    def tick(self, now, loads):
        for name, relay in self.relays.items():
            groups = self.groups[name]
            far = [ranked[0] for ranked in groups.far.values()]
            across = [ranked[0] for ranked in groups.across.values()] if groups.is_gateway else []
            relay.receive_update(f"process {name}", loads.get(name, {}), now, is_near=True)
            relay.set_recipients([f"process {name}"], far, across)
        sent = {name: relay.compose_all(now) for name, relay in self.relays.items()}
        for source, target in itertools.permutations(DOMAINS, 2):
            if target in sent[source]:
                self.deliver(source, target, sent[source][target], now)
        for name in DOMAINS:
            update = sent[name].get(f"process {name}")
            if update is not None:
                self.views[name] = ({} if update.is_whole else self.views[name]) | update.shares
                self.parts[name] += [p for parts in update.parts.values() for p in parts]

    def deliver(self, source, target, update, now):
        is_across = DOMAINS[source] != DOMAINS[target]
        if is_across:
            self.across.add((source, target))
        relay = self.relays[target]
        name = f"region {DOMAINS[source]}" if is_across else source
        relay.receive_update(name, update.shares, now, False, update.is_whole, is_across)
        for upstream, parts in update.parts.items():
            relay.receive_parts(name, upstream, parts)


@pytest.fixture
def fleet():
    return Fleet(DOMAINS)


def test_every_domain_has_the_loads_of_all_others_through_one_relay_of_each_region(fleet):
    """Guards against loads that are lost or counted twice on the way between regions."""
    loads = {name: {"u": LoadShare(10**n, 1)} for n, name in enumerate(DOMAINS)}
    for tick in range(8):
        fleet.tick(tick * 0.1, loads)
    everything = sum(item["u"].tokens for item in loads.values())
    for name, view in fleet.views.items():
        assert view["u"] == LoadShare(everything - loads[name]["u"].tokens, len(DOMAINS) - 1)
    assert len(fleet.across) == 3 * 2, "one pair for each two regions, in both directions"
    for tick in range(8, 16):
        fleet.tick(tick * 0.1, {})
    assert all(share.tokens == 0 for view in fleet.views.values() for share in view.values())


def test_parts_reach_every_domain_once(fleet):
    """Guards against prompt parts that regions send each other in a circle."""
    fleet.tick(0.0, {})
    fleet.relays["d"].receive_parts("process d", "u", {"part": 100})
    for tick in range(1, 9):
        fleet.tick(tick * 0.1, {})
    assert fleet.parts == {name: [] if name == "d" else ["part"] for name in DOMAINS}


def test_domain_whose_processes_are_gone_is_not_the_gateway():
    """Guards against a region that is cut off because the domain of its relay failed."""
    regions = RegionMap(DOMAINS, "c")

    def gateways(*domains):
        return [
            me
            for me in domains
            if group_relays(me, me, {n: n for n in domains if n != me}, regions).is_gateway
        ]

    (failed,) = gateways("c", "d", "e")
    assert len(gateways(*{"c", "d", "e"} - {failed})) == 1
