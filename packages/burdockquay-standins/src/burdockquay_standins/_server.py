"""HTTP server of all stand-ins, which can run embedded or as a program and can simulate crashes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Self

from aiohttp import web

MAX_BODY_BYTES = 64 << 20

CONTROL_PATHS = ("/requests/", "/faults", "/stats")
"""Paths of calls about requests or the stand-in, which are no requests to the upstream."""


class StandinServer:
    """HTTP server on a local port that can crash and restart.

    Parameters
    ----------
    host : str
    port : int
        0 selects a free port, which stays the same after a crash.

    Attributes
    ----------
    stated : dict of str to str
        Headers by which every answer states something about the upstream.
    arrivals : list of float
        When each request arrived, control calls left out, on the clock of the event loop.

    Notes
    -----
    A crash closes the listening socket and aborts each connection. Clients see the same as when a
    process dies: streams end in the middle and new connections are refused.
    """

    def __init__(self, host: str = "127.0.0.1", port: int = 0):
        self.host = host
        self.port = port
        self.crashes = 0
        self.stated: dict[str, str] = {}
        self.arrivals: list[float] = []
        self._runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def url(self) -> str:
        """Base URL without a trailing slash."""
        return f"http://{self.host}:{self.port}"

    @property
    def listening(self) -> bool:
        """Whether connections are accepted."""
        return self._listener is not None

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the stand-in."""
        raise NotImplementedError

    async def start(self) -> None:
        """Start to listen; return when connections are accepted."""
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._record_arrival]
        )
        application.on_response_prepare.append(self._add_statements)
        application.add_routes(self.routes())
        self._runner = web.AppRunner(application, handler_cancellation=True, access_log=None)
        await self._runner.setup()
        await self._listen()

    async def stop(self) -> None:
        """Stop listening, cancel all tasks and abort all connections."""
        self._close_listener()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._runner is not None:
            self._abort_connections()
            await self._runner.cleanup()
            self._runner = None

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stop()

    def crash(self, restart_s: float) -> None:
        """Abort all connections, refuse new ones for ``restart_s`` seconds, then listen again."""
        if not self.listening:
            return
        self.crashes += 1
        self._close_listener()
        self._abort_connections()
        self.spawn(self._restart(restart_s))

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine as a task that is cancelled when the server stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @web.middleware
    async def _record_arrival(
        self, request: web.Request, handler: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        if not request.path.startswith(CONTROL_PATHS):
            self.arrivals.append(asyncio.get_running_loop().time())
        return await handler(request)

    async def _add_statements(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers.update(self.stated)

    async def _listen(self) -> None:
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._runner.server, self.host, self.port, reuse_address=True, backlog=1024
        )
        self.port = self._listener.sockets[0].getsockname()[1]

    async def _restart(self, restart_s: float) -> None:
        await asyncio.sleep(restart_s)
        await self._listen()

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _abort_connections(self) -> None:
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                connection.transport.abort()


def cut_connection(request: web.Request) -> web.Response:
    """Abort the connection of a request; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def read_object(request: web.Request) -> dict[str, Any]:
    """Return the JSON object in the body of a request.

    Raises
    ------
    aiohttp.web.HTTPBadRequest
        If the body is not a JSON object.
    """
    try:
        body = await request.json()
    except ValueError as error:
        raise bad_request(f"expected JSON, got {error}") from error
    if not isinstance(body, Mapping):
        raise bad_request(f"expected a JSON object, got {type(body).__name__}")
    return dict(body)


def bad_request(text: str) -> web.HTTPBadRequest:
    """Return a 400 answer with a message."""
    return web.HTTPBadRequest(text=text)
