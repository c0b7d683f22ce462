"""Loss rate of the upstreams of a service, and whether copies of their memory are worthwhile."""

from __future__ import annotations

from collections import deque

WINDOW_S = 5.0
"""Time for which losses count, seconds: upstreams fail at once or shortly after each other, and a
period without failures after that says nothing of them."""

COPY_COST_SHARE = 0.05
"""Cost of a copy of a stream's memory, as a share of the cost of losing the stream: a stream gets a
copy if it loses its upstream at least with this probability. The copy occupies memory at a second
upstream and time on the links of both, which delays other prompts."""


class LossRate:
    """Counts the upstreams of one service that went down recently.

    Examples
    --------
    >>> losses = LossRate()
    >>> losses.record_loss("a@1", 10.0)
    >>> losses.is_copy_worthwhile(answer_s=2.0, upstreams=5, now=11.0)
    True
    >>> losses.is_copy_worthwhile(answer_s=2.0, upstreams=5, now=20.0)
    False
    """

    def __init__(self):
        self._lost: deque[tuple[str, float]] = deque()

    def record_loss(self, incarnation: str, now: float) -> None:
        """Record that an upstream went down; each incarnation counts once."""
        self._forget(now)
        if all(known != incarnation for known, _ in self._lost):
            self._lost.append((incarnation, now))

    def is_copy_worthwhile(self, answer_s: float, upstreams: int, now: float) -> bool:
        """Return whether a stream is likely enough to lose its upstream to get a copy.

        Parameters
        ----------
        answer_s : float
            Predicted time of the answer, seconds.
        upstreams : int
            Number of upstreams of the service.
        now : float
        """
        self._forget(now)
        rate = len(self._lost) / (max(upstreams, 1) * WINDOW_S)
        return rate * answer_s >= COPY_COST_SHARE

    def _forget(self, now: float) -> None:
        while self._lost and self._lost[0][1] < now - WINDOW_S:
            self._lost.popleft()
