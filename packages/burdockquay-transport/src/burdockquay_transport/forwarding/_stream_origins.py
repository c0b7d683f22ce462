"""Keep streams at the service and software version that began them, whoever resumes them."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import attrs

from burdockquay_coordination.forwarding import (
    ForwardRoute,
    PeerKnowledge,
    RouteKey,
    StreamOrigin,
    stream_digest,
)
from burdockquay_protocol import ErrorKind, RequestError

from .._call_error import CallError
from .._events import Event, log_event
from ._call import ForwardCall
from ._state import ForwarderState

OBSERVE_INTERVAL_S = 1.0
"""Time between two checks of the recorded origins, seconds."""

PEERS_WAIT_S = 0.5
"""Longest time for which a process that has just started waits for the processes that may know a
stream, seconds."""

STARTING_S = 3.0
"""Time after its start within which a process may still be about to connect to others, seconds."""


@attrs.define
class _Knowledge:
    """What was known of a stream that nobody knows, for the log."""

    recorded: frozenset[StreamOrigin] | None = None
    listed: frozenset[StreamOrigin] = frozenset()
    seen_by: frozenset[str | None] = frozenset()


def begin_recording(state: ForwarderState, call: ForwardCall) -> None:
    """Begin to record where a stream begins, while its upstream prepares the first event."""
    if call.software_version is None and call.route.can_resume:
        state.origins.begin(_route_key(call.route), StreamOrigin(call.service, call.sent_version))


async def record_origin(state: ForwarderState, call: ForwardCall) -> None:
    """Record where a stream began, before its caller gets the first event."""
    call.software_version = call.sent_version
    if not call.route.can_resume:
        return
    state.observe_versions(call.service)
    digest = stream_digest(call.request.id, call.organisation)
    origin = StreamOrigin(call.service, call.software_version)
    route = _route_key(call.route)
    must_send = state.streams.record(digest, origin, state.clock.now())
    await state.origins.ensure(route, origin, call.request.id)
    if must_send or len(state.origins.records.get(route).origins) > 1:
        state.send_stream_starts([(digest, origin)])


def observe_origins(state: ForwarderState) -> None:
    """Record where streams may begin, by the configuration and the list of upstreams."""
    if state.directory is None:
        return
    now = state.clock.now()
    for route in list(state.origins.records.routes):
        state.origins.observe(route, _present_origins(state, route), now)


async def keep_origins(state: ForwarderState) -> None:
    """Remove origins that are out of date from the record, until cancelled."""
    while True:
        await asyncio.sleep(OBSERVE_INTERVAL_S)
        observe_origins(state)
        if state.is_first_of("stream origins"):
            await state.origins.remove_expired(state.clock.now())


async def find_origin(state: ForwarderState, call: ForwardCall) -> None:
    """Bind a call that resumes a stream to the service and software version that began it.

    Raises
    ------
    CallError
        If they are unknown: upstreams of any version would write an answer.
    """
    request = call.request
    if not request.resume_after or not call.route.can_resume:
        return
    digest = stream_digest(request.resumed_attempt or "", call.organisation)
    begun_at = state.clock.now()
    knowledge = _Knowledge()
    origin, source = await _search(state, call, digest, knowledge)
    if origin is None or origin.service not in {item.service for item in call.route.shares}:
        origin, source = None, "unknown"
    state.metrics.resumed.labels(call.service, source).inc()
    log_event(
        Event.STREAM_RESUMED,
        request=request.id,
        resumes=request.resumed_attempt,
        service=call.service,
        software=origin.version if origin else None,
        source=source,
        recorded=_describe(knowledge.recorded),
        listed=_describe(knowledge.listed),
        list_age_s=state.upstream_list_age_s(begun_at),
        asked_s=state.clock.now() - begun_at,
        seen_by=sorted(str(version) for version in knowledge.seen_by),
    )
    if origin is None:
        raise CallError(RequestError(ErrorKind.STREAM_UNKNOWN))
    call.service, call.software_version = origin.service, origin.version


async def _search(
    state: ForwarderState, call: ForwardCall, digest: bytes, knowledge: _Knowledge
) -> tuple[StreamOrigin | None, str]:
    """Return the origin of a stream, and who knew it; fill in what was known."""
    origin = state.streams.find(digest, state.clock.now())
    if origin is not None:
        return origin, "own"
    known = await state.ask_stream_origin(digest, call.service)
    if known.origin is not None:
        return known.origin, "peer"
    knowledge.seen_by = known.only_versions
    possible = knowledge.recorded = await state.origins.find_possible(_route_key(call.route))
    listed = knowledge.listed = _listed_origins(state, call.route)
    if possible is None:
        return _find_only_origin(state, call, known), "only"
    possible = possible or listed
    if len(possible) == 1 and listed <= possible:
        return next(iter(possible)), "record"
    is_starting = state.clock.now() - state.started_at < STARTING_S
    if is_starting and await state.wait_for_peers(PEERS_WAIT_S):
        known = await state.ask_stream_origin(digest, call.service)
    return known.origin, "peer"


def _find_only_origin(
    state: ForwarderState, call: ForwardCall, known: PeerKnowledge
) -> StreamOrigin | None:
    """Return the origin of all streams of a route, None if it may have several.

    The list of a process without contact to others may be old.
    """
    if len(call.route.shares) > 1:
        return None
    state.observe_versions(call.service)
    version = state.streams.only_version(call.service, state.clock.now())
    is_alone = state.upstream_registry.fleet.is_alone
    agrees = known.only_versions == {version} or (is_alone and not known.only_versions)
    return StreamOrigin(call.service, version) if version is not None and agrees else None


def _describe(origins: Iterable[StreamOrigin] | None) -> list[str] | None:
    if origins is None:
        return None
    return sorted(f"{origin.service} {origin.version}" for origin in origins)


def _route_key(route: ForwardRoute) -> RouteKey:
    return RouteKey(route.host, route.prefix)


def _present_origins(state: ForwarderState, key: RouteKey) -> frozenset[StreamOrigin]:
    """Return where streams of a route may begin at present."""
    route = state.directory.route_at(key.host, key.prefix)
    return frozenset() if route is None else _listed_origins(state, route)


def _listed_origins(state: ForwarderState, route: ForwardRoute) -> frozenset[StreamOrigin]:
    return frozenset(
        StreamOrigin(share.service, item.entry.software_version)
        for share in route.shares
        for item in state.upstream_registry.of_service(share.service)
    )
