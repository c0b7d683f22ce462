"""Urgency levels of requests at an upstream: by priority, and short prompts before long ones."""

from __future__ import annotations

from collections.abc import Iterable

URGENCY_LEVELS = 10
"""Number of urgency levels that an upstream distinguishes; level 0 is read first."""

SHORT_READING_SHARE = 0.1
"""Share of the tightest target of a service up to which the reading time of a prompt is short. Each
such prompt delays the others by a tenth of the tightest target at most."""


class UrgencyScale:
    """Maps ranks of requests to urgency levels of upstreams.

    Upstreams read prompts of one level in order of arrival. In a burst of long prompts, short ones
    would wait for the long ones and miss their targets, while the long ones gain almost nothing. So
    each rank has two levels as far as there are enough, the more urgent ranks first; the first
    level of a rank is for short prompts.

    Parameters
    ----------
    ranks : iterable of int
        All ranks that requests may have; 0 is the most urgent.

    Examples
    --------
    >>> scale = UrgencyScale([0, 1])
    >>> scale.level(0, is_short=False), scale.level(1, is_short=True)
    (1, 2)
    """

    def __init__(self, ranks: Iterable[int]):
        # The levels depend on the highest rank alone and not on which ranks exist. So a new rank
        # does not move the others while processes apply the configuration one by one, unless it
        # takes a second level from them.
        count = max(ranks, default=0) + 1
        self._ranks_with_two_levels = max(0, min(count, URGENCY_LEVELS - count))

    def level(self, rank: int, is_short: bool) -> int:
        """Return the urgency level of a request.

        Parameters
        ----------
        rank : int
        is_short : bool
            Whether the reading time of its prompt is short; false for requests without a prompt.
        """
        level = (
            2 * rank + (not is_short)
            if rank < self._ranks_with_two_levels
            else rank + self._ranks_with_two_levels
        )
        return min(max(level, 0), URGENCY_LEVELS - 1)
