"""Signals that arrive before a process can handle them, and the times of their arrival.

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
    """Records the signals of a process, and passes them to its event loop once that runs.

    Callers may already be waiting in the listen queue of a process that is still loading. If a
    signal ended the process, their connections would be reset; SIGHUP, which only announces changed
    settings, would end it too.

    Notes
    -----
    The event loop's own handlers do not tell when a signal arrived. At a busy loop a stop would
    begin late without knowing it, and the process might be killed before it has ended.

    Not an attrs class: importing attrs would take longer than everything else in this module.
    """

    def __init__(self):
        self._pending: list[tuple[int, float]] = []
        self._loop: Any = None
        self._handlers: Mapping[int, Callable[[float], None]] = {}

    def start_recording(self) -> None:
        """Install handlers that record each signal with the time of its arrival."""
        for number in HANDLED:
            signal.signal(number, self._record)

    def attach_loop(self, loop: Any, handlers: Mapping[int, Callable[[float], None]]) -> None:
        """Let an event loop call handlers for the signals recorded so far, and for later ones.

        Parameters
        ----------
        loop : AbstractEventLoop
        handlers : mapping
            Handler for each signal of ``HANDLED``; called with the age of the signal, seconds.
        """
        self._loop, self._handlers = loop, handlers
        self._handle_pending()

    def _record(self, number: int, frame: Any) -> None:
        self._pending.append((number, time.clock_gettime(time.CLOCK_BOOTTIME)))
        if self._loop is not None and not self._loop.is_closed():
            self._loop.call_soon_threadsafe(self._handle_pending)

    def _handle_pending(self) -> None:
        pending, self._pending = self._pending, []
        for number, at in pending:
            self._handlers[number](time.clock_gettime(time.CLOCK_BOOTTIME) - at)
