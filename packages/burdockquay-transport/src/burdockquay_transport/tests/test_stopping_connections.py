"""Tests of what callers get of answers whose connection is closed."""

import asyncio
import contextlib
import socket

import pytest
from aiohttp import web

from burdockquay_coordination import CallerTerms
from burdockquay_transport import Event
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
    def undelivered(self):
        """Bytes of answers that are not acknowledged."""
        return sum(connection.undelivered_bytes for connection in self.bounded.connections)


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
            await until(lambda: server.undelivered and not server.bounded.connections[0]._request)
            undelivered = server.undelivered
            await server.runner.cleanup()
    assert logged == [(Event.ANSWER_UNDELIVERED, {"undelivered": undelivered, "received": 0})]
