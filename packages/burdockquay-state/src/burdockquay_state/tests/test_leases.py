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


RETURN_STEPS = st.one_of(
    STEPS,
    st.tuples(st.sampled_from(["copy", "return"]), st.just(0), st.just(0.0), st.booleans()),
)


async def take_steps_over_returns(steps):
    """Return the leases obtained, in order; check that no two are usable at once."""
    table = LosingTable(era=1)
    stores = [LeaseStore(table) for _ in range(3)]
    copy = table.copy()
    held = {}
    history = []
    now = 0.0
    for verb, who, wait_s, lose in steps:
        now += wait_s
        table.lose = lose
        if verb == "copy":
            copy = table.copy()
        elif verb == "return":
            table.return_to(copy)
        elif verb == "acquire":
            taken = await stores[who].acquire("sweep", f"slot-{who}", DURATION_S, now)
            held[who] = taken.ok() or held.get(who)
            history.append(taken.ok())
        elif held.get(who) is not None:
            renewed = await stores[who].renew(held[who], now) if verb == "renew" else None
            if verb == "release":
                await stores[who].release(held.pop(who))
            elif renewed.is_ok():
                held[who] = renewed.ok()
                history.append(renewed.ok())
        usable = [lease for lease in held.values() if lease and lease.is_usable(now)]
        assert len(usable) <= 1
    return [lease for lease in history if lease is not None]


@given(st.lists(RETURN_STEPS, max_size=40))
def test_no_fencing_number_is_given_to_two_holders_over_returns(steps):
    """The table loses a change of the holder and counts the same numbers again. An engine that
    checks them would take the order of a holder of before for one of the present holder.
    """
    history = asyncio.run(take_steps_over_returns(steps))
    holders = {}
    for lease in history:
        assert holders.setdefault(lease.fencing, lease.holder) == lease.holder
    for before, after in zip(history, history[1:], strict=False):
        assert after.fencing >= before.fencing


async def lose_change_of_holder(table):
    """Return a lease whose row the table has lost."""
    leases = LeaseStore(table)
    first = (await leases.acquire("sweep", "slot-1", DURATION_S, now=0.0)).ok()
    await leases.release(first)
    copy = table.copy()
    lost = (await leases.acquire("sweep", "slot-2", DURATION_S, now=1.0)).ok()
    table.return_to(copy)
    return leases, lost


async def test_lost_holder_takes_its_lease_again_under_a_new_number():
    """The copy shows the lease free, so the lost holder could neither renew nor release it."""
    leases, lost = await lose_change_of_holder(MemoryTable(era=1))
    assert not leases.is_current(lost)
    again = (await leases.renew(lost, now=2.0)).ok()
    assert leases.is_current(again) and again.fencing > lost.fencing


async def test_lease_that_a_copy_shows_free_is_not_taken_at_once():
    """Another process takes a lease that its holder goes on using, as the copy shows it free."""
    table = MemoryTable(era=1)
    _, lost = await lose_change_of_holder(table)
    other = LeaseStore(table)
    for now in (2.0, 12.9):
        assert (await other.acquire("sweep", "slot-3", DURATION_S, now)).is_err()
    taken = (await other.acquire("sweep", "slot-3", DURATION_S, now=13.1)).ok()
    assert taken.fencing > lost.fencing and not lost.is_usable(13.1)


async def test_holder_whose_time_is_over_does_not_take_the_lease_again():
    """A frozen holder wakes after the return and takes the lease from under its next holder."""
    table = MemoryTable(era=1)
    leases, lost = await lose_change_of_holder(table)
    assert (await leases.renew(lost, now=20.0)).is_err()
