"""Default limits for callers, from what the machine gives the process."""

from __future__ import annotations

import re
import resource
from pathlib import Path

from burdockquay_coordination import CallerTerms

from ._settings import EntrySettings

RESERVED_DESCRIPTORS = 512
"""Descriptors for files, peers, status, the platform's store and its duties."""

DESCRIPTORS_PER_CALLER = 2
"""A caller's connection, and the one to the upstream that serves its request."""

MEMORY_SHARE = 1 / 6
"""Share of the machine's memory for the requests and answers that callers hold."""

MAX_HELD_BYTES = 64 << 20
"""Limit on that, bytes; one event loop serves no more callers at a time that need so much."""

SOCKET_SHARE = 1 / 4
"""Share of the machine's memory for what the kernel has received for callers' connections."""

SOCKET_BYTES = 64 << 10
"""Bytes that the kernel may have received on one connection and that were not read."""

MIN_CONNECTIONS = 16
MIN_HELD_BYTES = 4 << 20
_FALLBACK_MEMORY_BYTES = 256 << 20

MEMORY_INFO = Path("/proc/meminfo")


def default_connections(descriptors: int, memory_bytes: int) -> int:
    """Return the limit on connections of callers.

    Parameters
    ----------
    descriptors : int
        That the process may open.
    memory_bytes : int
        Memory of the machine.

    Examples
    --------
    >>> default_connections(600, 300 << 20), default_connections(4100, 150 << 20)
    (150, 600)
    """
    reserved = min(RESERVED_DESCRIPTORS, descriptors // 2)
    by_descriptors = (descriptors - reserved) // DESCRIPTORS_PER_CALLER
    by_memory = int(memory_bytes * SOCKET_SHARE) // SOCKET_BYTES
    return max(MIN_CONNECTIONS, min(by_descriptors, by_memory))


def default_held_bytes(memory_bytes: int) -> int:
    """Return the limit on the bytes that callers' connections hold together.

    Examples
    --------
    >>> default_held_bytes(150 << 20) >> 20, default_held_bytes(24 << 30) >> 20
    (25, 64)
    """
    return max(MIN_HELD_BYTES, min(MAX_HELD_BYTES, int(memory_bytes * MEMORY_SHARE)))


def read_descriptors() -> int:
    """Return the number of descriptors that the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else 1 << 20


def read_memory_bytes() -> int:
    """Return the memory of the machine, bytes; a small one if it is not known."""
    try:
        found = re.search(r"^MemTotal:\s+(\d+) kB", MEMORY_INFO.read_text(), re.MULTILINE)
    except OSError:
        found = None
    return int(found.group(1)) << 10 if found else _FALLBACK_MEMORY_BYTES


def make_caller_terms(settings: EntrySettings) -> CallerTerms:
    """Return the limits on the connections of an entry's callers."""
    memory_bytes = read_memory_bytes()
    return CallerTerms(
        max_connections=settings.max_caller_connections
        or default_connections(read_descriptors(), memory_bytes),
        max_held_bytes=settings.max_caller_bytes or default_held_bytes(memory_bytes),
        max_head_bytes=settings.max_head_bytes,
        max_body_bytes=settings.max_body_bytes,
        head_timeout_s=settings.head_timeout_s,
        idle_timeout_s=settings.idle_timeout_s,
        answer_timeout_s=settings.answer_timeout_s,
    )
