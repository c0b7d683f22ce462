"""Runs attempts on the upstream as its places free up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import aclosing

import attrs
from result import Err

from burdockquay_coordination import OnceGuard, PlaceGrant, SlotScheduler, Work
from burdockquay_protocol import (
    PART_BODY,
    PART_END,
    PART_HEAD,
    PART_TOKEN,
    AnswerEnd,
    AnswerHead,
    ErrorKind,
    Failed,
    Frame,
    Grant,
    NotRun,
    Run,
    encode_part,
)

from ._answer_store import AnswerCollector
from ._clock import Clock
from ._engine_client import engine_request_id
from ._events import Event, describe_fault, log_event
from ._peer import PeerConnection
from ._upstream import AnswerPart, BodyPiece, Token, UpstreamClient, UpstreamError
from ._upstream_health import PaceMeter, UpstreamHealth

OUTCOME_GRACE_S = 30.0
"""How long past its deadline a claimed request may still bring its outcome, seconds."""


FINISH_POLL_S = 0.01
"""Time between two looks at what is still held during a shutdown, seconds."""


@attrs.define(eq=False)
class Attempt:
    """An attempt that the slot holds.

    Parameters
    ----------
    run : Run
    connection : PeerConnection
        The entry that asked for it.
    work : Work
    task : asyncio.Task or None
        Set once the attempt was started.
    sequence : int
        Number of the next frame of its answer.
    """

    run: Run
    connection: PeerConnection
    work: Work
    task: asyncio.Task | None = None
    sequence: int = 0
    sent_at: float = 0.0
    token_at: float = 0.0
    was_paused: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Request id and number of the attempt."""
        return (self.run.request, self.run.attempt)

    def post_part(self, part: int, data: bytes) -> None:
        """Send the next frame of the answer."""
        frame = Frame(self.run.request, self.run.attempt, self.sequence, part, data)
        self.sequence += 1
        self.connection.post_frame(frame)

    def post_not_run(self, kind: ErrorKind, detail: str = "") -> None:
        """Tell the entry that the attempt did not run and never will."""
        self.connection.post(NotRun(self.run.request, self.run.attempt, kind, detail))

    def post_failed(self, kind: ErrorKind, detail: str, crashed: bool = False) -> None:
        """Tell the entry that the attempt failed after it was sent upstream."""
        self.connection.post(Failed(self.run.request, self.run.attempt, kind, detail, crashed))


class SlotRunner:
    """Starts, pauses, resumes and ends attempts as the scheduler decides.

    Parameters
    ----------
    scheduler : SlotScheduler
    client : UpstreamClient
    guard : OnceGuard
        Claims of non-idempotent requests.
    clock : Clock
    find_priority : callable
        From the name of a class to its priority.
    send_grant : callable
        Called with each :class:`PlaceGrant`.
    on_change : callable
        Called without arguments when the counts changed.
    """

    def __init__(
        self,
        scheduler: SlotScheduler,
        client: UpstreamClient,
        guard: OnceGuard,
        clock: Clock,
        find_priority: Callable[[str], int],
        send_grant: Callable[[PlaceGrant, Grant], None],
        on_change: Callable[[], None],
    ):
        self.scheduler = scheduler
        self.client = client
        self.guard = guard
        self.clock = clock
        self.find_priority = find_priority
        self.send_grant = send_grant
        self.on_change = on_change
        self.pace = PaceMeter()
        self.health: UpstreamHealth | None = None
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._controls: set[asyncio.Task] = set()
        self._steps = (self._pause_one, self._start_one, self._resume_one, self._grant_one)

    @property
    def held(self) -> int:
        """Attempts that the slot holds, queued ones included."""
        return len(self._attempts)

    def silence_s(self, now: float) -> float:
        """Return the time since the latest token of any answer that is under way, seconds.

        Answers that have not begun do not count: the upstream may be reading their prompts.
        """
        begun = [
            attempt.token_at
            for attempt in self._attempts.values()
            if attempt.token_at > attempt.sent_at and not attempt.was_paused
        ]
        return now - max(begun) if begun else 0.0

    def accept(self, connection: PeerConnection, run: Run, now: float) -> None:
        """Take an attempt or refuse it."""
        work = Work(
            run.request,
            run.attempt,
            connection.peer.incarnation,
            run.organisation,
            run.class_name,
            run.digest,
            now + run.deadline_s,
            run.apart,
        )
        attempt = Attempt(run, connection, work)
        if attempt.key in self._attempts:
            # No answer: "not run" would be untrue of the attempt that is held.
            log_event(Event.PEER_OUT_OF_ORDER, vm=connection.peer.vm, detail="attempt sent twice")
            return
        offered = self.scheduler.offer(work, run.grant, now)
        if isinstance(offered, Err):
            attempt.post_not_run(offered.err())
            return
        self._attempts[attempt.key] = attempt
        self.fill_places(now)

    def fill_places(self, now: float) -> None:
        """Do all that the scheduler allows at this moment."""
        # What one step does can open the way for another, so the steps go round until none acts.
        while any(step(now) for step in self._steps):
            continue
        self.on_change()

    def _pause_one(self, now: float) -> bool:
        victim = self.scheduler.next_pause(now)
        if victim is None:
            return False
        log_event(Event.REQUEST_PAUSED, request=victim.request, class_name=victim.class_name)
        self._attempts[victim.request, victim.attempt].was_paused = True
        self._control(self.client.pause(engine_request_id(victim)))
        return True

    def _start_one(self, now: float) -> bool:
        work = self.scheduler.next_start(now)
        if work is None:
            return False
        attempt = self._attempts[work.request, work.attempt]
        attempt.task = asyncio.create_task(self._run(attempt))
        # Not at the end of the task's own code: a task that is cancelled before its first step
        # runs none of it, and its place would stay taken for ever.
        attempt.task.add_done_callback(lambda _: self._ended(attempt))
        return True

    def _resume_one(self, now: float) -> bool:
        work = self.scheduler.next_resume(now)
        if work is None:
            return False
        log_event(Event.REQUEST_RESUMED, request=work.request, class_name=work.class_name)
        self._control(self.client.resume(engine_request_id(work)))
        return True

    def _grant_one(self, now: float) -> bool:
        place = self.scheduler.next_grant(now)
        if place is None:
            return False
        valid_s = max(0.0, place.expires_at - now)
        self.send_grant(place, Grant(place.grant, place.class_name, valid_s))
        return True

    def expire(self, now: float) -> None:
        """Refuse queued work that has waited too long, and let grants lapse."""
        for work in self.scheduler.expire(now):
            attempt = self._attempts.pop((work.request, work.attempt), None)
            if attempt is None:
                continue
            late = now >= work.deadline
            kind = ErrorKind.DEADLINE_EXCEEDED if late else ErrorKind.PATIENCE_EXCEEDED
            attempt.post_not_run(kind)
        self.fill_places(now)

    def cancel(self, request: str, attempt_number: int, now: float) -> None:
        """Stop an attempt that nobody waits for.

        A claimed request is left to run: its effect may have happened, and a repeat of its key
        can only be answered if its outcome is written down.
        """
        attempt = self._attempts.get((request, attempt_number))
        if attempt is None:
            return
        if attempt.task is None:
            self._forget(attempt, now)
        elif attempt.run.idempotent:
            attempt.task.cancel()

    def drop_peer(self, peer: str, now: float) -> None:
        """Stop what a lost entry had asked for."""
        for work in self.scheduler.forget_peer(peer, now):
            self.cancel(work.request, work.attempt, now)
        self.fill_places(now)

    async def finish_all(self) -> None:
        """Wait until nothing is held any more."""
        while self._attempts:
            await asyncio.sleep(FINISH_POLL_S)

    def cut_all(self, reason: str, now: float) -> None:
        """End everything at the limit of the shutdown and tell the truth about it."""
        for attempt in list(self._attempts.values()):
            if attempt.task is None:
                attempt.post_not_run(ErrorKind.LEAVING, reason)
                self._forget(attempt, now)
            else:
                attempt.post_failed(ErrorKind.UPSTREAM_FAILED, reason)
                attempt.task.cancel()

    def _forget(self, attempt: Attempt, now: float) -> None:
        self._attempts.pop(attempt.key, None)
        self.scheduler.finish(attempt.run.request, attempt.run.attempt, now)

    def _control(self, call) -> None:
        task = asyncio.create_task(call)
        self._controls.add(task)
        task.add_done_callback(self._controls.discard)

    async def _run(self, attempt: Attempt) -> None:
        try:
            if attempt.run.idempotent:
                await self._run_idempotent(attempt)
            else:
                await self._run_once(attempt)
        except asyncio.CancelledError:
            self._control(self.client.cancel(engine_request_id(attempt.run)))
        except Exception as error:  # noqa: BLE001
            # A fault in this code must not leave the caller waiting for ever.
            log_event(Event.INTERNAL_ERROR, where="slot attempt", error=describe_fault(error))
            attempt.post_failed(ErrorKind.INTERNAL, type(error).__name__)

    def _ended(self, attempt: Attempt) -> None:
        now = self.clock.now()
        self._forget(attempt, now)
        self.fill_places(now)

    async def _run_idempotent(self, attempt: Attempt) -> None:
        remaining = attempt.work.deadline - self.clock.now()
        try:
            async with asyncio.timeout(remaining):
                await self._relay(attempt, None)
        except TimeoutError:
            attempt.post_failed(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while it ran")
            self._control(self.client.cancel(engine_request_id(attempt.run)))
        except UpstreamError as error:
            self._report(attempt, error)

    async def _run_once(self, attempt: Attempt) -> None:
        begun = await self.guard.begin(attempt.run, self.clock.wall)
        if isinstance(begun, Err):
            log_event(Event.CLAIM_REFUSED, request=attempt.run.request, kind=begun.err().kind.value)
            attempt.connection.post(begun.err())
            return
        claim = begun.ok()
        collector = AnswerCollector()
        remaining = attempt.work.deadline - self.clock.now() + OUTCOME_GRACE_S
        try:
            async with asyncio.timeout(remaining):
                await self._relay(attempt, collector)
        except TimeoutError:
            log_event(Event.CLAIM_OUTCOME_UNKNOWN, request=attempt.run.request)
            attempt.post_failed(ErrorKind.OUTCOME_UNKNOWN, "the upstream did not answer in time")
            return
        except UpstreamError as error:
            if not error.sent:
                await self.guard.abandon(claim)
            self._report(attempt, error)
            return
        await self.guard.finish(claim, collector.answer())

    def _report(self, attempt: Attempt, error: UpstreamError) -> None:
        if error.crashed:
            self.health.answer_broke(self.scheduler.running(self.clock.now()), self.clock.now())
        elif error.kind is ErrorKind.NO_UPSTREAM:
            self.health.suspect()
        if error.sent:
            attempt.post_failed(error.kind, error.detail, error.crashed)
        else:
            attempt.post_not_run(error.kind, error.detail)

    async def _relay(self, attempt: Attempt, collector: AnswerCollector | None) -> None:
        attempt.sent_at = attempt.token_at = self.clock.now()
        priority = self.find_priority(attempt.run.class_name)
        async with aclosing(self.client.call(attempt.run, priority)) as parts:
            async for part in parts:
                self._pass_on(attempt, part)
                if collector is not None:
                    collector.add(part)

    def _pass_on(self, attempt: Attempt, part: AnswerPart) -> None:
        if isinstance(part, Token):
            self._count_token(attempt, part)
            attempt.post_part(PART_TOKEN, part.text.encode())
        elif isinstance(part, BodyPiece):
            attempt.post_part(PART_BODY, part.data)
        elif isinstance(part, AnswerHead):
            attempt.post_part(PART_HEAD, encode_part(part))
        elif isinstance(part, AnswerEnd):
            attempt.post_part(PART_END, encode_part(part))

    def _count_token(self, attempt: Attempt, token: Token) -> None:
        now = self.clock.now()
        if attempt.token_at == attempt.sent_at:
            self.pace.add_first_token(now - attempt.sent_at, now)
        elif not attempt.was_paused:
            self.pace.add_step(now - attempt.token_at, now)
        attempt.was_paused = False
        attempt.token_at = now
        self.scheduler.charge(attempt.run.request, attempt.run.attempt, token.count, now)
