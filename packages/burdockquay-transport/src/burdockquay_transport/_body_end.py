"""End of the body of an answer that has neither a length nor chunks."""

from __future__ import annotations

import aiohttp


def protocol_of(response: aiohttp.ClientResponse) -> aiohttp.client_proto.ResponseHandler | None:
    """Return the protocol of the connection of an answer; call before its body is read."""
    return response.connection.protocol if response.connection else None


def check_body_end(protocol: aiohttp.client_proto.ResponseHandler | None) -> None:
    """Raise if the body of an answer ended by a reset of its connection.

    Parameters
    ----------
    protocol : ResponseHandler or None
        That of the connection before the body was read; None if it had been received by then.

    Raises
    ------
    aiohttp.ClientPayloadError

    Notes
    -----
    A body without a length ends with its connection, and the client library takes a reset for such
    an end. The caller would get a truncated answer that looks complete.
    """
    if protocol is not None and isinstance(protocol.exception(), OSError):
        raise aiohttp.ClientPayloadError("connection reset at the end of the body")
