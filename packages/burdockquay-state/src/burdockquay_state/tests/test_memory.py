"""The in-memory tables fulfil the contract of :class:`TableService`."""

from burdockquay_state import (
    ABSENT,
    Check,
    Delete,
    FaultyTable,
    MemoryTable,
    Put,
    TableErrorKind,
    era_of,
    number_of,
)


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


async def write_lost(table):
    """Write ``a`` after a copy, restore the copy, and return the version of the lost write."""
    copy = table.copy()
    (lost,) = (await table.transact([Put("a", b"lost")])).ok()
    table.restore_copy(copy)
    return lost


async def test_version_of_an_earlier_era_never_matches():
    """After a restore, a row has the same write number as a lost write had before."""
    table = MemoryTable(era=1)
    lost = await write_lost(table)
    (reassigned,) = (await table.transact([Put("a", b"other", table.absent)])).ok()
    assert number_of(reassigned) == number_of(lost)
    refused = await table.transact([Put("a", b"late", lost)])
    assert refused.err().conflicts == (0,)
    assert (await table.get(["a"])).ok()[0].value == b"other"


async def test_missing_row_of_an_earlier_era_never_matches():
    """A write that expects no row arrives after a restore, when the row is missing again."""
    table = MemoryTable(era=1)
    absent = table.absent
    await write_lost(table)
    assert (await table.transact([Put("a", b"late", absent)])).err().conflicts == (0,)
    assert (await table.transact([Put("a", b"new", table.absent)])).is_ok()


async def test_versions_increase_across_a_restore():
    """An unchanged row of the later era must not look like a stale read of the earlier era."""
    table = MemoryTable(era=1)
    (kept,) = (await table.transact([Put("b", b"kept")])).ok()
    lost = await write_lost(table)
    (row,) = (await table.get(["b"])).ok()
    assert row.value == b"kept" and number_of(row.version) == number_of(kept)
    assert row.version > lost > kept
    assert era_of(row.version) == table.era == 2


async def test_faulty_table_shows_no_state_from_before_a_restore():
    """A replica must not answer a read after the restore with a write that was lost."""
    table = FaultyTable(era=1)
    await write_lost(table)
    table.stale_reads = [1, 1]
    assert (await table.get(["a"])).ok() == [None]
    assert (await table.scan("")).ok() == []
