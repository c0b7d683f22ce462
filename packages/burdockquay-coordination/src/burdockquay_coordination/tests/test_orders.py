"""Orders to engines, executed at most once, with leases and load turns."""

import asyncio
import random
from collections import Counter

import cbor2
import hypothesis.strategies as st
import pytest
from hypothesis import given
from result import Err, Ok

from burdockquay_coordination import (
    OPEN_ERA_KEY,
    ClaimEra,
    LoadTurns,
    OrderFailure,
    OrderRunner,
    OrderState,
    OrderTarget,
    OutcomeWriter,
)
from burdockquay_state import (
    ClaimStore,
    LeaseStore,
    MemoryObjectStore,
    MemoryTable,
    PlacementRecord,
    Put,
)

ROLE = PlacementRecord("p1", "advisor", "change_role", "prefill")
LOAD = PlacementRecord("p2", "advisor", "load_adapter", "renewals-2")


class Engine(OrderTarget):
    """Engine that counts effects and can delay an order, like a pause of the sender."""

    def __init__(self, checks_fencing):
        self.checks_fencing = checks_fencing
        self.effects = Counter()
        self.highest = 0
        self.reachable = asyncio.Event()
        self.reachable.set()

    async def send(self, order):
        await self.reachable.wait()
        if self.checks_fencing and order.fencing < self.highest:
            return Err(OrderFailure("old fencing number", acted=False))
        self.highest = max(self.highest, order.fencing)
        self.effects[order.order_id] += 1
        return Ok(None)


class Shared:
    """Table and clock shared by the slots of a test."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjectStore()
        self.now = 1000.0

    def clock(self):
        return self.now

    def slot(self, incarnation, engine, name="engine-1", turns=2):
        claims = ClaimStore(self.table, self.objects)
        leases = LeaseStore(self.table)
        outcomes = OutcomeWriter(claims, self.clock)
        rng = random.Random(incarnation)
        load_turns = LoadTurns(leases, incarnation, rng, turns, duration_s=10.0)
        eras = ClaimEra(claims, self.clock)
        return OrderRunner(claims, leases, outcomes, eras, load_turns, engine, name, incarnation)

    async def act(self, slot, record):
        return await slot.act(record, self.clock, self.clock)


async def test_repeated_and_restarted_slots_order_once():
    """A slot restarts on its VM and reads the same record again. The engine must not unload and
    load its adapter a second time.
    """
    shared, engine = Shared(), Engine(checks_fencing=False)
    slot = shared.slot("a", engine)
    assert await shared.act(slot, ROLE) is OrderState.DONE
    assert await shared.act(slot, ROLE) is OrderState.DONE
    assert await shared.act(shared.slot("b", engine), ROLE) is OrderState.DONE
    assert engine.effects.total() == 1


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_slot_paused_past_its_lease_orders_at_most_once(checks_fencing):
    """A slot is paused between its claim and the order, its lease is granted to another slot, and
    it resumes. Engines that ignore fencing numbers would act twice if the successor sent the order
    again.
    """
    shared, engine = Shared(), Engine(checks_fencing)
    engine.reachable.clear()
    paused = asyncio.create_task(shared.act(shared.slot("a", engine), ROLE))
    await asyncio.sleep(0)
    while not (await shared.table.scan("claim/")).ok():
        await asyncio.sleep(0)
    successor = shared.slot("b", Engine(checks_fencing=False))
    assert await shared.act(successor, ROLE) is OrderState.STARTED
    other = PlacementRecord("p3", "advisor", "change_role", "decode")
    assert await shared.act(successor, other) is OrderState.WAITING
    shared.now += 100.0
    successor.target = engine
    pending = asyncio.create_task(shared.act(successor, other))
    engine.reachable.set()
    await asyncio.gather(paused, pending)
    for slot in (shared.slot("c", engine), successor):
        shared.now += 100.0
        await shared.act(slot, ROLE)
        shared.now += 100.0
        await shared.act(slot, ROLE)
    assert sorted(engine.effects.values()) == [1, 1]


async def test_order_with_unknown_outcome_is_not_sent_again():
    """The connection to the engine breaks after the order was sent. It is unknown whether the
    engine acted, and sending the order again could make it act twice.
    """

    class Broken(Engine):
        async def send(self, order):
            self.effects[order.order_id] += 1
            return Err(OrderFailure("connection lost", acted=True))

    shared = Shared()
    engine = Broken(checks_fencing=False)
    for incarnation in "ab":
        assert await shared.act(shared.slot(incarnation, engine), ROLE) is OrderState.STARTED
    assert engine.effects.total() == 1


@given(st.integers(2, 8), st.integers(1, 3), st.lists(st.floats(0.5, 6.0), min_size=40))
def test_loads_share_the_weight_store(slots, turns, pauses):
    """All engines of a group are ordered to load at the same time. Without turns the weight store
    would reject most of them, and no engine would be ready in time.
    """

    async def run():
        shared = Shared()
        engines = [Engine(checks_fencing=True) for _ in range(slots)]
        runners = [
            shared.slot(f"s{i}", engine, f"engine-{i}", turns) for i, engine in enumerate(engines)
        ]
        loads = []
        for pause in pauses * 3:
            shared.now += pause
            for runner, engine in zip(runners, engines, strict=True):
                had = engine.effects.total()
                await shared.act(runner, LOAD)
                if engine.effects.total() > had:
                    loads.append(shared.now)
        return loads, [engine.effects.total() for engine in engines]

    loads, effects = asyncio.run(run())
    for start in loads:
        assert sum(start <= at < start + 10.0 for at in loads) <= turns
    assert max(effects) <= 1
    if sum(pauses) * 3 > 30.0 * slots:
        assert effects == [1] * slots


@pytest.fixture
def shared():
    """Return a shared table with an era in which claims may be made."""
    shared = Shared()
    shared.table = MemoryTable(era=1)
    asyncio.run(shared.table.transact([Put(OPEN_ERA_KEY, cbor2.dumps(1))]))
    return shared


async def test_order_whose_claim_was_lost_is_not_sent_again(shared):
    """The table loses the claim of an order, and another slot reads the record."""
    engine = Engine(checks_fencing=True)
    slots = [shared.slot(f"slot-{number}", engine) for number in range(2)]
    copy = shared.table.copy()
    assert await shared.act(slots[0], ROLE) is OrderState.DONE
    shared.table.restore_copy(copy)
    assert await shared.act(slots[1], ROLE) is OrderState.WAITING
    await slots[0].eras.refresh_era()
    shared.now += 60.0
    await slots[0].eras.refresh_era()
    assert await shared.act(slots[1], ROLE) is OrderState.DONE
    assert engine.effects.total() == 1


async def test_order_is_not_sent_under_a_lease_of_an_earlier_era(shared):
    """The table is restored while the claim of an order is written, and has lost the lease."""
    engine = Engine(checks_fencing=True)
    slot = shared.slot("slot-0", engine)
    claim = slot.claims.claim

    async def claim_and_restore(request, now):
        claimed = await claim(request, now)
        shared.table.restore_copy(shared.table.copy())
        return claimed

    slot.claims.claim = claim_and_restore
    assert await shared.act(slot, ROLE) is OrderState.WAITING
    assert engine.effects.total() == 0
