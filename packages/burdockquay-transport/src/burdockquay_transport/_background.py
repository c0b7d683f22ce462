"""Tasks that run for the lifetime of a process."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from ._events import Event, describe_fault, log_event


class BackgroundTasks:
    """Set of tasks whose exceptions are logged and which are cancelled together."""

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Log the exception of a failed task, which would otherwise go unnoticed."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            where = task.get_coro().__qualname__
            log_event(Event.INTERNAL_ERROR, where=where, error=describe_fault(task.exception()))
