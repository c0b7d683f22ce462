"""Protection against hidden retries of the client library, and its error classes."""

from __future__ import annotations

import aiohttp

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors that occur before anything was sent."""

BROKEN_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)
"""Errors after which the upstream may have received the request."""


class SendOnce:
    """Client middleware that sends a request once and refuses to send it again.

    Notes
    -----
    aiohttp sends a request with an idempotent method a second time when the connection is lost
    before the answer. A path of a plain service may be non-idempotent regardless of its method: the
    request would run twice, and only the double effect at the upstream would show it.
    """

    def __init__(self):
        self._sent = False

    async def __call__(self, request, handler):
        """Send the request, unless it was sent before.

        Raises
        ------
        RepeatRefusedError
            If the request was sent before.
        """
        if self._sent:
            raise RepeatRefusedError("the connection broke before the answer")
        self._sent = True
        return await handler(request)


class RepeatRefusedError(aiohttp.ClientError):
    """The client library was about to send a request again."""
