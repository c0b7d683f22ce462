"""Output functions and exit codes of the operators' command."""

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
    """Success."""
    FAULTS = 1
    """The input is invalid, or a check failed; nothing was written."""
    ARGUMENTS = 2
    """The arguments are invalid; nothing was written."""
    CHANGED = 3
    """The record was changed by someone else in the meantime; nothing was written."""
    UNAVAILABLE = 4
    """The platform does not answer; nothing was written."""
    UNKNOWN = 5
    """The change may or may not have been accepted."""
    INCOMPLETE = 6
    """The platform or a process did not answer; its part is missing from the output."""
    NOT_FOUND = 7
    """There is no such record, or no log line about the request."""


def print_table(header: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print a header and rows in aligned columns."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print(line.rstrip())


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2))


def print_error(text: object) -> None:
    """Print a line to standard error."""
    print(text, file=sys.stderr)


def format_time(seconds: float) -> str:
    """Format seconds since the epoch as a UTC time.

    Examples
    --------
    >>> format_time(0.0)
    '1970-01-01T00:00:00Z'
    """
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
