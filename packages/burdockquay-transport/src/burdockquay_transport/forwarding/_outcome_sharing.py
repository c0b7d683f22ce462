"""Exchange of the outcomes of requests at the upstreams between forwarders."""

from __future__ import annotations

import attrs

from burdockquay_coordination.forwarding import (
    Mechanism,
    OutcomeRelay,
    Outcomes,
    OutcomesByUpstream,
    Upstream,
    add_outcomes,
)
from burdockquay_protocol import UpstreamOutcome, UpstreamOutcomes

from .._events import Event, log_event
from .._peer import Identity, PeerConnection
from ._load_sharing import Post, RelayTargets
from ._state import ForwarderState

SUCCESS_INTERVAL_S = 0.4
"""Time between two messages that report complete answers alone, seconds. Failures are sent without
this delay: until others receive them, they send requests to the same upstream, which looks idle."""


class OutcomeSharing:
    """Sends peers the outcomes of the requests of this process, and applies those of others.

    Parameters
    ----------
    state : ForwarderState
    identity : Identity
    post : callable
        Sends a message on some connections.
    """

    def __init__(self, state: ForwarderState, identity: Identity, post: Post):
        self.state = state
        self.identity = identity
        self.post = post
        self._outcome_relay = OutcomeRelay()
        self._unsent_own: dict[str, Outcomes] = {}
        self._sent_at = float("-inf")

    def send(self, targets: RelayTargets) -> None:
        """Send own outcomes to the relay, and as a relay pass on those of others."""
        now = self.state.clock.now()
        is_due = now - self._sent_at >= SUCCESS_INTERVAL_S
        if is_due:
            self._sent_at = now
        self._outcome_relay.set_recipients(targets.near, targets.far, targets.across)
        self._send_own(targets.relay, is_due)
        for name, peer in targets.recipients.items():
            if is_due or self._outcome_relay.has_failures(name):
                self._send_to(peer, self._outcome_relay.take(name))

    def due_in_s(self, now: float) -> float:
        """Return the time until complete answers alone are sent, seconds."""
        return self._sent_at + SUCCESS_INTERVAL_S - now

    def receive(self, peer: PeerConnection, message: UpstreamOutcomes) -> None:
        """Apply the outcomes of requests of others."""
        received = {item.upstream: _decode(item) for item in message.outcomes}
        is_near = peer.peer.failure_domain == self.identity.failure_domain
        self._outcome_relay.receive_update(peer.peer.incarnation, received, is_near)
        self.state.note_change()
        if not self.state.switches.uses(Mechanism.SHARED_OUTCOMES):
            return
        now = self.state.clock.now()
        for incarnation, outcomes in received.items():
            upstream = self.state.upstream_registry.find(incarnation)
            if upstream is not None:
                _apply_outcomes(upstream, outcomes, now)

    def _send_own(self, relay: PeerConnection | None, is_due: bool) -> None:
        new = {
            upstream.incarnation: outcomes
            for upstream in self.state.upstream_registry.all()
            if (outcomes := upstream.health.take_unsent_outcomes()) is not None
        }
        self._outcome_relay.receive_update(self.identity.incarnation, new, is_near=True)
        add_outcomes(self._unsent_own, new)
        if is_due or any(outcomes.failed for outcomes in self._unsent_own.values()):
            own, self._unsent_own = self._unsent_own, {}
            if relay is not None:
                self._send_to(relay, own)

    def _send_to(self, peer: PeerConnection, outcomes: OutcomesByUpstream) -> None:
        if outcomes and peer.version >= UpstreamOutcomes.since:
            sent = [UpstreamOutcome(name, *attrs.astuple(item)) for name, item in outcomes.items()]
            self.post([peer], UpstreamOutcomes(sent))


def _apply_outcomes(upstream: Upstream, outcomes: Outcomes, now: float) -> None:
    health = upstream.health
    was_avoided = health.is_avoided(now)
    health.apply_peer_outcomes(outcomes, now)
    if health.is_avoided(now) and not was_avoided:
        log_event(
            Event.UPSTREAM_AVOIDED,
            upstream=upstream.id,
            unreachable=health.suspended(now),
            failure_share=health.failure_share(now),
            heard_failed=outcomes.failed,
            heard_whole=outcomes.whole,
        )


def _decode(outcome: UpstreamOutcome) -> Outcomes:
    return Outcomes(outcome.whole, outcome.failed, outcome.unreachable)
