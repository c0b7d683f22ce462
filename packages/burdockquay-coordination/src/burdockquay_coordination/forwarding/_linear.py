"""A linear model of the newest samples, and the deviation of one upstream from it."""

from __future__ import annotations

SAMPLE_DECAY = 0.98
"""Factor on the weight of a sample with each further one: about the last fifty count."""

MAX_SAMPLE_RATIO = 4.0
"""Largest ratio of a sample to its prediction; larger samples are capped. A single request that was
delayed by a crash or a full batch must not double the estimate for all."""

MAX_SLOPE_RATIO = 50.0
"""Largest ratio between the estimated and the initial slope, in both directions."""

FACTOR_WEIGHT = 0.15
"""Weight of the newest sample in the speed factor of one upstream."""

FACTOR_RANGE = (0.5, 6.0)
"""Smallest and largest speed factor of one upstream."""

FACTOR_HALF_LIFE_S = 10.0
"""Half-life of the distance of a speed factor from 1 while there are no samples, seconds, so that
an upstream that was slow is tried again."""


class LinearModel:
    """Linear model of a time over one variable, fitted by weighted least squares.

    Parameters
    ----------
    offset : float
        Initial value of the time where the variable is 0, seconds.
    slope : float
        Initial value of the time that each unit of the variable adds, seconds.
    span : float
        A usual value of the variable, which determines the weight of the initial values.

    Examples
    --------
    >>> model = LinearModel(0.03, 1 / 50_000, 5000)
    >>> for tokens in [1000, 4000, 9000] * 60:
    ...     model.add_sample(tokens, 0.05 + tokens / 100_000)
    >>> round(model.predict(5000), 2)
    0.1
    """

    def __init__(self, offset: float, slope: float, span: float):
        self.offset = offset
        self.slope = slope
        self.span = span
        self._bounds = (slope / MAX_SLOPE_RATIO, slope * MAX_SLOPE_RATIO)
        # Weighted sums of 1, x, y, x*x, x*y, with two artificial samples on the initial line.
        self._sums = [0.0] * 5
        for x in (0.0, span):
            self._add(x, self.predict(x))

    def predict(self, x: float) -> float:
        """Return the time at ``x``, seconds."""
        return self.offset + x * self.slope

    def add_sample(self, x: float, seconds: float) -> None:
        """Update the model with a sample."""
        seconds = min(seconds, MAX_SAMPLE_RATIO * self.predict(x))
        self._sums = [value * SAMPLE_DECAY for value in self._sums]
        self._add(x, seconds)
        count, sum_x, sum_y, sum_xx, sum_xy = self._sums
        spread = count * sum_xx - sum_x * sum_x
        # Samples with (almost) the same x determine one point of the line, not its slope.
        if spread > 1e-6 * count * sum_xx:
            slope = (count * sum_xy - sum_x * sum_y) / spread
            self.slope = min(max(slope, self._bounds[0]), self._bounds[1])
        self.offset = max(0.001, (sum_y - self.slope * sum_x) / count)

    def _add(self, x: float, y: float) -> None:
        for position, value in enumerate((1.0, x, y, x * x, x * y)):
            self._sums[position] += value


class SpeedFactor:
    """Ratio of the times of one upstream to those of the others of its service."""

    def __init__(self):
        self._factor = 1.0
        self._at = 0.0

    def value(self, now: float) -> float:
        """Return the factor, which decays to 1 while there are no samples."""
        if self._factor == 1.0:
            return 1.0
        return 1 + (self._factor - 1) * 0.5 ** ((now - self._at) / FACTOR_HALF_LIFE_S)

    def add_sample(self, ratio: float, now: float) -> None:
        """Update the factor with the ratio of a time to the prediction of the common model."""
        low, high = FACTOR_RANGE
        known = self.value(now)
        self._factor = known + FACTOR_WEIGHT * (min(max(ratio, low), high) - known)
        self._at = now
