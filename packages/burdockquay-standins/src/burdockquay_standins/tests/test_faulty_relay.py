"""Tests of the relay that simulates network faults."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from burdockquay_standins import FaultyRelay, RawServer, RelayState

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


async def answer(request, connection):
    await connection.write(b"here")


@asynccontextmanager
async def connected():
    async with RawServer(answer) as server, FaultyRelay(server.port) as relay:
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        yield server, relay, reader, writer
        writer.close()


async def test_data_passes_in_both_directions():
    async with connected() as (_, _, reader, writer):
        writer.write(REQUEST)
        assert await reader.readexactly(4) == b"here"


@pytest.mark.parametrize(
    ("state", "received_count"), [(RelayState.PARTITIONED, 0), (RelayState.ONE_WAY, 1)]
)
async def test_held_data_passes_after_the_partition(state, received_count):
    async with connected() as (server, relay, reader, writer):
        await relay.set_state(state)
        writer.write(REQUEST)
        answering = asyncio.create_task(reader.readexactly(4))
        await asyncio.sleep(0.1)
        assert len(server.received) == received_count
        assert not answering.done()
        await relay.set_state(RelayState.OPEN)
        assert await answering == b"here"


async def test_cut_resets_old_and_new_connections():
    async with connected() as (_, relay, reader, _):
        await relay.set_state(RelayState.CUT)
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        late, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await late.readexactly(1)
        writer.close()


async def test_unavailable_server_leads_to_a_reset():
    async with RawServer(answer) as server, FaultyRelay(server.port) as relay:
        await server.crash_server()
        reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        writer.close()
