"""The sub-command ``burdockquay explain``."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from ._explain import collect_timeline, count_failures, describe_cold_wait, format_line, read_lines
from ._output import ExitCode


def read_texts(files: Sequence[Path]) -> list[str] | None:
    """Return the lines of files, or of standard input if no files are given.

    Prints an error and returns None if a file cannot be read.
    """
    if not files:
        return sys.stdin.read().splitlines()
    texts: list[str] = []
    for file in files:
        try:
            texts += file.read_text(errors="replace").splitlines()
        except OSError as error:
            print(f"{file}: cannot be read: {error.strerror or error}", file=sys.stderr)
            return None
    return texts


def explain(request: str, *files: Path) -> int:
    """Show what happened to one request, from the logs of all processes.

    Lines marked with an asterisk belong to the request; the others are events of the process that
    served it which may have affected the request. Times are relative to the first line of the
    request.

    Parameters
    ----------
    request
        Id of the request.
    files
        Logs of forwarders, entries or slots; defaults to standard input.
    """
    texts = read_texts(files)
    if texts is None:
        return ExitCode.ARGUMENTS
    lines = list(read_lines(texts))
    timeline = collect_timeline(lines, request)
    if not timeline:
        print(f"none of {len(lines)} log lines is about request {request}", file=sys.stderr)
        return ExitCode.NOT_FOUND
    start = next(line.time for line in timeline if line.request == request)
    for line in timeline:
        print(format_line(line, start, request))
    cold_wait = describe_cold_wait(timeline, request)
    if cold_wait is not None:
        print(f"  {cold_wait}")
    for upstream, count in sorted(count_failures(lines, timeline).items()):
        print(f"  meanwhile {count} other sends failed at {upstream}")
    return ExitCode.DONE
