"""Conditions that are checked when a request is sent, and what ends a send early."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from burdockquay_coordination.forwarding import Upstream
from burdockquay_protocol import ErrorKind, RequestError

from ._call import ForwardCall, failure_of
from ._connections import EvacuatedError, HeldBackError, OtherHeldBackError

MAX_START_AGE_S = 0.3
"""Longest time from taking a start at a cold upstream to the first byte, seconds. To open a
connection to another region takes some 0.12 s."""


def check_version(call: ForwardCall, upstream: Upstream) -> None:
    """Raise if the entry of an upstream has changed to a version that does not fit the stream.

    Raises
    ------
    HeldBackError
    """
    if not call.accepts(upstream) or call.sent_version != upstream.entry.software_version:
        raise HeldBackError(f"upstream {upstream.id} has another software version")


def check_homes(call: ForwardCall, upstream: Upstream) -> None:
    """Raise if a send would leave the homes that the configuration now states.

    A new configuration may have been read while a connection was opened. The fetch source and the
    keeper of the copy receive data of the request, too.

    Raises
    ------
    HeldBackError
    OtherHeldBackError
        If only one of the latter is outside.
    """
    if call.homes is None:
        return
    if not call.is_inside(upstream):
        raise HeldBackError(f"upstream {upstream.id} lies outside the homes of the request")
    for item in _named_upstreams(call):
        if not call.is_inside(item):
            raise OtherHeldBackError(f"{item.id} lies outside the homes of the request")


def check_statements(upstream: Upstream, now: float) -> None:
    """Raise if an upstream wants no requests any more.

    An answer to another request may have stated that while a connection was opened, or the operator
    may have evacuated its failure domain.

    Raises
    ------
    HeldBackError
    """
    if upstream.is_evacuated:
        raise EvacuatedError(f"upstream {upstream.id} is in an evacuated failure domain")
    if upstream.statements.leaving.in_force:
        raise HeldBackError(f"upstream {upstream.id} has stated that it leaves")
    rest_s = upstream.statements.rest.remaining_s(now)
    if rest_s:
        raise HeldBackError(f"upstream {upstream.id} rests for another {rest_s:.3f} s")


def check_cold(call: ForwardCall, upstream: Upstream, now: float) -> None:
    """Raise if an upstream is cold and the start of a call is not granted for this moment.

    It may have turned cold while a connection was opened. And starts whose connections take long,
    as over a link that stalls, would all arrive at its end.

    Raises
    ------
    HeldBackError
    """
    if not upstream.cold.binds(now):
        return
    if upstream.cold.bound_at > call.sent_at:
        raise HeldBackError(f"upstream {upstream.id} has turned cold")
    if now - call.sent_at > MAX_START_AGE_S:
        raise HeldBackError(f"the start at the cold upstream {upstream.id} is too old")


def check_named_upstreams(call: ForwardCall) -> None:
    """Raise if a header names an upstream of an evacuated failure domain.

    The upstream that serves the call would fetch prompt parts there, or send a copy there.

    Raises
    ------
    OtherHeldBackError
    """
    for named in _named_upstreams(call):
        if named.is_evacuated:
            raise OtherHeldBackError(f"{named.id} is in an evacuated failure domain")


def _named_upstreams(call: ForwardCall) -> list[Upstream]:
    """Return the upstreams that the headers of a send name: the fetch source and the backup."""
    source = call.sent.placement.source if call.sent else None
    return [item for item in (source, call.backup) if item is not None]


@contextlib.asynccontextmanager
async def timeout_on_restart(upstream: Upstream) -> AsyncIterator[None]:
    """Raise TimeoutError in the body once the upstream has restarted."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:

        def end() -> None:
            limit.reschedule(loop.time())

        upstream.add_run(end)
        try:
            yield
        finally:
            upstream.remove_run(end)


def fetch_source(call: ForwardCall) -> str | None:
    """Return the address from which prompt parts are fetched, None if none are."""
    source = call.sent.placement.source if call.sent else None
    return source.address if source else None


def withheld_error(call: ForwardCall, kind: ErrorKind) -> RequestError:
    """Return the error of a send that was withheld.

    If an earlier send may have run, the error says that instead.
    """
    return failure_of(call) if call.maybe_run else RequestError(kind)
