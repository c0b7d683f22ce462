"""Tests of the process that holds the lease and reports usage."""

import asyncio

import attrs
import pytest

from burdockquay_coordination.usage import (
    Delivery,
    DutyChange,
    ReportTerms,
    UsageLedger,
    UsageReporter,
    UsageSink,
)
from burdockquay_state import FaultyTable, Put

TERMS = ReportTerms(window_s=5.0, due_s=10.0, lease_s=3.0)
START = 1000.0


@attrs.define(eq=False)
class RecordingSink(UsageSink):
    """Platform that accepts all reports unless told otherwise."""

    calls: list = attrs.field(factory=list)
    answer: Delivery = Delivery.ACCEPTED

    @property
    def first_window(self):
        """Calls that report the first window."""
        return [call for call in self.calls if call[0] == 200]

    async def deliver(self, report, holder, fencing):
        self.calls.append((report.window, dict(report.counts), holder, fencing))
        return self.answer


class Candidates:
    """Candidates that share a store, a platform and a clock."""

    def __init__(self):
        self.table = FaultyTable(era=1)
        self.sink = RecordingSink()
        self.changes = []
        self.now = START
        self.reporters = {}
        for name in ("a", "b"):
            self.add(name)

    def add(self, name):
        reporter = UsageReporter(
            self.table,
            self.sink,
            name,
            f"{name}-incarnation",
            TERMS,
            UsageLedger(),
            lambda change, details: self.changes.append((name, change)),
        )
        self.reporters[name] = reporter

    def count(self, counts, *names):
        """Record complete counts of the window that begins at ``START``."""
        for name in names:
            ledger = self.reporters[name].plan.ledger
            ledger.record("edge", {200: counts}, START + 100)

    def run(self, seconds, *names):
        """Let candidates work for some time; the others are paused."""

        async def work():
            until = self.now + seconds
            while self.now < until:
                for name in names:
                    while await self.reporters[name].step(self.now, self.now, [], True):
                        pass
                self.now += 0.25

        asyncio.run(work())


@pytest.fixture
def candidates():
    return Candidates()


def test_one_candidate_reports(candidates):
    candidates.count({"one": 3}, "a", "b")
    candidates.run(10.0, "a", "b")
    assert candidates.sink.first_window == [(200, {"one": 3}, "a", (1 << 32) + 1)]


def test_next_holder_repeats_the_counts_of_the_former_one(candidates):
    """The first delivery was not confirmed and may be carried out later."""
    candidates.count({"one": 3}, "a")
    candidates.sink.answer = Delivery.UNCONFIRMED
    candidates.run(7.0, "a")
    candidates.sink.answer = Delivery.ACCEPTED
    candidates.count({"one": 5}, "b")
    candidates.run(10.0, "b")
    assert {str(counts) for _, counts, _, _ in candidates.sink.first_window} == {"{'one': 3}"}
    assert candidates.sink.first_window[-1][2:] == ("b", (1 << 32) + 2)


def test_fix_that_is_carried_out_late_does_not_replace_fixed_counts(candidates):
    """Guards against a next holder that reads other counts than were delivered."""
    candidates.count({"one": 3}, "a")
    candidates.count({"one": 5}, "b")
    late = []
    transact = candidates.table.transact

    async def hold_back(operations):
        if any(item.key == "usage/200" for item in operations):
            late.append(operations)
            candidates.table.lost_confirmations.append(False)
        return await transact(operations)

    candidates.table.transact = hold_back
    candidates.run(7.0, "a")
    candidates.table.transact = transact
    candidates.run(10.0, "b")
    before = asyncio.run(candidates.table.get(["usage/200"])).ok()[0].value
    for operations in late:
        asyncio.run(transact(operations))
    assert late
    assert asyncio.run(candidates.table.get(["usage/200"])).ok()[0].value == before


def test_paused_holder_does_not_deliver_before_it_holds_the_lease_again(candidates):
    candidates.count({"one": 3}, "a", "b")
    candidates.run(3.0, "a")
    assert candidates.reporters["a"].holds(candidates.now)
    candidates.run(20.0, "b")
    candidates.count({"one": 9}, "a")
    candidates.run(1.0, "a")
    assert [holder for _, _, holder, _ in candidates.sink.first_window] == ["b"]
    assert ("a", DutyChange.LOST) in candidates.changes


def test_fenced_holder_does_not_use_its_number_again(candidates):
    """The platform knows a later holder than the store shows."""
    candidates.count({"one": 3}, "a")
    candidates.sink.answer = Delivery.FENCED
    candidates.run(8.0, "a")
    candidates.sink.answer = Delivery.ACCEPTED
    candidates.run(12.0, "a")
    fences = [fencing for _, _, _, fencing in candidates.sink.first_window]
    assert fences == [(1 << 32) + 1, (1 << 32) + 2]


def test_process_that_lost_its_lease_rests_before_it_holds_it_again(candidates):
    """Calls of two holders must not alternate within one duration of the lease."""
    candidates.run(1.0, "a")
    asyncio.run(candidates.reporters["a"].release(candidates.now))
    released_at = candidates.now
    candidates.run(1.0, "b")
    asyncio.run(candidates.reporters["b"].release(candidates.now))
    while not candidates.reporters["a"].holds(candidates.now):
        candidates.run(0.25, "a")
    assert candidates.now - released_at > TERMS.lease_s


def test_process_that_is_no_candidate_any_more_releases_the_lease(candidates):
    candidates.run(1.0, "a")
    asyncio.run(candidates.reporters["a"].step(candidates.now, candidates.now, [], False))
    candidates.run(1.5, "b")
    assert candidates.reporters["b"].holds(candidates.now)


def test_process_releases_the_lease_if_the_platform_does_not_answer_it(candidates):
    candidates.count({"one": 3}, "a", "b")
    candidates.sink.answer = Delivery.UNCONFIRMED
    candidates.run(9.5, "a")
    assert ("a", DutyChange.RELEASED) in candidates.changes


def test_window_is_not_reported_with_new_counts_after_a_restore(candidates):
    """The store lost the fixed counts, and the process that delivered them has ended."""
    copy = candidates.table.copy()
    candidates.count({"one": 3}, "a")
    candidates.run(7.0, "a")
    candidates.table.restore_copy(copy)
    candidates.count({"one": 5}, "b")
    candidates.run(20.0, "b")
    assert [counts for _, counts, _, _ in candidates.sink.first_window] == [{"one": 3}]


@pytest.mark.parametrize("key", ["usage/199", "usage/some"])
def test_unreadable_row_does_not_stop_the_reports(candidates, key):
    asyncio.run(candidates.table.transact([Put(key, b"no counts")]))
    candidates.count({"one": 3}, "a")
    candidates.run(8.0, "a")
    assert len(candidates.sink.first_window) == 1
    assert ("a", DutyChange.REJECTED) in candidates.changes


def test_window_whose_fixed_counts_cannot_be_read_is_left_out(candidates):
    """Guards against a holder that asks the store for the same row without end."""
    candidates.count({"one": 3}, "a")
    candidates.run(5.5, "a")
    asyncio.run(candidates.table.transact([Put("usage/200", b"no counts")]))
    candidates.run(8.0, "a")
    assert not candidates.sink.first_window
    assert 201 in {call[0] for call in candidates.sink.calls}
