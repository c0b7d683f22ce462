"""Runs attempts on the upstream as its capacity allows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import aclosing

import attrs
from result import Err

from burdockquay_coordination import (
    AtMostOnceGuard,
    FinishGate,
    PlaceGrant,
    RunGate,
    SlotScheduler,
    Work,
)
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
from ._late_runs import LateRuns
from ._peer import PeerConnection
from ._upstream import AnswerPart, BodyPiece, Token, UpstreamClient, UpstreamError
from ._upstream_health import TokenLatencyMeter, UpstreamHealth

OUTCOME_GRACE_S = 30.0
"""How long past its deadline a claimed request may still end with an outcome, seconds."""

LATE_DETAIL = "it would not be finished in time"

DRAIN_POLL_INTERVAL_S = 0.01
"""Time between two checks for unfinished attempts during a shutdown, seconds."""


@attrs.define(eq=False)
class Attempt:
    """An attempt that is queued or running at the slot.

    Parameters
    ----------
    run : Run
    connection : PeerConnection
        Connection to the entry that sent it.
    work : Work
    task : asyncio.Task or None
        Set once the attempt is started.
    sequence : int
        Number of the next frame of its answer.
    """

    run: Run
    connection: PeerConnection
    work: Work
    task: asyncio.Task | None = None
    sequence: int = 0
    sent_at: float = 0.0
    last_token_at: float = 0.0
    was_paused: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Request id and number of the attempt."""
        return (self.run.request, self.run.attempt)

    @property
    def run_kind(self) -> str:
        """What its run has in common with others, for :class:`FinishGate`."""
        return self.run.class_name

    def post_part(self, part: int, data: bytes) -> None:
        """Send the next frame of the answer."""
        frame = Frame(self.run.request, self.run.attempt, self.sequence, part, data)
        self.sequence += 1
        self.connection.post_frame(frame)

    def post_not_run(self, kind: ErrorKind, detail: str = "") -> None:
        """Report to the entry that the attempt did not run and never will."""
        self.connection.post(NotRun(self.run.request, self.run.attempt, kind, detail))

    def post_failed(self, kind: ErrorKind, detail: str, crashed: bool = False) -> None:
        """Report to the entry that the attempt failed after it was sent upstream."""
        self.connection.post(Failed(self.run.request, self.run.attempt, kind, detail, crashed))


class SlotRunner:
    """Starts, pauses, resumes and ends attempts as the scheduler decides.

    Parameters
    ----------
    scheduler : SlotScheduler
    client : UpstreamClient
    guard : AtMostOnceGuard
        Claims the keys of non-idempotent requests.
    clock : Clock
    find_priority : callable
        Maps the name of a class to its priority.
    send_grant : callable
        Called with each :class:`PlaceGrant`.
    on_change : callable
        Called without arguments when the counts may have changed.
    gate : RunGate
        What the upstream has stated.
    late_runs : LateRuns
        Which attempts are started during a shutdown.
    on_unreachable : callable
        Called without arguments when no connection to the upstream could be made.
    """

    def __init__(
        self,
        scheduler: SlotScheduler,
        client: UpstreamClient,
        guard: AtMostOnceGuard,
        clock: Clock,
        find_priority: Callable[[str], int],
        send_grant: Callable[[PlaceGrant, Grant], None],
        on_change: Callable[[], None],
        gate: RunGate,
        late_runs: LateRuns,
        on_unreachable: Callable[[], None] = lambda: None,
    ):
        self.gate = gate
        self.on_unreachable = on_unreachable
        self.scheduler = scheduler
        self.client = client
        self.guard = guard
        self.clock = clock
        self.find_priority = find_priority
        self.send_grant = send_grant
        self.on_change = on_change
        self.latency = TokenLatencyMeter()
        self.late_runs = late_runs
        self.health: UpstreamHealth | None = None
        self._attempts: dict[tuple[str, int], Attempt] = {}
        self._next_start: asyncio.TimerHandle | None = None
        self._control_tasks: set[asyncio.Task] = set()
        self._steps = (self._pause_one, self._start_one, self._resume_one, self._grant_one)

    @property
    def held(self) -> int:
        """Number of attempts that are queued or running."""
        return len(self._attempts)

    @property
    def finish_gate(self) -> FinishGate:
        """Decides which attempts are started during a shutdown."""
        return self.late_runs.gate

    def token_gap_s(self, now: float) -> float:
        """Return the time since the latest token of any running answer, seconds.

        Answers without a first token do not count: the upstream may still process their prompts.
        """
        last_tokens = [
            attempt.last_token_at
            for attempt in self._attempts.values()
            if attempt.last_token_at > attempt.sent_at and not attempt.was_paused
        ]
        return now - max(last_tokens) if last_tokens else 0.0

    def accept(self, connection: PeerConnection, run: Run, now: float) -> None:
        """Accept an attempt or refuse it."""
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
            # No reply: "not run" would be false for the attempt that was accepted first.
            log_event(Event.PEER_OUT_OF_ORDER, vm=connection.peer.vm, detail="attempt sent twice")
            return
        offered = self.scheduler.offer(work, run.grant, now)
        if isinstance(offered, Err):
            attempt.post_not_run(offered.err())
            return
        self._attempts[attempt.key] = attempt
        self.run_scheduler(now)

    def run_scheduler(self, now: float) -> None:
        """Carry out all that the scheduler allows now."""
        self._refuse_unfinishable(now)
        # One step can make another possible, so they repeat until none has anything to do.
        while any(step(now) for step in self._steps):
            continue
        self.on_change()
        self._schedule_cold_start(now)

    def _schedule_cold_start(self, now: float) -> None:
        """Run the scheduler again when a cold upstream can bear the next start.

        The ticks are too coarse for that: at 20 starts a second they left a fifth of them unused.
        """
        if self._next_start is not None or not self.gate.cold_remaining_s(now):
            return
        wait_s = self.gate.start_wait_s(now)
        if wait_s > 0.0:
            loop = asyncio.get_running_loop()
            self._next_start = loop.call_later(wait_s, self._on_start_due)

    def _on_start_due(self) -> None:
        self._next_start = None
        self.run_scheduler(self.clock.now())

    def _pause_one(self, now: float) -> bool:
        victim = self.scheduler.next_pause(now)
        if victim is None:
            return False
        log_event(Event.REQUEST_PAUSED, request=victim.request, class_name=victim.class_name)
        self._attempts[victim.request, victim.attempt].was_paused = True
        self._spawn_control(self.client.pause(engine_request_id(victim)))
        return True

    def _start_one(self, now: float) -> bool:
        if not self.gate.may_start(now):
            return False
        work = self.scheduler.next_start(now)
        if work is None:
            return False
        attempt = self._attempts[work.request, work.attempt]
        if not self.late_runs.may_start(work.request, attempt.run_kind, work.deadline):
            attempt.post_not_run(ErrorKind.LEAVING, LATE_DETAIL)
            self._remove(attempt, now)
            return True
        self.gate.take(now)
        attempt.task = asyncio.create_task(self._run(attempt))
        # A done callback, since a task that is cancelled before its first step runs none of its
        # own code and would never release its capacity.
        attempt.task.add_done_callback(lambda _: self._on_task_done(attempt))
        return True

    def _resume_one(self, now: float) -> bool:
        work = self.scheduler.next_resume(now)
        if work is None:
            return False
        log_event(Event.REQUEST_RESUMED, request=work.request, class_name=work.class_name)
        self._spawn_control(self.client.resume(engine_request_id(work)))
        return True

    def _grant_one(self, now: float) -> bool:
        if not self._may_grant(now):
            return False
        place = self.scheduler.next_grant(now)
        if place is None:
            return False
        valid_s = max(0.0, place.expires_at - now)
        self.send_grant(place, Grant(place.grant, place.class_name, valid_s))
        return True

    def _may_grant(self, now: float) -> bool:
        """Return whether another start is left for a request that an entry would send."""
        if not self.gate.is_restricted(now):
            return True
        counts = self.scheduler.counts(now)
        return self.gate.may_promise(now, reserved=counts.granted + counts.queued)

    def expire(self, now: float) -> None:
        """Refuse queued work that has waited too long, and expire grants."""
        for work in self.scheduler.expire(now):
            attempt = self._attempts.pop((work.request, work.attempt), None)
            if attempt is None:
                continue
            late = now >= work.deadline
            kind = ErrorKind.DEADLINE_EXCEEDED if late else ErrorKind.PATIENCE_EXCEEDED
            attempt.post_not_run(kind)
        self.run_scheduler(now)

    def cancel(self, request: str, attempt_number: int, now: float) -> None:
        """Stop an attempt whose caller no longer waits.

        A claimed request keeps running: its effect may have happened, and a repeat of its key
        can only be answered if its outcome is recorded.
        """
        attempt = self._attempts.get((request, attempt_number))
        if attempt is None:
            return
        if attempt.task is None:
            self._remove(attempt, now)
        elif attempt.run.idempotent:
            attempt.task.cancel()

    def refuse_queued(self, detail: str, now: float) -> None:
        """Report all attempts that have not started as not run, so that they go elsewhere."""
        for attempt in list(self._attempts.values()):
            if attempt.task is None:
                attempt.post_not_run(ErrorKind.NO_PLACE, detail)
                self._remove(attempt, now)

    def _refuse_unfinishable(self, now: float) -> None:
        """Report queued attempts as not run that would be aborted at the end of this process."""
        if not self.finish_gate.is_stopping:
            return
        for attempt in list(self._attempts.values()):
            if attempt.task is None and not self.late_runs.may_wait(
                attempt.run.request, attempt.run_kind, attempt.work.deadline
            ):
                attempt.post_not_run(ErrorKind.LEAVING, LATE_DETAIL)
                self._remove(attempt, now)

    def drop_peer(self, peer: str, now: float) -> None:
        """Cancel the attempts of an entry that disconnected."""
        for work in self.scheduler.forget_peer(peer, now):
            self.cancel(work.request, work.attempt, now)
        self.run_scheduler(now)

    async def finish_all(self) -> None:
        """Wait until no attempt is queued or running."""
        while self._attempts:
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def abort_all(self, reason: str, now: float) -> None:
        """End all attempts at the shutdown limit, and report whether each may have run."""
        for attempt in list(self._attempts.values()):
            if attempt.task is None:
                attempt.post_not_run(ErrorKind.LEAVING, reason)
                self._remove(attempt, now)
            else:
                self.late_runs.record_cut(
                    attempt.run.request, attempt.sent_at or now, attempt.work.deadline
                )
                attempt.post_failed(ErrorKind.UPSTREAM_FAILED, reason)
                attempt.task.cancel()

    def _remove(self, attempt: Attempt, now: float) -> None:
        self._attempts.pop(attempt.key, None)
        self.scheduler.finish(attempt.run.request, attempt.run.attempt, now)

    def _spawn_control(self, call) -> None:
        task = asyncio.create_task(call)
        self._control_tasks.add(task)
        task.add_done_callback(self._control_tasks.discard)

    async def _run(self, attempt: Attempt) -> None:
        progress = self.finish_gate.begin(attempt.run_kind, 0, self.clock.now())
        is_whole = False
        try:
            run = self._run_idempotent if attempt.run.idempotent else self._run_at_most_once
            is_whole = await run(attempt)
        except asyncio.CancelledError:
            self._spawn_control(self.client.cancel(engine_request_id(attempt.run)))
        except Exception as error:  # noqa: BLE001
            # A fault in this code must not leave the caller without an answer.
            log_event(Event.INTERNAL_ERROR, where="slot attempt", error=describe_fault(error))
            attempt.post_failed(ErrorKind.INTERNAL, type(error).__name__)
        finally:
            self.finish_gate.end(progress, self.clock.now(), is_whole)

    def _on_task_done(self, attempt: Attempt) -> None:
        now = self.clock.now()
        self._remove(attempt, now)
        self.run_scheduler(now)

    async def _run_idempotent(self, attempt: Attempt) -> bool:
        """Run an attempt, and return whether its answer is whole."""
        remaining = attempt.work.deadline - self.clock.now()
        try:
            async with asyncio.timeout(remaining):
                await self._relay(attempt, None)
            return True
        except TimeoutError:
            attempt.post_failed(ErrorKind.DEADLINE_EXCEEDED, "the deadline passed while it ran")
            self._spawn_control(self.client.cancel(engine_request_id(attempt.run)))
        except UpstreamError as error:
            self._report_error(attempt, error)
        return False

    async def _run_at_most_once(self, attempt: Attempt) -> bool:
        """Run an attempt under its claim, and return whether its answer is whole."""
        begun = await self.guard.begin(attempt.run, self.clock.wall)
        if isinstance(begun, Err):
            log_event(Event.CLAIM_REFUSED, request=attempt.run.request, kind=begun.err().kind.value)
            attempt.connection.post(begun.err())
            return False
        claim = begun.ok()
        collector = AnswerCollector()
        remaining = attempt.work.deadline - self.clock.now() + OUTCOME_GRACE_S
        try:
            async with asyncio.timeout(remaining):
                await self._relay(attempt, collector)
        except TimeoutError:
            log_event(Event.CLAIM_OUTCOME_UNKNOWN, request=attempt.run.request)
            attempt.post_failed(ErrorKind.OUTCOME_UNKNOWN, "the upstream did not answer in time")
            return False
        except UpstreamError as error:
            if not error.sent:
                await self.guard.abandon(claim)
            self._report_error(attempt, error)
            return False
        await self.guard.finish(claim, collector.answer())
        return True

    def _report_error(self, attempt: Attempt, error: UpstreamError) -> None:
        if error.crashed:
            self.health.record_broken_answer(
                self.scheduler.running(self.clock.now()), self.clock.now()
            )
        elif error.kind is ErrorKind.NO_UPSTREAM:
            if error.unreachable:
                self.on_unreachable()
            self.health.probe_soon()
        if error.sent:
            attempt.post_failed(error.kind, error.detail, error.crashed)
        else:
            attempt.post_not_run(error.kind, error.detail)

    async def _relay(self, attempt: Attempt, collector: AnswerCollector | None) -> None:
        attempt.sent_at = attempt.last_token_at = self.clock.now()
        priority = self.find_priority(attempt.run.class_name)
        async with aclosing(self.client.call(attempt.run, priority)) as parts:
            async for part in parts:
                self._forward_part(attempt, part)
                if collector is not None:
                    collector.add(part)

    def _forward_part(self, attempt: Attempt, part: AnswerPart) -> None:
        if isinstance(part, Token):
            self._record_token(attempt, part)
            attempt.post_part(PART_TOKEN, part.text.encode())
        elif isinstance(part, BodyPiece):
            attempt.post_part(PART_BODY, part.data)
        elif isinstance(part, AnswerHead):
            attempt.post_part(PART_HEAD, encode_part(part))
        elif isinstance(part, AnswerEnd):
            attempt.post_part(PART_END, encode_part(part))

    def _record_token(self, attempt: Attempt, token: Token) -> None:
        now = self.clock.now()
        if attempt.last_token_at == attempt.sent_at:
            self.latency.add_first_token(now - attempt.sent_at, now)
        elif not attempt.was_paused:
            self.latency.add_step(now - attempt.last_token_at, now)
        attempt.was_paused = False
        attempt.last_token_at = now
        self.scheduler.charge(attempt.run.request, attempt.run.attempt, token.count, now)
