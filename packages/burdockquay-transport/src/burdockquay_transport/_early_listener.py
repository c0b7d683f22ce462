"""The listening socket of a process that is still loading.

This module and what it imports are loaded before everything else, so they stay few and small.
"""

from __future__ import annotations

import socket
import time

from ._addresses import bind_socket, split_address

BACKLOG = 1024
"""Connections that wait in the kernel until the process takes them; the kernel may allow fewer.
Some hundred callers come back at once after the loss of all processes."""


class EarlyListener:
    """A socket that takes connections into the kernel's queue until the process serves them.

    A process that restarts loads its libraries for half a second. Callers that connect meanwhile
    would be refused, and after the loss of all processes they are refused everywhere: each uses up
    its repeats within milliseconds and gets nothing. Here they wait for that half second instead.

    Parameters
    ----------
    listening : socket.socket
    opened_at : float
        When it began to listen, seconds on the clock that counts suspended time.

    Notes
    -----
    Not an attrs class: loading attrs would take longer than all that this module does.
    """

    def __init__(self, listening: socket.socket, opened_at: float):
        self.listening = listening
        self.opened_at = opened_at

    def age(self) -> float:
        """Return how long it has been listening, seconds."""
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
