"""What the processes of one failure domain have at upstreams, and who tells the other domains."""

import pytest

from burdockquay_coordination.forwarding import DomainLoads, LoadShare, choose_relay_targets


def make_fleet(domains, processes):
    """Return the processes of each domain, by its name."""
    return {
        f"domain-{domain}": [f"{domain}-{number}" for number in range(processes)]
        for domain in range(domains)
    }


def targets_of(fleet, me, lost=()):
    """Return whom a process tells, where all are connected but the lost ones."""
    alive = {name: [item for item in items if item not in lost] for name, items in fleet.items()}
    here = next(name for name, items in fleet.items() if me in items)
    domain = [item for item in alive.pop(here) if item != me]
    return choose_relay_targets(me, domain, alive)


def told_domains(fleet, lost=()):
    """Return the pairs of a telling and a told process, of different domains."""
    alive = [item for items in fleet.values() for item in items if item not in lost]
    return [(me, target) for me in alive for target in targets_of(fleet, me, lost)]


@pytest.mark.parametrize(("domains", "processes"), [(6, 11), (6, 50), (6, 300), (4, 1), (3, 2)])
def test_messages_between_domains_do_not_grow_with_the_processes(domains, processes):
    """Each of hundreds of processes told each other one all it had.

    A process heard sixty messages a second, most of them over links between domains, and what they
    said was a second old with seventy processes and five seconds old with three hundred.
    """
    pairs = told_domains(make_fleet(domains, processes))
    assert len(pairs) <= 2 * domains * (domains - 1)


@pytest.mark.parametrize("processes", [1, 2, 3, 11])
def test_every_domain_hears_from_every_other_one(processes):
    fleet = make_fleet(5, processes)
    heard = {(me.partition("-")[0], target.partition("-")[0]) for me, target in told_domains(fleet)}
    assert len(heard) == 5 * 4


def test_loss_of_any_process_leaves_a_way_between_all_domains():
    """A relay freezes, and its connections stay open for seconds.

    Nobody takes its place so soon, and all other domains would act on old figures.
    """
    fleet = make_fleet(4, 5)
    pairs = told_domains(fleet)
    for lost in {name for pair in pairs for name in pair}:
        left = [pair for pair in pairs if lost not in pair]
        ways = {(me.partition("-")[0], target.partition("-")[0]) for me, target in left}
        assert len(ways) == 4 * 3


def test_others_become_relays_when_those_of_a_domain_are_lost():
    fleet = make_fleet(3, 6)
    lost = {me for me, _ in told_domains(fleet)}
    heard = {
        (me.partition("-")[0], target.partition("-")[0]) for me, target in told_domains(fleet, lost)
    }
    assert len(lost) == 6
    assert len(heard) == 3 * 2


def test_figures_of_a_process_that_fell_silent_are_left_out():
    """A process is cut off; its requests end with it, but its last figures would stay for ever."""
    loads = DomainLoads()
    loads.hear("silent", {"u": LoadShare(500, 3)}, 0.0)
    loads.hear("gone", {"u": LoadShare(70, 1)}, 9.0)
    loads.hear("here", {"u": LoadShare(20, 1)}, 9.0)
    loads.forget("gone")
    assert loads.add_up({}, 10.0) == {"u": LoadShare(20, 1)}
