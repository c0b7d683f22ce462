"""Reports between forwarders about prompt parts that may crash upstreams."""

from __future__ import annotations

from collections.abc import Mapping

from burdockquay_coordination.forwarding import rank_processes
from burdockquay_protocol import PartEvidence, PartReports

from .._part_suspicions import PartSuspicions
from .._peer import PeerConnection
from ._load_sharing import Post

TRIAL_STAGGER_S = 0.5
"""Time between the trials of two processes in their order, seconds: far longer than the report of a
trial travels, so that one process begins it."""


class PartSharing:
    """Sends peers the evidence about prompt parts, and applies theirs.

    Parameters
    ----------
    parts : PartSuspicions
    incarnation : str
        That of this process.
    post : callable
        Sends a message on some connections.
    """

    def __init__(self, parts: PartSuspicions, incarnation: str, post: Post):
        self.parts = parts
        self.incarnation = incarnation
        self.post = post
        self._peers: Mapping[str, PeerConnection] = {}
        parts.report = self._report_to_all
        parts.trial_delay_s = self._trial_delay_s

    def set_peers(self, peers: Mapping[str, PeerConnection]) -> None:
        """Set which processes are connected, by incarnation."""
        self._peers = {
            name: peer for name, peer in peers.items() if peer.version >= PartReports.since
        }

    def greet(self, peer: PeerConnection) -> None:
        """Send a process that has just connected what is known, also if that is nothing."""
        if peer.version >= PartReports.since:
            self.post([peer], PartReports(self.parts.reports()))

    def receive(self, peer: PeerConnection, message: PartReports) -> None:
        """Merge the evidence of another process."""
        self.parts.receive(message.reports)

    def _report_to_all(self, reports: list[PartEvidence]) -> None:
        self.post(self._peers.values(), PartReports(reports))

    def _trial_delay_s(self, part: str) -> float:
        ranked = rank_processes(part, [self.incarnation, *self._peers])
        return TRIAL_STAGGER_S * ranked.index(self.incarnation)
