"""Tests of the tasks that run for the lifetime of a process."""

import asyncio
import random

import pytest

from burdockquay_coordination import _task_restarts
from burdockquay_transport._background import BackgroundTasks


@pytest.fixture
def make_tasks(monkeypatch):
    """Return background tasks that are begun again without a pause."""
    monkeypatch.setattr(_task_restarts, "FIRST_PAUSE_S", 0.0)
    now = [0.0]
    changes = []
    tasks = BackgroundTasks(lambda: now[0], random.Random(1), changes.append)
    tasks.now_cell, tasks.changes = now, changes
    return tasks


class Work:
    """Stub of a task that fails some times before it runs."""

    def __init__(self, failures, error=ValueError):
        self.failures = failures
        self.error = error
        self.running = asyncio.Event()

    async def run(self):
        """Fail, or run until cancelled."""
        if self.failures:
            self.failures -= 1
            raise self.error("some text of a caller")
        self.running.set()
        await asyncio.Event().wait()


@pytest.mark.parametrize("error", [ValueError, asyncio.CancelledError])
async def test_task_that_ends_by_an_exception_is_begun_again(make_tasks, error):
    """A task that has ended stays ended; if something that it awaits was cancelled, unlogged."""
    sound, broken = Work(0), Work(2, error)
    make_tasks.supervise("sound", sound.run)
    make_tasks.supervise("broken", broken.run)
    async with asyncio.timeout(10):
        await broken.running.wait()
        await sound.running.wait()
    described = make_tasks.describe()
    await make_tasks.close()
    assert described == {
        "sound": {"running": True, "failures": 0},
        "broken": {"running": True, "failures": 2},
    }


async def test_task_that_fails_again_and_again_is_shown_until_it_runs_steadily(make_tasks):
    """A process that serves by old data would be taken for one that is up to date."""
    broken = Work(3)
    make_tasks.supervise("broken", broken.run)
    assert not make_tasks.is_failing(["broken"])
    async with asyncio.timeout(10):
        await broken.running.wait()
    assert make_tasks.is_failing(["broken", "other"])
    make_tasks.now_cell[0] += _task_restarts.STEADY_S
    assert not make_tasks.is_failing(["broken"])
    await make_tasks.close()


async def test_supervised_task_ends_when_it_is_cancelled(make_tasks):
    """A task that is begun again after a cancellation would outlive its process."""
    work = Work(0)
    task = make_tasks.supervise("work", work.run)
    await work.running.wait()
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task
    assert make_tasks.changes == []
