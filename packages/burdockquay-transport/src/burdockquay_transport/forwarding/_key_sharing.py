"""Exchange of whether forwarders can serve callers, and of the newest configuration they know."""

from __future__ import annotations

from collections.abc import Mapping

from burdockquay_coordination.forwarding import rank_processes
from burdockquay_protocol import KeysHonoured, NewestConfiguration

from .._peer import EncodedMessage, PeerConnection
from ._load_sharing import ChangeRepeater, Post
from ._state import ForwarderState

KEY_STATUS_RECIPIENTS = 8
"""Number of peers to which a process sends whether it can serve: enough that each process
receives it from some."""


class KeySharing:
    """Sends some peers whether this process can serve callers, and the newest configuration.

    Parameters
    ----------
    state : ForwarderState
    incarnation : str
        That of this process.
    post : callable
        Sends a message on some connections.
    """

    def __init__(self, state: ForwarderState, incarnation: str, post: Post):
        self.state = state
        self.incarnation = incarnation
        self.post = post
        self._recipients: list[PeerConnection] = []
        self._key_repeater = ChangeRepeater()
        self._configuration_repeater = ChangeRepeater()

    def set_peers(self, peers: Mapping[str, PeerConnection]) -> None:
        """Set which processes are connected, by incarnation."""
        near = rank_processes(self.incarnation, peers)[:KEY_STATUS_RECIPIENTS]
        self._recipients = [peers[name] for name in near]

    def greet(self, peer: PeerConnection) -> None:
        """Send a process that has just connected the newest configuration known here.

        It may have started with an older one from a store that was restored.
        """
        self._key_repeater.reset()
        newest = self.state.config_versions.newest
        if newest:
            peer.post(EncodedMessage(NewestConfiguration(newest)))

    def send(self) -> None:
        """Send what has changed or is due."""
        now = self.state.clock.now()
        can_serve = self.state.can_serve(now)
        if self._key_repeater.is_due(can_serve, now):
            self.post(self._recipients, KeysHonoured(can_serve))
        config_versions = self.state.config_versions
        newest = 0 if config_versions.is_unverified(now) else config_versions.newest
        if newest and self._configuration_repeater.is_due(newest, now):
            self.post(self._recipients, NewestConfiguration(newest))

    def receive_keys(self, peer: PeerConnection, message: KeysHonoured) -> None:
        """Record whether a peer can serve callers."""
        self.state.others.receive_update(
            peer.peer.incarnation, message.honoured, self.state.clock.now()
        )

    def receive_configuration(self, peer: PeerConnection, message: NewestConfiguration) -> None:
        """Record the newest configuration that a peer knows."""
        self.state.config_versions.record_peer_confirmation(message.version, self.state.clock.now())
        self.state.note_change()
