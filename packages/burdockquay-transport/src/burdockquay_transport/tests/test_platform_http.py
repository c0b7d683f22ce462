"""HTTP adapters, tested with a small server over an in-memory table, with and without faults."""

import asyncio
import base64
import hashlib
import io

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from burdockquay_state import (
    ABSENT,
    Check,
    Delete,
    MemoryObjectStore,
    MemoryTable,
    Put,
    TableErrorKind,
    VmEntry,
    VmState,
    object_stores,
    table_services,
    vm_lists,
)
from burdockquay_transport import _platform_http, setup_logging

MAKERS = {
    "put": lambda item: Put(item["key"], base64.b64decode(item["value"]), item["expected_version"]),
    "delete": lambda item: Delete(item["key"], item["expected_version"]),
    "check": lambda item: Check(item["key"], item["expected_version"]),
}


def show(row):
    return row and {
        "key": row.key,
        "value": base64.b64encode(row.value).decode(),
        "version": row.version,
    }


class Platform:
    """Server whose answers can be replaced."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.vms = []
        self.tags_vm_list = False
        self.lists_sent = 0
        self.calls = 0
        self.respond = None

    def make_app(self):
        @web.middleware
        async def intercept(request, handler):
            self.calls += 1
            if self.respond is None:
                return await handler(request)
            return await self.respond(request, handler)

        app = web.Application(middlewares=[intercept])
        app.router.add_post("/table/get", self.get)
        app.router.add_post("/table/scan", self.scan)
        app.router.add_post("/table/transact", self.transact)
        app.router.add_put("/objects/{digest}", self.put_object)
        app.router.add_get("/objects/{digest}", self.get_object)
        app.router.add_get("/vms", self.list_vms)
        return app

    async def get(self, request):
        rows = (await self.table.get((await request.json())["keys"])).ok()
        return web.json_response({"rows": [show(row) for row in rows]})

    async def scan(self, request):
        rows = (await self.table.scan(**await request.json())).ok()
        return web.json_response({"rows": [show(row) for row in rows]})

    async def transact(self, request):
        items = (await request.json())["operations"]
        result = await self.table.transact([MAKERS[item["op"]](item) for item in items])
        if result.is_err():
            return web.json_response({"conflicts": list(result.err().conflicts)}, status=409)
        return web.json_response({"versions": result.ok()})

    async def put_object(self, request):
        await self.objects.put(request.match_info["digest"], await request.read())
        return web.Response(status=204)

    async def get_object(self, request):
        content = (await self.objects.get(request.match_info["digest"])).ok()
        return web.Response(status=404) if content is None else web.Response(body=content)

    async def list_vms(self, request):
        response = web.json_response({"vms": self.vms})
        if self.tags_vm_list:
            response.etag = hashlib.sha256(response.body).hexdigest()
            if request.if_none_match and response.etag in request.if_none_match:
                return web.Response(status=304)
        self.lists_sent += 1
        return response


@pytest.fixture
async def platform():
    platform = Platform()
    platform.server = TestServer(platform.make_app())
    await platform.server.start_server()
    platform.url = str(platform.server.make_url(""))
    yield platform
    await platform.server.close()


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
def table(platform, session):
    return table_services.get("http")(platform.url, 5.0, session)


async def test_table_conforms_to_the_interface(table):
    assert (await table.transact([Put("a", b"\x00\xff", ABSENT), Put("b", b"")])).ok() == [1, 2]
    row, absent = (await table.get(["a", "c"])).ok()
    assert (row.key, row.value, row.version, absent) == ("a", b"\x00\xff", 1, None)
    conflict = (await table.transact([Check("a", 1), Put("b", b"x", ABSENT)])).err()
    assert (conflict.kind, conflict.conflicts) == (TableErrorKind.CONFLICT, (1,))
    assert (await table.transact([Delete("a", 1), Check("b", 2)])).ok() == [None, None]
    assert [row.key for row in (await table.scan("", limit=5)).ok()] == ["b"]


async def test_objects_are_returned_unchanged(platform, session):
    store = object_stores.get("http")(platform.url, 5.0, session)
    assert (await store.get("d1")).ok() is None
    assert (await store.put("d1", b"\x00" * 100_000)).is_ok()
    assert (await store.get("d1")).ok() == b"\x00" * 100_000


async def drop_before(request, handler):
    request.transport.close()
    return web.Response()


async def drop_after_effect(request, handler):
    await handler(request)
    request.transport.close()
    return web.Response()


async def never_answer(request, handler):
    await handler(request)
    await asyncio.sleep(60)


def answer_with(status, text):
    async def respond(request, handler):
        return web.Response(status=status, text=text)

    return respond


UNAVAILABLE, UNCERTAIN, INVALID = (
    TableErrorKind.UNAVAILABLE,
    TableErrorKind.UNCERTAIN,
    TableErrorKind.INVALID,
)


@pytest.mark.parametrize(
    ("respond", "read_error", "write_error"),
    [
        (drop_before, UNAVAILABLE, UNCERTAIN),
        (drop_after_effect, UNAVAILABLE, UNCERTAIN),
        (never_answer, UNAVAILABLE, UNCERTAIN),
        (answer_with(503, "down"), UNAVAILABLE, UNAVAILABLE),
        (answer_with(400, "what"), INVALID, INVALID),
        (answer_with(500, "bug"), UNAVAILABLE, UNCERTAIN),
        (answer_with(200, "no json"), UNAVAILABLE, UNCERTAIN),
        (answer_with(200, "[]"), UNAVAILABLE, UNCERTAIN),
        (answer_with(200, '{"rows": [], "versions": []}'), UNAVAILABLE, UNCERTAIN),
        (answer_with(200, '{"rows": [{}], "versions": ["1"]}'), UNAVAILABLE, UNCERTAIN),
        (answer_with(409, "no json"), UNAVAILABLE, UNCERTAIN),
        (answer_with(302, ""), UNAVAILABLE, UNCERTAIN),
    ],
)
async def test_a_transaction_without_a_clear_answer_is_uncertain_and_sent_once(
    platform, session, respond, read_error, write_error
):
    """A reply is lost or malformed, although the transaction may have been carried out.

    If it counted as not done, a hold would be placed twice. If the client library sent it again,
    the second copy would fail by the conflict that the first one caused.
    """
    # Short only where the timeout always expires, so that a busy machine changes no result.
    timeout_s = 0.2 if respond is never_answer else 60.0
    table = table_services.get("http")(platform.url, timeout_s, session)
    platform.respond = respond
    platform.calls = 0
    assert (await table.transact([Put("a", b"")])).err().kind is write_error
    assert platform.calls == 1
    assert (await table.get(["a"])).err().kind is read_error


async def test_a_transaction_on_a_reused_connection_is_sent_once(platform, table):
    """The service closes an idle connection just as the next transaction is sent on it."""
    assert (await table.get(["a"])).is_ok()
    platform.calls = 0
    platform.respond = drop_after_effect
    assert (await table.transact([Put("a", b"")])).err().kind is UNCERTAIN
    assert platform.calls == 1


async def test_a_refused_connection_means_not_done(platform, session):
    table = table_services.get("http")(platform.url, 5.0, session)
    await platform.server.close()
    assert (await table.transact([Put("a", b"")])).err().kind is UNAVAILABLE


async def answer_slowly(request, handler):
    """Send the body over 0.6 s, in pieces."""
    response = web.StreamResponse()
    await response.prepare(request)
    for piece in (b'{"rows": [', *[b" "] * 10, b"null]}"):
        await asyncio.sleep(0.05)
        await response.write(piece)
    return response


async def test_answer_is_not_cut_while_it_is_being_transferred(platform, session):
    """Guards against records or a VM list that an entry or a slot never receives completely."""
    table = table_services.get("http")(platform.url, 0.3, session)
    platform.respond = answer_slowly
    assert (await table.get(["a"])).ok() == [None]


async def test_an_answer_above_the_size_limit_is_rejected(platform, table, monkeypatch):
    """A faulty service could otherwise fill the memory of every process that calls it."""
    monkeypatch.setattr(_platform_http, "MAX_ANSWER_BYTES", 1000)
    platform.respond = answer_with(200, '{"rows": [' + " " * 5000 + "null]}")
    assert (await table.get(["a"])).err().kind is UNAVAILABLE


def vm_fields(name):
    return {
        "vm": name,
        "role": "slot",
        "host": "127.0.0.1",
        "port": 7000,
        "status_port": 7001,
        "failure_domain": "medeu",
        "group": "desk",
        "state": "leaving",
    }


@pytest.mark.parametrize(("tagged", "lists_sent"), [(False, 5), (True, 3)])
async def test_only_a_changed_vm_list_is_parsed(platform, session, tagged, lists_sent, monkeypatch):
    platform.tags_vm_list = tagged
    vm_list = vm_lists.get("http")(platform.url, 60.0, session)
    parsed = []
    read_entry = _platform_http._read_entry
    monkeypatch.setattr(
        _platform_http, "_read_entry", lambda item: parsed.append(item) or read_entry(item)
    )
    for names in (["a"], ["a"], ["a", "b"], ["b"], ["b"]):
        platform.vms = [vm_fields(name) for name in names]
        entries = (await vm_list.list()).ok()
        assert [entry.vm for entry in entries] == names
        entries.clear()
    assert [item["vm"] for item in parsed] == ["a", "a", "b", "b"]
    assert platform.lists_sent == lists_sent


async def test_malformed_entries_of_the_vm_list_are_ignored(platform, session):
    """Some entries are malformed; if that lost the others, no request would find an upstream."""
    good = {**vm_fields("s1"), "rack": "the platform's own field"}
    bad = [{**good, "port": "7000"}, {**good, "state": "gone"}, {**good, "vm": ""}, {}, None, 7]
    platform.vms = [*bad, good]
    log = io.StringIO()
    handler = setup_logging("INFO", log)
    vm_list = vm_lists.get("http")(platform.url, 5.0, session)
    for _ in range(2):
        entries = (await vm_list.list()).ok()
    handler.pop_application()
    assert entries == [
        VmEntry("s1", "slot", "127.0.0.1", 7000, 7001, "medeu", "desk", VmState.LEAVING)
    ]
    assert log.getvalue().count("E1205 vm_entry_fault") == len(bad)
