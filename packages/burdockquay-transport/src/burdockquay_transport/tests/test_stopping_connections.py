"""Tests of what callers get of answers whose connection is closed."""

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web

from burdockquay_coordination import CallerTerms
from burdockquay_transport import Event, _delivery
from burdockquay_transport import _caller_guard as guard_module
from burdockquay_transport._bounded_server import BoundedServer
from burdockquay_transport._caller_guard import CallerGuard

from ._deployment import until

ANSWER_BYTES = 300_000
"""Size of an answer that fits into the buffers of the kernel, bytes."""

WINDOW_BYTES = 4096
"""Receive buffer of a caller that has not read its answer, bytes."""

REQUEST = b"GET / HTTP/1.1\r\nHost: server\r\n\r\n"


class Server:
    """HTTP server with bounded connections; each answer is large."""

    def __init__(self, closes: bool):
        self.closes = closes
        self.handled = 0

    async def __aenter__(self):
        terms = CallerTerms(100, 1 << 28, 1 << 16, 1 << 20, 10.0, 10.0, 10.0)
        now = asyncio.get_running_loop().time
        self.guard = CallerGuard(lambda: terms, now, lambda error: None, lambda reason: None)
        self.bounded = BoundedServer(self.handle, self.guard, access_log=None)
        self.runner = web.ServerRunner(self.bounded, shutdown_timeout=0.3)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return self

    async def __aexit__(self, *details):
        await self.runner.cleanup()

    async def handle(self, request):
        self.handled += 1
        response = web.Response(body=bytes(ANSWER_BYTES))
        if self.closes:
            response.force_close()
        return response

    @contextlib.contextmanager
    def connect(self):
        """Yield the socket of a caller that has sent a request and reads nothing of its answer."""
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            caller.connect(self.runner.addresses[0])
            caller.sendall(REQUEST)
            yield caller

    @property
    def is_answered(self):
        """Whether a request was handled and its answer written."""
        connections = self.bounded.connections
        return self.handled and all(connection._request is None for connection in connections)


def read_all(caller):
    """Return what a caller receives until its connection ends."""
    caller.settimeout(20.0)
    pieces = []
    with contextlib.suppress(ConnectionResetError):
        while piece := caller.recv(1 << 16):
            pieces.append(piece)
    return b"".join(pieces)


@pytest.fixture
def logged(monkeypatch):
    """Events that the guard of the connections logs."""
    events = []
    monkeypatch.setattr(
        guard_module, "log_event", lambda event, **fields: events.append((event, fields))
    )
    return events


async def test_close_before_an_answer_is_delivered_is_logged(logged):
    """Guards against answers that are lost with their connection and leave no trace in the log."""
    async with Server(closes=False) as server:
        with server.connect():
            await until(lambda: server.is_answered)
            undelivered = server.bounded.connections[0].undelivered_bytes
            await server.runner.cleanup()
    assert undelivered > ANSWER_BYTES // 2
    assert logged == [(Event.ANSWER_UNDELIVERED, {"undelivered": undelivered, "received": 0})]


@pytest.mark.parametrize("is_next_early", [True, False])
async def test_answer_is_delivered_where_a_next_request_crosses_the_close(is_next_early):
    """Guards against resets that discard a whole answer since the caller has sent more."""
    async with Server(closes=True) as server:
        with server.connect() as caller:
            if is_next_early:
                caller.sendall(REQUEST)
            await until(lambda: server.is_answered)
            if not is_next_early:
                caller.sendall(REQUEST)
            received = await asyncio.to_thread(read_all, caller)
    assert len(received.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES
    assert server.handled == 1


async def test_idle_connection_with_an_unread_answer_is_closed_once_it_is_delivered():
    """Guards against resets of idle connections that discard a whole answer."""
    async with Server(closes=False) as server:
        with server.connect() as caller:
            await until(lambda: server.is_answered)
            server.bounded.connections[0].close_idle()
            caller.sendall(REQUEST)
            received = await asyncio.to_thread(read_all, caller)
    assert len(received.partition(b"\r\n\r\n")[2]) == ANSWER_BYTES
    assert server.handled == 1


async def test_connection_whose_caller_does_not_close_is_closed_after_a_time(monkeypatch):
    """Guards against descriptors that callers keep by leaving closed connections open."""
    monkeypatch.setattr(_delivery, "LINGER_S", 0.0)
    async with Server(closes=True) as server:
        with server.connect():
            await until(lambda: server.handled and not server.bounded.connections)
