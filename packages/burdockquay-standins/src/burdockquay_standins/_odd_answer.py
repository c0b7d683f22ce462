"""Answers that break the grammar of HTTP, and unusual ones that keep to it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping, Sequence

import attrs

from ._cut_answer import cut_answer
from ._raw_server import Behaviour, RawConnection, RawRequest


@attrs.frozen
class OddAnswer:
    """Answer of which each line can be chosen.

    Parameters
    ----------
    status_line : bytes
    lines : tuple of bytes
        Lines of the head after those of the upstream itself.
    framing : bytes or None
        Lines that say how long the body is; None for its ``Content-Length``.
    body_format : bytes
        How the body is written, with ``%(body)b`` and ``%(size)x``.
    """

    status_line: bytes = b"HTTP/1.1 200 OK"
    lines: tuple[bytes, ...] = ()
    framing: bytes | None = None
    body_format: bytes = b"%(body)b"

    @property
    def status(self) -> int:
        """Status code of the final head, if its status line is well-formed."""
        return int(self.status_line.rpartition(b"HTTP/")[2].split()[1])

    def encode(self, own_lines: Iterable[bytes], body: bytes) -> bytes:
        """Return the bytes of the answer.

        Parameters
        ----------
        own_lines : iterable of bytes
            Lines of the head that the upstream writes in each answer.
        body : bytes
        """
        written = self.body_format % {b"body": body, b"size": len(body)}
        framing = self.framing or b"Content-Length: %d" % len(written)
        return b"\r\n".join([self.status_line, framing, *own_lines, *self.lines, b"", written])


def _with_status_lines(*status_lines: bytes) -> tuple[OddAnswer, ...]:
    return tuple(OddAnswer(line) for line in status_lines)


def _with_lines(*lines: bytes) -> tuple[OddAnswer, ...]:
    return tuple(OddAnswer(lines=(line, b"X-Last: 1")) for line in lines)


_CHUNKED = b"Transfer-Encoding: chunked"
_CHUNKS = b"%(size)x\r\n%(body)b\r\n0\r\n\r\n"


def _with_codings(*values: bytes) -> tuple[OddAnswer, ...]:
    lines = (value.replace(b"|", b"\r\nTransfer-Encoding: ") for value in values)
    return tuple(
        OddAnswer(framing=b"Transfer-Encoding: " + line, body_format=_CHUNKS) for line in lines
    )


def _with_chunks(*formats: bytes) -> tuple[OddAnswer, ...]:
    return tuple(OddAnswer(framing=_CHUNKED, body_format=text) for text in formats)


_CONTROL_BYTES = (b"\0", b"\x01", b"\x0b", b"\r", b"\x1b", b"\x7f")

MALFORMED_ANSWERS: Mapping[str, Sequence[OddAnswer]] = {
    "status": _with_status_lines(
        *(b"HTTP/1.1 %03d Gone" % code for code in (0, 1, 20, 99, 600, 601, 799, 999)),
        *(b"HTTP/1.1 " + code + b" Gone" for code in (b"20", b"2000", b"-20", b"2x0", b"")),
        *(version + b" 200 OK" for version in (b"HTTP/2.0", b"HTTP/0.9", b"HTTP/1.x", b"HTTP")),
        *(b"HTTP/1.1 200 O" + byte + b"K" for byte in _CONTROL_BYTES),
        *(b"HTTP/1.1\t200 OK", b"HTTP/1.1  200 OK", b" HTTP/1.1 200 OK", b"\rHTTP/1.1 200 OK"),
    ),
    "name": _with_lines(
        *(
            b"X" + byte + b"Note: y"
            for byte in (*_CONTROL_BYTES, *b' ,\t,(,),/,[,",\xe9'.split(b","))
        ),
        *(b"X-Note : y", b"X-Note\t: y", b": y", b"X-Note", b"X-Note; y"),
    ),
    "folded": (
        *_with_lines(b" X-Note: y", b"\tX-Note: y", b" y", b" "),
        *_with_status_lines(
            b"HTTP/1.1 200 OK\r\n X-Note: y", b"HTTP/1.1 103 Hints\r\n\ty\r\n\r\nHTTP/1.1 200 OK"
        ),
    ),
    "value": _with_lines(*(b"X-Note: y" + byte + b"z" for byte in _CONTROL_BYTES)),
    "framing": (
        *_with_codings(b"chunked, chunked", b"chunked|chunked", b"identity, chunked"),
        *_with_codings(b"chunked, identity", b"chunked;q=1", b"chunked\r\nContent-Length: 4"),
        *(
            OddAnswer(framing=b"Content-Length: " + value)
            for value in (b"-4", b"+4", b"4 4", b"0x4", b"4.0", b"", b"4\r\nContent-Length: 5")
        ),
    ),
    "chunk": _with_chunks(
        *(size + _CHUNKS.removeprefix(b"%(size)x") for size in (b"", b"-4", b"0x4", b"zz", b"1")),
        *(before + _CHUNKS for before in (b" ", b"\t", b"\r\n", b"10000000000000000")),
        _CHUNKS.replace(b"\r\n", b"\n", 1),
    ),
}
"""Answers of which no part may reach a caller, by what is malformed."""

UNUSUAL_ANSWERS: Sequence[OddAnswer] = (
    *_with_status_lines(b"HTTP/1.1 200", b"HTTP/1.1 200 ", b"HTTP/1.1 299 Odd", b"HTTP/1.0 200 OK"),
    *_with_status_lines(b"HTTP/1.1 200 \xc3\xa0\tla carte", b"\r\n\r\nHTTP/1.1 200 OK"),
    *_with_lines(
        b"X-Note:", b"X-Note:y", b"X-Note: \ty\tz ", b"X-Note: \xe9\xff", b"X-Note: \xc3\xa9"
    ),
    *_with_lines(b"!#$%&'*+-.^_`|~1: y", b"X-Note: y\nX-Other: z", b'X-Note: :;, "y" (z)'),
    *_with_status_lines(b"HTTP/1.1 103 Hints\r\nLink: y\r\n\r\nHTTP/1.1 200 OK"),
    *_with_codings(b"chunked", b"Chunked", b", chunked"),
    *_with_chunks(
        b"00%(size)X;name=value\r\n%(body)b\r\n0;last\r\n\r\n",
        b"%(size)x\r\n%(body)b\r\n0\r\nX-Trailer: y\r\n\r\n",
    ),
)
"""Answers that are passed on with their status and body."""


PARTIAL_ANSWERS: Mapping[str, OddAnswer] = {
    "neither": OddAnswer(framing=b"Connection: close"),
    "http_1_0": OddAnswer(b"HTTP/1.0 200 OK", framing=b"Connection: close"),
    "length": OddAnswer(framing=b"Content-Length: 9000"),
    "chunks": OddAnswer(framing=_CHUNKED, body_format=_CHUNKS.removesuffix(b"0\r\n\r\n")),
}
"""Answers of which the end of the body is not sent, by what says how long it is."""


def send_odd_answer(
    answer: OddAnswer,
    body: bytes,
    *own_lines: str,
    piece_bytes: int = 1 << 20,
    pause_s: float = 0.0,
    then: bytes = b"",
    ending: str | None = None,
) -> Behaviour:
    """Return a behaviour that sends an answer.

    Parameters
    ----------
    answer : OddAnswer
    body : bytes
    *own_lines : str
        Lines of each head, with ``{name}`` for the value of a header of the request.
    piece_bytes : int
        Most bytes that are written at a time.
    pause_s : float
        Time between the answer and what follows it, seconds.
    then : bytes
        Sent after the answer, unless the client has closed the connection.
    ending : str or None
        How the connection ends, one of :data:`ENDINGS`; None to keep it, so that the bytes of the
        answer alone show that it is malformed.
    """

    async def behave(request: RawRequest, connection: RawConnection) -> None:
        own = [line.format_map(request.headers).encode() for line in own_lines]
        data = answer.encode(own, body)
        for start in range(0, len(data), piece_bytes):
            await connection.write(data[start : start + piece_bytes])
            await asyncio.sleep(0)
        await asyncio.sleep(pause_s)
        if then and not connection.writer.is_closing():
            await connection.write(then)
        if ending is not None:
            await cut_answer(connection, b"", ending)

    return behave
