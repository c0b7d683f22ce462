"""Ends of connections in the middle of an answer."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from ._raw_server import RawConnection

ENDINGS: Mapping[str, Callable[[RawConnection], None]] = {
    "close": RawConnection.close,
    "reset": RawConnection.reset,
    "half_close": RawConnection.half_close,
}
"""Ways in which an upstream may end a connection, by name."""


async def cut_answer(connection: RawConnection, data: bytes, ending: str) -> None:
    """Write a part of an answer, end the connection and wait until the client closes it.

    Parameters
    ----------
    connection : RawConnection
    data : bytes
    ending : str
        One of :data:`ENDINGS`.
    """
    await connection.write(data)
    ENDINGS[ending](connection)
    await connection.wait_until_closed()
