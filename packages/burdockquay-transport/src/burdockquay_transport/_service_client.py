"""Client of plain services: one request and one answer, forwarded unchanged."""

from __future__ import annotations

from collections.abc import AsyncIterator

from burdockquay_protocol import MAX_BODY_BYTES, AnswerEnd, AnswerHead, ErrorKind, Run

from ._body_end import check_body_end, protocol_of
from ._bounded_answers import AnswerGivenUpError
from ._send_once import BROKEN_ERRORS, CONNECT_ERRORS, SendOnce
from ._upstream import (
    PROBE_TIMEOUT,
    AnswerPart,
    BodyPiece,
    UpstreamClient,
    UpstreamError,
    upstream_clients,
)

_FORWARDED_HEADERS = ("content-type", "location", "etag", "cache-control", "retry-after")
"""Headers of an answer that are forwarded to callers."""


@upstream_clients.register("service")
class ServiceClient(UpstreamClient):
    """Client of one plain service."""

    async def call(self, run: Run, priority: int) -> AsyncIterator[AnswerPart]:
        """Send the request and yield its answer; see :meth:`UpstreamClient.call`."""
        try:
            async with self._request(run) as response:
                protocol = protocol_of(response)
                headers = [
                    [name, response.headers[name]]
                    for name in _FORWARDED_HEADERS
                    if name in response.headers
                ]
                yield AnswerHead(response.status, headers)
                size = 0
                async for data in response.content.iter_any():
                    size += len(data)
                    _check_size(size)
                    yield BodyPiece(data)
                check_body_end(protocol)
                yield AnswerEnd(0, 0, "stop")
        except CONNECT_ERRORS as error:
            raise UpstreamError(
                ErrorKind.NO_UPSTREAM, str(error), sent=False, unreachable=True
            ) from error
        except BROKEN_ERRORS as error:
            raise UpstreamError(
                ErrorKind.UPSTREAM_FAILED,
                type(error).__name__,
                sent=True,
                crashed=not isinstance(error, AnswerGivenUpError),
            ) from error

    def _request(self, run: Run):
        headers = dict(run.headers)
        headers["X-Request-Id"] = run.request
        if run.key:
            headers["Idempotency-Key"] = run.key
        return self.sessions.unpooled.request(
            run.method,
            self.url + run.path,
            data=run.body or None,
            headers=headers,
            allow_redirects=False,
            middlewares=(SendOnce(),),
        )

    async def probe(self) -> bool:
        """Return whether the service answers ``GET /healthz`` without a server error."""
        try:
            async with self.sessions.pooled.get(
                self.url + "/healthz", timeout=PROBE_TIMEOUT
            ) as response:
                return response.status < 500
        except BROKEN_ERRORS:
            return False


def _check_size(size: int) -> None:
    if size > MAX_BODY_BYTES:
        raise UpstreamError(
            ErrorKind.UPSTREAM_FAILED,
            f"expected an answer of at most {MAX_BODY_BYTES} bytes, got more",
            sent=True,
        )
