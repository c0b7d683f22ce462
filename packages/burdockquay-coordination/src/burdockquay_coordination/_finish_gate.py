"""Which requests a process that shuts down can still finish."""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from collections.abc import Hashable, Iterator

import attrs

MIN_KNOWN_RUNS = 32
"""Whole runs of one kind and size from which a longest time follows. Without any assumption about
their distribution, the next run takes longer than all of them with a probability of 1 / 33."""

SLOWDOWN_FACTOR = 2.0
"""Factor on the longest known time, since upstreams may become slower."""

HALF_WINDOW_S = 300.0
"""Time after which half of what is known is forgotten, seconds."""

MAX_KINDS = 2000
"""Kinds of requests that are remembered; the least recently used are forgotten."""

MAX_UNSETTLED_RUNS = 2000
"""Runs of one kind and size that are kept until all earlier ones have ended; others are not
counted."""


class FinishReason(enum.StrEnum):
    """Why a request is passed on or refused."""

    NOT_STOPPING = "not_stopping"
    """The process does not shut down."""
    CERTAIN = "certain"
    """Its deadline lies before the end of the process."""
    FITS = "fits"
    """The known runs took less than half of the time that is left."""
    TOO_LONG = "too_long"
    """A known run took longer than that."""
    FEW_RUNS = "few_runs"
    """Too few runs are known."""
    LATE = "late"
    """Only what is certain is passed on so late."""


@attrs.frozen
class FinishDecision:
    """Whether a request is passed on.

    Parameters
    ----------
    accepted : bool
    reason : FinishReason
    expected_s : float or None
        Longest time that it is expected to take, seconds; None if nothing is known.
    known_runs : int
        Number of whole runs from which this is known.
    """

    accepted: bool
    reason: FinishReason
    expected_s: float | None = None
    known_runs: int = 0


@attrs.define
class _Half:
    """What is known from one half of the window.

    Parameters
    ----------
    runs : int
        Number of whole runs.
    longest_s : float
        Longest time of a run, seconds.
    slowest_s : float
        Longest time of a run by its size, seconds.
    """

    runs: int = 0
    longest_s: float = 0.0
    slowest_s: float = 0.0


@attrs.define(eq=False)
class RunInProgress:
    """A run whose duration is not known yet."""

    runs: _Runs
    size: int
    since: float
    is_whole: bool | None = None


class _Runs:
    """Runs of one kind and about one size."""

    def __init__(self, now: float):
        self._halves = deque([_Half()], maxlen=2)
        self._half_since = now
        # In order of their begin; the first one has not ended.
        self._unsettled: deque[RunInProgress] = deque()

    def begin(self, size: int, now: float) -> RunInProgress:
        """Record the begin of a run."""
        run = RunInProgress(self, size, now)
        if len(self._unsettled) < MAX_UNSETTLED_RUNS:
            self._unsettled.append(run)
        return run

    def end(self, run: RunInProgress, is_whole: bool, now: float) -> None:
        """Record the end of a run.

        It counts once all that began before it have ended: runs that end early would otherwise be
        known first, and those that take long only later.
        """
        self._roll(now)
        run.is_whole = is_whole
        newest = self._halves[-1]
        taken_s = now - run.since
        newest.longest_s = max(newest.longest_s, taken_s)
        newest.slowest_s = max(newest.slowest_s, taken_s / max(1, run.size))
        while self._unsettled and self._unsettled[0].is_whole is not None:
            newest.runs += self._unsettled.popleft().is_whole

    def count(self, now: float) -> int:
        """Return the number of whole runs that are known."""
        self._roll(now)
        return sum(half.runs for half in self._halves)

    def longest_s(self, size: int, now: float) -> float:
        """Return the longest time of a run, if it were of a size, seconds."""
        self._roll(now)
        running_s = now - self._unsettled[0].since if self._unsettled else 0.0
        return max(
            running_s, *(max(half.longest_s, half.slowest_s * size) for half in self._halves)
        )

    def _roll(self, now: float) -> None:
        if now - self._half_since >= 2 * HALF_WINDOW_S:
            self._halves.clear()
        if now - self._half_since >= HALF_WINDOW_S:
            self._halves.append(_Half())
            self._half_since = now


class FinishGate:
    """Decides whether a process that shuts down passes a request on.

    A request that is not finished when the process ends is cut off, and its caller could not tell
    whether it has run. Refused at once, it can be sent to another process. Until the process shuts
    down, every request is accepted.

    Notes
    -----
    A request whose deadline lies before the end of the process is accepted: its caller gets the
    final answer by then. In the first part of the shutdown, while a load balancer still sends
    requests, it is also accepted if :data:`MIN_KNOWN_RUNS` whole runs of its kind and of about its
    size, or larger, are known, and the longest of them, times :data:`SLOWDOWN_FACTOR`, leaves it
    enough time.

    Examples
    --------
    >>> gate = FinishGate()
    >>> for _ in range(MIN_KNOWN_RUNS):
    ...     gate.end(gate.begin("chat", size=10, now=0.0), now=2.0, is_whole=True)
    >>> gate.stop_at(10.0, certain_from=6.5)
    >>> gate.decide("chat", 10, deadline=20.0, now=6.0).reason
    <FinishReason.FITS: 'fits'>
    >>> gate.decide("chat", 16, deadline=20.0, now=6.4).reason
    <FinishReason.FEW_RUNS: 'few_runs'>
    >>> gate.decide("chat", 10, deadline=20.0, now=6.5).reason
    <FinishReason.LATE: 'late'>
    >>> gate.decide("chat", 10, deadline=10.0, now=6.5).reason
    <FinishReason.CERTAIN: 'certain'>
    """

    def __init__(self):
        self._ends_at: float | None = None
        self._certain_from = float("inf")
        self._kinds: OrderedDict[Hashable, dict[int, _Runs]] = OrderedDict()

    @property
    def is_stopping(self) -> bool:
        """Whether the time at which the process ends is known."""
        return self._ends_at is not None

    def stop_at(self, ends_at: float, certain_from: float) -> None:
        """Begin the shutdown.

        Parameters
        ----------
        ends_at : float
            Time at which unfinished requests are cut off.
        certain_from : float
            Time from which only requests are accepted that certainly have their answers before.
        """
        self._ends_at = ends_at
        self._certain_from = certain_from

    def begin(self, kind: Hashable, size: int, now: float) -> RunInProgress:
        """Record that a request begins to run.

        Parameters
        ----------
        kind : hashable
            What it has in common with requests that take about as long.
        size : int
            Size of the work, for example in tokens; 0 if it is not known.
        now : float
        """
        classes = self._kinds.setdefault(kind, {})
        self._kinds.move_to_end(kind)
        if len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)
        size_class = size.bit_length()
        if size_class not in classes:
            classes[size_class] = _Runs(now)
        return classes[size_class].begin(size, now)

    def end(self, run: RunInProgress, now: float, is_whole: bool) -> None:
        """Record the end of a run; one that was interrupted would have taken longer."""
        run.runs.end(run, is_whole, now)

    def decide(self, kind: Hashable, size: int, deadline: float, now: float) -> FinishDecision:
        """Decide whether a request that is sent now can be finished.

        Parameters
        ----------
        kind, size
            As for :meth:`begin`.
        deadline : float
            Time at which its caller gets a final answer at the latest.
        now : float

        Returns
        -------
        FinishDecision
        """
        if self._ends_at is None:
            return FinishDecision(True, FinishReason.NOT_STOPPING)
        expected_s, known_runs = self._estimate(kind, size, now)
        if deadline <= self._ends_at:
            reason = FinishReason.CERTAIN
        elif now >= self._certain_from:
            reason = FinishReason.LATE
        elif known_runs < MIN_KNOWN_RUNS:
            reason = FinishReason.FEW_RUNS
        elif now + expected_s > self._ends_at:
            reason = FinishReason.TOO_LONG
        else:
            reason = FinishReason.FITS
        accepted = reason in (FinishReason.CERTAIN, FinishReason.FITS)
        return FinishDecision(accepted, reason, expected_s, known_runs)

    def _estimate(self, kind: Hashable, size: int, now: float) -> tuple[float | None, int]:
        """Return the longest time to expect, seconds, and the number of runs that show it."""
        known_runs = 0
        times_s = []
        for is_smaller, runs in self._comparable(kind, size):
            if is_smaller:
                # It is not shown how much longer larger ones take.
                times_s.append(runs.longest_s(0, now))
            elif known_runs < MIN_KNOWN_RUNS:
                times_s.append(runs.longest_s(size, now))
                known_runs += runs.count(now)
        return (SLOWDOWN_FACTOR * max(times_s) if times_s else None), known_runs

    def _comparable(self, kind: Hashable, size: int) -> Iterator[tuple[bool, _Runs]]:
        """Yield the runs of a kind from the smallest on, with whether they are smaller.

        An unknown size can be compared only with other unknown ones.
        """
        classes = self._kinds.get(kind, {})
        size_class = size.bit_length()
        for other in sorted(classes):
            if size or not other:
                yield other < size_class, classes[other]
