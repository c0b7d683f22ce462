"""Keeps the refused prompt parts of a process in the platform's table."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from result import Err, Result

from burdockquay_coordination import PartStore
from burdockquay_protocol import PartEvidence

from ._events import Event, log_event
from ._part_suspicions import PartSuspicions

ATTEMPTS = 15
"""Attempts to write a row; a part whose requests come is written again after as many seconds."""

RETRY_PAUSE_S = 1.0
"""Pause between two attempts, seconds."""

MAX_RETRY_PAUSE_S = 4.0
"""Longest pause between two attempts to read the rows, seconds."""


class PartKeeper:
    """Writes what a process refuses to the table, and reads what others have written.

    Parameters
    ----------
    parts : PartSuspicions
    store : PartStore
    wall : callable
        Returns the time of day, seconds.
    spawn : callable
        Runs a coroutine in the background.
    """

    def __init__(
        self,
        parts: PartSuspicions,
        store: PartStore,
        wall: Callable[[], float],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ):
        self.parts = parts
        self.store = store
        self.wall = wall
        self.spawn = spawn
        parts.on_refused = lambda report: spawn(self._save(report))
        parts.on_cleared = lambda part: spawn(self._remove(part))

    async def load(self) -> None:
        """Merge what the table holds from before the start of this process.

        While the table is away, the process serves by what it finds itself and what peers tell it.
        """
        if not await self._try_load():
            self.spawn(self._load_later())

    async def _try_load(self) -> bool:
        loaded = await self.store.load(self.wall())
        if isinstance(loaded, Err):
            log_event(Event.PARTS_NOT_KEPT, detail=loaded.err().detail)
            return False
        self.parts.receive(loaded.ok())
        return True

    async def _load_later(self) -> None:
        """Load the rows once the table is there again."""
        pause_s = RETRY_PAUSE_S
        await asyncio.sleep(pause_s)
        while not await self._try_load():
            pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)
            await asyncio.sleep(pause_s)

    async def _save(self, report: PartEvidence) -> None:
        await _try_often(lambda: self.store.save(report, self.wall()))

    async def _remove(self, part: str) -> None:
        await _try_often(lambda: self.store.remove(part))


async def _try_often(write: Callable[[], Awaitable[Result]]) -> None:
    for _ in range(ATTEMPTS):
        written = await write()
        if not isinstance(written, Err):
            return
        log_event(Event.PARTS_NOT_KEPT, detail=written.err().detail)
        await asyncio.sleep(RETRY_PAUSE_S)
