"""Tests of the engine's protocol over HTTP: answers, control calls, faults, orders and reports."""

import asyncio

import aiohttp
import pytest

from burdockquay_standins import EngineParameters, EngineStandin, expected_answer, parse_stream
from burdockquay_state import InvalidParameterError

FAST = {"base_step_s": 0.001, "per_running_s": 0.0, "restart_s": 0.02, "load_lag_s": 0.0}


def engine(**parameters):
    return EngineStandin(EngineParameters(**(FAST | parameters)))


async def complete(client, server, body, name="r1", priority=0):
    headers = {"X-Request-Id": name, "X-Priority": str(priority)}
    url = f"{server.url}/v1/chat/completions"
    async with client.post(url, json=body, headers=headers) as response:
        content = b""
        try:
            async for piece in response.content.iter_any():
                content += piece
        except aiohttp.ClientError:
            return parse_stream(content)[0], False
        return parse_stream(content)


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


async def test_streamed_and_unstreamed_answer_equal_the_expected_one(client, body):
    async with engine(seed=7) as server:
        assert await complete(client, server, body) == (expected_answer(body, 7), True)
        url = f"{server.url}/v1/chat/completions"
        async with client.post(url, json=body | {"stream": False}) as response:
            answer = await response.json()
    tokens = expected_answer(body, 7)
    assert answer["choices"][0]["message"]["content"] == "".join(tokens)
    assert answer["usage"]["completion_tokens"] == len(tokens)


async def test_answers_to_concurrent_callers_do_not_mix(client, body):
    bodies = [body | {"messages": [{"role": "user", "content": str(i)}]} for i in range(30)]
    async with engine(places=4) as server:
        answers = await asyncio.gather(
            *(complete(client, server, part, f"r{i}") for i, part in enumerate(bodies))
        )
        assert server.batch.max_queued == 26
    assert answers == [(expected_answer(part, 1), True) for part in bodies]


@pytest.mark.parametrize("delivered", [0, 1, 20, 39, 40])
async def test_resumed_answer_continues_after_the_delivered_tokens(client, body, delivered):
    body = body | {"messages": [{"role": "user", "content": "long answer 2"}]}
    expected_tokens = expected_answer(body, 1)
    assert len(expected_tokens) == 40
    async with engine() as server:
        resumed = body | {"resume_tokens": expected_tokens[:delivered]}
        assert await complete(client, server, resumed) == (expected_tokens[delivered:], True)
        assert server.resume_mismatches == 0
        await complete(client, server, body | {"resume_tokens": ["another"]})
        assert server.resume_mismatches == 1


async def test_paused_request_frees_its_capacity_and_continues_after_resume(client, body):
    other = body | {"messages": [{"role": "user", "content": "other"}]}
    async with engine(places=1) as server:
        first = asyncio.create_task(complete(client, server, body, "first"))
        await until(lambda: server.batch.running)
        async with client.post(f"{server.url}/requests/first/pause") as response:
            assert response.status == 200
        assert await complete(client, server, other, "second") == (expected_answer(other, 1), True)
        assert not first.done()
        async with client.post(f"{server.url}/requests/first/resume") as response:
            assert response.status == 200
        assert await first == (expected_answer(body, 1), True)
        async with client.post(f"{server.url}/requests/first/pause") as response:
            assert response.status == 404


async def test_cancelled_request_never_looks_finished(client, body):
    """Guards against a cancelled answer that ends normally and so looks complete."""
    async with engine(base_step_s=0.005) as server:
        answer = asyncio.create_task(complete(client, server, body, "first"))
        await until(lambda: server.tokens_generated > 1)
        async with client.post(f"{server.url}/requests/first/cancel") as response:
            assert response.status == 200
        tokens, finished = await answer
    assert not finished
    assert len(tokens) < len(expected_answer(body, 1))


async def test_caller_that_disconnects_frees_its_capacity(client, body):
    async with engine(places=1, base_step_s=0.005) as server:
        answer = asyncio.create_task(complete(client, server, body))
        await until(lambda: server.tokens_generated > 1)
        answer.cancel()
        await until(lambda: server.ends["cancelled"] == 1)
        assert not server.batch.running


@pytest.mark.parametrize(
    "fault", [{"crash_after_tokens": 5}, {"poison_marker": "magnesium"}], ids=["count", "poison"]
)
async def test_crash_cuts_streams_and_the_engine_restarts(client, body, fault):
    """Guards against an answer that looks complete although the engine crashed in the middle."""
    poison = "poison_marker" in fault
    async with engine(**(fault if poison else {})) as server:
        if not poison:
            await client.post(f"{server.url}/faults", json=fault)
        tokens, finished = await complete(client, server, body)
        assert not finished
        assert tokens == expected_answer(body, 1)[: len(tokens)]
        assert len(tokens) <= 5
        assert server.crashes == 1
        await until(lambda: server.listening)
        healthy = body | {"messages": [{"role": "user", "content": "fine"}]}
        assert await complete(client, server, healthy) == (expected_answer(healthy, 1), True)


async def test_crashed_engine_refuses_connections(client):
    async with engine(restart_s=60.0) as server:
        await client.post(f"{server.url}/faults", json={"crash": True})
        await until(lambda: not server.listening)
        with pytest.raises(aiohttp.ClientConnectorError):
            await client.get(f"{server.url}/healthz")


@pytest.mark.parametrize(("checks", "statuses"), [(True, [200, 409, 200]), (False, [200] * 3)])
async def test_orders_check_fencing_or_ignore_it(client, checks, statuses):
    async with engine(checks_fencing=checks) as server:
        got = []
        for fencing in (5, 4, 5):
            order = {"id": "o1", "order": "load_model", "argument": "m2", "fencing": fencing}
            async with client.post(f"{server.url}/orders", json=order) as response:
                got.append(response.status)
        assert got == statuses
        assert server.orders.effects == {"o1": statuses.count(200)}
        async with client.get(f"{server.url}/models") as response:
            assert (await response.json())["models"] == ["standin", "m2"]


async def test_load_report_lags_and_cache_events_have_gaps(client, body):
    async with engine(load_lag_s=3600.0, event_lag_s=0.0, event_loss=0.5) as server:
        first = asyncio.create_task(complete(client, server, body))
        await until(lambda: server.batch.running)
        async with client.get(f"{server.url}/load") as response:
            assert (await response.json())["running"] == 0
        await first
        assert server.cache.admit([b"new"], 0.0) == 0
        async with client.get(f"{server.url}/events", params={"after": 1}) as response:
            numbers = [event["sequence"] for event in (await response.json())["events"]]
    assert numbers == sorted(numbers)
    assert 0 < len(numbers) < max(numbers) - 1


@pytest.mark.parametrize(
    "change",
    [
        {"model": 3},
        {"messages": "hello"},
        {"max_tokens": 0},
        {"max_tokens": True},
        {"min_tokens": "3"},
        {"resume_tokens": [1]},
    ],
)
async def test_malformed_requests_are_rejected(client, body, change):
    async with engine() as server:
        url = f"{server.url}/v1/chat/completions"
        async with client.post(url, json=body | change) as response:
            assert response.status == 400
            assert "expected" in await response.text()
        async with client.post(url, json=body | {"model": "unknown"}) as response:
            assert response.status == 404


async def test_fault_switches_are_validated(client):
    async with engine() as server:
        for switches in ({"stal_s": 1}, {"slow_factor": 0}, {"crash": 1}):
            async with client.post(f"{server.url}/faults", json=switches) as response:
                assert response.status == 400


def test_parameters_out_of_range_are_reported():
    with pytest.raises(InvalidParameterError, match=r"places: expected .*got 0.*event_loss"):
        engine(places=0, event_loss=2.0)
