"""Mechanisms that an operator can turn off."""

import pytest

from burdockquay_coordination.forwarding import (
    Demand,
    EngineModel,
    Mechanism,
    Prompt,
    PromptQueue,
    ServiceTargets,
    Switches,
    WaitingPrompt,
    place_prompt,
    usable_upstreams,
)

PROMPT = Prompt((("shared", 40_000), ("own", 500)), 80)


def demand(short_s=0.0, prompt=PROMPT):
    return Demand(prompt, 0.5, 5.0, short_s)


@pytest.fixture
def upstreams(make_upstream):
    return [make_upstream(name) for name in ("a", "b", "c")]


@pytest.mark.parametrize("mechanism", Mechanism)
def test_prompts_are_placed_without_any_one_mechanism(mechanism, upstreams):
    """A mechanism performs badly and its operator turns it off.

    If others depended on it, requests would fail until the process is replaced.
    """
    model = EngineModel(Switches([mechanism]))
    queue = PromptQueue()
    queue.add(WaitingPrompt(demand(), 0, 0.5, 1.0, ()))
    start = queue.take_start(upstreams, model, ServiceTargets(0.5, 0), 0.0)
    assert start.placement.upstream in upstreams


def test_unknown_mechanism_is_rejected():
    with pytest.raises(ValueError, match="fetch"):
        Switches(["fetch"])


def test_switches_change_while_they_are_in_use(upstreams):
    switches = Switches()
    model = EngineModel(switches)
    upstreams[0].memory.record_read("shared", 40_000)
    upstreams[0].outstanding = 8
    assert place_prompt(upstreams, demand(), model, (), 0.0).source is upstreams[0]
    switches.off = ["fetches"]
    assert place_prompt(upstreams, demand(), model, (), 0.0).source is None


def test_unhealthy_upstreams_are_left_out_only_by_their_mechanisms(upstreams):
    degraded, unreachable, healthy = upstreams
    for _ in range(8):
        degraded.health.record_failure(0.0)
    unreachable.health.record_unreachable(0.0)
    for _ in range(8):
        unreachable.health.record_success(0.0)
    unreachable.health.record_unreachable(0.0)

    def usable(*off):
        return list(usable_upstreams(upstreams, (), 0.1, Switches(off)))

    assert usable() == [healthy]
    assert usable("failure_share") == [degraded, healthy]
    assert usable("suspension") == [unreachable, healthy]
    assert usable("suspension", "failure_share") == upstreams


def test_waiting_prompts_start_at_once_without_the_window(upstreams):
    for item in upstreams:
        item.pending.add("other", 1_000_000, 0.0)
    targets = ServiceTargets(0.5, 0)

    def start(*off):
        queue = PromptQueue()
        queue.add(WaitingPrompt(demand(), 3, 90.0, 99.0, ()))
        return queue.take_start(upstreams, EngineModel(Switches(off)), targets, 0.0)

    assert start() is None
    assert start("window") is not None
