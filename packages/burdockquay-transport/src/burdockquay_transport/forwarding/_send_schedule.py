"""When a forwarder sends its loads and outcomes to others."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

LOADS_INTERVAL_S = 0.01
"""Shortest time between two messages about loads, seconds. A prompt waits some tenths of a second
before an upstream reads it: peers that receive its load later than that send theirs to the same
upstream."""

IDLE_LOADS_INTERVAL_S = 0.1
"""Longest time between two looks for what is to be sent, seconds, while nothing changes."""

MAX_MESSAGES_PER_S = 500
"""Total rate of messages about loads between a relay and the processes of its failure domain, in
each direction; the more processes there are, the less often each of them sends or receives one."""


def loads_interval_s(domain_size: int, is_busy: bool) -> float:
    """Return the time until the next message about loads, seconds.

    Parameters
    ----------
    domain_size : int
        Number of processes of the failure domain.
    is_busy : bool
        Whether there is a change to send.
    """
    shortest_s = LOADS_INTERVAL_S if is_busy else IDLE_LOADS_INTERVAL_S
    return max(shortest_s, domain_size / MAX_MESSAGES_PER_S)


class SendSchedule:
    """Calls a function after changes, at a bounded rate, and when something is due by time.

    A look every 10 ms, whether or not something has changed, was a quarter of the processor time of
    a process with twelve prompts per second.

    Parameters
    ----------
    send : callable
        Sends what is due; returns the time until something is due without a change, seconds.
    interval_s : callable
        Returns the shortest time between two calls, seconds.
    """

    def __init__(self, send: Callable[[], float], interval_s: Callable[[], float]):
        self._send = send
        self._interval_s = interval_s
        self._has_change = False
        self._ran_at = float("-inf")
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Call the function from now on."""
        self._call_at(asyncio.get_running_loop().time())

    def stop(self) -> None:
        """Do not call the function any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def note_change(self) -> None:
        """Call the function soon.

        Changes within half of the interval are sent together: a request that starts makes several.
        """
        if self._has_change or self._timer is None:
            return
        self._has_change = True
        interval_s = self._interval_s()
        now = asyncio.get_running_loop().time()
        self._call_at(max(self._ran_at + interval_s, now + interval_s / 2))

    def _call_at(self, at: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(at, self._run)

    def _run(self) -> None:
        clock = asyncio.get_running_loop().time
        self._ran_at = clock()
        self._has_change = False
        due_in_s = self._interval_s()
        try:
            due_in_s = max(due_in_s, self._send())
        finally:
            if not self._has_change:
                self._call_at(clock() + due_in_s)
