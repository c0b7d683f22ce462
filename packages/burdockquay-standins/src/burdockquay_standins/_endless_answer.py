"""Behaviour of an upstream whose answer has no end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ._raw_server import RawConnection, RawRequest

MAX_ENDLESS_BYTES = 2560 << 20
"""Bytes after which it stops all the same, so that a client without a bound ends, too."""


class EndlessAnswer:
    """Sends the same piece again and again until the connection is closed.

    Parameters
    ----------
    begin : callable
        Returns what an answer begins with, by the request.
    piece : bytes

    Attributes
    ----------
    sent_bytes : int
        Bytes of pieces, on all connections.
    closed : int
        Connections that the client has closed.
    """

    def __init__(self, begin: Callable[[RawRequest], bytes], piece: bytes):
        self.begin = begin
        self.piece = piece
        self.sent_bytes = 0
        self.closed = 0

    async def __call__(self, request: RawRequest, connection: RawConnection) -> None:
        """Answer a request."""
        try:
            await connection.write(self.begin(request))
            while self.sent_bytes < MAX_ENDLESS_BYTES:
                await connection.write(self.piece)
                self.sent_bytes += len(self.piece)
                await asyncio.sleep(0)
        except ConnectionError:
            self.closed += 1
