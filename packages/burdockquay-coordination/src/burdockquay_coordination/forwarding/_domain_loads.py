"""What the processes of one failure domain have at the upstreams, and who tells the others."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from ._pending import PEER_KEEP_S, LoadShare
from ._ranking import rank_processes

RELAYS = 2
"""Processes of a failure domain that tell the other domains what all of it have at the upstreams:
with one alone, its loss would leave the others with old figures until they notice."""

NOTHING = LoadShare(0, 0)


class DomainLoads:
    """Adds up what the processes of this failure domain have at the upstreams.

    Each process hears from each other one of its domain. Were it to hear from those of all domains
    too, messages would grow with the square of the processes, and most bytes would cross domains,
    over small links. So a relay tells the other domains the sums of its own.

    Examples
    --------
    >>> loads = DomainLoads()
    >>> loads.hear("one", {"u": LoadShare(500, 1)}, now=1.0)
    >>> loads.add_up({"u": LoadShare(100, 2), "v": LoadShare(0, 1)}, now=1.1)
    {'u': LoadShare(tokens=600, running=3), 'v': LoadShare(tokens=0, running=1)}
    """

    def __init__(self):
        self._heard: dict[str, tuple[Mapping[str, LoadShare], float]] = {}

    def hear(self, peer: str, shares: Mapping[str, LoadShare], now: float) -> None:
        """Take over what a process of the domain says, by upstream."""
        self._heard[peer] = (shares, now)

    def forget(self, peer: str) -> None:
        """Note that a process is gone."""
        self._heard.pop(peer, None)

    def add_up(self, own: Mapping[str, LoadShare], now: float) -> dict[str, LoadShare]:
        """Return what the domain has at each upstream, with what this process has itself."""
        total = dict(own)
        for shares, at in self._heard.values():
            if now - at > PEER_KEEP_S:
                continue
            for upstream, share in shares.items():
                known = total.get(upstream, NOTHING)
                total[upstream] = LoadShare(
                    known.tokens + share.tokens, known.running + share.running
                )
        return total


def choose_relay_targets(
    me: str, domain: Collection[str], others: Mapping[str, Collection[str]]
) -> list[str]:
    """Return the processes of the other domains to which this one tells the sums of its own.

    Parameters
    ----------
    me : str
        Incarnation of this process.
    domain : collection of str
        Those of the processes of its domain that it is connected to.
    others : mapping of str to collection of str
        The same for each other domain, by name.

    Notes
    -----
    The first relay of a domain tells the first one of each other domain, and the second the second,
    so that two ways lead to every process that have no process in common. A process that is no
    relay tells nobody. Relays pass on to their domain what they hear.

    Examples
    --------
    >>> choose_relay_targets("a", [], {"x": ["b"], "y": ["c"]})
    ['b', 'c']
    """
    relays = rank_processes("relay", [me, *domain])[:RELAYS]
    if me not in relays:
        return []
    places = [relays.index(me)] if len(relays) == RELAYS else range(RELAYS)
    targets = []
    for members in others.values():
        ranked = rank_processes("relay", members)[:RELAYS]
        targets += {ranked[place % len(ranked)]: None for place in places if ranked}
    return targets
