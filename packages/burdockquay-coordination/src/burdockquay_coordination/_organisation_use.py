"""Detection of organisations that use more of the upstreams than their weighted share."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import ClassVar

import attrs

from burdockquay_state import Constraint, Interval, check_parameters


@attrs.define
class _Use:
    tokens: float = 0.0
    at: float = 0.0


class OrganisationUse:
    """Exponentially decayed count of generated tokens by organisation, over all classes.

    Parameters
    ----------
    factor : float
        An organisation is over its share above this multiple of the fraction that its weight gives
        it among the organisations with recent usage.
    slack_tokens : float
        Additional tokens that every organisation may use, so that a few long answers of a small
        organisation do not exceed its share.
    window_s : float
        Time constant of the decay, seconds.

    Examples
    --------
    >>> use = OrganisationUse(factor=2.0, slack_tokens=0.0)
    >>> for name, tokens in (("a", 10), ("b", 10), ("c", 80)):
    ...     use.charge(name, tokens, now=0.0)
    >>> [name for name in "abc" if use.is_over(name, {}, now=0.0)]
    ['c']
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "factor": [Interval(float, 1.0)],
        "slack_tokens": [Interval(float, 0.0)],
        "window_s": [Interval(float, 0.001)],
    }

    def __init__(self, factor: float = 1.5, slack_tokens: float = 100.0, window_s: float = 5.0):
        self.factor = factor
        self.slack_tokens = slack_tokens
        self.window_s = window_s
        check_parameters(self)
        self._uses: dict[str, _Use] = {}

    def charge(self, organisation: str, tokens: float, now: float) -> None:
        """Add generated tokens."""
        use = self._uses.setdefault(organisation, _Use(at=now))
        use.tokens = self._decayed(use, now) + tokens
        use.at = now

    def is_over(self, organisation: str, weights: Mapping[str, float], now: float) -> bool:
        """Return whether an organisation has recently used more than its share.

        Parameters
        ----------
        organisation : str
        weights : mapping of str to float
            Weights by organisation; 1 for those that are missing.
        now : float
        """
        own = self._uses.get(organisation)
        if own is None:
            return False
        used = {name: self._decayed(use, now) for name, use in self._uses.items()}
        self._forget_idle(used)
        total_weight = sum(weights.get(name, 1.0) for name in used)
        fair = sum(used.values()) * weights.get(organisation, 1.0) / total_weight
        return used[organisation] > self.factor * fair + self.slack_tokens

    def _decayed(self, use: _Use, now: float) -> float:
        return use.tokens * math.exp(-max(0.0, now - use.at) / self.window_s)

    def _forget_idle(self, used: Mapping[str, float]) -> None:
        for name, tokens in used.items():
            if tokens < 1.0:
                del self._uses[name]
