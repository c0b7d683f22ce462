"""Operating-system counters of a process: processor time, memory, socket traffic."""

from __future__ import annotations

import time
from pathlib import Path

import attrs

SECONDS_PER_NS = 1e-9


@attrs.frozen
class ProcessCounters:
    """Counters of one process at one point in time.

    Parameters
    ----------
    at_s : float
        Time of the reading on the monotonic clock, seconds.
    cpu_s : float
        Processor time of all threads, user and system, seconds.
    rss_mb : float
        Resident memory, shared pages of libraries included.
    private_mb : float
        Resident anonymous memory, which is not shared with other processes.
    bytes_read, bytes_written : int
        Bytes passed to ``read`` and ``write`` system calls. The processes use no files, so these
        are the bytes of their TCP sockets and of log lines.
    calls : int
        Number of those system calls.
    """

    at_s: float
    cpu_s: float
    rss_mb: float
    private_mb: float
    bytes_read: int
    bytes_written: int
    calls: int


def read_process(pid: int) -> ProcessCounters:
    """Return the counters of a process."""
    directory = Path(f"/proc/{pid}")
    threads = (directory / "task").iterdir()
    # The scheduler statistics have nanosecond resolution. The usual process times have 10 ms, which
    # would show an idle process as 0 % or 1 % of a core.
    cpu_s = sum(int((t / "schedstat").read_text().split()[0]) for t in threads) * SECONDS_PER_NS
    status = _fields(directory / "status")
    io = _fields(directory / "io")
    return ProcessCounters(
        time.monotonic(),
        cpu_s,
        int(status["VmRSS"].split()[0]) / 1024,
        int(status["RssAnon"].split()[0]) / 1024,
        int(io["rchar"]),
        int(io["wchar"]),
        int(io["syscr"]) + int(io["syscw"]),
    )


def _fields(path: Path) -> dict[str, str]:
    lines = (line.partition(":") for line in path.read_text().splitlines())
    return {name: value.strip() for name, _, value in lines}
