"""Suspicions outlive the processes that reported them."""

import attrs

from burdockquay_coordination import SuspicionStore
from burdockquay_protocol import Suspicion
from burdockquay_state import MemoryTable, Put

ONE = Suspicion("a" * 32, 1, 0, 100.0)


async def test_row_keeps_the_larger_counts():
    """Two slots record different crashes of the same request at about the same time.

    If the later, smaller count replaced the larger one, the request would crash one more upstream.
    """
    store = SuspicionStore(MemoryTable())
    await store.save([attrs.evolve(ONE, crashes=2, alone=1)], 0.0)
    await store.save([attrs.evolve(ONE, expires_at=200.0)], 0.0)
    assert (await store.load(0.0)).ok() == [Suspicion("a" * 32, 2, 1, 200.0)]


async def test_expired_and_unreadable_rows_are_removed():
    table = MemoryTable()
    store = SuspicionStore(table)
    await store.save([ONE], 0.0)
    await table.transact([Put("suspicion/x", b"\xff")])
    assert (await store.load(150.0)).ok() == []
    assert (await table.scan("suspicion/")).ok() == []
