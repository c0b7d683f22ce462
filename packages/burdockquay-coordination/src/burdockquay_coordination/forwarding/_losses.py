"""How often the upstreams of a service go down, and whether copies of their memory pay."""

from __future__ import annotations

from collections import deque

WINDOW_S = 5.0
"""Time over which losses count, seconds: upstreams go down together or soon after each other, and
the next calm minute says nothing of them."""

COPY_COST_SHARE = 0.05
"""Part of what a stream is worth that a copy of its memory costs: it takes memory at a second
upstream and time on the links of both, which other prompts wait for."""


class LossRate:
    """Counts the upstreams of one service that went down a short time ago.

    Examples
    --------
    >>> losses = LossRate()
    >>> losses.note("a@1", 10.0)
    >>> losses.copies_pay(answer_s=2.0, upstreams=5, now=11.0)
    True
    >>> losses.copies_pay(answer_s=2.0, upstreams=5, now=20.0)
    False
    """

    def __init__(self):
        self._lost: deque[tuple[str, float]] = deque()

    def note(self, incarnation: str, now: float) -> None:
        """Note that an upstream went down; each incarnation counts once."""
        self._forget(now)
        if all(known != incarnation for known, _ in self._lost):
            self._lost.append((incarnation, now))

    def copies_pay(self, answer_s: float, upstreams: int, now: float) -> bool:
        """Return whether a stream is so likely to lose its upstream that it gets a copy.

        Parameters
        ----------
        answer_s : float
            Predicted time of the answer, seconds.
        upstreams : int
            Of the service.
        now : float
        """
        self._forget(now)
        rate = len(self._lost) / (max(upstreams, 1) * WINDOW_S)
        return rate * answer_s >= COPY_COST_SHARE

    def _forget(self, now: float) -> None:
        while self._lost and self._lost[0][1] < now - WINDOW_S:
            self._lost.popleft()
