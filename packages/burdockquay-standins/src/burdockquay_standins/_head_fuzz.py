"""Random heads of answers, and their grammar, written apart from that of the product."""

from __future__ import annotations

import asyncio
import random
import string
from collections.abc import Iterator

import aiohttp
import attrs

from ._odd_answer import OddAnswer
from ._raw_server import RawConnection, RawRequest, RawServer

_TOKEN_BYTES = frozenset((string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~").encode())
_TEXT_BYTES = frozenset([*b"\t", *range(0x20, 0x7F), *range(0x80, 0x100)])

_INSERTED = (
    *(b"", b" ", b"\t", b"\r", b"\n", b"\r\n", b"\r\n ", b"\r\n\r\n", b":", b"\0", b"\x0b"),
    *(b"\x7f", b"\xe9", b"0", b"7", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 103 Hints\r\n\r\n"),
)

_MAX_CHANGES = 3
_MAX_REMOVED_BYTES = 4
_LINES = (b"X-Note: some text", b"Content-Type: text/plain", b'ETag: "1"')


class MalformedHeadError(ValueError):
    """Bytes do not begin with the whole head of a final answer."""


def parse_status(data: bytes) -> int:
    """Return the status of the final answer with which bytes begin.

    The grammar is that of RFC 9112, sections 2 to 5, with the leniency that RFC 9110 grants: lines
    may end in a line feed alone, and empty lines may precede a head.

    Raises
    ------
    MalformedHeadError

    Examples
    --------
    >>> parse_status(b"HTTP/1.1 103 Hints\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nX-Note: 1\\r\\n\\r\\n")
    200
    """
    lines = _split_lines(data)
    status = 100
    while status < 200:
        line = next(lines)
        while not line:
            line = next(lines)
        status = _parse_status_line(line)
        while line := next(lines):
            _check_field(line)
    return status


def _split_lines(data: bytes) -> Iterator[bytes]:
    *whole, _ = data.split(b"\n")
    for line in whole:
        yield line.removesuffix(b"\r")
    raise MalformedHeadError("the head does not end")


def _parse_status_line(line: bytes) -> int:
    version, _, rest = line.partition(b" ")
    code, reason = rest[:3], rest[3:]
    is_version = version.startswith(b"HTTP/1.") and version[7:].isdigit() and len(version) == 8
    is_code = len(code) == 3 and code.isdigit() and 100 <= int(code) < 600 and code != b"101"
    is_reason = reason[:1] in (b"", b" ") and _TEXT_BYTES.issuperset(reason)
    if not (is_version and is_code and is_reason):
        raise MalformedHeadError(f"status line {line!r}")
    return int(code)


def _check_field(line: bytes) -> None:
    name, colon, value = line.partition(b":")
    is_name = name and _TOKEN_BYTES.issuperset(name)
    if not (is_name and colon and _TEXT_BYTES.issuperset(value)):
        raise MalformedHeadError(f"field line {line!r}")


@attrs.frozen
class FuzzResult:
    """Result of answers with random heads.

    Parameters
    ----------
    accepted, refused : int
        Answers that a client took for one, and others.
    faults : list of bytes
        Malformed answers among the accepted ones, or such with another status.
    """

    accepted: int
    refused: int
    faults: list[bytes]


def make_random_answer(rng: random.Random) -> bytes:
    """Return the bytes of an answer whose end is that of its connection, with random changes."""
    data = OddAnswer(framing=b"Connection: close").encode(rng.sample(_LINES, 2), b"body")
    for _ in range(rng.randint(0, _MAX_CHANGES)):
        start = rng.randrange(len(data))
        end = start + rng.randint(0, _MAX_REMOVED_BYTES)
        data = data[:start] + rng.choice(_INSERTED) + data[end:]
    return data


async def fuzz_heads(
    connector: aiohttp.BaseConnector, rng: random.Random, count: int
) -> FuzzResult:
    """Send random answers to a client, and compare what it accepts with the grammar.

    Parameters
    ----------
    connector : aiohttp.BaseConnector
        Opens the connections of the client; it is closed at the end.
    rng : random.Random
    count : int
    """
    sent = b""

    async def send_in_pieces(request: RawRequest, connection: RawConnection) -> None:
        start = 0
        while start < len(sent):
            end = start + rng.choice((1, 2, 7, len(sent)))
            await connection.write(sent[start:end])
            await asyncio.sleep(0)
            start = end
        connection.close()

    accepted = 0
    faults = []
    async with (
        RawServer(send_in_pieces) as server,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        for _ in range(count):
            sent = make_random_answer(rng)
            status = await _read_status(session, f"http://127.0.0.1:{server.port}/")
            accepted += status is not None
            if status not in (None, _expected_status(sent)):
                faults.append(sent)
    return FuzzResult(accepted, count - accepted, faults)


async def _read_status(session: aiohttp.ClientSession, url: str) -> int | None:
    """Return the status of an answer, None if it is refused."""
    try:
        async with session.get(url, allow_redirects=False) as response:
            return response.status
    except aiohttp.ClientError:
        return None


def _expected_status(data: bytes) -> int | None:
    """Return the status of an answer by the grammar, None if it is malformed."""
    try:
        return parse_status(data)
    except MalformedHeadError:
        return None
