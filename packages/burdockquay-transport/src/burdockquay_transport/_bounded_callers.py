"""HTTP server connections that bound what a caller may take."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from burdockquay_coordination import CallerPhase, GiveUpReason, UnsentAnswer
from burdockquay_protocol import ErrorKind, RequestError

from ._call_error import CallError
from ._caller_guard import CallerGuard
from ._delivery import LINGER_S, DeliveringConnection
from ._events import Event, describe_fault, log_event

MAX_AHEAD_BYTES = 64 << 10
"""Bytes of further requests that are read while a request is handled."""

MAX_LINES = 128
"""Lines that are parsed at a time. Lines and chunks, and not bytes, take the parser's time."""

SLICE_BYTES = 4 << 10
"""Bytes of data with more lines that are parsed in one iteration of the event loop."""

MAX_JOINED_BYTES = 64 << 10
"""Largest body that is written together with its head, bytes."""

HEAD_SLICE_BYTES = 16 << 10
"""Bytes that are parsed at a time until a head is complete, so that its limit is noticed."""

MAX_FRAMING_FACTOR = 8
"""Bytes of framing allowed for each byte of a body; a byte in a chunk of its own takes six."""

MAX_FRAMING_BYTES = 64 << 10
"""Bytes of framing that are allowed for any body."""

_SILENT_PHASES = frozenset({CallerPhase.NEW, CallerPhase.IDLE})
"""Phases in which a connection is closed without loss."""

_REFUSED_PHASES = frozenset({CallerPhase.HEAD, CallerPhase.WAITING})
"""Phases in which a request is refused; in all others there is none, or no answer is possible."""

_REFUSAL_KINDS = {
    GiveUpReason.HEAD_TIMEOUT: ErrorKind.REQUEST_TIMEOUT,
    GiveUpReason.MEMORY: ErrorKind.CALLER_LIMIT,
}
"""Refusals for the reasons for which a request is given up that may be refused."""


Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class BoundedConnection(DeliveringConnection):
    """A connection of a caller whose requests and answers are accounted for.

    Parameters
    ----------
    manager : Server
    guard : CallerGuard
    **options
        See :class:`aiohttp.web.Server`.

    Notes
    -----
    The library bounds lines, headers and requests ahead, but not their sum, and it keeps what
    follows a request that it cannot parse.
    """

    def __init__(self, manager: web.Server, guard: CallerGuard, **options: Any):
        super().__init__(manager, lingering_time=LINGER_S, **options)
        self._guard = guard
        self._account = None
        self._head_bytes = 0
        self._has_partial_line = False
        # Received bytes of each request that is not answered, in order.
        self._sizes: deque[int] = deque()
        self._last_body: StreamReader = EMPTY_PAYLOAD
        self._pending = b""
        self._is_held_back = False
        self._is_dropping = False
        self._dropped_bytes = 0
        self._written_bytes = 0
        self._measure_backlog: Callable[[], int] = int
        self._request: web.BaseRequest | None = None
        self._refusal: RequestError | None = None
        self._handler_task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve a connection, or close it if there is no place for it."""
        super().connection_made(transport)
        self._account = self._guard.open(self.give_up, self._measure_unsent)
        if self._account is None:
            transport.abort()

    def connection_lost(self, error: BaseException | None) -> None:
        """Release what the connection holds."""
        if self._account is not None:
            self._guard.accounts.close(self._account)
        self._pending = b""
        super().connection_lost(error)

    @property
    def is_body_complete(self) -> bool:
        """Whether the bodies of all requests were received."""
        return self._last_body.is_eof()

    @property
    def is_dropping(self) -> bool:
        """Whether everything that the caller still sends is dropped."""
        return self._is_dropping or self.is_lingering

    @property
    def has_pending(self) -> bool:
        """Whether data was received that is not parsed yet."""
        return bool(self._pending)

    def data_received(self, data: bytes) -> None:
        """Process data from the caller, in pieces where it takes long to parse."""
        if self._is_dropping or self._close:
            self._drop(len(data))
            return
        accounts = self._guard.accounts
        if data:
            accounts.receive(self._account, len(data), self._guard.now())
        if data and self._pending:
            # Reading stops a moment after it was paused.
            self._pending += data
        elif len(data) > SLICE_BYTES and data.count(b"\n") > MAX_LINES:
            self._parse_later(data)
        else:
            self._parse_pieces(data)
        # Only a request that was parsed can be refused.
        accounts.check(self._guard.now())

    def parse_slice(self) -> bool:
        """Parse a part of the pending data; return whether there is more."""
        piece, self._pending = self._pending[:SLICE_BYTES], self._pending[SLICE_BYTES:]
        if piece and self.transport is not None:
            self._parse(piece)
        if not self._pending:
            self._read_on()
        return bool(self._pending)

    def mark_running(self) -> None:
        """Record that the request that is handled is passed on."""
        self._enter(CallerPhase.RUNNING)

    async def reserve_answer(self, size: int) -> None:
        """Wait until there is room for an answer of a known length, bytes."""
        await self._guard.reserve(self._account, size)

    def watch_backlog(self, measure: Callable[[], int]) -> None:
        """Count what is kept of the answer to the request that is handled as not taken.

        Parameters
        ----------
        measure : callable
            Returns the bytes that wait to be written.
        """
        self._measure_backlog = measure

    def try_hold_answer(self, size: int) -> bool:
        """Record how many bytes of an answer are kept; return False if it must be given up."""
        return self._guard.accounts.try_hold(self._account, size, self._guard.now())

    def hold_answer(self, size: int) -> None:
        """Record how many bytes of an answer are kept until they can be written."""
        self._guard.accounts.set_answer(self._account, size)

    def give_up(self, reason: GiveUpReason) -> None:
        """Refuse the request that is being received, or close the connection."""
        phase = self._account.phase
        self._guard.record_given_up(reason, phase)
        kind = _REFUSAL_KINDS.get(reason)
        if kind is not None and phase in _REFUSED_PHASES and not self._is_dropping:
            self.refuse(RequestError(kind))
        elif phase in _SILENT_PHASES and self.transport is not None:
            self.transport.close()
            self._guard.accounts.close(self._account)
        else:
            self.abort()

    def close_delivered(self) -> None:
        """Drop what follows, and close the connection once the caller closes its side."""
        while len(self._sizes) > 1:
            self._guard.accounts.release(self._account, self._sizes.pop())
        self._messages.clear()
        if self.transport is not None:
            self._discard_unparsed()
        super().close_delivered()

    def abort(self) -> None:
        """Close the connection at once; what was not sent is lost."""
        if self.transport is not None:
            self.transport.abort()
        self._guard.accounts.close(self._account)

    def refuse(self, error: RequestError) -> None:
        """Refuse the newest request, and drop what follows."""
        if self.transport is None:
            return
        self._drop_rest()
        if not self.is_body_complete:
            with contextlib.suppress(RuntimeError):
                # Raised if the handler waits for data, so that there is none.
                self._last_body.read_nowait()
            self._last_body.set_exception(CallError(error))
        elif self._sizes and not self._head_bytes:
            self._refusal = error
            if self._handler_task is not None:
                self._handler_task.cancel()
        else:
            self._refuse_head(error)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the refusal of a request that could not be parsed or handled."""
        if isinstance(exc, CallError):
            error = exc.error
        elif isinstance(exc, LineTooLong):
            limit = self._guard.terms.max_head_bytes
            error = RequestError(ErrorKind.HEAD_TOO_LARGE, f"expected at most {limit} bytes")
        elif status < 500:
            error = RequestError(ErrorKind.BAD_REQUEST, type(exc).__name__)
        else:
            log_event(Event.INTERNAL_ERROR, where="caller request", error=describe_fault(exc))
            error = RequestError(ErrorKind.INTERNAL)
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun already")
        response = self._guard.refuse(error)
        response.force_close()
        return response

    def log_exception(self, *args: Any, **options: Any) -> None:
        """Log a fault of the server without what the caller sent."""
        fault = describe_fault(options.get("exc_info") or RuntimeError())
        log_event(Event.INTERNAL_ERROR, where="caller connection", error=fault)

    def _record_undelivered(self, size: int) -> None:
        self._guard.record_undelivered(size, self._account.received)

    def _parse_later(self, data: bytes) -> None:
        if not self._sizes:
            self._enter(CallerPhase.HEAD)
        self._pending = data
        self._hold_back()
        self._guard.parse_later(self)

    def _parse_pieces(self, data: bytes) -> None:
        """Parse data at once, in pieces until a head is complete."""
        if len(data) <= HEAD_SLICE_BYTES:
            self._parse(data)
            return
        start = 0
        while start < len(data) and not self._is_dropping and self.transport is not None:
            end = start + HEAD_SLICE_BYTES if self.is_body_complete else len(data)
            self._parse(data[start:end])
            start = end

    def _parse(self, data: bytes) -> None:
        was_complete = self.is_body_complete
        added = self._feed(data)
        if added:
            self._record_requests(added, len(data))
        elif not was_complete:
            self._record_body(len(data))
        elif data:
            self._record_head(data)
        if self._is_too_far_ahead:
            self._hold_back()

    @property
    def _is_too_far_ahead(self) -> bool:
        """Whether the requests behind the one that is handled are not read further."""
        sizes = self._sizes
        return len(sizes) > 1 and self._account.received - sizes[0] > MAX_AHEAD_BYTES

    def _feed(self, data: bytes) -> int:
        """Pass data to the parser and return the number of requests that it completed."""
        known = self._request_count
        super().data_received(data)
        return self._request_count - known

    def _record_requests(self, count: int, size: int) -> None:
        if not self._sizes:
            self._enter(CallerPhase.WAITING)
        self._sizes.extend([self._head_bytes + size] + [0] * (count - 1))
        self._head_bytes = 0
        self._has_partial_line = False
        body_before = self._last_body
        message, self._last_body = self._messages[-1]
        if isinstance(message, _ErrInfo):
            if not body_before.is_eof():
                body_before.set_exception(CallError(RequestError(ErrorKind.BAD_REQUEST)))
            # Whatever follows would fail too, and each error would keep the data that caused it.
            self._drop_rest()

    def _record_body(self, size: int) -> None:
        if self._sizes:
            self._sizes[-1] += size
            self._check_framing()
            return
        # The request was answered before its end.
        self._guard.accounts.release(self._account, size)
        self._dropped_bytes += size
        if self.is_body_complete:
            self._dropped_bytes = 0
            self._enter(CallerPhase.IDLE)
        elif self._dropped_bytes > self._guard.terms.max_body_bytes:
            self._drop_rest()
            self._last_body.feed_eof()

    def _record_head(self, data: bytes) -> None:
        self._head_bytes += len(data)
        # Some callers send an empty line after a body.
        if not self._has_partial_line and data.strip(b"\r\n"):
            self._has_partial_line = True
            if not self._sizes:
                self._enter(CallerPhase.HEAD)
        limit = self._guard.terms.max_head_bytes
        if self._head_bytes > limit and not self._is_dropping:
            detail = f"expected at most {limit} bytes"
            self.refuse(RequestError(ErrorKind.HEAD_TOO_LARGE, detail))

    def _check_framing(self) -> None:
        if self._is_dropping or self.is_body_complete:
            return
        allowance = MAX_FRAMING_BYTES + MAX_FRAMING_FACTOR * self._last_body.total_bytes
        if self._sizes[-1] > allowance:
            detail = f"over {MAX_FRAMING_BYTES} bytes that are not part of the body"
            self.refuse(RequestError(ErrorKind.BAD_REQUEST, detail))

    def _refuse_head(self, error: RequestError) -> None:
        """Queue a refusal behind the requests that are not answered yet."""
        info = _ErrInfo(status=error.answer.status, exc=CallError(error), message="")
        self._messages.append((info, EMPTY_PAYLOAD))
        self._request_count += 1
        self._sizes.append(0)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler: Handler
    ) -> tuple[web.StreamResponse, bool]:
        # The answer before must not stay in the buffer beside the next one.
        await self._drain_helper()
        self._request = request
        self._handler_task = asyncio.current_task()

        async def handle(incoming: web.BaseRequest) -> web.StreamResponse:
            response = await request_handler(incoming)
            if self._is_last and not response.prepared:
                response.force_close()
            return response

        try:
            response, is_lost = await self._handle_or_refuse(request, start_time, handle)
            if isinstance(response, web.Response):
                # The library keeps it until the next request.
                response.body = None
            if self._is_last and not is_lost:
                # The traceback of the error before keeps what the handler has read.
                request.content.set_exception(ConnectionError("the request was refused"))
            if not is_lost and (self._is_last or self._close or not response.keep_alive):
                self.close_delivered()
            return response, is_lost
        finally:
            self._handler_task = None
            self._end_request(request)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer; return it, and whether the caller has disconnected."""
        body = resp.body if isinstance(resp, web.Response) else None
        if isinstance(body, bytes) and len(body) > MAX_JOINED_BYTES:
            # The library would write a copy of the body behind the head.
            with contextlib.suppress(ConnectionError):
                writer = await resp.prepare(request)
                writer.send_headers()
        return await super().finish_response(request, resp, start_time)

    async def _handle_or_refuse(
        self, request: web.BaseRequest, start_time: float | None, handle: Handler
    ) -> tuple[web.StreamResponse, bool]:
        try:
            return await super()._handle_request(request, start_time, handle)
        except asyncio.CancelledError:
            if self._refusal is None or self.transport is None:
                raise
            self._handler_task.uncancel()
            response = self._guard.refuse(self._refusal)
            response.force_close()
            return await self.finish_response(request, response, start_time)

    @property
    def _is_last(self) -> bool:
        """Whether the request that is handled is the last one of the connection."""
        return self._is_dropping and len(self._sizes) <= 1

    def _end_request(self, request: web.BaseRequest) -> None:
        accounts = self._guard.accounts
        self._written_bytes += request.writer.output_size
        self._request = None
        self._measure_backlog = int
        request._read_bytes = None
        if self.is_dropping and not request.content.is_eof():
            request.content.feed_eof()
        if self.transport is None or not self._sizes:
            return
        accounts.release(self._account, self._sizes.popleft())
        accounts.set_answer(self._account, 0)
        self._dropped_bytes = 0
        self._enter(self._next_phase())
        accounts.observe(self._account, self._guard.now())
        self._read_on()

    def _next_phase(self) -> CallerPhase:
        """Return the phase after an answer; one that is sent already leaves the connection idle."""
        if self._sizes:
            return CallerPhase.WAITING
        if self._is_dropping or not self.is_body_complete:
            return CallerPhase.CLOSING
        is_head = self._has_partial_line or self._pending
        return CallerPhase.HEAD if is_head else CallerPhase.UNREAD

    def _drop_rest(self) -> None:
        """Drop all further data, and read it so that the connection is not reset."""
        self._is_dropping = True
        self._discard_unparsed()

    def _discard_unparsed(self) -> None:
        self._guard.accounts.release(self._account, len(self._pending) + self._head_bytes)
        self._pending = self._message_tail = b""
        self._dropped_bytes = 0
        self._is_held_back = False
        self._resume_transport_reading()

    def _drop(self, size: int) -> None:
        self._dropped_bytes += size
        if self._dropped_bytes > self._guard.terms.max_body_bytes:
            self._pause_transport_reading()
            if self.is_lingering:
                self.force_close()

    def _hold_back(self) -> None:
        self._is_held_back = True
        self._pause_transport_reading()

    def _read_on(self) -> None:
        """Read again unless requests ahead or data that is not parsed prevent it."""
        if not self._is_held_back or self._pending or self._is_too_far_ahead:
            return
        self._is_held_back = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        if not self._is_held_back:
            super()._resume_transport_reading()

    def _measure_unsent(self) -> UnsentAnswer:
        if self.transport is None:
            return UnsentAnswer(0, self._written_bytes)
        buffered = self.transport.get_write_buffer_size()
        current = 0 if self._request is None else self._request.writer.output_size
        size = buffered + self._measure_backlog()
        return UnsentAnswer(size, self._written_bytes + current - buffered)

    def _enter(self, phase: CallerPhase) -> None:
        if self._account is not None:
            self._guard.accounts.enter(self._account, phase, self._guard.now())
