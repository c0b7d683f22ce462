"""Callers that send planned requests to entries and compare each answer with the expected one."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs

from burdockquay_standins import expected_answer, parse_stream, service_digest

CONNECT_TIMEOUT_S = 5.0
REQUEST_LIMIT_S = 60.0
CONTENT_MARK = b'"content": "'


@attrs.frozen
class PlannedCall:
    """A request to be sent by a caller.

    Parameters
    ----------
    at_s : float
        Sending time, seconds after the start of the plan.
    url : str
        Complete URL.
    organisation, class_name, api_key : str
    body : dict
    patience_s : float
        Time after which the caller disconnects if the answer is not complete, seconds.
    key : str
        Idempotency key; empty for none.
    service_path : str
        Path and query expected at a plain service; empty for a chat request.
    """

    at_s: float
    url: str
    organisation: str
    class_name: str
    api_key: str
    body: dict[str, Any]
    patience_s: float = REQUEST_LIMIT_S
    key: str = ""
    service_path: str = ""

    @property
    def content(self) -> bytes:
        """Encoded request body."""
        return json.dumps(self.body).encode()


@attrs.frozen
class CallResult:
    """Result of one call.

    Parameters
    ----------
    organisation, class_name : str
    outcome : str
        ``"whole"`` (complete), ``"refused"``, ``"left"`` (the caller's patience ended),
        ``"broken"`` (an explicit error or an interrupted stream), ``"truncated"`` (ended normally
        but lacks tokens) or ``"mixed"`` (contains tokens of another answer).
    status : int
        HTTP status, 0 if there was none.
    error : str
        Error kind of a refusal or an interruption; ``"connection"`` if the connection was lost,
        ``"connect"`` if none could be opened.
    first_token_s : float
        Time from sending to the first token, seconds; for an answer that is not streamed, to its
        end.
    between_tokens_s : float
        Mean time between tokens after the first, seconds.
    longest_gap_s : float
    tokens : int
    duration_s : float
    run : str
        Whether the request ran, as stated by the error.
    at_s : float
        Planned sending time, seconds after the start of the plan.
    key : str
        Idempotency key of the call.
    """

    organisation: str
    class_name: str
    outcome: str
    status: int = 0
    error: str = ""
    first_token_s: float = 0.0
    between_tokens_s: float = 0.0
    longest_gap_s: float = 0.0
    tokens: int = 0
    duration_s: float = 0.0
    run: str = ""
    at_s: float = 0.0
    key: str = ""


def new_session() -> aiohttp.ClientSession:
    """Return a client without a connection limit and without automatic retries."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=REQUEST_LIMIT_S, sock_connect=CONNECT_TIMEOUT_S),
    )


async def run_plan(
    calls: Sequence[PlannedCall], seed: int, start_at: float | None = None
) -> list[CallResult]:
    """Send every call at its planned time (open loop) and return all results.

    Parameters
    ----------
    calls : sequence of PlannedCall
    seed : int
        Seed of the engines.
    start_at : float or None
        Start of the plan on the monotonic clock; None for now.
    """
    start_at = time.monotonic() if start_at is None else start_at
    async with new_session() as session:
        tasks = [asyncio.create_task(_send_at(session, call, seed, start_at)) for call in calls]
        return list(await asyncio.gather(*tasks))


async def _send_at(
    session: aiohttp.ClientSession, call: PlannedCall, seed: int, start_at: float
) -> CallResult:
    await asyncio.sleep(max(0.0, start_at + call.at_s - time.monotonic()))
    return await send(session, call, seed)


async def send(session: aiohttp.ClientSession, call: PlannedCall, seed: int) -> CallResult:
    """Send one call and classify its answer."""
    reader = _AnswerReader(call, seed)
    try:
        async with asyncio.timeout(call.patience_s):
            await reader.read(session)
    except TimeoutError:
        return reader.result("left")
    except aiohttp.ClientConnectorError:
        return reader.result("broken", error="connect")
    except (aiohttp.ClientError, ConnectionError):
        return reader.result("broken", error=reader.error or "connection")
    return reader.classify()


class _AnswerReader:
    """Reader of one answer that records the arrival times of its tokens."""

    def __init__(self, call: PlannedCall, seed: int):
        self.call = call
        self.seed = seed
        self.sent_at = time.monotonic()
        self.status = 0
        self.content = b""
        self.error = ""
        self.run = ""
        self._seen = 0
        self._first_at = 0.0
        self._last_at = 0.0
        self._longest_gap_s = 0.0

    @property
    def headers(self) -> dict[str, str]:
        """Request headers."""
        headers = {
            "Authorization": f"Bearer {self.call.api_key}",
            "X-Service-Class": self.call.class_name,
            "Content-Type": "application/json",
        }
        if self.call.key:
            headers["Idempotency-Key"] = self.call.key
        return headers

    async def read(self, session: aiohttp.ClientSession) -> None:
        """Send the request and read the answer to its end."""
        pieces = []
        async with session.post(
            self.call.url, data=self.call.content, headers=self.headers
        ) as response:
            self.status = response.status
            try:
                async for piece in response.content.iter_any():
                    pieces.append(piece)
                    self._record_tokens(piece.count(CONTENT_MARK))
            finally:
                self.content = b"".join(pieces)
                self._read_error()

    def classify(self) -> CallResult:
        """Classify the answer by comparing it with the expected one."""
        if self.status != 200:
            return self.result("refused", error=self.error)
        if self.error:
            return self.result("broken", error=self.error)
        if self.call.service_path:
            return self._classify_service()
        tokens, finished = self._tokens()
        expected = expected_answer(self.call.body, self.seed)
        if tokens != expected[: len(tokens)]:
            return self.result("mixed")
        if not finished:
            return self.result("broken", error="connection")
        return self.result("whole" if tokens == expected else "truncated")

    def result(self, outcome: str, error: str = "") -> CallResult:
        """Return the result with the measurements so far."""
        later = max(1, self._seen - 1)
        return CallResult(
            organisation=self.call.organisation,
            class_name=self.call.class_name,
            outcome=outcome,
            status=self.status,
            error=error,
            first_token_s=self._first_at - self.sent_at if self._seen else 0.0,
            between_tokens_s=(self._last_at - self._first_at) / later,
            longest_gap_s=self._longest_gap_s,
            tokens=self.content.count(CONTENT_MARK),
            duration_s=time.monotonic() - self.sent_at,
            run=self.run,
            at_s=self.call.at_s,
            key=self.call.key,
        )

    def _classify_service(self) -> CallResult:
        self._record_tokens(1)
        digest = service_digest("POST", self.call.service_path, self.call.content)
        return self.result("whole" if json.loads(self.content)["digest"] == digest else "mixed")

    def _tokens(self) -> tuple[list[str], bool]:
        if self.call.body.get("stream"):
            return parse_stream(self.content)
        message = json.loads(self.content)["choices"][0]["message"]["content"]
        return [part + " " for part in message.split()], True

    def _record_tokens(self, tokens: int) -> None:
        if not tokens:
            return
        now = time.monotonic()
        if self._seen:
            self._longest_gap_s = max(self._longest_gap_s, now - self._last_at)
        else:
            self._first_at = now
        self._last_at = now
        self._seen += tokens

    def _read_error(self) -> None:
        at = self.content.find(b'{"error"')
        if at < 0:
            return
        try:
            error, _ = json.JSONDecoder().raw_decode(self.content[at:].decode())
            self.error, self.run = error["error"]["type"], error["error"]["run"]
        except (ValueError, TypeError, KeyError):
            self.error = "unreadable"
