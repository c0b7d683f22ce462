"""Tasks that run for the lifetime of a process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from ._events import Event, describe_fault, log_event

Begin = Callable[[], Coroutine[Any, Any, None]]
"""Function that returns the coroutine of a task."""


@attrs.define
class NamedTask:
    """A task on which other parts of the process rely.

    Parameters
    ----------
    name : str
    is_running : bool
        Whether it runs, or has ended without an exception.
    failures : int
        How often it has ended by an exception.
    """

    name: str
    is_running: bool = True
    failures: int = 0


class BackgroundTasks:
    """Set of tasks whose exceptions are logged and which are cancelled together.

    Parameters
    ----------
    on_failed : callable
        Called with the name of a task that has ended by an exception.
    """

    def __init__(self, on_failed: Callable[[str], None] = lambda name: None):
        self.on_failed = on_failed
        self._tasks: set[asyncio.Task] = set()
        self._named: dict[str, NamedTask] = {}

    @property
    def named(self) -> tuple[NamedTask, ...]:
        """Tasks that were started under a name."""
        return tuple(self._named.values())

    def describe(self) -> dict[str, dict[str, object]]:
        """Return what ``/status`` shows of the named tasks."""
        return {
            item.name: {"running": item.is_running, "failures": item.failures}
            for item in self._named.values()
        }

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def supervise(self, name: str, begin: Begin) -> asyncio.Task:
        """Start a task on which other parts of the process rely, and record whether it runs."""
        item = self._named[name] = NamedTask(name)
        return self.spawn(self._run_named(item, begin))

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_named(self, item: NamedTask, begin: Begin) -> None:
        try:
            await begin()
        except Exception as error:
            item.is_running = False
            item.failures += 1
            log_event(
                Event.TASK_FAILED,
                task=item.name,
                failures=item.failures,
                error=describe_fault(error),
            )
            self.on_failed(item.name)

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Log the exception of a failed task, which would otherwise go unnoticed."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            where = task.get_coro().__qualname__
            log_event(Event.INTERNAL_ERROR, where=where, error=describe_fault(task.exception()))
