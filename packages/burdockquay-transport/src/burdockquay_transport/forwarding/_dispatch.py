"""Lets prompts wait for upstreams, and learns from what they bring."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from burdockquay_coordination.forwarding import (
    SHORT_SHARE,
    Demand,
    EngineModel,
    ForwardRoute,
    Mechanism,
    Placement,
    PromptQueue,
    ServiceTargets,
    Switches,
    Upstream,
    UpstreamBook,
    WaitingPrompt,
    place_prompt,
)
from burdockquay_protocol import ErrorKind, RequestError

from .._call_error import CallError
from .._clock import Clock
from .._events import Event, log_event
from ._call import ForwardCall
from ._sent_prompt import SentPrompt

LOOK_S = 0.02
"""Time between two looks at what waits, seconds. Most starts come at once with the news that an
upstream has read a prompt; this catches what only time changes."""

PAUSE_S = 0.004
"""Shortest pause between two looks, seconds: unnoticed beside the tightest targets of prompts, some
hundred milliseconds, and longer than the burst of news that one event of an upstream brings."""

PAUSE_RATIO = 3.0
"""The same in times of what the last look took: looks take a quarter of a process at most."""

SILENCE_SHARE = 0.6
PATIENCE_SHARE = 0.33
"""Parts of the silence that callers bear, and of their patience, after which a request that has not
started is refused: its caller can still come back in time for a late answer."""


class PromptDispatcher:
    """Starts the prompts of one service in order, as upstreams have room.

    Parameters
    ----------
    service : str
    book : UpstreamBook
    clock : Clock
    targets : callable
        Returns what the routes to the service demand now.
    note_ratio : callable
        Called with the ratio of each time to the first token to its prediction.
    switches : Switches
    """

    def __init__(
        self,
        service: str,
        book: UpstreamBook,
        clock: Clock,
        targets: Callable[[], ServiceTargets],
        note_ratio: Callable[[float], None],
        switches: Switches,
    ):
        self.service = service
        self.book = book
        self.clock = clock
        self.targets = targets
        self.note_ratio = note_ratio
        self.model = EngineModel(switches)
        self.queue = PromptQueue()
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        self._next_look_at = float("-inf")

    async def start(self, call: ForwardCall) -> SentPrompt | None:
        """Wait until a call may start, and note it at its upstream; None if there is no upstream.

        Raises
        ------
        CallError
            If it has waited too long.
        """
        if call.sends or call.unreachable:
            # It waited before its first send, and its caller has been waiting since.
            return self._send_at_once(call)
        waiting = self._make_waiting(call)
        prompt = call.request.prompt
        self.model.pace.note_demand(
            waiting.demand.is_steady, prompt.own_tokens, prompt.answer_tokens
        )
        self.queue.add(waiting)
        self.look()
        started = waiting.owner.started
        try:
            return await started
        except asyncio.CancelledError:
            # The caller may leave in the moment between the start and its notice. What was noted at
            # the upstream would stay there for ever, and the upstream would seem ever slower.
            if started.done() and not started.cancelled() and started.result() is not None:
                self.ended(started.result())
            raise
        finally:
            self.queue.remove(waiting)

    def first_token(self, sent: SentPrompt) -> None:
        """Note that the first token of a prompt came."""
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
            warm=sent.placement.is_warm,
            short=sent.placement.is_short,
            fetched=sent.placement.fetched_tokens,
            fetch_s=self.model.fetch_s(sent.placement.fetched_tokens),
            running=upstream.running(now),
            token_us=self.model.first_token.slope * 1e6,
            first_s=self.model.first_token.offset,
            factor=upstream.reading.value(now),
        )
        self.note_ratio(seconds / sent.placement.first_token_s)
        tokens, fetched = sent.placement.tokens, sent.placement.fetched_tokens
        self.model.learn_first_token(
            upstream, sent.ahead, tokens, seconds, now, fetched, sent.placement.is_short
        )
        upstream.note_prompt(sent.prompt)
        self._remove(sent)

    def learn_pace(self, upstream: Upstream, tokens: int, events: int, seconds: float) -> None:
        """Learn from the pace of a whole answer behind its first event."""
        self.model.learn_answer(upstream, tokens, events, seconds, self.clock.now())

    def ended(self, sent: SentPrompt) -> None:
        """Note that a request ended before its first token."""
        sent.placement.upstream.note_abandoned(sent.prompt)
        self._remove(sent)

    def _remove(self, sent: SentPrompt) -> None:
        sent.placement.upstream.pending.remove(sent.call)
        self.look()

    def look(self) -> None:
        """Start what may start and refuse what has waited too long, now or in a moment.

        News of upstreams comes a hundred times in a second from a few dozen peers, and each may let
        something start. A look takes longer the more waits, so that under load a slow process did
        nothing else: it noticed only seconds later that callers had left, and engines worked for
        nobody. The pause after a look is therefore a multiple of the time that it took.
        """
        if not len(self.queue):
            return
        now = self.clock.now()
        if now < self._next_look_at:
            self._come_back(self._next_look_at - now)
            return
        self._start_and_refuse(now)
        took_s = self.clock.now() - now
        self._next_look_at = now + took_s + max(PAUSE_S, PAUSE_RATIO * took_s)
        if len(self.queue):
            self._come_back(LOOK_S)

    def _start_and_refuse(self, now: float) -> None:
        upstreams = self._upstreams()
        self.model.processes = self.book.processes
        if not upstreams:
            self._settle_all(None)
        for start in self.queue.take_starts(upstreams, self.model, self.targets(), now):
            owner: _Owner = start.waiting.owner
            owner.settle(self._note_sent(owner.call, start.placement, now))
        for waiting in self.queue.take_expired(now):
            waiting.owner.refuse(RequestError(ErrorKind.OVERLOADED, self._describe_load(now)))

    def _come_back(self, delay_s: float) -> None:
        """Look again after a delay at the latest."""
        loop = asyncio.get_running_loop()
        due = loop.time() + delay_s
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = loop.call_later(delay_s, self._look_again)

    def _look_again(self) -> None:
        self._timer = None
        self.look()

    def _upstreams(self) -> list[Upstream]:
        return self.book.of_service(self.service)

    def _describe_load(self, now: float) -> str:
        backlogs = [
            self.model.reading_s(item, item.pending.tokens(now), now)
            for item in self._upstreams()
            if item.takes_work()
        ]
        least = min(backlogs, default=0.0)
        return f"{len(self.queue)} others wait; the least busy upstream has {least:.2f} s to read"

    def learn_pause(self, route: ForwardRoute, longest_s: float) -> None:
        """Learn from the longest pause between two events of a whole answer."""
        targets = self.targets()
        if targets.shortest_pause_s is not None:
            is_steady = targets.is_steady(route)
            self.model.pace.note_pause(longest_s, targets.shortest_pause_s, is_steady)

    def _make_waiting(self, call: ForwardCall) -> WaitingPrompt:
        silence = call.route.silence_s or call.route.timeout_s
        patience = call.ends - call.started
        hold_s = min(SILENCE_SHARE * silence, PATIENCE_SHARE * patience)
        return WaitingPrompt(
            self._demand_of(call),
            call.urgency,
            call.started + call.route.target_s,
            call.started + hold_s,
            call.tried,
            _Owner(call, asyncio.get_running_loop().create_future()),
            rank=call.rank,
        )

    def _demand_of(self, call: ForwardCall) -> Demand:
        uses_short = self.model.switches.uses(Mechanism.SHORT_FIRST)
        short_s = SHORT_SHARE * self.targets().tightest_s if uses_short else 0.0
        patience_s = call.ends - call.started
        is_steady = self.targets().is_steady(call.route)
        return Demand(call.request.prompt, call.route.target_s, patience_s, short_s, is_steady)

    def _settle_all(self, result: SentPrompt | None) -> None:
        for waiting in self.queue.take_all():
            waiting.owner.settle(result)

    def _send_at_once(self, call: ForwardCall) -> SentPrompt | None:
        now = self.clock.now()
        placement = place_prompt(
            self._upstreams(), self._demand_of(call), self.model, call.tried, now
        )
        return None if placement is None else self._note_sent(call, placement, now)

    def _note_sent(self, call: ForwardCall, placement: Placement, now: float) -> SentPrompt:
        upstream = placement.upstream
        ahead = 0 if placement.is_short else upstream.pending.tokens(now)
        prompt = call.request.prompt
        sent = SentPrompt(call.request.id, prompt, placement, ahead, now)
        upstream.pending.add(sent.call, placement.tokens, now)
        upstream.note_sent(prompt)
        return sent


@attrs.define(eq=False)
class _Owner:
    """The call behind a waiting prompt.

    Parameters
    ----------
    call : ForwardCall
    started : asyncio.Future
        Its result is the :class:`SentPrompt`.
    """

    call: ForwardCall
    started: asyncio.Future

    def settle(self, result: SentPrompt | None) -> None:
        if not self.started.done():
            self.started.set_result(result)

    def refuse(self, error: RequestError) -> None:
        if not self.started.done():
            self.started.set_exception(CallError(error))
