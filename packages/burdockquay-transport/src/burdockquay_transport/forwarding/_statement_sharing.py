"""Reports between forwarders of what upstreams state."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from burdockquay_protocol import StatementReport, StatementReports

from .._peer import PeerConnection
from ._load_sharing import Post
from ._statements import UpstreamStatements


class StatementSharing:
    """Sends peers the statements that bind all processes, and applies theirs.

    Parameters
    ----------
    statements : UpstreamStatements
    post : callable
        Sends a message on some connections.
    """

    def __init__(self, statements: UpstreamStatements, post: Post):
        self.statements = statements
        self.post = post
        self._peers: Collection[PeerConnection] = ()
        statements.report = self._report_to_all

    def set_peers(self, peers: Iterable[PeerConnection]) -> None:
        """Set which processes are connected."""
        self._peers = [peer for peer in peers if peer.version >= StatementReports.since]

    def greet(self, peer: PeerConnection) -> None:
        """Send a process that has just connected what is in force."""
        reports = [StatementReport(*item) for item in self.statements.in_force()]
        if reports and peer.version >= StatementReports.since:
            self.post([peer], StatementReports(reports))

    def receive(self, peer: PeerConnection, message: StatementReports) -> None:
        """Apply the reports of another process.

        Its handshake has proved that it belongs to this deployment, and it reports only what an
        answer with proof of origin has shown it.
        """
        for item in message.reports:
            self.statements.receive_report(item.upstream, item.kind, peer.peer.vm)

    def _report_to_all(self, incarnation: str, kind: str) -> None:
        self.post(self._peers, StatementReports([StatementReport(incarnation, kind)]))
