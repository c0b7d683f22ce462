"""The HTTP that callers speak to an entry."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from collections.abc import Callable
from contextlib import aclosing
from typing import TYPE_CHECKING, Any

from aiohttp import web
from result import Err

from burdockquay_coordination import authenticate
from burdockquay_protocol import (
    AnswerEnd,
    AnswerHead,
    ErrorKind,
    RequestError,
    RunState,
)
from burdockquay_state import OrganisationRecord, RouteRecord

from ._addresses import bind_socket
from ._call import Call, CallRequest
from ._call_error import CallError
from ._call_runner import Body, Tokens
from ._chat import ChatRequest, ChunkWriter, parse_chat
from ._early_listener import BACKLOG
from ._events import Event, describe_fault, log_event
from ._metrics import REQUESTS, refusal_counter
from ._status_http import add_status_routes
from ._take_in import accept_waiting

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

ANSWER_S = 1.0
"""Longest wait until the answers of a process that ends are written, seconds."""

CLOSE_S = 0.3
"""Longest wait for connections that close with the process, seconds; their answers are out."""

_PASSED_HEADERS = ("Content-Type", "Accept")
"""Headers of a request that the upstream gets."""

_REQUEST_ID: web.RequestKey[str] = web.RequestKey("request_id", str)


class CallerServer:
    """Serves callers.

    Parameters
    ----------
    entry : Entry
    """

    def __init__(self, entry: Entry):
        self.entry = entry
        self._handling: set[asyncio.Task] = set()
        self._cutting = False

    @property
    def held(self) -> int:
        """Requests of callers that are not answered yet."""
        return len(self._handling)

    @property
    def port(self) -> int:
        """Port it listens on."""
        return self._runner.addresses[0][1]

    async def start(self, host: str, port: int) -> None:
        """Listen.

        Raises
        ------
        OSError
            If the address is in use.
        """
        app = web.Application(
            client_max_size=self.entry.settings.max_body_bytes,
            middlewares=[self._name_and_answer_errors],
        )
        add_status_routes(app, lambda: self.entry.ready, self.entry.describe)
        app.router.add_get("/usage", self._usage)
        app.router.add_get("/v1/models", self._models)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._service)
        # handler_cancellation: a caller that leaves must end its request, or an engine would
        # go on generating tokens that nobody reads.
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=CLOSE_S
        )
        await self._runner.setup()
        self._listening = bind_socket(host, port)
        await web.SockSite(self._runner, self._listening, backlog=BACKLOG).start()

    async def finish_all(self) -> None:
        """Wait until every caller has its answer."""
        while self._handling:
            await asyncio.wait(set(self._handling))

    async def cut_all(self) -> None:
        """End what still runs; each caller is told that its answer broke off."""
        self._cutting = True
        tasks = set(self._handling)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=ANSWER_S)

    async def close(self) -> None:
        """Refuse what still waits, then stop listening."""
        self._cutting = True
        await accept_waiting(self._listening)
        if self._handling:
            await asyncio.wait(set(self._handling), timeout=ANSWER_S)
        await self._runner.cleanup()

    @web.middleware
    async def _name_and_answer_errors(
        self, request: web.Request, handler: Callable
    ) -> web.StreamResponse:
        """Give the request its id, and turn every error into the answer of its kind."""
        request[_REQUEST_ID] = secrets.token_hex(16)
        try:
            response = await handler(request)
        except CallError as error:
            response = self._error_response(error.error)
        except web.HTTPRequestEntityTooLarge:
            limit = self.entry.settings.max_body_bytes
            error = RequestError(ErrorKind.BODY_TOO_LARGE, f"expected at most {limit} bytes")
            response = self._error_response(error)
            response.force_close()
        except (web.HTTPNotFound, web.HTTPMethodNotAllowed) as refusal:
            detail = f"{request.method} {request.path[:100]}: {refusal.reason}"
            response = self._error_response(RequestError(ErrorKind.NOT_FOUND, detail))
        except (ConnectionError, asyncio.CancelledError):
            raise
        except Exception as error:  # noqa: BLE001
            log_event(Event.INTERNAL_ERROR, where="caller request", error=describe_fault(error))
            response = self._error_response(RequestError(ErrorKind.INTERNAL))
        if not response.prepared:
            response.headers[REQUEST_HEADER] = request[_REQUEST_ID]
        return response

    def _note_refusal(self, error: RequestError) -> None:
        self.entry.metrics.count(refusal_counter(error.kind))
        log_event(Event.REQUEST_REFUSED, kind=error.kind, run=error.answer.run)

    def _error_response(self, error: RequestError) -> web.Response:
        self._note_refusal(error)
        answer = error.answer
        headers = {}
        if answer.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, round(answer.retry_after_s)))
        return web.json_response(error_body(error), status=answer.status, headers=headers)

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
        with _Handling(self) as handling:
            organisation = self._check_caller(request)
            self.entry.metrics.count(REQUESTS)
            body = await _read_body(request)
            parsed = parse_chat(body)
            if isinstance(parsed, Err):
                raise CallError(parsed.err())
            chat = parsed.ok()
            route = self._find_route(request, organisation, chat.model)
            self._check_model(route, chat.model)
            asked = self._make_request(request, organisation, route, request.path, body, chat)
            if chat.stream:
                return await self._stream_chat(request, handling.begin_call(asked), chat)
            return await self._answer_chat(handling.begin_call(asked), chat)

    async def _service(self, request: web.Request) -> web.StreamResponse:
        with _Handling(self) as handling:
            organisation = self._check_caller(request)
            self.entry.metrics.count(REQUESTS)
            body = await _read_body(request)
            route = self._find_route(request, organisation, "")
            path = "/" + request.match_info["path"]
            if request.query_string:
                path += "?" + request.query_string
            asked = self._make_request(request, organisation, route, path, body, None)
            return await self._answer_service(handling.begin_call(asked))

    def _check_caller(self, request: web.Request) -> OrganisationRecord:
        if self.entry.refusing or self._cutting:
            raise CallError(RequestError(ErrorKind.LEAVING))
        if not self.entry.snapshot.revision:
            raise CallError(RequestError(ErrorKind.NOT_READY))
        return self._authenticate(request)

    def _authenticate(self, request: web.Request) -> OrganisationRecord:
        scheme, _, api_key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not api_key:
            detail = "expected the header Authorization: Bearer <API key>"
            raise CallError(RequestError(ErrorKind.UNAUTHENTICATED, detail))
        known = authenticate(self.entry.snapshot, api_key.strip())
        if isinstance(known, Err):
            raise CallError(known.err())
        return known.ok()

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
        dispatcher = entry.dispatcher(route.group)
        if chat is not None and dispatcher is not None:
            prefix = tuple(dispatcher.prefixes.blocks(chat.prompt))
        return CallRequest(
            request[_REQUEST_ID],
            organisation,
            route,
            entry.snapshot.classes[route.class_name],
            request.method,
            path,
            [[name, request.headers[name]] for name in _PASSED_HEADERS if name in request.headers],
            body,
            chat is not None and chat.stream,
            entry.now() + self._read_deadline(request),
            _read_key(request, route),
            digest_request(organisation.name, request.method, path, body),
            prefix,
            chat is not None,
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
        """Admit a call and return the iterator over its answer."""
        entry = self.entry
        asked = call.asked
        dispatcher = entry.dispatcher(asked.route.group)
        if dispatcher is None:
            raise CallError(RequestError(ErrorKind.NO_UPSTREAM))
        names = (asked.organisation.name, asked.service_class.name)
        admitted = entry.admission.admit(*names, dispatcher.queue, entry.now())
        if isinstance(admitted, Err):
            entry.ledger.add_refusal(*names, admitted.err().kind)
            raise CallError(admitted.err())
        return self._run_admitted(call, dispatcher)

    async def _run_admitted(self, call: Call, dispatcher: Any):
        entry = self.entry
        names = (call.asked.organisation.name, call.asked.service_class.name)
        try:
            async with aclosing(entry.runner.run(call, dispatcher)) as items:
                async for item in items:
                    yield item
        except CallError as error:
            entry.ledger.add_refusal(*names, error.error.kind)
            raise
        finally:
            entry.admission.finished(*names, entry.now())

    async def _answer_chat(self, call: Call, chat: ChatRequest) -> web.Response:
        asked = call.asked
        writer = ChunkWriter(asked.request, chat.model, int(self.entry.wall()))
        texts: list[str] = []
        end: AnswerEnd | None = None
        async with aclosing(self._answer(call)) as items:
            async for item in items:
                if isinstance(item, Tokens):
                    texts += item.texts
                elif isinstance(item, AnswerEnd):
                    end = item
        body = writer.whole(texts, end.finish_reason, end.prompt_tokens)
        return web.json_response(body, headers=_key_headers(asked))

    async def _stream_chat(
        self, request: web.Request, call: Call, chat: ChatRequest
    ) -> web.StreamResponse:
        asked = call.asked
        writer = ChunkWriter(asked.request, chat.model, int(self.entry.wall()))
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-cache",
            REQUEST_HEADER: asked.request,
            **_key_headers(asked),
        }
        response = web.StreamResponse(headers=headers)
        generated = 0
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
            await self._break_off(request, response, writer, error.error)
        except asyncio.CancelledError:
            if not (response.prepared and self._cutting):
                raise
            asyncio.current_task().uncancel()
            await self._break_off(request, response, writer, _CUT)
        return response

    async def _break_off(
        self,
        request: web.Request,
        response: web.StreamResponse,
        writer: ChunkWriter,
        error: RequestError,
    ) -> None:
        """End a stream that has begun: an error event, and no proper end of the body.

        A body that ended properly would look like a whole answer to a client that reads only the
        text.
        """
        self._note_refusal(error)
        await response.write(writer.error(error_body(error)))
        request.transport.close()

    async def _answer_service(self, call: Call) -> web.Response:
        head: AnswerHead | None = None
        pieces: list[bytes] = []
        async with aclosing(self._answer(call)) as items:
            async for item in items:
                if isinstance(item, AnswerHead):
                    head = item
                elif isinstance(item, Body):
                    pieces.append(item.data)
        headers = dict(head.headers) | _key_headers(call.asked)
        return web.Response(status=head.status, body=b"".join(pieces), headers=headers)


_CUT = RequestError(ErrorKind.LEAVING, "the answer broke off", run=RunState.UNKNOWN)


class _Handling:
    """Notes the task of a caller's request while it is served.

    Where the process ends first, the caller is told whether the request may have run: it cannot
    tell from a connection that closes.
    """

    def __init__(self, server: CallerServer):
        self.server = server
        self.call: Call | None = None

    def begin_call(self, asked: CallRequest) -> Call:
        """Return the call that a request stands for."""
        entry = self.server.entry
        ticket = entry.runner.resolver.open_ticket(
            asked.organisation.name, asked.key, asked.digest, entry.wall()
        )
        self.call = Call(asked, entry.now(), ticket)
        return self.call

    def __enter__(self) -> _Handling:
        self.task = asyncio.current_task()
        self.server._handling.add(self.task)
        return self

    def __exit__(self, kind: type | None, error: BaseException | None, trace: Any) -> None:
        self.server._handling.discard(self.task)
        if kind is asyncio.CancelledError and self.server._cutting:
            self.task.uncancel()
            raise CallError(self._cut_error())

    def _cut_error(self) -> RequestError:
        call = self.call
        if call is None or not (call.may_have_run or call.link is not None):
            return RequestError(ErrorKind.LEAVING)
        return RequestError(ErrorKind.OUTCOME_UNKNOWN, "the process has ended")


def digest_request(organisation: str, method: str, path: str, body: bytes) -> str:
    """Return 32 hexadecimal digits that tell a request from others of its organisation.

    Examples
    --------
    >>> digest_request("dala", "POST", "/debit", b"{}")
    '743a4b573ac86b850a82bf725a741c75'
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation.encode(), method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()


def error_body(error: RequestError) -> dict[str, Any]:
    """Return the JSON body that tells a caller of an error."""
    answer = error.answer
    message = f"{answer.text} {error.detail}".strip()
    return {
        "error": {
            "type": error.kind.value,
            "code": error.kind.value,
            "message": message,
            "run": answer.run.value,
            "retry_after_s": answer.retry_after_s,
        }
    }


def _key_headers(asked: CallRequest) -> dict[str, str]:
    return {KEY_HEADER: asked.key} if asked.key else {}


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


async def _read_body(request: web.Request) -> bytes:
    try:
        async with asyncio.timeout(BODY_TIMEOUT_S):
            return await request.read()
    except TimeoutError:
        detail = f"expected the whole body within {BODY_TIMEOUT_S:g} s"
        raise CallError(RequestError(ErrorKind.BAD_REQUEST, detail)) from None
