"""HTTP adapter of the table when the table is restored from a copy."""

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from burdockquay_standins import PlatformParameters, PlatformStandin
from burdockquay_state import Check, Put, TableErrorKind, era_of, make_version, table_services


@pytest.fixture
async def session():
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def server():
    async with PlatformStandin(PlatformParameters(era=1)) as server:
        yield server


@pytest.fixture
def table(server, session):
    return table_services.get("http")(server.url, 5.0, session)


async def test_conditions_of_an_earlier_era_fail_and_the_new_era_is_received(server, table):
    """A process writes with a version that it read before the table was restored from a copy."""
    (first,) = (await table.transact([Put("a", b"1")])).ok()
    copy = server.table.copy()
    (lost,) = (await table.transact([Put("a", b"2", first)])).ok()
    assert table.era == 1
    server.table.restore_copy(copy)
    refused = await table.transact([Put("a", b"3", lost), Check("b", make_version(1, 0))])
    assert refused.err().conflicts == (0, 1)
    assert table.era == 2
    (row,) = (await table.get(["a"])).ok()
    assert row.value == b"1" and row.version > lost
    assert era_of((await table.scan("")).ok()[0].version) == 2
    written = await table.transact([Put("a", b"3", row.version), Check("b", table.absent)])
    assert era_of(written.ok()[0]) == 2


@pytest.mark.parametrize(("named", "known"), [("4", 4), (None, 0), ("x", None), ("-1", None)])
async def test_era_of_an_answer(session, named, known):
    """An answer without an era has era 0; an answer with an unreadable era is an error."""

    async def get(request):
        headers = {} if named is None else {"Table-Era": named}
        return web.json_response({"rows": [None]}, headers=headers)

    app = web.Application()
    app.router.add_post("/table/get", get)
    async with TestServer(app) as server:
        table = table_services.get("http")(str(server.make_url("")), 5.0, session)
        answer = await table.get(["a"])
    if known is None:
        assert answer.err().kind is TableErrorKind.UNAVAILABLE
    else:
        assert answer.ok() == [None] and table.era == known


async def test_late_answer_of_an_earlier_era_keeps_its_era(session):
    """An answer from before the restore arrives after one from after the restore."""
    eras = iter(("3", "2"))

    async def get(request):
        rows = [{"key": "a", "value": "", "version": 9}]
        return web.json_response({"rows": rows}, headers={"Table-Era": next(eras)})

    app = web.Application()
    app.router.add_post("/table/get", get)
    async with TestServer(app) as server:
        table = table_services.get("http")(str(server.make_url("")), 5.0, session)
        (late,), (earlier,) = [(await table.get(["a"])).ok() for _ in range(2)]
    assert table.era == 3
    assert earlier.version < late.version
