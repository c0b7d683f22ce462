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
    """Polls the head of the record log, and exchanges revisions with peers.

    Parameters
    ----------
    holder : ConfigurationHolder
    log : RecordLog
    clock : Clock
    rng : random.Random
        Jitter, which spreads the reads of all processes.
    poll_interval_s, read_budget : float
        Settings ``poll_interval_s`` and ``table_read_budget``; see :class:`EntrySettings`.
    count_processes : callable
        Returns how many processes share the read budget.
    on_change : callable
        Called without arguments after a new revision was applied.

    Notes
    -----
    Few processes read the table; the others receive a new revision number in the heartbeats of
    their peers and fetch the missing log entries from them. See docs/design/configuration.md.
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
        """Read the head revision once, and the newer part of the log if there is one."""
        before = self.holder.revision
        outcome = await self._reader.read(self.clock.wall())
        self._record_table_health(not isinstance(outcome, Err))
        if isinstance(outcome, Ok):
            await self._check_era()
        if isinstance(outcome, Ok):
            self._report_applied(outcome.ok(), before)

    def add_peer(self, peer: PeerConnection) -> None:
        """Start exchanging revisions with a connected peer."""
        self._peers.add(peer)
        peer.post(self.heartbeat())

    def remove_peer(self, peer: PeerConnection) -> None:
        """Stop exchanging revisions with a peer."""
        self._peers.discard(peer)

    def heartbeat(self) -> Heartbeat:
        """Return a heartbeat with the revision of this process."""
        return Heartbeat(self.holder.revision)

    def fetch_if_behind(self, peer: PeerConnection, revision: int) -> None:
        """Request the newer part of the log from a peer that has a higher revision."""
        if self.holder.should_fetch(revision, self.clock.now()):
            peer.post(FetchLog(self.holder.revision))

    def answer_fetch(self, peer: PeerConnection, message: FetchLog) -> None:
        """Send a peer the part of the log that it lacks."""
        if self.holder.revision > message.after_revision:
            peer.post(self.holder.log_after(message.after_revision))

    def receive_part(self, peer: PeerConnection, part: LogPart) -> None:
        """Apply a part of the log that a peer sent."""
        before = self.holder.revision
        self._report_applied(self.holder.apply(part, self.clock.wall()), before)
        if part.entries:
            self.fetch_if_behind(peer, part.head)

    def _report_applied(self, outcome: ApplyOutcome, before: int) -> None:
        """Log the result of applying log entries, and send the peers a new revision."""
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

    async def _check_era(self) -> None:
        """Log, once for each era, if the record log has lost changes that are in force here."""
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

    def _record_table_health(self, healthy: bool) -> None:
        if healthy == self.table_healthy:
            return
        self.table_healthy = healthy
        log_event(Event.TABLE_RECOVERED if healthy else Event.TABLE_UNAVAILABLE)
