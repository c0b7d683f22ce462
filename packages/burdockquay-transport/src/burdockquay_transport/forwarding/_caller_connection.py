"""The connections of callers, and what of a request lies in each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.streams import StreamReader


class CallerConnection(web.RequestHandler):
    """A connection of a caller.

    The library tells of a request once its head is whole. A process that stops must also know of
    heads that are half read: closed as idle, their callers get neither an answer nor a refusal.

    Parameters
    ----------
    manager : Server
    now : callable
        Reads the clock of the process.
    **options
        See :class:`aiohttp.web.Server`.
    """

    def __init__(self, manager: web.Server, now: Callable[[], float], **options: Any):
        super().__init__(manager, **options)
        self._now = now
        self._part_at: float | None = None
        self._is_used = False
        self._is_handling = False
        self._is_last = False
        self._body: StreamReader | None = None

    @property
    def is_idle(self) -> bool:
        """Whether its requests are answered and no further one has begun to come.

        One that had no request yet is not idle: its caller has opened it to send one.
        """
        return self._is_used and not (self._is_handling or self._is_last or self.has_part)

    @property
    def is_handling(self) -> bool:
        """Whether a request is there as a whole and has no answer yet."""
        return self._is_handling and self.transport is not None

    @property
    def has_part(self) -> bool:
        """Whether a part of a request's head has come, and not yet the rest."""
        return self._part_at is not None

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that this process still holds."""
        return 0 if self.transport is None else self.transport.get_write_buffer_size()

    def awaits_rest(self, now: float, wait_s: float) -> bool:
        """Return whether part of a head came within a time, so that the rest may come too."""
        return self._part_at is not None and now - self._part_at < wait_s

    def data_received(self, data: bytes) -> None:
        """Take in what the caller sends."""
        awaits_head = not self._is_handling and (self._body is None or self._body.is_eof())
        # Some callers send an empty line behind a body.
        if awaits_head and data.strip(b"\r\n"):
            self._part_at = self._now()
        known = self._request_count
        super().data_received(data)
        if self._request_count > known:
            # Its handling begins a few rounds of the event loop later.
            self._is_handling = True
            self._part_at = None

    def begin_request(self, body: StreamReader) -> None:
        """Note that a request is handled from now on."""
        self._is_used = self._is_handling = True
        self._part_at = None
        self._body = body

    def end_request(self, closes: bool) -> None:
        """Note that a request has its answer.

        Parameters
        ----------
        closes : bool
            Whether the connection closes behind it.
        """
        self._is_handling = False
        if closes:
            # The library closes the connection behind the answer. Done to an idle connection, it
            # would end the task that reads it and leave the connection open.
            self._is_last = True
            self.close()

    def refuse_part(self, refusal: web.Response) -> None:
        """Answer a request whose head has not come whole, and take in nothing more.

        What still comes is dropped until the process closes the connection: closed at once, it
        would be reset by the rest of the request, and the refusal might be lost.

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
        self.transport.write_eof()
        self._part_at = None
        self.close()


class CallerServer(web.Server):
    """Serves callers' connections.

    Parameters
    ----------
    handler : callable
        Answers one request.
    now : callable
        Reads the clock of the process.
    **options
        Of a connection; see :class:`aiohttp.web.Server`.
    """

    def __init__(self, handler: Any, now: Callable[[], float], **options: Any):
        # A caller that leaves must end its request at once, or an upstream would go on with work
        # that nobody waits for.
        super().__init__(handler, handler_cancellation=True, **options)
        self._now = now
        self._options = options

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, self._now, loop=self._loop, **self._options)
