"""Connections from a forwarder to upstreams: one send, one answer."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from burdockquay_coordination.forwarding import ListedUpstream

from .._send_once import CONNECT_ERRORS, SendOnce

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a new connection, seconds. A lost opening packet is only sent again after a
second, and another upstream is a few milliseconds away."""

STANDSTILL_S = 0.1
"""Time beyond that limit from which on this process must have stood still, seconds."""

CHECK_TIMEOUT_S = 0.2
"""Longest wait for the sign of life of an upstream that broke off an answer, seconds: many times
the way to it, and short enough for its caller to wait."""

UNACKNOWLEDGED_MS = 1500
"""Time without acknowledgement after which the kernel gives a connection up, milliseconds. A VM
that went dark answers nothing at all, and without this a request would wait for its deadline."""

PROBE_AFTER_S = 1
"""Silence of a connection after which the kernel probes the other side, seconds."""

IDLE_S = 3.0
"""Longest time that an idle connection is kept, seconds. Upstreams close idle connections too; a
request that meets such a close may or may not have run."""

MAX_HEAD_BYTES = 65536
"""Longest line of an answer's head, bytes."""

_OWN_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that the client library would add; upstreams get those of the caller alone."""

SENT_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError, asyncio.IncompleteReadError)
"""Errors after which the upstream may have got the request."""


class NotSentError(Exception):
    """No connection came about, so the upstream certainly did not get the request."""


class BrokenError(Exception):
    """The connection broke after the request was sent; it may have run."""


@attrs.frozen
class Send:
    """One send of a request.

    Parameters
    ----------
    upstream : ListedUpstream
    method, target : str
    headers : CIMultiDict
    body : bytes
    reuse : bool
        Whether a kept connection may be used: only for requests that may be sent again, since a
        kept connection can be closed while a request is on its way.
    check : callable
        Called when the connection stands, before anything is written; raises to hold the send.
    """

    upstream: ListedUpstream
    method: str
    target: str
    headers: CIMultiDict[str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    reuse: bool
    check: Callable[[], None]


class UpstreamConnections:
    """The client sessions of a forwarder; open it inside a running event loop."""

    def __init__(self):
        self._kept: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Make the sessions."""
        self._kept = _make_session(reuse=True)
        self._fresh = _make_session(reuse=False)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._kept, self._fresh):
            if session is not None:
                await session.close()

    async def send(self, send: Send) -> aiohttp.ClientResponse:
        """Send a request and return the answer once its head is there.

        A connection that took longer than its limit by much did so because this process stood
        still. It says nothing of the upstream, which would be left out, so another one is tried.

        Raises
        ------
        NotSentError
        BrokenError
        """
        clock = asyncio.get_running_loop().time
        begun = clock()
        try:
            return await self._send(send)
        except NotSentError:
            if clock() - begun < CONNECT_TIMEOUT_S + STANDSTILL_S:
                raise
        return await self._send(send)

    async def _send(self, send: Send) -> aiohttp.ClientResponse:
        session = self._kept if send.reuse else self._fresh
        host, port = send.upstream.host, send.upstream.port
        try:
            return await session.request(
                send.method,
                URL(f"http://{host}:{port}{send.target}", encoded=True),
                data=send.body or None,
                headers=send.headers,
                skip_auto_headers=_OWN_HEADERS,
                allow_redirects=False,
                middlewares=(SendOnce(),),
                trace_request_ctx=send.check,
            )
        except CONNECT_ERRORS as error:
            raise NotSentError(type(error).__name__) from error
        except SENT_ERRORS as error:
            raise BrokenError(type(error).__name__) from error


async def accepts_connections(upstream: ListedUpstream) -> bool:
    """Return whether an upstream takes a new connection; nothing is sent on it."""
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(upstream.host, upstream.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the whole body of an answer.

    Raises
    ------
    BrokenError
        If the body is not whole.
    """
    protocol = response.connection.protocol if response.connection else None
    try:
        body = await response.read()
    except SENT_ERRORS as error:
        raise BrokenError(type(error).__name__) from error
    check_end(protocol)
    return body


def check_end(protocol: aiohttp.client_proto.ResponseHandler | None) -> None:
    """Refuse the end of a body that is the reset of its connection.

    Notes
    -----
    A body without a length ends with its connection, and the client library takes a reset for such
    an end. A caller would get half an answer that looks whole.

    Raises
    ------
    BrokenError
    """
    if protocol is not None and isinstance(protocol.exception(), OSError):
        raise BrokenError("reset at the end of the body")


def _make_session(reuse: bool) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not reuse,
        socket_factory=_make_socket,
        **({"keepalive_timeout": IDLE_S} if reuse else {}),
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=MAX_HEAD_BYTES,
        max_field_size=MAX_HEAD_BYTES,
        trace_configs=[_make_trace()],
    )


def _make_trace() -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()

    async def check(session, context, params) -> None:
        context.trace_request_ctx()

    trace.on_connection_create_end.append(check)
    trace.on_connection_reuseconn.append(check)
    return trace


def _make_socket(address_info: tuple) -> socket.socket:
    """Return a socket that notices a silent peer."""
    family, kind, proto, *_ = address_info
    made = socket.socket(family, kind, proto)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    watch_silence(made)
    return made


def watch_silence(made: socket.socket) -> None:
    """Let the kernel end a connection whose other side has fallen silent for good."""
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
