"""How urgent a request is at an upstream: by its priority, and short before long."""

from __future__ import annotations

from collections.abc import Iterable

URGENCY_LEVELS = 10
"""Urgencies that an upstream tells apart; 0 is the first."""

SHORT_SHARE = 0.1
"""Part of the tightest target of a service up to which the reading of a prompt is short. Each such
prompt makes the others wait a tenth of the tightest target longer at most."""


class UrgencyScale:
    """Levels of urgency for upstreams.

    Upstreams read prompts of one level in the order they came. In a burst of long prompts the short
    ones then wait for the long ones, miss their targets, and gain the long ones next to nothing. So
    each rank has two levels as far as there are enough, the more urgent ranks first; the first
    level of a rank is for short prompts.

    Parameters
    ----------
    ranks : iterable of int
        All that requests may have; 0 is the most urgent.

    Examples
    --------
    >>> scale = UrgencyScale([0, 1])
    >>> scale.level(0, is_short=False), scale.level(1, is_short=True)
    (1, 2)
    """

    def __init__(self, ranks: Iterable[int]):
        # The levels do not depend on which ranks there are, but on the highest one alone: a new
        # rank then does not move the others while processes change over one by one, unless it takes
        # a second level from them.
        count = max(ranks, default=0) + 1
        self._ranks_with_two_levels = max(0, min(count, URGENCY_LEVELS - count))

    def level(self, rank: int, is_short: bool) -> int:
        """Return the level of a request.

        Parameters
        ----------
        rank : int
        is_short : bool
            Whether its prompt is read in a short time; false for requests without a prompt.
        """
        level = (
            2 * rank + (not is_short)
            if rank < self._ranks_with_two_levels
            else rank + self._ranks_with_two_levels
        )
        return min(max(level, 0), URGENCY_LEVELS - 1)
