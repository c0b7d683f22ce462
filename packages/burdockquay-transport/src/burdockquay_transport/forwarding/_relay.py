"""Send a request to upstreams, with retries, until there is an answer."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

import aiohttp
from aiohttp import web

from burdockquay_coordination.forwarding import (
    Mechanism,
    RouteKind,
    Upstream,
    choose_backup,
    choose_upstream,
    spare_upstreams,
    urgency_level,
    usable_upstreams,
)
from burdockquay_protocol import ErrorKind, RequestError

from .._call_error import CallError
from .._events import Event, log_event
from ._answers import AnswerHandler, count_plain, record_broken
from ._call import (
    Answered,
    Broke,
    ForwardCall,
    HeldBack,
    NotRun,
    NotSent,
    Outcome,
    RetryDenied,
    failure_of,
)
from ._connections import (
    PROXY_WATCH_S,
    BrokenError,
    EvacuatedError,
    HeldBackError,
    NotSentError,
    OtherHeldBackError,
    Send,
    accepts_connections,
)
from ._platform import SendTerms
from ._send_conditions import (
    check_cold,
    check_homes,
    check_named_upstreams,
    check_statements,
    check_version,
    fetch_source,
    timeout_on_restart,
    withheld_error,
)
from ._send_log import log_send
from ._state import ForwarderState
from ._stream_origins import begin_recording, find_origin

MAX_UNREACHABLE_UPSTREAMS = 4
"""Number of unreachable upstreams after which a request fails: with a connect timeout of 0.4 s,
more attempts would take longer than the patience of most callers."""

ATTEMPT_PATIENCE_SHARE = 0.5
"""Share of the remaining time that one upstream has to answer a plain request which can still be
retried at another, so that an upstream that hangs leaves time for the retry."""

MIN_ATTEMPT_S = 0.25
"""Lower limit of that time, seconds; about ten times the duration of a plain request."""


class Relay:
    """Runs calls: chooses upstreams, sends, passes answers on and retries where that is safe.

    Parameters
    ----------
    state : ForwarderState
    """

    def __init__(self, state: ForwarderState):
        self.state = state
        self._answer_handler = AnswerHandler(state)

    async def run(self, call: ForwardCall) -> web.StreamResponse:
        """Return the answer of a call.

        Raises
        ------
        CallError
            If it ends without an answer from an upstream.
        """
        await find_origin(self.state, call)
        self.state.budget(call.service).record_request(self.state.clock.now())
        last: Outcome | None = None
        while True:
            outcome = await self._choose_and_send(call)
            name = type(outcome).__name__
            self.state.metrics.sends.labels(call.service, name).inc()
            if isinstance(outcome, Answered):
                return outcome.response
            if isinstance(outcome, RetryDenied):
                return self._give_up(call, last)
            last = outcome
            went_down = await self._record_outcome(call, outcome)
            if went_down and self._can_continue_from_copy(call):
                call.continue_at, call.backup = call.backup, None
                continue
            if not self._may_retry(call, outcome):
                return self._give_up(call, outcome)

    async def _choose_and_send(self, call: ForwardCall) -> Outcome:
        """Choose an upstream, once one has capacity if the call has a prompt, and send.

        Raises
        ------
        CallError
            If there is no upstream, or none with capacity in time.
        """
        if not call.by_prompt:
            with _waiting(call):
                upstream = await self._choose_allowed(call)
            return await self._send(call, upstream)
        if call.continue_at is not None:
            self.state.held_calls.take(call.continue_at, call.rank)
            return await self._send(call, call.continue_at)
        dispatcher = self.state.dispatcher(call.service)
        with _waiting(call):
            call.sent = await dispatcher.start(call)
        if call.sent is None:
            raise CallError(self.state.held_calls.evacuation_refusal(call) or failure_of(call))
        try:
            return await self._send(call, call.sent.placement.upstream)
        finally:
            self._end_prompt(call)

    def _end_prompt(self, call: ForwardCall) -> None:
        if call.sent is not None:
            self.state.dispatcher(call.service).record_ended(call.sent)
            call.sent = None

    async def _choose_allowed(self, call: ForwardCall) -> Upstream:
        """Return the upstream for a call, and count its start; wait while all are held back.

        Raises
        ------
        CallError
            If there is no upstream, or no start in time.
        """
        held = self.state.held_calls
        self.state.rate_limits.want(call.service, call.rank, call.homes)
        while (upstream := self._choose(call)) is None:
            if not await held.wait(call):
                raise CallError(held.refusal(call) or failure_of(call))
        held.take(upstream, call.rank)
        held.drop_unneeded_wants(call.service)
        return upstream

    def _choose(self, call: ForwardCall) -> Upstream | None:
        state = self.state
        now = state.clock.now()
        upstreams = call.candidates(state.upstream_registry)
        chosen = choose_upstream(
            spare_upstreams(upstreams, call.rank, now),
            state.settings.failure_domain,
            call.tried,
            now,
            state.rng,
            state.switches,
            state.delays,
            call.round_trips,
        )
        is_restricted = chosen is not None and chosen.is_restricted(now)
        return (
            None if is_restricted and state.held_calls.has_earlier_waiting(call, chosen) else chosen
        )

    def _can_continue_from_copy(self, call: ForwardCall) -> bool:
        """Return whether a run can continue from the copy of its memory at another upstream.

        Only called once the upstream that ran it is down, so that it does not run twice. The copy
        holds what was generated, so that no event is generated again.
        """
        if call.backup is None or call.last_event is None:
            return False
        return self._may_continue_at(call, call.backup)

    def _may_continue_at(self, call: ForwardCall, upstream: Upstream) -> bool:
        """Return whether an upstream that has a copy of a run may continue it now."""
        if not (upstream.accepts_work() and call.accepts(upstream) and call.is_inside(upstream)):
            return False
        return upstream.may_start(self.state.clock.now())

    async def _record_outcome(self, call: ForwardCall, outcome: Outcome) -> bool:
        """Record an outcome at its upstream; return whether the upstream is down."""
        now = self.state.clock.now()
        upstream = outcome.upstream
        log_event(
            Event.SEND_FAILED,
            request=call.request.id,
            upstream=upstream.id,
            outcome=type(outcome).__name__,
            reason=outcome.reason,
            sends=call.sends,
        )
        if isinstance(outcome, NotRun):
            self.state.metrics.turned_away.labels(upstream.id).inc()
        if isinstance(outcome, Broke):
            upstream.health.record_failure(now)
        is_down = isinstance(outcome, NotSent) or await self._went_down(call, outcome)
        if is_down:
            upstream.health.record_unreachable(now)
            self.state.losses(call.service).record_loss(upstream.incarnation, now)
            self.state.record_down(upstream.incarnation)
        self.state.note_change()
        return is_down

    async def _went_down(self, call: ForwardCall, outcome: Outcome) -> bool:
        """Return whether an upstream whose connection broke is down.

        Otherwise its next requests would find out, each at the cost of a failed connection, and a
        request that crashes upstreams would meanwhile be sent to another one.
        """
        if not isinstance(outcome, Broke) or not outcome.crashed:
            return False
        if outcome.upstream.ended:
            return True
        if outcome.upstream.is_evacuated:
            # No connection is opened there, and none that fails would show a fault.
            return False
        watch_s = PROXY_WATCH_S if call.shared_parts and not call.has_begun else 0.0
        return not await accepts_connections(outcome.upstream.entry, watch_s)

    def _may_retry(self, call: ForwardCall, outcome: Outcome) -> bool:
        if isinstance(outcome, HeldBack):
            # A run continues only where its copy is.
            return call.continue_at is None or self._may_continue_at(call, call.continue_at)
        if isinstance(outcome, NotSent):
            return call.unreachable < MAX_UNREACHABLE_UPSTREAMS
        if call.sends >= call.route.max_attempts:
            return False
        if isinstance(outcome, Broke) and not call.route.repeatable:
            return False
        state = self.state
        now = state.clock.now()
        if state.is_crash_suspect(call):
            return False
        if isinstance(outcome, Broke) and not call.has_begun and state.may_crash(call):
            return False
        candidates = call.candidates(state.upstream_registry)
        if not usable_upstreams(candidates, call.tried, now, state.switches):
            has_answer = isinstance(outcome, Broke) and outcome.ready is not None
            if has_answer or not state.held_calls.may_start_later(call):
                return False
        if state.budget(call.service).may_retry(now, self._is_most_urgent(call)):
            return True
        self._record_retry(call, is_granted=False)
        return False

    def _is_most_urgent(self, call: ForwardCall) -> bool:
        """Return whether no route to the service is more urgent than that of a call."""
        return call.route.priority <= self.state.directory.targets(call.service).most_urgent

    def _withdraw_retry(self, call: ForwardCall) -> bool:
        """Withdraw a send from the budget if an earlier one may have arrived.

        Returns
        -------
        bool
            False if the budget does not allow it.
        """
        if call.sends <= call.withdrawals:
            return True
        budget = self.state.budget(call.service)
        is_granted = budget.try_retry(self.state.clock.now(), self._is_most_urgent(call))
        call.withdrawals += is_granted
        self._record_retry(call, is_granted)
        return is_granted

    def _record_retry(self, call: ForwardCall, is_granted: bool) -> None:
        state = self.state
        now = state.clock.now()
        budget = state.budget(call.service)
        counter = state.metrics.repeats_granted if is_granted else state.metrics.repeats_denied
        counter.labels(call.service).inc()
        log_event(
            Event.RETRY_GRANTED if is_granted else Event.RETRY_DENIED,
            request=call.request.id,
            service=call.service,
            rank=call.rank,
            requests=budget.requests,
            retries=budget.retries,
            burst=budget.burst,
            saved=budget.saved,
            members=state.upstream_registry.fleet.divisor(now),
            age_s=now - state.started_at,
        )

    def _give_up(self, call: ForwardCall, outcome: Outcome | None) -> web.StreamResponse:
        if isinstance(outcome, Broke) and outcome.ready is not None and call.answer is None:
            return outcome.ready
        raise CallError(self.state.held_calls.refusal(call) or failure_of(call))

    async def _send(self, call: ForwardCall, upstream: Upstream) -> Outcome:
        """Send a call to one upstream and pass on its answer.

        A retry is withdrawn from the budget here, after it may have waited for seconds.
        """
        if upstream.is_evacuated:
            return HeldBack(upstream, "evacuated")
        if not self.state.late_calls.accept(call):
            raise CallError(RequestError(ErrorKind.LEAVING))
        if not self._withdraw_retry(call):
            return RetryDenied(upstream)
        late_calls = self.state.late_calls
        run = late_calls.begin(call)
        outcome: Outcome | None = None
        try:
            outcome = await self._send_once(call, upstream)
            return outcome
        finally:
            late_calls.end(run, isinstance(outcome, Answered) and outcome.response.status < 300)

    async def _send_once(self, call: ForwardCall, upstream: Upstream) -> Outcome:
        send = self._compose(call, upstream)
        log_send(self.state, call, upstream, self._sent_urgency(call))
        was_tried = upstream.id in call.tried
        call.tried.add(upstream.id)
        call.sent_at = self.state.clock.now()
        call.has_begun = False
        call.sent_version = upstream.entry.software_version
        call.incoming.protocol.mark_running()
        begin_recording(self.state, call)
        upstream.outstanding += 1
        self.state.note_change()
        response: aiohttp.ClientResponse | None = None
        try:
            async with timeout_on_restart(upstream):
                async with asyncio.timeout(self._attempt_limit_s(call)):
                    response = await self.state.connections.send(send)
                call.sends += 1
                return await self._answer_handler.handle(call, upstream, response)
        except HeldBackError as error:
            is_free = isinstance(error, EvacuatedError | OtherHeldBackError)
            if is_free and not was_tried:
                # Nothing was sent there, and it is no fault of this upstream.
                call.tried.discard(upstream.id)
            return HeldBack(upstream, str(error))
        except NotSentError as error:
            if upstream.is_evacuated:
                # Silence of an upstream that is being evacuated is no fault.
                return HeldBack(upstream, str(error))
            call.unreachable += 1
            return NotSent(upstream, str(error))
        except BrokenError as error:
            call.sends += response is None
            # An upstream that has answered, however badly, has begun to run the request.
            count_plain(self.state, call)
            return record_broken(self.state, call, upstream, str(error), error.crashed)
        except TimeoutError:
            if self._remaining(call) <= 0:
                raise
            call.sends += response is None
            if upstream.ended:
                return record_broken(self.state, call, upstream, "upstream restarted")
            return record_broken(self.state, call, upstream, "silent", crashed=False)
        except asyncio.CancelledError:
            # The deadline passed or the caller disconnected; whether the call ran is unknown.
            call.maybe_run = True
            raise
        finally:
            upstream.outstanding -= 1
            self.state.note_change()
            if response is not None:
                # Closes the connection unless the body was read completely.
                response.close()

    def _remaining(self, call: ForwardCall) -> float:
        return call.deadline - self.state.clock.now()

    def _attempt_limit_s(self, call: ForwardCall) -> float | None:
        """Return how long the upstream may take to begin its answer; None without such a limit."""
        can_retry = call.route.repeatable and call.sends + 1 < call.route.max_attempts
        if not can_retry or call.route.kind is RouteKind.STREAM:
            return None
        return max(MIN_ATTEMPT_S, self._remaining(call) * ATTEMPT_PATIENCE_SHARE)

    def _choose_backup(self, call: ForwardCall, upstream: Upstream) -> None:
        state = self.state
        if call.backup is not None and call.backup.is_evacuated:
            call.backup = None
        if not state.switches.uses(Mechanism.COPIES):
            return
        if not call.wants_backup or call.sent is None:
            return
        now = state.clock.now()
        others = state.upstream_registry.of_service(call.service)
        answer_s = call.sent.placement.answer_s
        if state.losses(call.service).is_copy_worthwhile(answer_s, len(others), now):
            version = upstream.entry.software_version
            fitting = [
                item
                for item in others
                if item.entry.software_version == version and call.is_inside(item)
            ]
            call.backup = choose_backup(fitting, upstream, now, state.rng, state.region_map)

    def _compose(self, call: ForwardCall, upstream: Upstream) -> Send:
        if call.backup is not None and not call.is_inside(call.backup):
            call.backup = None
        self._choose_backup(call, upstream)
        terms = SendTerms(
            upstream.id,
            max(self._remaining(call), 0.001),
            call.organisation,
            self._sent_urgency(call),
            call.last_event or call.request.resume_after,
            call.weights_version,
            call.backup.address if call.backup else None,
            upstream.address if call.continue_at is upstream else None,
            fetch_source(call),
        )

        def check() -> None:
            self.check_key(call)
            self._check_parts(call)
            check_version(call, upstream)
            check_homes(call, upstream)
            check_statements(upstream, self.state.clock.now())
            check_cold(call, upstream, self.state.clock.now())
            check_named_upstreams(call)
            if not call.maybe_run and not self.state.late_calls.admit(call):
                raise CallError(RequestError(ErrorKind.LEAVING))

        self.check_key(call)
        self._check_parts(call)
        return Send(
            upstream.entry,
            call.request.method,
            call.request.target,
            self.state.platform.compose_headers(call.request, terms),
            call.body,
            call.route.repeatable,
            check,
        )

    def _sent_urgency(self, call: ForwardCall) -> int:
        """Return the urgency that is sent to the upstream."""
        is_short = call.sent is not None and call.sent.placement.is_short
        route_priority = call.route.priority if call.by_prompt else call.urgency
        return urgency_level(route_priority, call.urgency, is_short)

    def _check_parts(self, call: ForwardCall) -> None:
        """Raise if parts of the prompt crash upstreams, unless the call tests them.

        Raises
        ------
        CallError
        """
        if call.is_trial:
            return
        refusal = self.state.refusal_by_parts(call)
        if refusal is not None:
            raise CallError(failure_of(call) if call.maybe_run else refusal)
        call.is_trial = self.state.parts.begin_trial(call.request.id, call.shared_parts)

    def check_key(self, call: ForwardCall) -> None:
        """Raise if the API key of a call may have been withdrawn.

        Raises
        ------
        CallError
        """
        if call.organisation is None:
            return
        state = self.state
        if not state.keys_trusted(state.clock.now()):
            raise CallError(withheld_error(call, ErrorKind.CONFIGURATION_STALE))
        holder = state.directory.find_organisation(call.request.api_key or "")
        if holder is None or holder.name != call.organisation:
            raise CallError(withheld_error(call, ErrorKind.UNAUTHENTICATED))


@contextlib.contextmanager
def _waiting(call: ForwardCall) -> Iterator[None]:
    """Mark a call as one of which nothing is being sent."""
    call.is_waiting = True
    try:
        yield
    finally:
        call.is_waiting = False
