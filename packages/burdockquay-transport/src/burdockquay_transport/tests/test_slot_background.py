"""Background work of a slot: orders to its engine and the expiry of claims."""

import asyncio
import random

from result import Ok

from burdockquay_coordination import OrderState
from burdockquay_state import (
    ClaimRequest,
    ClaimStore,
    MemoryObjectStore,
    MemoryTable,
    PlacementRecord,
    Snapshot,
    StoredAnswer,
    VmEntry,
    VmList,
)
from burdockquay_transport._claim_expiry import ClaimExpiry, claim_incarnation
from burdockquay_transport._clock import Clock
from burdockquay_transport._order_follower import OrderFollower
from burdockquay_transport._platform import Platform

from ._deployment import put_records

RETENTION_S = 7200.0
LIMIT_S = 20.0


async def test_placement_record_reaches_each_engine_once(deployment):
    """An operator puts a placement record. Each slot of the group reads it, and reads it again with
    every change of the configuration; an engine that got the order twice would load twice.
    """
    async with deployment(engines=2) as running:
        placements = [
            PlacementRecord("adapter", "drafting", "load_adapter", "eulogy-2"),
            PlacementRecord("role", "drafting", "change_role", "prefill"),
        ]
        await put_records(running.log, placements)
        async with asyncio.timeout(LIMIT_S):
            while any(engine.orders.effects.total() < 2 for engine in running.engines):
                await asyncio.sleep(0.05)
        for slot in running.slots:
            await slot._orders.follow()
        for engine in running.engines:
            assert set(engine.orders.effects.values()) == {1}
            assert "eulogy-2" in engine.orders.models


class SlowOrders:
    """Stub of the order runner, whose orders end when the test sets ``may_end``."""

    def __init__(self):
        self.turns = self
        self.sent = 0
        self.may_end = asyncio.Event()

    async def release_due(self, now):
        pass

    async def act(self, record, wall, clock):
        self.sent += 1
        await self.may_end.wait()
        return OrderState.DONE


async def test_stop_waits_for_the_running_order_and_sends_no_other():
    """A slot is stopped while its engine loads. If the order were cancelled, it would never get an
    outcome, and a second order begun now would be cancelled too.
    """
    orders = SlowOrders()
    placements = {name: PlacementRecord(name, "g", "load_model", name) for name in ("a", "b")}
    follower = OrderFollower(
        orders, "g", "vm", lambda: Snapshot(1, placements=placements), FixedClock(0.0), None
    )
    following = asyncio.create_task(follower.follow())
    await asyncio.sleep(0)
    stopping = asyncio.create_task(follower.stop())
    await asyncio.sleep(0)
    assert not stopping.done()
    orders.may_end.set()
    await asyncio.gather(following, stopping)
    assert orders.sent == 1


class FixedClock(Clock):
    """Clock that always returns the same time."""

    def __init__(self, at):
        self.at = at

    def now(self):
        return self.at

    def wall(self):
        return self.at


class FixedVms(VmList):
    """VM list with fixed entries."""

    def __init__(self, names):
        self.names = names

    async def list(self):
        return Ok([VmEntry(name, "slot", "127.0.0.1", 1, 2, "medeu") for name in self.names])


async def make_claims(claims):
    for vm, ended in (("here", True), ("here", False), ("gone", False)):
        holder = claim_incarnation(vm, "i1")
        request = ClaimRequest("parish", f"{vm}-{ended}", 0, 1, "a1", holder, "d", 60.0)
        claim = (await claims.claim(request, now=0.0)).ok()
        if ended:
            await claims.complete(claim, StoredAnswer(200, [], b""), now=0.0)


async def rows_after_sweep(vms, at):
    table = MemoryTable()
    claims = ClaimStore(table, MemoryObjectStore())
    await make_claims(claims)
    platform = Platform(table, claims.objects, FixedVms(vms), session=None)
    expiry = ClaimExpiry(platform, "here/i2", RETENTION_S, FixedClock(at), random.Random(1))
    await expiry.sweep()
    names = ("here-True", "here-False", "gone-False")
    return [name for name in names if (await claims.read("parish", name)).ok() is not None]


async def test_claims_expire_only_when_no_slot_can_act_on_them():
    """Rows older than the retention are deleted. A claim without an outcome is kept while its slot
    may merely be suspended: the slot could resume and send, although the key had run again.
    """
    late = RETENTION_S + 1.0
    assert await rows_after_sweep(["here"], RETENTION_S) == [
        "here-True",
        "here-False",
        "gone-False",
    ]
    assert await rows_after_sweep(["here"], late) == ["here-False"]
    assert await rows_after_sweep(["here", "gone"], late) == ["here-False", "gone-False"]


async def test_empty_vm_list_expires_nothing():
    """The platform returns an empty list by a fault. All VMs would seem to be removed, and claims
    whose slots are running would be deleted.
    """
    assert len(await rows_after_sweep([], RETENTION_S + 1.0)) == 3
