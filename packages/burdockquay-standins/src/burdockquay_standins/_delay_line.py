"""A TCP connection with latency: stands for the network between two failure domains."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Coroutine
from typing import Any, ClassVar, Self

from burdockquay_state import Constraint, InstanceOf, Interval, check_parameters

READ_BYTES = 1 << 16


class DelayLine:
    """Listens on the loopback and passes every connection on, each way a little later.

    Parameters
    ----------
    host, port
        Where connections are passed on to.
    delay_s : float
        One-way latency, seconds; may be changed while connections are open. Pieces never overtake
        each other.

    Notes
    -----
    The timers of the event loop have a resolution of about a millisecond, so that a latency of
    1.5 ms is now 1 ms, now 2 ms.
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
        self._server = await asyncio.start_server(self._pass_on, "127.0.0.1", 0)
        self.listening_port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _pass_on(
        self, near_reader: asyncio.StreamReader, near_writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            near_writer.close()
            return
        ways = (self._one_way(near_reader, far_writer), self._one_way(far_reader, near_writer))
        try:
            await asyncio.gather(*map(self._spawn, ways), return_exceptions=True)
        finally:
            near_writer.close()
            far_writer.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _one_way(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pieces: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        writing = self._spawn(_write_when_due(pieces, writer))
        try:
            while data := await reader.read(READ_BYTES):
                pieces.put_nowait((time.monotonic() + self.delay_s, data))
        except ConnectionError:
            # A reset is passed on as one: taken for an end, it could make a cut stream look whole.
            writing.cancel()
            writer.transport.abort()
            return
        pieces.put_nowait((time.monotonic() + self.delay_s, b""))
        await writing


async def _write_when_due(
    pieces: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionError):
        while True:
            due, data = await pieces.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if not data:
                writer.write_eof()
                return
            writer.write(data)
            await writer.drain()
