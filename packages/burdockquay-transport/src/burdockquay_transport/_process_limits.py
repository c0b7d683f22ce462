"""Default limits for callers, from what the machine gives the process."""

from __future__ import annotations

import math
import re
from pathlib import Path

from burdockquay_coordination import CallerTerms

from ._settings import EntrySettings

MAX_CONNECTIONS = 1 << 20

MEMORY_SHARE = 1 / 6
"""Share of the machine's memory for the requests and answers that callers hold."""

MAX_HELD_BYTES = 64 << 20
"""Limit on that, bytes; one event loop serves no more callers at a time that need so much."""

MIN_HELD_BYTES = 4 << 20
_FALLBACK_MEMORY_BYTES = 256 << 20

MEMORY_INFO = Path("/proc/meminfo")


def default_held_bytes(memory_bytes: int) -> int:
    """Return the limit on the bytes that callers' connections hold together.

    Examples
    --------
    >>> default_held_bytes(150 << 20) >> 20, default_held_bytes(24 << 30) >> 20
    (25, 64)
    """
    return max(MIN_HELD_BYTES, min(MAX_HELD_BYTES, int(memory_bytes * MEMORY_SHARE)))


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
        max_connections=MAX_CONNECTIONS,
        max_held_bytes=settings.max_caller_bytes or default_held_bytes(memory_bytes),
        max_head_bytes=settings.max_head_bytes,
        max_body_bytes=settings.max_body_bytes,
        head_timeout_s=math.inf,
        idle_timeout_s=3600.0,
        answer_timeout_s=settings.answer_timeout_s,
    )
