"""Split a stream of server-sent events into complete events."""

from __future__ import annotations

import re

import attrs

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_DATA = re.compile(rb"^data(?::|$)", re.MULTILINE)
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)

MAX_END_BYTES = 4
"""Longest end of an event, bytes."""


@attrs.frozen
class StreamEvent:
    """One complete event, including the blank line that ends it.

    Parameters
    ----------
    data : bytes
    id : str or None
    has_data : bool
        Whether it has a data field; a comment has none.
    """

    data: bytes
    id: str | None
    has_data: bool = True

    @property
    def number(self) -> int | None:
        """The id as a number, None if it is not a number."""
        return int(self.id) if self.id is not None and self.id.isdecimal() else None


class EventSplitter:
    """Takes chunks of a stream and returns the complete events.

    An upstream can break off in the middle of an event. Only complete events are passed on, so that
    another upstream can continue after the last one.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> [event.id for event in splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")]
    ['1']
    >>> splitter.rest
    bytearray(b'id: 2\\nda')
    """

    def __init__(self):
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with this data."""
        # An end may have begun in the former data; the rest of that needs no second search.
        searched = max(0, len(self.rest) - MAX_END_BYTES + 1)
        self.rest += data
        events = []
        if b"\n" not in data and b"\r" not in data:
            return events
        start = 0
        for match in _END.finditer(self.rest, searched):
            piece = bytes(self.rest[start : match.end()])
            start = match.end()
            found = _ID.search(piece)
            id_ = found.group(1).decode("latin-1") if found else None
            events.append(StreamEvent(piece, id_, _DATA.search(piece) is not None))
        del self.rest[:start]
        return events
