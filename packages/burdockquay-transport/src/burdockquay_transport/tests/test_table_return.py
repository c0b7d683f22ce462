"""Entries and slots over a return of the table from a copy."""

import asyncio

import cbor2
import pytest

from burdockquay_coordination import OPEN_ERA_KEY, ClaimEra
from burdockquay_state import ClaimRequest, ClaimStore, MemoryObjectStore, MemoryTable, Put
from burdockquay_transport._clock import Clock
from burdockquay_transport._once_era import EraFollower

HOLD = "/services/booking/holds"
LIMIT_S = 20.0


class ManualClock(Clock):
    """Shows the time that the test sets."""

    time = 0.0

    def now(self):
        return self.time

    def wall(self):
        return self.time


def open_era(platform):
    """Let slots make claims, as if the era had begun long ago."""
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


async def test_repeat_after_a_return_gets_the_first_answer(deployment):
    """The table loses the claim and the outcome of a request, and its caller repeats it."""
    async with deployment(engines=0, services=2, era=1) as running:
        await open_era(running.platform)
        copy = running.platform.table.copy()
        first = await ask_until_answered(running, "h-1")
        running.platform.table.return_to(copy)
        assert await ask_until_answered(running, "h-1") == first
        assert count_effects(running) == 1
        assert (await ask_until_answered(running, "h-2"))[0] == first[0]
        assert count_effects(running) == 2


@pytest.mark.parametrize(("era", "reads"), [(0, 0), (1, 3)])
async def test_era_is_asked_for_only_while_claims_could_be_lost(era, reads):
    """Each slot reads a row twice a second for ever, although it holds nothing that could go."""
    table = MemoryTable(era)
    claims = ClaimStore(table, MemoryObjectStore())
    follower = EraFollower(ClaimEra(claims, lambda: 0.0, hold_s=0.0), ManualClock())
    await follower.follow()
    request = ClaimRequest("parish", "h-1", table.absent, 1, "a1", "slot-1", "d", 60.0)
    assert (await claims.claim(request, now=0.0)).is_ok()
    await follower.follow()
    follower.clock.time = claims.memory.keep_s
    for _ in range(3):
        await follower.follow()
    assert table.reads == reads
    assert len(claims.memory) == 0
