"""How long an upstream takes to the first token, learned from what callers see."""

from __future__ import annotations

FIRST_S = 0.03
"""First guess of the time to the first token of an empty prompt, seconds."""

TOKEN_S = 1 / 50_000
"""First guess of the time to read one token, seconds: of the order of present accelerators. A wrong
guess is forgotten after some thirty requests."""

MEMORY = 0.98
"""Weight that a sample keeps with each further one: the last fifty or so count."""

MAX_RATIO = 4.0
"""Largest ratio of a sample to its prediction that is learned from at once. A single request that
met a crash or a full batch must not double the estimate of all."""

FACTOR_WEIGHT = 0.15
"""Weight of the newest sample in the factor of one upstream."""

FACTOR_RANGE = (0.5, 6.0)
"""Smallest and largest factor of one upstream."""

FACTOR_HALF_LIFE_S = 10.0
"""Time in which the factor of an upstream without samples halves its distance to 1, seconds, so
that one that was slow is tried again."""


class PrefillModel:
    """Time to the first token as a line over the prompt tokens that are read until then.

    Parameters
    ----------
    first_s : float
        Time for no tokens, seconds.
    token_s : float
        Time for each token, seconds.

    Examples
    --------
    >>> model = PrefillModel()
    >>> for tokens in [1000, 4000, 9000] * 60:
    ...     model.learn(tokens, 0.05 + tokens / 100_000)
    >>> round(model.predict(5000), 2)
    0.1
    """

    def __init__(self, first_s: float = FIRST_S, token_s: float = TOKEN_S):
        self.first_s = first_s
        self.token_s = token_s
        # Weighted sums of 1, x, y, x*x, x*y; they begin with two made-up samples on the first line.
        self._sums = [0.0] * 5
        for tokens in (0.0, 5000.0):
            self._add(tokens, first_s + tokens * token_s)

    def predict(self, tokens: float) -> float:
        """Return the time to the first token, seconds.

        Parameters
        ----------
        tokens : float
            Prompt tokens that are read before it: those of others ahead and the request's own.
        """
        return self.first_s + tokens * self.token_s

    def learn(self, tokens: float, seconds: float) -> None:
        """Take in how long a request took."""
        seconds = min(seconds, MAX_RATIO * self.predict(tokens))
        self._sums = [value * MEMORY for value in self._sums]
        self._add(tokens, seconds)
        count, x, y, xx, xy = self._sums
        spread = count * xx - x * x
        # Samples of one size only tell a point of the line, not its slope.
        if spread > 1e-6 * count * xx:
            slope = (count * xy - x * y) / spread
            self.token_s = min(max(slope, TOKEN_S / 50), TOKEN_S * 50)
        self.first_s = max(0.001, (y - self.token_s * x) / count)

    def _add(self, x: float, y: float) -> None:
        for position, value in enumerate((1.0, x, y, x * x, x * y)):
            self._sums[position] += value


class SpeedFactor:
    """How much slower one upstream is than the others of its service."""

    def __init__(self):
        self._factor = 1.0
        self._at = 0.0

    def value(self, now: float) -> float:
        """Return the factor, which fades to 1 while nothing is heard."""
        return 1 + (self._factor - 1) * 0.5 ** ((now - self._at) / FACTOR_HALF_LIFE_S)

    def learn(self, ratio: float, now: float) -> None:
        """Take in the ratio of a time to what the common line predicts."""
        low, high = FACTOR_RANGE
        known = self.value(now)
        self._factor = known + FACTOR_WEIGHT * (min(max(ratio, low), high) - known)
        self._at = now
