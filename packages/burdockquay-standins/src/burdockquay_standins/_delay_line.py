"""TCP relay with latency, which simulates the network between two failure domains."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Coroutine
from typing import Any, ClassVar, Self

from burdockquay_state import Constraint, InstanceOf, Interval, check_parameters

READ_BYTES = 1 << 16


class DelayLine:
    """Relay on the loopback interface that delays the data of each connection in both directions.

    Parameters
    ----------
    host, port
        Address that connections are relayed to.
    delay_s : float
        One-way latency, seconds; may be changed while connections are open. Data is never
        reordered.

    Notes
    -----
    The timers of the event loop have a resolution of about a millisecond, so that a latency of
    1.5 ms is sometimes 1 ms and sometimes 2 ms.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "host": [InstanceOf(str)],
        "port": [Interval(int, 1, 65535)],
        "delay_s": [Interval(float, 0.0, 60.0)],
    }

    def __init__(self, host: str, port: int, delay_s: float):
        self.host = host
        self.port = port
        self.delay_s = delay_s
        check_parameters(self)
        self.listening_port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._relay_connection, "127.0.0.1", 0)
        self.listening_port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay_connection(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            client_writer.close()
            return
        directions = (
            self._relay_direction(client_reader, target_writer),
            self._relay_direction(target_reader, client_writer),
        )
        try:
            await asyncio.gather(*map(self._spawn, directions), return_exceptions=True)
        finally:
            client_writer.close()
            target_writer.close()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _relay_direction(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        chunk_queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        writing = self._spawn(_write_when_due(chunk_queue, writer))
        try:
            while data := await reader.read(READ_BYTES):
                chunk_queue.put_nowait((time.monotonic() + self.delay_s, data))
        except ConnectionError:
            # A reset is relayed as a reset: as a normal end, it could make a cut stream look
            # complete.
            writing.cancel()
            writer.transport.abort()
            return
        chunk_queue.put_nowait((time.monotonic() + self.delay_s, b""))
        await writing


async def _write_when_due(
    chunk_queue: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionError):
        while True:
            due, data = await chunk_queue.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
