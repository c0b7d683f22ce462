"""Suspicions against requests, as a process shares them with its peers and the table."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from burdockquay_coordination import QuarantineBook, SuspicionStore, load_until_read
from burdockquay_protocol import Suspicion, Suspicions
from burdockquay_state import QuarantineWithdrawalRecord, TableService

from ._clock import Clock
from ._events import Event, log_event
from ._peer import PeerConnection

RETENTION_S = 3600.0
"""How long a suspicion against a request is kept, seconds."""


class SuspicionExchange:
    """The quarantine book of a process, and the ways by which it learns and tells.

    Parameters
    ----------
    table : TableService
    clock : Clock
    rng : random.Random
    find_peers : callable
        Returns the connections that are up.

    Attributes
    ----------
    book : QuarantineBook
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        rng: random.Random,
        find_peers: Callable[[], Iterable[PeerConnection]],
    ):
        self.clock = clock
        self.rng = rng
        self.find_peers = find_peers
        self.book = QuarantineBook(RETENTION_S)
        self.store = SuspicionStore(table)

    def known(self) -> list[Suspicion]:
        """Return the suspicions in force."""
        return self.book.suspicions(self.clock.wall())

    async def load(self) -> None:
        """Take over what was known before this process began."""
        loaded = await load_until_read(self.store, self.clock.wall, self.rng)
        self.book.merge(loaded, self.clock.wall())

    def greet(self, peer: PeerConnection) -> None:
        """Tell a newly connected peer all that is known here."""
        peer.post(Suspicions(self.known()))

    def receive(self, peer: PeerConnection, message: Suspicions) -> None:
        """Take over what a peer tells, and pass on what is new."""
        news = self.book.merge(message.suspicions, self.clock.wall())
        self._tell(news, except_peer=peer)

    def note_crash(self, digests: Sequence[str]) -> list[Suspicion]:
        """Note what ran when the upstream crashed, and tell the peers at once.

        Returns
        -------
        list of Suspicion
            What is new, for :meth:`save`.

        Notes
        -----
        The peers must hear of it before they hear that their answers broke off: they try again
        in that moment, and would run a dangerous request beside others once more.
        """
        news = self.book.note_crash(digests, self.clock.wall())
        self._tell(news)
        return news

    async def save(self, news: list[Suspicion]) -> None:
        """Write suspicions down for processes that start later."""
        await self.store.save(news, self.clock.wall())

    def withdraw(self, records: Iterable[QuarantineWithdrawalRecord]) -> None:
        """Set the requests free that operators name."""
        for record in records:
            self.book.withdraw(record.digest, self.clock.wall())

    def _tell(self, news: list[Suspicion], except_peer: PeerConnection | None = None) -> None:
        if not news:
            return
        log_event(Event.QUARANTINE_SUSPECTED, digests=",".join(item.digest for item in news))
        for peer in self.find_peers():
            if peer is not except_peer:
                peer.post(Suspicions(news))
