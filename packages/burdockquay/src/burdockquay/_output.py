"""What the operators' command prints, and its exit codes."""

from __future__ import annotations

import enum
import json
import sys
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes of ``burdockquay``."""

    DONE = 0
    """All went well."""
    FAULTS = 1
    """The input is faulty, or a check failed; nothing was written."""
    ARGUMENTS = 2
    """The arguments are faulty; nothing was written."""
    CHANGED = 3
    """Somebody else changed the record first; nothing was written."""
    UNAVAILABLE = 4
    """The platform does not answer; nothing was written."""
    UNKNOWN = 5
    """The change may have been accepted or not."""
    INCOMPLETE = 6
    """Some process did not answer; what is shown lacks its part."""
    NOT_FOUND = 7
    """There is no such record, or no log line of the request."""


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows under a header, in columns."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip())


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2))


def print_error(text: object) -> None:
    """Print a line to the standard error."""
    print(text, file=sys.stderr)


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as UTC text.

    Examples
    --------
    >>> format_time(0.0)
    '1970-01-01T00:00:00Z'
    """
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
