"""Exchange of suspicions against requests with peers and the table."""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

import attrs

from burdockquay_coordination import (
    PartStore,
    QuarantineTracker,
    SuspicionStore,
    load_with_retries,
)
from burdockquay_protocol import PartEvidence, PartReports, Suspicion, Suspicions
from burdockquay_state import QuarantineWithdrawalRecord, TableService

from ._clock import Clock
from ._events import Event, log_event
from ._part_keeper import PartKeeper
from ._part_suspicions import PartSuspicions
from ._peer import PeerConnection

RETENTION_S = 3600.0
"""Retention time of a suspicion against a request, seconds."""


MAX_TRIAL_DELAY_S = 5.0
"""Longest time by which a process delays its trial of a refused prefix, seconds: far longer than
the report of a trial travels, so that rarely two processes begin one."""


class SuspicionExchange:
    """Exchanges suspicions of requests and prompt prefixes with peers and the table.

    Parameters
    ----------
    table : TableService
    clock : Clock
    rng : random.Random
    find_peers : callable
        Returns the open connections.
    spawn : callable
        Runs a coroutine in the background.

    Attributes
    ----------
    quarantine : QuarantineTracker
    prefixes : PartSuspicions
        Of prompt prefixes.
    """

    def __init__(
        self,
        table: TableService,
        clock: Clock,
        rng: random.Random,
        find_peers: Callable[[], Iterable[PeerConnection]],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ):
        self.clock = clock
        self.rng = rng
        self.find_peers = find_peers
        self.quarantine = QuarantineTracker(RETENTION_S)
        self.prefixes = PartSuspicions(clock.wall)
        self.prefixes.report = self._send_reports
        trial_delay_s = rng.uniform(0.0, MAX_TRIAL_DELAY_S)
        self.prefixes.trial_delay_s = lambda part: trial_delay_s
        self.store = SuspicionStore(table)
        self._keeper = PartKeeper(self.prefixes, PartStore(table), clock.wall, spawn)

    def describe(self) -> list[dict[str, object]]:
        """Return what ``/status`` shows of the suspicions in force."""
        now = self.clock.wall()
        found = [attrs.asdict(item) for item in self.quarantine.suspicions(now)]
        return found + [{"digest": item.pop("part"), **item} for item in self.prefixes.describe()]

    async def load(self) -> None:
        """Load the suspicions that the table holds from before the start of this process."""
        loaded = await load_with_retries(self.store, self.clock.wall, self.rng)
        self.quarantine.merge(loaded, self.clock.wall())
        await self._keeper.load()

    def send_all(self, peer: PeerConnection) -> None:
        """Send all suspicions in force to a newly connected peer."""
        now = self.clock.wall()
        peer.post(Suspicions(self.quarantine.suspicions(now)))
        peer.post(PartReports(self.prefixes.reports()))

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
            self.prefixes.withdraw(record.digest)

    def receive_parts(self, peer: PeerConnection, message: PartReports) -> None:
        """Merge the evidence of a peer about prompt prefixes, and forward what is new."""
        self._send_reports(self.prefixes.receive(message.reports), except_peer=peer)

    def _send_reports(
        self, reports: list[PartEvidence], except_peer: PeerConnection | None = None
    ) -> None:
        if not reports:
            return
        for peer in self.find_peers():
            if peer is not except_peer:
                peer.post(PartReports(reports))

    def _broadcast(self, added: list[Suspicion], except_peer: PeerConnection | None = None) -> None:
        if not added:
            return
        log_event(Event.QUARANTINE_SUSPECTED, digests=",".join(item.digest for item in added))
        for peer in self.find_peers():
            if peer is not except_peer:
                peer.post(Suspicions(added))
