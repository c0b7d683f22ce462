"""HTTP servers whose connections are bounded."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web

from ._caller_connection import CallerConnection
from ._caller_guard import CallerGuard


def _never() -> bool:
    return False


class BoundedServer(web.Server):
    """Server whose connections are bounded.

    Parameters
    ----------
    handler : callable
        Answers one request.
    guard : CallerGuard
    closes_new : callable
        Returns whether a connection that opens now is closed unread.
    **options
        Options of a connection; see :class:`aiohttp.web.Server`.
    """

    def __init__(
        self,
        handler: Any,
        guard: CallerGuard,
        closes_new: Callable[[], bool] = _never,
        **options: Any,
    ):
        # A caller that disconnects must cancel its request at once; otherwise an upstream would
        # continue a run that nobody waits for.
        super().__init__(handler, handler_cancellation=True, **options)
        self._guard = guard
        self._closes_new = closes_new

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(
            self, self._guard, self._closes_new, loop=self._loop, **self._kwargs
        )


class BoundedAppRunner(web.AppRunner):
    """Runner of an application whose connections are bounded.

    Parameters
    ----------
    app : web.Application
    guard : CallerGuard
    **options
        Options of :class:`aiohttp.web.AppRunner`.
    """

    def __init__(self, app: web.Application, guard: CallerGuard, **options: Any):
        super().__init__(app, **options)
        self._guard = guard

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()
        return BoundedServer(
            made.request_handler,
            self._guard,
            request_factory=made.request_factory,
            access_log=None,
        )
