"""Keep streams at the service and software version that began them, whoever resumes them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable

import attrs
from result import Err, Ok

from burdockquay_coordination.forwarding import (
    ASKED_AT_LAST,
    ForwardRoute,
    OriginEvidence,
    RouteKey,
    StreamOrigin,
    former_origins,
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

READ_TIMEOUT_S = 1.0
"""Longest time for which the record and the list are read to place a stream, seconds."""

STARTING_S = 3.0
"""Time after its start within which a process may still be about to connect to others, seconds."""


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
    is_recorded = await state.origins.ensure(route, origin, call.request.id)
    if not is_recorded:
        state.announce_versions({origin})
    if must_send or not is_recorded or len(state.origins.records.get(route).origins) > 1:
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
            await _remove_expired(state)
            await _maintain_checkpoint(state)


async def _maintain_checkpoint(state: ForwarderState) -> None:
    """Keep the checkpoint of the list for processes that start after the loss of all."""
    age_s = state.clock.now() - state.started_at
    if age_s < STARTING_S and not state.connected_peers():
        # Until it is connected, each process takes itself for the one with this duty.
        return
    for service in state.upstream_registry.services:
        state.observe_versions(service)
    await state.coverage.maintain(state.origins.spawn)


async def _remove_expired(state: ForwarderState) -> None:
    """Remove origins that are out of date by a list that is read for this purpose.

    A process that was suspended or disconnected would count the time for which it missed all
    changes as one in which an origin was absent.
    """
    now = state.clock.now()
    if not state.origins.has_expired(now) or not await _confirm_list(state):
        return
    if state.streams.has_missed(state.clock.now()):
        return
    in_use = {
        StreamOrigin(service, version)
        for service in state.upstream_registry.services
        for version in state.streams.seen(service, now)
    }
    await state.origins.remove_expired(now, in_use)


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
    list_age_s = state.upstream_list_age_s(begun_at)
    found = await _search(state, call, digest)
    origin, source = found.origin, found.source
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
        **_describe(found.evidence),
        list_age_s=list_age_s,
        asked_s=state.clock.now() - begun_at,
        seen_by=sorted(str(version) for version in found.seen_by),
    )
    if origin is None:
        raise CallError(RequestError(ErrorKind.STREAM_UNKNOWN))
    call.service, call.software_version = origin.service, origin.version


@attrs.frozen
class _Found:
    """The origin of a stream, None if it is not known, and how it was found."""

    origin: StreamOrigin | None
    source: str
    evidence: OriginEvidence | None = None
    seen_by: frozenset[str | None] = frozenset()


async def _search(state: ForwarderState, call: ForwardCall, digest: bytes) -> _Found:
    """Return the origin of a stream.

    If nobody that is asked knows the stream, its origin may still be the only possible one. What
    the process knows already does not show that: it may be disconnected from others, or have been
    suspended until now.
    """
    origin = state.streams.find(digest, state.clock.now())
    if origin is not None:
        return _Found(origin, "own")
    known = await state.ask_stream_origin(digest, call.service)
    if known.origin is None and state.clock.now() - state.started_at < STARTING_S:
        # What peers tell a process that has just connected arrives before their answers.
        await state.wait_for_peers(PEERS_WAIT_S)
        known = await state.ask_stream_origin(digest, call.service)
    if known.origin is not None:
        return _Found(known.origin, "peer")
    evidence = await _collect_evidence(state, call)
    only = evidence.only_origin()
    if only is not None:
        source = "only" if evidence.recorded is None else "record"
        return _Found(only, source, evidence, known.only_versions)
    known = await state.ask_stream_origin(digest, call.service, ASKED_AT_LAST)
    return _Found(known.origin, "peer", evidence, known.only_versions)


async def _collect_evidence(state: ForwarderState, call: ForwardCall) -> OriginEvidence:
    """Read the record and the list of upstreams, and return what they show."""
    recorded, is_current = None, False
    key = _route_key(call.route)
    reading = asyncio.gather(
        state.origins.find_possible(key),
        _confirm_list(state),
        state.config_changes.get(),
        state.coverage.ensure(state.origins.spawn),
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(READ_TIMEOUT_S):
            recorded, is_list_current, config_changed, _ = await reading
            # A route that has moved may have begun streams at another service.
            is_current = is_list_current and config_changed == Ok(False)
    now = state.clock.now()
    services = {share.service for share in call.route.shares}
    for service in services:
        state.observe_versions(service)
    all_seen = state.streams.all_seen(now)
    seen = frozenset(origin for origin in all_seen if origin.service in services)
    former = state.route_services.former(key, now)
    return OriginEvidence(
        recorded,
        seen | former_origins(former, all_seen),
        is_current,
        state.streams.has_missed(now),
        state.streams.is_watched(now),
        state.streams.is_covered(now),
    )


async def _confirm_list(state: ForwarderState) -> bool:
    """Read the changes of the list of upstreams until now; return whether that was possible."""
    read = await state.list_changes.get()
    if isinstance(read, Err):
        return False
    changes = read.ok()
    if changes.has_missed:
        state.streams.note_missed(state.clock.now())
    for entry in (*changes.listed, *changes.superseded):
        state.streams.note_seen(entry.service, entry.software_version, state.clock.now())
    return True


def _describe(evidence: OriginEvidence | None) -> dict[str, object]:
    """Return the fields of the log that show by what a stream was placed or refused."""
    if evidence is None:
        return {}
    return {
        "recorded": _names(evidence.recorded),
        "seen": _names(evidence.seen),
        "is_current": evidence.is_current,
        "has_missed": evidence.has_missed,
        "is_watched": evidence.is_watched,
        "is_covered": evidence.is_covered,
    }


def _names(origins: Iterable[StreamOrigin] | None) -> list[str] | None:
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
