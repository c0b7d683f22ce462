"""Detection of prompt parts that crash the upstreams that begin to answer them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from burdockquay_protocol import PartEvidence

from ._quarantine import Verdict

CRASHES_TO_REFUSE = 3
"""Crashes without an answer in between after which a part is refused."""

MOMENT_S = 0.5
"""Crashes at one moment are closer than this, seconds: a power loss takes many upstreams at once,
with the same sound requests."""

MAX_DOWNS = 256
"""Largest number of upstreams that are known to have gone down."""

ANSWERED_MEMORY_S = 60.0
"""Time for which an answer speaks for a part, seconds."""

MAX_ANSWERED_PARTS = 4096
"""Largest number of parts that are known to have been answered."""

MAX_SUSPECT_PARTS = 512
"""Largest number of suspect parts that are kept."""

RETENTION_S = 60.0
"""Time for which a suspicion is kept after the last crash, trial or refusal, seconds."""

ABSOLUTION_RETENTION_S = 15.0
"""Time for which absolved crashes are remembered, seconds: longer than reports travel."""

RENEWAL_INTERVAL_S = 15.0
"""Time between two reports that requests with a refused part still come, seconds."""

TRIAL_DELAYS_S = (2.0, 30.0)
"""Time from the last crash or trial of a refused part to the next trial, seconds; there are no
others while requests with the part come."""


@attrs.define
class _Suspect:
    """What is known about one part.

    Parameters
    ----------
    touched_at : float
        When a crash, trial or refusal of it was last known.
    crashes : dict of str to float
        When each crash was first known here, by the incarnation of the upstream.
    absolved : dict of str to float
        Crashes before an answer, with the time at which the answer was known.
    trials : int
    tried_at : float
        When it last crashed an upstream or was tried.
    reported_at : float
        When peers were last told that requests with it still come.
    fewest_refused : int or None
        Smallest number of refused parts in a refused request with it.
    """

    touched_at: float
    crashes: dict[str, float] = attrs.field(factory=dict)
    absolved: dict[str, float] = attrs.field(factory=dict)
    trials: int = 0
    tried_at: float = 0.0
    reported_at: float = float("-inf")
    fewest_refused: int | None = None


class CrashEvidence:
    """Evidence for and against prompt parts that may crash upstreams.

    An upstream that crashes speaks against each part of the requests that waited there for their
    first token. An answer that begins anywhere speaks for its parts, and absolves them from the
    crashes known until then.

    Notes
    -----
    The requests that share a part that crashes upstreams need not be equal, so nothing is counted
    for each request. Crashes are identified by the incarnation of the upstream, so that reports of
    several processes do not add up. Crashes and absolutions only grow, and reports may arrive in
    any order and more than once.

    A part is refused after ``CRASHES_TO_REFUSE`` crashes. If it was answered within the last
    minute, they must have happened at different moments; otherwise, crashes at which more upstreams
    went down without it do not count. Parts that always came together cannot be told apart and are
    refused together; a request with only some of them has an alibi and is sent.

    Examples
    --------
    >>> evidence = CrashEvidence()
    >>> for number in range(3):
    ...     _ = evidence.record_crash(f"i-{number}", [["shared", "bad"]], now=float(number))
    ...     _ = evidence.record_answer(["shared"], now=number + 0.1)
    >>> evidence.verdict(["shared", "bad", "other"], now=3.0)
    <Verdict.QUARANTINED: 'quarantined'>
    >>> evidence.verdict(["shared", "other"], now=3.0)
    <Verdict.CLEAR: 'clear'>
    """

    def __init__(self):
        self._suspects: dict[str, _Suspect] = {}
        self._answered: OrderedDict[str, float] = OrderedDict()
        self._downs: OrderedDict[str, float] = OrderedDict()

    def record_down(self, incarnation: str, now: float) -> None:
        """Record that an upstream went down, whatever ran there."""
        self._downs.setdefault(incarnation, now)
        while len(self._downs) > MAX_DOWNS:
            self._downs.popitem(last=False)

    def record_crash(
        self, incarnation: str, waiting: Iterable[Collection[str]], now: float
    ) -> list[PartEvidence]:
        """Record that an upstream crashed while requests waited for their first token there.

        Parameters
        ----------
        incarnation : str
            Name of the run of the upstream that ended.
        waiting : iterable of collection of str
            Parts of each of these requests, without the part that is its own.

        Returns
        -------
        list of PartEvidence
            What is new, to be sent to peers.
        """
        self._forget(now)
        self.record_down(incarnation, now)
        parts = {part for request in waiting for part in request}
        new = [part for part in sorted(parts) if self._add_crash(part, incarnation, now)]
        self._evict()
        return self._describe(new)

    def record_answer(self, parts: Sequence[str], now: float) -> list[PartEvidence]:
        """Record that the answer to a request with these parts has begun.

        Returns
        -------
        list of PartEvidence
            The parts that this absolves, to be sent to peers.
        """
        self.note_answered(parts, now)
        absolved = [part for part in parts if self._has_crashes(part)]
        for part in absolved:
            self._absolve(part, list(self._suspects[part].crashes), now)
        return self._describe(absolved)

    def note_answered(self, parts: Iterable[str], now: float) -> None:
        """Record that parts were answered lately, which absolves them from no crash."""
        for part in parts:
            self._answered[part] = now
            self._answered.move_to_end(part)
        while len(self._answered) > MAX_ANSWERED_PARTS:
            self._answered.popitem(last=False)

    def merge(self, reports: Iterable[PartEvidence], now: float) -> list[PartEvidence]:
        """Merge the evidence of a peer.

        Returns
        -------
        list of PartEvidence
            What was new here, to be forwarded where peers are not all connected.
        """
        self._forget(now)
        new = [report.part for report in reports if self._merge(report, now)]
        self._evict()
        return self._describe(new)

    def verdict(self, parts: Collection[str], now: float) -> Verdict:
        """Return how to treat a request with these parts."""
        found = [part for part in parts if self._is_suspect(part, now)]
        if any(self._is_refused(part, now) and not self._has_alibi(part, parts) for part in found):
            return Verdict.QUARANTINED
        return (
            Verdict.SUSPECT
            if any(self._is_doubtful(part, now) for part in found)
            else Verdict.CLEAR
        )

    def refused(self, parts: Collection[str], now: float) -> list[str]:
        """Return the refused ones among some parts."""
        return [part for part in parts if self.is_refused(part, now)]

    def record_refusal(self, parts: Collection[str], now: float) -> list[PartEvidence]:
        """Record that a request was refused because of its parts, which renews the refusal.

        Returns
        -------
        list of PartEvidence
            Reports for peers, a few in a minute.
        """
        refused = self.refused(parts, now)
        due = []
        for part in refused:
            suspect = self._suspects[part]
            suspect.touched_at = now
            fewest = suspect.fewest_refused
            suspect.fewest_refused = min(len(refused), len(refused) if fewest is None else fewest)
            if now - suspect.reported_at >= RENEWAL_INTERVAL_S:
                suspect.reported_at = now
                due.append(part)
        return self._describe(due)

    def is_trial_due(self, parts: Collection[str], delay_s: float, now: float) -> bool:
        """Return whether a request with refused parts may be sent to test whether they are sound.

        Parameters
        ----------
        parts : collection of str
        delay_s : float
            How much later than the first process this one begins a trial, seconds.
        now : float
        """
        refused = self.refused(parts, now)
        return bool(refused) and all(
            self._is_trial_due(part, len(refused), delay_s, now) for part in refused
        )

    def begin_trial(self, parts: Collection[str], now: float) -> list[PartEvidence]:
        """Record that a request with refused parts is sent to test them; return the reports."""
        refused = self.refused(parts, now)
        for part in refused:
            suspect = self._suspects[part]
            suspect.trials += 1
            suspect.tried_at = suspect.touched_at = now
        return self._describe(refused)

    def reports(self, now: float) -> list[PartEvidence]:
        """Return all that is known, for a process that has just connected."""
        self._forget(now)
        return self._describe(list(self._suspects))

    def suspects(self, now: float) -> list[PartEvidence]:
        """Return the suspicions in force."""
        return [item for item in self.reports(now) if item.crashes]

    def is_refused(self, part: str, now: float) -> bool:
        """Return whether requests with a part are refused."""
        return self._is_suspect(part, now) and self._is_refused(part, now)

    def explained_crashes(self, now: float) -> set[str]:
        """Return the crashes under refused parts; what else ran there is not their cause."""
        return {
            incarnation
            for part, suspect in self._suspects.items()
            if len(suspect.crashes) >= CRASHES_TO_REFUSE and self.is_refused(part, now)
            for incarnation in suspect.crashes
        }

    def withdraw(self, part: str, now: float) -> None:
        """Clear a part at an operator's command; earlier reports of its crashes are ignored."""
        if self._has_crashes(part):
            self._absolve(part, list(self._suspects[part].crashes), now)

    def crashes(self, parts: Iterable[str]) -> int:
        """Return the largest number of crashes of any of some parts."""
        return max(
            (len(self._suspects[part].crashes) for part in parts if part in self._suspects),
            default=0,
        )

    def _has_crashes(self, part: str) -> bool:
        suspect = self._suspects.get(part)
        return suspect is not None and bool(suspect.crashes)

    def _is_suspect(self, part: str, now: float) -> bool:
        return self._has_crashes(part) and self._suspects[part].touched_at > now - RETENTION_S

    def _is_refused(self, part: str, now: float) -> bool:
        crashes = self._suspects[part].crashes
        if len(crashes) < CRASHES_TO_REFUSE:
            return False
        if self._is_answered(part, now):
            return self._moments(part) >= CRASHES_TO_REFUSE
        return self._count_own(crashes) >= CRASHES_TO_REFUSE

    def _count_own(self, crashes: Mapping[str, float]) -> int:
        """Return the number of crashes that are not part of a larger loss."""
        return sum(not self._is_among_others(crashes, at) for at in crashes.values())

    def _is_among_others(self, crashes: Mapping[str, float], at: float) -> bool:
        """Return whether more upstreams went down at the moment of a crash without the part."""
        near = sum(abs(other - at) <= MOMENT_S for other in crashes.values())
        without = sum(
            abs(other - at) <= MOMENT_S
            for name, other in self._downs.items()
            if name not in crashes
        )
        return without > near

    def _is_doubtful(self, part: str, now: float) -> bool:
        if self._is_answered(part, now):
            return self._moments(part) > 1
        return self._count_own(self._suspects[part].crashes) > 0

    def _is_answered(self, part: str, now: float) -> bool:
        return self._answered.get(part, float("-inf")) > now - ANSWERED_MEMORY_S

    def _moments(self, part: str) -> int:
        """Return at how many different moments a part crashed upstreams."""
        count, begun_at = 0, float("-inf")
        for at in sorted(self._suspects[part].crashes.values()):
            if at - begun_at >= MOMENT_S:
                count, begun_at = count + 1, at
        return count

    def _has_alibi(self, part: str, parts: Collection[str]) -> bool:
        """Return whether a part that a request lacks was there at all crashes of one it has."""
        crashes = self._suspects[part].crashes.keys()
        return any(
            crashes <= other.crashes.keys()
            for name, other in self._suspects.items()
            if name not in parts
        )

    def _is_trial_due(self, part: str, refused: int, delay_s: float, now: float) -> bool:
        suspect = self._suspects[part]
        if suspect.trials >= len(TRIAL_DELAYS_S):
            return False
        if suspect.fewest_refused is not None and refused > suspect.fewest_refused:
            return False
        return now >= suspect.tried_at + TRIAL_DELAYS_S[suspect.trials] + delay_s

    def _add_crash(self, part: str, incarnation: str, now: float) -> bool:
        suspect = self._suspects.setdefault(part, _Suspect(now))
        if incarnation in suspect.crashes or incarnation in suspect.absolved:
            return False
        # Not later than the upstream was found down here.
        suspect.crashes[incarnation] = self._downs.get(incarnation, now)
        suspect.tried_at = suspect.touched_at = now
        return True

    def _absolve(self, part: str, incarnations: Iterable[str], now: float) -> bool:
        suspect = self._suspects.setdefault(part, _Suspect(now))
        new = [name for name in incarnations if name not in suspect.absolved]
        for name in new:
            suspect.crashes.pop(name, None)
            suspect.absolved[name] = now
        if new and not suspect.crashes:
            suspect.trials = 0
            suspect.fewest_refused = None
        return bool(new)

    def _merge(self, report: PartEvidence, now: float) -> bool:
        """Merge the evidence about one part; return whether anything was new."""
        is_new = self._absolve(report.part, report.absolved, now)
        for incarnation in report.crashes:
            self.record_down(incarnation, now)
            is_new |= self._add_crash(report.part, incarnation, now)
        suspect = self._suspects.get(report.part)
        if suspect is None:
            return False
        if suspect.crashes:
            suspect.touched_at = suspect.reported_at = now
            if report.trials > suspect.trials:
                suspect.trials, suspect.tried_at, is_new = report.trials, now, True
        return is_new

    def _describe(self, parts: Iterable[str]) -> list[PartEvidence]:
        return [
            PartEvidence(part, list(known.crashes), list(known.absolved), known.trials)
            for part in parts
            if (known := self._suspects.get(part)) is not None
        ]

    def _forget(self, now: float) -> None:
        old = now - ABSOLUTION_RETENTION_S
        for part, suspect in list(self._suspects.items()):
            if suspect.touched_at <= now - RETENTION_S:
                suspect.crashes.clear()
            for name in [name for name, at in suspect.absolved.items() if at <= old]:
                del suspect.absolved[name]
            if not suspect.crashes and not suspect.absolved:
                del self._suspects[part]

    def _evict(self) -> None:
        """Drop the parts with the fewest crashes if there are too many."""
        excess = len(self._suspects) - MAX_SUSPECT_PARTS
        if excess <= 0:
            return

        def badness(part: str) -> tuple[int, float]:
            return (len(self._suspects[part].crashes), self._suspects[part].touched_at)

        for part in sorted(self._suspects, key=badness)[:excess]:
            del self._suspects[part]
