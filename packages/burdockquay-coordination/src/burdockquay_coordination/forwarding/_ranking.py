"""An order of processes on which all agree without speaking of it."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank_processes(purpose: str, incarnations: Iterable[str]) -> list[str]:
    """Return processes in the order in which they take on a task.

    Parameters
    ----------
    purpose : str
        Names the task. Each has its own order, so that the work is spread.
    incarnations : iterable of str

    Notes
    -----
    Processes that know the same members choose the same ones. The loss of a process moves only
    those behind it.

    Examples
    --------
    >>> first = rank_processes("polling", ["a", "b", "c"])[0]
    >>> first == rank_processes("polling", ["c", "b", "a", "d"])[0] or "d"
    True
    """
    return sorted(incarnations, key=lambda name: _digest(purpose, name))


def _digest(purpose: str, incarnation: str) -> bytes:
    return hashlib.blake2b(f"{purpose}\0{incarnation}".encode(), digest_size=8).digest()
