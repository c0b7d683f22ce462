"""Grammar of the heads of answers, checked on the bytes as they arrive.

The parser of the client library accepts more than the grammar of HTTP allows, and what it returns
does not show how a head was written.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence

import attrs
from multidict import MultiMapping

_HEAD_END = re.compile(rb"[^\r\n]\r?\n\r?\n")

_MAX_HEAD_END_BYTES = 5

_STATUS_LINE = re.compile(
    rb"(?:\r?\n)*+HTTP/1\.\d (?P<status>[1-5]\d\d)(?: [\t -~\x80-\xff]*+)?+\r?\n"
)
"""Status line of RFC 9112, section 4, with the status codes of RFC 9110, section 15. The space
before an empty reason may be missing, and empty lines may precede it, as some upstreams send them.
"""

_FIELD_LINES = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t -~\x80-\xff]*+\r?\n)*+\r?\n")
"""Field lines of RFC 9112, section 5, with the values of RFC 9110, section 5.5, and the end of the
head. Line folding (section 5.2) is excluded: it would add the text of a damaged line to the value
of the field before it.
"""

_LENGTH = re.compile(r"[0-9]+")

_READABLE_CODINGS = frozenset({(), ("chunked",), ("identity",)})
"""Transfer codings of an answer that the parser removes, or that change nothing."""

_INNER_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?!\d)")

_FIRST_FINAL_STATUS = 200

_HEAD_RULES: Sequence[tuple[str, Callable[[bytes, re.Match[bytes] | None], object]]] = (
    ("its status line is malformed", lambda head, line: line),
    # Nothing is ever asked to switch, and no more HTTP follows.
    ("it switches protocols", lambda head, line: line["status"] != b"101"),
    (
        "a field line of its head is malformed",
        lambda head, line: _FIELD_LINES.fullmatch(head, line.end()),
    ),
    (
        "another answer begins inside its head",
        lambda head, line: not _INNER_STATUS_LINE.search(head, line.start("status")),
    ),
)
"""What is wrong with a head if a condition on it, and on its status line, does not hold."""


@attrs.define
class HeadReader:
    """Checks the heads of one answer: those of interim answers, and the final one.

    Bytes after the final head are not looked at.
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
        searched = max(0, len(self._data) + 1 - _MAX_HEAD_END_BYTES)
        if not self._is_final:
            self._data += data
        while not self._is_final and (end := _HEAD_END.search(self._data, searched)):
            head = bytes(self._data[: end.end()])
            del self._data[: end.end()]
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
