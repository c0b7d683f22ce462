"""Exchange of the tables of the platform between forwarders."""

from __future__ import annotations

import random
from collections.abc import Mapping

from burdockquay_protocol import EralessTableChanges, TableChanges, TableContent, TableQuestion

from .._clock import Clock
from .._peer import PeerConnection
from ._feed_exchange import FeedExchange
from ._load_sharing import Post


class TableSharing:
    """Sends changes of the tables to all peers, and complete tables to those that ask.

    Parameters
    ----------
    exchange : FeedExchange
    clock : Clock
    rng : random.Random
    post : callable
        Sends a message on some connections.
    """

    def __init__(self, exchange: FeedExchange, clock: Clock, rng: random.Random, post: Post):
        self.exchange = exchange
        self.clock = clock
        self.rng = rng
        self.post = post
        self._peers: Mapping[str, PeerConnection] = {}
        exchange.send_changes = self._broadcast
        exchange.send_question = self._ask

    def set_peers(self, me: str, peers: Mapping[str, PeerConnection]) -> None:
        """Choose the pollers again after a change of the connections.

        They are chosen among the processes that broadcast what they read from the platform.

        Parameters
        ----------
        me : str
            Incarnation of this process.
        peers : mapping of str to PeerConnection
            The connected processes, by incarnation.
        """
        self._peers = peers
        needed = TableChanges if self.exchange.era.newest else EralessTableChanges
        others = [name for name, peer in peers.items() if peer.version >= needed.since]
        self.exchange.choose_pollers(me, others)

    def receive_changes(self, peer: PeerConnection, message: TableChanges) -> None:
        """Pass on changes of a table."""
        self.exchange.receive_changes(message, self.clock.now())

    def receive_eraless_changes(self, peer: PeerConnection, message: EralessTableChanges) -> None:
        """Pass on changes of a table from a process of a release without eras."""
        self.receive_changes(peer, message.to_table_changes())

    def receive_question(self, peer: PeerConnection, message: TableQuestion) -> None:
        """Send a peer the table that it asks for, if this process has a newer one."""
        content = self.exchange.answer_question(message)
        if content is not None:
            self.post([peer], content)

    def receive_content(self, peer: PeerConnection, message: TableContent) -> None:
        """Pass on a complete table."""
        self.exchange.receive_content(message, self.clock.now())

    def _broadcast(self, message: TableChanges) -> None:
        """Send changes of a table to all peers.

        A peer of a release without eras receives them only while the store has none: it would take
        the revisions of one era for those of another.
        """
        current = [peer for peer in self._peers.values() if peer.version >= TableChanges.since]
        self.post(current, message)
        if message.era == 0 and len(current) < len(self._peers):
            former = [peer for peer in self._peers.values() if peer not in current]
            self.post(former, message.without_era())

    def _ask(self, message: TableQuestion) -> None:
        """Ask a random peer for a table: any may have it, and the load is spread over all."""
        able = [peer for peer in self._peers.values() if peer.version >= TableQuestion.since]
        if able:
            self.post([self.rng.choice(able)], message)
