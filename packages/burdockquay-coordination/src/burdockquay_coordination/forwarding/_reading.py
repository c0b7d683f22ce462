"""How long engines take to a first token, learned from what callers see."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection

from ._linear import MAX_SAMPLE_RATIO

OFFSET_WEIGHT = 0.04
"""Weight of the newest sample in the offset: the last twenty-five or so count."""

SAMPLES_PER_SIZE = 40
"""Prompts of each size that the slope is taken from, the newest ones: some seconds of a busy
process."""

MIN_SAMPLES = 5
"""Prompts from which on figures are taken from them and not from the first guess."""

FAST_QUANTILE = 0.1
"""Part of the prompts that count as read without a wait. A much smaller one would follow prompts
that were in memory although this process did not know."""

LONG_PROMPT_TOKENS = 1000
"""Prompt tokens from which on a prompt tells the slope. Shorter ones tell what each prompt takes
whatever its length, mostly the writing of the first event."""

MIN_READING_SHARE = 0.25
"""Part of the fastest first tokens of long prompts that is reading at least. Without this limit the
slope goes to nothing when short prompts wait too."""

SLOPE_RANGE = 10.0
"""Largest ratio between the learned and the first slope, either way: no accelerator in use reads
outside it."""


class FirstTokenModel:
    """The time to a first token as a line over the prompt tokens that are read before it.

    A prompt also waits for a place, for memory and for the answers that are written beside it.
    Under load these waits are many times the reading, and figures of other processes are out of
    date, so that a line fitted to all samples becomes flat: nothing seems to take time to read,
    all prompts are sent at once as short ones, and engines run twice what they have places for.
    But no first token comes before its own prompt is read. So the slope is that of the prompts that
    were read fastest, less what short prompts take, and all other time is in the offset.

    Parameters
    ----------
    offset : float
        First guess of the time where nothing is read, seconds.
    slope : float
        First guess of what each token adds, seconds.

    Examples
    --------
    >>> line = FirstTokenModel(0.03, 1 / 50_000)
    >>> for wait_s in [0.0, 0.3, 0.8, 2.0] * 10:
    ...     line.note_read(0, 0.1 + wait_s)
    ...     line.note_read(5000, 0.1 + 5000 / 40_000 + wait_s)
    >>> round(1 / line.slope)
    40000
    """

    def __init__(self, offset: float, slope: float):
        self.offset = offset
        self.slope = slope
        self._bounds = (slope / SLOPE_RANGE, slope * SLOPE_RANGE)
        self._fixed_s = offset
        self._short_s: deque[float] = deque(maxlen=SAMPLES_PER_SIZE)
        self._slopes: deque[float] = deque(maxlen=SAMPLES_PER_SIZE)

    def predict(self, tokens: float) -> float:
        """Return the time to a first token behind so many tokens, seconds."""
        return self.offset + tokens * self.slope

    def learn(self, tokens: float, seconds: float) -> None:
        """Take in how long a first token took behind so many tokens."""
        seconds = min(seconds, MAX_SAMPLE_RATIO * self.predict(tokens))
        rest_s = seconds - tokens * self.slope
        self.offset = max(0.001, self.offset + OFFSET_WEIGHT * (rest_s - self.offset))

    def note_read(self, own_tokens: float, seconds: float) -> None:
        """Take in how long a first token took behind the reading of its own prompt.

        Prompts that overtake others count too: a slope that is too low takes all for such.
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
    """Return the figure below which the fast part of the samples is, or the known one at first."""
    if len(samples) < MIN_SAMPLES:
        return known
    return sorted(samples)[int(FAST_QUANTILE * len(samples))]
