"""Model of the time that engines take to a first token, estimated from the observed answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from ._linear import MAX_SAMPLE_RATIO

OFFSET_WEIGHT = 0.04
"""Weight of the newest sample in the offset: about the last twenty-five count."""

SAMPLES_PER_SIZE = 40
"""Number of newest prompts of each size, short and long, that the slope is estimated from: some
seconds of a busy process."""

MIN_SAMPLES = 5
"""Number of prompts from which on estimates replace the initial values."""

FAST_QUANTILE = 0.1
"""Share of the prompts that are assumed to be read without a wait. With a much smaller one, the
estimate would follow prompts that were cached without this process knowing."""

LONG_PROMPT_TOKENS = 1000
"""Prompt tokens from which on a prompt counts for the slope. Shorter ones show the time that each
prompt takes whatever its length, mostly the generation of the first event."""

MIN_READING_SHARE = 0.25
"""Least share of the fastest first tokens of long prompts that is reading. Without this limit the
slope approaches zero when short prompts wait too."""

MAX_READING_SLOPE_RATIO = 10.0
"""Largest ratio between the estimated and the initial slope, in both directions: no accelerator in
use reads outside this range."""


class FirstTokenModel:
    """Linear model of the time to a first token over the prompt tokens that are read before it.

    A prompt also waits for a place, for memory and for the answers that are generated meanwhile.
    Under load these waits are many times the reading time, and loads of other processes are out of
    date. A line fitted to all samples therefore becomes flat: reading seems to take no time, all
    prompts are sent at once as short ones, and engines run twice as many requests as they have
    places. But no first token arrives before its own prompt is read. So the slope is estimated from
    the prompts that were read fastest, less the time of short prompts, and all other time goes into
    the offset.

    Parameters
    ----------
    offset : float
        Initial value of the time where nothing is read, seconds.
    slope : float
        Initial value of the time that each token adds, seconds.

    Examples
    --------
    >>> model = FirstTokenModel(0.03, 1 / 50_000)
    >>> for wait_s in [0.0, 0.3, 0.8, 2.0] * 10:
    ...     model.record_own_reading(0, 0.1 + wait_s)
    ...     model.record_own_reading(5000, 0.1 + 5000 / 40_000 + wait_s)
    >>> round(1 / model.slope)
    40000
    """

    def __init__(self, offset: float, slope: float):
        self.offset = offset
        self.slope = slope
        self._bounds = (slope / MAX_READING_SLOPE_RATIO, slope * MAX_READING_SLOPE_RATIO)
        self._fixed_s = offset
        self._short_s: deque[float] = deque(maxlen=SAMPLES_PER_SIZE)
        self._slopes: deque[float] = deque(maxlen=SAMPLES_PER_SIZE)

    def predict(self, tokens: float) -> float:
        """Return the time to a first token after the given number of prompt tokens, seconds."""
        return self.offset + tokens * self.slope

    def add_sample(self, tokens: float, seconds: float) -> None:
        """Update the offset with the time of a first token after the given number of tokens."""
        seconds = min(seconds, MAX_SAMPLE_RATIO * self.predict(tokens))
        rest_s = seconds - tokens * self.slope
        self.offset = max(0.001, self.offset + OFFSET_WEIGHT * (rest_s - self.offset))

    def record_own_reading(self, own_tokens: float, seconds: float) -> None:
        """Update the slope with the time of a first token and the tokens of its own prompt.

        Prompts that overtake others count too: if the slope is too low, all prompts are considered
        short.
        """
        if own_tokens < LONG_PROMPT_TOKENS:
            self._short_s.append(seconds)
            self._fixed_s = _low_quantile(self._short_s, self._fixed_s)
            return
        reading_s = max(seconds - self._fixed_s, MIN_READING_SHARE * seconds)
        self._slopes.append(reading_s / own_tokens)
        low, high = self._bounds
        self.slope = min(max(_low_quantile(self._slopes, self.slope), low), high)


def _low_quantile(samples: Collection[float], known: float) -> float:
    """Return the ``FAST_QUANTILE`` of the samples, or the known value if there are too few."""
    if len(samples) < MIN_SAMPLES:
        return known
    return sorted(samples)[int(FAST_QUANTILE * len(samples))]
