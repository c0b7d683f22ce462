"""Which requests a process that shuts down can still finish."""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from collections.abc import Hashable, Sequence

import attrs

REMEMBERED_RUNS = 32
"""Newest runs of one kind and size by which others are judged."""

MAX_KINDS = 2000
"""Kinds of requests that are remembered; the least recently used are forgotten."""

MARGIN_FACTOR = 1.25
"""Factor on the longest of the remembered runs."""

UNFINISHED_FACTOR = 2.0
"""Total time of a run that is still unfinished after the longest known time, as a multiple of its
time so far."""


class FinishReason(enum.StrEnum):
    """Why a request is passed on or refused."""

    NOT_STOPPING = "not_stopping"
    """The process does not shut down."""
    CERTAIN = "certain"
    """Its deadline lies before the end of the process."""
    FITS = "fits"
    """By the known runs it is finished before the end of the process."""
    TOO_LONG = "too_long"
    """By the known runs it would not be finished."""
    UNKNOWN = "unknown"
    """Nothing is known about it."""


@attrs.frozen
class FinishDecision:
    """Whether a request is passed on.

    Parameters
    ----------
    accepted : bool
    reason : FinishReason
    expected_s : float or None
        Longest time that it is expected to take, seconds; None if that is not known.
    known_runs : int
        Number of runs that this is known from.
    """

    accepted: bool
    reason: FinishReason
    expected_s: float | None = None
    known_runs: int = 0


@attrs.define(eq=False)
class RunInProgress:
    """A run whose duration is not known yet."""

    kinds: tuple[Hashable, ...]
    size_class: int
    since: float


@attrs.define
class _Kind:
    """Runs of one kind: durations of the newest ones by size class, and those in progress."""

    durations: dict[int, deque[float]] = attrs.field(factory=dict)
    running: set[RunInProgress] = attrs.field(factory=set)

    def expected_s(self, size_class: int, now: float) -> float | None:
        """Return the longest time that a run is expected to take, None if nothing is known."""
        known = self._longest_s(size_class)
        oldest = min(
            (run.since for run in self.running if run.size_class <= size_class),
            default=now,
        )
        if now - oldest > (known or 0.0):
            return UNFINISHED_FACTOR * (now - oldest)
        return known

    def count_known(self, size_class: int) -> int:
        """Return the number of runs from which the expected time follows."""
        return len(self.durations[self._nearest(size_class)]) if self.durations else 0

    def _longest_s(self, size_class: int) -> float | None:
        if not self.durations:
            return None
        nearest = self._nearest(size_class)
        scale = 2.0 ** max(0, size_class - nearest)
        return scale * max(self.durations[nearest])

    def _nearest(self, size_class: int) -> int:
        smaller = [item for item in self.durations if item <= size_class]
        return max(smaller) if smaller else min(self.durations)


class FinishGate:
    """Decides whether a process that shuts down can finish a request before it ends.

    A request that cannot be finished would be cut off, and its caller could not tell whether it has
    run. Refused at once, it can be sent to another process. Until the process shuts down, every
    request is accepted.

    Notes
    -----
    The duration of a request is judged by those of the newest requests of its kind, and of about
    its size. If nothing is known, it is accepted only in the first part of the shutdown, or if its
    caller does not wait longer than the process exists.

    Examples
    --------
    >>> gate = FinishGate()
    >>> run = gate.begin(["chat"], size=10, now=0.0)
    >>> gate.end(run, now=2.0, is_whole=True)
    >>> gate.stop_at(10.0, unknown_until=6.0)
    >>> gate.decide(["chat"], 10, deadline=20.0, now=7.0).accepted
    True
    >>> gate.decide(["chat"], 10, deadline=20.0, now=8.0).accepted
    False
    >>> gate.decide(["other"], 10, deadline=20.0, now=6.0).accepted
    True
    >>> gate.decide(["other"], 10, deadline=20.0, now=7.0).accepted
    False
    >>> gate.decide(["other"], 10, deadline=9.0, now=8.0).accepted
    True
    """

    def __init__(self):
        self._ends_at: float | None = None
        self._unknown_until = float("-inf")
        self._kinds: OrderedDict[Hashable, _Kind] = OrderedDict()

    @property
    def is_stopping(self) -> bool:
        """Whether the time at which the process ends is known."""
        return self._ends_at is not None

    def stop_at(self, ends_at: float, unknown_until: float) -> None:
        """Begin the shutdown.

        Parameters
        ----------
        ends_at : float
            Time at which unfinished requests are cut off.
        unknown_until : float
            Time until which requests are accepted of which nothing is known.
        """
        self._ends_at = ends_at
        self._unknown_until = unknown_until

    def begin(self, kinds: Sequence[Hashable], size: int, now: float) -> RunInProgress:
        """Record that a request begins to run.

        Parameters
        ----------
        kinds : sequence of hashable
            What it has in common with others, the most specific kind first.
        size : int
            Size of the work, for example in tokens; 0 if it is not known.
        now : float
        """
        run = RunInProgress(tuple(kinds), size.bit_length(), now)
        for kind in run.kinds:
            self._find(kind).running.add(run)
        return run

    def end(self, run: RunInProgress, now: float, is_whole: bool) -> None:
        """Record the end of a run; only one that was not interrupted shows how long runs take."""
        for kind in run.kinds:
            found = self._find(kind)
            found.running.discard(run)
            if is_whole:
                durations = found.durations.setdefault(
                    run.size_class, deque(maxlen=REMEMBERED_RUNS)
                )
                durations.append(now - run.since)

    def decide(
        self, kinds: Sequence[Hashable], size: int, deadline: float, now: float
    ) -> FinishDecision:
        """Decide whether a request that is sent now can be expected to be finished.

        Parameters
        ----------
        kinds, size
            As for :meth:`begin`.
        deadline : float
            Time after which its caller does not wait any more.
        now : float

        Returns
        -------
        FinishDecision
        """
        if self._ends_at is None:
            return FinishDecision(True, FinishReason.NOT_STOPPING)
        if deadline <= self._ends_at:
            return FinishDecision(True, FinishReason.CERTAIN)
        size_class = size.bit_length()
        for kind in kinds:
            if kind in self._kinds:
                found = self._kinds[kind]
                expected_s = found.expected_s(size_class, now)
                if expected_s is not None:
                    fits = now + MARGIN_FACTOR * expected_s <= self._ends_at
                    reason = FinishReason.FITS if fits else FinishReason.TOO_LONG
                    return FinishDecision(fits, reason, expected_s, found.count_known(size_class))
        return FinishDecision(now <= self._unknown_until, FinishReason.UNKNOWN)

    def _find(self, kind: Hashable) -> _Kind:
        found = self._kinds.get(kind)
        if found is None:
            found = self._kinds[kind] = _Kind()
            if len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        return found
