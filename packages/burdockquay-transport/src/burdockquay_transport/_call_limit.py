"""Time limit of a call that does not count the time in which its answer is being transferred."""

from __future__ import annotations

import asyncio
from types import TracebackType

MAX_TRANSFER_S = 10.0
"""Longest time in which an answer may be transferred, seconds."""


class CallLimit:
    """Limits the time to the first byte of an answer, and then each pause between its bytes.

    The size of an answer is not known before, nor the pace of the link. A limit on the whole call
    would cut a large answer again and again.

    Parameters
    ----------
    first_s : float
        Limit on the time to the first byte, seconds.
    pause_s : float
        Limit on each pause after it, seconds.

    Raises
    ------
    TimeoutError
        From the ``async with`` block, if a limit is exceeded, or if the transfer takes longer than
        ``MAX_TRANSFER_S``.
    """

    def __init__(self, first_s: float, pause_s: float):
        self.first_s = first_s
        self.pause_s = pause_s
        self._timeout: asyncio.Timeout | None = None
        self._ends_at: float | None = None

    async def __aenter__(self) -> CallLimit:
        self._timeout = asyncio.timeout(self.first_s)
        await self._timeout.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        return await self._timeout.__aexit__(kind, error, traceback)

    def record_progress(self) -> None:
        """Record that bytes of the answer have arrived."""
        now = asyncio.get_running_loop().time()
        if self._ends_at is None:
            self._ends_at = now + MAX_TRANSFER_S
        if not self._timeout.expired():
            self._timeout.reschedule(min(now + self.pause_s, self._ends_at))
