"""Statements of runs of upstreams that are not listed, or not any more."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from ._cold_start import ColdReport
from ._run_statements import RunStatements

MAX_RUNS = 4096
"""Largest number of runs that are kept; the one that was added first is dropped."""


class UnlistedStatements:
    """What unlisted runs of upstreams have stated, by incarnation.

    The list may lose an entry and show it again, and a peer may report a run before the list shows
    it. In both cases the run is bound by what it has stated.

    Parameters
    ----------
    make : callable
        Returns the statements of a new run.

    Examples
    --------
    >>> from burdockquay_coordination import RateLimit
    >>> unlisted = UnlistedStatements(lambda: RunStatements(RateLimit()))
    >>> unlisted.learn_leaving("i-1@5", now=1.0)
    True
    >>> unlisted.take("i-1@5").leaving.in_force, unlisted.take("i-1@6").leaving.in_force
    (True, False)
    """

    def __init__(self, make: Callable[[], RunStatements]):
        self.make = make
        self._runs: OrderedDict[str, RunStatements] = OrderedDict()

    def keep(self, incarnation: str, statements: RunStatements) -> None:
        """Keep the statements of a run that is removed from the list.

        An answer that is still on its way may state something, too.
        """
        self._runs[incarnation] = statements
        if len(self._runs) > MAX_RUNS:
            self._runs.popitem(last=False)

    def take(self, incarnation: str) -> RunStatements:
        """Return the statements of a run that is listed now, and keep them no longer."""
        kept = self._runs.pop(incarnation, None)
        return self.make() if kept is None else kept

    def leaving(self) -> list[str]:
        """Return the runs that leave."""
        return [name for name, kept in self._runs.items() if kept.leaving.in_force]

    def learn_leaving(self, incarnation: str, now: float) -> bool:
        """Record that an unlisted run leaves; return whether that is new."""
        statements = self._find_or_make(incarnation)
        is_new = statements.leaving.learn(now) is not None
        self.keep(incarnation, statements)
        return is_new

    def receive_cold(self, incarnation: str, report: ColdReport, now: float, source: str) -> None:
        """Apply the report of a peer that an unlisted run is cold."""
        statements = self._find_or_make(incarnation)
        statements.limit.cold.receive(report, now, source)
        self.keep(incarnation, statements)

    def _find_or_make(self, incarnation: str) -> RunStatements:
        return self._runs.get(incarnation) or self.make()
