"""The client library sends nothing twice and goes nowhere else by itself."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from burdockquay_protocol import AnswerHead, Run
from burdockquay_transport._engine_client import EngineClient
from burdockquay_transport._service_client import ServiceClient
from burdockquay_transport._upstream import UpstreamError, UpstreamSessions

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
REDIRECT = b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"
METHODS = ["POST", "PUT", "DELETE", "GET"]


class RawUpstream:
    """Answers each request with the next of its answers; closes the connection on None."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = 0

    async def serve(self, reader, writer):
        while await self._read_request(reader):
            self.requests += 1
            answer = self.answers.pop(0) if self.answers else None
            if answer is None:
                break
            writer.write(answer)
        writer.close()

    async def _read_request(self, reader):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                await reader.readexactly(int(line.split(b":")[1]))
        return True


@asynccontextmanager
async def connected(answers, keeps_connections):
    upstream = RawUpstream(answers)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    sessions = UpstreamSessions()
    if keeps_connections:
        await sessions.unpooled.close()
        sessions.unpooled = sessions.pooled
    port = server.sockets[0].getsockname()[1]
    try:
        yield upstream, ServiceClient(f"http://127.0.0.1:{port}", sessions)
    finally:
        await sessions.close()
        server.close()


def make_run(method):
    return Run(
        request="r1",
        attempt=1,
        grant=0,
        organisation="parish",
        class_name="hold",
        method=method,
        path="/debit",
        headers=[],
        body=b"" if method == "GET" else b"{}",
        stream=False,
        deadline_s=5.0,
        idempotent=False,
        key="k",
        expected_version=0,
        digest="d",
    )


@pytest.mark.parametrize(("status", "sent"), [(400, False), (503, False), (500, True)])
async def test_engine_that_fails_inside_a_request_may_have_run_it(status, sent):
    """An engine answers 500 after it worked on a request. The caller of a request that runs at most
    once would hear that it was not run, and the next attempt would run it again.
    """
    answer = f"HTTP/1.1 {status} No\r\nContent-Length: 0\r\n\r\n".encode()
    async with connected([answer], False) as (_, service):
        engine = EngineClient(service.url, service.sessions)
        with pytest.raises(UpstreamError) as raised:
            await read_all(engine, "POST")
    assert raised.value.sent is sent


async def read_all(client, method):
    return [part async for part in client.call(make_run(method), 0)]


@pytest.mark.parametrize("keeps_connections", [False, True])
@pytest.mark.parametrize("method", METHODS)
async def test_request_on_a_closed_connection_is_not_repeated(method, keeps_connections):
    """A service reads a request and closes the connection without an answer, also one that had
    served before. A client that sent the request again would debit twice. The second case keeps
    connections, so that the guard against repeats is tried and not only the fresh connection.
    """
    async with connected([ANSWER, None, ANSWER], keeps_connections) as (upstream, client):
        await read_all(client, method)
        with pytest.raises(UpstreamError) as raised:
            await read_all(client, method)
        assert raised.value.sent
        assert upstream.requests == 2


@pytest.mark.parametrize("method", METHODS)
async def test_redirect_is_passed_on_and_not_followed(method):
    """A service answers with a redirect. Followed by the client, the call would take effect at a
    place that nobody claimed it for.
    """
    async with connected([REDIRECT, ANSWER], False) as (upstream, client):
        head = (await read_all(client, method))[0]
        assert isinstance(head, AnswerHead)
        assert head.status == 307
        assert upstream.requests == 1
