"""Writing of claim outcomes, with retries while the table is unavailable."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import ClassVar

import attrs
from result import Result

from burdockquay_state import (
    Claim,
    ClaimRequest,
    ClaimStore,
    Constraint,
    Interval,
    StoredAnswer,
    TableError,
    TableErrorKind,
    check_parameters,
)

_FINAL_KINDS = {TableErrorKind.CONFLICT, TableErrorKind.INVALID}
"""Error kinds for which a retry cannot succeed."""


@attrs.frozen(eq=False)
class _Job:
    """A pending write, and the bytes that it keeps in memory."""

    size: int
    run: Callable[[float], Awaitable[Result[None, TableError]]]


class OutcomeWriter:
    """Writes the outcomes of claims, and retries while the table is unavailable.

    Parameters
    ----------
    claims : ClaimStore
    clock : callable
        Returns the time in seconds since the epoch.
    max_jobs : int
        Number of pending outcomes at which no new claims are made.
    max_bytes : int
        Bytes of pending answers at which no new claims are made.
    retry_s : float
        Interval between two attempts while the table is unavailable, seconds.

    Attributes
    ----------
    retries : int
        Number of retried writes.
    lost : int
        Number of outcomes that the table rejected permanently.

    Notes
    -----
    While the table is unavailable, a request that has run leaves its row in state running, and each
    repeat of the key gets the answer that the outcome is unknown. If the outcome were dropped, that
    would never change. Memory is bounded at admission: no new request is claimed without room for
    its outcome.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "max_jobs": [Interval(int, 1)],
        "max_bytes": [Interval(int, 1)],
        "retry_s": [Interval(float, 0.0, 60.0)],
    }

    def __init__(
        self,
        claims: ClaimStore,
        clock: Callable[[], float],
        max_jobs: int = 4096,
        max_bytes: int = 1 << 26,
        retry_s: float = 0.5,
    ):
        self.claims = claims
        self.clock = clock
        self.max_jobs = max_jobs
        self.max_bytes = max_bytes
        self.retry_s = retry_s
        check_parameters(self)
        self._jobs: dict[_Job, None] = {}
        self._bytes = 0
        self._waiting: dict[_Job, None] = {}
        self._tasks: set[asyncio.Task] = set()
        self._worker: asyncio.Task | None = None
        self.retries = 0
        self.lost = 0

    @property
    def pending(self) -> int:
        """Number of outcomes that are not written yet."""
        return len(self._jobs)

    @property
    def has_room(self) -> bool:
        """Whether there is room for the outcome of one more request."""
        return len(self._jobs) < self.max_jobs and self._bytes < self.max_bytes

    async def complete(self, claim: Claim, answer: StoredAnswer) -> Result[None, TableError]:
        """Record an answer; after an error the writer keeps retrying.

        Notes
        -----
        If the calling task is cancelled while it waits, the outcome is still written.
        """
        job = _Job(len(answer.body), lambda now: self.claims.complete(claim, answer, now))
        return await asyncio.shield(self._start(job))

    async def abandon(self, claim: Claim) -> Result[None, TableError]:
        """Cancel a claim whose request certainly was not sent and never will be."""
        job = _Job(0, lambda now: self.claims.abandon(claim, now))
        return await asyncio.shield(self._start(job))

    def withdraw(self, request: ClaimRequest) -> None:
        """Cancel, in the background, a claim that may or may not have been written."""
        self._start(_Job(0, lambda now: self.claims.withdraw(request, now)))

    async def flush(self) -> None:
        """Wait until all outcomes are written; the caller sets a timeout."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def _start(self, job: _Job) -> asyncio.Task:
        self._jobs[job] = None
        self._bytes += job.size
        return self._spawn(self._try_first(job))

    def _spawn(self, work: Awaitable) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _try_first(self, job: _Job) -> Result[None, TableError]:
        result = await self._try(job)
        if job in self._jobs:
            self._waiting[job] = None
            if self._worker is None or self._worker.done():
                self._worker = self._spawn(self._work())
        return result

    async def _try(self, job: _Job) -> Result[None, TableError]:
        result = await job.run(self.clock())
        if result.is_ok() or result.err().kind in _FINAL_KINDS:
            self.lost += result.is_err()
            del self._jobs[job]
            self._bytes -= job.size
        return result

    async def _work(self) -> None:
        """Retry one outcome at a time until a write succeeds, then all others concurrently."""
        while self._waiting:
            await asyncio.sleep(self.retry_s)
            probe = next(iter(self._waiting))
            if (await self._retry(probe)).is_ok():
                await asyncio.gather(*(self._retry(job) for job in list(self._waiting)))

    async def _retry(self, job: _Job) -> Result[None, TableError]:
        self.retries += 1
        del self._waiting[job]
        result = await self._try(job)
        if job in self._jobs:
            self._waiting[job] = None
        return result
