"""An order of processes that is the same at all of them without messages."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def rank_processes(purpose: str, incarnations: Iterable[str]) -> list[str]:
    """Return processes in order of preference for a task.

    Parameters
    ----------
    purpose : str
        Name of the task. Each task has its own order, so that the work is spread.
    incarnations : iterable of str

    Notes
    -----
    Processes that know the same members choose the same ones. The removal of a process moves only
    those after it.

    Examples
    --------
    >>> first = rank_processes("polling", ["a", "b", "c"])[0]
    >>> first == rank_processes("polling", ["c", "b", "a", "d"])[0] or "d"
    True
    """
    return sorted(incarnations, key=lambda name: _digest(purpose, name))


def _digest(purpose: str, incarnation: str) -> bytes:
    return hashlib.blake2b(f"{purpose}\0{incarnation}".encode(), digest_size=8).digest()
