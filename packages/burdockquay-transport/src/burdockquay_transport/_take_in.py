"""Takes in what callers have sent to a process that is about to close."""

from __future__ import annotations

import asyncio
import select
import socket

from ._early_listener import BACKLOG

READ_ROUNDS = 3
"""Rounds of the event loop in which all that lies in the sockets is read, and its handling begins:
one to read, one to wake the task of the connection, one for that task."""


async def accept_waiting(listening: socket.socket) -> None:
    """Accept each connection that waits in the queue of a listening socket, and read it.

    Connections that are not accepted are reset with the socket, also those whose request is there.

    Parameters
    ----------
    listening : socket
        One that the event loop serves. Some loops accept one connection a round.
    """
    poll = select.poll()
    poll.register(listening, select.POLLIN)
    for _ in range(BACKLOG):
        if not poll.poll(0):
            break
        await asyncio.sleep(0)
    await read_what_came()


async def read_what_came() -> None:
    """Let the event loop read what lies in the sockets, and begin to handle it."""
    for _ in range(READ_ROUNDS):
        await asyncio.sleep(0)
