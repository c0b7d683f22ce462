"""Prompt tokens that wait to be read at an upstream."""

from __future__ import annotations

import attrs

PEER_KEEP_S = 2.5
"""Age at which the figures of another process are dropped, seconds. It says something every second
while it lives; its requests end with it."""


@attrs.frozen
class LoadShare:
    """What one process has at one upstream.

    Parameters
    ----------
    tokens : int
        Prompt tokens whose first answer token has not come.
    running : int
        Requests.
    """

    tokens: int
    running: int


class PendingPrompts:
    """What is under way at one upstream, of this process and of its peers."""

    def __init__(self):
        self._own: dict[str, tuple[int, float]] = {}
        self._own_tokens = 0
        self._peers: dict[str, tuple[LoadShare, float]] = {}

    @property
    def own_tokens(self) -> int:
        """Prompt tokens of this process."""
        return self._own_tokens

    def add(self, call: str, tokens: int, now: float) -> None:
        """Note that a request was sent."""
        self.remove(call)
        self._own[call] = (tokens, now)
        self._own_tokens += tokens

    def remove(self, call: str) -> None:
        """Note the first token of a request, or its end."""
        tokens, _ = self._own.pop(call, (0, 0.0))
        self._own_tokens -= tokens

    def hear(self, peer: str, share: LoadShare, now: float) -> None:
        """Take over the figures of another process."""
        self._peers[peer] = (share, now)

    def tokens(self, now: float) -> int:
        """Return the prompt tokens of all processes."""
        return self._own_tokens + sum(share.tokens for share in self._shares(now))

    def running_elsewhere(self, now: float) -> int:
        """Return the requests of the other processes."""
        return sum(share.running for share in self._shares(now))

    def oldest_s(self, now: float) -> float:
        """Return the age of the request that has waited longest for its first token, seconds."""
        return max((now - at for _, at in self._own.values()), default=0.0)

    def _shares(self, now: float) -> list[LoadShare]:
        old = [peer for peer, (_, at) in self._peers.items() if at < now - PEER_KEEP_S]
        for peer in old:
            del self._peers[peer]
        return [share for share, _ in self._peers.values()]
