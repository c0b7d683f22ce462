"""Conditions that are checked when a request is sent, and what ends a send early."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from burdockquay_coordination.forwarding import Upstream
from burdockquay_protocol import ErrorKind, RequestError

from ._call import ForwardCall, failure_of
from ._connections import HeldBackError, OtherHeldBackError


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
    source = call.sent.placement.source if call.sent else None
    if not call.is_inside(upstream):
        raise HeldBackError(f"upstream {upstream.id} lies outside the homes of the request")
    for item in (source, call.backup):
        if item is not None and not call.is_inside(item):
            raise OtherHeldBackError(f"{item.id} lies outside the homes of the request")


def check_statements(upstream: Upstream, now: float) -> None:
    """Raise if an upstream wants no requests any more.

    An answer to another request may have stated that while a connection was opened.

    Raises
    ------
    HeldBackError
    """
    if upstream.statements.leaving.in_force:
        raise HeldBackError(f"upstream {upstream.id} has stated that it leaves")
    rest_s = upstream.statements.rest.remaining_s(now)
    if rest_s:
        raise HeldBackError(f"upstream {upstream.id} rests for another {rest_s:.3f} s")


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
