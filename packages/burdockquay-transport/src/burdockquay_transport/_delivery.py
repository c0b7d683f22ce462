"""Connections of callers that are closed only once their answers were delivered."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import struct
import termios
from typing import Any

from aiohttp import web

LINGER_S = 10.0
"""Time for which a connection that is being closed waits for its caller, seconds; begins again with
each progress of the delivery."""

LINGER_POLL_S = 0.25
"""Interval of the checks of a connection that is being closed, seconds."""


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return how many bytes of a TCP connection its peer has not acknowledged.

    Parameters
    ----------
    transport : asyncio.BaseTransport

    Returns
    -------
    int
        Bytes in the send buffer of the kernel; 0 if the connection is closed.
    """
    connection = transport.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return 0
    with contextlib.suppress(OSError):
        size = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, bytes(4))
        return struct.unpack("i", size)[0]
    return 0


class DeliveringConnection(web.RequestHandler):
    """A connection that is closed only once its caller has received the answers.

    Parameters
    ----------
    *args, **options
        See :class:`aiohttp.web.RequestHandler`.

    Notes
    -----
    A socket that is closed while bytes of the caller are unread, or arrive, is reset: the kernel
    then drops what it has not sent yet, and the caller may drop what it has not read. RFC 9112
    (section 9.6) therefore asks a server to end its side first and to read on until the caller
    closes.
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self._is_lost = False
        self._is_lingering = False
        self._undelivered = 0
        self._progress_at = 0.0

    @property
    def is_lingering(self) -> bool:
        """Whether the connection stays open only for the caller to read what was written."""
        return self._is_lingering

    @property
    def undelivered_bytes(self) -> int:
        """Bytes of answers that were written and that the caller's side has not acknowledged."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size() + unacknowledged_bytes(self.transport)

    def connection_lost(self, error: BaseException | None) -> None:
        """Record that the connection is closed."""
        self._is_lost = True
        super().connection_lost(error)

    def close_delivered(self) -> None:
        """Handle no further request, and close the connection once the caller closes its side."""
        self.close()
        if self._is_lingering or self.transport is None or self.transport.is_closing():
            return
        self._is_lingering = True
        # Keeps the library from closing the transport when the task of the connection ends.
        self._force_close = True
        self.transport.write_eof()
        self._progress_at = self._loop.time()
        self._check_delivery()

    def close_idle(self) -> None:
        """Close a connection on which no request is handled.

        Where everything is delivered, a request that arrives meanwhile is left unread, so that the
        reset of the connection tells its caller that it was not handled.
        """
        if self.undelivered_bytes:
            self.close_delivered()
        elif self.transport is not None:
            self.transport.close()

    def force_close(self) -> None:
        """Close the connection; what is in the buffers may be lost."""
        if not self._is_lost:
            size = self.undelivered_bytes
            if size:
                self._record_undelivered(size)
        super().force_close()

    def _check_delivery(self) -> None:
        if self.transport is None:
            return
        now = self._loop.time()
        left = self.undelivered_bytes
        if left != self._undelivered:
            self._undelivered = left
            self._progress_at = now
        if now - self._progress_at >= LINGER_S:
            self.force_close()
        else:
            self._loop.call_later(LINGER_POLL_S, self._check_delivery)

    def _record_undelivered(self, size: int) -> None:
        """Record that a connection is closed before so many bytes were delivered."""
