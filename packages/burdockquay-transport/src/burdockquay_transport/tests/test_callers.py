"""HTTP server for callers, with client libraries and malformed requests."""

import asyncio

import openai
import pytest

from burdockquay_standins import expected_answer

from ._deployment import API_KEY, MODEL, callers_requests, chat_body, until


@pytest.fixture
async def client_of():
    clients = []

    def make(running, api_key=API_KEY):
        client = openai.AsyncOpenAI(
            api_key=api_key, base_url=running.url("/v1"), max_retries=0, timeout=30.0
        )
        clients.append(client)
        return client

    yield make
    for client in clients:
        await client.close()


async def test_openai_client_reads_plain_and_streamed_answers(deployment, client_of):
    async with deployment(engines=1) as running:
        client = client_of(running)
        body = chat_body("dosage")
        expected = "".join(expected_answer(body, seed=1))
        del body["stream"]
        plain = await client.chat.completions.create(**body)
        assert plain.choices[0].message.content == expected
        assert plain.usage.completion_tokens > 0
        stream = await client.chat.completions.create(**body, stream=True)
        texts = [chunk.choices[0].delta.content or "" async for chunk in stream]
        assert "".join(texts) == expected
        models = await client.models.list()
        assert [model.id for model in models.data] == [MODEL]


async def test_openai_client_raises_on_an_interrupted_answer(deployment, client_of):
    """The only engine crashes in the middle of a streamed answer.

    The client library must raise an exception, instead of ending the stream normally.
    """
    async with deployment(engines=1, base_step_s=0.005, restart_s=60.0) as running:
        body = {**chat_body("ceremony", stream=True, max_tokens=400), "min_tokens": 200}
        extra = {"min_tokens": body.pop("min_tokens")}
        stream = await client_of(running).chat.completions.create(**body, extra_body=extra)
        with pytest.raises(openai.APIError):
            async for _ in stream:
                if not running.engines[0].crashes:
                    running.engines[0].crash(60.0)


async def test_openai_client_gets_typed_refusals(deployment, client_of):
    async with deployment(engines=1) as running:
        with pytest.raises(openai.AuthenticationError):
            await client_of(running, "parish.wrong").models.list()
        with pytest.raises(openai.NotFoundError) as refusal:
            body = {**chat_body(), "model": "none"}
            await client_of(running).chat.completions.create(**body)
        assert refusal.value.code == "unknown_model"


async def test_incomplete_request_delays_no_other(deployment):
    """A caller sends the head of a request and part of its body, and then nothing more.

    Other requests are served meanwhile, and the incomplete one never reaches an engine.
    """
    async with deployment(engines=1) as running:
        reader, writer = await asyncio.open_connection("127.0.0.1", running.entries[0].port)
        writer.write(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 500\r\n"
            b"Authorization: Bearer " + API_KEY.encode() + b'\r\n\r\n{"model": '
        )
        await writer.drain()
        await until(lambda: running.entries[0].describe()["held"] == 1)
        status, _ = await running.ask("/v1/chat/completions", chat_body())
        assert status == 200
        writer.close()
        await until(lambda: running.entries[0].describe()["held"] == 0)
        assert len(callers_requests(running.engines[0])) == 1


@pytest.mark.parametrize(
    ("headers", "body", "status", "kind"),
    [
        ({"Idempotency_Key": "k" * 300}, {}, 400, "bad_request"),
        ({"X_Deadline_Seconds": "-1"}, {}, 400, "bad_request"),
        ({"X_Deadline_Seconds": "nan"}, {}, 400, "bad_request"),
        ({}, {"messages": "none"}, 400, "bad_request"),
        ({}, {"messages": [{"role": "king"}]}, 400, "bad_request"),
        ({}, {"max_tokens": 0}, 400, "bad_request"),
        ({}, {"stream": "yes"}, 400, "bad_request"),
    ],
)
async def test_invalid_values_are_named(deployment, headers, body, status, kind):
    async with deployment(engines=1) as running:
        answer = await running.ask("/v1/chat/completions", {**chat_body(), **body}, **headers)
        assert (answer[0], answer[1]["error"]["code"]) == (status, kind)
        assert "expected" in answer[1]["error"]["message"]
        assert not callers_requests(running.engines[0])


async def test_path_without_route_is_not_found(deployment):
    async with deployment(engines=1, services=1) as running:
        for path in ("/services/none/x", "/v2/chat"):
            status, answer = await running.ask(path, {})
            assert (status, answer["error"]["code"]) == (404, "not_found")
            assert answer["error"]["run"] == "not_run"


async def test_deadline_of_a_running_answer_reports_run_unknown(deployment):
    """A caller sets a deadline of 0.2 s for an answer that takes much longer.

    The error at the deadline reports that the request may have run, and the engine is freed.
    """
    async with deployment(engines=1, base_step_s=0.02) as running:
        body = {**chat_body(max_tokens=600), "min_tokens": 300}
        status, answer = await running.ask("/v1/chat/completions", body, X_Deadline_Seconds="0.2")
        assert (status, answer["error"]["code"]) == (504, "deadline_exceeded")
        assert answer["error"]["run"] == "unknown"
        await until(lambda: not running.engines[0].batch.running)
