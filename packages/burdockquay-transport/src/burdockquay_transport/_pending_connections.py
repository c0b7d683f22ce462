"""Accepts and reads the pending connections of a process that is about to close."""

from __future__ import annotations

import asyncio
import select
import socket

from ._early_listener import BACKLOG

READ_ITERATIONS = 3
"""Iterations of the event loop until all data in the sockets is read and its handling has begun:
one to read, one to wake the task of the connection, one for that task."""


async def accept_pending(listening: socket.socket) -> None:
    """Accept all connections in the queue of a listening socket, and read their data.

    Connections that are not accepted are reset when the socket is closed, even if their request
    has arrived.

    Parameters
    ----------
    listening : socket
        Socket that the event loop serves. Some loops accept one connection per iteration.
    """
    poll = select.poll()
    poll.register(listening, select.POLLIN)
    for _ in range(BACKLOG):
        if not poll.poll(0):
            break
        await asyncio.sleep(0)
    await read_pending()


async def read_pending() -> None:
    """Let the event loop read the data in the sockets and begin to handle it."""
    for _ in range(READ_ITERATIONS):
        await asyncio.sleep(0)
