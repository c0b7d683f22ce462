"""Entries and slots when the table is restored from a copy."""

import asyncio
import io
import random

import attrs
import cbor2
import pytest

from burdockquay_coordination import CLAIM_HOLD_S, OPEN_ERA_KEY, ClaimEra, ConfigurationHolder
from burdockquay_state import (
    ClaimRequest,
    ClaimStore,
    GroupRecord,
    MemoryObjectStore,
    MemoryTable,
    Put,
    RecordLog,
)
from burdockquay_transport import setup_logging
from burdockquay_transport._clock import Clock
from burdockquay_transport._config_sync import ConfigurationSync
from burdockquay_transport._era_follower import EraFollower

HOLD = "/services/booking/holds"
LIMIT_S = 20.0


class ManualClock(Clock):
    """Clock whose time is set by the test."""

    time = 0.0

    def now(self):
        return self.time

    def wall(self):
        return self.time


def open_era(platform):
    """Allow slots to make claims, as if the era had begun long ago."""
    return platform.table.transact([Put(OPEN_ERA_KEY, cbor2.dumps(platform.table.era))])


def count_effects(running):
    return sum(service.effects.total() for service in running.services)


async def ask_until_answered(running, key):
    async with asyncio.timeout(LIMIT_S):
        while True:
            status, answer = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key=key)
            if status != 503:
                return status, answer
            await asyncio.sleep(0.1)


async def test_repeat_after_a_restore_gets_the_first_answer(deployment):
    """The table loses the claim and the outcome of a request, and its caller repeats it."""
    async with deployment(engines=0, services=2, era=1) as running:
        await open_era(running.platform)
        copy = running.platform.table.copy()
        first = await ask_until_answered(running, "h-1")
        running.platform.table.restore_copy(copy)
        assert await ask_until_answered(running, "h-1") == first
        assert count_effects(running) == 1
        assert (await ask_until_answered(running, "h-2"))[0] == first[0]
        assert count_effects(running) == 2


@pytest.mark.parametrize(("era", "reads"), [(0, 0), (1, 3)])
async def test_era_is_polled_only_while_claims_could_be_lost(era, reads):
    """Otherwise each slot would read a row twice a second without having claims to protect."""
    table = MemoryTable(era)
    claims = ClaimStore(table, MemoryObjectStore())
    follower = EraFollower(ClaimEra(claims, lambda: 0.0, hold_s=0.0), ManualClock())
    await follower.follow()
    request = ClaimRequest("parish", "h-1", table.absent, 1, "a1", "slot-1", "d", 60.0)
    assert (await claims.claim(request, now=0.0)).is_ok()
    await follower.follow()
    follower.clock.time = claims.recent_claims.keep_s
    for _ in range(3):
        await follower.follow()
    assert table.reads == reads
    assert len(claims.recent_claims) == 0


@pytest.fixture
def log():
    text = io.StringIO()
    handler = setup_logging("INFO", text)
    yield text
    handler.pop_application()


async def test_restore_of_the_table_and_restored_claims_are_logged(log):
    """An operator needs to find out what happened to the claims that the table had lost."""
    table = MemoryTable(era=1)
    claims = ClaimStore(table, MemoryObjectStore())
    clock = ManualClock()
    await table.transact([Put(OPEN_ERA_KEY, cbor2.dumps(1))])
    follower = EraFollower(ClaimEra(claims, clock.now), clock)
    await follower.follow()
    copy = table.copy()
    requests = [
        ClaimRequest("parish", key, table.absent, 1, key, "slot-1", "d", 60.0)
        for key in ("h-1", "h-2")
    ]
    for request in requests:
        assert (await claims.claim(request, now=0.0)).is_ok()
    table.restore_copy(copy)
    other = attrs.evolve(requests[1], incarnation="slot-2", expected_version=table.absent)
    assert (await ClaimStore(table, MemoryObjectStore()).claim(other, now=0.0)).is_ok()
    await follower.follow()
    clock.time = CLAIM_HOLD_S
    await follower.follow()
    text = log.getvalue()
    assert "E1226 table_era_changed era=2 before=1 claims=2" in text
    assert "E1723 claims_restored era=2 written=1 standing=0 forgotten=0" in text
    assert text.count("E1724 claim_taken_meanwhile row=claim/parish/") == 1
    assert text.index("E1725 claims_held era=2") < text.index("E1726 claims_open era=2")


async def test_lost_configuration_is_logged_once(log):
    """An operator must be informed that a change in force is no longer in the record log."""
    table = MemoryTable(era=1)
    records = RecordLog(table)
    holder = ConfigurationHolder()
    sync = ConfigurationSync(
        holder, records, ManualClock(), random.Random(1), 1.0, 1.0, lambda: 1, lambda: None
    )
    copy = table.copy()
    await records.put([GroupRecord("desk", places=1)], "anna", 0, 0.0)
    await sync.read_table()
    table.restore_copy(copy)
    for _ in range(2):
        await sync.read_table()
    assert log.getvalue().count("E1124 configuration_lost era=2 head=0 in_force=1") == 1
    await records.put([GroupRecord("hall", places=1)], "anna", 0, 0.0)
    await sync.read_table()
    assert "E1125 records_kept records=group/desk" in log.getvalue()
