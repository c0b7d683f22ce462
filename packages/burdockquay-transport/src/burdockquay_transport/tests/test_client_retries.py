"""The client library neither retries requests nor follows redirects by itself."""

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
    """Server that gives one prepared answer per request; closes the connection on None."""

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
async def connected(answers, reuses_connections):
    upstream = RawUpstream(answers)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    sessions = UpstreamSessions()
    if reuses_connections:
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
async def test_engine_error_500_may_have_run_the_request(status, sent):
    """An engine answers 500 after it processed a request. If that counted as not run, the next
    attempt would run a request again that may run at most once.
    """
    answer = f"HTTP/1.1 {status} No\r\nContent-Length: 0\r\n\r\n".encode()
    async with connected([answer], False) as (_, service):
        engine = EngineClient(service.url, service.sessions)
        with pytest.raises(UpstreamError) as raised:
            await read_all(engine, "POST")
    assert raised.value.sent is sent


async def read_all(client, method):
    return [part async for part in client.call(make_run(method), 0)]


@pytest.mark.parametrize("reuses_connections", [False, True])
@pytest.mark.parametrize("method", METHODS)
async def test_request_on_a_closed_connection_is_not_repeated(method, reuses_connections):
    """A service reads a request and closes the connection without an answer, also on a reused
    connection. A client that sent the request again would debit twice. The second case reuses
    connections, so that it tests the guard against retries and not only the new connection.
    """
    async with connected([ANSWER, None, ANSWER], reuses_connections) as (upstream, client):
        await read_all(client, method)
        with pytest.raises(UpstreamError) as raised:
            await read_all(client, method)
        assert raised.value.sent
        assert upstream.requests == 2


@pytest.mark.parametrize("method", METHODS)
async def test_redirect_is_passed_on_and_not_followed(method):
    """A service answers with a redirect. If the client followed it, the call would take effect at
    another address than the one it was claimed for.
    """
    async with connected([REDIRECT, ANSWER], False) as (upstream, client):
        head = (await read_all(client, method))[0]
        assert isinstance(head, AnswerHead)
        assert head.status == 307
        assert upstream.requests == 1
