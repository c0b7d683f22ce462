"""What the forwarders tell each other of how requests end at the upstreams."""

from __future__ import annotations

import attrs

from burdockquay_coordination.forwarding import (
    Mechanism,
    OutcomeLedger,
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

TELL_S = 0.4
"""Time between two messages that tell of whole answers alone, seconds. Failures do not wait: until
others hear of them they send to the same upstream, which looks idle."""


class OutcomeSharing:
    """Tells the others how requests of this process ended, and takes in what they say.

    Parameters
    ----------
    state : ForwarderState
    identity : Identity
    post : callable
        Sends a message to some connections.
    """

    def __init__(self, state: ForwarderState, identity: Identity, post: Post):
        self.state = state
        self.identity = identity
        self.post = post
        self._ledger = OutcomeLedger()
        self._own: dict[str, Outcomes] = {}
        self._told_at = float("-inf")

    def tell(self, targets: RelayTargets) -> None:
        """Tell the relay what this process saw, and the others what they wait for as its relay."""
        now = self.state.clock.now()
        is_due = now - self._told_at >= TELL_S
        if is_due:
            self._told_at = now
        self._ledger.set_targets(targets.near, targets.far)
        self._tell_own(targets.relay, is_due)
        for name, peer in {**targets.near, **targets.far}.items():
            if is_due or self._ledger.has_failures(name):
                self._post_to(peer, self._ledger.take(name))

    def hear(self, peer: PeerConnection, message: UpstreamOutcomes) -> None:
        """Take in how requests of others ended."""
        heard = {told.upstream: _read(told) for told in message.outcomes}
        is_near = peer.peer.failure_domain == self.identity.failure_domain
        self._ledger.hear(peer.peer.incarnation, heard, is_near)
        if not self.state.switches.uses(Mechanism.SHARED_OUTCOMES):
            return
        now = self.state.clock.now()
        for incarnation, outcomes in heard.items():
            upstream = self.state.book.find(incarnation)
            if upstream is not None:
                _hear(upstream, outcomes, now)

    def _tell_own(self, relay: PeerConnection | None, is_due: bool) -> None:
        new = {
            upstream.incarnation: outcomes
            for upstream in self.state.book.all()
            if (outcomes := upstream.health.take_untold_outcomes()) is not None
        }
        self._ledger.hear(self.identity.incarnation, new, is_near=True)
        add_outcomes(self._own, new)
        if is_due or any(outcomes.failed for outcomes in self._own.values()):
            own, self._own = self._own, {}
            if relay is not None:
                self._post_to(relay, own)

    def _post_to(self, peer: PeerConnection, outcomes: OutcomesByUpstream) -> None:
        if outcomes and peer.version >= UpstreamOutcomes.since:
            told = [UpstreamOutcome(name, *attrs.astuple(item)) for name, item in outcomes.items()]
            self.post([peer], UpstreamOutcomes(told))


def _hear(upstream: Upstream, outcomes: Outcomes, now: float) -> None:
    health = upstream.health
    was_avoided = health.is_avoided(now)
    health.hear_outcomes(outcomes, now)
    if health.is_avoided(now) and not was_avoided:
        log_event(
            Event.UPSTREAM_AVOIDED,
            upstream=upstream.id,
            unreachable=health.suspended(now),
            failure_share=health.failure_share(now),
            heard_failed=outcomes.failed,
            heard_whole=outcomes.whole,
        )


def _read(told: UpstreamOutcome) -> Outcomes:
    return Outcomes(told.whole, told.failed, told.unreachable)
