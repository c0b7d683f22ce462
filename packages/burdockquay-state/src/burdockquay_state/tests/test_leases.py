"""Leases: one holder at a time on true clocks, and fencing numbers that tell holders apart."""

import asyncio

import hypothesis.strategies as st
from hypothesis import given
from result import Err

from burdockquay_state import LeaseStore, MemoryTable, TableError, TableErrorKind

DURATION_S = 10.0
STEPS = st.tuples(
    st.sampled_from(["acquire", "acquire", "renew", "release"]),
    st.integers(0, 2),
    st.sampled_from([0.0, 1.0, 4.0, 9.0, 12.0]),
    st.booleans(),
)


class LosingTable(MemoryTable):
    """Loses the next confirmation if it is told so."""

    lose = False

    async def transact(self, operations):
        result = await super().transact(operations)
        if self.lose:
            return Err(TableError(TableErrorKind.UNCERTAIN))
        return result


async def take_steps(steps):
    table = LosingTable()
    stores = [LeaseStore(table) for _ in range(3)]
    held = {}
    history = []
    now = 0.0
    for verb, who, wait_s, lose in steps:
        now += wait_s
        table.lose = lose
        if verb == "acquire":
            result = await stores[who].acquire("sweep", f"slot-{who}", DURATION_S, now)
        elif who not in held:
            continue
        elif verb == "renew":
            result = await stores[who].renew(held[who], now)
        else:
            await stores[who].release(held.pop(who))
            continue
        if result.is_ok():
            held[who] = result.ok()
            history.append(result.ok())
        usable = [lease.holder for lease in held.values() if lease.is_usable(now)]
        assert len(usable) <= 1
    return history


@given(st.lists(STEPS, max_size=40))
def test_one_holder_at_a_time_and_growing_numbers(steps):
    """A holder dies or its confirmation is lost, and another takes over. Two holders that both
    believe in their lease would sweep or load at the same time.
    """
    history = asyncio.run(take_steps(steps))
    for before, after in zip(history, history[1:], strict=False):
        assert after.fencing >= before.fencing
        if before.holder != after.holder:
            assert after.fencing > before.fencing


async def test_lease_of_a_silent_holder_passes_on():
    """A holder dies without a word. If nobody could take over, rows would never expire again."""
    table = MemoryTable()
    dead, heir = LeaseStore(table), LeaseStore(table)
    await dead.acquire("sweep", "slot-1", DURATION_S, now=500.0)
    assert (await heir.acquire("sweep", "slot-2", DURATION_S, now=3.0)).is_err()
    assert (await heir.acquire("sweep", "slot-2", DURATION_S, now=13.9)).is_err()
    assert (await heir.acquire("sweep", "slot-2", DURATION_S, now=14.1)).ok().fencing == 2
