"""Log lines on a pipe whose reader may stop: bounded, and never waited for."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Callable

import logbook

MAX_WAITING_BYTES = 1 << 18
"""Bytes that wait for a reader at most; at a kilobyte a request this is some seconds of traffic."""

FLUSH_S = 0.05
"""Longest time that a line waits for others, seconds. One write for many lines costs a tenth of the
processor time of a write for each."""

LINES_PER_S = 200
"""Lines of one event that are written in a second; more are counted. It is several times what a
process of the present size writes on a busy day."""


class LineLimiter:
    """Bounds the lines of each event in a second, and counts what it holds back.

    Parameters
    ----------
    lines_per_s : int

    Examples
    --------
    >>> limiter = LineLimiter(2)
    >>> [limiter.allows("E1", 0.1) for _ in range(3)]
    [True, True, False]
    >>> limiter.allows("E1", 1.2), limiter.take_held_back()
    (True, {'E1': 1})
    """

    def __init__(self, lines_per_s: int):
        self.lines_per_s = lines_per_s
        self._second = 0
        self._written: Counter[str] = Counter()
        self._held_back: Counter[str] = Counter()

    def allows(self, event: str, now: float) -> bool:
        """Count a line of an event and return whether it may be written."""
        if int(now) != self._second:
            self._second = int(now)
            self._written.clear()
        self._written[event] += 1
        if self._written[event] <= self.lines_per_s:
            return True
        self._held_back[event] += 1
        return False

    def note_dropped(self, event: str) -> None:
        """Count a line that found no room."""
        self._held_back[event] += 1

    def take_held_back(self) -> dict[str, int]:
        """Return how many lines of each event were held back, and begin to count anew."""
        held_back, self._held_back = dict(self._held_back), Counter()
        return held_back


class LogPipe:
    """Writes lines to a file descriptor without ever waiting for its reader.

    A reader that stops would otherwise block the process at the next line, and all requests with
    it. Lines that find no room are dropped and counted; the count is written once there is room.

    Parameters
    ----------
    fd : int
        Left as it is, but for being set not to block.
    now : callable
        Returns the time, seconds.
    describe : callable
        Returns the line that tells how many lines of each event were held back.
    """

    def __init__(
        self, fd: int, now: Callable[[], float], describe: Callable[[dict[str, int]], str]
    ):
        self.fd = fd
        self.now = now
        self.describe = describe
        self._limiter = LineLimiter(LINES_PER_S)
        self._waiting = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)

    def write(self, event: str, line: str) -> None:
        """Queue a line of an event."""
        if not self._limiter.allows(event, self.now()):
            return
        data = line.encode("utf-8", "replace") + b"\n"
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self._limiter.note_dropped(event)
            return
        self._waiting += data
        self._flush_soon()

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._timer = None
        self._report_held_back()
        try:
            written = os.write(self.fd, self._waiting) if self._waiting else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone for good; there is nobody left to tell.
            written = len(self._waiting)
        del self._waiting[:written]
        if self._waiting:
            self._flush_soon()

    def _flush_soon(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush_once()
            return
        self._timer = loop.call_later(FLUSH_S, self.flush)

    def flush_once(self) -> None:
        """Write what the reader takes now and do not come back for the rest."""
        try:
            written = os.write(self.fd, self._waiting)
        except OSError:
            written = 0
        del self._waiting[:written]

    def _report_held_back(self) -> None:
        if len(self._waiting) > MAX_WAITING_BYTES // 2:
            return
        held_back = self._limiter.take_held_back()
        if held_back:
            self._waiting += self.describe(held_back).encode() + b"\n"


class PipeHandler(logbook.Handler):
    """Handler of the logging library that hands lines to a :class:`LogPipe`.

    Parameters
    ----------
    pipe : LogPipe
    level : str
    """

    def __init__(self, pipe: LogPipe, level: str):
        super().__init__(level=level)
        self.pipe = pipe

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of a record."""
        self.pipe.write(record.extra["event"], record.message)
