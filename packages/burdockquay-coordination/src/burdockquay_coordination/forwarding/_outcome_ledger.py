"""How all processes together learn which upstreams fail."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs


@attrs.frozen
class Outcomes:
    """What became of some requests at an upstream.

    Parameters
    ----------
    whole : int
        Whole answers.
    failed : int
        Answers that failed or broke off, and connections that did not come about.
    unreachable : int
        How many of these were refused, reset at once or silent, as where the upstream is down.

    Examples
    --------
    >>> Outcomes(whole=1) + Outcomes(failed=1, unreachable=1)
    Outcomes(whole=1, failed=1, unreachable=1)
    """

    whole: int = 0
    failed: int = 0
    unreachable: int = 0

    def __add__(self, other: Outcomes) -> Outcomes:
        return Outcomes(
            self.whole + other.whole,
            self.failed + other.failed,
            self.unreachable + other.unreachable,
        )


OutcomesByUpstream = Mapping[str, Outcomes]
"""Outcomes by the incarnation of the upstream."""


class OutcomeLedger:
    """Outcomes that are still to be told, for each process that is to hear of them.

    Each of many processes sees little of each upstream. Alone, every one of them must fail there
    some times until it avoids an upstream that is down, and hundreds of requests are lost or sent
    again at each. What all see together shows it after a few.

    Examples
    --------
    >>> ledger = OutcomeLedger()
    >>> ledger.set_targets(near=["one", "two"], far=["relay"])
    >>> ledger.hear("one", {"u": Outcomes(failed=1)}, is_near=True)
    >>> ledger.has_failures("two"), ledger.has_failures("one")
    (True, False)
    >>> ledger.take("two")["u"].failed, ledger.take("two")
    (1, {})
    """

    def __init__(self):
        self._near: frozenset[str] = frozenset()
        self._unsent: dict[str, dict[str, Outcomes]] = {}

    def set_targets(self, near: Iterable[str], far: Iterable[str]) -> None:
        """Take over who is told: processes of this failure domain, and relays of others."""
        self._near = frozenset(near)
        wanted = [*self._near, *far]
        self._unsent = {name: self._unsent.get(name, {}) for name in wanted}

    def hear(self, source: str, outcomes: OutcomesByUpstream, is_near: bool) -> None:
        """Take in outcomes of a process of this failure domain, or of the relay of another one.

        What comes from another domain is told within this one only: its relay tells the others.
        """
        for name, unsent in self._unsent.items():
            if name != source and (is_near or name in self._near):
                add_outcomes(unsent, outcomes)

    def has_failures(self, target: str) -> bool:
        """Return whether failures are to be told to a process."""
        return any(outcomes.failed for outcomes in self._unsent[target].values())

    def take(self, target: str) -> dict[str, Outcomes]:
        """Return what one process is to be told, and take it as told."""
        unsent, self._unsent[target] = self._unsent[target], {}
        return unsent


def add_outcomes(total: dict[str, Outcomes], outcomes: OutcomesByUpstream) -> None:
    """Add outcomes to those of the same upstreams."""
    for upstream, more in outcomes.items():
        known = total.get(upstream)
        total[upstream] = more if known is None else known + more
