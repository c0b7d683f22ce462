"""Detection of requests that crash the upstreams that run them."""

from __future__ import annotations

from collections.abc import Collection

import attrs

SUSPICION_EXPIRY_S = 60.0
"""Time for which a suspicion is kept after its newest crash, seconds."""

MIN_CRASHES = 2
"""Upstreams that must have crashed while running a request before it is rejected. One is not
enough: all requests that ran beside the cause were interrupted too."""

CRASH_DETECTION_S = 3.0
"""Longest time between the interruption of an answer and the detection that the upstream is down,
seconds. The next connection to it usually fails within a second."""


@attrs.frozen
class Interruption:
    """A request that was interrupted at an upstream.

    Parameters
    ----------
    request : str
    digest : str
    parts : tuple of str
        Ids of the parts of its prompt that other requests may share.
    has_begun : bool
        Whether the upstream had begun to answer it.
    at : float
    """

    request: str
    digest: str
    parts: tuple[str, ...]
    has_begun: bool
    at: float


class CrashSuspects:
    """Counts the upstreams that crashed while they were running each request.

    Upstreams are counted by incarnation, as one that restarts under its id can crash again.

    A request can crash every upstream that starts it, and its caller retries it. Without a limit it
    crashes one upstream of the fleet after another. An interrupted answer alone is no crash: the
    requests that were interrupted at an upstream count only if it is then found to be down.
    """

    def __init__(self):
        self._interrupted: dict[str, list[Interruption]] = {}
        self._crashed: dict[str, tuple[float, frozenset[str]]] = {}

    def record_interruption(self, interruption: Interruption, incarnation: str) -> None:
        """Record that a request was interrupted at an upstream."""
        self._interrupted.setdefault(incarnation, []).append(interruption)

    def record_down(self, incarnation: str, now: float) -> list[Interruption]:
        """Record that an upstream is down: it refuses connections, or its entry was deleted.

        Returns
        -------
        list of Interruption
            The requests that were interrupted there within ``CRASH_DETECTION_S``.
        """
        interrupted = self._interrupted.pop(incarnation, [])
        found = [item for item in interrupted if now - item.at <= CRASH_DETECTION_S]
        for item in found:
            self.record_crash(item.digest, incarnation, now)
        return found

    def record_crash(self, digest: str, incarnation: str, now: float) -> None:
        """Record that a request was running at an upstream that crashed."""
        _, ids = self._crashed.get(digest, (now, frozenset()))
        self._crashed[digest] = (now, ids | {incarnation})

    def crashes(self, digest: str) -> int:
        """Return the number of upstreams that crashed while they were running a request."""
        return len(self._crashed.get(digest, (0.0, frozenset()))[1])

    def is_refused(self, digest: str, now: float, explained: Collection[str] = frozenset()) -> bool:
        """Return whether a request must not be sent to another upstream.

        Parameters
        ----------
        explained : collection of str
            Upstreams, by incarnation, that crashed for a known cause beside the request.
        """
        self._forget(now)
        _, incarnations = self._crashed.get(digest, (0.0, frozenset()))
        return len(incarnations.difference(explained)) >= MIN_CRASHES

    def _forget(self, now: float) -> None:
        old = [digest for digest, (at, _) in self._crashed.items() if at < now - SUSPICION_EXPIRY_S]
        for digest in old:
            del self._crashed[digest]
        for incarnation, breaks in list(self._interrupted.items()):
            if breaks[-1].at < now - CRASH_DETECTION_S:
                del self._interrupted[incarnation]
