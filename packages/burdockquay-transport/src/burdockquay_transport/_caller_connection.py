"""Connections of callers, with the state of the request on each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.streams import StreamReader

from ._bounded_callers import BoundedConnection
from ._caller_guard import CallerGuard


class CallerConnection(BoundedConnection):
    """A connection of a caller.

    The library reports a request once its head is complete. A process that shuts down must also
    detect partly received heads: if such a connection were closed as idle, its caller would get
    neither an answer nor a refusal.

    Parameters
    ----------
    manager : Server
    guard : CallerGuard
    closes_new : callable
        Returns whether a connection that opens now is closed unread.
    **options
        See :class:`aiohttp.web.Server`.
    """

    def __init__(
        self,
        manager: web.Server,
        guard: CallerGuard,
        closes_new: Callable[[], bool],
        **options: Any,
    ):
        super().__init__(manager, guard, **options)
        self._closes_new = closes_new
        self._partial_head_at: float | None = None
        self._is_used = False
        self._is_handling = False
        self._is_closing = False
        self._body: StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve a connection, or close it before anything is read from it."""
        super().connection_made(transport)
        if self._closes_new():
            self.abort()

    @property
    def is_idle(self) -> bool:
        """Whether its requests are answered and no part of another one was received.

        A connection without any request yet is not idle: its caller opened it to send one.
        """
        return self._is_used and not (
            self._is_handling or self._is_closing or self.is_dropping or self.has_partial_head
        )

    @property
    def is_handling(self) -> bool:
        """Whether a request with a complete head has no answer yet."""
        return self._is_handling and self.transport is not None and not self.is_lingering

    @property
    def is_answering(self) -> bool:
        """Whether a request is handled, or its answer is being written."""
        return self._request is not None and self.transport is not None and not self.is_lingering

    @property
    def has_partial_head(self) -> bool:
        """Whether the head of a request was received in part."""
        return not self.is_dropping and (self._partial_head_at is not None or self.has_pending)

    def awaits_rest_of_head(self, now: float, wait_s: float) -> bool:
        """Return whether part of a head was received recently, so that the rest may follow."""
        if not self.has_partial_head or self._partial_head_at is None:
            return self.has_partial_head
        return now - self._partial_head_at < wait_s

    def _feed(self, data: bytes) -> int:
        awaits_head = not self._is_handling and (self._body is None or self._body.is_eof())
        # Some callers send an empty line after a body.
        if awaits_head and data.strip(b"\r\n"):
            self._partial_head_at = self._guard.now()
        added = super()._feed(data)
        if added:
            # The handler starts a few iterations of the event loop later.
            self._is_handling = True
            self._partial_head_at = None
        return added

    def begin_request(self, body: StreamReader) -> None:
        """Record that the handling of a request begins."""
        self._is_used = self._is_handling = True
        self._partial_head_at = None
        self._body = body

    def end_request(self, closes: bool) -> None:
        """Record that a request was answered.

        Parameters
        ----------
        closes : bool
            Whether the connection is closed after the answer.
        """
        self._is_handling = False
        if closes:
            # The library closes the connection after the answer. On an idle connection, this call
            # would end the task that reads from it and leave the connection open.
            self._is_closing = True
            self.close()

    def close_idle(self) -> None:
        """Close a connection on which no request is handled, after its answer."""
        if self.is_answering:
            self.close()
        else:
            super().close_idle()

    def refuse_partial_head(self, refusal: web.Response) -> None:
        """Refuse a request whose head is incomplete, and accept no more data.

        Parameters
        ----------
        refusal : Response
            With a body of bytes.
        """
        if self.transport is None:
            return
        lines = [f"HTTP/1.1 {refusal.status} {refusal.reason}"]
        lines += [f"{name}: {value}" for name, value in refusal.headers.items()]
        lines += [f"Content-Length: {len(refusal.body)}", "Connection: close", "", ""]
        self.transport.write("\r\n".join(lines).encode() + refusal.body)
        self._partial_head_at = None
        self.close_delivered()
