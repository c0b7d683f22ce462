"""Server for connections from other processes; one task owns each connection."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Mapping
from typing import Any

from result import Err
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed

from burdockquay_protocol import Goodbye

from ._events import Event, log_event
from ._peer import (
    WEBSOCKET_OPTIONS,
    Identity,
    PeerConnection,
    TrafficCounts,
    accept_handshake,
)

Handler = Callable[[PeerConnection, Any], None]


class PeerServer:
    """Accepts connections from other processes and dispatches their messages.

    Parameters
    ----------
    identity : Identity
        Identity of this process.
    key : bytes
        Shared key of all processes.
    flush_interval_s : float
        See :class:`PeerConnection`.
    traffic : TrafficCounts
    count : callable
        Called with the name of a counter.
    handlers : mapping of type to callable
        Handler of each message type that a peer may send.
    on_up, on_down : callable
        Called with a connection after its handshake, and after it was closed or lost.
    """

    def __init__(
        self,
        identity: Identity,
        key: bytes,
        flush_interval_s: float,
        traffic: TrafficCounts,
        count: Callable[[str], None],
        handlers: Mapping[type, Handler],
        on_up: Callable[[PeerConnection], None],
        on_down: Callable[[PeerConnection], None],
    ):
        self.identity = identity
        self.key = key
        self.flush_interval_s = flush_interval_s
        self.traffic = traffic
        self.count = count
        self.handlers = handlers
        self.on_up = on_up
        self.on_down = on_down
        self._connections: dict[str, PeerConnection] = {}
        self._server: Server | None = None

    @property
    def port(self) -> int:
        """Port that accepts peers."""
        return self._server.sockets[0].getsockname()[1]

    def all(self) -> list[PeerConnection]:
        """Return the connections that are up."""
        return list(self._connections.values())

    def get(self, incarnation: str) -> PeerConnection | None:
        """Return the connection of a peer, by its incarnation."""
        return self._connections.get(incarnation)

    async def listen(self, bound: socket.socket) -> None:
        """Accept peers on a socket, which :meth:`close` closes.

        Raises
        ------
        OSError
            If another socket listens on the address.
        """
        self._server = await serve(self._serve, sock=bound, **WEBSOCKET_OPTIONS)

    async def close(self) -> None:
        """Send a goodbye to all peers, and close the connections and the socket."""
        peers = self.all()
        for peer in peers:
            peer.post(Goodbye("shutdown"))
        await asyncio.gather(*(peer.drain() for peer in peers))
        if self._server is None:
            # The process was stopped during its start, before it listened.
            return
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, websocket: Any) -> None:
        """Handle one connection: the handshake, then its messages until it closes."""
        handshake = await accept_handshake(
            websocket, self.identity, self.key, self.flush_interval_s, self.traffic
        )
        if isinstance(handshake, Err):
            log_event(Event.HANDSHAKE_REFUSED, reason=handshake.err())
            self.count("peer.handshake_refused")
            await websocket.close(code=1008, reason="handshake refused")
            return
        peer = handshake.ok()
        async with peer.writing():
            try:
                await self._on_connected(peer)
                await peer.read_messages(self.handlers, self.count)
            except ConnectionClosed:
                pass
            finally:
                await self._on_disconnected(peer)

    async def _on_connected(self, peer: PeerConnection) -> None:
        name = peer.peer.incarnation
        old = self._connections.get(name)
        if old is not None:
            # The peer reconnected before this side noticed the loss of the old connection.
            await old.close("replaced by a newer connection")
            self.on_down(old)
        self._connections[name] = peer
        log_event(Event.PEER_CONNECTED, vm=peer.peer.vm, incarnation=name)
        self.on_up(peer)

    async def _on_disconnected(self, peer: PeerConnection) -> None:
        name = peer.peer.incarnation
        await peer.close("")
        if self._connections.get(name) is peer:
            del self._connections[name]
            log_event(Event.PEER_DISCONNECTED, vm=peer.peer.vm, incarnation=name)
            self.on_down(peer)
