"""The process that reports usage: holds the lease, fixes counts and delivers them."""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection, Mapping
from typing import Any

import cbor2

from burdockquay_state import (
    Delete,
    Lease,
    LeaseStore,
    Operation,
    Put,
    Row,
    TableErrorKind,
    TableService,
    era_of,
)

from ._counts import KEPT_WINDOWS, UsageLedger
from ._plan import Delivery, ReportPlan, ReportTerms, UsageReport, UsageSink

LEASE_NAME = "usage-reports"
ROW_PREFIX = "usage/"

RENEWAL_SHARE = 1 / 3
"""Share of the duration of the lease after which it is renewed."""

RETRY_PAUSE_S = 0.5
"""Pause after a failed step before the next one, seconds."""

STANDBY_POLL_S = 1.0
"""Time between two reads of a lease that another process holds, seconds."""

MAX_FAILURES = 4
"""Number of unconfirmed deliveries in a row after which the process releases the lease: the
platform may accept calls from another VM."""

REST_LEASES = 2.0
"""Time for which a process that lost or released its lease does not acquire it again, as a multiple
of its duration. Calls of two holders must not alternate within one duration."""


class DutyChange(enum.Enum):
    """Changes that a reporter notifies its owner of."""

    TAKEN = "taken"
    LOST = "lost"
    RELEASED = "released"
    FIXED = "fixed"
    DELIVERED = "delivered"
    FENCED = "fenced"
    UNCONFIRMED = "unconfirmed"
    REJECTED = "rejected"
    WITHDRAWN = "withdrawn"


Notify = Callable[[DutyChange, Mapping[str, Any]], None]


class UsageReporter:
    """Reports usage while it holds the lease, one call to the store or the platform at a time.

    Every call is a step of its own, so that the lease is checked with the current time immediately
    before a report is delivered. A process that was paused in between may still deliver one with
    its former fencing number; the platform refuses it if a later holder has called.

    Parameters
    ----------
    table : TableService
        Holds the lease and the fixed counts.
    sink : UsageSink
    vm, incarnation : str
        Identity of the process.
    terms : ReportTerms
    ledger : UsageLedger
    notify : callable
        Called with each change and its details.
    """

    def __init__(
        self,
        table: TableService,
        sink: UsageSink,
        vm: str,
        incarnation: str,
        terms: ReportTerms,
        ledger: UsageLedger,
        notify: Notify,
    ):
        self.table = table
        self.sink = sink
        self.vm = vm
        self.incarnation = incarnation
        self.terms = terms
        self.notify = notify
        self.plan = ReportPlan(terms, ledger)
        self._leases = LeaseStore(table)
        self._lease: Lease | None = None
        self._term = 1
        self._renew_at = float("-inf")
        self._rests_until = float("-inf")
        self._paused_until = float("-inf")
        self._failures = 0
        self._has_read_rows = False
        self._old_rows: set[str] = set()

    def holds(self, now: float) -> bool:
        """Return whether this process may report now."""
        return self._lease is not None and self._lease.is_usable(now)

    async def step(
        self, now: float, moment: float, sources: Collection[str], is_candidate: bool
    ) -> bool:
        """Make the next call, if one is due.

        Parameters
        ----------
        now : float
            Time on the monotonic clock of this process, seconds.
        moment : float
            True time of day, seconds since 1970.
        sources : collection of str
            Incarnations of the processes whose counts are waited for.
        is_candidate : bool
            Whether this process should hold the lease, or stand ready for it.

        Returns
        -------
        bool
            Whether another step may be due at once.
        """
        self.plan.record_era(self.table.era, moment)
        if self._lease is not None and not self._lease.is_usable(now):
            self._end_term(DutyChange.LOST, now, reason="not renewed in time")
        if not is_candidate:
            await self.release(now)
            return False
        if now < self._paused_until:
            return False
        if self._lease is None or now >= self._renew_at:
            return await self._hold(now)
        if not self._leases.is_current(self._lease):
            self._renew_at = now
            return True
        if not self._has_read_rows:
            return await self._read_rows(now)
        task = self.plan.next_task(moment, sources)
        if task is None:
            return False
        if task.is_fixed:
            return await self._deliver(task.report, now)
        return await self._fix(task.report, now)

    async def release(self, now: float) -> None:
        """Release the lease, so that the next holder need not wait for it to expire."""
        if self._lease is None:
            return
        lease, self._failures = self._lease, 0
        self._end_term(DutyChange.RELEASED, now)
        await self._leases.release(lease)

    async def _hold(self, now: float) -> bool:
        """Acquire or renew the lease; return whether this process holds it."""
        if self._lease is None and now < self._rests_until:
            return False
        held = self._lease
        renewed = None if held is None else await self._leases.renew(held, now)
        if renewed is None or renewed.is_err():
            # A renewal whose confirmation was lost changes the row, so that the next one fails.
            holder = f"{self.vm}/{self.incarnation}/{self._term}"
            renewed = await self._leases.acquire(LEASE_NAME, holder, self.terms.lease_s, now)
        if renewed.is_err():
            self._paused_until = now + (RETRY_PAUSE_S if held else STANDBY_POLL_S)
            return False
        self._lease = renewed.ok()
        self._renew_at = now + RENEWAL_SHARE * self.terms.lease_s
        if held is None or held.fencing != self._lease.fencing:
            self._has_read_rows = False
            self._failures = 0
            self.notify(DutyChange.TAKEN, {"fencing": self._lease.fencing})
        return True

    def _end_term(self, change: DutyChange, now: float, **details: Any) -> None:
        """End a term for good: its fencing number is not used again."""
        self.notify(change, {"fencing": self._lease.fencing, **details})
        self._lease = None
        self._term += 1
        self._rests_until = now + REST_LEASES * self.terms.lease_s

    async def _read_rows(self, now: float) -> bool:
        """Read the counts that former holders have fixed."""
        read = await self.table.scan(ROW_PREFIX)
        if read.is_err():
            self._paused_until = now + RETRY_PAUSE_S
            return False
        self._has_read_rows = True
        for row in read.ok():
            self._record_row(row)
        return True

    def _record_row(self, row: Row) -> None:
        """Record the counts in a row; a window whose counts cannot be read is never delivered."""
        name = row.key.removeprefix(ROW_PREFIX)
        if not name.isdecimal():
            self.notify(DutyChange.REJECTED, {"reason": f"row {row.key[:64]}: no window"})
            return
        window = int(name)
        self._old_rows.add(row.key)
        try:
            counts, delivered_upto = cbor2.loads(row.value)
            report = UsageReport(window, {str(key): int(count) for key, count in counts.items()})
            self.plan.record_delivered_upto(int(delivered_upto))
        except (cbor2.CBORDecodeError, AttributeError, TypeError, ValueError) as error:
            self.plan.close(window)
            self.notify(
                DutyChange.REJECTED, {"window": window, "reason": f"row: {type(error).__name__}"}
            )
            return
        if not self.plan.record_fixed(report, era_of(row.version)):
            self.notify(DutyChange.WITHDRAWN, {"window": window})

    async def _fix(self, report: UsageReport, now: float) -> bool:
        """Fix the counts of a window in the store, or learn the fixed ones."""
        key = f"{ROW_PREFIX}{report.window}"
        counts = dict(report.counts)
        value = cbor2.dumps([counts, self.plan.delivered_upto])
        outdated = self._outdated_rows(report.window)
        operations: list[Operation] = [Put(key, value, self.table.absent)]
        operations += [Delete(name) for name in outdated]
        written = await self.table.transact(operations)
        if written.is_ok():
            self._old_rows = (self._old_rows - outdated) | {key}
            self.plan.record_fixed(UsageReport(report.window, counts), era_of(written.ok()[0]))
            self.notify(
                DutyChange.FIXED, {"window": report.window, "requests": sum(counts.values())}
            )
            return True
        if written.err().kind in (TableErrorKind.CONFLICT, TableErrorKind.UNCERTAIN):
            found = await self.table.get([key])
            if found.is_ok() and found.ok()[0] is not None:
                self._record_row(found.ok()[0])
                return True
        self._paused_until = now + RETRY_PAUSE_S
        return False

    def _outdated_rows(self, newest: int) -> set[str]:
        """Return the keys of rows that no process delivers again."""
        oldest = newest - 2 * KEPT_WINDOWS
        return {key for key in self._old_rows if int(key.removeprefix(ROW_PREFIX)) < oldest}

    async def _deliver(self, report: UsageReport, now: float) -> bool:
        """Deliver a fixed report to the platform."""
        delivery = await self.sink.deliver(report, self.vm, self._lease.fencing)
        details = {"window": report.window, "fencing": self._lease.fencing}
        goes_on = _DELIVERY_HANDLERS[delivery](self, now, details)
        if self._failures >= MAX_FAILURES:
            await self.release(now)
        return goes_on

    def _on_accepted(self, now: float, details: Mapping[str, Any]) -> bool:
        self._failures = 0
        self.plan.close(details["window"])
        self.notify(DutyChange.DELIVERED, details)
        return True

    def _on_rejected(self, now: float, details: Mapping[str, Any]) -> bool:
        self.plan.close(details["window"])
        self.notify(DutyChange.REJECTED, details)
        return True

    def _on_fenced(self, now: float, details: Mapping[str, Any]) -> bool:
        self._end_term(DutyChange.FENCED, now, window=details["window"])
        return False

    def _on_unconfirmed(self, now: float, details: Mapping[str, Any]) -> bool:
        self._failures += 1
        self._paused_until = now + RETRY_PAUSE_S
        self.notify(DutyChange.UNCONFIRMED, details)
        return False


_DELIVERY_HANDLERS: dict[Delivery, Callable[[UsageReporter, float, Mapping[str, Any]], bool]] = {
    Delivery.ACCEPTED: UsageReporter._on_accepted,
    Delivery.REJECTED: UsageReporter._on_rejected,
    Delivery.FENCED: UsageReporter._on_fenced,
    Delivery.UNCONFIRMED: UsageReporter._on_unconfirmed,
}
