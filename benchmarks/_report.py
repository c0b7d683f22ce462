"""Output of a benchmark: readable tables, then one JSON object as the last line."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any

import attrs


def print_table(title: str, header: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows in aligned columns."""
    cells = [list(header), *([_format(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    print(f"\n{title}")
    for row in cells:
        first, *others = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  " + "  ".join([first, *others]).rstrip())


def print_result(result: Mapping[str, Any]) -> None:
    """Print the JSON object that ends the output of a benchmark."""
    print(json.dumps(_round(result)), flush=True)


def print_load_average() -> None:
    """Print the load average; above one per processor, latencies are dominated by the machine."""
    print(f"\nLoad average {os.getloadavg()[0]:.1f} on {os.cpu_count()} processors")


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of the values; 0 if there are none.

    Examples
    --------
    >>> quantile([3.0, 1.0, 2.0], 0.5)
    2.0
    """
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _format(cell: Any) -> str:
    return f"{cell:.3f}" if isinstance(cell, float) else str(cell)


def _round(value: Any) -> Any:
    if isinstance(value, float):
        return round(value, 4)
    if isinstance(value, Mapping):
        return {key: _round(part) for key, part in value.items()}
    return value


def report_sizes(
    title: str,
    kind: type,
    outcomes: Iterable[tuple[int, Callable[[], Any]]],
    lowest: Collection[str],
) -> None:
    """Print the outcome of a simulation at several numbers of processes, and the worst figures.

    Parameters
    ----------
    title : str
    kind : type
        The attrs class of the outcomes.
    outcomes : iterable of (int, callable)
        The number of processes, and a function that returns their outcome.
    lowest : collection of str
        Figures whose lowest value is the worst; of all others it is the highest.
    """
    names = list(attrs.fields_dict(kind))
    rows, found = [], []
    for size, run in outcomes:
        begun = time.monotonic()
        found.append(run())
        rows.append((size, *attrs.astuple(found[-1]), time.monotonic() - begun))
    print_table(title, ["processes", *names, "took_s"], rows)
    print_load_average()
    worst = dict.fromkeys(names, max) | dict.fromkeys(lowest, min)
    print_result({name: worst[name](getattr(item, name) for item in found) for name in names})
