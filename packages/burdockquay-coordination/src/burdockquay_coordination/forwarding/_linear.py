"""A line through the newest samples, and how far one upstream is off it."""

from __future__ import annotations

SAMPLE_DECAY = 0.98
"""Weight that a sample keeps with each further one: the last fifty or so count."""

MAX_SAMPLE_RATIO = 4.0
"""Largest ratio of a sample to its prediction that is learned from at once. A single request that
met a crash or a full batch must not double the estimate of all."""

SLOPE_RANGE = 50.0
"""Largest ratio between the learned and the first slope, either way."""

FACTOR_WEIGHT = 0.15
"""Weight of the newest sample in the factor of one upstream."""

FACTOR_RANGE = (0.5, 6.0)
"""Smallest and largest factor of one upstream."""

FACTOR_HALF_LIFE_S = 10.0
"""Time in which the factor of an upstream without samples halves its distance to 1, seconds, so
that one that was slow is tried again."""


class LinearModel:
    """A time as a line over one figure, learned by weighted least squares.

    Parameters
    ----------
    offset : float
        First guess of the time where the figure is 0, seconds.
    slope : float
        First guess of what each unit of the figure adds, seconds.
    span : float
        A usual figure, which says how much the first guess weighs.

    Examples
    --------
    >>> model = LinearModel(0.03, 1 / 50_000, 5000)
    >>> for tokens in [1000, 4000, 9000] * 60:
    ...     model.learn(tokens, 0.05 + tokens / 100_000)
    >>> round(model.predict(5000), 2)
    0.1
    """

    def __init__(self, offset: float, slope: float, span: float):
        self.offset = offset
        self.slope = slope
        self.span = span
        self._bounds = (slope / SLOPE_RANGE, slope * SLOPE_RANGE)
        # Weighted sums of 1, x, y, x*x, x*y; they begin with two made-up samples on the first line.
        self._sums = [0.0] * 5
        for x in (0.0, span):
            self._add(x, self.predict(x))

    def predict(self, x: float) -> float:
        """Return the time for a figure, seconds."""
        return self.offset + x * self.slope

    def learn(self, x: float, seconds: float) -> None:
        """Take in a sample."""
        seconds = min(seconds, MAX_SAMPLE_RATIO * self.predict(x))
        self._sums = [value * SAMPLE_DECAY for value in self._sums]
        self._add(x, seconds)
        count, sum_x, sum_y, sum_xx, sum_xy = self._sums
        spread = count * sum_xx - sum_x * sum_x
        # Samples of one size only tell a point of the line, not its slope.
        if spread > 1e-6 * count * sum_xx:
            slope = (count * sum_xy - sum_x * sum_y) / spread
            self.slope = min(max(slope, self._bounds[0]), self._bounds[1])
        self.offset = max(0.001, (sum_y - self.slope * sum_x) / count)

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
