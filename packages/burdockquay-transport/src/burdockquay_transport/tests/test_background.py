"""Tests of the tasks that run for the lifetime of a process."""

import asyncio

from burdockquay_transport._background import BackgroundTasks


async def fail():
    raise ValueError("some text of a caller")


async def test_task_that_ends_by_an_exception_is_shown():
    """A task that has ended would show only in a line of the log."""
    failed = []
    tasks = BackgroundTasks(failed.append)
    tasks.supervise("sound", asyncio.Event().wait)
    tasks.supervise("broken", fail)
    while not failed:
        await asyncio.sleep(0)
    described = tasks.describe()
    await tasks.close()
    assert failed == ["broken"]
    assert described == {
        "sound": {"running": True, "failures": 0},
        "broken": {"running": False, "failures": 1},
    }
