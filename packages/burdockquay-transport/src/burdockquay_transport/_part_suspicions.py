"""Prompt parts that crash upstreams, as one process knows them."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

from burdockquay_coordination import CrashEvidence, Verdict
from burdockquay_protocol import PartEvidence

from ._events import Event, log_event


class PartSuspicions:
    """Refuses requests whose prompt parts crash upstreams, and tests whether they still do.

    Parameters
    ----------
    now : callable
        Returns the current time, seconds.

    Attributes
    ----------
    report : callable
        Sends evidence to the other processes.
    trial_delay_s : callable
        Returns how much later than the first process this one tries a part, seconds.
    on_refused : callable
        Called with the evidence when this process finds that a part must be refused, tries it, or
        tells others that requests with it still come.
    on_cleared : callable
        Called with a refused part when this process finds it sound.
    """

    def __init__(self, now: Callable[[], float]):
        self.now = now
        self.report: Callable[[list[PartEvidence]], None] = lambda reports: None
        self.trial_delay_s: Callable[[str], float] = lambda part: 0.0
        self.on_refused: Callable[[PartEvidence], object] = lambda report: None
        self.on_cleared: Callable[[str], object] = lambda part: None
        self._evidence = CrashEvidence()
        self._refused: set[str] = set()

    def record_down(self, incarnation: str) -> None:
        """Record that an upstream went down, whatever ran there."""
        self._evidence.record_down(incarnation, self.now())

    def record_crash(self, incarnation: str, waiting: Iterable[Collection[str]]) -> None:
        """Record that requests with these parts waited for a first token at a crash."""
        self._share(self._evidence.record_crash(incarnation, waiting, self.now()))

    def record_begun(self, parts: Sequence[str]) -> None:
        """Record that the answer to a request with some parts has begun."""
        if parts:
            self._share(self._evidence.record_answer(parts, self.now()))

    def note_answered(self, parts: Iterable[str]) -> None:
        """Record that other processes have had answers to requests with some parts lately."""
        self._evidence.note_answered(parts, self.now())

    def receive(self, reports: Sequence[PartEvidence]) -> list[PartEvidence]:
        """Merge the evidence of another process; return what was new."""
        new = self._evidence.merge(reports, self.now())
        self._log_changes(reports)
        return new

    def withdraw(self, part: str) -> None:
        """Clear a part at an operator's command."""
        self._evidence.withdraw(part, self.now())

    def reports(self) -> list[PartEvidence]:
        """Return all that is known, for a process that has just connected."""
        return self._evidence.reports(self.now())

    def may_crash(self, parts: Collection[str]) -> bool:
        """Return whether a request with some parts may crash the upstream that answers it."""
        return self._evidence.verdict(parts, self.now()) is not Verdict.CLEAR

    def crashes(self, parts: Iterable[str]) -> int:
        """Return the largest number of crashes of any of some parts."""
        return self._evidence.crashes(parts)

    def explained_crashes(self) -> set[str]:
        """Return the crashes under refused parts."""
        return self._evidence.explained_crashes(self.now())

    def refused(self, parts: Collection[str]) -> list[str]:
        """Return the parts because of which a request is refused; none if it may be sent or tried.

        Each call that returns some counts as a refusal.
        """
        now = self.now()
        if self._evidence.verdict(parts, now) is not Verdict.QUARANTINED:
            return []
        if self._is_trial_due(parts, now):
            return []
        renewed = self._evidence.record_refusal(parts, now)
        self._share(renewed)
        for item in renewed:
            self.on_refused(item)
        return self._evidence.refused(parts, now)

    def begin_trial(self, request: str, parts: Collection[str]) -> bool:
        """Record that a request is sent although its parts are refused; return whether it is."""
        now = self.now()
        if self._evidence.verdict(parts, now) is not Verdict.QUARANTINED:
            return False
        begun = self._evidence.begin_trial(parts, now)
        log_event(Event.PART_TRIED, request=request, parts=",".join(item.part for item in begun))
        self._share(begun)
        for item in begun:
            self.on_refused(item)
        return True

    def count_states(self) -> tuple[int, int]:
        """Return the numbers of parts that are suspects only, and that are refused."""
        described = self.describe()
        refused = sum(bool(item["refused"]) for item in described)
        return len(described) - refused, refused

    def describe(self) -> list[dict[str, object]]:
        """Return what ``/status`` shows of the parts under suspicion."""
        now = self.now()
        return [
            {
                "part": item.part,
                "crashes": len(item.crashes),
                "trials": item.trials,
                "refused": self._evidence.is_refused(item.part, now),
            }
            for item in self._evidence.suspects(now)
        ]

    def _is_trial_due(self, parts: Collection[str], now: float) -> bool:
        if not self._evidence.is_trial_due(parts, 0.0, now):
            return False
        delay_s = max(self.trial_delay_s(part) for part in self._evidence.refused(parts, now))
        return self._evidence.is_trial_due(parts, delay_s, now)

    def _share(self, reports: list[PartEvidence]) -> None:
        """Send the other processes what this one has found."""
        if not reports:
            return
        self.report(reports)
        before = set(self._refused)
        self._log_changes(reports)
        for item in reports:
            if item.part in self._refused - before:
                self.on_refused(item)
            elif item.part in before - self._refused:
                self.on_cleared(item.part)

    def _log_changes(self, reports: Iterable[PartEvidence]) -> None:
        now = self.now()
        for item in reports:
            is_refused = self._evidence.is_refused(item.part, now)
            if is_refused and item.part not in self._refused:
                self._refused.add(item.part)
                log_event(Event.PART_REFUSED, part=item.part, upstreams=",".join(item.crashes))
        # A suspicion also ends when no requests with the part come.
        for part in [part for part in self._refused if not self._evidence.is_refused(part, now)]:
            self._refused.discard(part)
            log_event(Event.PART_CLEARED, part=part)
