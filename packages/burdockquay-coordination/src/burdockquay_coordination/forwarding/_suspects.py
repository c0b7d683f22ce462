"""Requests that seem to crash the upstreams that run them."""

from __future__ import annotations

KEEP_S = 60.0
"""How long a suspicion is kept after its newest crash, seconds."""

CRASHES = 2
"""Upstreams that must have gone down under a request before it is refused. One is not enough: all
that ran beside the culprit broke off too."""


class CrashSuspects:
    """Counts on how many upstreams each request was running when they went down.

    A request can crash every upstream that starts it, and its caller sends it again. Without a
    limit it takes the fleet down one upstream after another.
    """

    def __init__(self):
        self._seen: dict[str, tuple[float, frozenset[str]]] = {}

    def note_crash(self, digest: str, upstream_id: str, now: float) -> None:
        """Note that an upstream went down while it ran a request."""
        self._forget(now)
        _, ids = self._seen.get(digest, (now, frozenset()))
        self._seen[digest] = (now, ids | {upstream_id})

    def crashes(self, digest: str) -> int:
        """Return how many upstreams went down under a request."""
        return len(self._seen.get(digest, (0.0, frozenset()))[1])

    def is_refused(self, digest: str, now: float) -> bool:
        """Return whether a request must not be sent to one more upstream."""
        self._forget(now)
        return self.crashes(digest) >= CRASHES

    def _forget(self, now: float) -> None:
        old = [digest for digest, (at, _) in self._seen.items() if at < now - KEEP_S]
        for digest in old:
            del self._seen[digest]
