"""Exchange of suspicions against requests with peers and the table."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from burdockquay_coordination import QuarantineTracker, SuspicionStore, load_with_retries
from burdockquay_protocol import Suspicion, Suspicions
from burdockquay_state import QuarantineWithdrawalRecord, TableService

from ._clock import Clock
from ._events import Event, log_event
from ._peer import PeerConnection

RETENTION_S = 3600.0
"""Retention time of a suspicion against a request, seconds."""


class SuspicionExchange:
    """Exchanges suspicions of requests with the peers of a process and the table.

    Parameters
    ----------
    table : TableService
    clock : Clock
    rng : random.Random
    find_peers : callable
        Returns the open connections.

    Attributes
    ----------
    quarantine : QuarantineTracker
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
        self.quarantine = QuarantineTracker(RETENTION_S)
        self.store = SuspicionStore(table)

    def active(self) -> list[Suspicion]:
        """Return the suspicions in force."""
        return self.quarantine.suspicions(self.clock.wall())

    async def load(self) -> None:
        """Load the suspicions that the table holds from before the start of this process."""
        loaded = await load_with_retries(self.store, self.clock.wall, self.rng)
        self.quarantine.merge(loaded, self.clock.wall())

    def send_all(self, peer: PeerConnection) -> None:
        """Send all suspicions in force to a newly connected peer."""
        peer.post(Suspicions(self.active()))

    def receive(self, peer: PeerConnection, message: Suspicions) -> None:
        """Merge the suspicions from a peer, and forward the new ones."""
        added = self.quarantine.merge(message.suspicions, self.clock.wall())
        self._broadcast(added, except_peer=peer)

    def record_crash(self, digests: Sequence[str]) -> list[Suspicion]:
        """Record which requests ran when the upstream crashed, and send this to peers at once.

        Returns
        -------
        list of Suspicion
            New suspicions, for :meth:`save`.

        Notes
        -----
        The peers must receive this before the failures of their attempts. They retry immediately
        on a failure, and would otherwise run a dangerous request beside others again.
        """
        added = self.quarantine.record_crash(digests, self.clock.wall())
        self._broadcast(added)
        return added

    async def save(self, added: list[Suspicion]) -> None:
        """Write suspicions to the table, for processes that start later."""
        await self.store.save(added, self.clock.wall())

    def withdraw(self, records: Iterable[QuarantineWithdrawalRecord]) -> None:
        """Drop the suspicions against requests that operators have withdrawn."""
        for record in records:
            self.quarantine.withdraw(record.digest, self.clock.wall())

    def _broadcast(self, added: list[Suspicion], except_peer: PeerConnection | None = None) -> None:
        if not added:
            return
        log_event(Event.QUARANTINE_SUSPECTED, digests=",".join(item.digest for item in added))
        for peer in self.find_peers():
            if peer is not except_peer:
                peer.post(Suspicions(added))
