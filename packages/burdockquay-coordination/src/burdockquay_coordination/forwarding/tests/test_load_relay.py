"""Exchange of upstream loads among many processes."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_coordination.forwarding import (
    LoadRelay,
    LoadShare,
    RelaySelector,
    group_relays,
    relay_interval_s,
)

TICK_S = 0.025


class Fleet:
    """Processes of some failure domains in simulated time; the first of each is its relay."""

    def __init__(self, domains, processes):
        self.names = [[f"{d}-{p}" for p in range(processes)] for d in range(domains)]
        self.relays = [LoadRelay() for _ in range(domains)]
        self.loads = {name: {} for names in self.names for name in names}
        self.views = {name: {} for names in self.names for name in names}
        self.now = 0.0
        self.messages = 0

    def tick(self):
        """Send the loads of all processes and deliver all updates."""
        self.now += TICK_S
        for names, relay in zip(self.names, self.relays, strict=True):
            for name in names:
                relay.receive_update(name, self.loads[name], self.now, is_near=True)
            others = [item[0] for item in self.names if item is not names]
            relay.set_recipients(names[1:], others)
        sent = [relay.compose_all(self.now) for relay in self.relays]
        for domain, update in enumerate(sent):
            self.messages += len(update) + len(self.names[domain]) - 1
            for name, item in update.items():
                self.deliver(f"domain {domain}", domain, name, item)

    def deliver(self, source, domain, name, update):
        there = int(name.partition("-")[0])
        if there != domain:
            self.relays[there].receive_update(
                source, update.shares, self.now, False, update.is_whole
            )
            return
        view = {} if update.is_whole else self.views[name]
        self.views[name] = {**view, **update.shares}

    def others(self, me, upstream):
        """Return the tokens that all processes but one have at an upstream."""
        shares = [self.loads[name].get(upstream) for name in self.loads if name != me]
        return sum(share.tokens for share in shares if share is not None)


def test_every_process_has_the_loads_of_all_others_after_some_ticks():
    """With loads as old as complete answers, many processes would choose the same upstream."""
    rng = random.Random(3)
    fleet = Fleet(4, 5)
    for _ in range(60):
        name = rng.choice(list(fleet.loads))
        upstream = rng.choice("uvw")
        fleet.loads[name] = {**fleet.loads[name], upstream: LoadShare(rng.randrange(5) * 100, 1)}
        fleet.tick()
    for _ in range(3):
        fleet.tick()
    for name, view in fleet.views.items():
        if name.endswith("-0"):
            continue
        for upstream in "uvw":
            known = view.get(upstream, LoadShare(0, 0)).tokens
            assert known == fleet.others(name, upstream), (name, upstream)


@pytest.mark.parametrize(("domains", "processes"), [(6, 11), (6, 50)])
def test_messages_grow_linearly_with_the_processes(domains, processes):
    fleet = Fleet(domains, processes)
    for tick in range(20):
        for name in fleet.loads:
            fleet.loads[name] = {"u": LoadShare(tick, 1)}
        fleet.tick()
    count = domains * processes
    assert fleet.messages / 20 <= 2 * count + domains * domains


def test_only_heartbeats_are_sent_while_nothing_changes():
    relay = LoadRelay()
    relay.receive_update("one", {"u": LoadShare(5, 1)}, 0.0, is_near=True)
    relay.set_recipients(["two"], [])
    assert relay.compose("two", 0.0).is_whole
    assert relay.compose("two", 0.1) is None
    heartbeat = relay.compose("two", 0.3)
    assert (heartbeat.is_whole, heartbeat.shares) == (False, {})


def test_loads_of_an_unresponsive_process_expire():
    """A process is cut off; its requests end with it, but its last loads would stay for ever."""
    relay = LoadRelay()
    relay.receive_update("silent", {"u": LoadShare(500, 3)}, 0.0, is_near=True)
    relay.set_recipients(["two"], [])
    relay.compose("two", 0.0)
    assert relay.compose("two", 3.0).shares == {}


def test_parts_are_sent_once_to_all_but_their_source():
    relay = LoadRelay()
    relay.set_recipients(["one", "two"], ["far"])
    relay.receive_update("one", {}, 0.0, is_near=True)
    relay.receive_update("domain b", {}, 0.0, is_near=False)
    relay.receive_parts("one", "u", {"aa": 100})
    relay.receive_parts("domain b", "u", {"bb": 200})
    received = relay.compose_all(0.0)
    assert {name: dict(update.parts) for name, update in received.items()} == {
        "one": {"u": {"bb": 200}},
        "two": {"u": {"aa": 100, "bb": 200}},
        "far": {"u": {"aa": 100}},
    }
    assert relay.compose("two", 5.0).parts == {}


def choose_repeatedly(watch, until, now=0.0, sending=()):
    """Choose every tenth of a second, with messages of some relays; return the last choice."""
    chosen = None
    while now < until - 1e-9:
        now += 0.1
        for name in sending:
            watch.record_relay_message(name, now)
        chosen = watch.choose(["a", "b"], now)
    return chosen


def test_unresponsive_relay_is_replaced_and_retried_later():
    """A relay freezes; its connections stay open, and no process receives loads of the others."""
    watch = RelaySelector()
    assert choose_repeatedly(watch, 1.0, sending=["a"]) == "a"
    assert choose_repeatedly(watch, 1.5, now=1.0) == "a"
    assert choose_repeatedly(watch, 2.0, now=1.5, sending=["b"]) == "b"
    assert choose_repeatedly(watch, 3.0, now=2.0, sending=["b"]) == "b"
    assert choose_repeatedly(watch, 4.0, now=3.0, sending=["a", "b"]) == "a"


def test_stalled_process_does_not_replace_its_relay():
    """A process gets no processor time for a second; messages of its relay are not read yet.

    If it replaced the relay, it would receive no loads for seconds, and those that it sends
    meanwhile would reach no other process.
    """
    watch = RelaySelector()
    assert choose_repeatedly(watch, 1.0, sending=["a"]) == "a"
    assert watch.choose(["a", "b"], 2.5) == "a"
    assert choose_repeatedly(watch, 3.0, now=2.5) == "a"
    assert choose_repeatedly(watch, 3.5, now=3.0) == "b"


def test_process_that_is_the_relay_never_replaces_itself():
    watch = RelaySelector()
    assert watch.choose(["me", "b"], 0.0, "me") == "me"
    assert watch.choose(["me", "b"], 9.0, "me") == "me"


def test_update_of_a_part_includes_the_load_of_its_upstream():
    """A process reports that an upstream read a part, while its requests there are unchanged.

    If the update named the upstream without a load, all other processes would consider it idle.
    """
    relay = LoadRelay()
    relay.receive_update("one", {"u": LoadShare(500, 2)}, 0.0, is_near=True)
    relay.set_recipients(["two"], [])
    relay.compose("two", 0.0)
    relay.receive_update("one", {"u": LoadShare(500, 2)}, 0.1, is_near=True)
    relay.receive_parts("one", "u", {"aa": 100})
    update = relay.compose("two", 0.1)
    assert (update.is_whole, update.shares) == (False, {"u": LoadShare(500, 2)})


def test_many_parts_are_sent_in_small_messages():
    """A process starts and receives thousands of prompt parts that upstreams hold.

    In one message to each process of its failure domain, they would fill the link of a small VM
    for a second: connections to upstreams would time out, and callers would disconnect before their
    answers arrive.
    """
    relay = LoadRelay()
    relay.receive_update("one", {}, now=1.0, is_near=True)
    relay.set_recipients(near=["one"], far=[])
    for upstream in ("u", "v"):
        relay.add_parts("one", upstream, {f"{upstream}{number}": 9 for number in range(450)})
    received = []
    for tick in range(20):
        update = relay.compose("one", now=1.0 + 0.04 * tick)
        if update is not None:
            received.append(sum(map(len, update.parts.values())))
    assert max(received) <= 100
    assert sum(received) == 900


@pytest.mark.parametrize("seed", range(5))
def test_sums_kept_between_updates_match_the_loads_of_all_sources(seed):
    """With a change missing in the kept sums, recipients would see a wrong load until the source
    ends."""
    rng = random.Random(seed)
    relay = LoadRelay()
    sources = {}
    views = {}
    now = 0.0
    for _ in range(400):
        now += rng.choice((0.0, 0.01, 0.3, 1.2))
        name = rng.choice("abcde")
        known = sources.get(name)
        if rng.random() < 0.1:
            relay.forget(name)
            sources.pop(name, None)
        else:
            is_whole = rng.random() < 0.5
            is_near = rng.random() < 0.8
            shares = {
                item: LoadShare(100 * rng.randrange(3), rng.randrange(3))
                for item in rng.sample("uvwxyz", rng.randrange(5))
            }
            relay.receive_update(name, shares, now, is_near, is_whole)
            merged = shares if is_whole or known is None else {**known[0], **shares}
            sources[name] = (merged, now, is_near)
        if rng.random() < 0.2:
            targets = {item: rng.random() < 0.7 for item in rng.sample("abcdex", 3)}
            before = {item: view for item, view in views.items() if item in targets}
            relay.set_recipients(
                [item for item, is_near in targets.items() if is_near],
                [item for item, is_near in targets.items() if not is_near],
            )
            views = {
                item: (
                    before.get(item, (None, {}))
                    if before.get(item, (None,))[0] == is_near
                    else (is_near, {})
                )
                for item, is_near in targets.items()
            }
        updates = relay.compose_all(now)
        sources = {item: known for item, known in sources.items() if now - known[1] <= 2.5}
        for item, (is_near, view) in views.items():
            update = updates.get(item)
            if update is not None:
                view = {**({} if update.is_whole else view), **update.shares}
                views[item] = (is_near, view)
            for upstream in "uvwxyz":
                counted = [
                    shares[upstream]
                    for source, (shares, _, source_is_near) in sources.items()
                    if upstream in shares
                    and (source_is_near or is_near)
                    and not (is_near and source == item)
                ]
                expected = LoadShare(
                    sum(share.tokens for share in counted), sum(share.running for share in counted)
                )
                assert view.get(upstream, LoadShare(0, 0)) == expected


@given(st.sets(st.sampled_from("abcdefgh"), min_size=2), st.data())
def test_process_with_a_slow_link_is_a_relay_only_where_all_have_one(names, data):
    """Guards against relays whose messages fill their links, so that their callers get nothing."""
    slow = data.draw(st.sets(st.sampled_from(sorted(names))))
    me, *others = sorted(names)
    groups = group_relays(me, "here", dict.fromkeys(others, "here"), slow=slow)
    assert (groups.own[0] in slow) is (slow == names)
    assert sorted(groups.own) == sorted(names)


@given(st.lists(st.integers(0, 50_000), min_size=1, max_size=50), st.floats(1e4, 1e9))
def test_messages_of_a_relay_take_a_bounded_share_of_its_link(rounds, link_bytes_per_s):
    """Guards against a relay that cannot reach upstreams and reports them as unreachable."""
    seconds = sum(relay_interval_s(size, link_bytes_per_s) for size in rounds)
    assert sum(rounds) <= 0.2 * link_bytes_per_s * seconds * 1.000001
