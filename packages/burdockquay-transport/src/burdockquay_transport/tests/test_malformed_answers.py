"""Tests of upstreams behind a slot, and of a platform, whose answers break the grammar of HTTP."""

import asyncio
from functools import partial

import pytest
from aiohttp.http import HttpResponseParser

from burdockquay_coordination import EngineOrder
from burdockquay_protocol import AnswerEnd, AnswerHead
from burdockquay_standins import MALFORMED_ANSWERS, UNUSUAL_ANSWERS, RawServer, send_odd_answer
from burdockquay_state import table_services, vm_lists
from burdockquay_transport._engine_client import EngineClient
from burdockquay_transport._order_follower import HttpOrderTarget
from burdockquay_transport._service_client import ServiceClient
from burdockquay_transport._upstream import BodyPiece, UpstreamSessions

from .raw_upstream import HEALTHY, PATHS, ask, is_unknown

BODIES = {
    "engine": b'data: {"choices": [{"delta": {"content": "done"}}]}\n\ndata: [DONE]\n\n',
    "service": b'"done"',
}
JSON = "Content-Type: application/json"
LISTS = b'{"vms": [], "rows": []}'


@pytest.mark.parametrize("status", [0, 99, 101, 600, 999])
async def test_status_that_a_slot_did_not_check_reaches_no_caller(deployment, monkeypatch, status):
    """Guards against an answer that a slot of an earlier version passes on, or has stored."""

    async def call(self, run, priority):
        yield AnswerHead(status, [])
        yield BodyPiece(b'"done"')
        yield AnswerEnd(0, 0, "stop")

    monkeypatch.setattr(ServiceClient, "call", call)
    async with deployment(engines=0, services=1) as running:
        hold = partial(running.ask, PATHS["service"][1], {}, Idempotency_Key="h-1")
        replies = [await hold() for _ in range(2)]
    assert all(is_unknown(*reply) for reply in replies), replies


def test_compiled_parser_is_installed():
    """Guards against the parser in Python, which accepts malformed sizes of chunks."""
    assert HttpResponseParser.__module__ == "aiohttp._http_parser"


@pytest.mark.parametrize("piece_bytes", [1, 1000])
@pytest.mark.parametrize("kind", PATHS)
@pytest.mark.parametrize("rule", MALFORMED_ANSWERS)
async def test_malformed_answer_has_an_unknown_outcome(deployment, rule, kind, piece_bytes):
    """Guards against a broken answer that is passed on, or counted as not run."""
    write = partial(send_odd_answer, piece_bytes=piece_bytes)
    behaviours = [write(answer, BODIES[kind], JSON) for answer in MALFORMED_ANSWERS[rule]]
    replies = await ask(deployment, kind, behaviours)
    assert [reply for reply in replies if not is_unknown(*reply)] == []
    assert not any("done" in str(reply) for reply in replies)


async def test_unusual_answer_of_a_service_is_passed_on(deployment):
    """Guards against a sound answer that is taken for a malformed one."""
    behaviours = [send_odd_answer(answer, BODIES["service"], JSON) for answer in UNUSUAL_ANSWERS]
    replies = await ask(deployment, "service", behaviours)
    assert sorted(replies) == sorted((answer.status, "done") for answer in UNUSUAL_ANSWERS)


READERS = {
    "probe_of_a_service": lambda url, sessions: ServiceClient(url, sessions).probe(),
    "probe_of_an_engine": lambda url, sessions: EngineClient(url, sessions).probe(),
    "order": lambda url, sessions: HttpOrderTarget(url, sessions).send(ORDER),
    "table": lambda url, sessions: table_services.get("http")(url, 5.0, sessions.pooled).scan("a"),
    "vm_list": lambda url, sessions: vm_lists.get("http")(url, 5.0, sessions.pooled).list(),
}
ORDER = EngineOrder("o-1", "load", "model", 1)


def is_failure(result):
    """Return whether a result is a failure, and one that leaves open whether an order ran."""
    if isinstance(result, bool):
        return not result
    return result.is_err() and getattr(result.err(), "acted", True)


@pytest.mark.parametrize("name", READERS)
@pytest.mark.parametrize("rule", MALFORMED_ANSWERS)
async def test_malformed_answer_to_a_call_of_the_process_itself_is_a_failure(rule, name):
    """Guards against a broken upstream that passes for healthy, and a list that is not one."""
    answers = MALFORMED_ANSWERS[rule]
    async with RawServer(send_odd_answer(answers[0], LISTS)) as server:
        server.script = [send_odd_answer(answer, LISTS) for answer in answers]
        sessions = UpstreamSessions()
        url = f"http://127.0.0.1:{server.port}"
        results = [await READERS[name](url, sessions) for _ in answers]
        await sessions.close()
    pairs = zip(answers, results, strict=True)
    assert [pair for pair in pairs if not is_failure(pair[1])] == []


async def test_bytes_after_an_answer_belong_to_no_call():
    """Guards against an answer that arrived before its call was sent."""

    async def add_bytes(request, connection):
        await connection.write(HEALTHY)
        await asyncio.sleep(0.02)
        await connection.write(HEALTHY.replace(b"200 OK", b"503 Full"))

    async with RawServer(add_bytes) as server:
        sessions = UpstreamSessions()
        client = EngineClient(f"http://127.0.0.1:{server.port}", sessions)
        results = []
        for _ in range(4):
            results.append(await client.probe())
            await asyncio.sleep(0.04)
        await sessions.close()
    assert results == [True] * 4
