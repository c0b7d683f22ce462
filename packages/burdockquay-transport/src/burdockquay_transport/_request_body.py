"""Read the bodies of callers' requests."""

from __future__ import annotations

import asyncio

from aiohttp import web

from burdockquay_protocol import ErrorKind, RequestError

from ._call_error import CallError

CLOSING_KINDS = frozenset(
    {ErrorKind.BODY_TOO_LARGE, ErrorKind.BAD_REQUEST, ErrorKind.REQUEST_TIMEOUT}
)
"""Kinds of refusals after which the rest of the request may follow."""


async def read_request_body(
    incoming: web.BaseRequest, max_body_bytes: int, timeout_s: float
) -> bytes:
    """Return the body of a request.

    Parameters
    ----------
    incoming : web.BaseRequest
    max_body_bytes : int
    timeout_s : float
        Time in which the whole body must arrive, seconds.

    Raises
    ------
    CallError
        If it is too large, too late, or given up.
    """
    too_large = RequestError(ErrorKind.BODY_TOO_LARGE, f"expected at most {max_body_bytes} bytes")
    if (incoming.content_length or 0) > max_body_bytes:
        raise CallError(too_large)
    pieces: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for data in incoming.content.iter_any():
                size += len(data)
                if size > max_body_bytes:
                    raise CallError(too_large)
                pieces.append(data)
    except TimeoutError:
        detail = f"expected the whole body within {timeout_s:g} s"
        raise CallError(RequestError(ErrorKind.REQUEST_TIMEOUT, detail)) from None
    else:
        return b"".join(pieces)
    finally:
        # The traceback of an error keeps this frame, and with it the pieces, for some time.
        pieces.clear()
