"""The processes that connect to this one: one task owns each connection."""

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
    accept_peer,
)

Handler = Callable[[PeerConnection, Any], None]


class PeerServer:
    """Accepts processes and hands their messages on.

    Parameters
    ----------
    identity : Identity
        Of this process.
    key : bytes
        Shared key.
    flush_interval_s : float
        See :class:`PeerConnection`.
    traffic : TrafficCounts
    count : callable
        Called with the name of a counter.
    handlers : mapping of type to callable
        What to do with each message that a peer may send.
    on_up, on_down : callable
        Called with a connection when it is ready, and after it was lost.
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
        """Port where peers connect."""
        return self._server.sockets[0].getsockname()[1]

    def all(self) -> list[PeerConnection]:
        """Return the connections that are up."""
        return list(self._connections.values())

    def get(self, incarnation: str) -> PeerConnection | None:
        """Return the connection of a peer, by its incarnation."""
        return self._connections.get(incarnation)

    async def listen(self, bound: socket.socket) -> None:
        """Accept peers at a socket, which this server closes in the end.

        Raises
        ------
        OSError
            If another socket listens there.
        """
        self._server = await serve(self._serve, sock=bound, **WEBSOCKET_OPTIONS)

    async def close(self) -> None:
        """Say goodbye and close all connections."""
        peers = self.all()
        for peer in peers:
            peer.post(Goodbye("shutdown"))
        await asyncio.gather(*(peer.drain() for peer in peers))
        if self._server is None:
            # A process may be stopped while it starts, before it listens.
            return
        self._server.close()
        await self._server.wait_closed()

    async def _serve(self, websocket: Any) -> None:
        """Own one connection: handshake, then one message after another until it closes."""
        greeted = await accept_peer(
            websocket, self.identity, self.key, self.flush_interval_s, self.traffic
        )
        if isinstance(greeted, Err):
            log_event(Event.HANDSHAKE_REFUSED, reason=greeted.err())
            self.count("peer.handshake_refused")
            await websocket.close(code=1008, reason="handshake refused")
            return
        peer = greeted.ok()
        async with peer.writing():
            try:
                await self._come_up(peer)
                await peer.read_messages(self.handlers, self.count)
            except ConnectionClosed:
                pass
            finally:
                await self._go_down(peer)

    async def _come_up(self, peer: PeerConnection) -> None:
        name = peer.peer.incarnation
        older = self._connections.get(name)
        if older is not None:
            # The peer came back before this side noticed that its old connection had broken.
            await older.close("replaced by a newer connection")
            self.on_down(older)
        self._connections[name] = peer
        log_event(Event.PEER_CONNECTED, vm=peer.peer.vm, incarnation=name)
        self.on_up(peer)

    async def _go_down(self, peer: PeerConnection) -> None:
        name = peer.peer.incarnation
        await peer.close("")
        if self._connections.get(name) is peer:
            del self._connections[name]
            log_event(Event.PEER_DISCONNECTED, vm=peer.peer.vm, incarnation=name)
            self.on_down(peer)
