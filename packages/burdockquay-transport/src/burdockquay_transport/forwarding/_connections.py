"""HTTP connections from a forwarder to upstreams."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import aiohttp
import attrs
from multidict import CIMultiDict
from yarl import URL

from burdockquay_coordination import HeldAnswers
from burdockquay_coordination.forwarding import ListedUpstream

from .._bounded_answers import AnswerGivenUpError, BoundedConnector, read_whole
from .._send_once import CONNECT_ERRORS, SendOnce

READ_AHEAD_BYTES = 8 << 10
"""Bytes of an answer from which no more is read until they are passed on, so that a stream takes
little memory while its caller does not read."""

CONNECT_TIMEOUT_S = 0.4
"""Longest wait for a new connection, seconds. A lost SYN packet is only sent again after a second,
while another upstream can be reached within a few milliseconds."""

STALL_MARGIN_S = 0.1
"""A connection attempt that fails this much later than the connect timeout shows that this process
stalled, seconds."""

LIVENESS_TIMEOUT_S = 0.2
"""Longest wait for a connection when checking an upstream that broke off an answer, seconds: many
times the network delay, and short enough for the caller to wait."""

PROXY_WATCH_S = 0.015
"""Time for which such a connection is watched if the request may have crashed the upstream,
seconds: some round trips within a region."""

UNACKNOWLEDGED_TIMEOUT_MS = 1500
"""Time without acknowledgement after which the kernel drops a connection, milliseconds. A VM that
became unreachable answers nothing at all; without this, a request would wait for its deadline."""

KEEPALIVE_PROBE_AFTER_S = 1
"""Idle time of a connection after which the kernel probes the other side, seconds."""

MAX_IDLE_S = 3.0
"""Longest time that an idle connection is kept, seconds. Upstreams close idle connections too; a
request sent while its connection is being closed may or may not have run."""

MAX_HEAD_LINE_BYTES = 65536
"""Longest line in the head of an answer, bytes."""

_OWN_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")
"""Headers that the client library would add; upstreams receive only those of the caller."""

SENT_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError, asyncio.IncompleteReadError)
"""Errors after which the upstream may have received the request."""


class NotSentError(Exception):
    """No connection was opened, so the upstream certainly did not receive the request."""


class HeldBackError(Exception):
    """The upstream has stated that it wants no requests; nothing was written."""


class EvacuatedError(HeldBackError):
    """The failure domain of the upstream was evacuated; nothing was written."""


class OtherHeldBackError(HeldBackError):
    """Another upstream that the send would involve may not be used; nothing was written."""


class BrokenError(Exception):
    """The answer broke off after the request was sent; it may have run.

    Parameters
    ----------
    reason : str
    crashed : bool
        Whether the connection broke, as it does when an upstream goes down; False if this process
        gave up the answer.
    """

    def __init__(self, reason: str, crashed: bool = True):
        super().__init__(reason)
        self.crashed = crashed


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
        Whether a keep-alive connection may be used: only for requests that may be sent again, since
        such a connection can be closed while a request is in transit.
    check : callable
        Called when the connection is open, before anything is written; raises to prevent the send.
    """

    upstream: ListedUpstream
    method: str
    target: str
    headers: CIMultiDict[str] = attrs.field(repr=False)
    body: bytes = attrs.field(repr=False)
    reuse: bool
    check: Callable[[], None]


RecordConnect = Callable[[str, float], None]
"""Called with a failure domain and the time in which a connection to it was opened, seconds."""


class UpstreamConnections:
    """Client sessions of a forwarder; call ``open`` inside a running event loop.

    Parameters
    ----------
    record_connect : callable or None
        See :data:`RecordConnect`.
    """

    def __init__(self, record_connect: RecordConnect | None = None):
        self._record_connect = record_connect
        self._reusing: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Open the sessions."""
        self._reusing = _make_session(True, self._record_connect)
        self._fresh = _make_session(False, self._record_connect)

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._reusing, self._fresh):
            if session is not None:
                await session.close()

    async def send(self, send: Send) -> aiohttp.ClientResponse:
        """Send a request and return the answer once its head was received.

        A connect timeout that fires much too late means that this process stalled. It says nothing
        about the upstream, which would be excluded for it, so another connection is tried.

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
            if clock() - begun < CONNECT_TIMEOUT_S + STALL_MARGIN_S:
                raise
        send.check()
        return await self._send(send)

    async def _send(self, send: Send) -> aiohttp.ClientResponse:
        session = self._reusing if send.reuse else self._fresh
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
                trace_request_ctx=send,
            )
        except CONNECT_ERRORS as error:
            raise NotSentError(type(error).__name__) from error
        except SENT_ERRORS as error:
            raise broken_error(error) from error


async def accepts_connections(upstream: ListedUpstream, watch_s: float = 0.0) -> bool:
    """Return whether an upstream accepts a new connection; nothing is sent on it.

    Parameters
    ----------
    upstream : ListedUpstream
    watch_s : float
        Time for which the connection must stay open, seconds. A proxy accepts connections for an
        upstream that is down, and closes them when it cannot reach it.
    """
    try:
        async with asyncio.timeout(LIVENESS_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(upstream.host, upstream.port)
    except (OSError, TimeoutError):
        return False
    try:
        return watch_s <= 0.0 or await _stays_open(reader, watch_s)
    finally:
        writer.close()


async def _stays_open(reader: asyncio.StreamReader, watch_s: float) -> bool:
    try:
        async with asyncio.timeout(watch_s):
            return bool(await reader.read(1))
    except TimeoutError:
        return True
    except OSError:
        return False


async def read_body(response: aiohttp.ClientResponse, held: HeldAnswers) -> bytes:
    """Return the complete body of an answer.

    Parameters
    ----------
    response : aiohttp.ClientResponse
    held : HeldAnswers
        Accounts for the bytes until the body is complete.

    Raises
    ------
    BrokenError
        If the body is incomplete, or takes too much memory.
    """
    try:
        return await read_whole(response, held)
    except SENT_ERRORS as error:
        raise broken_error(error) from error


def broken_error(error: BaseException) -> BrokenError:
    """Return the error for a failure after the request was sent."""
    return BrokenError(type(error).__name__, crashed=not isinstance(error, AnswerGivenUpError))


def _make_session(reuse: bool, record_connect: RecordConnect | None) -> aiohttp.ClientSession:
    connector = BoundedConnector(
        limit=0,
        force_close=not reuse,
        socket_factory=_make_socket,
        **({"keepalive_timeout": MAX_IDLE_S} if reuse else {}),
    )
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        max_line_size=MAX_HEAD_LINE_BYTES,
        max_field_size=MAX_HEAD_LINE_BYTES,
        read_bufsize=READ_AHEAD_BYTES,
        trace_configs=[_make_trace(record_connect)],
    )


def _make_trace(record_connect: RecordConnect | None) -> aiohttp.TraceConfig:
    trace = aiohttp.TraceConfig()

    async def check(session, context, params) -> None:
        context.trace_request_ctx.check()

    async def begin(session, context, params) -> None:
        context.begun_at = asyncio.get_running_loop().time()

    async def record(session, context, params) -> None:
        took_s = asyncio.get_running_loop().time() - context.begun_at
        record_connect(context.trace_request_ctx.upstream.failure_domain, took_s)

    if record_connect is not None:
        trace.on_connection_create_start.append(begin)
        trace.on_connection_create_end.append(record)
    trace.on_connection_create_end.append(check)
    trace.on_connection_reuseconn.append(check)
    return trace


def _make_socket(address_info: tuple) -> socket.socket:
    """Return a socket that detects a dead peer."""
    family, kind, proto, *_ = address_info
    made = socket.socket(family, kind, proto)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_dead_peer_detection(made)
    return made


def enable_dead_peer_detection(made: socket.socket) -> None:
    """Let the kernel close a connection whose other side does not respond any more."""
    made.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_AFTER_S)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
