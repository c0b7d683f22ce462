"""Signals that arrive before a process can handle them.

This module is imported before all others by a process that has to listen early, and therefore has
few imports itself.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Mapping
from typing import Any

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that a process handles; without a handler each would end it immediately."""


class EarlySignals:
    """Records the signals that arrive while a process loads and starts.

    Callers may already be waiting in the listen queue of a process that is still loading. If a
    signal ended the process, their connections would be reset; SIGHUP, which only announces changed
    settings, would end it too.

    Notes
    -----
    Not an attrs class: importing attrs would take longer than everything else in this module.
    """

    def __init__(self):
        self._pending: list[tuple[int, float]] = []

    def start_recording(self) -> None:
        """Install handlers that record each signal with the time of its arrival."""
        for number in HANDLED:
            signal.signal(number, self._record)

    def attach_loop(self, loop: Any, handlers: Mapping[int, Callable[[float], None]]) -> None:
        """Install handlers in an event loop and call them for the signals recorded so far.

        Parameters
        ----------
        loop : AbstractEventLoop
        handlers : mapping
            Handler for each signal of ``HANDLED``; called with the age of the signal, seconds.
        """
        for number, handle in handlers.items():
            loop.add_signal_handler(number, handle, 0.0)
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        pending, self._pending = self._pending, []
        for number, at in pending:
            handlers[number](now - at)

    def _record(self, number: int, frame: Any) -> None:
        self._pending.append((number, time.clock_gettime(time.CLOCK_BOOTTIME)))
