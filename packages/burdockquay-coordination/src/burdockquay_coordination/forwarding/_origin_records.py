"""Where the streams of each route may have begun, as the platform's table records it."""

from __future__ import annotations

import json
from collections.abc import Collection, Iterable
from hashlib import blake2b

import attrs

from burdockquay_state import LONG_TEXT, TEXT

from ._stream_versions import STREAM_MEMORY_S, StreamOrigin

KEY_PREFIX = "stream-origins/"
"""Prefix of the row keys."""

FIRST_ERA = 1
"""Era of a table that has never been restored from a copy."""

RECORD_RETENTION_S = 2 * STREAM_MEMORY_S
"""Time after which an origin that cannot begin streams any more is removed from the record,
seconds: longer than any process relies on having recorded it."""

UNKNOWN_ORIGIN = StreamOrigin("", "")
"""Recorded where origins may be missing because the table was restored from a copy."""


@attrs.frozen
class RouteKey:
    """The requests of a route: those to a host under a path prefix.

    Parameters
    ----------
    host : str
    prefix : str
        Begins and ends with a slash.
    """

    host: str
    prefix: str

    @property
    def row_key(self) -> str:
        """Key of its row; host and prefix may be longer than a key."""
        text = "\0".join((self.host, self.prefix))
        return KEY_PREFIX + blake2b(text.encode(), digest_size=16).hexdigest()

    def overlaps(self, other: RouteKey) -> bool:
        """Return whether a request may have matched the other route before a change of the
        configuration, or will do so after one."""
        return self.host == other.host and (
            self.prefix.startswith(other.prefix) or other.prefix.startswith(self.prefix)
        )


@attrs.frozen
class OriginRecord:
    """The origins of the streams of one route.

    Parameters
    ----------
    route : RouteKey
    origins : frozenset of StreamOrigin
        Each was recorded before the first event of a stream that began there reached a caller.
    version : int
        Version of the row, which increases with each write; see :func:`make_version`.
    """

    route: RouteKey
    origins: frozenset[StreamOrigin] = frozenset()
    version: int = 0

    def encode(self, era: int) -> bytes:
        """Return the value of the row.

        Parameters
        ----------
        era : int
            Era of the table in which it is written.
        """
        origins = sorted([item.service, item.version] for item in self.origins)
        return json.dumps([era, self.route.host, self.route.prefix, origins]).encode()

    @classmethod
    def decode(cls, value: bytes, version: int, era: int) -> OriginRecord | None:
        """Return the record of a row, None if the row is malformed.

        Parameters
        ----------
        value : bytes
        version : int
        era : int
            Era of the table in which it was read. A row of an earlier one is part of a copy, which
            may lack origins.
        """
        try:
            written, host, prefix, pairs = json.loads(value)
            origins = {StreamOrigin(service, item) for service, item in pairs}
            if not _is_sound(host, prefix, origins):
                return None
            if max(int(written), FIRST_ERA) < max(era, FIRST_ERA):
                origins.add(UNKNOWN_ORIGIN)
            return cls(RouteKey(host, prefix), frozenset(origins), version)
        except (ValueError, TypeError, OverflowError, RecursionError):
            return None


def _is_sound(host: object, prefix: object, origins: Iterable[StreamOrigin]) -> bool:
    """Return whether the texts of a row can be encoded again."""
    names = [text for item in origins for text in (item.service, item.version)]
    return (
        LONG_TEXT.accepts(host)
        and LONG_TEXT.accepts(prefix)
        and all(text == "" or TEXT.accepts(text) for text in names)
    )


class OriginRecords:
    """What a process knows of the record.

    Examples
    --------
    >>> route = RouteKey("shop", "/chat/")
    >>> v1, v2 = StreamOrigin("chat", "v1"), StreamOrigin("chat", "v2")
    >>> records = OriginRecords()
    >>> records.learn(OriginRecord(route, frozenset({v1}), version=7))
    True
    >>> records.has(route, v1), records.has(route, v2)
    (True, False)
    >>> records.observe(route, {v2}, now=0.0)
    >>> records.expired(route, now=60.0), records.expired(route, now=121.0) == {v1}
    (frozenset(), True)
    """

    def __init__(self):
        self._known: dict[RouteKey, OriginRecord] = {}
        self._absent_since: dict[tuple[RouteKey, StreamOrigin], float] = {}

    @property
    def routes(self) -> Collection[RouteKey]:
        """Routes with a known record."""
        return self._known.keys()

    def all(self) -> Collection[OriginRecord]:
        """Return all known records."""
        return self._known.values()

    def get(self, route: RouteKey) -> OriginRecord:
        """Return the known record of a route, without origins if none is known."""
        return self._known.get(route) or OriginRecord(route)

    def has(self, route: RouteKey, origin: StreamOrigin) -> bool:
        """Return whether an origin of a route is known to be recorded."""
        return origin in self.get(route).origins

    def learn(self, record: OriginRecord) -> bool:
        """Apply a record that was read, written or received; return whether it is a newer one."""
        known = self.get(record.route)
        if record.version <= known.version:
            return False
        self._known[record.route] = record
        for origin in known.origins - record.origins:
            self._absent_since.pop((record.route, origin), None)
        return True

    def forget(self, route: RouteKey) -> None:
        """Forget the record of a route: its row was removed, or may have changed."""
        record = self._known.pop(route, None)
        for origin in record.origins if record is not None else ():
            self._absent_since.pop((route, origin), None)

    def forget_all(self) -> None:
        """Forget all records: the table was restored from a copy."""
        self._known.clear()
        self._absent_since.clear()

    def observe(self, route: RouteKey, present: Collection[StreamOrigin], now: float) -> None:
        """Record at which origins streams of a route may begin at present.

        If an origin returns after a long absence, another process may have removed it from the
        record, which is then no longer known.
        """
        is_outdated = False
        for origin in self.get(route).origins:
            item = (route, origin)
            if origin not in present:
                self._absent_since.setdefault(item, now)
            elif now - self._absent_since.pop(item, now) > STREAM_MEMORY_S:
                is_outdated = True
        if is_outdated:
            self.forget(route)

    def expired(self, route: RouteKey, now: float) -> frozenset[StreamOrigin]:
        """Return the recorded origins at which no stream that can be resumed has begun."""
        return frozenset(
            origin
            for origin in self.get(route).origins
            if now - self._absent_since.get((route, origin), now) > RECORD_RETENTION_S
        )


def extend_record(
    route: RouteKey, rows: Iterable[OriginRecord], origin: StreamOrigin, era: int
) -> OriginRecord:
    """Return the record of a route with one more origin.

    A new route takes over the origins of those that it overlaps: their streams may be resumed on
    it.

    Parameters
    ----------
    route : RouteKey
    rows : iterable of OriginRecord
        All records in the table.
    origin : StreamOrigin
    era : int
        Era of the table.

    Returns
    -------
    OriginRecord
        With the version that the row must have to be replaced.
    """
    by_route = {record.route: record for record in rows}
    own = by_route.get(route)
    if own is not None:
        return attrs.evolve(own, origins=own.origins | {origin})
    origins = {origin} | possible_origins(route, by_route.values())
    if era > FIRST_ERA:
        origins.add(UNKNOWN_ORIGIN)
    return OriginRecord(route, frozenset(origins))


def possible_origins(route: RouteKey, rows: Iterable[OriginRecord]) -> frozenset[StreamOrigin]:
    """Return where a stream that is resumed on a route may have begun, by all records."""
    return frozenset().union(*(row.origins for row in rows if row.route.overlaps(route)))
