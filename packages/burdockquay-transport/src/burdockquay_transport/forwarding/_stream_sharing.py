"""Exchange of the software versions at which streams began, between forwarders."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import defaultdict
from collections.abc import Iterable, Mapping

import attrs

from burdockquay_coordination.forwarding import (
    ASKED_PROCESSES,
    DIGEST_BYTES,
    RECORD_OWNERS,
    OriginRecord,
    PeerKnowledge,
    RouteKey,
    StreamOrigin,
    StreamVersions,
    rank_owners,
)
from burdockquay_protocol import RecordedOrigins, StreamAnswer, StreamQuestion, StreamStarts

from .._clock import Clock
from .._peer import PeerConnection
from ._origin_keeper import OriginKeeper

ANSWER_TIMEOUT_S = 0.25
"""Longest wait for the answers of peers about one stream, seconds: many times a round trip, and a
small part of the time for which callers wait."""

ANNOUNCE_INTERVAL_S = 5.0
"""Time after which peers are told again of a version without a record, seconds: a small part of the
time for which they keep it."""

SECOND_QUESTION_DELAY_S = 0.05
"""Delay before peers that do not know a stream are asked again, seconds: a caller may return before
the record of its stream has arrived."""


@attrs.define(eq=False)
class _Question:
    """A question that waits for its answers."""

    missing: int
    origin: asyncio.Future
    only_versions: set[str | None] = attrs.field(factory=set)


class StreamSharing:
    """Sends peers the versions of the streams that begin here, and asks them about others.

    Each record goes to a few peers, chosen by the digest of the stream. Records that become due at
    the same moment are sent together.

    Parameters
    ----------
    streams : StreamVersions
    origins : OriginKeeper
    incarnation : str
        That of this process.
    clock : Clock
    """

    def __init__(
        self, streams: StreamVersions, origins: OriginKeeper, incarnation: str, clock: Clock
    ):
        self.streams = streams
        self.origins = origins
        origins.share = self._share_record
        self.incarnation = incarnation
        self.clock = clock
        self._peers: Mapping[str, PeerConnection] = {}
        self._unsent: list[tuple[bytes, StreamOrigin]] = []
        self._questions: dict[int, _Question] = {}
        self._numbers = itertools.count(1)
        self._announced_at: dict[StreamOrigin, float] = {}

    def set_peers(self, peers: Mapping[str, PeerConnection]) -> None:
        """Set which processes are connected, by incarnation."""
        self._peers = {
            name: peer for name, peer in peers.items() if peer.version >= StreamStarts.since
        }

    def greet(self, peer: PeerConnection) -> None:
        """Send a process that has just connected what it cannot read in the list by itself.

        These are the origins that are known to be recorded, and the versions that services have
        shown lately: some may have left, and may have begun streams without a record.
        """
        for record in self.origins.records.all():
            peer.post(_make_message(record))
        seen = self.streams.all_seen(self.clock.now())
        if seen and peer.version >= StreamStarts.since:
            peer.post(_announce(seen))

    def announce(self, origins: Iterable[StreamOrigin]) -> None:
        """Tell all peers of versions at which streams begin that may lack a record."""
        now = self.clock.now()
        due = {
            origin
            for origin in origins
            if now - self._announced_at.get(origin, float("-inf")) >= ANNOUNCE_INTERVAL_S
        }
        if not due:
            return
        self._announced_at |= dict.fromkeys(due, now)
        message = _announce(due)
        for peer in self._peers.values():
            peer.post(message)

    def _share_record(self, record: OriginRecord) -> None:
        message = _make_message(record)
        for peer in self._peers.values():
            peer.post(message)

    def receive_record(self, peer: PeerConnection, message: RecordedOrigins) -> None:
        """Apply the record of a route that another process has read or written."""
        origins = frozenset(
            StreamOrigin(service, version)
            for service, versions in message.origins.items()
            for version in versions
        )
        route = RouteKey(message.host, message.prefix)
        self.origins.receive(OriginRecord(route, origins, message.row))

    def send(self, starts: Iterable[tuple[bytes, StreamOrigin]]) -> None:
        """Send the origins of some streams, by digest, to the peers that keep them."""
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent += starts

    def _flush(self) -> None:
        by_peer: dict[str, dict[str, dict[str, bytes]]] = defaultdict(dict)
        starts, self._unsent = self._unsent, []
        for digest, origin in starts:
            for name in self._owners(digest, RECORD_OWNERS):
                of_service = by_peer[name].setdefault(origin.service, {})
                of_service[origin.version] = of_service.get(origin.version, b"") + digest
        for name, digests in by_peer.items():
            self._peers[name].post(StreamStarts(digests))

    def _owners(self, digest: bytes, count: int) -> list[str]:
        """Return the first owners of a stream that are peers."""
        ranked = rank_owners(digest, [self.incarnation, *self._peers], count + 1)
        return [name for name in ranked if name != self.incarnation][:count]

    async def ask(self, digest: bytes, service: str, count: int = ASKED_PROCESSES) -> PeerKnowledge:
        """Ask peers for the origin of a stream, and for the versions of a service.

        Parameters
        ----------
        digest : bytes
        service : str
        count : int
            Most peers that are asked.
        """
        known = await self._ask_once(digest, service, count)
        if known.origin is None and self._peers:
            await asyncio.sleep(SECOND_QUESTION_DELAY_S)
            found = self.streams.find(digest, self.clock.now())
            if found is not None:
                return PeerKnowledge(found)
            known = await self._ask_once(digest, service, count)
        return known

    async def _ask_once(self, digest: bytes, service: str, count: int) -> PeerKnowledge:
        asked = self._owners(digest, count)
        if not asked:
            return PeerKnowledge(None)
        number = next(self._numbers)
        question = _Question(len(asked), asyncio.get_running_loop().create_future())
        self._questions[number] = question
        for name in asked:
            self._peers[name].post(StreamQuestion(number, digest, service))
        origin = None
        # Peers that have ended or are paused do not answer.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                origin = await question.origin
        del self._questions[number]
        return PeerKnowledge(origin, frozenset(question.only_versions))

    def receive_starts(self, peer: PeerConnection, message: StreamStarts) -> None:
        """Keep the versions of streams that another process began."""
        now = self.clock.now()
        for service, by_version in message.digests.items():
            for version, digests in by_version.items():
                origin = StreamOrigin(service, version)
                self.streams.note_seen(service, version, now)
                for start in range(0, len(digests) - DIGEST_BYTES + 1, DIGEST_BYTES):
                    self.streams.receive(digests[start : start + DIGEST_BYTES], origin, now)

    def receive_question(self, peer: PeerConnection, message: StreamQuestion) -> None:
        """Answer whether this process knows a stream."""
        now = self.clock.now()
        origin = self.streams.find(message.digest, now)
        known = (None, None) if origin is None else (origin.service, origin.version)
        only = self.streams.only_version(message.service, now)
        peer.post(StreamAnswer(message.question, *known, only))

    def receive_answer(self, peer: PeerConnection, message: StreamAnswer) -> None:
        """Pass an answer to the question that waits for it; late ones are ignored."""
        question = self._questions.get(message.question)
        if question is None or question.origin.done():
            return
        question.missing -= 1
        question.only_versions.add(message.only_version)
        if message.service is not None and message.version is not None:
            question.origin.set_result(StreamOrigin(message.service, message.version))
        elif not question.missing:
            question.origin.set_result(None)


def _announce(origins: Iterable[StreamOrigin]) -> StreamStarts:
    """Return a message that names versions without naming streams."""
    digests: dict[str, dict[str, bytes]] = defaultdict(dict)
    for origin in origins:
        digests[origin.service][origin.version] = b""
    return StreamStarts(dict(digests))


def _make_message(record: OriginRecord) -> RecordedOrigins:
    by_service: dict[str, list[str]] = defaultdict(list)
    for origin in record.origins:
        by_service[origin.service].append(origin.version)
    return RecordedOrigins(record.route.host, record.route.prefix, record.version, dict(by_service))
