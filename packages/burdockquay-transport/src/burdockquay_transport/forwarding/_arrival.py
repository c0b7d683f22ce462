"""Arrival time of a caller's request, which is earlier than the time at which it is read."""

from __future__ import annotations

import asyncio
import socket
import struct

import attrs

STARTUP_BACKLOG_S = 0.05
"""Time after the start in which the requests that are read may have waited in the kernel, seconds;
all waiting requests are read within it."""

_LAST_DATA_OFFSET = 52
"""Offset of ``tcpi_last_data_recv``, the age of the newest received data, in Linux' ``struct
tcp_info``, bytes; part of the kernel interface for programs."""

_LAST_DATA_FORMAT = struct.Struct("=I")
"""Format of that field: milliseconds, unsigned, 32 bits."""


@attrs.frozen
class ArrivalClock:
    """Computes the arrival times of requests.

    If the time limit of a request counted from when it is read, the request would get more time
    than its caller still waits: it would be held past the time limit of its route, and an upstream
    would run it after its caller has disconnected. That happens when a process starts, and when it
    has too little processor time.

    Parameters
    ----------
    opened_at : float
        When the socket for callers began to listen.
    read_until : float
        Until when requests are read that arrived before the process ran.
    """

    opened_at: float
    read_until: float

    def arrival(self, transport: asyncio.BaseTransport | None, now: float) -> float:
        """Return when a request that is read now arrived.

        Parameters
        ----------
        transport : BaseTransport or None
            The connection of the caller; None if it is closed.
        now : float

        Notes
        -----
        The kernel records when the newest data of a connection arrived. If that is not available, a
        request that is read just after the start counts as arrived when the socket began to listen.
        """
        unread_s = _unread_s(transport)
        if unread_s > 0:
            return now - unread_s
        return self.opened_at if now < self.read_until else now


def _unread_s(transport: asyncio.BaseTransport | None) -> float:
    """Return the age of the newest data of a connection, 0 if it is not available, seconds."""
    if transport is None or transport.is_closing() or not hasattr(socket, "TCP_INFO"):
        return 0.0
    connection = transport.get_extra_info("socket")
    size = _LAST_DATA_OFFSET + _LAST_DATA_FORMAT.size
    described = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    if len(described) < size:
        return 0.0
    (milliseconds,) = _LAST_DATA_FORMAT.unpack_from(described, _LAST_DATA_OFFSET)
    return milliseconds / 1000
