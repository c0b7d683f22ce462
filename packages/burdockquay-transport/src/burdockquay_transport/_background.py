"""Tasks that run for the lifetime of a process."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

import attrs

from burdockquay_coordination import STEADY_S, TaskRestarts

from ._events import Event, describe_fault, log_event

Begin = Callable[[], Coroutine[Any, Any, None]]
"""Function that returns the coroutine of a task."""


@attrs.define
class NamedTask:
    """A task on which other parts of the process rely.

    Parameters
    ----------
    name : str
    restarts : TaskRestarts
    peer : str or None
        VM of the one peer that it serves.
    is_running : bool
        Whether it runs, or has ended without an exception; otherwise it is begun again later.
    """

    name: str
    restarts: TaskRestarts
    peer: str | None = None
    is_running: bool = True


class BackgroundTasks:
    """Set of tasks whose exceptions are logged and which are cancelled together.

    Parameters
    ----------
    now : callable
        Returns the time on the clock of the process, seconds.
    rng : random.Random
        Jitter of the restarts.
    on_change : callable
        Called with the name of a task that has ended by an exception or is begun again.
    """

    def __init__(
        self,
        now: Callable[[], float],
        rng: random.Random,
        on_change: Callable[[NamedTask], None] = lambda task: None,
    ):
        self.now = now
        self.rng = rng
        self.on_change = on_change
        self._tasks: set[asyncio.Task] = set()
        self._named: dict[str, NamedTask] = {}

    @property
    def named(self) -> tuple[NamedTask, ...]:
        """Tasks that were started under a name."""
        return tuple(self._named.values())

    def describe(self) -> dict[str, dict[str, object]]:
        """Return what ``/status`` shows of the named tasks."""
        return {
            item.name: {"running": item.is_running, "failures": item.restarts.failures}
            for item in self._named.values()
        }

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Start a task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def supervise(self, name: str, begin: Begin, peer: str | None = None) -> asyncio.Task:
        """Start a task on which other parts of the process rely, and begin it again if it fails.

        Parameters
        ----------
        name : str
        begin : callable
            Returns the coroutine, which starts without any state of a former run.
        peer : str or None
            VM of the one peer that the task serves; such tasks, which are many, are not listed.

        Returns
        -------
        asyncio.Task
            It ends when a run ends without an exception, or when it is cancelled.
        """
        item = NamedTask(name, TaskRestarts(self.rng), peer)
        if peer is None:
            self._named[name] = item
        return self.spawn(self._keep_running(item, begin))

    def is_failing(self, names: Iterable[str]) -> bool:
        """Return whether one of these tasks has failed repeatedly without progress since."""
        now = self.now()
        return any(
            self._named[name].restarts.is_failing(now) for name in names if name in self._named
        )

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_running(self, item: NamedTask, begin: Begin) -> None:
        """Run a task until it ends without an exception, with a pause after each failure."""
        loop = asyncio.get_running_loop()
        while True:
            item.restarts.record_begin(self.now())
            steady = loop.call_later(STEADY_S, self._log_recovered, item)
            try:
                await begin()
                return
            except asyncio.CancelledError as error:
                if asyncio.current_task().cancelling():
                    raise
                # The task was not cancelled itself: something that it waited for was.
                pause_s = self._record_failure(item, error)
            except Exception as error:
                pause_s = self._record_failure(item, error)
            finally:
                steady.cancel()
            await asyncio.sleep(pause_s)
            item.is_running = True
            self.on_change(item)

    def _record_failure(self, item: NamedTask, error: BaseException) -> float:
        pause_s = item.restarts.record_failure(self.now())
        item.is_running = False
        log_event(
            Event.TASK_FAILED,
            task=item.name,
            peer=item.peer,
            failures=item.restarts.failures,
            error=describe_fault(error),
            pause_s=pause_s,
        )
        self.on_change(item)
        return pause_s

    def _log_recovered(self, item: NamedTask) -> None:
        if item.restarts.failures:
            log_event(Event.TASK_RECOVERED, task=item.name, failures=item.restarts.failures)

    def _on_task_done(self, task: asyncio.Task) -> None:
        """Log the exception of a failed task, which would otherwise go unnoticed."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            where = task.get_coro().__qualname__
            log_event(Event.INTERNAL_ERROR, where=where, error=describe_fault(task.exception()))
