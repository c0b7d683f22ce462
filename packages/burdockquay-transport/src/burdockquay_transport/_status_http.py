"""Read-only HTTP pages of a process: health, readiness, status."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from aiohttp import web

METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
"""Content type of the text exposition format of metrics."""


@attrs.frozen
class StatusServer:
    """Running server of the read-only pages.

    Parameters
    ----------
    runner : aiohttp.web.AppRunner
    """

    runner: web.AppRunner

    @property
    def port(self) -> int:
        """Port it listens on."""
        return self.runner.addresses[0][1]

    async def close(self) -> None:
        """Stop serving."""
        await self.runner.cleanup()


def add_status_routes(
    app: web.Application, is_ready: Callable[[], bool], describe: Callable[[], Any]
) -> None:
    """Add ``/healthz``, ``/readyz`` and ``/status`` to an application."""

    async def healthz(request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def readyz(request: web.Request) -> web.Response:
        ready = is_ready()
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def status(request: web.Request) -> web.Response:
        return web.json_response(describe())

    app.router.add_get("/healthz", healthz)
    app.router.add_get("/readyz", readyz)
    app.router.add_get("/status", status)


async def serve_status(
    host: str,
    port: int,
    is_ready: Callable[[], bool],
    describe: Callable[[], Any],
    expose: Callable[[], bytes] | None = None,
) -> StatusServer:
    """Start a server for the read-only pages.

    Parameters
    ----------
    host : str
    port : int
    is_ready, describe : callable
        See :func:`add_status_routes`.
    expose : callable or None
        Returns the content of ``/metrics``; None for no such page.

    Raises
    ------
    OSError
        If the address is in use.
    """
    app = web.Application()
    add_status_routes(app, is_ready, describe)
    if expose is not None:

        async def metrics(request: web.Request) -> web.Response:
            return web.Response(body=expose(), headers={"Content-Type": METRICS_TYPE})

        app.router.add_get("/metrics", metrics)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, port).start()
    return StatusServer(runner)
