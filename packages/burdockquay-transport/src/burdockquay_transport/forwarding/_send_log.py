"""The log line of each send, with the data that decided it."""

from __future__ import annotations

from burdockquay_coordination.forwarding import Upstream, held_back_upstreams

from .._events import Event, log_event
from ._call import ForwardCall
from ._state import ForwarderState

MAX_NAMED_UPSTREAMS = 5
"""Most upstreams that a line names as held back by what they have stated or by an evacuation."""


def log_send(
    state: ForwarderState, call: ForwardCall, upstream: Upstream, sent_urgency: int
) -> None:
    """Log that a call is sent to an upstream, with what decided it, and count it.

    Parameters
    ----------
    state : ForwarderState
    call : ForwardCall
    upstream : Upstream
    sent_urgency : int
        Urgency that the upstream is told.
    """
    now = state.clock.now()
    placement = call.sent.placement if call.sent else None
    directory = state.directory
    if upstream.limit.binds(now):
        state.metrics.limited_sends.labels(upstream.id).inc()
    if not call.sends:
        state.metrics.waited.labels(*call.class_labels).observe(now - call.started)
    log_event(
        Event.CALL_SENT,
        request=call.request.id,
        route=call.route.name,
        service=call.service,
        upstream=upstream.id,
        software=upstream.entry.software_version or None,
        region=_describe_region(state, upstream),
        sends=call.sends,
        waited_s=now - call.started,
        remaining_s=call.deadline - now,
        urgency=call.urgency,
        sent_urgency=sent_urgency,
        running=upstream.running(now),
        rate_limit=upstream.limit.stated_per_s,
        cold_s=upstream.cold.remaining_s(now) or None,
        leaving_s=upstream.statements.leaving.age_s(now),
        rest_s=upstream.statements.rest.remaining_s(now) or None,
        listed=_describe_listing(state, upstream),
        held_back=_describe_held_back(state, call, now),
        predicted_s=placement.first_token_s if placement else None,
        backlog_s=placement.backlog_s if placement else None,
        missing_tokens=placement.tokens if placement else None,
        fetched_tokens=placement.fetched_tokens if placement else None,
        source=placement.source.id if placement and placement.source else None,
        resume_after=call.last_event or call.request.resume_after,
        resumes=call.request.resumed_attempt,
        backup=call.backup.id if call.backup else None,
        goes_on=call.continue_at is upstream or None,
        revision=directory.config.version if directory else None,
        config_age_s=state.lease.age(now),
    )


def _describe_region(state: ForwarderState, upstream: Upstream) -> str | None:
    """Return the region of an upstream where there are several."""
    regions = state.region_map
    return regions.region_of(upstream.entry.failure_domain) if regions.has_several else None


def _describe_listing(state: ForwarderState, upstream: Upstream) -> str | None:
    """Return why a usable upstream is not listed as ready, None if it is."""
    if upstream.id in state.upstream_registry.missing:
        return "missing"
    return "leaving" if upstream.entry.leaving else None


def _describe_held_back(state: ForwarderState, call: ForwardCall, now: float) -> str | None:
    """Return the upstreams that a call was not sent to, with the reason."""
    candidates = call.candidates(state.upstream_registry)
    found = held_back_upstreams(candidates, call.tried, now)
    named = [f"{item.id}:{item.held_back_by(now)}" for item in found[:MAX_NAMED_UPSTREAMS]]
    return ",".join(named) or None
