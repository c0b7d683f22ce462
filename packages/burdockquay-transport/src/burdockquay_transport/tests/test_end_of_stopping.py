"""Answers to callers of an entry when a graceful shutdown reaches its time limit."""

import asyncio
import json
import socket
from contextlib import ExitStack

from ._deployment import API_KEY, chat_body, until

LONG = {"max_tokens": 600, "min_tokens": 500}


def error_of(answer):
    """Return status and error of an answer."""
    status, body = answer
    return status, body["error"]


async def test_chat_at_an_engine_gets_run_unknown(deployment):
    """Guards against a connection that closes without an answer before the first token."""
    async with deployment(engines=1, base_step_s=0.02, prefill_block_s=1.0) as running:
        body = chat_body("ceremony") | LONG
        asking = asyncio.create_task(running.ask("/v1/chat/completions", body))
        slot = running.slots[0]
        await until(lambda: slot.describe()["running"])
        await running.entries[0]._abort_all("the limit of the shutdown was reached")
        status, error = error_of(await asking)
    assert (status, error["run"]) == (504, "unknown")


async def test_started_stream_gets_an_error_event(deployment):
    """Guards against an interrupted stream that looks complete."""
    async with deployment(engines=1, base_step_s=0.02) as running:
        asking = asyncio.create_task(running.ask_stream(chat_body("ceremony", True) | LONG))
        await running.wait_for_answering_slot()
        await running.entries[0]._abort_all("the limit of the shutdown was reached")
        _, complete, error = await asking
    assert not complete
    assert error["run"] == "unknown"


async def test_queued_chat_is_refused_as_not_run(deployment):
    """Guards against a connection that closes without an answer to a queued request."""
    async with deployment(engines=1, base_step_s=0.02) as running:
        entry = running.entries[0]
        dispatcher = entry.dispatcher("drafting")
        bodies = [chat_body(f"draft {number}", True) | LONG for number in range(16)]
        filling = [asyncio.create_task(running.ask_stream(body)) for body in bodies]
        await until(lambda: len(dispatcher.queue) >= 4)
        asking = asyncio.create_task(running.ask("/v1/chat/completions", chat_body() | LONG))
        await until(lambda: entry._held() == 17)
        await entry._abort_all("the limit of the shutdown was reached")
        status, error = error_of(await asking)
        await asyncio.gather(*filling, return_exceptions=True)
    assert (status, error["run"]) == (503, "not_run")
    assert error["retry_after_s"] > 0


async def test_request_with_a_partial_body_is_refused_as_not_run(deployment):
    """Guards against a connection that closes without an answer while a body is being received."""
    async with deployment(engines=1) as running:
        entry = running.entries[0]
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"
            f"Authorization: Bearer {API_KEY}\r\nContent-Length: 100\r\n\r\n"
        )
        writer.write(head.encode() + b'{"model"')
        await until(lambda: entry._held() == 1)
        await entry._abort_all("the limit of the shutdown was reached")
        async with asyncio.timeout(20):
            received = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readuntil(b"}}")
        writer.close()
    assert received.startswith(b"HTTP/1.1 503")
    assert json.loads(body)["error"]["run"] == "not_run"


async def test_connections_in_the_accept_queue_are_answered(deployment):
    """Guards against resets of connections that a busy entry has not accepted when it closes."""
    async with deployment(engines=1) as running:
        entry = running.entries.pop()
        head = f"GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {API_KEY}\r\n\r\n"
        with ExitStack() as stack:
            callers = [
                stack.enter_context(socket.create_connection(("127.0.0.1", entry.port)))
                for _ in range(20)
            ]
            for caller in callers:
                caller.sendall(head.encode())
            await entry.stop()
            answers = [await asyncio.to_thread(caller.recv, 4096) for caller in callers]
    assert all(answer.startswith(b"HTTP/1.1 ") for answer in answers)


async def test_running_service_request_gets_run_unknown(deployment):
    """Guards against "not run" for a running request that must not be repeated."""
    async with deployment(engines=1, services=1) as running:
        running.services[0].delay_s = 5.0
        asking = asyncio.create_task(running.ask("/services/booking/holds", {"chapel": 1}))
        await until(lambda: running.slot("service-1").describe()["running"])
        await running.entries[0]._abort_all("the limit of the shutdown was reached")
        status, error = error_of(await asking)
    assert (status, error["run"]) == (504, "unknown")
