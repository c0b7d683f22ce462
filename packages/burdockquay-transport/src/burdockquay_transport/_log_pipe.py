"""Non-blocking, bounded output of log lines to a pipe whose reader may stop."""

from __future__ import annotations

import asyncio
import os
from collections import Counter
from collections.abc import Callable

import logbook

MAX_BUFFER_BYTES = 1 << 18
"""Limit on the bytes that wait for the reader; at a kilobyte per request, seconds of traffic."""

FLUSH_INTERVAL_S = 0.05
"""Longest time that a line waits for others, seconds. One write for many lines costs a tenth of the
processor time of one write per line."""

LINES_PER_S = 200
"""Limit on the lines written per event and second; further lines are only counted. It is several
times what a process of the present size writes on a busy day."""


class LineLimiter:
    """Limits the lines per event and second, and counts the lines that it holds back.

    Parameters
    ----------
    lines_per_s : int

    Examples
    --------
    >>> limiter = LineLimiter(2)
    >>> [limiter.allows("E1", 0.1) for _ in range(3)]
    [True, True, False]
    >>> limiter.allows("E1", 1.2), limiter.pop_held_back()
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

    def record_dropped(self, event: str) -> None:
        """Count a line that was dropped because the buffer was full."""
        self._held_back[event] += 1

    def pop_held_back(self) -> dict[str, int]:
        """Return the number of lines held back per event, and reset the counts."""
        held_back, self._held_back = dict(self._held_back), Counter()
        return held_back


class LogPipe:
    """Writes lines to a file descriptor without waiting for its reader.

    A reader that stops would otherwise block the process, and all its requests, at the next line.
    Lines that do not fit in the buffer are dropped and counted; the count is written once there is
    room.

    Parameters
    ----------
    fd : int
        Set to non-blocking mode; otherwise unchanged and never closed here.
    now : callable
        Returns the time, seconds.
    describe : callable
        Returns the line that reports how many lines of each event were held back.
    """

    def __init__(
        self, fd: int, now: Callable[[], float], describe: Callable[[dict[str, int]], str]
    ):
        self.fd = fd
        self.now = now
        self.describe = describe
        self._limiter = LineLimiter(LINES_PER_S)
        self._buffer = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        os.set_blocking(fd, False)

    def write(self, event: str, line: str) -> None:
        """Queue a line of an event."""
        if not self._limiter.allows(event, self.now()):
            return
        data = line.encode("utf-8", "replace") + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self._limiter.record_dropped(event)
            return
        self._buffer += data
        self._flush_soon()

    def flush(self) -> None:
        """Write as much as the reader accepts now, and schedule the rest."""
        self._timer = None
        self._report_held_back()
        try:
            written = os.write(self.fd, self._buffer) if self._buffer else 0
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, so the lines are dropped.
            written = len(self._buffer)
        del self._buffer[:written]
        if self._buffer:
            self._flush_soon()

    def _flush_soon(self) -> None:
        if self._timer is not None:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush_available()
            return
        self._timer = loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def flush_available(self) -> None:
        """Write as much as the reader accepts now, without scheduling the rest."""
        try:
            written = os.write(self.fd, self._buffer)
        except OSError:
            written = 0
        del self._buffer[:written]

    def _report_held_back(self) -> None:
        if len(self._buffer) > MAX_BUFFER_BYTES // 2:
            return
        held_back = self._limiter.pop_held_back()
        if held_back:
            self._buffer += self.describe(held_back).encode() + b"\n"


class PipeHandler(logbook.Handler):
    """Handler of the logging library that writes lines to a :class:`LogPipe`.

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
