"""Client of model engines: OpenAI-style streams plus the engines' control calls."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from burdockquay_coordination import Work
from burdockquay_protocol import AnswerEnd, AnswerHead, ErrorKind, Run

from ._bounded_answers import AnswerGivenUpError
from ._send_once import BROKEN_ERRORS, CONNECT_ERRORS, SendOnce
from ._upstream import (
    CONTROL_TIMEOUT,
    PROBE_TIMEOUT,
    AnswerPart,
    Token,
    UpstreamClient,
    UpstreamError,
    upstream_clients,
)

_STREAM_HEADERS = [["content-type", "text/event-stream"]]
_DATA = b"data: "
_DONE = b"data: [DONE]"
_PROBE_TOKENS = 8
_DETAIL_BYTES = 200
_REFUSED_BODY_BYTES = 4096

MAX_IDLE_STREAM_BYTES = 1 << 20
"""Most bytes of a stream between two tokens: comments, or an event that does not end."""


SOFTWARE_VERSION = "X-Software-Version"
"""Header in which an engine states the version of its software."""


def engine_request_id(run: Run | Work) -> str:
    """Return the request id of an attempt at the engine."""
    return f"{run.request}-{run.attempt}"


@upstream_clients.register("engine")
class EngineClient(UpstreamClient):
    """Client of one model engine.

    Notes
    -----
    The engine is always asked for a stream, also for a caller that does not want one: the slot can
    then count tokens as they arrive and cancel at any time, and after a crash the entry has the
    tokens that another engine need not generate again.
    """

    can_pause = True
    can_resume_answers = True

    async def call(self, run: Run, priority: int) -> AsyncIterator[AnswerPart]:
        """Send the request and yield its answer; see :meth:`UpstreamClient.call`."""
        answered = False
        try:
            async with self._post(run, priority) as response:
                await _check_accepted(response)
                answered = True
                version = response.headers.get(SOFTWARE_VERSION)
                stated = [] if version is None else [[SOFTWARE_VERSION, version]]
                yield AnswerHead(response.status, [*_STREAM_HEADERS, *stated])
                async for part in _read_events(response):
                    yield part
        except CONNECT_ERRORS as error:
            raise UpstreamError(
                ErrorKind.NO_UPSTREAM, str(error), sent=False, unreachable=True
            ) from error
        except BROKEN_ERRORS as error:
            detail = f"{type(error).__name__} {'during' if answered else 'before'} the answer"
            raise UpstreamError(
                ErrorKind.UPSTREAM_FAILED,
                detail,
                sent=True,
                crashed=not isinstance(error, AnswerGivenUpError),
            ) from error

    def _post(self, run: Run, priority: int):
        body = json.loads(run.body)
        body["stream"] = True
        if run.resume_text:
            body["resume_tokens"] = run.resume_text
        headers = dict(run.headers)
        headers["X-Request-Id"] = engine_request_id(run)
        headers["X-Priority"] = str(priority)
        if run.key:
            headers["Idempotency-Key"] = run.key
        return self.sessions.for_run(run).post(
            self.url + run.path,
            json=body,
            headers=headers,
            allow_redirects=False,
            middlewares=(SendOnce(),),
        )

    async def probe(self) -> bool:
        """Return whether ``GET /healthz`` of the engine reports that it is healthy."""
        try:
            async with self.sessions.pooled.get(
                self.url + "/healthz", timeout=PROBE_TIMEOUT
            ) as response:
                return response.status == 200
        except BROKEN_ERRORS:
            return False

    async def measure(self, model: str) -> float | None:
        """Return the time between tokens of one small request, seconds, None if unknown."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": "probe"}],
            "stream": True,
            "max_tokens": _PROBE_TOKENS,
        }
        loop = asyncio.get_running_loop()
        times = []
        try:
            async with self.sessions.pooled.post(
                self.url + "/v1/chat/completions", json=body, timeout=PROBE_TIMEOUT
            ) as response:
                await _check_accepted(response)
                async for part in _read_events(response):
                    if isinstance(part, Token):
                        times.append(loop.time())
        except (UpstreamError, *BROKEN_ERRORS):
            return None
        return (times[-1] - times[0]) / (len(times) - 1) if len(times) > 1 else None

    async def pause(self, request: str) -> bool:
        """Pause a running request; False if the engine does not run it."""
        return await self._post_control(request, "pause")

    async def resume(self, request: str) -> bool:
        """Resume a paused request; False if the engine does not have it."""
        return await self._post_control(request, "resume")

    async def cancel(self, request: str) -> None:
        """Cancel a request at the engine, since nobody waits for its answer."""
        await self._post_control(request, "cancel")

    async def _post_control(self, request: str, verb: str) -> bool:
        url = f"{self.url}/requests/{request}/{verb}"
        try:
            async with self.sessions.pooled.post(url, timeout=CONTROL_TIMEOUT) as response:
                return response.status == 200
        except BROKEN_ERRORS:
            return False


async def _check_accepted(response: aiohttp.ClientResponse) -> None:
    if response.status == 200:
        return
    text = (await response.content.read(_REFUSED_BODY_BYTES)).decode(errors="replace")
    detail = f"the engine answered {response.status}: {text[:_DETAIL_BYTES]}"
    if response.status == 503:
        raise UpstreamError(ErrorKind.NO_UPSTREAM, detail, sent=False)
    if not 400 <= response.status < 500:
        # The engine failed while it processed the request, or reports another success. If this
        # counted as a refusal, the caller would get "not run" for a request that may have run.
        raise UpstreamError(ErrorKind.UPSTREAM_FAILED, detail, sent=True)
    raise UpstreamError(ErrorKind.UPSTREAM_REFUSED, detail, sent=False)


async def _read_events(response: aiohttp.ClientResponse) -> AsyncIterator[AnswerPart]:
    """Yield the tokens of a stream and its end marker.

    Raises
    ------
    UpstreamError
        If the stream ends without its end marker, so that the answer is incomplete.
    """
    rest = b""
    idle_bytes = 0
    finish_reason = ""
    usage: dict[str, Any] = {}
    while chunk := await response.content.readany():
        *events, rest = (rest + chunk).split(b"\n\n")
        idle_bytes += len(chunk)
        for event in events:
            if event == _DONE:
                yield AnswerEnd(
                    int(usage.get("prompt_tokens", 0)),
                    int(usage.get("completion_tokens", 0)),
                    finish_reason,
                )
                return
            parsed = _parse_event(event)
            choice = parsed["choices"][0] if parsed.get("choices") else {}
            text = choice.get("delta", {}).get("content")
            if text:
                idle_bytes = len(rest)
                yield Token(text)
            finish_reason = choice.get("finish_reason") or finish_reason
            usage = parsed.get("usage") or usage
        if idle_bytes > MAX_IDLE_STREAM_BYTES:
            detail = f"over {MAX_IDLE_STREAM_BYTES} bytes without a token"
            raise UpstreamError(ErrorKind.UPSTREAM_FAILED, detail, sent=True)
    raise UpstreamError(
        ErrorKind.UPSTREAM_FAILED, "the stream ended too early", sent=True, crashed=True
    )


def _parse_event(event: bytes) -> dict[str, Any]:
    if not event.startswith(_DATA):
        return {}
    try:
        parsed = json.loads(event[len(_DATA) :])
    except ValueError as error:
        raise UpstreamError(
            ErrorKind.UPSTREAM_FAILED, "an event of the stream is no JSON", sent=True
        ) from error
    return parsed if isinstance(parsed, dict) else {}
