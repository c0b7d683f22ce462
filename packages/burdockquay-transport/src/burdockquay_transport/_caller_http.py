"""HTTP server of an entry for callers."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from collections.abc import Callable
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

from aiohttp import web
from result import Err

from burdockquay_coordination import authenticate, hash_short_prefixes
from burdockquay_protocol import (
    AnswerEnd,
    AnswerHead,
    ErrorKind,
    RequestError,
    RunState,
)
from burdockquay_state import OrganisationRecord, RouteRecord

from ._addresses import bind_socket
from ._bounded_server import BoundedAppRunner
from ._call import Call, CallRequest
from ._call_error import CallError, error_body
from ._call_runner import Body, Tokens
from ._caller_drain import FINAL_ANSWERS_TIMEOUT_S, UNFINISHED_POLL_S, CallerDrain
from ._caller_guard import CallerGuard
from ._chat import ChatRequest, ChunkWriter, parse_chat
from ._early_listener import BACKLOG
from ._events import Event, describe_fault, log_event
from ._metrics import CALLER_BYTES, CALLER_CONNECTIONS, REQUESTS, refusal_counter
from ._pending_connections import accept_pending
from ._process_limits import make_caller_terms
from ._request_body import CLOSING_KINDS, read_request_body
from ._status_http import add_status_routes

if TYPE_CHECKING:
    from .entry import Entry

KEY_HEADER = "Idempotency-Key"
REQUEST_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Seconds"
CLASS_HEADER = "X-Service-Class"

MAX_KEY_CHARACTERS = 200
"""Longest idempotency key, characters."""

BODY_TIMEOUT_S = 20.0
"""Longest time a caller may take to send its body, seconds."""

ANSWER_TIMEOUT_S = 1.0
"""Longest wait until the last answers of a closing process are written, seconds."""

CLOSE_TIMEOUT_S = 0.3
"""Longest wait for connections to close with the process, seconds; their answers are written."""

_FORWARDED_HEADERS = ("Content-Type", "Accept")
"""Request headers that are forwarded to the upstream."""

_REQUEST_ID: web.RequestKey[str] = web.RequestKey("request_id", str)


class CallerServer:
    """HTTP server for callers.

    Parameters
    ----------
    entry : Entry
    """

    def __init__(self, entry: Entry):
        self.entry = entry
        self._request_tasks: set[asyncio.Task] = set()
        terms = make_caller_terms(entry.settings)
        self.guard = CallerGuard(lambda: terms, entry.now, self._error_response, self._count)
        self._aborting = False
        self._refuses_new = False

    @property
    def held(self) -> int:
        """Number of callers' requests that are not answered yet."""
        return len(self._request_tasks)

    @property
    def port(self) -> int:
        """Port it listens on."""
        return self._runner.addresses[0][1]

    async def start(self, host: str, port: int) -> None:
        """Bind the socket and start serving.

        Raises
        ------
        OSError
            If the address is in use.
        """
        app = web.Application(
            middlewares=[self._assign_id_and_map_errors],
        )
        add_status_routes(app, lambda: self.entry.ready, self.entry.describe)
        app.router.add_get("/usage", self._usage)
        app.router.add_get("/v1/models", self._models)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._service)
        self._runner = BoundedAppRunner(app, self.guard, shutdown_timeout=CLOSE_TIMEOUT_S)
        await self._runner.setup()
        self._drain = CallerDrain(self._runner.server, self.entry.now)
        self._listening = bind_socket(host, port)
        await web.SockSite(self._runner, self._listening, backlog=BACKLOG).start()

    async def stop_accepting(self) -> None:
        """Close each connection once its answer is delivered."""
        self._refuses_new = True
        await self._drain.close_idle()

    async def finish_all(self) -> None:
        """Wait until every request is answered, and the answers are delivered."""
        while self._request_tasks or self._drain.has_unfinished():
            if self._request_tasks:
                await asyncio.wait(set(self._request_tasks))
            else:
                await asyncio.sleep(UNFINISHED_POLL_S)

    async def abort_all(self) -> None:
        """Cancel all requests; each caller gets an error, or an error event in its stream."""
        self._aborting = True
        tasks = set(self._request_tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=ANSWER_TIMEOUT_S)

    async def close(self) -> None:
        """Refuse pending connections and requests, then stop listening."""
        self._aborting = True
        await accept_pending(self._listening)
        if self._request_tasks:
            await asyncio.wait(set(self._request_tasks), timeout=ANSWER_TIMEOUT_S)
        leaving = RequestError(ErrorKind.LEAVING)
        final_at = self.entry.now() + FINAL_ANSWERS_TIMEOUT_S
        await self._drain.refuse_partial_heads(lambda: self._error_response(leaving), final_at)
        await self._runner.cleanup()

    @web.middleware
    async def _assign_id_and_map_errors(
        self, request: web.Request, handler: Callable
    ) -> web.StreamResponse:
        """Assign the request id, and turn every error into its HTTP answer."""
        request[_REQUEST_ID] = secrets.token_hex(16)
        request.protocol.begin_request(request.content)
        try:
            response = await handler(request)
        except CallError as error:
            response = self._error_response(error.error)
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as refusal:
            detail = f"{request.method} {request.path[:100]}: {refusal.reason}"
            response = self._error_response(RequestError(ErrorKind.NOT_FOUND, detail))
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:  # noqa: BLE001
            log_event(Event.INTERNAL_ERROR, where="caller request", error=describe_fault(error))
            response = self._error_response(RequestError(ErrorKind.INTERNAL))
        finally:
            request.protocol.end_request(closes=self._refuses_new)
        if not response.prepared:
            response.headers[REQUEST_HEADER] = request[_REQUEST_ID]
            self._close_at_end(response)
        return response

    def _close_at_end(self, response: web.StreamResponse) -> None:
        """Tell the caller of a process that shuts down to send no more on its connection."""
        if self.entry.leaving or self._aborting:
            response.force_close()

    def _count(self, reason: str) -> None:
        self.entry.metrics.count(f"callers.given_up.{reason}")

    async def run_guard(self) -> None:
        """Enforce the limits on callers' connections, and keep their gauges, until cancelled."""
        await self.guard.run(self._set_gauges)

    def _set_gauges(self) -> None:
        metrics = self.entry.metrics
        metrics.gauge(CALLER_CONNECTIONS, len(self.guard.accounts))
        metrics.gauge(CALLER_BYTES, self.guard.accounts.held)

    def _record_refusal(self, error: RequestError) -> None:
        self.entry.metrics.count(refusal_counter(error.kind))
        log_event(Event.REQUEST_REFUSED, kind=error.kind, run=error.answer.run)

    def _error_response(self, error: RequestError) -> web.Response:
        self._record_refusal(error)
        answer = error.answer
        headers = {}
        if answer.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, round(answer.retry_after_s)))
        response = web.json_response(error_body(error), status=answer.status, headers=headers)
        if error.kind in CLOSING_KINDS:
            response.force_close()
        return response

    async def _usage(self, request: web.Request) -> web.Response:
        return web.json_response(self.entry.describe_usage())

    async def _models(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        names = sorted(
            {model for group in self.entry.snapshot.groups.values() for model in group.models}
        )
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "burdockquay"}
            for name in names
        ]
        return web.json_response({"object": "list", "data": models})

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        with _RequestScope(self) as scope:
            organisation = self._check_caller(request)
            self.entry.metrics.count(REQUESTS)
            body = await self._read_body(request)
            parsed = parse_chat(body)
            if isinstance(parsed, Err):
                raise CallError(parsed.err())
            chat = parsed.ok()
            route = self._find_route(request, organisation, chat.model)
            self._check_model(route, chat.model)
            spec = self._make_request(request, organisation, route, request.path, body, chat)
            call = scope.make_call(spec)
            request.protocol.mark_running()
            if chat.stream:
                return await self._stream_chat(request, call, chat)
            return await self._answer_chat(call, chat)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        with _RequestScope(self) as scope:
            organisation = self._check_caller(request)
            self.entry.metrics.count(REQUESTS)
            body = await self._read_body(request)
            route = self._find_route(request, organisation, "")
            path = "/" + request.match_info["path"]
            if request.query_string:
                path += "?" + request.query_string
            spec = self._make_request(request, organisation, route, path, body, None)
            call = scope.make_call(spec)
            request.protocol.mark_running()
            return await self._answer_service(request, call)

    async def _read_body(self, request: web.Request) -> bytes:
        limit = self.entry.settings.max_body_bytes
        return await read_request_body(request, limit, BODY_TIMEOUT_S)

    def _check_caller(self, request: web.Request) -> OrganisationRecord:
        if self.entry.refusing or self._aborting:
            raise CallError(RequestError(ErrorKind.LEAVING))
        if not self.entry.snapshot.revision:
            raise CallError(RequestError(ErrorKind.NOT_READY))
        return self._authenticate(request)

    def _authenticate(self, request: web.Request) -> OrganisationRecord:
        scheme, _, api_key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not api_key:
            detail = "expected the header Authorization: Bearer <API key>"
            raise CallError(RequestError(ErrorKind.UNAUTHENTICATED, detail))
        authenticated = authenticate(self.entry.snapshot, api_key.strip())
        if isinstance(authenticated, Err):
            raise CallError(authenticated.err())
        return authenticated.ok()

    def _find_route(
        self, request: web.Request, organisation: OrganisationRecord, model: str
    ) -> RouteRecord:
        service_class = request.headers.get(CLASS_HEADER, "")
        found = self.entry.routes.match(organisation.name, request.path, model, service_class)
        if isinstance(found, Err):
            raise CallError(found.err())
        return found.ok()

    def _check_model(self, route: RouteRecord, model: str) -> None:
        group = self.entry.snapshot.groups.get(route.group)
        if group is None or model not in group.models:
            raise CallError(RequestError(ErrorKind.UNKNOWN_MODEL, f"model {model[:80]!r}"))

    def _make_request(
        self,
        request: web.Request,
        organisation: OrganisationRecord,
        route: RouteRecord,
        path: str,
        body: bytes,
        chat: ChatRequest | None,
    ) -> CallRequest:
        entry = self.entry
        prefix: tuple[int, ...] = ()
        short_prefix: tuple[int, ...] = ()
        dispatcher = entry.dispatcher(route.group)
        if chat is not None and dispatcher is not None:
            prefix = tuple(dispatcher.prefixes.blocks(chat.prompt))
            short_prefix = tuple(hash_short_prefixes(chat.prompt))
        return CallRequest(
            request[_REQUEST_ID],
            organisation,
            route,
            entry.snapshot.classes[route.class_name],
            request.method,
            path,
            [
                [name, request.headers[name]]
                for name in _FORWARDED_HEADERS
                if name in request.headers
            ],
            body,
            chat is not None and chat.stream,
            entry.now() + self._read_deadline(request),
            _read_key(request, route),
            digest_request(organisation.name, request.method, path, body),
            prefix,
            chat is not None,
            short_prefix,
        )

    def _read_deadline(self, request: web.Request) -> float:
        settings = self.entry.settings
        text = request.headers.get(DEADLINE_HEADER)
        if text is None:
            return settings.default_deadline_s
        try:
            seconds = float(text)
        except ValueError:
            seconds = -1.0
        if not 0 < seconds <= settings.max_deadline_s:
            raise CallError(
                RequestError(
                    ErrorKind.BAD_REQUEST,
                    f"{DEADLINE_HEADER}: expected seconds above 0 and at most "
                    f"{settings.max_deadline_s:g}, got {text[:40]!r}",
                )
            )
        return seconds

    def _answer(self, call: Call):
        """Admit a call and return the async iterator over its answer."""
        entry = self.entry
        spec = call.spec
        dispatcher = entry.dispatcher(spec.route.group)
        if dispatcher is None:
            raise CallError(RequestError(ErrorKind.NO_UPSTREAM))
        names = (spec.organisation.name, spec.service_class.name)
        if not entry.late_runs.may_wait(spec.request, spec.run_kind, spec.deadline):
            raise CallError(RequestError(ErrorKind.LEAVING))
        admitted = entry.admission.admit(*names, dispatcher.queue, entry.now())
        if isinstance(admitted, Err):
            entry.ledger.add_refusal(*names, admitted.err().kind)
            raise CallError(admitted.err())
        return self._run_admitted(call, dispatcher)

    async def _run_admitted(self, call: Call, dispatcher: Any):
        entry = self.entry
        names = (call.spec.organisation.name, call.spec.service_class.name)
        progress = entry.finish_gate.begin(call.spec.run_kind, 0, entry.now())
        is_whole = False
        try:
            with self.guard.count_request(call.spec.route.group, names[0]):
                async with aclosing(entry.runner.run(call, dispatcher)) as items:
                    async for item in items:
                        yield item
                        is_whole = isinstance(item, AnswerEnd)
        except CallError as error:
            entry.ledger.add_refusal(*names, error.error.kind)
            raise
        finally:
            if self._aborting and call.attempt and not is_whole:
                entry.late_runs.record_cut(call.spec.request, call.sent_at, call.spec.deadline)
            entry.finish_gate.end(progress, entry.now(), is_whole)
            entry.admission.finished(*names, entry.now())

    async def _answer_chat(self, call: Call, chat: ChatRequest) -> web.Response:
        spec = call.spec
        writer = ChunkWriter(spec.request, chat.model, int(self.entry.wall()))
        texts: list[str] = []
        end: AnswerEnd | None = None
        async with aclosing(self._answer(call)) as items:
            async for item in items:
                if isinstance(item, Tokens):
                    texts += item.texts
                elif isinstance(item, AnswerEnd):
                    end = item
        body = writer.full_body(texts, end.finish_reason, end.prompt_tokens)
        return web.json_response(body, headers=_key_headers(spec))

    async def _stream_chat(
        self, request: web.Request, call: Call, chat: ChatRequest
    ) -> web.StreamResponse:
        spec = call.spec
        writer = ChunkWriter(spec.request, chat.model, int(self.entry.wall()))
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            REQUEST_HEADER: spec.request,
            **_key_headers(spec),
        }
        response = web.StreamResponse(headers=headers)
        self._close_at_end(response)
        generated = 0
        request.protocol.watch_backlog(lambda: call.inbox.size)
        try:
            async with aclosing(self._answer(call)) as items:
                async for item in items:
                    if isinstance(item, Tokens):
                        generated += len(item.texts)
                        await response.write(writer.tokens(item.texts))
                    elif isinstance(item, AnswerHead):
                        await response.prepare(request)
                    elif isinstance(item, AnswerEnd):
                        end = writer.end(item.finish_reason, item.prompt_tokens, generated)
                        await response.write(end)
        except CallError as error:
            if not response.prepared:
                raise
            await self._abort_stream(request, response, writer, error.error)
        except asyncio.CancelledError:
            if not (response.prepared and self._aborting):
                raise
            asyncio.current_task().uncancel()
            await self._abort_stream(request, response, writer, _STREAM_ABORTED)
        return response

    async def _abort_stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        writer: ChunkWriter,
        error: RequestError,
    ) -> None:
        """End a stream that has begun with an error event and without the terminating chunk.

        A properly terminated body would look like a complete answer to a client that reads only
        the text.
        """
        self._record_refusal(error)
        await response.write(writer.error(error_body(error)))
        request.transport.close()

    async def _answer_service(self, request: web.Request, call: Call) -> web.Response:
        head: AnswerHead | None = None
        pieces: list[bytes] = []
        size = 0
        async with aclosing(self._answer(call)) as items:
            async for item in items:
                if isinstance(item, AnswerHead):
                    head = item
                elif isinstance(item, Body):
                    pieces.append(item.data)
                    size += len(item.data)
                    if not request.protocol.try_hold_answer(size):
                        detail = "answers that callers have not taken need the memory"
                        raise call.make_error(ErrorKind.UPSTREAM_FAILED, detail)
        headers = dict(head.headers) | _key_headers(call.spec)
        return web.Response(status=head.status, body=b"".join(pieces), headers=headers)


_STREAM_ABORTED = RequestError(ErrorKind.LEAVING, "the answer broke off", run=RunState.UNKNOWN)


class _RequestScope:
    """Context manager that registers the task of a caller's request while it is served.

    If the process closes first, the caller gets an error that reports whether the request may have
    run, which a closed connection would not show.
    """

    def __init__(self, server: CallerServer):
        self.server = server
        self.call: Call | None = None

    def make_call(self, spec: CallRequest) -> Call:
        """Return the call for a request."""
        entry = self.server.entry
        ticket = entry.runner.resolver.open_ticket(
            spec.organisation.name, spec.key, spec.digest, entry.wall()
        )
        self.call = Call(spec, entry.now(), ticket)
        return self.call

    def __enter__(self) -> _RequestScope:
        self.task = asyncio.current_task()
        self.server._request_tasks.add(self.task)
        return self

    def __exit__(self, kind: type | None, error: BaseException | None, trace: Any) -> None:
        self.server._request_tasks.discard(self.task)
        if kind is asyncio.CancelledError and self.server._aborting:
            self.task.uncancel()
            raise CallError(self._abort_error())

    def _abort_error(self) -> RequestError:
        call = self.call
        if call is None or not (call.may_have_run or call.link is not None):
            return RequestError(ErrorKind.LEAVING)
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, "the process has ended")


def digest_request(organisation: str, method: str, path: str, body: bytes) -> str:
    """Return 32 hexadecimal digits that identify the content of an organisation's request.

    Examples
    --------
    >>> digest_request("dala", "POST", "/debit", b"{}")
    '743a4b573ac86b850a82bf725a741c75'
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def _key_headers(spec: CallRequest) -> dict[str, str]:
    return {KEY_HEADER: spec.key} if spec.key else {}


def _read_key(request: web.Request, route: RouteRecord) -> str:
    """Return the idempotency key; a non-idempotent request without one gets a fresh key."""
    key = request.headers.get(KEY_HEADER, "")
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        detail = f"{KEY_HEADER}: expected at most {MAX_KEY_CHARACTERS} printable characters"
        raise CallError(RequestError(ErrorKind.BAD_REQUEST, detail))
    if key:
        return key
    if route.requires_key:
        raise CallError(RequestError(ErrorKind.KEY_REQUIRED))
    return "" if route.idempotent else secrets.token_hex(16)
