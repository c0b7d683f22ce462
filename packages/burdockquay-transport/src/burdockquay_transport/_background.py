"""The tasks that run as long as a process does."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from ._events import Event, describe_fault, log_event


class BackgroundTasks:
    """A set of tasks whose faults are logged and which end together."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _note_end(self, task: asyncio.Task) -> None:
        """Log a task that ended by an exception, which nobody would notice otherwise."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            where = task.get_coro().__qualname__
            log_event(Event.INTERNAL_ERROR, where=where, error=describe_fault(task.exception()))
