"""How figures about upstreams reach many processes."""

import random

import pytest

from burdockquay_coordination.forwarding import LoadRelay, LoadShare, RelayWatch

TICK_S = 0.025


class Fleet:
    """Processes of some failure domains whose first one is the relay, in simulated time."""

    def __init__(self, domains, processes):
        self.names = [[f"{d}-{p}" for p in range(processes)] for d in range(domains)]
        self.relays = [LoadRelay() for _ in range(domains)]
        self.loads = {name: {} for names in self.names for name in names}
        self.views = {name: {} for names in self.names for name in names}
        self.now = 0.0
        self.messages = 0

    def tick(self):
        """Let all tell what they have and hear what was told."""
        self.now += TICK_S
        for names, relay in zip(self.names, self.relays, strict=True):
            for name in names:
                relay.hear(name, self.loads[name], self.now, is_near=True)
            others = [item[0] for item in self.names if item is not names]
            relay.set_targets(names[1:], others)
        sent = [relay.compose_all(self.now) for relay in self.relays]
        for domain, news in enumerate(sent):
            self.messages += len(news) + len(self.names[domain]) - 1
            for name, item in news.items():
                self.take(f"domain {domain}", domain, name, item)

    def take(self, source, domain, name, news):
        there = int(name.partition("-")[0])
        if there != domain:
            self.relays[there].hear(source, news.shares, self.now, False, news.is_whole)
            return
        view = {} if news.is_whole else self.views[name]
        self.views[name] = {**view, **news.shares}

    def others(self, me, upstream):
        """Return what all but one process have at an upstream."""
        shares = [self.loads[name].get(upstream) for name in self.loads if name != me]
        return sum(share.tokens for share in shares if share is not None)


def test_every_process_knows_what_all_others_have_after_some_ticks():
    """Figures of other processes were as old as a whole answer, and many chose the same place."""
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
def test_messages_grow_with_the_processes_and_not_with_their_square(domains, processes):
    fleet = Fleet(domains, processes)
    for tick in range(20):
        for name in fleet.loads:
            fleet.loads[name] = {"u": LoadShare(tick, 1)}
        fleet.tick()
    count = domains * processes
    assert fleet.messages / 20 <= 2 * count + domains * domains


def test_nothing_is_told_while_nothing_changes_but_a_sign_of_life():
    relay = LoadRelay()
    relay.hear("one", {"u": LoadShare(5, 1)}, 0.0, is_near=True)
    relay.set_targets(["two"], [])
    assert relay.compose("two", 0.0).is_whole
    assert relay.compose("two", 0.1) is None
    beat = relay.compose("two", 0.3)
    assert (beat.is_whole, beat.shares) == (False, {})


def test_figures_of_a_process_that_fell_silent_are_left_out():
    """A process is cut off; its requests end with it, but its last figures would stay for ever."""
    relay = LoadRelay()
    relay.hear("silent", {"u": LoadShare(500, 3)}, 0.0, is_near=True)
    relay.set_targets(["two"], [])
    relay.compose("two", 0.0)
    assert relay.compose("two", 3.0).shares == {}


def test_parts_are_told_once_to_everybody_but_their_source():
    relay = LoadRelay()
    relay.set_targets(["one", "two"], ["far"])
    relay.hear("one", {}, 0.0, is_near=True)
    relay.hear("domain b", {}, 0.0, is_near=False)
    relay.hear_parts("one", "u", {"aa": 100})
    relay.hear_parts("domain b", "u", {"bb": 200})
    told = relay.compose_all(0.0)
    assert {name: dict(news.parts) for name, news in told.items()} == {
        "one": {"u": {"bb": 200}},
        "two": {"u": {"aa": 100, "bb": 200}},
        "far": {"u": {"aa": 100}},
    }
    assert relay.compose("two", 5.0).parts == {}


def look(watch, until, now=0.0, speaking=()):
    """Look every tenth of a second, hearing from some relays each time; return the last choice."""
    chosen = None
    while now < until - 1e-9:
        now += 0.1
        for name in speaking:
            watch.note_heard(name, now)
        chosen = watch.choose(["a", "b"], now)
    return chosen


def test_silent_relay_is_left_and_tried_again_later():
    """A relay freezes; its connections stay open and nobody hears anything of other processes."""
    watch = RelayWatch()
    assert look(watch, 1.0, speaking=["a"]) == "a"
    assert look(watch, 1.5, now=1.0) == "a"
    assert look(watch, 2.0, now=1.5, speaking=["b"]) == "b"
    assert look(watch, 3.0, now=2.0, speaking=["b"]) == "b"
    assert look(watch, 4.0, now=3.0, speaking=["a", "b"]) == "a"


def test_process_that_stood_still_itself_does_not_leave_its_relay():
    """A process gets no processor time for a second; what its relay told it lies unread.

    It left the relay, heard nobody for seconds, and what it told meanwhile reached nobody.
    """
    watch = RelayWatch()
    assert look(watch, 1.0, speaking=["a"]) == "a"
    assert watch.choose(["a", "b"], 2.5) == "a"
    assert look(watch, 3.0, now=2.5) == "a"
    assert look(watch, 3.5, now=3.0) == "b"


def test_process_that_is_the_relay_itself_never_leaves_itself():
    watch = RelayWatch()
    assert watch.choose(["me", "b"], 0.0, "me") == "me"
    assert watch.choose(["me", "b"], 9.0, "me") == "me"


def test_news_of_a_part_keeps_the_figures_of_its_upstream():
    """A process tells that an upstream read a part, while its requests there are as before.

    The message named the upstream without figures, and all others took it for idle.
    """
    relay = LoadRelay()
    relay.hear("one", {"u": LoadShare(500, 2)}, 0.0, is_near=True)
    relay.set_targets(["two"], [])
    relay.compose("two", 0.0)
    relay.hear("one", {"u": LoadShare(500, 2)}, 0.1, is_near=True)
    relay.hear_parts("one", "u", {"aa": 100})
    news = relay.compose("two", 0.1)
    assert (news.is_whole, news.shares) == (False, {"u": LoadShare(500, 2)})


def test_many_parts_are_told_in_small_messages():
    """A process starts and is told of thousands of prompt parts that upstreams hold.

    In one message to each process of its failure domain they filled the link of a small VM for a
    second: connections to upstreams timed out, and callers left before their answers came.
    """
    relay = LoadRelay()
    relay.hear("one", {}, now=1.0, is_near=True)
    relay.set_targets(near=["one"], far=[])
    for upstream in ("u", "v"):
        relay.add_parts("one", upstream, {f"{upstream}{number}": 9 for number in range(450)})
    told = []
    for tick in range(20):
        news = relay.compose("one", now=1.0 + 0.04 * tick)
        if news is not None:
            told.append(sum(map(len, news.parts.values())))
    assert max(told) <= 100
    assert sum(told) == 900
