"""What one process stores and tells others about prompt parts that crash upstreams."""

import pytest
from result import Err

from burdockquay_coordination import PartStore
from burdockquay_coordination._crash_evidence import RENEWAL_INTERVAL_S, RETENTION_S
from burdockquay_coordination._part_store import ROW_RETENTION_S
from burdockquay_state import MemoryTable, TableError, TableErrorKind
from burdockquay_transport import _part_keeper
from burdockquay_transport._part_keeper import PartKeeper
from burdockquay_transport._part_suspicions import PartSuspicions


class Process:
    """A process with its own clock, which writes to a table as soon as it is told."""

    def __init__(self, table):
        self.at = 0.0
        self.writes = []
        self.parts = PartSuspicions(lambda: self.at)
        store = PartStore(table)
        self.keeper = PartKeeper(
            self.parts, store, lambda: self.at, lambda write: self.writes.append(write)
        )

    async def write(self):
        """Carry out the writes; return how many there were."""
        writes, self.writes = self.writes, []
        for one in writes:
            await one
        return len(writes)


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
async def refusing(table):
    process = Process(table)
    for number in range(3):
        process.at = float(number)
        process.parts.record_crash(f"i-{number}", [["bad"]])
    assert await process.write() == 1
    return process


async def test_refused_part_is_written_again_while_its_requests_come(refusing, table):
    """Guards against a row that is out of date when a process starts."""
    for second in range(3, int(2 * ROW_RETENTION_S)):
        refusing.at = float(second)
        if not refusing.parts.refused(["bad"]):
            refusing.parts.begin_trial("r", ["bad"])
            refusing.parts.record_crash(f"trial-{second}", [["bad"]])
        await refusing.write()
    fresh = Process(table)
    fresh.at = refusing.at + RENEWAL_INTERVAL_S
    await fresh.keeper.load()
    assert fresh.parts.refused(["bad"]) == ["bad"]


async def test_row_of_a_part_that_nobody_asks_for_is_not_believed(refusing, table):
    """Guards against an old row that gets a sound part refused at all processes again."""
    refusing.at += RETENTION_S + 1.0
    assert refusing.parts.refused(["bad"]) == []
    refusing.parts.record_begun(["bad"])
    await refusing.write()
    fresh = Process(table)
    fresh.at = 2.0 + ROW_RETENTION_S + 1.0
    await fresh.keeper.load()
    assert fresh.parts.reports() == []


async def test_cleared_part_is_removed_from_the_table(refusing, table):
    refusing.at += 3.0
    refusing.parts.record_begun(["bad"])
    assert await refusing.write() == 1
    assert (await PartStore(table).load(refusing.at)).ok() == []


class AwayTable(MemoryTable):
    """A table that rejects a number of calls first."""

    def __init__(self, failures):
        super().__init__()
        self.failures = failures

    def _check(self):
        self.failures -= 1
        return TableError(TableErrorKind.UNAVAILABLE, "away") if self.failures >= 0 else None

    async def scan(self, prefix, after="", limit=1000):
        error = self._check()
        return Err(error) if error else await super().scan(prefix, after, limit)

    async def transact(self, operations):
        error = self._check()
        return Err(error) if error else await super().transact(operations)


OUTAGE_S = 8
"""Longest outage of the store that the platform announces, seconds."""


async def test_refused_part_is_written_after_an_outage(monkeypatch):
    """Guards against evidence that only processes hold until its requests come again."""
    monkeypatch.setattr(_part_keeper.asyncio, "sleep", skip_pause)
    table = AwayTable(round(OUTAGE_S / _part_keeper.RETRY_PAUSE_S))
    process = Process(table)
    for number in range(3):
        process.at = float(number)
        process.parts.record_crash(f"i-{number}", [["bad"]])
    await process.write()
    fresh = Process(table)
    await fresh.keeper.load()
    assert fresh.parts.refused(["bad"]) == ["bad"]


async def test_rows_are_read_once_the_table_is_there(monkeypatch):
    """Guards against an unreadable table that is taken for an empty one for good."""
    monkeypatch.setattr(_part_keeper.asyncio, "sleep", skip_pause)
    table = AwayTable(0)
    process = Process(table)
    for number in range(3):
        process.parts.record_crash(f"i-{number}", [["bad"]])
    await process.write()
    table.failures = 20
    fresh = Process(table)
    await fresh.keeper.load()
    assert fresh.parts.refused(["bad"]) == []
    await fresh.write()
    assert fresh.parts.refused(["bad"]) == ["bad"]


async def skip_pause(seconds):
    """Return at once."""
