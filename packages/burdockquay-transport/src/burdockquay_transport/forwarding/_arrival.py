"""When a request of a caller came, which is earlier than when it is read."""

from __future__ import annotations

import asyncio
import socket
import struct

import attrs

BACKLOG_S = 0.05
"""Time after the start in which requests may have waited in the kernel, seconds; all that waited
are read within it."""

_LAST_DATA_MS_AT = 52
"""Place of the age of the newest data in the kernel's description of a TCP connection, bytes; part
of Linux' interface to programs."""

_LAST_DATA_MS = struct.Struct("=I")
"""How it is told there: milliseconds, unsigned, 32 bits."""


@attrs.frozen
class ArrivalClock:
    """Tells when requests came.

    Counted from the moment at which it is read, a request would get more time than its caller still
    waits: it is held past the time limit of its route, and an upstream works for nobody. That
    happens where a process starts, and where it has too little processor time.

    Parameters
    ----------
    opened_at : float
        When the socket for callers began to listen.
    read_until : float
        Until when requests are read that came while the process did not run yet.
    """

    opened_at: float
    read_until: float

    def arrival(self, transport: asyncio.BaseTransport | None, now: float) -> float:
        """Return when a request that is read now came.

        Parameters
        ----------
        transport : BaseTransport or None
            The connection of the caller; None if it is gone.
        now : float

        Notes
        -----
        The kernel knows when the newest data of a connection came. Where it does not tell, a
        request that is read just after the start counts as come when the socket began to listen.
        """
        unread_s = _unread_s(transport)
        if unread_s > 0:
            return now - unread_s
        return self.opened_at if now < self.read_until else now


def _unread_s(transport: asyncio.BaseTransport | None) -> float:
    """Return how long the newest data of a connection has been here, 0 if nobody tells, seconds."""
    if transport is None or transport.is_closing() or not hasattr(socket, "TCP_INFO"):
        return 0.0
    connection = transport.get_extra_info("socket")
    size = _LAST_DATA_MS_AT + _LAST_DATA_MS.size
    described = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    if len(described) < size:
        return 0.0
    (milliseconds,) = _LAST_DATA_MS.unpack_from(described, _LAST_DATA_MS_AT)
    return milliseconds / 1000
