"""Requests to upstreams that the client library must not send twice, and its errors."""

from __future__ import annotations

import aiohttp

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors that come before anything was sent."""

BROKEN_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)
"""Errors after which the upstream may have got the request."""


class SendOnce:
    """Client middleware that lets one request out and refuses to send it again.

    Notes
    -----
    aiohttp sends a request of an idempotent method a second time when the connection breaks before
    the answer. A path of a plain service may be non-idempotent whatever its method: the request
    would run twice, and only the two effects at the upstream would show it.
    """

    def __init__(self):
        self._sent = False

    async def __call__(self, request, handler):
        """Pass the request on the first time.

        Raises
        ------
        RepeatRefusedError
            The second time.
        """
        if self._sent:
            raise RepeatRefusedError("the connection broke before the answer")
        self._sent = True
        return await handler(request)


class RepeatRefusedError(aiohttp.ClientError):
    """The client library was about to send a request again."""
