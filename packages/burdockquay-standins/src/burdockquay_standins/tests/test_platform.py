"""Tests of the platform's protocol over HTTP, compared with the table in memory, and its faults."""

import asyncio
import base64
import re

import aiohttp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from burdockquay_standins import PlatformParameters, PlatformStandin
from burdockquay_state import Check, Delete, MemoryTable, Put

KEYS = st.sampled_from(["a", "a/b", "b"])
VERSIONS = st.none() | st.integers(0, 6)
OPERATIONS = st.lists(
    st.builds(Put, KEYS, st.binary(max_size=8), VERSIONS)
    | st.builds(Delete, KEYS, VERSIONS)
    | st.builds(Check, KEYS, st.integers(0, 6)),
    min_size=1,
    max_size=3,
)
VM = {"role": "slot", "host": "127.0.0.1", "port": 1, "status_port": 2, "failure_domain": "medeu"}


def to_json(operation):
    form = {
        "op": type(operation).__name__.lower(),
        "key": operation.key,
        "expected_version": operation.expected_version,
    }
    if isinstance(operation, Put):
        form["value"] = base64.b64encode(operation.value).decode()
    return form


async def call(client, server, path, body, status=200):
    async with client.post(f"{server.url}{path}", json=body) as response:
        assert response.status == status, await response.text()
        return await response.json() if status in (200, 409) else await response.text()


def put(key, value, version=None):
    return {"operations": [to_json(Put(key, value, version))]}


@given(transactions=st.lists(OPERATIONS, max_size=6))
def test_transactions_over_http_equal_those_of_the_table(transactions):
    async def compare():
        oracle = MemoryTable()
        async with PlatformStandin() as server, aiohttp.ClientSession() as client:
            for operations in transactions:
                expected = await oracle.transact(operations)
                form = {"operations": [to_json(operation) for operation in operations]}
                if expected.is_ok():
                    answer = await call(client, server, "/table/transact", form)
                    assert answer == {"versions": expected.unwrap()}
                else:
                    answer = await call(client, server, "/table/transact", form, 409)
                    assert answer == {"conflicts": list(expected.unwrap_err().conflicts)}
            rows = (await call(client, server, "/table/scan", {"prefix": "a"}))["rows"]
            known = (await oracle.scan("a")).unwrap()
            assert [(row["key"], base64.b64decode(row["value"])) for row in rows] == [
                (row.key, row.value) for row in known
            ]

    asyncio.run(compare())


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/table/get", {}),
        ("/table/get", {"keys": [1]}),
        ("/table/scan", {"prefix": 1}),
        ("/table/scan", {"prefix": "", "limit": -1}),
        ("/table/transact", {"operations": []}),
        ("/table/transact", {"operations": [{"op": "move", "key": "a"}]}),
        ("/table/transact", {"operations": [{"op": "put", "key": "a", "value": "%"}]}),
        ("/table/transact", {"operations": [{"op": "check", "key": "a"}]}),
        ("/table/transact", {"operations": [{"op": "delete", "key": ""}]}),
        ("/faults", {"outages": True}),
        ("/faults", {"lose_confirmation": 1.5}),
    ],
)
async def test_malformed_calls_are_rejected(client, path, body):
    async with PlatformStandin() as server:
        text = await call(client, server, path, body, 400)
        assert re.search("expected|unknown switch 'outages'", text)


async def test_calls_are_not_executed_during_an_outage(client):
    async with PlatformStandin() as server:
        await call(client, server, "/faults", {"outage": True})
        await call(client, server, "/table/transact", put("a", b"1"), 503)
        await call(client, server, "/faults", {"outage": False})
        assert (await call(client, server, "/table/get", {"keys": ["a"]})) == {"rows": [None]}


async def test_lost_confirmation_takes_effect(client):
    """The write is executed but gets no answer, so that the writer does not know its outcome."""
    async with PlatformStandin() as server:
        await call(client, server, "/faults", {"lose_confirmation": 1})
        with pytest.raises(aiohttp.ClientError):
            await call(client, server, "/table/transact", put("a", b"1"))
        await call(client, server, "/table/transact", put("a", b"2", 0), 409)
        row = (await call(client, server, "/table/get", {"keys": ["a"]}))["rows"][0]
        assert (base64.b64decode(row["value"]), row["version"]) == (b"1", 1)


async def test_hanging_platform_answers_after_the_hang(client):
    async with PlatformStandin() as server:
        await call(client, server, "/faults", {"hang": True})
        write = asyncio.create_task(call(client, server, "/table/transact", put("a", b"1")))
        await asyncio.sleep(0.02)
        assert not write.done() and server.counts["writes"] == 0
        await call(client, server, "/faults", {"hang": False})
        assert await write == {"versions": [1]}


async def test_stale_reads_see_an_old_state_and_transactions_the_current_one(client):
    async with PlatformStandin() as server:
        await call(client, server, "/table/transact", put("a", b"old"))
        await call(client, server, "/faults", {"stale_reads_s": 3600})
        await call(client, server, "/table/transact", put("a", b"new", 1))
        row = (await call(client, server, "/table/get", {"keys": ["a"]}))["rows"][0]
        assert base64.b64decode(row["value"]) == b"old"
        await call(client, server, "/faults", {"stale_reads_s": 0})
        row = (await call(client, server, "/table/get", {"keys": ["a"]}))["rows"][0]
        assert base64.b64decode(row["value"]) == b"new"


@pytest.mark.parametrize(("lag_s", "seen"), [(0.0, ["slot-1"]), (3600.0, [])])
async def test_vm_list_lags(client, lag_s, seen):
    async with PlatformStandin(PlatformParameters(vm_list_lag_s=lag_s)) as server:
        async with client.put(f"{server.url}/vms/slot-1", json=VM) as response:
            assert response.status == 204
        async with client.get(f"{server.url}/vms") as response:
            vms = (await response.json())["vms"]
        assert [vm["vm"] for vm in vms] == seen
        assert all(vm == VM | {"vm": "slot-1", "group": "", "state": "live"} for vm in vms)
        async with client.put(f"{server.url}/vms/slot-2", json={"role": "slot"}) as response:
            assert response.status == 400
        for status in (204, 404):
            async with client.delete(f"{server.url}/vms/slot-1") as response:
                assert response.status == status


async def test_objects_are_stored_under_their_digest(client):
    async with PlatformStandin() as server:
        url = f"{server.url}/objects/d1"
        async with client.get(url) as response:
            assert response.status == 404
        await client.put(url, data=b"content")
        async with client.get(url) as response:
            assert await response.read() == b"content"


async def test_restore_from_a_copy_loses_writes_and_reuses_their_versions(client):
    async with PlatformStandin(PlatformParameters(era=1)) as server:
        await call(client, server, "/faults", {"copy": True})
        assert await call(client, server, "/table/transact", put("a", b"1")) == {"versions": [1]}
        await call(client, server, "/faults", {"outage": True, "return_to_copy": True})
        await call(client, server, "/table/get", {"keys": ["a"]}, 503)
        await call(client, server, "/faults", {"outage": False})
        form = {"keys": ["a"]}
        async with client.post(f"{server.url}/table/get", json=form) as response:
            assert response.headers["Table-Era"] == "2"
            assert await response.json() == {"rows": [None]}
        assert await call(client, server, "/table/transact", put("a", b"2")) == {"versions": [1]}


async def test_condition_of_an_earlier_era_fails(client):
    async with PlatformStandin(PlatformParameters(era=1)) as server:
        form = put("a", b"1", 0)
        for era, status in ((0, 409), (2, 409), (1, 200)):
            form["operations"][0]["era"] = era
            await call(client, server, "/table/transact", form, status)
        form["operations"][0]["era"] = "1"
        await call(client, server, "/table/transact", form, 400)
