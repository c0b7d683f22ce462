"""Check the answers of upstreams, and pass on what is complete and belongs to the request."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from functools import partial

import aiohttp
import attrs
from aiohttp import web

from burdockquay_coordination.forwarding import Interruption, RouteKind, Upstream

from .._body_end import check_body_end, protocol_of
from .._bounded_answers import abort_answer
from ._call import Answered, Broke, ForwardCall, NotRun, Outcome
from ._connections import SENT_ERRORS, BrokenError, broken_error, read_body
from ._event_stream import EventSplitter, StreamEvent
from ._headers import end_to_end_headers
from ._platform import AnswerFacts
from ._state import ForwarderState
from ._stream_origins import record_origin

MAX_COMMENT_BYTES = 16 << 10
"""Most bytes of comments of a stream between two events with data."""

MAX_REPEATED_BYTES = 256 << 10
"""Most bytes of a stream between two new events: events that the caller has already, and comments.
"""

STREAM_SLICE_BYTES = 8 << 10
"""Bytes of a stream that are processed at a time, so that other requests are not delayed."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which a caller concludes that its request certainly has not run."""


class AnswerHandler:
    """Checks answers and passes them on.

    Parameters
    ----------
    state : ForwarderState
    """

    def __init__(self, state: ForwarderState):
        self.state = state

    async def handle(
        self, call: ForwardCall, upstream: Upstream, response: aiohttp.ClientResponse
    ) -> Outcome:
        """Return the outcome of a send, once its answer was passed on or is ready to be.

        Raises
        ------
        BrokenError
            If the connection breaks before the end of the answer.
        """
        facts = self.state.platform.read_answer(response.status, response.headers)
        if facts.request_id not in (None, call.request.id):
            return record_broken(
                self.state, call, upstream, "answer to another request", crashed=False
            )
        if facts.not_run and facts.answered_by not in (None, upstream.id):
            self.state.upstream_registry.drop(upstream)
            return NotRun(upstream, "another incarnation answered")
        self.state.statements.record_answer(upstream, facts, call)
        if response.status < 300 and not facts.sealed:
            return record_broken(
                self.state, call, upstream, "answer without proof of origin", crashed=False
            )
        if response.status < 300 and call.route.kind is RouteKind.STREAM:
            return await self._handle_stream(call, upstream, response, facts)
        return await self._handle_plain(call, upstream, response, facts)

    async def _handle_plain(
        self,
        call: ForwardCall,
        upstream: Upstream,
        response: aiohttp.ClientResponse,
        facts: AnswerFacts,
    ) -> Outcome:
        connection = call.incoming.protocol
        await connection.reserve_answer(response.content_length or 0)
        body = await read_body(response, self.state.held_answers)
        connection.hold_answer(len(body))
        if facts.not_run and response.status != 400:
            return NotRun(upstream, f"status {response.status}")
        if not facts.not_run:
            call.maybe_run = True
            count_plain(self.state, call)
        if call.answer is not None:
            return Broke(upstream, f"status {response.status} to the rest of a stream")
        ready = web.Response(
            status=response.status,
            reason=response.reason,
            body=body,
            headers=end_to_end_headers(response.headers),
        )
        if response.status < 500 and response.status not in NOT_RUN_STATUSES:
            upstream.health.record_success(self.state.clock.now())
            self._record_begun(call)
            return Answered(ready)
        if response.status in NOT_RUN_STATUSES:
            # The caller would conclude that the request has not run.
            return Broke(upstream, f"status {response.status} without proof that it did not run")
        return Broke(upstream, f"status {response.status}", ready)

    async def _handle_stream(
        self,
        call: ForwardCall,
        upstream: Upstream,
        response: aiohttp.ClientResponse,
        facts: AnswerFacts,
    ) -> Outcome:
        call.maybe_run = True
        if call.answer is None:
            call.weights_version = facts.weights_version
        protocol = protocol_of(response)
        splitter = EventSplitter()
        first_at = None
        count = 0
        idle = IdleBytes()
        connection = call.incoming.protocol
        passed_on = 0
        held = self.state.held_answers
        with held.account(partial(abort_answer, protocol, "too many bytes of events")) as answer:
            async for data in _read_chunks(response):
                connection.hold_answer(response.content.total_bytes - passed_on)
                passed_on += len(data)
                events = splitter.feed(data)
                held.resize(answer, len(splitter.rest))
                if idle.exceeds(events, call.last_event):
                    abort_answer(protocol, "too many bytes without a new event")
                    raise BrokenError("too many bytes without a new event", crashed=False)
                if answer.is_given_up:
                    raise BrokenError("too many bytes of events", crashed=False)
                count += len(events)
                if events:
                    now = self.state.clock.now()
                    call.record_events(now)
                    self._record_begun(call)
                    first_at = first_at or now
                await self._forward_events(call, events, response)
        if splitter.rest:
            return record_broken(self.state, call, upstream, "ended inside an event")
        if not count and _ends_with_connection(response) and not _may_be_empty(call):
            return record_broken(self.state, call, upstream, "ended before its first event")
        if call.answer is None:
            await self._write_head(call, response)
        await call.answer.write_eof()
        if call.by_prompt and first_at is not None:
            self.state.dispatcher(call.service).record_pace(
                upstream,
                call.request.prompt.answer_tokens,
                count - 1,
                self.state.clock.now() - first_at,
            )
            self.state.dispatcher(call.service).record_longest_pause(
                call.route, call.longest_pause_s
            )
        upstream.health.record_success(self.state.clock.now())
        return Answered(call.answer)

    async def _forward_events(
        self, call: ForwardCall, events: list[StreamEvent], response: aiohttp.ClientResponse
    ) -> None:
        if events:
            count_usage(self.state, call, call.newest_event_at)
            self._record_first_token(call)
        fresh = [event for event in events if _is_new(event, call.last_event)]
        if not fresh:
            return
        if call.answer is None:
            await self._write_head(call, response)
        # The library buffers the events before it waits for a slow caller. A run that ends during
        # that wait continues at another upstream and must not repeat the buffered events.
        if call.software_version is None:
            await record_origin(self.state, call)
        for event in fresh:
            call.last_event = event.id or call.last_event
        await call.answer.write(b"".join(event.data for event in fresh))

    async def _write_head(self, call: ForwardCall, response: aiohttp.ClientResponse) -> None:
        """Write the head of a stream to the caller; after that, no other answer is possible."""
        answer = web.StreamResponse(
            status=response.status,
            reason=response.reason,
            headers=end_to_end_headers(response.headers),
        )
        if self.state.leaving:
            answer.force_close()
        call.answer = answer
        await answer.prepare(call.incoming)

    def _record_begun(self, call: ForwardCall) -> None:
        if not call.has_begun:
            call.has_begun = True
            self.state.parts.record_begun(call.shared_parts)

    def _record_first_token(self, call: ForwardCall) -> None:
        if call.sent is not None:
            self.state.dispatcher(call.service).record_first_token(call.sent)
            call.sent = None


def count_usage(state: ForwarderState, call: ForwardCall, begun_at: float) -> None:
    """Count a request that began to run at an upstream, once."""
    if not call.is_counted:
        call.is_counted = True
        state.count_usage(call.organisation, begun_at)


def count_plain(state: ForwarderState, call: ForwardCall) -> None:
    """Count a request without a prompt; one with a prompt begins with its first token."""
    if not call.by_prompt:
        count_usage(state, call, call.sent_at)


def record_broken(
    state: ForwarderState, call: ForwardCall, upstream: Upstream, reason: str, crashed: bool = True
) -> Broke:
    """Record that an upstream broke off a call, and return that outcome.

    Parameters
    ----------
    crashed : bool
        Whether the connection broke, as it does when an upstream goes down.
    """
    call.maybe_run = True
    if crashed:
        # Most upstreams that break off have begun to run the request.
        count_plain(state, call)
        interruption = Interruption(
            call.request.id, call.digest, call.shared_parts, call.has_begun, state.clock.now()
        )
        state.suspects.record_interruption(interruption, upstream.incarnation)
    return Broke(upstream, reason, crashed=crashed)


@attrs.define
class IdleBytes:
    """Bytes of a stream that bring it no further.

    Parameters
    ----------
    comments : int
        Since the newest event with data.
    repeated : int
        Since the newest event that the caller has not received.
    """

    comments: int = 0
    repeated: int = 0

    def exceeds(self, events: Iterable[StreamEvent], last: str | None) -> bool:
        """Count events, and return whether there are too many bytes.

        Parameters
        ----------
        events : iterable of StreamEvent
        last : str or None
            Id of the last event that the caller has.
        """
        for event in events:
            self.comments = 0 if event.has_data else self.comments + len(event.data)
            is_progress = event.has_data and _is_new(event, last)
            self.repeated = 0 if is_progress else self.repeated + len(event.data)
        return self.comments > MAX_COMMENT_BYTES or self.repeated > MAX_REPEATED_BYTES


async def _read_chunks(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    protocol = protocol_of(response)
    try:
        while data := await response.content.read(STREAM_SLICE_BYTES):
            yield data
            if len(data) == STREAM_SLICE_BYTES:
                await asyncio.sleep(0)
        check_body_end(protocol)
    except SENT_ERRORS as error:
        raise broken_error(error) from error


def _ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether an answer has neither a length nor chunks."""
    headers = response.headers
    chunked = "chunked" in headers.get("Transfer-Encoding", "").lower()
    return not chunked and "Content-Length" not in headers


def _may_be_empty(call: ForwardCall) -> bool:
    """Return whether nothing is left of a stream that goes on after its last event."""
    return call.last_event is not None or call.request.resume_after is not None


def _is_new(event: StreamEvent, last: str | None) -> bool:
    """Return whether the caller has not received an event yet."""
    if last is None or event.number is None or not last.isdecimal():
        return True
    return event.number > int(last)
