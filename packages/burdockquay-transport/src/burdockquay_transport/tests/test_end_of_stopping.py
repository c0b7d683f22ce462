"""Answers to callers of an entry when a graceful shutdown reaches its time limit."""

import asyncio
import contextlib
import json
import socket
from contextlib import ExitStack

import attrs
import pytest

from ._deployment import API_KEY, chat_body, until

ANSWER_BYTES = 500_000
"""Size of an answer that fits into the buffers of the kernel, bytes."""

WINDOW_BYTES = 4096
"""Receive buffer of a caller that has not read its answer, bytes."""

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


def request_bytes(method, path, body=b""):
    """Return a request as an entry's caller sends it."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {API_KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


@contextlib.contextmanager
def connect_slowly(entry, request):
    """Yield the socket of a caller that has sent a request and reads nothing of its answer."""
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        caller.connect(("127.0.0.1", entry.port))
        caller.sendall(request)
        yield caller


def read_to_end(caller):
    """Return all bytes that a caller receives on a socket until it ends."""
    caller.settimeout(20.0)
    pieces = []
    with contextlib.suppress(ConnectionResetError):
        while piece := caller.recv(1 << 16):
            pieces.append(piece)
    return b"".join(pieces)


def answer_with(service, size):
    """Let a service answer with so many bytes, and a frame of JSON around them."""
    service._apply_effect = lambda request, key, body: {"filler": "x" * size}


@pytest.mark.parametrize("is_buffered", [True, False])
async def test_answer_that_its_caller_has_not_read_is_delivered_by_a_stop(deployment, is_buffered):
    """Guards against answers that a stopping entry cuts off, or discards with a reset."""
    async with deployment(engines=0, services=1) as running:
        answer_with(running.services[0], ANSWER_BYTES)
        entry = running.entries.pop()
        if not is_buffered:
            # Connections inherit it; the rest of the answer is in the write buffer of the process.
            entry._server._listening.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW_BYTES)
        request = request_bytes("POST", "/services/booking/holds", b"{}")
        with connect_slowly(entry, request) as caller:
            await until(lambda: running.services[0].requests and not entry._held())
            undelivered_at_close = []
            close = entry.close

            async def record_undelivered_and_close():
                connections = entry._server._runner.server.connections
                undelivered_at_close.extend(item.undelivered_bytes for item in connections)
                await close()

            entry.close = record_undelivered_and_close
            stopping = asyncio.create_task(entry.stop())
            # A stop that does not wait for its caller ends within this time.
            await asyncio.wait([stopping], timeout=1.5)
            caller.sendall(request)
            received = await asyncio.to_thread(read_to_end, caller)
            await stopping
    assert not any(undelivered_at_close)
    assert b'x"}' in received
    assert len(received) > ANSWER_BYTES
    assert running.services[0].requests == 1


async def test_partial_head_is_refused_at_the_limit_of_a_stop(deployment):
    """Guards against a connection that closes without an answer while a head is being received."""
    async with deployment(engines=1) as running:
        entry = running.entries.pop()
        entry.settings = attrs.evolve(entry.settings, stop_limit_s=0.5)
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        writer.write(request_bytes("GET", "/v1/models")[:40])
        await writer.drain()
        await entry.stop()
        received = await reader.read()
        writer.close()
    assert received.startswith(b"HTTP/1.1 503")
    assert json.loads(received.partition(b"\r\n\r\n")[2])["error"]["run"] == "not_run"


async def test_head_that_is_completed_during_a_stop_is_answered(deployment):
    """Guards against an entry that ends between the two halves of a request's head."""
    async with deployment(engines=1) as running:
        entry = running.entries.pop()
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        request = request_bytes("GET", "/v1/models")
        writer.write(request[:40])
        await writer.drain()
        stopping = asyncio.create_task(entry.stop())
        await until(lambda: entry.refusing)
        await asyncio.wait([stopping], timeout=0.5)
        writer.write(request[40:])
        async with asyncio.timeout(20):
            received = await reader.read()
        await stopping
        writer.close()
    assert received.startswith(b"HTTP/1.1 ")


@pytest.mark.parametrize("stream", [False, True])
async def test_answers_during_a_stop_close_their_connection(deployment, stream):
    """Guards against callers that go on sending on a connection that ends with its process."""
    async with deployment(engines=1, leave_delay_s=30.0) as running:
        entry = running.entries[0]
        stopping = asyncio.create_task(entry.stop())
        await until(lambda: entry.leaving)
        body = json.dumps(chat_body(stream=stream)).encode()
        request = request_bytes("POST", "/v1/chat/completions", body)
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        writer.write(request)
        async with asyncio.timeout(20):
            received = await reader.read()
        writer.close()
        stopping.cancel()
        await asyncio.wait([stopping])
    assert b"connection: close" in received.partition(b"\r\n\r\n")[0].lower()
