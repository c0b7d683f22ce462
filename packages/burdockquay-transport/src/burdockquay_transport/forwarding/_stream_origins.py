"""Keep streams at the service and software version that began them, whoever resumes them."""

from __future__ import annotations

from burdockquay_coordination.forwarding import PeerKnowledge, StreamOrigin, stream_digest
from burdockquay_protocol import ErrorKind, RequestError

from .._call_error import CallError
from .._events import Event, log_event
from ._call import ForwardCall
from ._state import ForwarderState


def record_origin(state: ForwarderState, call: ForwardCall) -> None:
    """Record where a stream began, before its caller gets the first event."""
    call.software_version = call.sent_version
    if not call.route.can_resume:
        return
    state.observe_versions(call.service)
    digest = stream_digest(call.request.id, call.organisation)
    origin = StreamOrigin(call.service, call.software_version)
    if state.streams.record(digest, origin, state.clock.now()):
        state.send_stream_starts([(digest, origin)])


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
    origin, source = state.streams.find(digest, state.clock.now()), "own"
    if origin is None:
        known = await state.ask_stream_origin(digest, call.service)
        origin, source = known.origin, "peer"
        if origin is None:
            origin, source = _find_only_origin(state, call.service, known), "only"
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
    )
    if origin is None:
        raise CallError(RequestError(ErrorKind.STREAM_UNKNOWN))
    call.service, call.software_version = origin.service, origin.version


def _find_only_origin(
    state: ForwarderState, service: str, known: PeerKnowledge
) -> StreamOrigin | None:
    """Return the origin of all streams of a service, None if it may have several versions.

    A process that has just started does not know the versions of the last minute, and the list of
    one without contact may be old.
    """
    state.observe_versions(service)
    version = state.streams.only_version(service, state.clock.now())
    is_alone = state.upstream_registry.processes == 1
    agrees = known.only_versions == {version} or (is_alone and not known.only_versions)
    return StreamOrigin(service, version) if version is not None and agrees else None
