"""Messages about the request rate limits of upstreams, between forwarders."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping

from burdockquay_coordination.forwarding import (
    ColdMessage,
    ColdReport,
    GrantMessage,
    NeedMessage,
    StartGrant,
    StartNeed,
)
from burdockquay_protocol import (
    ColdStartReport,
    ColdStartReports,
    RateGrant,
    RateGrants,
    RateNeed,
    RateNeeds,
)

from .._peer import PeerConnection
from ._rate_limits import LimitMessage, RateLimits


class RateSharing:
    """Sends and receives what processes need of each other to keep limits together.

    Parameters
    ----------
    limits : RateLimits
    incarnation : str
        That of this process.
    """

    def __init__(self, limits: RateLimits, incarnation: str):
        self.limits = limits
        self.incarnation = incarnation
        self._peers: Mapping[str, PeerConnection] = {}
        limits.join_fleet(incarnation, self._send)

    def set_peers(self, peers: Mapping[str, PeerConnection]) -> None:
        """Set which processes are connected, by incarnation."""
        self._peers = {
            name: peer for name, peer in peers.items() if peer.version >= RateGrants.since
        }
        self.limits.set_peers({name: peer.peer.vm for name, peer in self._peers.items()})

    def greet(self, peer: PeerConnection) -> None:
        """Send a process that has just connected the cold starts that are known."""
        known = self.limits.upstream_registry.cold_reports(self.limits.clock.now())
        if known and peer.version >= ColdStartReports.since:
            peer.post(ColdStartReports([_encode_cold(*item) for item in known]))

    def receive_cold(self, peer: PeerConnection, message: ColdStartReports) -> None:
        """Apply the cold starts that another process knows."""
        decoded = [
            (
                item.upstream,
                ColdMessage(self.incarnation, ColdReport(item.remaining_s, item.row)),
            )
            for item in message.reports
        ]
        self.limits.receive(peer.peer.incarnation, decoded)

    def receive_needs(self, peer: PeerConnection, message: RateNeeds) -> None:
        """Apply what another process needs of this one."""
        messages = []
        for item in message.needs:
            need = StartNeed(item.wanted, item.sent_at, item.share, item.answers, item.processes)
            decoded = NeedMessage(self.incarnation, item.per_s, item.observed, need)
            messages.append((item.upstream, decoded))
        self.limits.receive(peer.peer.incarnation, messages)

    def receive_grants(self, peer: PeerConnection, message: RateGrants) -> None:
        """Apply what another process grants to this one."""
        messages = []
        for item in message.grants:
            grant = StartGrant(item.starts, item.need_sent_at, item.sent_at)
            messages.append((item.upstream, GrantMessage(self.incarnation, item.per_s, grant)))
        self.limits.receive(peer.peer.incarnation, messages)

    def _send(self, messages: Iterable[tuple[str, LimitMessage]]) -> None:
        needs: dict[str, list[RateNeed]] = defaultdict(list)
        grants: dict[str, list[RateGrant]] = defaultdict(list)
        cold: dict[str, list[ColdStartReport]] = defaultdict(list)
        for upstream, message in messages:
            if isinstance(message, ColdMessage):
                cold[message.to].append(_encode_cold(upstream, message.report))
            elif isinstance(message, NeedMessage):
                needs[message.to].append(_encode_need(upstream, message))
            else:
                grants[message.to].append(_encode_grant(upstream, message))
        for kind, by_peer in ((ColdStartReports, cold), (RateNeeds, needs), (RateGrants, grants)):
            for name, items in by_peer.items():
                if name in self._peers and self._peers[name].version >= kind.since:
                    self._peers[name].post(kind(items))


def _encode_cold(upstream: str, report: ColdReport) -> ColdStartReport:
    return ColdStartReport(upstream, report.remaining_s, report.row)


def _encode_need(upstream: str, message: NeedMessage) -> RateNeed:
    need = message.need
    return RateNeed(
        upstream,
        message.per_s,
        message.observed,
        dict(need.wanted),
        need.sent_at,
        need.share,
        need.answers,
        need.processes,
    )


def _encode_grant(upstream: str, message: GrantMessage) -> RateGrant:
    grant = message.grant
    return RateGrant(upstream, message.per_s, grant.starts, grant.need_sent_at, grant.sent_at)
