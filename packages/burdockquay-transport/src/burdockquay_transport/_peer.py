"""One authenticated connection between two processes.

Each connection has a reader, which is the task that owns the connection, and a writer task. Other
code queues messages by :meth:`PeerConnection.post`, which never blocks.
"""

from __future__ import annotations

import asyncio
import secrets
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager
from typing import Any

import attrs
from result import Err, Ok, Result
from websockets.exceptions import ConnectionClosed

from burdockquay_protocol import (
    ENCODE_ERRORS,
    MAX_FRAME_BYTES,
    NONCE_BYTES,
    PART_END,
    PROTOCOL_VERSIONS,
    FaultKind,
    Frame,
    Frames,
    Hello,
    Proof,
    ProtocolFault,
    Welcome,
    check_proof,
    choose_version,
    decode,
    encode,
    make_proof,
)

from ._events import Event, describe_fault, log_event

DRAIN_TIMEOUT_S = 1.0
"""Longest wait during a shutdown for a peer that does not read, seconds."""

MAX_PENDING_BYTES = 32 << 20
"""Bytes that may be queued for one peer before its connection is aborted."""

MAX_BATCH_BYTES = MAX_FRAME_BYTES // 2
"""Payload at which a batch of frames is sent without waiting for more, bytes."""

HANDSHAKE_TIMEOUT_S = 5.0
"""Limit on the duration of a handshake, seconds."""

WEBSOCKET_OPTIONS = {
    "max_size": MAX_FRAME_BYTES,
    "compression": None,
    "ping_interval": None,
    "close_timeout": 1.0,
}
"""Options of both ends: no compression, since tokens are short; no WebSocket pings, since the
protocol has heartbeats of its own, which carry the revision."""

HEARTBEAT_S = 2.0
"""Idle time of a connection after which a heartbeat is sent, seconds."""

RECEIVE_TIMEOUT_S = 6.5
"""Time without any received data after which a connection is aborted, seconds."""


@attrs.frozen
class Identity:
    """Identity of a process.

    Parameters
    ----------
    vm, failure_domain : str
    incarnation : str
        Random value generated at each start.
    group : str
        Upstream group of a slot, empty for an entry.
    """

    vm: str
    failure_domain: str
    incarnation: str
    group: str = ""


@attrs.define
class TrafficCounts:
    """Messages and payload bytes of one connection, or of several in total."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0


class EncodedMessage:
    """A message that is encoded once and sent to several peers.

    Parameters
    ----------
    message : object
    """

    def __init__(self, message: Any):
        self.since = message.since
        self.data = encode(message)


class PeerConnection:
    """An authenticated connection.

    Parameters
    ----------
    websocket : websockets connection
    peer : Identity
        Identity of the other side, as verified by the handshake.
    version : int
        Negotiated protocol version.
    flush_interval_s : float
        Shortest time between two batches of frames that are not full, seconds.
    traffic : TrafficCounts
        Counters to update.
    """

    def __init__(
        self,
        websocket: Any,
        peer: Identity,
        version: int,
        flush_interval_s: float,
        traffic: TrafficCounts,
    ):
        self.websocket = websocket
        self.peer = peer
        self.version = version
        self.flush_interval_s = flush_interval_s
        self.traffic = traffic
        self._pending: deque[Any] = deque()
        self._pending_bytes = 0
        self._wake = asyncio.Event()
        self._urgent = asyncio.Event()
        self._closing = False
        self._flush_at = 0.0
        self.sent_count = 0
        self.received_count = 0

    @property
    def closing(self) -> bool:
        """Whether the connection accepts no more messages."""
        return self._closing

    def post(self, message: Any) -> None:
        """Queue a message; it is dropped if the connection is closing."""
        if self._closing or message.since > self.version:
            return
        self._pending.append(message)
        self._wake.set()

    def post_frame(self, frame: Frame) -> None:
        """Queue a part of an answer; frames that are queued together are sent as one message."""
        if self._closing:
            return
        self._pending.append(frame)
        self._pending_bytes += len(frame.data)
        # A peer that reads too slowly would fill the memory of this process and so affect all
        # callers. Aborting its connection ends only its own requests.
        if self._pending_bytes > MAX_PENDING_BYTES:
            self.abort()
        if frame.part == PART_END:
            self._urgent.set()
        self._wake.set()

    def withdraw(self, kind: type) -> list[Any]:
        """Remove the queued messages of a type, which are not sent then, and return them."""
        withdrawn = [message for message in self._pending if isinstance(message, kind)]
        kept = [message for message in self._pending if not isinstance(message, kind)]
        self._pending.clear()
        self._pending.extend(kept)
        return withdrawn

    def keep_alive(self, interval_s: float, timeout_s: float, make_heartbeat: Callable) -> None:
        """Send heartbeats on an idle connection, and abort it if the peer sends nothing.

        Parameters
        ----------
        interval_s : float
            Idle time after which a heartbeat is sent, seconds.
        timeout_s : float
            Time without a message from the peer after which the connection is aborted, seconds.
        make_heartbeat : callable
            Returns the message to send.

        Notes
        -----
        A peer whose VM disappeared sends neither an answer nor a TCP reset. Without the timeout
        the requests at that peer would wait until their deadlines.
        """
        loop = asyncio.get_running_loop()
        sent = self.sent_count
        received = self.received_count
        last_received = loop.time()

        def tick() -> None:
            nonlocal sent, received, last_received
            if self._closing:
                return
            if self.received_count != received:
                received = self.received_count
                last_received = loop.time()
            elif loop.time() - last_received > timeout_s:
                self.abort()
                return
            if self.sent_count == sent:
                self.post(make_heartbeat())
            sent = self.sent_count
            loop.call_later(interval_s, tick)

        loop.call_later(interval_s, tick)

    def abort(self) -> None:
        """Abort the connection without waiting for the peer."""
        # A peer that does not read blocks the writer and would never answer a close frame, so the
        # transport is aborted; the reader then finds the connection closed.
        self._closing = True
        self._wake.set()
        self.websocket.transport.abort()

    @asynccontextmanager
    async def writing(self) -> AsyncIterator[None]:
        """Run the writer task during the ``async with`` block."""
        writer = asyncio.create_task(self.write())
        try:
            yield
        finally:
            writer.cancel()

    async def write(self) -> None:
        """Send queued messages until the connection closes; run as a task.

        Notes
        -----
        A frame waits for others only if a message was sent within the flush interval and the frame
        does not end an answer. So a single answer is not delayed, while under load the number of
        messages per second stays bounded.
        """
        loop = asyncio.get_running_loop()
        try:
            while not self._closing:
                await self._wake.wait()
                if self._only_frames_pending():
                    await self._wait_for_batch(self._flush_at - loop.time())
                self._wake.clear()
                self._urgent.clear()
                self._flush_at = loop.time() + self.flush_interval_s
                await self._send_pending()
        except ConnectionClosed:
            pass
        finally:
            await self.close("")

    async def receive(self) -> Result[Any, ProtocolFault]:
        """Return the next message.

        Raises
        ------
        ConnectionClosed
            If the connection was closed or lost.
        """
        data = await self.websocket.recv()
        if isinstance(data, str):
            return Err(ProtocolFault(FaultKind.MALFORMED, "expected a binary frame, got text"))
        self.received_count += 1
        self.traffic.messages_received += 1
        self.traffic.bytes_received += len(data)
        return decode(data, self.version)

    async def read_messages(
        self,
        handlers: Mapping[type, Callable[[PeerConnection, Any], None]],
        count: Callable[[str], None],
    ) -> None:
        """Pass each message to its handler, until the peer violates the protocol.

        Parameters
        ----------
        handlers : mapping of type to callable
            Called with the connection and the message; a type without a handler is out of order.
        count : callable
            Called with the name of a counter.

        Raises
        ------
        ConnectionClosed
            If the connection was closed or lost.
        """
        while True:
            received = await self.receive()
            if isinstance(received, Err):
                report_fault(received.err(), self.peer.vm, count)
                return
            message = received.ok()
            handler = handlers.get(type(message))
            if handler is None:
                report_out_of_order(message, self.peer.vm, count)
                return
            try:
                handler(self, message)
            except Exception as error:
                # The next messages are sound: what this one had is the loss of it alone.
                report_unhandled(message, self.peer.vm, error, count)

    async def close(self, reason: str) -> None:
        """Close the connection."""
        self._closing = True
        self._wake.set()
        await self.websocket.close(reason=reason[:100])

    async def drain(self) -> None:
        """Send what is queued now, if the peer still reads.

        Notes
        -----
        When entry and slot stop together, the peer may have closed the connection already or may
        no longer read. Neither may fail or delay the shutdown: the steps that follow, such as
        closing the listener, would be skipped, and the process would end with an error.
        """
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await self._send_pending()
        except (ConnectionClosed, TimeoutError):
            return

    async def _wait_for_batch(self, wait_s: float) -> None:
        if wait_s <= 0:
            return
        try:
            async with asyncio.timeout(wait_s):
                await self._urgent.wait()
        except TimeoutError:
            return

    def _only_frames_pending(self) -> bool:
        return self._pending_bytes < MAX_BATCH_BYTES and all(
            isinstance(item, Frame) for item in self._pending
        )

    async def _send_pending(self) -> None:
        while self._pending:
            item = self._pending.popleft()
            try:
                data = self._encode(item)
            except ENCODE_ERRORS as error:
                report_unsendable(item, error)
                continue
            self.sent_count += 1
            self.traffic.messages_sent += 1
            self.traffic.bytes_sent += len(data)
            await self.websocket.send(data)

    def _encode(self, item: Any) -> bytes:
        if isinstance(item, EncodedMessage):
            return item.data
        return encode(self._batch_frames(item) if isinstance(item, Frame) else item)

    def _batch_frames(self, first: Frame) -> Frames:
        frames = [first]
        size = len(first.data)
        while self._pending and size < MAX_BATCH_BYTES and isinstance(self._pending[0], Frame):
            frame = self._pending.popleft()
            frames.append(frame)
            size += len(frame.data)
        self._pending_bytes = max(0, self._pending_bytes - size)
        return Frames(frames)


def post_all(peers: Iterable[PeerConnection], message: Any) -> None:
    """Queue a message on some connections; it is encoded only once."""
    try:
        encoded = EncodedMessage(message)
    except ENCODE_ERRORS as error:
        report_unsendable(message, error)
        return
    for peer in peers:
        peer.post(encoded)


def report_unsendable(message: Any, error: Exception) -> None:
    """Log a message that cannot be encoded; it is dropped alone."""
    fault = describe_fault(error)
    log_event(Event.MESSAGE_NOT_SENT, message=type(message).__name__, error=fault)


def report_unhandled(message: Any, vm: str, error: Exception, count: Callable[[str], None]) -> None:
    """Log and count a message of a peer whose handler has failed; the connection goes on."""
    log_event(
        Event.MESSAGE_NOT_HANDLED,
        vm=vm,
        message=type(message).__name__,
        error=describe_fault(error),
    )
    count("peer.fault.not_handled")


_FAULT_EVENTS = {
    FaultKind.MALFORMED: Event.PEER_MALFORMED,
    FaultKind.OVERSIZED: Event.PEER_OVERSIZED,
    FaultKind.UNKNOWN_TYPE: Event.PEER_UNKNOWN_TYPE,
    FaultKind.WRONG_VERSION: Event.PEER_OUT_OF_ORDER,
}


def report_fault(fault: ProtocolFault, vm: str, count: Callable[[str], None]) -> None:
    """Log and count bytes of a peer that cannot be decoded as a message."""
    log_event(_FAULT_EVENTS[fault.kind], vm=vm, detail=fault.detail)
    count(f"peer.fault.{fault.kind.value}")


def report_out_of_order(message: Any, vm: str, count: Callable[[str], None]) -> None:
    """Log and count a message that is not allowed at this point of the protocol."""
    log_event(Event.PEER_OUT_OF_ORDER, vm=vm, detail=type(message).__name__)
    count("peer.fault.out_of_order")


async def initiate_handshake(
    websocket: Any, identity: Identity, key: bytes, traffic: TrafficCounts
) -> Result[PeerConnection, str]:
    """Run the handshake as the process that opened the connection.

    Parameters
    ----------
    websocket : websockets connection
    identity : Identity
        Identity of this process.
    key : bytes
        Shared key of all processes.
    traffic : TrafficCounts

    Returns
    -------
    Result of PeerConnection, str
        The connection, or the reason why the handshake was refused.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = Hello(
        list(PROTOCOL_VERSIONS),
        identity.vm,
        identity.failure_domain,
        identity.incarnation,
        nonce,
    )
    await websocket.send(encode(hello))
    welcome = await _receive_one(websocket, Welcome)
    if isinstance(welcome, Err):
        return welcome
    answer = welcome.ok()
    if answer.version not in PROTOCOL_VERSIONS:
        return Err(f"protocol version {answer.version} is not one of {PROTOCOL_VERSIONS}")
    if not check_proof(
        answer.proof, key, "slot", answer.vm, answer.incarnation, answer.nonce, nonce
    ):
        return Err("the peer's proof is invalid: its peer key differs")
    proof = make_proof(key, "entry", identity.vm, identity.incarnation, nonce, answer.nonce)
    await websocket.send(encode(Proof(proof)))
    peer = Identity(answer.vm, answer.failure_domain, answer.incarnation, answer.group)
    return Ok(PeerConnection(websocket, peer, answer.version, 0.0, traffic))


async def accept_handshake(
    websocket: Any,
    identity: Identity,
    key: bytes,
    flush_interval_s: float,
    traffic: TrafficCounts,
) -> Result[PeerConnection, str]:
    """Run the handshake as the accepting process; see :func:`initiate_handshake`."""
    received = await _receive_one(websocket, Hello)
    if isinstance(received, Err):
        return received
    hello = received.ok()
    version = choose_version(PROTOCOL_VERSIONS, hello.versions)
    if version is None:
        return Err(
            f"no common protocol version: expected one of {PROTOCOL_VERSIONS}, got {hello.versions}"
        )
    nonce = secrets.token_bytes(NONCE_BYTES)
    proof = make_proof(key, "slot", identity.vm, identity.incarnation, nonce, hello.nonce)
    welcome = Welcome(
        version,
        identity.vm,
        identity.failure_domain,
        identity.incarnation,
        nonce,
        proof,
        identity.group,
    )
    try:
        await websocket.send(encode(welcome))
    except ConnectionClosed:
        return Err("the peer closed the connection during the handshake")
    received = await _receive_one(websocket, Proof)
    if isinstance(received, Err):
        return received
    if not check_proof(
        received.ok().proof, key, "entry", hello.vm, hello.incarnation, hello.nonce, nonce
    ):
        return Err("the peer's proof is invalid: its peer key differs")
    peer = Identity(hello.vm, hello.failure_domain, hello.incarnation)
    return Ok(PeerConnection(websocket, peer, version, flush_interval_s, traffic))


async def _receive_one(websocket: Any, expected: type) -> Result[Any, str]:
    try:
        data = await asyncio.wait_for(websocket.recv(), HANDSHAKE_TIMEOUT_S)
    except TimeoutError:
        return Err(f"expected {expected.__name__} within {HANDSHAKE_TIMEOUT_S} s, got nothing")
    except ConnectionClosed:
        return Err(f"expected {expected.__name__}, the connection was closed")
    if isinstance(data, str):
        return Err(f"expected {expected.__name__}, got text")
    message = decode(data, max(PROTOCOL_VERSIONS))
    if isinstance(message, Err):
        return Err(message.err().detail)
    if not isinstance(message.ok(), expected):
        return Err(f"expected {expected.__name__}, got {type(message.ok()).__name__}")
    return Ok(message.ok())
