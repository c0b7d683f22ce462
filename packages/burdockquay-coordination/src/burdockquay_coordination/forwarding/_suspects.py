"""Requests that seem to crash the upstreams that run them."""

from __future__ import annotations

SUSPICION_EXPIRY_S = 60.0
"""How long a suspicion is kept after its newest crash, seconds."""

MIN_CRASHES = 2
"""Upstreams that must have gone down under a request before it is refused. One is not enough: all
that ran beside the culprit broke off too."""

CRASH_DETECTION_S = 3.0
"""Longest time between the break of an answer and the sign that the upstream is down, seconds. The
next connection to it usually tells within a second."""


class CrashSuspects:
    """Counts on how many upstreams each request was running when they went down.

    An upstream that starts again under its id can go down once more, so that incarnations count.

    A request can crash every upstream that starts it, and its caller sends it again. Without a
    limit it takes the fleet down one upstream after another. An answer that breaks off is no crash
    by itself: only if the upstream is then found to be down do the requests that broke there count.
    """

    def __init__(self):
        self._interrupted: dict[str, list[tuple[float, str]]] = {}
        self._crashed: dict[str, tuple[float, frozenset[str]]] = {}

    def note_break(self, digest: str, incarnation: str, now: float) -> None:
        """Note that an upstream broke off a request."""
        self._interrupted.setdefault(incarnation, []).append((now, digest))

    def note_down(self, incarnation: str, now: float) -> list[str]:
        """Note that an upstream is down: it refuses connections, or its entry is gone.

        Returns
        -------
        list of str
            Digests of the requests that broke off there a short time ago.
        """
        broken = self._interrupted.pop(incarnation, [])
        digests = [digest for at, digest in broken if now - at <= CRASH_DETECTION_S]
        for digest in digests:
            self.note_crash(digest, incarnation, now)
        return digests

    def note_crash(self, digest: str, incarnation: str, now: float) -> None:
        """Note that a request was running at an upstream that went down."""
        _, ids = self._crashed.get(digest, (now, frozenset()))
        self._crashed[digest] = (now, ids | {incarnation})

    def crashes(self, digest: str) -> int:
        """Return how many upstreams went down under a request."""
        return len(self._crashed.get(digest, (0.0, frozenset()))[1])

    def is_refused(self, digest: str, now: float) -> bool:
        """Return whether a request must not be sent to one more upstream."""
        self._forget(now)
        return self.crashes(digest) >= MIN_CRASHES

    def _forget(self, now: float) -> None:
        old = [digest for digest, (at, _) in self._crashed.items() if at < now - SUSPICION_EXPIRY_S]
        for digest in old:
            del self._crashed[digest]
        for incarnation, breaks in list(self._interrupted.items()):
            if breaks[-1][0] < now - CRASH_DETECTION_S:
                del self._interrupted[incarnation]
