"""Readings that requests share if they arrive at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

T = TypeVar("T")

Spawn = Callable[[Coroutine[Any, Any, Any]], asyncio.Task]


class SharedRead(Generic[T]):
    """A reading of which each user gets one that began after its call.

    Parameters
    ----------
    read : callable
        Begins a reading.
    """

    def __init__(self, read: Callable[[], Coroutine[Any, Any, T]]):
        self.read = read
        self._pending: asyncio.Task[T] | None = None

    async def get(self, spawn: Spawn = asyncio.ensure_future) -> T:
        """Return a reading that began after this call.

        Users that wait for the end of the same earlier reading share the next one.
        """
        earlier = self._pending
        if earlier is not None and not earlier.done():
            await asyncio.wait([earlier])
        if self._pending is earlier or self._pending is None:
            self._pending = spawn(self.read())
        return await asyncio.shield(self._pending)
