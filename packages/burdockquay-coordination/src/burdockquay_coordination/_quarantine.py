"""Requests that crash the upstreams that run them."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Sequence

import attrs

from burdockquay_protocol import Suspicion

CRASHES_TO_QUARANTINE = 2
"""Crashes at which a request must have run; at one of them as the only suspect."""


class Verdict(enum.Enum):
    """How a request is treated."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    """Run it, but beside no other suspect."""
    QUARANTINED = "quarantined"
    """Refuse it."""


@attrs.define
class _Crash:
    digests: frozenset[str]
    expires_at: float
    taken_off: set[str] = attrs.field(factory=set)


class QuarantineBook:
    """Counts the upstream crashes at which each request ran.

    Parameters
    ----------
    retention_s : float
        How long a suspicion lasts after the latest crash, seconds.

    Notes
    -----
    Times are seconds since the epoch, because suspicions travel between processes.

    All that ran at a crash become suspects, and one of them may be the cause. They are run again,
    each apart from other suspects. The next crash then has one suspect among what ran, and that is
    quarantined: two crashes in all. If two suspects still met, as when the word of the first crash
    had not arrived yet, neither is named, and the third crash decides.

    A crash with a quarantined request in it is explained: what ran beside it is no suspect for it,
    and one that was quarantined for that crash is set free. A request that ran to its end is clear.

    Two entries of the same crash must not add up, so figures of peers are merged by the larger.
    """

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self._suspicions: dict[str, Suspicion] = {}
        self._crashes: list[_Crash] = []
        self._cleared: dict[str, Suspicion] = {}

    def note_crash(self, digests: Sequence[str], now: float) -> list[Suspicion]:
        """Note that an upstream crashed while requests ran.

        Parameters
        ----------
        digests : sequence of str
            Of every request that ran there.

        Returns
        -------
        list of Suspicion
            What is new, to be stored and sent to peers.
        """
        self._drop_expired(now)
        ran = frozenset(digests)
        if any(self._is_quarantined(digest) for digest in ran):
            return []
        known = [digest for digest in ran if digest in self._suspicions]
        blamed = known if known else sorted(ran)
        self._crashes.append(_Crash(ran, now + self.retention_s))
        changed = [self._blame(digest, len(blamed) == 1, now) for digest in sorted(ran)]
        for digest in blamed:
            if self._is_quarantined(digest):
                self._explain(digest)
        return [one for one in changed if one.digest in self._suspicions]

    def note_finished(self, digest: str, now: float) -> None:
        """Note that a request ran to its end, which clears it of the crashes so far."""
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
        """Take suspicions from a peer or the table.

        Returns
        -------
        list of Suspicion
            Those that said something new here, to be passed on.
        """
        self._drop_expired(now)
        return [one for one in suspicions if one.expires_at > now and self._merge(one)]

    def suspicions(self, now: float) -> list[Suspicion]:
        """Return every suspicion in force, by digest."""
        self._drop_expired(now)
        return [self._suspicions[digest] for digest in sorted(self._suspicions)]

    def withdraw(self, digest: str, now: float) -> None:
        """Set a request free, on an operator's word; earlier reports of it are ignored."""
        suspicion = self._suspicions.get(digest)
        if suspicion is not None:
            self._clear(suspicion)

    def _blame(self, digest: str, alone: bool, now: float) -> Suspicion:
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

    def _explain(self, culprit: str) -> None:
        """Take the crashes of a quarantined request off what ran beside it."""
        for crash in self._crashes:
            if culprit in crash.digests:
                for digest in crash.digests - crash.taken_off - {culprit}:
                    crash.taken_off.add(digest)
                    self._take_off(digest)

    def _take_off(self, digest: str) -> None:
        old = self._suspicions.get(digest)
        if old is None:
            return
        if old.crashes > 1:
            self._suspicions[digest] = attrs.evolve(old, crashes=old.crashes - 1)
        else:
            self._clear(old)

    def _clear(self, suspicion: Suspicion) -> None:
        """Drop a suspicion and remember it, so that a peer's old report does not bring it back."""
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
