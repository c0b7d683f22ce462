"""Detection of requests that crash the upstreams that run them."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence

import attrs

from burdockquay_protocol import Suspicion

CRASHES_TO_QUARANTINE = 2
"""Crashes during which a request must have run to be quarantined. In at least one of them it must
have been the only suspect."""


class Verdict(enum.Enum):
    """How to treat a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """Run it, but not concurrently with another suspect."""
    QUARANTINED = "quarantined"
    """Reject it."""


@attrs.define
class _Crash:
    digests: frozenset[str]
    expires_at: float
    subtracted: set[str] = attrs.field(factory=set)


class QuarantineTracker:
    """Counts the upstream crashes during which each request ran.

    Parameters
    ----------
    retention_s : float
        Lifetime of a suspicion after the latest crash, seconds.

    Notes
    -----
    Times are seconds since the epoch, because suspicions are exchanged between processes.

    All requests that were running at a crash become suspects, since one of them may be the cause.
    They are retried, never two suspects at a time on one upstream. The next crash then has a single
    suspect among the running requests, which is quarantined: after two crashes in total. If two
    suspects ran together nevertheless, for example because the report of the first crash had not
    arrived yet, neither is quarantined, and the third crash decides.

    A crash is attributed to a quarantined request that was running: the requests that ran beside it
    are not suspected because of this crash, and one that was quarantined because of it is released.
    A request that ran to completion is cleared.

    Two reports of the same crash must not add up, so the counts of peers are merged by the maximum.
    """

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self._suspicions: dict[str, Suspicion] = {}
        self._crashes: list[_Crash] = []
        self._cleared: dict[str, Suspicion] = {}

    def record_crash(self, digests: Sequence[str], now: float) -> list[Suspicion]:
        """Record that an upstream crashed while requests were running.

        Parameters
        ----------
        digests : sequence of str
            Digests of all requests that were running there.

        Returns
        -------
        list of Suspicion
            New or changed suspicions, to be stored and sent to peers.
        """
        self._drop_expired(now)
        ran = frozenset(digests)
        if any(self._is_quarantined(digest) for digest in ran):
            return []
        known = [digest for digest in ran if digest in self._suspicions]
        suspects = known if known else sorted(ran)
        self._crashes.append(_Crash(ran, now + self.retention_s))
        changed = [self._count_crash(digest, len(suspects) == 1, now) for digest in sorted(ran)]
        for digest in suspects:
            if self._is_quarantined(digest):
                self._subtract_crashes_of(digest)
        return [one for one in changed if one.digest in self._suspicions]

    def record_completion(self, digest: str, now: float) -> None:
        """Record that a request ran to completion, which clears it of the crashes so far."""
        suspicion = self._suspicions.get(digest)
        if suspicion is not None and not self._is_quarantined(digest):
            self._clear(suspicion)

    def verdict(self, digest: str, now: float) -> Verdict:
        """Return how to treat a request."""
        suspicion = self._suspicions.get(digest)
        if suspicion is None or suspicion.expires_at <= now:
            return Verdict.CLEAR
        return Verdict.QUARANTINED if self._is_quarantined(digest) else Verdict.SUSPECT

    def merge(self, suspicions: Iterable[Suspicion], now: float) -> list[Suspicion]:
        """Merge suspicions received from a peer or read from the table.

        Returns
        -------
        list of Suspicion
            Those that changed something here, to be forwarded.
        """
        self._drop_expired(now)
        return [one for one in suspicions if one.expires_at > now and self._merge(one)]

    def suspicions(self, now: float) -> list[Suspicion]:
        """Return all suspicions in force, sorted by digest."""
        self._drop_expired(now)
        return [self._suspicions[digest] for digest in sorted(self._suspicions)]

    def withdraw(self, digest: str, now: float) -> None:
        """Clear a request at an operator's command; earlier reports of it are ignored."""
        suspicion = self._suspicions.get(digest)
        if suspicion is not None:
            self._clear(suspicion)

    def _count_crash(self, digest: str, alone: bool, now: float) -> Suspicion:
        old = self._suspicions.get(digest)
        crashes, times_alone = (old.crashes, old.alone) if old else (0, 0)
        new = Suspicion(digest, crashes + 1, times_alone + alone, now + self.retention_s)
        self._suspicions[digest] = new
        return new

    def _is_quarantined(self, digest: str) -> bool:
        suspicion = self._suspicions.get(digest)
        if suspicion is None:
            return False
        return suspicion.crashes >= CRASHES_TO_QUARANTINE and suspicion.alone > 0

    def _subtract_crashes_of(self, cause: str) -> None:
        """Subtract the crashes of a quarantined request from the requests that ran beside it."""
        for crash in self._crashes:
            if cause in crash.digests:
                for digest in crash.digests - crash.subtracted - {cause}:
                    crash.subtracted.add(digest)
                    self._subtract_crash(digest)

    def _subtract_crash(self, digest: str) -> None:
        old = self._suspicions.get(digest)
        if old is None:
            return
        if old.crashes > 1:
            self._suspicions[digest] = attrs.evolve(old, crashes=old.crashes - 1)
        else:
            self._clear(old)

    def _clear(self, suspicion: Suspicion) -> None:
        """Drop a suspicion, and record it so that an old report of a peer does not restore it."""
        del self._suspicions[suspicion.digest]
        self._cleared[suspicion.digest] = suspicion

    def _merge(self, report: Suspicion) -> bool:
        cleared = self._cleared.get(report.digest)
        if cleared is not None and report.expires_at <= cleared.expires_at:
            return False
        old = self._suspicions.get(report.digest)
        if old is None:
            self._suspicions[report.digest] = report
            return True
        merged = Suspicion(
            report.digest,
            max(old.crashes, report.crashes),
            max(old.alone, report.alone),
            max(old.expires_at, report.expires_at),
        )
        self._suspicions[report.digest] = merged
        return merged != old

    def _drop_expired(self, now: float) -> None:
        for table in (self._suspicions, self._cleared):
            for digest in [one for one, entry in table.items() if entry.expires_at <= now]:
                del table[digest]
        self._crashes = [crash for crash in self._crashes if crash.expires_at > now]
