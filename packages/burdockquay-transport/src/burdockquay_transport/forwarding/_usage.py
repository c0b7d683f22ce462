"""Counts the usage of a forwarder, shares it with the reporting process, and reports it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from burdockquay_coordination.forwarding import rank_processes
from burdockquay_coordination.usage import (
    KEPT_WINDOWS,
    DutyChange,
    ReportTerms,
    TimeOfDay,
    UsageCounter,
    UsageLedger,
    UsageReporter,
    UsageSink,
)
from burdockquay_protocol import ClockReading, UsageCounts, WindowUsage
from burdockquay_state import TableService

from .._events import Event, log_event
from .._peer import Identity, PeerConnection
from ._load_sharing import ChangeRepeater, Post
from ._state import ForwarderState

CANDIDATES = 3
"""Number of processes that receive the counts: the one that reports, and two that can replace it.
"""

SHARE_INTERVAL_S = 0.4
"""Time between two messages with counts, seconds: what is lost with a process."""

MAX_MESSAGES_PER_S = 250
"""Total rate of messages with counts that a candidate receives; the more processes there are, the
less often each sends one."""

STEP_INTERVAL_S = 0.2
"""Time between two checks of what is to be reported, seconds."""

START_DELAY_S = 2.0
"""Time after the start before a process can become a candidate, seconds: it connects to its peers
and receives their counts meanwhile."""

CLOCK_RECIPIENTS = 8
"""Number of peers to which a process sends its time of day: enough that each receives some."""

LEAVE_DUE_TIMES = 10
"""Multiple of the due time for which the final counts of a stopping process count as complete."""

ISOLATED_SHARE = 1 / 3
"""Share of the peers that were connected recently below which a process is not a candidate: it
would report without the counts of the others."""

RECENT_PEERS_S = 10.0
"""Time after which lost peers do not count as connected recently, seconds."""

_EVENTS = {
    DutyChange.TAKEN: Event.DUTY_TAKEN,
    DutyChange.LOST: Event.DUTY_LOST,
    DutyChange.RELEASED: Event.DUTY_RELEASED,
    DutyChange.FIXED: Event.USAGE_FIXED,
    DutyChange.DELIVERED: Event.USAGE_DELIVERED,
    DutyChange.FENCED: Event.DUTY_FENCED,
    DutyChange.UNCONFIRMED: Event.USAGE_UNCONFIRMED,
    DutyChange.REJECTED: Event.USAGE_REJECTED,
    DutyChange.WITHDRAWN: Event.USAGE_WITHDRAWN,
}


class UsageDuty:
    """Usage of one process, and its part in reporting that of all.

    Parameters
    ----------
    state : ForwarderState
    identity : Identity
    peers : callable
        Returns the connected processes that exchange usage, by incarnation.
    post : callable
        Sends a message on some connections.
    table : TableService
    sink : UsageSink
    terms : ReportTerms
    """

    def __init__(
        self,
        state: ForwarderState,
        identity: Identity,
        peers: Callable[[], Mapping[str, PeerConnection]],
        post: Post,
        table: TableService,
        sink: UsageSink,
        terms: ReportTerms,
    ):
        self.state = state
        self.identity = identity
        self.peers = peers
        self.post = post
        self.terms = terms
        now = state.clock.now()
        self.time_of_day = TimeOfDay(state.clock.wall(), now)
        self.counter = UsageCounter(terms.window_s, self.time_of_day.at(now))
        self.ledger = UsageLedger()
        self.reporter = UsageReporter(
            table, sink, identity.vm, identity.incarnation, terms, self.ledger, self._on_change
        )
        self._started_at = now
        self._peer_counts: deque[tuple[float, int]] = deque()
        self._clock_repeater = ChangeRepeater()
        self._sent_to: dict[str, PeerConnection] = {}

    def count(self, organisation: str | None, begun_at: float) -> None:
        """Count a request that began to run at an upstream.

        Parameters
        ----------
        organisation : str or None
            None is not counted.
        begun_at : float
            Time on the clock of the process, seconds.
        """
        if organisation is not None:
            self.counter.add(organisation, self.time_of_day.at(begun_at))

    def share_last(self) -> None:
        """Send the final counts; nobody waits for further ones of this process."""
        moment = self.time_of_day.at(self.state.clock.now())
        self._share(moment, moment + LEAVE_DUE_TIMES * self.terms.due_s)

    def receive_counts(self, peer: PeerConnection, message: UsageCounts) -> None:
        """Apply the counts of another process."""
        windows = {item.window: item.counts for item in message.windows}
        self.ledger.record(peer.peer.incarnation, windows, message.complete_until)

    def receive_clock(self, peer: PeerConnection, message: ClockReading) -> None:
        """Apply the time of day of another process."""
        self.time_of_day.record_peer(
            peer.peer.incarnation, message.time_of_day, self.state.clock.now()
        )

    def refresh_gauges(self) -> None:
        """Update the gauges of the duty."""
        now = self.state.clock.now()
        metrics = self.state.metrics
        metrics.duty_held.set(self.reporter.holds(now))
        metrics.usage_delivered_window.set(self.reporter.plan.delivered_upto)
        metrics.clock_deviation.set(self.time_of_day.deviation_s(now))

    async def keep_sharing(self) -> None:
        """Share counts with the candidates until cancelled."""
        while True:
            now = self.state.clock.now()
            self.time_of_day.update(self.state.clock.wall(), now)
            moment = self.time_of_day.at(now)
            self._share(moment, moment)
            peers = self.peers()
            if self._clock_repeater.is_due(len(peers), now):
                recipients = rank_processes(self.identity.incarnation, peers)
                nearest = [peers[name] for name in recipients[:CLOCK_RECIPIENTS]]
                self.post(nearest, ClockReading(moment))
            await asyncio.sleep(max(SHARE_INTERVAL_S, len(peers) / MAX_MESSAGES_PER_S))

    def _share(self, moment: float, complete_until: float) -> None:
        windows = self.counter.windows(moment)
        self.ledger.forget_before(self.counter.window_at(moment) - KEPT_WINDOWS)
        self.ledger.record(self.identity.incarnation, windows, complete_until)
        peers = self.peers()
        recipients = {name: peers[name] for name in self._candidates(peers) if name in peers}
        known = [name for name in recipients if self._sent_to.get(name) is recipients[name]]
        new = [name for name in recipients if name not in known]
        # Older windows do not change any more: a known recipient has them.
        recent = _latest(windows, 2)
        for names, sent in ((known, recent), (new, windows)):
            message = UsageCounts(
                [WindowUsage(number, counts) for number, counts in sent.items()], complete_until
            )
            self.post([recipients[name] for name in names], message)
        self._sent_to = recipients

    async def keep_reporting(self) -> None:
        """Report the counts of all processes, if that falls to this one, until cancelled."""
        while True:
            while await self._step():
                pass
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _step(self) -> bool:
        now = self.state.clock.now()
        peers = self.peers()
        return await self.reporter.step(
            now, self.time_of_day.at(now), peers, self._is_candidate(peers, now)
        )

    def _is_candidate(self, peers: Mapping[str, PeerConnection], now: float) -> bool:
        self._peer_counts.append((now, len(peers)))
        while now - self._peer_counts[0][0] > RECENT_PEERS_S:
            self._peer_counts.popleft()
        if self.state.leaving or now - self._started_at < START_DELAY_S:
            return False
        most = max(count for _, count in self._peer_counts)
        if len(peers) < ISOLATED_SHARE * most:
            return False
        return self.identity.incarnation in self._candidates(peers)

    def _candidates(self, peers: Mapping[str, PeerConnection]) -> list[str]:
        """Return the incarnations of the candidates.

        They are ranked by VM, so that a restart does not move the duty to other VMs.
        """
        by_vm = {connection.peer.vm: name for name, connection in peers.items()}
        by_vm[self.identity.vm] = self.identity.incarnation
        return [by_vm[vm] for vm in rank_processes("usage", by_vm)[:CANDIDATES]]

    def _on_change(self, change: DutyChange, details: Mapping[str, Any]) -> None:
        log_event(_EVENTS[change], **details)


def _latest(windows: Mapping[int, dict[str, int]], count: int) -> dict[int, dict[str, int]]:
    return {number: windows[number] for number in sorted(windows)[-count:]}


def exchange_usage(peers: Iterable[PeerConnection]) -> dict[str, PeerConnection]:
    """Return the connections to processes that exchange usage, by incarnation."""
    return {peer.peer.incarnation: peer for peer in peers if peer.version >= UsageCounts.since}
