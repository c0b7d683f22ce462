"""HTTP client connections that bound what an answer may take."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_exceptions import HttpProcessingError

from burdockquay_coordination import HeldAnswers

from ._answer_heads import HeadReader, find_framing_fault
from ._body_end import check_body_end, protocol_of
from ._events import Event, log_event

MAX_IDLE_BYTES = 256 << 10
"""Most bytes that may bring an answer no further: its head with all interim answers, or what frames
its body."""

MAX_FRAMING_FACTOR = 8
"""Bytes of framing that are allowed for each byte of a body; a byte in a chunk of its own takes
six."""

MAX_INTERIM_ANSWERS = 32
"""Most interim answers before the final one."""

HEAD_SLICE_BYTES = 4096
"""Bytes that are parsed at a time until the head of an answer is complete, so that a flood of
interim answers is noticed before it has taken long."""

MAX_STORE_ANSWER_BYTES = 16 << 20
"""Largest answer of the platform's services, bytes; the platform limits its answers to far less."""


class AnswerGivenUpError(aiohttp.ClientPayloadError):
    """This process gave up an answer; its upstream need not be down."""


class AnswerTooLargeError(AnswerGivenUpError):
    """An answer was given up because it takes too much, or has no end."""


class MalformedAnswerError(AnswerGivenUpError):
    """An answer was given up: its head is malformed or not that of a single answer, or the parser
    failed at its body.
    """


class BoundedResponseHandler(ResponseHandler):
    """Protocol of a connection on which each answer is bounded.

    It aborts the connection as soon as an answer has exceeded a bound. The bytes of bodies are
    bounded by those who keep them: a body that is passed on as it arrives takes no memory.

    It also aborts the connection if a head is malformed or not that of a single answer: an upstream
    that fails while it writes a head may write a whole error response after the part, and the
    parser reads both as one head with the status of the first.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
    max_idle_bytes : int
        See :data:`MAX_IDLE_BYTES`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_idle_bytes: int = MAX_IDLE_BYTES):
        super().__init__(loop=loop)
        self._max_idle_bytes = max_idle_bytes
        self._reset_counts()

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to another request."""
        self._reset_counts()
        super().set_response_params(**params)

    def _reset_counts(self) -> None:
        self._heads = HeadReader()
        self._idle_bytes = 0
        self._interim_answers = 0
        self._has_ended = False
        self._body: aiohttp.StreamReader | None = None
        self._body_bytes = 0

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on the head of an answer, final or interim."""
        message, body = data
        if self._body is not None or self._has_failed():
            # It follows a complete answer or a malformed head, and belongs to no request.
            self._abort()
            return
        if not self._heads.claim():
            # The parser ends a head where the grammar does not.
            self.give_up("its head is malformed", MalformedAnswerError)
            return
        fault = find_framing_fault(message.headers)
        if fault is not None:
            self.give_up(fault, MalformedAnswerError)
            return
        if 100 <= message.code < 200:
            self._interim_answers += 1
        else:
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse data from the upstream, in small pieces until the head is complete."""
        start = 0
        while start < len(data) and self._body is None and not self._has_failed():
            piece = data[start : start + HEAD_SLICE_BYTES]
            start += len(piece)
            fault = self._heads.feed(piece)
            if fault is not None:
                self.give_up(fault, MalformedAnswerError)
                return
            super().data_received(piece)
            self._count(len(piece))
        if start < len(data) and not self._has_failed():
            super().data_received(data[start:] if start else data)
            self._count(len(data) - start)
        if not data:
            # The parser goes on with what it had kept back.
            super().data_received(data)
            self._count(0)
        if isinstance(self._exception, HttpProcessingError) and not self._is_complete():
            # The library does not report to the reader of the body that the parser has failed.
            self.give_up("it cannot be parsed", MalformedAnswerError)

    def give_up(self, reason: str, kind: type[AnswerGivenUpError] = AnswerTooLargeError) -> None:
        """Abort the connection; whoever reads the answer gets an error of a kind."""
        log_event(Event.ANSWER_GIVEN_UP, reason=reason)
        error = kind(reason)
        if self._body is not None and not self._is_complete():
            self._body.set_exception(error)
        self._buffer.clear()
        self.set_exception(error)
        self._abort()

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _is_complete(self) -> bool:
        return self._body is not None and self._body.is_eof()

    def _has_failed(self) -> bool:
        return self._exception is not None or self.transport is None

    def _count(self, received: int) -> None:
        """Count received bytes, and give up an answer that they bring no further."""
        if self._has_failed():
            return
        known = 0 if self._body is None else getattr(self._body, "total_bytes", 0)
        self._idle_bytes += received - (known - self._body_bytes)
        self._body_bytes = known
        allowance = 0 if self._has_ended else MAX_FRAMING_FACTOR * known
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            self.give_up(f"over {MAX_INTERIM_ANSWERS} interim answers")
        elif self._idle_bytes > self._max_idle_bytes + allowance:
            self.give_up(f"over {self._max_idle_bytes} bytes that bring it no further")
        elif self._is_complete() and not self._has_ended:
            # Bytes that follow a complete answer belong to no request.
            self._has_ended = True
            self._idle_bytes = 0


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections bound each answer.

    Parameters
    ----------
    max_idle_bytes : int
        See :data:`MAX_IDLE_BYTES`.
    **options
        Options of :class:`aiohttp.TCPConnector`.
    """

    def __init__(self, max_idle_bytes: int = MAX_IDLE_BYTES, **options: Any):
        super().__init__(**options)
        self._factory = partial(
            BoundedResponseHandler, loop=self._loop, max_idle_bytes=max_idle_bytes
        )


def abort_answer(protocol: ResponseHandler | None, reason: str) -> None:
    """Abort the connection of an answer.

    Parameters
    ----------
    protocol : ResponseHandler or None
        None if the answer has been received completely.
    reason : str
    """
    if isinstance(protocol, BoundedResponseHandler):
        protocol.give_up(reason)


async def read_whole(
    response: aiohttp.ClientResponse,
    held: HeldAnswers,
    record_progress: Callable[[], None] = lambda: None,
) -> bytes:
    """Return the body of an answer.

    Parameters
    ----------
    response : aiohttp.ClientResponse
    held : HeldAnswers
        Accounts for the bytes until the body is complete.
    record_progress : callable
        Called whenever a part of the body has arrived.

    Raises
    ------
    AnswerTooLargeError
        If it is given up.
    aiohttp.ClientError
        If it is incomplete.
    """
    protocol = protocol_of(response)
    give_up = partial(abort_answer, protocol, "too many bytes of incomplete answers")
    body = bytearray()
    try:
        with held.account(give_up, response.content_length) as answer:
            async for data in response.content.iter_any():
                record_progress()
                held.grow(answer, len(data))
                if answer.is_given_up:
                    raise AnswerTooLargeError("too many bytes of incomplete answers")
                body += data
        check_body_end(protocol)
        return bytes(body)
    finally:
        # The traceback of an error keeps this frame, and with it the bytes, for some time.
        body.clear()
