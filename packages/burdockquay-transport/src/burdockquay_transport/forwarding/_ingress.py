"""HTTP server for the callers of a forwarder."""

from __future__ import annotations

import asyncio

from aiohttp import web
from result import Err

from burdockquay_coordination import CallerTerms
from burdockquay_coordination.forwarding import (
    CallerOrganisation,
    ConfigDirectory,
    ForwardRoute,
    pick_service,
    request_priority,
    request_rank,
)
from burdockquay_protocol import ErrorKind, RequestError

from .._bounded_server import BoundedServer
from .._call_error import CallError
from .._caller_drain import FINAL_ANSWERS_TIMEOUT_S, UNFINISHED_POLL_S, CallerDrain
from .._caller_guard import CallerGuard
from .._early_listener import BACKLOG, EarlyListener
from .._events import Event, describe_fault, log_event
from .._pending_connections import accept_pending, read_pending
from .._request_body import read_request_body
from ._arrival import STARTUP_BACKLOG_S, ArrivalClock
from ._call import ForwardCall
from ._caller_limits import CallerTermsSource
from ._platform import CallerRequest
from ._refusals import Refusals
from ._relay import Relay
from ._state import ForwarderState

BODY_TIMEOUT_S = 10.0
"""Time that any caller has to send its body, seconds; one that waits longer for its answer has as
much."""

MAX_HEAD_LINE_BYTES = 65536
"""Longest line in the head of a request, bytes."""

CLOSE_TIMEOUT_S = 0.3
"""Longest wait for connections to close with the process, seconds; their answers are written."""

CALLER_DISCONNECTED_ERRORS = (ConnectionResetError, ConnectionAbortedError, BrokenPipeError)
"""Errors of a write to a caller that has disconnected."""


class Ingress:
    """Accepts the requests of callers and answers them.

    Parameters
    ----------
    state : ForwarderState
    """

    def __init__(self, state: ForwarderState):
        self.state = state
        self._relay = Relay(state)
        self._refusals = Refusals(state)
        self._handling: set[asyncio.Task] = set()
        self._calls: dict[asyncio.Task, ForwardCall] = {}
        # Requests that are refused while they wait because they can no longer be finished.
        self._released: set[asyncio.Task] = set()
        # Also includes the requests whose answers are being written.
        self._answering: set[asyncio.Task] = set()
        self._refuses_new = False
        self._has_ended = False
        self._terms = CallerTermsSource(state.settings)
        self.guard = CallerGuard(
            self._make_terms, state.clock.now, self._refuse, self._count_given_up
        )

    @property
    def held(self) -> int:
        """Number of requests of callers that are not answered yet."""
        return len(self._handling)

    def _make_terms(self) -> CallerTerms:
        directory = self.state.directory
        return self._terms.terms(directory.config.limits if directory else None)

    def _refuse(self, error: RequestError) -> web.Response:
        """Return the answer to a request that could not be read."""
        return self._refusals.answer(None, self.state.clock.now(), error)

    def _count_given_up(self, reason: str) -> None:
        self.state.metrics.callers_given_up.labels(reason).inc()

    def refresh_gauges(self) -> None:
        """Update the gauges of callers' requests and connections."""
        metrics = self.state.metrics
        metrics.held.set(self.held)
        metrics.caller_connections.set(len(self.guard.accounts))
        metrics.caller_bytes.set(self.guard.accounts.held)

    @property
    def port(self) -> int:
        """Port that it listens on."""
        return self._port

    async def start(self, early: EarlyListener) -> None:
        """Serve the callers that connect to a listening socket."""
        self._server = BoundedServer(
            self._handle,
            self.guard,
            self.state.closes_new_connections,
            access_log=None,
            max_line_size=MAX_HEAD_LINE_BYTES,
            max_field_size=MAX_HEAD_LINE_BYTES,
            auto_decompress=False,
        )
        self._drain = CallerDrain(self._server, self.state.clock.now)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=CLOSE_TIMEOUT_S)
        await self._runner.setup()
        self._listening = early.listening
        self._site = web.SockSite(self._runner, early.listening, backlog=BACKLOG)
        now = self.state.clock.now()
        self._arrivals = ArrivalClock(now - early.age(), now + STARTUP_BACKLOG_S)
        await self._site.start()
        self._port = self._runner.addresses[0][1]

    async def stop_accepting(self) -> None:
        """Accept no new connection, and close each connection once its answer is written.

        A request that arrives on a keep-alive connection much later would be cut off by the end of
        the process.
        """
        await self._stop_listening()
        await self._drain.close_idle()

    async def finish_all(self) -> None:
        """Wait until all answers are written and no request is left that this process can see."""
        while self._answering or self._drain.has_unfinished():
            if self._answering:
                await asyncio.wait(set(self._answering))
            else:
                await asyncio.sleep(UNFINISHED_POLL_S)

    async def release_unfinishable(self) -> None:
        """Refuse the requests that wait for an upstream too long to be finished, until cancelled.

        Their callers can still get a complete answer from another process.
        """
        while True:
            for task, call in self._calls.items():
                if call.maybe_run or not call.is_waiting or task in self._released:
                    continue
                if not self.state.late_calls.admit(call):
                    self._released.add(task)
                    task.cancel()
            await asyncio.sleep(UNFINISHED_POLL_S)

    async def answer_unfinished(self) -> None:
        """Cancel the running calls, and send an error for each whose answer has not begun.

        A caller whose connection is closed instead cannot tell whether its request has run.
        """
        # From here on, each request is refused as soon as it is read.
        self._has_ended = True
        final_at = self.state.clock.now() + FINAL_ANSWERS_TIMEOUT_S
        await self._stop_listening()
        await read_pending()
        for task in self._handling:
            task.cancel()
        if self._answering:
            await asyncio.wait(set(self._answering), timeout=FINAL_ANSWERS_TIMEOUT_S)
        leaving = RequestError(ErrorKind.LEAVING)
        await self._drain.refuse_partial_heads(lambda: self._refuse(leaving), final_at)

    async def _stop_listening(self) -> None:
        if self._refuses_new:
            return
        await accept_pending(self._listening)
        self._refuses_new = True
        await self._site.stop()

    async def close(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _handle(self, incoming: web.BaseRequest) -> web.StreamResponse:
        task = asyncio.current_task()
        self._handling.add(task)
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)
        incoming.protocol.begin_request(incoming.content)
        try:
            response = await self._serve(incoming)
        finally:
            self._handling.discard(task)
            self._calls.pop(task, None)
            self._released.discard(task)
            incoming.protocol.end_request(closes=self._refuses_new)
        if self.state.leaving and not response.prepared:
            response.force_close()
        return response

    async def _serve(self, incoming: web.BaseRequest) -> web.StreamResponse:
        now = self.state.clock.now()
        started = self._arrivals.arrival(incoming.transport, now)
        self.state.metrics.unread.observe(now - started)
        self.state.crowding.record_read(now - started, now)
        read = self.state.platform.read_request(
            incoming.method, incoming.raw_path, incoming.headers
        )
        if isinstance(read, Err):
            return self._refusals.answer(
                None, started, RequestError(ErrorKind.BAD_REQUEST, read.err())
            )
        request = read.ok()
        try:
            call = await self._admit(incoming, request, started)
        except CallError as failure:
            return self._refusals.answer(request, started, failure.error)
        except asyncio.CancelledError:
            if not self._has_ended:
                raise
            asyncio.current_task().uncancel()
            return self._refusals.answer(request, started, RequestError(ErrorKind.LEAVING))
        self._calls[asyncio.current_task()] = call
        return await self._run(call)

    async def _run(self, call: ForwardCall) -> web.StreamResponse:
        try:
            async with asyncio.timeout(call.deadline - self.state.clock.now()):
                with self.guard.count_request(call.service, call.organisation):
                    response = await self._relay.run(call)
            self._record_end(call, response.status, "")
            return response
        except CallError as failure:
            return self._fail(call, failure.error)
        except TimeoutError:
            kind = ErrorKind.OUTCOME_UNKNOWN if call.maybe_run else ErrorKind.DEADLINE_EXCEEDED
            return self._fail(call, RequestError(kind))
        except asyncio.CancelledError:
            if self._has_ended or asyncio.current_task() in self._released:
                asyncio.current_task().uncancel()
                if call.maybe_run:
                    self.state.late_calls.record_cut(call)
                kind = ErrorKind.OUTCOME_UNKNOWN if call.maybe_run else ErrorKind.LEAVING
                return self._fail(call, RequestError(kind))
            self._record_end(call, 0, "caller left")
            raise
        except CALLER_DISCONNECTED_ERRORS:
            self._record_end(call, 0, "caller left")
            return call.answer or web.Response()
        except Exception as error:  # noqa: BLE001
            log_event(Event.INTERNAL_ERROR, where="forwarded call", error=describe_fault(error))
            return self._fail(call, RequestError(ErrorKind.INTERNAL))

    def _fail(self, call: ForwardCall, error: RequestError) -> web.StreamResponse:
        """Answer a call that ended without a complete answer from an upstream.

        An answer that has begun is cut off: with a regular end of its body it would look complete.
        """
        if call.answer is None:
            refusal = self._refusals.answer(call.request, call.started, error)
            self._record_end(call, refusal.status, error.kind.value)
            return refusal
        self._record_end(call, error.answer.status, f"cut: {error.kind.value}")
        if call.incoming.transport is not None:
            call.incoming.transport.abort()
        return call.answer

    def _record_end(self, call: ForwardCall, status: int, reason: str) -> None:
        now = self.state.clock.now()
        seconds = now - call.started
        metrics = self.state.metrics
        metrics.calls.labels(*call.class_labels, str(status)).inc()
        metrics.whole.labels(*call.class_labels).observe(seconds)
        if call.first_at is not None or call.answer is None:
            first_s = (call.first_at or now) - call.started
            metrics.first.labels(*call.class_labels).observe(first_s)
        log_event(
            Event.CALL_ENDED,
            request=call.request.id,
            route=call.route.name,
            service=call.service,
            status=status,
            reason=reason,
            sends=call.sends,
            upstreams=",".join(call.tried),
            last_event=call.last_event,
            first_s=None if call.first_at is None else call.first_at - call.started,
            seconds=seconds,
            longest_pause_s=call.longest_pause_s if call.newest_event_at is not None else None,
            target_s=call.route.target_s,
            pause_target_s=call.route.pause_target_s,
        )

    async def _admit(
        self, incoming: web.BaseRequest, request: CallerRequest, started: float
    ) -> ForwardCall:
        """Check a request, read its body and return its call.

        Raises
        ------
        CallError
            If it is refused.
        """
        if self._has_ended:
            raise CallError(RequestError(ErrorKind.LEAVING))
        await self.state.wait_for_required_reads()
        directory = self.state.directory
        if directory is None:
            raise CallError(RequestError(ErrorKind.NOT_READY))
        route = self._find_route(directory, request)
        organisation = self._find_organisation(directory, route, request)
        patience = route.timeout_s
        if request.patience_s is not None:
            patience = min(patience, request.patience_s)
        body = await self._read_body(incoming, max(BODY_TIMEOUT_S, patience))
        if patience <= 0:
            # The placement divides times by the patience, which must not be 0.
            raise CallError(RequestError(ErrorKind.DEADLINE_EXCEEDED))
        call = ForwardCall(
            incoming,
            request,
            route,
            pick_service(route, self.state.rng),
            organisation.name if organisation else None,
            request_priority(route, organisation),
            body,
            started,
            started + patience,
            request_rank(route, organisation),
            find_homes=self.state.find_homes,
        )
        if not self.state.late_calls.admit(call):
            raise CallError(RequestError(ErrorKind.LEAVING))
        if self.state.is_crash_suspect(call):
            detail = f"{self.state.suspects.crashes(call.digest)} crashes, digest {call.digest}"
            raise CallError(RequestError(ErrorKind.CRASH_SUSPECT, detail))
        refusal = self.state.refusal_by_parts(call)
        if refusal is not None:
            raise CallError(refusal)
        return call

    def _find_route(self, directory: ConfigDirectory, request: CallerRequest) -> ForwardRoute:
        route = directory.find_route(request.host, request.path)
        if route is None:
            raise CallError(self._refusal_unless_stale(ErrorKind.NOT_FOUND))
        return route

    def _find_organisation(
        self, directory: ConfigDirectory, route: ForwardRoute, request: CallerRequest
    ) -> CallerOrganisation | None:
        if route.anonymous or not directory.needs_keys:
            return None
        found = directory.find_organisation(request.api_key or "")
        if found is None:
            raise CallError(self._refusal_unless_stale(ErrorKind.UNAUTHENTICATED))
        if not self.state.keys_trusted(self.state.clock.now()):
            raise CallError(RequestError(ErrorKind.CONFIGURATION_STALE))
        return found

    def _refusal_unless_stale(self, kind: ErrorKind) -> RequestError:
        """Return a final refusal, unless a configuration not received yet may allow the request."""
        if self.state.lease.is_fresh(self.state.clock.now()):
            return RequestError(kind)
        return RequestError(ErrorKind.CONFIGURATION_STALE)

    async def _read_body(self, incoming: web.BaseRequest, timeout_s: float) -> bytes:
        limit = self.guard.terms.max_body_bytes
        if incoming.headers.get("Expect", "").lower() == "100-continue":
            await incoming.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            incoming.writer.output_size = 0
        return await read_request_body(incoming, limit, timeout_s)
