"""Grammar of the heads of answers, checked on the bytes as they arrive.

The parser of the client library accepts more than the grammar of HTTP allows, and what it returns
does not show how a head was written.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence

import attrs
from multidict import MultiMapping

_HEAD_ENDS = (b"\n\r\n", b"\n\n")

_EMPTY_LINES = re.compile(rb"(?:\r?\n)+")

_STATUS_LINE = re.compile(rb"HTTP/1\.\d (?P<status>[1-5]\d\d)(?: [^\r\n]*+)?+\r?\n")
"""Status line of RFC 9112, section 4, with the status codes of RFC 9110, section 15. The space
before an empty reason may be missing, as some upstreams send it.
"""

_OTHER_LINE = re.compile(rb"\n(?![!#$%&'*+\-.^_`|~0-9A-Za-z]++:|\r?\n|\Z)")
"""Line that is neither empty nor a field line of RFC 9112, section 5. Line folding (section 5.2) is
excluded: it would add the text of a damaged line to the value of the field before it.
"""

_TEXT_BYTES = bytes([*b"\t\r\n", *range(0x20, 0x7F), *range(0x80, 0x100)])
"""Bytes of reasons and values (RFC 9110, section 5.5) and of the ends of lines."""

_LENGTH = re.compile(r"[0-9]+")

_READABLE_CODINGS = frozenset({(), ("chunked",), ("identity",)})
"""Transfer codings of an answer that the parser removes, or that change nothing."""

_INNER_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?!\d)")
"""Status line after a part of a head. A protocol version alone is a valid part of a value, as in
the ``Via`` header.
"""

_FIRST_FINAL_STATUS = 200

_HEAD_RULES: Sequence[tuple[str, Callable[[bytes, re.Match[bytes] | None], object]]] = (
    ("its status line is malformed", lambda head, line: line),
    # Nothing is ever asked to switch, and no more HTTP follows.
    ("it switches protocols", lambda head, line: line["status"] != b"101"),
    ("a field line of its head is malformed", lambda head, line: not _OTHER_LINE.search(head)),
    ("its head holds a control byte", lambda head, line: _is_text(head)),
    (
        "another answer begins inside its head",
        lambda head, line: not _INNER_STATUS_LINE.search(head, line.start("status")),
    ),
)
"""What is wrong with a head if a condition on it, and on its status line, does not hold."""


def _is_text(head: bytes) -> bool:
    return not head.translate(None, _TEXT_BYTES) and head.count(b"\r") == head.count(b"\r\n")


@attrs.define
class HeadReader:
    """Checks the heads of one answer: those of interim answers, and the final one.

    Bytes after the final head are not looked at. A head is kept until it ends, and an incomplete
    one is never reported as malformed; whoever feeds it bounds its bytes.
    """

    _data: bytearray = attrs.field(factory=bytearray, init=False)
    _unclaimed: int = attrs.field(default=0, init=False)
    _is_final: bool = attrs.field(default=False, init=False)

    def feed(self, data: bytes) -> str | None:
        """Check the heads that end in received bytes.

        Returns
        -------
        str or None
            What is malformed, None if nothing is.
        """
        if self._is_final:
            return None
        searched = max(0, len(self._data) - 2)
        self._data += data
        while self._data and not self._is_final and (end := self._find_end(searched)):
            head = bytes(self._data[:end])
            del self._data[:end]
            searched = 0
            status_line = _STATUS_LINE.match(head)
            for fault, holds in _HEAD_RULES:
                if not holds(head, status_line):
                    return fault
            self._unclaimed += 1
            self._is_final = int(status_line["status"]) >= _FIRST_FINAL_STATUS
        if self._is_final:
            self._data.clear()
        return None

    def _find_end(self, searched: int) -> int:
        """Return the number of bytes of the next head, 0 if it has not ended."""
        if self._data[0] in b"\r\n" and (empty := _EMPTY_LINES.match(self._data)):
            # Some upstreams send empty lines before a head.
            del self._data[: empty.end()]
            searched = 0
        found = [(self._data.find(mark, searched), len(mark)) for mark in _HEAD_ENDS]
        return min((at + size for at, size in found if at >= 0), default=0)

    def claim(self) -> bool:
        """Return whether a head was checked that no message has claimed before, and claim it."""
        is_checked = self._unclaimed > 0
        self._unclaimed -= is_checked
        return is_checked


def find_framing_fault(headers: MultiMapping[str]) -> str | None:
    """Return why the headers of an answer do not tell where its body ends; None if they do.

    The rules are those of RFC 9112, section 6, without the choices that it leaves to recipients.

    Examples
    --------
    >>> from multidict import CIMultiDict
    >>> find_framing_fault(CIMultiDict({"Transfer-Encoding": "chunked", "Content-Length": "4"}))
    'its length is ambiguous'
    """
    values = headers.getall("Transfer-Encoding", [])
    codings = [coding.strip(" \t").lower() for value in values for coding in value.split(",")]
    if tuple(filter(None, codings)) not in _READABLE_CODINGS:
        return "its transfer coding is not supported"
    lengths = headers.getall("Content-Length", [])
    if not lengths:
        return None
    is_plain = not values and len(lengths) == 1 and _LENGTH.fullmatch(lengths[0])
    return None if is_plain else "its length is ambiguous"
