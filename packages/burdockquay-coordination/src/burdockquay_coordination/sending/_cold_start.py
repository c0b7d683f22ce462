"""The cold start of one run of an upstream: until when it is cold, and what it bears meanwhile.

A statement names the cold time that is left. It is kept as an end on the clock of this process,
which is never earlier than the true one, since a statement is made before it is received.
"""

from __future__ import annotations

import attrs

MAX_COLD_S = 3600.0
"""Longest stated cold time that is kept, seconds; a greater figure is an error of its writer."""

GRANT_HOLD_S = 0.1
"""Time for which a process holds a start at a cold upstream that it has received, seconds. Unused
starts that are held longer arrive together with those granted later."""

OWNERS = 2
"""Processes that may take themselves for the owner at a time; each begins with one start."""

MAX_STRETCH = 1.25
"""Longest time whose starts may arrive within one second, seconds: the second, the time for which a
start is held, and the difference between the delays of two requests on their way."""

MIN_USED_SHARE = 0.88
"""Smallest share of the stated rate that is granted. At least 0.8 of the rate is to be used; the
difference is for starts that lapse, and for steps of a process that come late."""

MIN_REPORT_S = 0.5
"""Shortest cold time that processes report to each other, seconds. A report that travels for longer
than the time it names would start the coldness again at its receiver."""

MERGE_TOLERANCE_S = 0.25
"""Time by which the end that a peer reports must be later than the known one to count, seconds. A
report names the time that was left when it was sent, so each one is later by its delay."""

WARM_REPORT_DELAY_S = 1.0
"""Longest delay of a report that an upstream is warm, seconds: an unknown state that began later
is not ended by it."""


def granted_rate(per_s: float, overage: float, slack: float) -> float:
    """Return the rate of starts that are granted at a cold upstream.

    Parameters
    ----------
    per_s : float
        Requests per second that the upstream can bear.
    overage, slack : float
        In any second, it gets at most the rate times the first, plus the second.

    Examples
    --------
    >>> granted_rate(11.0, 1.5, 5.0), granted_rate(11.0, 1.0, 1.0)
    (11.0, 9.68)
    """
    bounded = (per_s * overage + slack - OWNERS) / MAX_STRETCH
    return min(per_s, max(bounded, MIN_USED_SHARE * per_s))


LIST, ANSWER, UNKNOWN = "list", "answer", "unknown"
"""What shows that an upstream is cold, apart from reports, which are named by the sender's VM.
``UNKNOWN`` stands for nothing: it may have turned cold without a statement."""


@attrs.frozen
class ColdTerms:
    """What a service states of its cold upstreams.

    Parameters
    ----------
    duration_s : float
        Duration of a cold start, seconds.
    per_s : float
        Rate of starts that are granted; see :func:`granted_rate`.
    """

    duration_s: float
    per_s: float


@attrs.frozen
class ColdReport:
    """A statement of coldness, as one process reports it to another.

    Parameters
    ----------
    remaining_s : float
        Cold time left when the report is made, seconds.
    row : int or None
        Sequence number of the row of the list that made the statement; None if an answer made it.
        Without a row, a time of 0 says that the upstream has shown that it is warm.
    """

    remaining_s: float
    row: int | None = None


class ColdStart:
    """The cold start of one run of an upstream, as one process knows it.

    Statements are merged by the later end. A row of the list does not say when it was written, so
    of several readings of one row, at this process or at others, the first one counts. Without the
    terms of its service, an upstream is not cold; they may arrive before or after its statements.

    Attributes
    ----------
    source : str
        What has shown the coldness in force: the list, an answer, or the VM of a peer.
    learnt_at : float
        When it was shown.
    bound_at : float
        When the upstream last turned cold, as far as this process knows.

    Examples
    --------
    >>> cold = ColdStart()
    >>> cold.learn_listed(20.0, row=1, now=100.0)
    True
    >>> cold.binds(101.0)
    False
    >>> cold.set_terms(ColdTerms(30.0, 11.0), now=101.0)
    >>> cold.until, cold.per_s(101.0), cold.per_s(120.0)
    (120.0, 11.0, None)
    >>> cold.learn_listed(20.0, row=1, now=110.0), cold.until
    (False, 120.0)
    """

    def __init__(self):
        self.source = UNKNOWN
        self.learnt_at = float("-inf")
        self.bound_at = float("-inf")
        self._terms: ColdTerms | None = None
        self._stated_until = float("-inf")
        self._row: int | None = None
        self._row_cold_s: float | None = None
        self._row_until = float("-inf")
        self._unknown_since = float("-inf")
        self._isolated_at = float("-inf")

    @property
    def until(self) -> float:
        """When the upstream is warm; in the past if it is."""
        if self._terms is None:
            return float("-inf")
        unknown_until = max(self._unknown_since, self._isolated_at) + self._terms.duration_s
        return max(self._stated_until, self._row_until, unknown_until)

    def binds(self, now: float) -> bool:
        """Return whether the upstream is cold."""
        return now < self.until

    def per_s(self, now: float) -> float | None:
        """Return the rate of starts while the upstream is cold, None if it is warm."""
        return self._terms.per_s if self.binds(now) else None

    def remaining_s(self, now: float) -> float:
        """Return how long the upstream is still cold, seconds."""
        return max(0.0, self.until - now)

    def reports(self, now: float) -> list[ColdReport]:
        """Return the statements in force that others should know."""
        if self._terms is None:
            return []
        found = [
            ColdReport(self._stated_until - now),
            ColdReport(self._row_until - now, self._row),
        ]
        return [item for item in found if item.remaining_s >= MIN_REPORT_S]

    def correction(self, report: ColdReport, now: float) -> ColdReport | None:
        """Return a report with an earlier reading of the row that a report names, if known."""
        is_earlier = self._row_until < now + report.remaining_s - MERGE_TOLERANCE_S
        if report.row is None or report.row != self._row or not is_earlier:
            return None
        return ColdReport(max(0.0, self._row_until - now), self._row)

    def set_terms(self, terms: ColdTerms | None, now: float) -> None:
        """Set the terms of the service; None if it states no cold start."""
        was_cold = self.binds(now)
        self._terms = terms
        self._note_bound(was_cold, now)

    def learn(self, remaining_s: float, now: float, source: str = ANSWER) -> bool:
        """Apply a statement that was made up to now; return whether it ends later than known ones.

        Parameters
        ----------
        remaining_s : float
            Cold time left when the statement was made, seconds.
        now : float
        source : str
        """
        until = now + min(remaining_s, MAX_COLD_S)
        tolerance_s = 0.0 if source == ANSWER else MERGE_TOLERANCE_S
        if remaining_s <= 0 or until <= max(self._stated_until, self._row_until) + tolerance_s:
            return False
        was_cold = self.binds(now)
        self._stated_until = until
        self._note(source, was_cold, now)
        return True

    def learn_listed(self, cold_s: float, row: int, now: float) -> bool:
        """Apply a row of the list with its sequence number; see :meth:`learn`.

        A row that was read before, here or at a peer, changes nothing.
        """
        if self._row is not None and row <= self._row:
            is_changed = row == self._row and self._row_cold_s not in (None, cold_s)
            if row == self._row:
                self._row_cold_s = cold_s
            return is_changed and self.learn(cold_s, now, LIST)
        return self._learn_row(ColdReport(cold_s, row), cold_s, now, LIST)

    def receive(self, report: ColdReport, now: float, source: str) -> bool:
        """Apply the report of a peer; see :meth:`learn`."""
        if report.row is None:
            if report.remaining_s <= 0:
                self.learn_warm(now - WARM_REPORT_DELAY_S)
            return self.learn(report.remaining_s, now, source)
        if self._row is None or report.row > self._row:
            return self._learn_row(report, None, now, source)
        if report.row < self._row:
            return self.learn(report.remaining_s, now, source)
        self._row_until = min(self._row_until, now + report.remaining_s)
        return False

    def learn_unknown(self, now: float) -> None:
        """Record that the upstream may have turned cold until now."""
        was_cold = self.binds(now)
        self._unknown_since = now
        if not was_cold:
            self._note(UNKNOWN, was_cold, now)

    def learn_warm(self, asked_at: float) -> bool:
        """Apply a statement that the upstream is warm; return whether that was unknown.

        It ends no coldness that the upstream has stated.

        Parameters
        ----------
        asked_at : float
            Time after which the statement was certainly made.
        """
        if self._unknown_since == float("-inf") or asked_at < self._unknown_since:
            return False
        self._unknown_since = float("-inf")
        return True

    def set_isolated(self, is_isolated: bool, now: float) -> None:
        """Set whether this process could not learn now that the upstream has turned cold."""
        was_cold = self.binds(now)
        self._isolated_at = now if is_isolated else float("-inf")
        if is_isolated and not was_cold:
            self._note(UNKNOWN, was_cold, now)

    def _learn_row(self, report: ColdReport, cold_s: float | None, now: float, source: str) -> bool:
        was_cold = self.binds(now)
        before = self._stated_until = max(self._stated_until, self._row_until)
        self._row, self._row_cold_s = report.row, cold_s
        self._row_until = now + min(report.remaining_s, MAX_COLD_S)
        if self._row_until <= max(before, now):
            return False
        self._note(source, was_cold, now)
        return True

    def _note(self, source: str, was_cold: bool, now: float) -> None:
        self.source = source
        self.learnt_at = now
        self._note_bound(was_cold, now)

    def _note_bound(self, was_cold: bool, now: float) -> None:
        if not was_cold and self.binds(now):
            self.bound_at = now
