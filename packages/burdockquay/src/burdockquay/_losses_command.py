"""The sub-command ``burdockquay losses``."""

from __future__ import annotations

import sys
from pathlib import Path

from ._explain import read_lines
from ._explain_command import read_texts
from ._losses import count_losses, read_ended_requests, summarize_spans
from ._output import ExitCode


def losses(*files: Path, span_s: float = 2.0) -> int:
    """Count late and failed requests by route and cause, and by time.

    The ids in the last column are examples that can be passed to ``burdockquay explain``.

    Parameters
    ----------
    files
        Logs of forwarders; defaults to standard input.
    span_s
        Length of the time spans in the second table, seconds.
    """
    texts = read_texts(files)
    if texts is None:
        return ExitCode.ARGUMENTS
    if span_s <= 0:
        print("span-s: expected more than 0", file=sys.stderr)
        return ExitCode.ARGUMENTS
    ended = read_ended_requests(read_lines(texts))
    if not ended:
        print("no log line reports the end of a request", file=sys.stderr)
        return ExitCode.NOT_FOUND
    print(f"{'route':20} {'cause':22} {'requests':>8} {'share':>6}  examples")
    for row in count_losses(ended):
        examples = " ".join(row.examples)
        print(f"{row.route:20} {row.cause:22} {row.count:8} {row.share:6.3f}  {examples}")
    print()
    print(f"{'from second':>11} {'requests':>8} {'in time':>7}  main cause of others")
    for summary in summarize_spans(ended, span_s):
        figures = f"{summary.start_s:11.1f} {summary.count:8} {summary.in_time:7.3f}"
        print(f"{figures}  {summary.worst}".rstrip())
    return ExitCode.DONE
