"""Runs the attempts of a call until it has a complete answer or fails."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import attrs
from result import Err

from burdockquay_coordination import (
    SETTLED_KINDS,
    AtMostOnceResolver,
    HeldAnswers,
    LatencyTarget,
    Settled,
    SettledState,
    SharedRetryBudget,
    UsageLedger,
    Verdict,
    should_retry,
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
    NotRun,
    RequestError,
    RunState,
    decode_part,
)
from burdockquay_state import StoredAnswer

from ._answer_store import split_answer
from ._call import Call, PeerLost, Refused
from ._call_error import CallError
from ._clock import Clock
from ._dispatcher import GroupDispatcher
from ._engine_client import SOFTWARE_VERSION
from ._events import Event, log_event
from ._metrics import (
    TOKENS,
    TOKENS_WASTED,
    MetricsSink,
    class_counter,
    retry_counter,
    timers,
)
from ._suspicion_exchange import SuspicionExchange

MAX_OUTCOME_READS = 4
"""Limit on the reads of an attempt's claim row while the attempt may still be running."""

OUTCOME_READ_INTERVAL_S = 0.25
"""Time between two of these reads, seconds."""


@attrs.frozen
class Tokens:
    """Tokens of an answer that arrived together."""

    texts: list[str]


@attrs.frozen
class Body:
    """Piece of the body of a plain answer."""

    data: bytes


FINAL_STATUSES = range(200, 600)
"""Status codes of final answers (RFC 9110, section 15)."""

AnswerItem = AnswerHead | Tokens | Body | AnswerEnd


class CallRunner:
    """Runs calls: reads their frames, retries where that is safe, and reports how they ended.

    Parameters
    ----------
    resolver : AtMostOnceResolver
    suspicions : SuspicionExchange
    budget : SharedRetryBudget
    ledger : UsageLedger
    metrics : MetricsSink
    clock : Clock
    """

    def __init__(
        self,
        resolver: AtMostOnceResolver,
        suspicions: SuspicionExchange,
        budget: SharedRetryBudget,
        ledger: UsageLedger,
        metrics: MetricsSink,
        clock: Clock,
    ):
        self.resolver = resolver
        self.suspicions = suspicions
        self.budget = budget
        self.ledger = ledger
        self.metrics = metrics
        self.clock = clock
        self.held_answers = HeldAnswers()
        self._handlers: dict[type, Callable] = {
            NotRun: self._on_not_run,
            Failed: self._on_failed,
            PeerLost: self._on_peer_lost,
        }

    async def run(self, call: Call, dispatcher: GroupDispatcher) -> AsyncIterator[AnswerItem]:
        """Yield the answer of a call: head, pieces, end.

        Raises
        ------
        CallError
            If the call ends without a complete answer.
        """
        self.budget.record_request(self.clock.now())
        complete = False
        call.held = self.held_answers.open(lambda: None)
        try:
            self._check_quarantine(call)
            dispatcher.submit(call, self.clock.now())
            while not complete:
                event = await self._next_event(call)
                for item in await self._handle(call, dispatcher, event):
                    _check_status(call, item)
                    complete = complete or isinstance(item, AnswerEnd)
                    yield item
        finally:
            self.held_answers.close(call.held)
            dispatcher.abandon(call, self.clock.now())
            self._record_usage(call, complete)

    async def _next_event(self, call: Call) -> Any:
        remaining = call.spec.deadline - self.clock.now()
        try:
            async with asyncio.timeout(remaining):
                return await call.inbox.get()
        except TimeoutError:
            raise await self._deadline_passed(call) from None

    async def _handle(
        self, call: Call, dispatcher: GroupDispatcher, event: Any
    ) -> list[AnswerItem]:
        if isinstance(event, Frame):
            return self._consume_frames(call, dispatcher, event)
        if isinstance(event, Refused):
            raise call.wrap_error(event.error)
        return await self._handlers[type(event)](call, dispatcher, event)

    def _consume_frames(
        self, call: Call, dispatcher: GroupDispatcher, first: Frame
    ) -> list[AnswerItem]:
        """Return the parts in the frames that have arrived; consecutive tokens are one item."""
        items: list[AnswerItem] = []
        texts: list[str] = []
        frame: Any = first
        while True:
            if not self._accept_sequence(call, frame):
                call.link.cancel_attempt(call)
                _drop_frames(call)
                failed = Failed(
                    frame.request, frame.attempt, ErrorKind.PEER_LOST, "a frame is missing"
                )
                call.inbox.put(failed)
                break
            if frame.part == PART_HEAD and not self._fits(call, frame):
                self._leave_misfit(call, dispatcher)
                break
            if frame.part == PART_TOKEN:
                texts.append(frame.data.decode(errors="replace"))
            else:
                items += self._flush_tokens(call, dispatcher, texts)
                texts = []
                items += self._handle_part(call, frame)
            frame = call.inbox.pop_if(Frame)
            if frame is None:
                break
        return items + self._flush_tokens(call, dispatcher, texts)

    def _accept_sequence(self, call: Call, frame: Frame) -> bool:
        if frame.attempt != call.attempt or frame.sequence != call.next_sequence:
            return False
        call.next_sequence += 1
        return True

    def _fits(self, call: Call, frame: Frame) -> bool:
        """Return whether an answer that begins continues the one that the caller gets.

        What two software versions write does not fit together. Engines that state none count as of
        one version.
        """
        head = decode_part(AnswerHead, frame.data)
        if isinstance(head, Err):
            return True
        version = dict(head.ok().headers).get(SOFTWARE_VERSION)
        if call.delivered:
            return call.software_version == version
        call.software_version = version
        return True

    def _leave_misfit(self, call: Call, dispatcher: GroupDispatcher) -> None:
        """Cancel a continuation at another software version, and retry elsewhere."""
        call.link.cancel_attempt(call)
        _drop_frames(call)
        call.avoid.add(call.link.vm)
        log_event(Event.SOFTWARE_MISFIT, request=call.spec.request, vm=call.link.vm)
        detail = "the engine has another software version than the one that began the answer"
        self._retry_or_fail(call, dispatcher, RequestError(ErrorKind.UPSTREAM_FAILED, detail))

    def _flush_tokens(
        self, call: Call, dispatcher: GroupDispatcher, texts: list[str]
    ) -> list[AnswerItem]:
        if not texts:
            return []
        now = self.clock.now()
        if not call.has_begun:
            call.has_begun = True
            self.suspicions.prefixes.record_begun(call.spec.prefix_names)
        self._record_token_times(call, now)
        call.delivered += texts
        self._keep(call, sum(map(len, texts)))
        dispatcher.charge(call, len(texts), now)
        return [Tokens(texts)]

    def _record_token_times(self, call: Call, now: float) -> None:
        spec = call.spec
        name = spec.service_class.name
        if not call.delivered:
            call.first_token_s = now - call.started_at
            call.first_token_at = now
            self.metrics.timing(timers.first_token(name), call.first_token_s)
        else:
            self.metrics.timing(timers.between_tokens(name), now - call.last_token_at)
        call.last_token_at = now

    def _keep(self, call: Call, size: int) -> None:
        """Account for a part of an answer, which is kept until the answer is complete.

        Raises
        ------
        CallError
            If the answer is given up because it takes too much memory.
        """
        self.held_answers.grow(call.held, size)
        if call.held.is_given_up:
            call.may_have_run = True
            raise call.make_error(ErrorKind.UPSTREAM_FAILED, "its answer takes too much memory")

    def _handle_part(self, call: Call, frame: Frame) -> list[AnswerItem]:
        if frame.part == PART_BODY:
            self._keep(call, len(frame.data))
            return [Body(frame.data)]
        if frame.part not in (PART_HEAD, PART_END):
            raise call.make_error(ErrorKind.INTERNAL, f"unknown part {frame.part}")
        cls = AnswerHead if frame.part == PART_HEAD else AnswerEnd
        decoded = decode_part(cls, frame.data)
        if isinstance(decoded, Err):
            raise call.make_error(ErrorKind.INTERNAL, decoded.err().detail)
        call.may_have_run = True
        if frame.part == PART_END:
            call.link.remove_attempt(call)
            return [decoded.ok()]
        # A resumed answer has a head of its own, but the caller has already received one.
        if call.has_head:
            return []
        call.has_head = True
        head = decoded.ok()
        if frame.part == PART_HEAD:
            shown = [item for item in head.headers if item[0] != SOFTWARE_VERSION]
            head = attrs.evolve(head, headers=shown)
        return [head]

    async def _on_not_run(
        self, call: Call, dispatcher: GroupDispatcher, event: NotRun
    ) -> list[AnswerItem]:
        now = self.clock.now()
        error = RequestError(event.kind, event.detail)
        if event.kind is ErrorKind.CLAIM_LOST:
            return await self._determine_outcome(call, dispatcher, error, claim_lost=True)
        dispatcher.record_refusal(call, event.kind, now)
        self._retry_or_fail(call, dispatcher, error, certainly_not_run=True)
        return []

    async def _on_failed(
        self, call: Call, dispatcher: GroupDispatcher, event: Failed
    ) -> list[AnswerItem]:
        log_event(Event.ATTEMPT_FAILED, request=event.request, kind=event.kind.value)
        if event.crashed and not call.has_begun and not dispatcher.is_evacuated(call.link):
            self._record_crash(call)
        call.may_have_run = True
        call.avoid.add(call.link.vm)
        dispatcher.observe_failure(call.link, self.clock.now())
        error = RequestError(event.kind, event.detail)
        if not call.spec.idempotent:
            return await self._determine_outcome(call, dispatcher, error)
        self._retry_or_fail(call, dispatcher, error)
        return []

    def _record_crash(self, call: Call) -> None:
        """Record evidence against the prompt of a call, and end it if that has crashed others too.

        Raises
        ------
        CallError
        """
        prefixes = self.suspicions.prefixes
        names = call.spec.prefix_names
        prefixes.record_crash(call.link.crash, [names])
        # Most prompts end with prefixes of their own, which one crash must not make suspects.
        if prefixes.crashes(names) > 1 and prefixes.may_crash(names):
            raise call.make_error(ErrorKind.UPSTREAM_FAILED, "upstreams crash on its prefix")

    async def _on_peer_lost(
        self, call: Call, dispatcher: GroupDispatcher, event: PeerLost
    ) -> list[AnswerItem]:
        failed = Failed(*call.attempt_key, ErrorKind.PEER_LOST, f"lost {event.vm}")
        return await self._on_failed(call, dispatcher, failed)

    def _retry_or_fail(
        self,
        call: Call,
        dispatcher: GroupDispatcher,
        error: RequestError,
        certainly_not_run: bool = False,
    ) -> None:
        """Submit a call again, or end it."""
        repeatable = certainly_not_run or call.spec.idempotent
        # A token stream can be resumed at any point, also before the first token; a body cannot.
        can_resume = call.spec.has_tokens or not call.has_head
        decision = should_retry(error.kind, repeatable, call.retries + 1, can_resume)
        if not decision.retry:
            raise call.wrap_error(error)
        now = self.clock.now()
        if decision.needs_budget:
            self._withdraw_from_budget(call, error, now)
        self._check_quarantine(call)
        self.metrics.count(retry_counter(error.kind))
        log_event(Event.REQUEST_RETRIED, request=call.spec.request, kind=error.kind.value)
        call.link = None
        dispatcher.submit(call, now)

    def _withdraw_from_budget(self, call: Call, error: RequestError, now: float) -> None:
        # Refusals that cost the upstreams nothing are not counted: otherwise a call that was
        # refused by four full slots could not be retried after a crash.
        call.retries += 1
        if not self.budget.try_retry(now):
            log_event(Event.RETRY_BUDGET_EMPTY)
            self.metrics.count("retries.budget_empty")
            raise call.wrap_error(error)

    def _check_quarantine(self, call: Call) -> None:
        spec = call.spec
        now = self.clock.wall()
        verdict = self.suspicions.quarantine.verdict(spec.digest, now)
        if verdict is Verdict.QUARANTINED:
            raise call.make_error(ErrorKind.QUARANTINED, f"digest {spec.digest}")
        prefixes = self.suspicions.prefixes
        if refused := prefixes.refused(spec.prefix_names):
            raise call.make_error(ErrorKind.QUARANTINED, f"prefix {','.join(refused)}")
        prefixes.begin_trial(spec.request, spec.prefix_names)
        call.apart = verdict is Verdict.SUSPECT

    async def _determine_outcome(
        self,
        call: Call,
        dispatcher: GroupDispatcher,
        error: RequestError,
        claim_lost: bool = False,
    ) -> list[AnswerItem]:
        """Read the outcome of an attempt from its claim row, and continue accordingly."""
        for remaining in reversed(range(MAX_OUTCOME_READS)):
            settled = await self.resolver.settle(call.ticket, self.clock.wall, claim_lost)
            if settled.state is not SettledState.IN_PROGRESS or not remaining:
                break
            await asyncio.sleep(OUTCOME_READ_INTERVAL_S)
        return self._apply_settled(call, dispatcher, settled, error)

    def _apply_settled(
        self, call: Call, dispatcher: GroupDispatcher, settled: Settled, error: RequestError
    ) -> list[AnswerItem]:
        if settled.state is SettledState.STORED and not call.has_head:
            return _as_items(settled.answer)
        if settled.state is SettledState.NOT_RUN:
            call.may_have_run = False
            call.ticket = attrs.evolve(call.ticket, expected_version=settled.row_version)
            self._retry_or_fail(call, dispatcher, error, certainly_not_run=True)
            return []
        raise CallError(_settled_error(settled))

    async def _deadline_passed(self, call: Call) -> CallError:
        if call.link is None or call.spec.idempotent:
            call.may_have_run = call.may_have_run or call.link is not None
            return call.make_error(ErrorKind.DEADLINE_EXCEEDED)
        settled = await self.resolver.settle(call.ticket, self.clock.wall)
        if settled.state is SettledState.NOT_RUN:
            return CallError(RequestError(ErrorKind.DEADLINE_EXCEEDED, run=RunState.NOT_RUN))
        return CallError(RequestError(ErrorKind.OUTCOME_UNKNOWN, "the deadline has passed"))

    def _record_usage(self, call: Call, complete: bool) -> None:
        spec = call.spec
        names = (spec.organisation.name, spec.service_class.name)
        if complete:
            self.suspicions.quarantine.record_completion(spec.digest, self.clock.wall())
            self.ledger.add_generated(*names, len(call.delivered))
        else:
            self.ledger.add_wasted(*names, len(call.delivered))
        name = spec.service_class.name
        in_time = complete and self._first_token_in_time(call)
        self.ledger.add_attainment(name, in_time, LatencyTarget.FIRST_TOKEN)
        if len(call.delivered) > 1:
            met = complete and self._between_tokens_in_time(call)
            self.ledger.add_attainment(name, met, LatencyTarget.BETWEEN_TOKENS)
        self.metrics.count(TOKENS if complete else TOKENS_WASTED, len(call.delivered))
        self.metrics.count(class_counter(name, "in_time" if in_time else "late"))
        self.metrics.timing(timers.whole(name), self.clock.now() - call.started_at)

    def _first_token_in_time(self, call: Call) -> bool:
        took_s = call.first_token_s if call.delivered else self.clock.now() - call.started_at
        return took_s <= call.spec.service_class.first_token_target_s

    def _between_tokens_in_time(self, call: Call) -> bool:
        mean_s = (call.last_token_at - call.first_token_at) / (len(call.delivered) - 1)
        return mean_s <= call.spec.service_class.between_tokens_target_s


def _check_status(call: Call, item: AnswerItem) -> None:
    """Raise if an item is a head whose status is not that of a final answer.

    Slots check their upstreams' heads, but one of an earlier version does not, and answers may have
    been stored by one.

    Raises
    ------
    CallError
    """
    if isinstance(item, AnswerHead) and item.status not in FINAL_STATUSES:
        detail = f"expected a status from 200 to 599, got {item.status}"
        raise call.make_error(ErrorKind.UPSTREAM_FAILED, detail)


def _drop_frames(call: Call) -> None:
    """Drop the frames of an attempt that was cancelled.

    Each of them would be out of order too and count as another failure: the first would cause a
    retry, and the second would end the call although the retry resumes the answer.
    """
    while call.inbox.pop_if(Frame) is not None:
        continue


def _settled_error(settled: Settled) -> RequestError:
    """Return the error for a settled state without an answer for the caller."""
    if settled.state is SettledState.STORED:
        detail = "the answer broke off; repeat the key to get it whole"
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, detail, RunState.RAN)
    return RequestError(SETTLED_KINDS[settled.state], settled.detail)


def _as_items(answer: StoredAnswer) -> list[AnswerItem]:
    head, body, end = split_answer(answer)
    piece = Tokens([body.decode()]) if end.generated_tokens else Body(body)
    return [head, piece, end]
