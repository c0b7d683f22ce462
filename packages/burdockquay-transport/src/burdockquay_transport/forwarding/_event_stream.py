"""Split a stream of server-sent events into complete events."""

from __future__ import annotations

import re

import attrs

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)


@attrs.frozen
class StreamEvent:
    """One complete event, including the blank line that ends it.

    Parameters
    ----------
    data : bytes
    id : str or None
    """

    data: bytes
    id: str | None

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
    b'id: 2\\nda'
    """

    def __init__(self):
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are complete with this data."""
        buffer = self.rest + data
        events = []
        start = 0
        for match in _END.finditer(buffer):
            piece = buffer[start : match.end()]
            start = match.end()
            found = _ID.search(piece)
            events.append(StreamEvent(piece, found.group(1).decode("latin-1") if found else None))
        self.rest = buffer[start:]
        return events
