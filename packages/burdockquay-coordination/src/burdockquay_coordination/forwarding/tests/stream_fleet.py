"""Simulated processes that begin streams at upstreams of several versions, and resume them.

What processes know is real; the record in the table is a set. Messages between processes take a
moment; a process that is cut off or has ended receives none.
"""

from __future__ import annotations

import heapq
import itertools
import random

import attrs

from burdockquay_coordination.forwarding import (
    ASKED_PROCESSES,
    RECORD_OWNERS,
    StreamOrigin,
    StreamVersions,
    rank_owners,
    stream_digest,
)

SERVICE = "chat"
MESSAGE_BYTES = 32
QUESTION_BYTES = 26
ANSWER_BYTES = 27
"""Sizes of encoded messages: a record of one stream, a question and its answer."""

MESSAGE_DELAY_S = (0.001, 0.02)
"""Bounds of the delay of a message, seconds."""


@attrs.define(eq=False)
class Process:
    """One run of a forwarder."""

    name: str
    streams: StreamVersions = attrs.field(factory=StreamVersions)
    versions: list[str] = attrs.field(factory=list)
    """Versions in the list as it knows it."""
    is_cut: bool = False


@attrs.frozen
class Stream:
    """A stream as its caller knows it."""

    request: str
    version: str


class StreamFleet:
    """Processes, the versions that serve, and streams.

    Parameters
    ----------
    size, seed : int
    """

    def __init__(self, size: int, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.versions = ["v1"]
        self.recorded: set[str] = set()
        self.is_store_down = False
        self.processes: dict[str, Process] = {}
        self.sent_bytes = 0
        self.joined = 0
        self.resumed = 0
        self.unknown = 0
        self.questions = 0
        self._numbers = itertools.count(1)
        self._messages: list[tuple[float, int, str, bytes, StreamOrigin]] = []
        for _ in range(size):
            self.start()

    def start(self) -> None:
        """Start a process, which reads the list."""
        name = f"p{next(self._numbers)}"
        self.processes[name] = Process(name, versions=list(self.versions))
        self._observe(self.processes[name])

    def end(self, name: str) -> None:
        """End a process with all that it knows."""
        del self.processes[name]

    def lose_all(self) -> None:
        """End all processes at once, and start as many new ones."""
        count = len(self.processes)
        self.processes.clear()
        for _ in range(count):
            self.start()

    def set_versions(self, versions: list[str]) -> None:
        """Change the versions that serve; processes that are cut off do not learn of it.

        Processes that are not record versions that appear while the table answers.
        """
        if self.recorded:
            self.recorded.update(versions)
        self.versions = versions
        for process in self.processes.values():
            if not process.is_cut:
                process.versions = list(versions)
                self._observe(process)

    def cut(self, name: str) -> None:
        """Cut a process off from the list and from all others."""
        self.processes[name].is_cut = True

    def heal(self, name: str) -> None:
        """Connect a process again."""
        self.processes[name].is_cut = False
        self.processes[name].versions = list(self.versions)
        self._observe(self.processes[name])

    def advance(self, seconds: float) -> None:
        """Let time pass, and deliver the messages that are due."""
        self.now += seconds
        while self._messages and self._messages[0][0] <= self.now:
            _, _, name, digest, origin = heapq.heappop(self._messages)
            if name in self.processes and not self.processes[name].is_cut:
                self.processes[name].streams.receive(digest, origin, self.now)

    def begin(self, name: str) -> Stream:
        """Let a process begin a stream at an upstream of a version in its list."""
        process = self.processes[name]
        stream = Stream(f"r{next(self._numbers)}", self.rng.choice(process.versions))
        origin = StreamOrigin(SERVICE, stream.version)
        self._observe(process)
        if not (self.is_store_down or process.is_cut):
            self.recorded.add(stream.version)
        digest = stream_digest(stream.request, None)
        if process.streams.record(digest, origin, self.now):
            self._tell(process, digest, origin)
        return stream

    def resume(self, name: str, stream: Stream) -> str | None:
        """Let a caller resume a stream at a process; return the version at which it goes on."""
        process = self.processes[name]
        version = self._find(process, stream)
        serving = [item for item in process.versions if item == version]
        if version is None:
            self.unknown += 1
        elif serving:
            self.resumed += 1
            self.joined += version != stream.version
        return version

    def _find(self, process: Process, stream: Stream) -> str | None:
        digest = stream_digest(stream.request, None)
        known = process.streams.find(digest, self.now)
        if known is not None:
            return known.version
        asked = self._owners(process, digest, ASKED_PROCESSES)
        self.questions += len(asked)
        self.sent_bytes += len(asked) * (QUESTION_BYTES + ANSWER_BYTES)
        only_versions = set()
        for name in asked:
            peer = self.processes[name].streams
            known = peer.find(digest, self.now)
            if known is not None:
                return known.version
            only_versions.add(peer.only_version(SERVICE, self.now))
        if not (self.is_store_down or process.is_cut):
            possible = self.possible_versions(process)
            is_only = len(possible) == 1 and set(process.versions) <= possible
            return next(iter(possible)) if is_only else None
        self._observe(process)
        version = process.streams.only_version(SERVICE, self.now)
        return version if only_versions == {version} else None

    def possible_versions(self, process: Process) -> set[str]:
        """Return the versions that may have begun a stream, as a process reads the record."""
        return self.recorded

    def _observe(self, process: Process) -> None:
        for digest, origin in process.streams.observe(SERVICE, process.versions, self.now):
            self._tell(process, digest, origin)

    def _tell(self, process: Process, digest: bytes, origin: StreamOrigin) -> None:
        for name in self._owners(process, digest, RECORD_OWNERS):
            due_at = self.now + self.rng.uniform(*MESSAGE_DELAY_S)
            heapq.heappush(self._messages, (due_at, next(self._numbers), name, digest, origin))
            self.sent_bytes += MESSAGE_BYTES

    def _owners(self, process: Process, digest: bytes, count: int) -> list[str]:
        if process.is_cut:
            return []
        reached = [item.name for item in self.processes.values() if not item.is_cut]
        ranked = rank_owners(digest, reached, count + 1)
        return [name for name in ranked if name != process.name][:count]
