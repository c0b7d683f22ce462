"""Decides which usage report is fixed or delivered next."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Collection

import attrs

from ._counts import KEPT_WINDOWS, UsageLedger, WindowCounts

SETTLE_S = 1.0
"""Time after the end of a window at which its counts are complete, seconds: plain requests are
counted when their answer arrives, at the time at which they were sent."""

WAIT_SHARE = 0.6
"""Share of the time between the end of a window and its due time for which missing processes are
waited for. The rest covers a change of the holder."""


@attrs.frozen
class ReportTerms:
    """Terms of the platform for usage reports.

    Parameters
    ----------
    window_s : float
        Length of a window, seconds.
    due_s : float
        Time after the end of a window at which its report is due, seconds.
    lease_s : float
        Duration of the lease of the reporting process, seconds.
    """

    window_s: float
    due_s: float
    lease_s: float

    def end_of(self, window: int) -> float:
        """Return the time of day at which a window ends, seconds since 1970."""
        return (window + 1) * self.window_s


@attrs.frozen
class UsageReport:
    """Requests of one window by organisation.

    Parameters
    ----------
    window : int
    counts : mapping of str to int
    """

    window: int
    counts: WindowCounts


class Delivery(enum.Enum):
    """Result of a call that delivers a report to the platform."""

    ACCEPTED = "accepted"
    """The platform has the report."""
    FENCED = "fenced"
    """The platform has seen a higher fencing number."""
    UNCONFIRMED = "unconfirmed"
    """The platform refused for now or did not answer; it may still carry out the call."""
    REJECTED = "rejected"
    """The platform does not accept the report as it is."""


class UsageSink(ABC):
    """Receiver of usage reports."""

    @abstractmethod
    async def deliver(self, report: UsageReport, holder: str, fencing: int) -> Delivery:
        """Deliver a report.

        Parameters
        ----------
        report : UsageReport
        holder : str
            VM of the process that holds the lease.
        fencing : int
            Fencing number of the lease.
        """


@attrs.frozen
class FixedReport:
    """Report whose counts cannot change any more.

    Parameters
    ----------
    report : UsageReport
    era : int
        Era of the store in which they were fixed.
    """

    report: UsageReport
    era: int


@attrs.frozen
class ReportTask:
    """Next step for a report.

    Parameters
    ----------
    report : UsageReport
    is_fixed : bool
        Whether it is delivered; otherwise its counts are fixed first.
    """

    report: UsageReport
    is_fixed: bool


class ReportPlan:
    """Reports of the recent windows, and the order in which they are fixed and delivered.

    The counts of a window are fixed in the store before they are delivered for the first time, and
    every delivery, by whichever process, repeats exactly these. Otherwise a second delivery, whose
    first one was not confirmed, could report other counts.

    A store that was restored from a copy may have lost fixed counts that were delivered. A window
    that ended before is then reported only by a process that still holds its fixed counts.

    Parameters
    ----------
    terms : ReportTerms
    ledger : UsageLedger
    """

    def __init__(self, terms: ReportTerms, ledger: UsageLedger):
        self.terms = terms
        self.ledger = ledger
        self._fixed: dict[int, FixedReport] = {}
        self._closed: set[int] = set()
        self._delivered_upto = -1
        self._era = 0
        self._restored_at = float("-inf")

    @property
    def delivered_upto(self) -> int:
        """Window up to which this process knows all reports to be delivered, -1 without any."""
        return self._delivered_upto

    def record_era(self, era: int, moment: float) -> None:
        """Record the era of the store as known at a time of day.

        An era above 1 follows a restore, also if this process has not seen the one before.
        """
        if era > max(self._era, 1):
            self._restored_at = moment
        self._era = max(era, self._era)

    def record_fixed(self, report: UsageReport, era: int) -> bool:
        """Record the counts that the store holds for a window.

        Returns
        -------
        bool
            False if this process has fixed other counts in an earlier era: both may have been
            delivered, so the window is closed.
        """
        known = self._fixed.get(report.window)
        if known is not None and dict(known.report.counts) != dict(report.counts):
            self.close(report.window)
            return False
        self._fixed[report.window] = FixedReport(report, era)
        return True

    def record_delivered_upto(self, window: int) -> None:
        """Record the window up to which another process has delivered all reports."""
        self._delivered_upto = max(self._delivered_upto, window)

    def close(self, window: int) -> None:
        """Record that a report was delivered, or that it is never to be delivered again."""
        self._closed.add(window)
        while self._delivered_upto + 1 in self._closed:
            self._delivered_upto += 1

    def open_windows(self, moment: float) -> list[int]:
        """Return the windows that have ended and have no delivered report, oldest first."""
        newest = int(moment // self.terms.window_s) - 1
        oldest = newest - KEPT_WINDOWS + 1
        self._forget_before(oldest)
        first_counted = self.ledger.first_window
        known = [*self._fixed] if first_counted is None else [*self._fixed, first_counted]
        if not known:
            return []
        # There is nothing to deliver for windows before the first known one.
        self._delivered_upto = max(self._delivered_upto, oldest - 1, min(known) - 1)
        windows = range(self._delivered_upto + 1, newest + 1)
        return [window for window in windows if window not in self._closed]

    def next_task(self, moment: float, sources: Collection[str]) -> ReportTask | None:
        """Return the next step, None if nothing can be done now.

        Reports that can be in time go before overdue ones.

        Parameters
        ----------
        moment : float
            True time of day, seconds since 1970.
        sources : collection of str
            Processes whose counts are waited for.
        """
        windows = self.open_windows(moment)
        for window in sorted(windows, key=lambda item: (self.is_overdue(item, moment), item)):
            task = self._task_for(window, moment, sources)
            if task is not None:
                return task
        return None

    def is_overdue(self, window: int, moment: float) -> bool:
        """Return whether the report of a window can no longer be in time."""
        return moment > self.terms.end_of(window) + self.terms.due_s

    def is_lost(self, window: int) -> bool:
        """Return whether fixed counts of a window may have been lost with a restore."""
        return window not in self._fixed and self.terms.end_of(window) <= self._restored_at

    def _task_for(self, window: int, moment: float, sources: Collection[str]) -> ReportTask | None:
        known = self._fixed.get(window)
        if known is not None:
            return ReportTask(known.report, known.era == self._era)
        if self.is_lost(window) or not self._may_fix(window, moment, sources):
            return None
        return ReportTask(UsageReport(window, self.ledger.totals(window)), False)

    def _may_fix(self, window: int, moment: float, sources: Collection[str]) -> bool:
        settled_at = self.terms.end_of(window) + SETTLE_S
        if moment < settled_at:
            return False
        waits_until = self.terms.end_of(window) + WAIT_SHARE * self.terms.due_s
        if moment >= waits_until:
            return True
        begins = self.terms.end_of(window - 1)
        return self.ledger.is_complete(begins, settled_at, sources)

    def _forget_before(self, window: int) -> None:
        self.ledger.forget_before(window)
        self._fixed = {number: item for number, item in self._fixed.items() if number >= window}
        self._closed = {number for number in self._closed if number >= window}
