"""Connections of callers that are closed only once their answers were delivered."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import struct
import termios
from typing import Any

from aiohttp import web


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
    """A connection that knows what its caller has not received.

    Parameters
    ----------
    *args, **options
        See :class:`aiohttp.web.RequestHandler`.
    """

    def __init__(self, *args: Any, **options: Any):
        super().__init__(*args, **options)
        self._is_lost = False

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

    def force_close(self) -> None:
        """Close the connection; what is in the buffers may be lost."""
        if not self._is_lost:
            size = self.undelivered_bytes
            if size:
                self._record_undelivered(size)
        super().force_close()

    def _record_undelivered(self, size: int) -> None:
        """Record that a connection is closed before so many bytes were delivered."""
