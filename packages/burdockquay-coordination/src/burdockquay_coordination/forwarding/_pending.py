"""Prompt tokens and requests that are pending at an upstream."""

from __future__ import annotations

from collections import OrderedDict

import attrs

PEER_LOAD_EXPIRY_S = 2.5
"""Age at which the load of another process is dropped, seconds. A live process sends its load every
second; the requests of a terminated one end with it."""


@attrs.frozen
class LoadShare:
    """Load of one process at one upstream.

    Parameters
    ----------
    tokens : int
        Tokens of prompts whose first answer token has not arrived.
    running : int
        Number of requests.
    """

    tokens: int
    running: int


NO_LOAD = LoadShare(0, 0)
"""Load of a process that has no requests at an upstream."""


class PendingPrompts:
    """Pending prompts of this process and its peers at one upstream.

    A decision reads the sums of all candidate upstreams, many thousand times per second under load,
    so they are maintained incrementally.
    """

    def __init__(self):
        self._own_requests: dict[str, tuple[int, float]] = {}
        self._own_tokens = 0
        # In order of arrival, the oldest first.
        self._peers: OrderedDict[str, tuple[LoadShare, float]] = OrderedDict()
        self._peer_tokens = 0
        self._peer_running = 0

    @property
    def own_tokens(self) -> int:
        """Prompt tokens of this process."""
        return self._own_tokens

    def add(self, call: str, tokens: int, now: float) -> None:
        """Record that a request was sent."""
        self.remove(call)
        self._own_requests[call] = (tokens, now)
        self._own_tokens += tokens

    def remove(self, call: str) -> None:
        """Record the first token of a request, or its end."""
        tokens, _ = self._own_requests.pop(call, (0, 0.0))
        self._own_tokens -= tokens

    def receive_update(self, peer: str, share: LoadShare, now: float) -> None:
        """Set the load of another process."""
        self._forget(peer)
        if share.tokens or share.running:
            self._peers[peer] = (share, now)
            self._peer_tokens += share.tokens
            self._peer_running += share.running

    def tokens(self, now: float) -> int:
        """Return the pending prompt tokens of all processes."""
        self._drop_expired(now)
        return self._own_tokens + self._peer_tokens

    def running_elsewhere(self, now: float) -> int:
        """Return the number of requests of the other processes."""
        self._drop_expired(now)
        return self._peer_running

    def oldest_s(self, now: float) -> float:
        """Return the age of this process's oldest request without a first token, seconds."""
        # Requests are kept in the order in which they were sent.
        for _, at in self._own_requests.values():
            return now - at
        return 0.0

    def _forget(self, peer: str) -> None:
        share, _ = self._peers.pop(peer, (NO_LOAD, 0.0))
        self._peer_tokens -= share.tokens
        self._peer_running -= share.running

    def _drop_expired(self, now: float) -> None:
        while self._peers:
            peer, (_, at) = next(iter(self._peers.items()))
            if at >= now - PEER_LOAD_EXPIRY_S:
                return
            self._forget(peer)
