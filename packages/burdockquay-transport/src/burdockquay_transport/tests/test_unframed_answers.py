"""Tests of answers behind a slot without a length and without chunks."""

import asyncio

import aiohttp
import pytest

from burdockquay_protocol import AnswerHead, Run
from burdockquay_standins import RawServer
from burdockquay_state import TableErrorKind, object_stores
from burdockquay_transport._service_client import ServiceClient
from burdockquay_transport._upstream import UpstreamError, UpstreamSessions

from ._deployment import until

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
HOLD = "/services/booking/holds"


def write(body, reset, pause_s=0.05):
    async def behave(request, connection):
        if request.target == "/healthz":
            await connection.write(HEALTHY)
            return
        await connection.write(HEAD + body)
        await asyncio.sleep(pause_s)
        if reset:
            connection.reset()
        else:
            connection.close()
        await connection.wait_until_closed()

    return behave


async def ask(deployment, behaviour, upload="", reads_bodies=True):
    """Return the text of the answer to a hold, None if it is not a complete success."""
    async with deployment(engines=1) as running, RawServer(behaviour, reads_bodies) as server:
        await running.add_slot("raw-1", "booking", f"http://127.0.0.1:{server.port}")
        await until(lambda: running.is_connected(running.entries[0]))
        try:
            async with running.post(HOLD, {"chapel": upload}, Idempotency_Key="h-1") as response:
                text = await response.text()
                return text if response.status == 200 else None
        except aiohttp.ClientPayloadError:
            return None


async def test_whole_answer_without_a_length_is_complete(deployment):
    assert await ask(deployment, write(b"held", reset=False)) == "held"


async def test_answer_without_a_length_that_is_reset_never_looks_complete(deployment):
    """Guards against a truncated answer that its caller takes for the whole."""
    assert await ask(deployment, write(b"hel", reset=True)) is None


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize("upload_bytes", [1000, 200_000, 900_000])
async def test_early_answer_to_an_upload_that_is_reset_never_looks_complete(
    deployment, upload_bytes, pause_s
):
    """Guards against a part of an answer that is taken for the whole while a request is sent."""
    behaviour = write(b"hel", reset=True, pause_s=pause_s)
    assert await ask(deployment, behaviour, "x" * upload_bytes, reads_bodies=False) is None


async def test_object_whose_answer_is_reset_is_not_read():
    """Guards against a stored answer that is taken for damaged, since only a part of it came."""
    async with RawServer(write(b"part", reset=True)) as server, aiohttp.ClientSession() as session:
        objects = object_stores.get("http")(f"http://127.0.0.1:{server.port}", 5.0, session)
        read = await objects.get("digest")
    assert read.err().kind is TableErrorKind.UNAVAILABLE


async def test_answer_of_a_service_that_is_reset_before_its_body_is_read_is_not_complete():
    """Guards against a truncated answer where its reader is slow."""
    run = Run(*("r-1", 1, 0, "parish", "hold", "POST", "/", [], b"", False, 5.0), False, "", 0, "d")
    async with RawServer(write(b"hel", reset=True, pause_s=0.0)) as server:
        sessions = UpstreamSessions()
        parts = ServiceClient(f"http://127.0.0.1:{server.port}", sessions).call(run, 1)
        assert isinstance(await anext(parts), AnswerHead)
        await asyncio.sleep(0.05)
        with pytest.raises(UpstreamError):
            [part async for part in parts]
        await sessions.close()
