"""Prompt tokens that wait to be read at an upstream."""

from __future__ import annotations

from collections import OrderedDict

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


NO_LOAD = LoadShare(0, 0)
"""What a process has at an upstream where it has nothing."""


class PendingPrompts:
    """What is under way at one upstream, of this process and of its peers.

    A decision asks for the sums of all upstreams that it looks at, many thousand times in a second
    under load, so they are kept and not added up anew at each question.
    """

    def __init__(self):
        self._own: dict[str, tuple[int, float]] = {}
        self._own_tokens = 0
        # In the order in which they were heard, the oldest first.
        self._peers: OrderedDict[str, tuple[LoadShare, float]] = OrderedDict()
        self._peer_tokens = 0
        self._peer_running = 0

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
        self._forget(peer)
        if share.tokens or share.running:
            self._peers[peer] = (share, now)
            self._peer_tokens += share.tokens
            self._peer_running += share.running

    def tokens(self, now: float) -> int:
        """Return the prompt tokens of all processes."""
        self._drop_old(now)
        return self._own_tokens + self._peer_tokens

    def running_elsewhere(self, now: float) -> int:
        """Return the requests of the other processes."""
        self._drop_old(now)
        return self._peer_running

    def oldest_s(self, now: float) -> float:
        """Return the age of the request that has waited longest for its first token, seconds."""
        # Requests are kept in the order they were sent.
        for _, at in self._own.values():
            return now - at
        return 0.0

    def _forget(self, peer: str) -> None:
        share, _ = self._peers.pop(peer, (NO_LOAD, 0.0))
        self._peer_tokens -= share.tokens
        self._peer_running -= share.running

    def _drop_old(self, now: float) -> None:
        while self._peers:
            peer, (_, at) = next(iter(self._peers.items()))
            if at >= now - PEER_KEEP_S:
                return
            self._forget(peer)
