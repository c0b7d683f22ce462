"""The command ``burdockquay losses``."""

from __future__ import annotations

import sys
from pathlib import Path

from ._explain import read_lines
from ._explain_command import read_texts
from ._losses import count_losses, count_moments, read_ended
from ._output import ExitCode


def losses(*files: Path, span_s: float = 2.0) -> int:
    """Tell by route and cause which requests were late or failed, and when.

    The ids in the last column are examples for ``burdockquay explain``.

    Parameters
    ----------
    files
        Logs of forwarders; standard input if there are none.
    span_s
        Length of the spans of time that the second table counts, seconds.
    """
    texts = read_texts(files)
    if texts is None:
        return ExitCode.ARGUMENTS
    if span_s <= 0:
        print("span-s: expected more than 0", file=sys.stderr)
        return ExitCode.ARGUMENTS
    ended = read_ended(read_lines(texts))
    if not ended:
        print("no line tells how a request ended", file=sys.stderr)
        return ExitCode.NOT_FOUND
    print(f"{'route':20} {'cause':22} {'requests':>8} {'share':>6}  examples")
    for row in count_losses(ended):
        examples = " ".join(row.examples)
        print(f"{row.route:20} {row.cause:22} {row.count:8} {row.share:6.3f}  {examples}")
    print()
    print(f"{'from second':>11} {'requests':>8} {'in time':>7}  most others were")
    for moment in count_moments(ended, span_s):
        figures = f"{moment.start_s:11.1f} {moment.count:8} {moment.in_time:7.3f}"
        print(f"{figures}  {moment.worst}".rstrip())
    return ExitCode.DONE
