"""The command ``burdockquay explain``."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from pathlib import Path

from ._explain import count_failures, format_line, read_lines, tell_story
from ._output import ExitCode


def read_texts(files: Sequence[Path]) -> list[str] | None:
    """Return the lines of files, or of standard input if there are none.

    None if one cannot be read, which is told on standard error.
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
    """Tell what happened to one request, from the logs of all processes.

    Lines marked with a star are the request's own; the others tell what changed around it for the
    process that served it. Times count from the first line of the request.

    Parameters
    ----------
    request
        Id of the request.
    files
        Logs of forwarders; standard input if there are none.
    """
    texts = read_texts(files)
    if texts is None:
        return ExitCode.ARGUMENTS
    lines = list(read_lines(texts))
    story = tell_story(lines, request)
    if not story:
        print(f"no line of {len(lines)} is about request {request}", file=sys.stderr)
        return ExitCode.NOT_FOUND
    start = next(line.time for line in story if line.request == request)
    for line in story:
        print(format_line(line, start, request))
    for upstream, count in sorted(count_failures(lines, story).items()):
        print(f"  in this time {count} other sends failed at {upstream}")
    return ExitCode.DONE
