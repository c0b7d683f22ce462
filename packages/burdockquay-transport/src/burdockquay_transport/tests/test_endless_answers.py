"""Tests of upstreams behind a slot whose answers have no end."""

import pytest

from burdockquay_standins import EndlessAnswer, RawServer

from ._deployment import chat_body, until

PIECE = b"x" * 65536
MAX_SENT_BYTES = 128 << 20
"""Bytes that an upstream may send until its connection is closed: far more than the limits and the
buffers of the system."""

CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


ANSWERS = {
    "interim_answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "empty_lines": (b"", b"\r\n" * 30_000),
    "chunk_size": (OK + CHUNKED, b"0" * 65536),
    "event": (OK + CHUNKED, chunk(PIECE)),
    "comments": (OK + CHUNKED, chunk(b": still here\n\n" * 4000)),
    "error": (b"HTTP/1.1 500 Broken\r\n" + CHUNKED, chunk(PIECE)),
}


def answer_one_path(answer, path):
    """Return an endless answer, and a behaviour that gives it to one path only."""
    begin, piece = answer
    endless = EndlessAnswer(lambda request: begin, piece)

    async def behave(request, connection):
        if request.target.startswith(path):
            await endless(request, connection)
        else:
            await connection.write(OK + b"Content-Length: 0\r\n\r\n")

    return endless, behave


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS.keys())
async def test_answer_without_end_fails_its_request(deployment, answer):
    """Guards against an engine that takes the memory and the time of its slot."""
    endless, behave = answer_one_path(answer, "/v1/chat")
    async with RawServer(behave) as server, deployment(engines=0, entries=0) as running:
        await running.add_slot("raw", "drafting", f"http://127.0.0.1:{server.port}")
        await running.add_entry("entry-0")
        await until(lambda: running.is_connected(running.entries[0]))
        status, body = await running.ask(
            "/v1/chat/completions", chat_body(), X_Deadline_Seconds="5"
        )
        assert status >= 500
        assert body["error"]["run"] != "not_run"
        await until(lambda: endless.closed)
    assert endless.sent_bytes < MAX_SENT_BYTES


async def test_health_check_without_end_makes_an_upstream_unhealthy(deployment):
    """Guards against a slot that reads the answer to a health check for as long as it lasts."""
    endless, behave = answer_one_path(ANSWERS["interim_answers"], "/healthz")
    async with RawServer(behave) as server, deployment(engines=0, entries=0) as running:
        slot = await running.add_slot("raw", "drafting", f"http://127.0.0.1:{server.port}")
        slot._health.probe_soon()
        await until(lambda: endless.closed > 1)
        assert not slot.describe()["healthy"]
    assert endless.sent_bytes < MAX_SENT_BYTES
