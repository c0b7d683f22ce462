"""Listening socket of a process that is still loading.

This module is loaded before everything else, so it has few and small imports.
"""

from __future__ import annotations

import socket
import time

from ._addresses import bind_socket, split_address

BACKLOG = 1024
"""Length of the kernel's queue of connections to accept; the kernel may limit it to fewer. Some
hundred callers reconnect at once after the loss of all processes."""


class EarlyListener:
    """Socket that queues connections in the kernel until the process serves them.

    A restarting process loads its libraries for half a second. Without this socket, callers that
    connect meanwhile would be refused. After the loss of all processes they would be refused
    everywhere and use up their retries within milliseconds. Here they wait for that half second
    instead.

    Parameters
    ----------
    listening : socket.socket
    opened_at : float
        Time at which it began to listen, seconds on the clock that includes suspended time.

    Notes
    -----
    This is no attrs class, since importing attrs would take longer than all else in this module.
    """

    def __init__(self, listening: socket.socket, opened_at: float):
        self.listening = listening
        self.opened_at = opened_at

    def age(self) -> float:
        """Return the time since it began to listen, seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) - self.opened_at


def listen_early(address: str) -> EarlyListener:
    """Listen on an address.

    Parameters
    ----------
    address : str
        IP address and port.

    Raises
    ------
    OSError
        If the address is in use.
    """
    listening = bind_socket(*split_address(address))
    try:
        listening.listen(BACKLOG)
    except OSError:
        listening.close()
        raise
    listening.setblocking(False)
    return EarlyListener(listening, time.clock_gettime(time.CLOCK_BOOTTIME))
