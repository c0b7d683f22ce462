"""Queue prompts until upstreams have capacity, and update the prediction model from answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

import attrs

from burdockquay_coordination import Homes, RegionDelays
from burdockquay_coordination.forwarding import (
    LARGE_FLEET_PROCESSES,
    SHORT_READING_SHARE,
    Demand,
    EngineModel,
    ForwardRoute,
    Mechanism,
    Placement,
    PromptQueue,
    ServiceTargets,
    Switches,
    Upstream,
    UpstreamRegistry,
    WaitingPrompt,
    place_prompt,
)
from burdockquay_protocol import ErrorKind, RequestError

from .._call_error import CallError
from .._clock import Clock
from .._events import Event, log_event
from ._call import ForwardCall, failure_of
from ._forwarder_metrics import ForwarderMetrics
from ._held_calls import HeldCalls
from ._passed_over import PassedOverLog
from ._sent_prompt import SentPrompt

EVALUATION_INTERVAL_S = 0.02
"""Time between two evaluations of the queue, seconds. Most prompts start as soon as an update says
that an upstream has read a prompt; the timer covers changes that only depend on time."""

MIN_EVALUATION_PAUSE_S = 0.004
"""Shortest pause between two evaluations, seconds: negligible compared with the tightest latency
targets of some hundred milliseconds, and longer than the burst of updates that one event of an
upstream causes."""

EVALUATION_PAUSE_RATIO = 3.0
"""Shortest pause as a multiple of the duration of the last evaluation: evaluations use a quarter of
the time of a process at most."""

MAX_WAIT_SILENCE_SHARE = 0.6
MAX_WAIT_PATIENCE_SHARE = 0.33
"""Shares of the longest silence that callers accept, and of their patience, after which a request
that has not started is refused, so that its caller has time to retry and get an answer, if late."""


RETRY_WAIT_S = 0.2
"""Time for which a retry waits at least while more urgent requests wait, seconds, although it has
waited before its first send."""


class PromptDispatcher:
    """Starts the queued prompts of one service in order, as upstreams have capacity.

    Parameters
    ----------
    service : str
    upstream_registry : UpstreamRegistry
    clock : Clock
    targets : callable
        Returns the current latency targets of the routes to the service.
    metrics : ForwarderMetrics
    switches : Switches
    held_calls : HeldCalls
    may_crash : callable
        Returns whether a call may crash the upstream that begins to answer it.
    delays : RegionDelays or None
        Distances of the regions; None where the settings name none.
    note_change : callable
        Called after each change of the load of this process at an upstream.
    """

    def __init__(
        self,
        service: str,
        upstream_registry: UpstreamRegistry,
        clock: Clock,
        targets: Callable[[], ServiceTargets],
        metrics: ForwarderMetrics,
        switches: Switches,
        held_calls: HeldCalls,
        may_crash: Callable[[ForwardCall], bool],
        delays: RegionDelays | None = None,
        note_change: Callable[[], None] = lambda: None,
    ):
        self.service = service
        self.upstream_registry = upstream_registry
        self.clock = clock
        self.targets = targets
        self.metrics = metrics
        self.rate_limits = held_calls.rate_limits
        self.held_calls = held_calls
        self.may_crash = may_crash
        self.note_change = note_change
        self.model = EngineModel(switches, delays)
        self.queue = PromptQueue()
        self._passed_over = PassedOverLog(service, metrics)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        self._next_evaluation_at = float("-inf")

    async def start(self, call: ForwardCall) -> SentPrompt | None:
        """Wait until a call may start, and count it at its upstream; None if there is no upstream.

        Raises
        ------
        CallError
            If it has waited too long.
        """
        self.rate_limits.want(self.service, call.rank, call.homes)
        if (call.sends or call.unreachable) and not self.queue.has_more_urgent(call.rank):
            # A retry does not queue again, since the call has waited before its first send, unless
            # more urgent calls wait or all upstreams that are left are held back.
            sent = self._send_immediately(call)
            if sent is not None or not self.held_calls.may_start_later(call):
                return sent
        waiting = self._make_waiting(call)
        prompt = call.request.prompt
        self.model.steady_reservation.record_demand(
            waiting.demand.is_steady, prompt.own_tokens, prompt.answer_tokens
        )
        self.queue.add(waiting)
        self.evaluate()
        started = waiting.owner.started
        try:
            return await started
        except asyncio.CancelledError:
            # The caller may disconnect after the call was started and before this task resumes.
            # Without this, the call would be counted at the upstream for ever, and the upstream
            # would be predicted to be ever slower.
            if started.done() and not started.cancelled() and started.result() is not None:
                self.record_ended(started.result())
            raise
        finally:
            self.queue.remove(waiting)

    def record_first_token(self, sent: SentPrompt) -> None:
        """Record that the first token of a prompt was received."""
        now = self.clock.now()
        seconds = now - sent.sent_at
        upstream = sent.placement.upstream
        log_event(
            Event.FIRST_TOKEN,
            request=sent.call,
            upstream=upstream.id,
            predicted_s=sent.placement.first_token_s,
            seconds=seconds,
            ahead=sent.ahead,
            tokens=sent.placement.tokens,
            warm=sent.placement.is_cached,
            short=sent.placement.is_short,
            fetched=sent.placement.fetched_tokens,
            fetch_s=self.model.fetch_s(sent.placement.fetched_tokens),
            running=upstream.running(now),
            token_us=self.model.first_token.slope * 1e6,
            first_s=self.model.first_token.offset,
            factor=upstream.reading.value(now),
        )
        ratio = seconds / sent.placement.first_token_s
        self.metrics.prediction.labels(self.service).observe(ratio)
        tokens, fetched = sent.placement.tokens, sent.placement.fetched_tokens
        read_s = max(0.0, seconds - sent.placement.way_s)
        self.model.update_first_token(
            upstream, sent.ahead, tokens, read_s, now, fetched, sent.placement.is_short
        )
        upstream.record_prompt_read(sent.prompt)
        self._remove(sent)

    def record_pace(self, upstream: Upstream, tokens: int, events: int, seconds: float) -> None:
        """Update the model with the pace of a complete answer after its first event."""
        self.model.update_answer(upstream, tokens, events, seconds, self.clock.now())

    def record_ended(self, sent: SentPrompt) -> None:
        """Record that a request ended before its first token."""
        sent.placement.upstream.record_abandoned(sent.prompt)
        self._remove(sent)

    def _remove(self, sent: SentPrompt) -> None:
        sent.placement.upstream.pending.remove(sent.call)
        self.note_change()
        self.evaluate()

    def evaluate(self) -> None:
        """Start the calls that may start, and refuse those that have waited too long.

        Successive evaluations are separated by a pause, a multiple of the duration of the last one.
        A few dozen peers send a hundred updates of upstreams per second, each of which may allow a
        call to start, and an evaluation takes longer the longer the queue is. Without the pause, a
        slow process under load would do nothing else: it would detect seconds late that callers
        have disconnected, and engines would process requests that nobody waits for.
        """
        if not len(self.queue):
            return
        now = self.clock.now()
        if now < self._next_evaluation_at:
            self._schedule_evaluation(self._next_evaluation_at - now)
            return
        self._start_and_refuse_due(now)
        took_s = self.clock.now() - now
        self._next_evaluation_at = (
            now + took_s + max(MIN_EVALUATION_PAUSE_S, EVALUATION_PAUSE_RATIO * took_s)
        )
        if len(self.queue):
            self._schedule_evaluation(EVALUATION_INTERVAL_S)

    def _start_and_refuse_due(self, now: float) -> None:
        upstreams = self._upstreams()
        self.rate_limits.want_waiting(self.service, self.queue.counts_by_homes())
        self.model.processes = self.upstream_registry.processes
        if not upstreams:
            self._resolve_all(None)
        self._refuse_without_home(upstreams)
        if self.model.processes >= LARGE_FLEET_PROCESSES:
            self._record_backlog(upstreams, now)
        for start in self.queue.take_starts(upstreams, self.model, self.targets(), now):
            self._passed_over.record(start, now)
            owner: _WaitingCall = start.waiting.owner
            owner.resolve(self._record_sent(owner.call, start.placement, now))
        if self.upstream_registry.evacuations.domains:
            self._refuse_evacuated()
        for waiting in self.queue.take_expired(now):
            call = waiting.owner.call
            refusal = self.held_calls.refusal(call, len(self.queue))
            if refusal is None and call.sends:
                refusal = failure_of(call)
            waiting.owner.refuse(
                refusal or RequestError(ErrorKind.OVERLOADED, self._describe_backlog(now))
            )

    def _refuse_evacuated(self) -> None:
        """Refuse the calls for which no upstream is left outside evacuated failure domains."""
        is_evacuated: dict[tuple[str | None, Homes | None], bool] = {}
        for waiting in self.queue.all():
            call = waiting.owner.call
            group = (call.software_version, call.homes)
            if group not in is_evacuated:
                is_evacuated[group] = self.held_calls.is_evacuated(call)
            if is_evacuated[group]:
                self.queue.remove(waiting)
                waiting.owner.refuse(self.held_calls.evacuation_refusal(call) or failure_of(call))

    def _refuse_without_home(self, upstreams: Sequence[Upstream]) -> None:
        """Refuse requests at once whose homes have no upstream, as if the service had none."""
        present: dict[Homes | None, bool] = {None: True}
        for waiting in self.queue.all():
            homes = waiting.demand.homes
            if homes not in present:
                domains = {item.entry.failure_domain for item in upstreams}
                present[homes] = any(map(homes.allows_domain, domains))
            if not present[homes]:
                self.queue.remove(waiting)
                waiting.owner.resolve(None)

    def apply_homes(self) -> None:
        """Apply the homes of the configuration now in force to the requests that wait."""
        for waiting in self.queue.all():
            homes = waiting.owner.call.homes
            if homes is not waiting.demand.homes:
                waiting.demand = attrs.evolve(waiting.demand, homes=homes)

    def _record_backlog(self, upstreams: Sequence[Upstream], now: float) -> None:
        """Update the decision whether upstreams are reserved for steady streams."""
        backlogs = self._backlogs_s(upstreams, now)
        if backlogs:
            mean_s = sum(backlogs) / len(backlogs)
            self.model.steady_reservation.record_backlog(mean_s / self.targets().tightest_s, now)

    def _schedule_evaluation(self, delay_s: float) -> None:
        """Schedule the next evaluation after a delay, unless an earlier one is scheduled."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay_s
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = loop.call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.evaluate()

    def _upstreams(self) -> list[Upstream]:
        return self.upstream_registry.of_service(self.service)

    def _backlogs_s(self, upstreams: Sequence[Upstream], now: float) -> list[float]:
        """Return the times to read the pending prompts of the upstreams that accept work."""
        return [
            self.model.reading_s(item, item.pending.tokens(now), now)
            for item in upstreams
            if item.accepts_work()
        ]

    def _describe_backlog(self, now: float) -> str:
        least = min(self._backlogs_s(self._upstreams(), now), default=0.0)
        return f"{len(self.queue)} others wait; the least busy upstream has {least:.2f} s to read"

    def record_longest_pause(self, route: ForwardRoute, longest_s: float) -> None:
        """Update the model with the longest pause between two events of a complete answer."""
        targets = self.targets()
        if targets.shortest_pause_s is not None:
            is_steady = targets.is_steady(route)
            self.model.steady_reservation.record_pause(
                longest_s, targets.shortest_pause_s, is_steady
            )

    def _make_waiting(self, call: ForwardCall) -> WaitingPrompt:
        silence = call.route.silence_s or call.route.timeout_s
        patience = call.deadline - call.started
        hold_s = min(MAX_WAIT_SILENCE_SHARE * silence, MAX_WAIT_PATIENCE_SHARE * patience)
        return WaitingPrompt(
            self._make_demand(call),
            call.route.priority,
            call.started + call.route.target_s,
            max(call.started + hold_s, self._least_give_up_at(call)),
            call.tried,
            _WaitingCall(call, asyncio.get_running_loop().create_future()),
            rank=call.rank,
        )

    def _least_give_up_at(self, call: ForwardCall) -> float:
        """Return until when a call waits however long it has waited before."""
        wait_s = RETRY_WAIT_S if call.sends or call.unreachable else 0.0
        return self.clock.now() + wait_s

    def _make_demand(self, call: ForwardCall) -> Demand:
        uses_short = self.model.switches.uses(Mechanism.SHORT_FIRST)
        short_s = SHORT_READING_SHARE * self.targets().tightest_s if uses_short else 0.0
        patience_s = call.deadline - call.started
        is_steady = self.targets().is_steady(call.route)
        return Demand(
            call.request.prompt,
            call.route.target_s,
            patience_s,
            short_s,
            is_steady,
            call.software_version,
            self.may_crash(call),
            call.homes,
            call.round_trips,
        )

    def _resolve_all(self, result: SentPrompt | None) -> None:
        for waiting in self.queue.take_all():
            waiting.owner.resolve(result)

    def _send_immediately(self, call: ForwardCall) -> SentPrompt | None:
        now = self.clock.now()
        placement = place_prompt(
            self._upstreams(), self._make_demand(call), self.model, call.tried, now
        )
        return None if placement is None else self._record_sent(call, placement, now)

    def _record_sent(self, call: ForwardCall, placement: Placement, now: float) -> SentPrompt:
        upstream = placement.upstream
        self.held_calls.take(upstream, call.rank)
        ahead = 0 if placement.is_short else upstream.pending.tokens(now)
        prompt = call.request.prompt
        sent = SentPrompt(call.request.id, prompt, placement, ahead, now)
        upstream.pending.add(sent.call, placement.tokens, now)
        upstream.record_sent(prompt)
        self.note_change()
        return sent


@attrs.define(eq=False)
class _WaitingCall:
    """The call that a waiting prompt belongs to.

    Parameters
    ----------
    call : ForwardCall
    started : asyncio.Future
        Its result is the :class:`SentPrompt`.
    """

    call: ForwardCall
    started: asyncio.Future

    def resolve(self, result: SentPrompt | None) -> None:
        if not self.started.done():
            self.started.set_result(result)

    def refuse(self, error: RequestError) -> None:
        if not self.started.done():
            self.started.set_exception(CallError(error))
