"""TCP relay between a process and a server, which can simulate network faults."""

from __future__ import annotations

import asyncio
import enum
from typing import Self

from ._raw_server import reset_connection

READ_BYTES = 65536


class RelayState(enum.Enum):
    """State of the simulated network."""

    OPEN = "open"
    PARTITIONED = "silent"
    """Partition: no data passes and no connection is closed. Held data passes afterwards."""
    ONE_WAY = "deaf"
    """One-way partition: requests pass, answers are held."""
    CUT = "cut"
    """Existing and new connections are reset."""


class FaultyRelay:
    """Relay for connections on the loopback interface to another port.

    Parameters
    ----------
    target : int
        Port that connections are relayed to.
    delay_s : float
        Delay after each read of data, in each direction, seconds.
    """

    def __init__(self, target: int, delay_s: float = 0.0):
        self.target = target
        self.delay_s = delay_s
        self._state = RelayState.OPEN
        self._changed = asyncio.Condition()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    @property
    def port(self) -> int:
        """Port that the relay listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *details: object) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in set(self._writers):
            writer.transport.abort()

    async def set_state(self, state: RelayState) -> None:
        """Change the state; ``CUT`` also resets the open connections."""
        async with self._changed:
            self._state = state
            self._changed.notify_all()
        if state is RelayState.CUT:
            for writer in set(self._writers):
                reset_connection(writer)

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            target_streams = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            reset_connection(writer)
            return
        # The state may have become CUT while the connection to the target was opened.
        if self._state is RelayState.CUT:
            reset_connection(writer)
            target_streams[1].close()
            return
        self._writers |= {writer, target_streams[1]}
        directions = [
            asyncio.create_task(self._forward(reader, target_streams[1], is_answer=False)),
            asyncio.create_task(self._forward(target_streams[0], writer, is_answer=True)),
        ]
        self._tasks.update(directions)
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            self._tasks.difference_update(directions)
            self._writers -= {writer, target_streams[1]}
            writer.close()
            target_streams[1].close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_answer: bool
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await asyncio.sleep(self.delay_s)
                await self._wait_until_open(is_answer)
                writer.write(data)
                await writer.drain()
            await self._wait_until_open(is_answer)
        except ConnectionError:
            # One side has disconnected; the connection of the other side is closed by _relay.
            return

    async def _wait_until_open(self, is_answer: bool) -> None:
        blocking_states = (
            {RelayState.PARTITIONED, RelayState.ONE_WAY} if is_answer else {RelayState.PARTITIONED}
        )
        async with self._changed:
            await self._changed.wait_for(lambda: self._state not in blocking_states)
