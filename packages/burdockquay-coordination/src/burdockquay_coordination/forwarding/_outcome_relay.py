"""Exchange of request outcomes, by which all processes together detect failing upstreams."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from ._load_relay import Ring, passes


@attrs.frozen
class Outcomes:
    """Counts of request outcomes at an upstream.

    Parameters
    ----------
    whole : int
        Complete answers.
    failed : int
        Answers that failed or broke off, and connections that were not established.
    unreachable : int
        How many of the failed ones were refused, reset at once or unresponsive, as if the upstream
        were down.

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


class OutcomeRelay:
    """Outcomes that are still to be sent, for each recipient process.

    Each of many processes sends few requests to each upstream. Alone, each would have to fail there
    several times before it avoids an upstream that is down, and hundreds of requests would be lost
    or retried at each. Together, a few outcomes are enough.

    Examples
    --------
    >>> relay = OutcomeRelay()
    >>> relay.set_recipients(near=["one", "two"], far=["relay"])
    >>> relay.receive_update("one", {"u": Outcomes(failed=1)}, is_near=True)
    >>> relay.has_failures("two"), relay.has_failures("one")
    (True, False)
    >>> relay.take("two")["u"].failed, relay.take("two")
    (1, {})
    """

    def __init__(self):
        self._rings: dict[str, Ring] = {}
        self._unsent: dict[str, dict[str, Outcomes]] = {}

    def set_recipients(
        self, near: Iterable[str], far: Iterable[str], across: Iterable[str] = ()
    ) -> None:
        """Set the recipients: processes of this failure domain, relays of others and of regions."""
        self._rings = dict.fromkeys(across, Ring.ACROSS) | dict.fromkeys(far, Ring.FAR)
        self._rings |= dict.fromkeys(near, Ring.NEAR)
        self._unsent = {name: self._unsent.get(name, {}) for name in self._rings}

    def receive_update(self, source: str, outcomes: OutcomesByUpstream, is_near: bool) -> None:
        """Queue the outcomes of a process of this failure domain, or of the relay of another one.

        Outcomes from another domain are not sent to a third one: the relay of that domain sends
        them there. Those from another region are.
        """
        ring = Ring.NEAR if is_near else self._rings.get(source, Ring.FAR)
        for name, unsent in self._unsent.items():
            if name != source and passes(ring, self._rings[name]):
                add_outcomes(unsent, outcomes)

    def has_failures(self, target: str) -> bool:
        """Return whether there are failures to be sent to a process."""
        return any(outcomes.failed for outcomes in self._unsent[target].values())

    def take(self, target: str) -> dict[str, Outcomes]:
        """Return and clear the outcomes to be sent to one process."""
        unsent, self._unsent[target] = self._unsent[target], {}
        return unsent


def add_outcomes(total: dict[str, Outcomes], outcomes: OutcomesByUpstream) -> None:
    """Add outcomes to those of the same upstreams in ``total``."""
    for upstream, more in outcomes.items():
        known = total.get(upstream)
        total[upstream] = more if known is None else known + more
