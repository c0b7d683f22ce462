"""Tests that the delay line keeps bytes and their order, and closes both sides."""

import asyncio

import pytest

from burdockquay_standins import DelayLine
from burdockquay_state import InvalidParameterError


@pytest.fixture
async def echo():
    async def answer(reader, writer):
        while data := await reader.read(1000):
            writer.write(data)
        writer.close()

    async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
        yield server.sockets[0].getsockname()[1]


async def test_all_bytes_return_after_at_least_the_round_trip_time(echo):
    sent = b"".join(number.to_bytes(4, "big") for number in range(50_000))
    loop = asyncio.get_running_loop()
    async with DelayLine("127.0.0.1", echo, 0.02) as line:
        reader, writer = await asyncio.open_connection("127.0.0.1", line.listening_port)
        began = loop.time()
        writer.write(sent)
        first = await reader.read(1)
        assert loop.time() - began >= 0.039
        line.delay_s = 0.0
        writer.write_eof()
        assert first + await reader.read() == sent
        writer.close()


async def test_connection_is_closed_if_the_target_does_not_listen(unused_tcp_port):
    async with DelayLine("127.0.0.1", unused_tcp_port, 0.0) as line:
        reader, writer = await asyncio.open_connection("127.0.0.1", line.listening_port)
        assert await reader.read() == b""
        writer.close()


def test_parameters_are_validated():
    with pytest.raises(InvalidParameterError, match=r"port: .*got 0; delay_s: .*got -1"):
        DelayLine("127.0.0.1", 0, -1.0)
