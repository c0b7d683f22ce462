"""Which software version began a stream, for callers that resume it at another process."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable
from hashlib import blake2b

import attrs

from ._ranking import rank_processes

STREAM_MEMORY_S = 60.0
"""Time for which the version of a stream is kept, seconds: longer than callers wait for an answer
and its resumptions together."""

MAX_STREAMS = 100_000
"""Streams that a process keeps; the oldest are forgotten."""

RECORD_OWNERS = 2
"""Processes that keep the version of a stream beside the one that began it."""

ASKED_PROCESSES = 4
"""Processes that are asked for it: some of those that kept it may have ended."""

ASKED_AT_LAST = 64
"""Most processes that are asked before a stream is refused. Those that keep it may be others than
the asking process takes them for, and only the process that began it may know it."""

DIGEST_BYTES = 8


def stream_digest(request: str, organisation: str | None) -> bytes:
    """Return the name under which processes exchange the version of a stream.

    A caller of another organisation that names the same request gets another digest.
    """
    text = "\0".join((request, organisation or ""))
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def rank_owners(digest: bytes, incarnations: Iterable[str], count: int) -> list[str]:
    """Return the processes that keep the version of a stream, in the same order everywhere."""
    return rank_processes(f"stream {digest.hex()}", incarnations)[:count]


@attrs.frozen
class StreamOrigin:
    """The service that began a stream, and the software version of its upstream."""

    service: str
    version: str


@attrs.frozen
class PeerKnowledge:
    """What peers know of a stream.

    Parameters
    ----------
    origin : StreamOrigin or None
        None if those that answered do not know it.
    only_versions : frozenset of str or None
        What each that answered knows as the only version of the service, None for several; empty if
        none has answered. For the log only: the lists of peers may be as old as one's own.
    """

    origin: StreamOrigin | None
    only_versions: frozenset[str | None] = frozenset()


@attrs.frozen
class OriginEvidence:
    """What a process knows of the origin of a stream that nobody knows by itself.

    Parameters
    ----------
    recorded : frozenset of StreamOrigin or None
        The origins of the route by the record in the table, read since the request arrived; None if
        it could not be read.
    seen : frozenset of StreamOrigin
        The origins that the services of the route have shown while streams are kept.
    is_current : bool
        Whether the list of upstreams and the configuration were confirmed since the request
        arrived.
    has_missed : bool
        Whether an upstream was listed and removed again before this process could see its version.
    is_watched : bool
        Whether this process has followed the list for as long as streams are kept.
    is_covered : bool
        Whether ``seen`` covers the whole time for which streams are kept, by what this process has
        followed or by a checkpoint of the list and all changes since.
    """

    recorded: frozenset[StreamOrigin] | None
    seen: frozenset[StreamOrigin]
    is_current: bool
    has_missed: bool = False
    is_watched: bool = False
    is_covered: bool = False

    def only_origin(self) -> StreamOrigin | None:
        """Return the only possible origin, None if there may be several.

        The record alone does not suffice: streams begin, too, while it cannot be written. The
        present list does not show versions that have left.

        Examples
        --------
        >>> v1, v2 = StreamOrigin("chat", "v1"), StreamOrigin("chat", "v2")
        >>> evidence = OriginEvidence(
        ...     frozenset({v1}), frozenset({v1}), is_current=True, is_covered=True
        ... )
        >>> evidence.only_origin() == v1
        True
        >>> attrs.evolve(evidence, is_current=False).only_origin()
        >>> attrs.evolve(evidence, is_covered=False).only_origin()
        >>> attrs.evolve(evidence, seen=frozenset({v1, v2})).only_origin()
        """
        if not self.is_current or self.has_missed or not self.is_covered:
            return None
        if self.recorded is None and not self.is_watched:
            return None
        possible = (self.recorded or frozenset()) | self.seen
        return next(iter(possible)) if len(possible) == 1 else None


@attrs.frozen
class _Begun:
    origin: StreamOrigin
    at: float


class StreamVersions:
    """Software versions at which streams began, and those that each service has shown.

    While a service has shown one version only, nothing needs to be exchanged.

    Examples
    --------
    >>> streams = StreamVersions()
    >>> streams.observe("chat", ["v1"], now=0.0)
    ()
    >>> streams.record(b"s1", StreamOrigin("chat", "v1"), now=1.0)
    False
    >>> streams.observe("chat", ["v1", "v2"], now=2.0)
    ((b's1', StreamOrigin(service='chat', version='v1')),)
    >>> streams.record(b"s2", StreamOrigin("chat", "v2"), now=3.0)
    True
    >>> streams.find(b"s2", now=4.0)
    StreamOrigin(service='chat', version='v2')
    >>> streams.only_version("chat", now=4.0), streams.only_version("chat", now=70.0)
    (None, None)
    >>> streams.observe("chat", ["v2"], now=70.0)
    ()
    >>> streams.only_version("chat", now=70.0), streams.only_version("chat", now=131.0)
    (None, 'v2')
    """

    def __init__(self):
        self._begun: OrderedDict[bytes, _Begun] = OrderedDict()
        self._received: OrderedDict[bytes, _Begun] = OrderedDict()
        self._seen_at: dict[str, dict[str, float]] = {}
        self._present: dict[str, frozenset[str]] = {}
        self._watched_since: float | None = None
        self._is_covered = False
        self._missed_at = float("-inf")

    def observe(
        self, service: str, versions: Iterable[str], now: float
    ) -> tuple[tuple[bytes, StreamOrigin], ...]:
        """Record the versions of the upstreams of a service.

        Returns
        -------
        tuple of tuple
            Streams that this process began and that others must know from now on, with origins.
        """
        seen = self._seen_at.setdefault(service, {})
        if self._watched_since is None:
            self._watched_since = now
        was_single = len(seen) < 2
        present = frozenset(versions)
        # Those listed last time were so until now: the list is observed when it changes.
        for version in present | self._present.get(service, frozenset()):
            seen[version] = now
        self._present[service] = present
        for version in [item for item, at in seen.items() if now > at + STREAM_MEMORY_S]:
            del seen[version]
        if not was_single or len(seen) < 2:
            return ()
        return self.begun_at({service}, now)

    def note_seen(self, service: str, version: str, now: float) -> None:
        """Record a version of which this process knows from another source than its list."""
        self._seen_at.setdefault(service, {})[version] = now

    def note_missed(self, now: float) -> None:
        """Record that an upstream was listed and removed again without being seen."""
        self._missed_at = now

    def restart_watch(self, now: float) -> None:
        """Record that the changes of the list until now are not known."""
        self._watched_since = now
        self._is_covered = False

    def cover(self, origins: Iterable[StreamOrigin], now: float) -> None:
        """Record all origins from before this process began to follow the list."""
        for origin in origins:
            self.note_seen(origin.service, origin.version, now)
        self._is_covered = True

    def has_missed(self, now: float) -> bool:
        """Return whether a version may have begun streams that this process has not seen."""
        return now <= self._missed_at + STREAM_MEMORY_S

    def seen(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that a service has shown while streams are kept."""
        present = self._present.get(service, frozenset())
        recent = self._seen_at.get(service, {}).items()
        return present.union(item for item, at in recent if now <= at + STREAM_MEMORY_S)

    def all_seen(self, now: float) -> frozenset[StreamOrigin]:
        """Return all services with the versions that they have shown while streams are kept."""
        return frozenset(
            StreamOrigin(service, version)
            for service in self._seen_at
            for version in self.seen(service, now)
        )

    def is_watched(self, now: float) -> bool:
        """Return whether this process has followed the list for as long as streams are kept."""
        return self._watched_since is not None and now - self._watched_since >= STREAM_MEMORY_S

    def is_covered(self, now: float) -> bool:
        """Return whether all origins are known at which streams have begun that can be resumed."""
        return self._is_covered or self.is_watched(now)

    def begun_at(
        self, services: Collection[str], now: float
    ) -> tuple[tuple[bytes, StreamOrigin], ...]:
        """Return the streams that this process began at some services, with their origins."""
        _forget(self._begun, now)
        return tuple(
            (digest, item.origin)
            for digest, item in self._begun.items()
            if item.origin.service in services
        )

    def record(self, digest: bytes, origin: StreamOrigin, now: float) -> bool:
        """Record a stream that this process began; return whether others must know of it."""
        _add(self._begun, digest, _Begun(origin, now), now)
        return len(self._seen_at.get(origin.service, ())) > 1

    def receive(self, digest: bytes, origin: StreamOrigin, now: float) -> None:
        """Record a stream that another process began."""
        _add(self._received, digest, _Begun(origin, now), now)

    def find(self, digest: bytes, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if this process does not know it."""
        found = self._begun.get(digest) or self._received.get(digest)
        return None if found is None or now > found.at + STREAM_MEMORY_S else found.origin

    def only_version(self, service: str, now: float) -> str | None:
        """Return the version of all streams of a service that callers may resume.

        Returns
        -------
        str or None
            None if the service has shown several, or may have: a process that has watched it for a
            shorter time than streams are kept does not know what it showed before.
        """
        if not self.is_watched(now) or self.has_missed(now):
            return None
        seen = self.seen(service, now)
        return next(iter(seen)) if len(seen) == 1 else None


def _add(streams: OrderedDict[bytes, _Begun], digest: bytes, begun: _Begun, now: float) -> None:
    # The first record counts: a request id that comes again does not change what a stream is.
    streams.setdefault(digest, begun)
    if len(streams) > MAX_STREAMS:
        streams.popitem(last=False)
    _forget(streams, now)


def _forget(streams: OrderedDict[bytes, _Begun], now: float) -> None:
    while streams:
        oldest = next(iter(streams))
        if now <= streams[oldest].at + STREAM_MEMORY_S:
            return
        del streams[oldest]
