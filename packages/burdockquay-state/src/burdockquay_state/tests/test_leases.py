"""Leases: one holder at a time if clocks run correctly, and a fencing number per holder."""

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


class LostConfirmationTable(MemoryTable):
    """Table that loses the confirmations of transactions while ``lose`` is set."""

    lose = False

    async def transact(self, operations):
        result = await super().transact(operations)
        if self.lose:
            return Err(TableError(TableErrorKind.UNCERTAIN))
        return result


async def run_steps(steps):
    table = LostConfirmationTable()
    stores = [LeaseStore(table) for _ in range(3)]
    held = {}
    history = []
    now = 0.0
    for action, process, wait_s, lose in steps:
        now += wait_s
        table.lose = lose
        if action == "acquire":
            result = await stores[process].acquire("sweep", f"slot-{process}", DURATION_S, now)
        elif process not in held:
            continue
        elif action == "renew":
            result = await stores[process].renew(held[process], now)
        else:
            await stores[process].release(held.pop(process))
            continue
        if result.is_ok():
            held[process] = result.ok()
            history.append(result.ok())
        usable = [lease.holder for lease in held.values() if lease.is_usable(now)]
        assert len(usable) <= 1
    return history


@given(st.lists(STEPS, max_size=40))
def test_one_holder_at_a_time_and_increasing_fencing_numbers(steps):
    """A holder crashes or its confirmation is lost, and another process takes over. Two processes
    that both consider themselves the holder would sweep or load at the same time.
    """
    history = asyncio.run(run_steps(steps))
    for before, after in zip(history, history[1:], strict=False):
        assert after.fencing >= before.fencing
        if before.holder != after.holder:
            assert after.fencing > before.fencing


async def test_lease_of_a_crashed_holder_passes_to_another():
    """A holder crashes. If no process could take over, claim rows would never expire again."""
    table = MemoryTable()
    crashed, successor = LeaseStore(table), LeaseStore(table)
    await crashed.acquire("sweep", "slot-1", DURATION_S, now=500.0)
    assert (await successor.acquire("sweep", "slot-2", DURATION_S, now=3.0)).is_err()
    assert (await successor.acquire("sweep", "slot-2", DURATION_S, now=13.9)).is_err()
    assert (await successor.acquire("sweep", "slot-2", DURATION_S, now=14.1)).ok().fencing == 2


RESTORE_STEPS = st.one_of(
    STEPS,
    st.tuples(st.sampled_from(["copy", "return"]), st.just(0), st.just(0.0), st.booleans()),
)


async def run_steps_with_restores(steps):
    """Return the leases obtained, in order; check that no two are usable at the same time."""
    table = LostConfirmationTable(era=1)
    stores = [LeaseStore(table) for _ in range(3)]
    copy = table.copy()
    held = {}
    history = []
    now = 0.0
    for action, process, wait_s, lose in steps:
        now += wait_s
        table.lose = lose
        if action == "copy":
            copy = table.copy()
        elif action == "return":
            table.restore_copy(copy)
        elif action == "acquire":
            taken = await stores[process].acquire("sweep", f"slot-{process}", DURATION_S, now)
            held[process] = taken.ok() or held.get(process)
            history.append(taken.ok())
        elif held.get(process) is not None:
            renewed = await stores[process].renew(held[process], now) if action == "renew" else None
            if action == "release":
                await stores[process].release(held.pop(process))
            elif renewed.is_ok():
                held[process] = renewed.ok()
                history.append(renewed.ok())
        usable = [lease for lease in held.values() if lease and lease.is_usable(now)]
        assert len(usable) <= 1
    return [lease for lease in history if lease is not None]


@given(st.lists(RESTORE_STEPS, max_size=40))
def test_no_fencing_number_is_given_to_two_holders_across_restores(steps):
    """The table loses a change of the holder and assigns the same numbers again. An engine that
    checks fencing numbers would accept the order of an earlier holder as that of the current one.
    """
    history = asyncio.run(run_steps_with_restores(steps))
    holders = {}
    for lease in history:
        assert holders.setdefault(lease.fencing, lease.holder) == lease.holder
    for before, after in zip(history, history[1:], strict=False):
        assert after.fencing >= before.fencing


async def lose_holder_change(table):
    """Return a lease store and a lease whose row the table has lost."""
    leases = LeaseStore(table)
    first = (await leases.acquire("sweep", "slot-1", DURATION_S, now=0.0)).ok()
    await leases.release(first)
    copy = table.copy()
    lost = (await leases.acquire("sweep", "slot-2", DURATION_S, now=1.0)).ok()
    table.restore_copy(copy)
    return leases, lost


async def test_holder_lost_by_the_table_renews_under_a_new_number():
    """The restored copy shows the lease as free, so its holder could not renew or release it."""
    leases, lost = await lose_holder_change(MemoryTable(era=1))
    assert not leases.is_current(lost)
    again = (await leases.renew(lost, now=2.0)).ok()
    assert leases.is_current(again) and again.fencing > lost.fencing


async def test_lease_that_a_copy_shows_as_free_is_not_acquired_at_once():
    """The restored copy shows a lease as free to another process, but its holder still uses it."""
    table = MemoryTable(era=1)
    _, lost = await lose_holder_change(table)
    other = LeaseStore(table)
    for now in (2.0, 12.9):
        assert (await other.acquire("sweep", "slot-3", DURATION_S, now)).is_err()
    taken = (await other.acquire("sweep", "slot-3", DURATION_S, now=13.1)).ok()
    assert taken.fencing > lost.fencing and not lost.is_usable(13.1)


async def test_expired_holder_does_not_renew_after_a_restore():
    """A paused holder resumes after the restore and would take the lease from its next holder."""
    table = MemoryTable(era=1)
    leases, lost = await lose_holder_change(table)
    assert (await leases.renew(lost, now=20.0)).is_err()
