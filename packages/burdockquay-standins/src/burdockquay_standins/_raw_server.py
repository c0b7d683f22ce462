"""HTTP server that writes exactly the bytes it is given, to produce protocol faults."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Self

import attrs


@attrs.frozen
class RawRequest:
    """A received request.

    Parameters
    ----------
    method, target : str
    headers : dict of str to str
        Header names are in lower case.
    body : bytes
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset the connection of a writer; data written before may still arrive."""
    sock = writer.get_extra_info("socket")
    # A closed connection has no socket, or a socket without a descriptor.
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class RawConnection:
    """Connection of a client to a raw server.

    Parameters
    ----------
    reader, writer
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self.writer = writer

    async def write(self, data: bytes) -> None:
        """Write bytes and wait until the buffer is drained."""
        self.writer.write(data)
        await self.writer.drain()

    def close(self) -> None:
        """Close the connection after sending the data written so far."""
        self.writer.close()

    def reset(self) -> None:
        """Reset the connection; data written before may still arrive."""
        reset_connection(self.writer)

    def half_close(self) -> None:
        """End the answer, but go on reading."""
        self.writer.write_eof()

    async def wait_until_closed(self) -> None:
        """Wait until the client has closed the connection; discard what it sends."""
        while await self.reader.read(65536):
            pass

    async def read_request(self, with_body: bool = True) -> RawRequest | None:
        """Return the next request, or None if the client has closed the connection."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        method, target, _ = first.split(" ", 2)
        pairs = (line.split(":", 1) for line in lines)
        headers = {name.lower(): value.strip() for name, value in pairs}
        body = await self._read_body(headers) if with_body else b""
        return RawRequest(method, target, headers, body)

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        if "chunked" not in headers.get("transfer-encoding", ""):
            return await self.reader.readexactly(int(headers.get("content-length", "0")))
        body = b""
        while size := int(await self.reader.readline(), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readline()
        await self.reader.readline()
        return body


Behaviour = Callable[[RawRequest, RawConnection], Awaitable[None]]


class RawServer:
    """Server that handles each request with a given function.

    Functions in the list ``script`` are used first, each for one request.

    Parameters
    ----------
    behaviour : callable
        Handles each request while ``script`` is empty.
    reads_bodies : bool
        Whether the body of a request is read before it is handled; otherwise the function reads it,
        or ends the connection.
    """

    def __init__(self, behaviour: Behaviour, reads_bodies: bool = True):
        self.behaviour = behaviour
        self.reads_bodies = reads_bodies
        self.script: list[Behaviour] = []
        self.received: list[RawRequest] = []
        self.connections = 0
        self._tasks: set[asyncio.Task] = set()
        self._port_holder: socket.socket | None = None

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._connect, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.crash_server()
        self._port_holder.close()

    def refuse_connections(self) -> None:
        """Stop listening, but keep the port bound so that no other server can answer on it."""
        self._server.close()
        if self._port_holder is None:
            self._port_holder = socket.socket()
            self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._port_holder.bind(("127.0.0.1", self.port))

    async def crash_server(self) -> None:
        """Refuse new connections and reset the open ones, as a crash does."""
        self.refuse_connections()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.connections += 1
        connection = RawConnection(reader, writer)
        try:
            while (request := await connection.read_request(self.reads_bodies)) is not None:
                self.received.append(request)
                handle_request = self.script.pop(0) if self.script else self.behaviour
                await handle_request(request, connection)
        except ConnectionError:
            # The client disconnected.
            pass
        except asyncio.CancelledError:
            connection.reset()
        finally:
            self._tasks.discard(task)
            writer.close()
