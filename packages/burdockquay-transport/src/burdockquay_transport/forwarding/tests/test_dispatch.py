"""Tests of the queue of prompts that wait for an upstream."""

import asyncio
import random

import attrs
import pytest
import uvloop
from multidict import CIMultiDict

from burdockquay_coordination.forwarding import (
    ForwardRoute,
    ListedUpstream,
    Prompt,
    RouteKind,
    ServiceShare,
    ServiceTargets,
    Switches,
    UpstreamChanges,
    UpstreamRegistry,
)
from burdockquay_protocol import ErrorKind
from burdockquay_transport import SystemClock
from burdockquay_transport._call_error import CallError
from burdockquay_transport.forwarding._call import ForwardCall
from burdockquay_transport.forwarding._dispatch import PromptDispatcher
from burdockquay_transport.forwarding._forwarder_metrics import ForwarderMetrics
from burdockquay_transport.forwarding._held_calls import HeldCalls
from burdockquay_transport.forwarding._platform import CallerRequest
from burdockquay_transport.forwarding._rate_limits import RateLimits

ROUTE = ForwardRoute(
    "talk", "h", "/", RouteKind.STREAM, (ServiceShare("s", 1.0),), 5.0, 0.5, 1, 1, by_prompt=True
)


@pytest.fixture
def upstream_registry():
    upstream_registry = UpstreamRegistry()
    entry = ListedUpstream("u", "s", "127.0.0.1", 1, "a", 8, False, 1)
    upstream_registry.apply(UpstreamChanges(True, (entry,)), 0.0)
    return upstream_registry


@pytest.fixture
def upstream(upstream_registry):
    return upstream_registry.of_service("s")[0]


class ShiftedClock(SystemClock):
    """The system clock, which a test can shift and stop."""

    def __init__(self):
        self.shift_s = 0.0
        self.stopped_at = None

    def stop(self):
        self.stopped_at = super().now()

    def now(self):
        present = super().now() if self.stopped_at is None else self.stopped_at
        return present + self.shift_s


@pytest.fixture
def dispatcher(upstream_registry):
    targets = ServiceTargets(0.25, 0)
    clock = ShiftedClock()
    limits = RateLimits(
        clock, ForwarderMetrics(), upstream_registry, random.Random(1), lambda: None
    )
    held_calls = HeldCalls(clock, upstream_registry, limits, random.Random(1))
    return PromptDispatcher(
        "s",
        upstream_registry,
        clock,
        lambda: targets,
        ForwarderMetrics(),
        Switches(),
        held_calls,
        lambda call: False,
    )


def make_call(patience_s=5.0, route=ROUTE, urgency=1):
    prompt = Prompt((("shared", 5000), ("own", 1000)), 40)
    request = CallerRequest("id", "POST", "/x", "/x", "h", CIMultiDict(), prompt=prompt)
    now = SystemClock().now()
    return ForwardCall(None, request, route, "s", None, urgency, b"", now, now + patience_s, 1)


async def test_cancellation_right_after_the_start_removes_the_prompt_from_the_upstream(
    dispatcher, upstream
):
    """A caller disconnects just as its request is started.

    Its prompt must not stay counted at the upstream, which would then be avoided for ever.
    """
    # The pause between two evaluations depends on the duration of the first one.
    dispatcher.clock.stop()
    upstream.pending.add("other", 50_000, dispatcher.clock.now())
    waiting = asyncio.create_task(dispatcher.start(make_call()))
    await asyncio.sleep(0)
    upstream.pending.remove("other")
    dispatcher.clock.shift_s += 0.01
    dispatcher.evaluate()
    assert upstream.pending.own_tokens == 6000
    waiting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert upstream.pending.own_tokens == 0
    assert len(dispatcher.queue) == 0


async def test_request_that_gets_no_capacity_in_time_is_refused_with_the_load(dispatcher, upstream):
    upstream.pending.add("other", 50_000, dispatcher.clock.now())
    with pytest.raises(CallError) as refused:
        await dispatcher.start(make_call(patience_s=0.2))
    assert refused.value.error.kind is ErrorKind.OVERLOADED
    assert "to read" in refused.value.error.detail


@pytest.mark.parametrize(
    ("route_priority", "organisation_priority", "starts"), [(0, 1, True), (1, 0, False)]
)
async def test_backlog_at_which_a_prompt_starts_depends_on_its_route(
    dispatcher, upstream, route_priority, organisation_priority, starts
):
    """Guards against long prompts of an urgent organisation that go before those of urgent routes,
    which have an earlier place in the queue."""
    route = attrs.evolve(ROUTE, priority=route_priority)
    upstream.pending.add("other", 10_000, dispatcher.clock.now())
    waiting = asyncio.create_task(
        dispatcher.start(make_call(route=route, urgency=organisation_priority))
    )
    await asyncio.sleep(0)
    assert (len(dispatcher.queue) == 0) is starts
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)


async def test_retry_waits_while_more_urgent_requests_wait(dispatcher, upstream):
    """Guards against retries of less urgent requests that take the capacity of urgent ones."""
    upstream.pending.add("other", 50_000, dispatcher.clock.now())
    urgent = asyncio.create_task(dispatcher.start(make_call()))
    await asyncio.sleep(0)
    retry = make_call()
    retry.rank, retry.sends = 2, 1
    waiting = asyncio.create_task(dispatcher.start(retry))
    await asyncio.sleep(0)
    assert len(dispatcher.queue) == 2
    upstream.pending.remove("other")
    async with asyncio.timeout(5):
        sent = [await urgent, await waiting]
    assert sent[0].sent_at <= sent[1].sent_at


async def test_service_without_upstreams_returns_none_at_once(dispatcher, upstream_registry):
    upstream_registry.apply(UpstreamChanges(True), 1.0)
    assert await dispatcher.start(make_call()) is None


async def test_evaluations_of_the_queue_use_a_limited_share_of_the_time(
    dispatcher, upstream, monkeypatch
):
    """Twenty requests wait, and an update of the upstreams is received every millisecond.

    If each update caused an evaluation, a slow process would do nothing else, and engines would
    continue to run requests of callers that disconnected seconds before.
    """
    upstream.pending.add("other", 50_000, dispatcher.clock.now())
    waiting = [asyncio.create_task(dispatcher.start(make_call())) for _ in range(20)]
    await asyncio.sleep(0)
    evaluation_s, evaluations = 0.02, []

    def take_no_start(*details):
        evaluations.append(details)
        dispatcher.clock.shift_s += evaluation_s
        return iter(())

    monkeypatch.setattr(dispatcher.queue, "take_starts", take_no_start)
    began = dispatcher.clock.now()
    while dispatcher.clock.now() < began + 1.0:
        dispatcher.clock.shift_s += 0.001
        dispatcher.evaluate()
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    assert evaluation_s <= len(evaluations) * evaluation_s <= 1.0 / 3


async def test_update_in_the_pause_after_an_evaluation_is_applied_at_its_end(dispatcher, upstream):
    upstream.pending.add("other", 50_000, dispatcher.clock.now())
    waiting = asyncio.create_task(dispatcher.start(make_call()))
    await asyncio.sleep(0)
    upstream.pending.remove("other")
    dispatcher.evaluate()
    async with asyncio.timeout(5):
        sent = await waiting
    assert sent.placement.upstream is upstream


def test_evaluations_are_rescheduled_on_the_event_loop_of_the_daemons(dispatcher, upstream):
    """A change occurs while a later evaluation is scheduled, on a uvloop event loop.

    Its timer handles have fewer methods than those of the standard library. If one of the missing
    methods were called, requests would fail with an internal error.
    """

    async def wait_twice():
        upstream.pending.add("other", 50_000, dispatcher.clock.now())
        calls = [make_call(patience_s=0.2) for _ in range(2)]
        first = asyncio.create_task(dispatcher.start(calls[0]))
        await asyncio.sleep(0)
        second = asyncio.create_task(dispatcher.start(calls[1]))
        return await asyncio.gather(first, second, return_exceptions=True)

    failures = uvloop.run(wait_twice())
    assert [failure.error.kind for failure in failures] == [ErrorKind.OVERLOADED] * 2
