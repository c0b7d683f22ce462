"""Signals that come before a process can act on them.

Loaded before everything else by a process that has to listen soon; imports little.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Mapping
from typing import Any

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that a process acts on; without a handler each would end it at once."""


class EarlySignals:
    """Keeps the signals that come while a process loads and starts.

    Callers may wait in the queue of a process that is still loading. Ended by a signal, it would
    reset their connections; one that only names changed settings would end it too.

    Notes
    -----
    Not an attrs class: loading attrs would take longer than all that this module does.
    """

    def __init__(self):
        self._kept: list[tuple[int, float]] = []

    def keep(self) -> None:
        """Keep each signal from now on."""
        for number in HANDLED:
            signal.signal(number, self._note)

    def hand_over(self, loop: Any, handlers: Mapping[int, Callable[[float], None]]) -> None:
        """Let an event loop handle the signals, and handle those that came before.

        Parameters
        ----------
        loop : AbstractEventLoop
        handlers : mapping
            What each of ``HANDLED`` brings about; called with the age of the signal, seconds.
        """
        for number, handle in handlers.items():
            loop.add_signal_handler(number, handle, 0.0)
        now = time.clock_gettime(time.CLOCK_BOOTTIME)
        kept, self._kept = self._kept, []
        for number, at in kept:
            handlers[number](now - at)

    def _note(self, number: int, frame: Any) -> None:
        self._kept.append((number, time.clock_gettime(time.CLOCK_BOOTTIME)))
