"""The table of one process against the contract of the interface."""

from burdockquay_state import ABSENT, Check, Delete, MemoryTable, Put, TableErrorKind


async def test_transaction_is_all_or_nothing():
    table = MemoryTable()
    first = (await table.transact([Put("a", b"1", ABSENT)])).ok()
    failed = await table.transact([Put("b", b"2", ABSENT), Check("a", first[0] + 1)])
    assert failed.err().kind is TableErrorKind.CONFLICT
    assert failed.err().conflicts == (1,)
    assert (await table.get(["a", "b"])).ok()[1] is None


async def test_deleted_row_never_shows_an_old_version_again():
    table = MemoryTable()
    (before,) = (await table.transact([Put("a", b"1", ABSENT)])).ok()
    await table.transact([Delete("a", before)])
    (after,) = (await table.transact([Put("a", b"1", ABSENT)])).ok()
    assert after > before


async def test_scan_pages_through_a_prefix_in_order():
    table = MemoryTable()
    await table.transact([Put(key, b"") for key in ("b/2", "a/1", "b/1", "b/3", "c")])
    first = (await table.scan("b/", limit=2)).ok()
    assert [row.key for row in first] == ["b/1", "b/2"]
    rest = (await table.scan("b/", after="b/2")).ok()
    assert [row.key for row in rest] == ["b/3"]
