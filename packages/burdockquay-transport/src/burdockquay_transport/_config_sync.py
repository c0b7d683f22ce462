"""Keeps the configuration of a process up to date, from the table and from its peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from result import Err, Ok

from burdockquay_coordination import (
    ApplyOutcome,
    ConfigurationHolder,
    ConfigurationReader,
    next_read_delay,
)
from burdockquay_protocol import FetchLog, Heartbeat, LogPart
from burdockquay_state import RecordLog

from ._clock import Clock
from ._events import Event, log_event
from ._peer import PeerConnection


class ConfigurationSync:
    """Reads the head of the record log now and then, and exchanges revisions with peers.

    Parameters
    ----------
    holder : ConfigurationHolder
    log : RecordLog
    clock : Clock
    rng : random.Random
        Spreads the reads of all processes.
    poll_interval_s, read_budget : float
        See :class:`EntrySettings`.
    count_processes : callable
        Returns how many processes share the budget.
    on_change : callable
        Called without arguments after a new revision is in force.

    Notes
    -----
    The table is read by few processes; the others learn of a new revision from the heartbeats of
    their peers and fetch the missing log from them. See docs/design/configuration.md.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        log: RecordLog,
        clock: Clock,
        rng: random.Random,
        poll_interval_s: float,
        read_budget: float,
        count_processes: Callable[[], int],
        on_change: Callable[[], None],
    ):
        self.holder = holder
        self.log = log
        self.clock = clock
        self.rng = rng
        self.poll_interval_s = poll_interval_s
        self.read_budget = read_budget
        self.count_processes = count_processes
        self.on_change = on_change
        self.table_healthy = True
        self._era = log.table.era
        self._peers: set[PeerConnection] = set()
        self._reader = ConfigurationReader(log, holder)

    async def run(self) -> None:
        """Poll the table until cancelled; run as a task."""
        while True:
            await self.read_table()
            delay = next_read_delay(
                self.poll_interval_s, self.read_budget, self.count_processes(), self.rng
            )
            await asyncio.sleep(delay)

    async def read_table(self) -> None:
        """Read the head revision once, and the log behind ours if it is higher."""
        before = self.holder.revision
        outcome = await self._reader.read(self.clock.wall())
        self._note_table(not isinstance(outcome, Err))
        if isinstance(outcome, Ok):
            await self._note_era()
        if isinstance(outcome, Ok):
            self._tell(outcome.ok(), before)

    def add_peer(self, peer: PeerConnection) -> None:
        """Exchange revisions with a connected peer."""
        self._peers.add(peer)
        peer.post(self.heartbeat())

    def remove_peer(self, peer: PeerConnection) -> None:
        """Forget a peer."""
        self._peers.discard(peer)

    def heartbeat(self) -> Heartbeat:
        """Return the message that tells our revision."""
        return Heartbeat(self.holder.revision)

    def peer_has(self, peer: PeerConnection, revision: int) -> None:
        """Note the revision of a peer, and fetch what we lack."""
        if self.holder.should_fetch(revision, self.clock.now()):
            peer.post(FetchLog(self.holder.revision))

    def answer_fetch(self, peer: PeerConnection, message: FetchLog) -> None:
        """Send a peer the log it lacks."""
        if self.holder.revision > message.after_revision:
            peer.post(self.holder.log_after(message.after_revision))

    def receive_part(self, peer: PeerConnection, part: LogPart) -> None:
        """Put what a peer sent in force."""
        before = self.holder.revision
        self._tell(self.holder.apply(part, self.clock.wall()), before)
        if part.entries:
            self.peer_has(peer, part.head)

    def _tell(self, outcome: ApplyOutcome, before: int) -> None:
        """Log what a part of the log brought, and tell the peers if it changed anything."""
        for fault in outcome.faults:
            is_unknown = fault.key == "schema"
            event = Event.RECORD_SCHEMA_UNKNOWN if is_unknown else Event.RECORD_FAULT
            log_event(event, fault=str(fault))
        if self.holder.revision == before:
            return
        if outcome.kept:
            log_event(Event.RECORDS_KEPT, records=",".join(outcome.kept))
        log_event(Event.CONFIGURATION_APPLIED, revision=self.holder.revision)
        self.on_change()
        for peer in self._peers:
            peer.post(self.heartbeat())

    async def _note_era(self) -> None:
        """Tell the operators, once for each era, if the log has lost what is in force here."""
        era = self.log.table.era
        if era == self._era:
            return
        head = await self.log.head()
        if isinstance(head, Err):
            return
        if self._era and head.ok_value < self.holder.revision:
            log_event(
                Event.CONFIGURATION_LOST,
                era=era,
                head=head.ok_value,
                in_force=self.holder.revision,
            )
        self._era = era

    def _note_table(self, healthy: bool) -> None:
        if healthy == self.table_healthy:
            return
        self.table_healthy = healthy
        log_event(Event.TABLE_RECOVERED if healthy else Event.TABLE_UNAVAILABLE)
