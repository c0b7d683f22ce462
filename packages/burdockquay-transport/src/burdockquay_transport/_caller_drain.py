"""Ends the connections of callers without losing a request or an answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from aiohttp import web

from ._pending_connections import read_pending

if TYPE_CHECKING:
    from ._bounded_server import BoundedServer

ANSWER_WRITE_S = 0.1
"""Time for which a process that shuts down waits until answers that are ready are written to their
connections, seconds; what a slow reader has not received by then is in the buffer of the
connection."""

UNFINISHED_POLL_S = 0.02
"""Poll interval for connections with unfinished requests once no answer is being written,
seconds."""

PARTIAL_HEAD_TIMEOUT_S = 2.0
"""Longest wait for the rest of a head that was partly received, seconds."""

FINAL_ANSWERS_TIMEOUT_S = 0.3
"""Longest wait until the answers of a process that shuts down are written and delivered,
seconds."""


class CallerDrain:
    """Ends the connections of a server that shuts down.

    Parameters
    ----------
    server : BoundedServer
    now : callable
        Returns the time on the clock of the process, seconds.
    """

    def __init__(self, server: BoundedServer, now: Callable[[], float]):
        self._server = server
        self._now = now

    async def close_idle(self) -> None:
        """Close the connections without a request, and others after their answers."""
        # An answer that has just become ready may not have been written to the socket yet.
        await asyncio.sleep(ANSWER_WRITE_S)
        # Read the requests that arrived while this process was busy before anything is closed:
        # otherwise their callers would get neither an answer nor a refusal.
        await read_pending()
        for connection in self._server.connections:
            if connection.is_idle:
                connection.close_idle()

    def has_unfinished(self) -> bool:
        """Return whether a request is handled or partly received, or an answer not delivered."""
        now = self._now()
        return any(
            connection.is_handling
            or connection.is_answering
            or connection.undelivered_bytes
            or connection.awaits_rest_of_head(now, PARTIAL_HEAD_TIMEOUT_S)
            for connection in self._server.connections
        )

    async def refuse_partial_heads(
        self, make_refusal: Callable[[], web.Response], until: float
    ) -> None:
        """Refuse the requests whose heads are incomplete, and deliver all answers.

        Parameters
        ----------
        make_refusal : callable
            Returns an answer with a body of bytes.
        until : float
            Time at which the wait for the delivery ends.
        """
        partial = [
            connection for connection in self._server.connections if connection.has_partial_head
        ]
        for connection in partial:
            connection.refuse_partial_head(make_refusal())
        if partial:
            await asyncio.sleep(ANSWER_WRITE_S)
        while self._has_undelivered() and self._now() < until:
            await asyncio.sleep(UNFINISHED_POLL_S)

    def _has_undelivered(self) -> bool:
        return any(connection.undelivered_bytes for connection in self._server.connections)
