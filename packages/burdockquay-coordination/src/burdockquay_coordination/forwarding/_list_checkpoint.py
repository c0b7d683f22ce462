"""Checkpoints of the list of upstreams, for processes that start after the loss of all others."""

from __future__ import annotations

import base64
import functools
import json
from collections.abc import Collection, Iterable
from hashlib import blake2b

import attrs

from burdockquay_state import LONG_TEXT, TEXT, Position, TableError, TableErrorKind

from ._origin_records import FIRST_ERA, RouteKey
from ._stream_versions import StreamOrigin

CONFIRM_INTERVAL_S = 5.0
"""Time after which an unchanged checkpoint is confirmed again, seconds. The platform keeps the
changes of the list for 20 s; an outage of 8 s and a restart fit in between."""

FAILED_PAUSES_S = (1.0, 4.0)
"""First and longest pause after failed writes, seconds."""

ENTRY_DIGEST_BYTES = 4
"""Size of the digest of an entry, bytes. With 5,700 entries, one in 750,000 unknown ones is taken
for a known one."""

MAX_REVISION = (1 << 63) - 1


@attrs.frozen
class ListState:
    """The list of upstreams at one position.

    Parameters
    ----------
    position : Position
    ids : frozenset of str
        Ids of all entries, also of those that cannot be read.
    """

    position: Position
    ids: frozenset[str]


@attrs.frozen
class RouteMove:
    """A service at which streams of a route may have begun, and to which it no longer leads.

    Parameters
    ----------
    route : RouteKey
    service : str
    """

    route: RouteKey
    service: str


@attrs.frozen
class ListCheckpoint:
    """Where streams may have begun, complete up to a position in the history of the list.

    A checkpoint is only written by a process that knows of every upstream at which a stream may
    have begun that can still be resumed at this position. A process that starts later adds the
    changes of the list after the position. If the platform does not have all of them any more, or
    an entry came and went among them, the origins are not known.

    Parameters
    ----------
    position : Position
    entries : frozenset of bytes
        Digests of the ids of the entries at this position.
    origins : frozenset of StreamOrigin
        All services and versions listed while streams are kept.
    config_version : int
        Version of the configuration.
    moves : frozenset of RouteMove
        Changes of routes while streams are kept, up to that configuration.
    """

    position: Position
    entries: frozenset[bytes]
    origins: frozenset[StreamOrigin]
    config_version: int
    moves: frozenset[RouteMove] = frozenset()

    @classmethod
    def make(
        cls,
        listed: ListState,
        origins: Iterable[StreamOrigin],
        config_version: int,
        moves: Iterable[RouteMove],
    ) -> ListCheckpoint:
        """Return the checkpoint at the position of a list."""
        return cls(
            listed.position,
            digest_entries(listed.ids),
            frozenset(origins),
            config_version,
            frozenset(moves),
        )

    def encode(self) -> bytes:
        """Return the value of the row."""
        content = {
            "era": self.position.era,
            "revision": self.position.revision,
            "entries": base64.b64encode(b"".join(sorted(self.entries))).decode(),
            "origins": sorted([item.service, item.version] for item in self.origins),
            "config": self.config_version,
            "moves": sorted(
                [item.route.host, item.route.prefix, item.service] for item in self.moves
            ),
        }
        return json.dumps(content).encode()

    @classmethod
    def decode(cls, value: bytes) -> ListCheckpoint | None:
        """Return the checkpoint in a row, None if the row is malformed."""
        try:
            content = json.loads(value)
            digests = base64.b64decode(content["entries"], validate=True)
            if len(digests) % ENTRY_DIGEST_BYTES:
                return None
            origins = frozenset(StreamOrigin(*pair) for pair in content["origins"])
            moves = frozenset(
                RouteMove(RouteKey(host, prefix), service)
                for host, prefix, service in content["moves"]
            )
            numbers = [content[name] for name in ("era", "revision", "config")]
            if not _are_sound(origins, moves, numbers):
                return None
            era, revision, config_version = numbers
            return cls(
                Position(era, revision),
                frozenset(
                    digests[start : start + ENTRY_DIGEST_BYTES]
                    for start in range(0, len(digests), ENTRY_DIGEST_BYTES)
                ),
                origins,
                config_version,
                moves,
            )
        except (ValueError, TypeError, KeyError, RecursionError):
            return None

    def covers(self, id_: str) -> bool:
        """Return whether an entry was listed at this position."""
        return entry_digest(id_) in self.entries


def _are_sound(
    origins: Iterable[StreamOrigin], moves: Iterable[RouteMove], numbers: Iterable[object]
) -> bool:
    """Return whether the fields of a row have the expected types and sizes."""
    short = [text for item in origins for text in (item.service, item.version)]
    short += [item.service for item in moves]
    long = [text for item in moves for text in (item.route.host, item.route.prefix)]
    return (
        all(text == "" or TEXT.accepts(text) for text in short)
        and all(LONG_TEXT.accepts(text) for text in long)
        and all(type(number) is int and 0 <= number <= MAX_REVISION for number in numbers)
    )


def entry_digest(id_: str) -> bytes:
    """Return the digest under which a checkpoint holds an entry."""
    return blake2b(id_.encode(), digest_size=ENTRY_DIGEST_BYTES).digest()


@functools.lru_cache(maxsize=1)
def digest_entries(ids: frozenset[str]) -> frozenset[bytes]:
    """Return the digests of all entries of a list, which rarely changes."""
    return frozenset(map(entry_digest, ids))


def read_from(checkpoint: ListCheckpoint | None, era: int) -> Position | None:
    """Return the position after which a process that has just started must read the changes.

    Parameters
    ----------
    checkpoint : ListCheckpoint or None
        None if the table has none.
    era : int
        Era of the store.

    Returns
    -------
    Position or None
        None if no position suffices: a store that was restored from a copy has lost changes since
        the checkpoint. Without a checkpoint, it is the beginning of the history.
    """
    if checkpoint is not None:
        return checkpoint.position if checkpoint.position.era == era else None
    return Position(era, 0) if era <= FIRST_ERA else None


def find_unknown_removed(
    checkpoint: ListCheckpoint | None, removed: Collection[str]
) -> frozenset[str]:
    """Return the removed entries whose versions nothing shows.

    Examples
    --------
    >>> listed = ListState(Position(1, 7), frozenset({"i-1"}))
    >>> checkpoint = ListCheckpoint.make(listed, [StreamOrigin("chat", "v1")], 3, [])
    >>> find_unknown_removed(checkpoint, ["i-1", "i-2"])
    frozenset({'i-2'})
    >>> find_unknown_removed(None, ["i-1"])
    frozenset({'i-1'})
    """
    return frozenset(id_ for id_ in removed if checkpoint is None or not checkpoint.covers(id_))


class CheckpointSchedule:
    """Decides when the checkpoint is read and written by the process that maintains it.

    It is written when the list has entries or origins that it lacks, when the configuration has
    changed, and otherwise every ``CONFIRM_INTERVAL_S``.

    Examples
    --------
    >>> schedule = CheckpointSchedule()
    >>> schedule.must_read
    True
    >>> listed = ListState(Position(1, 7), frozenset({"i-1"}))
    >>> first = ListCheckpoint.make(listed, [StreamOrigin("chat", "v1")], 3, [])
    >>> schedule.record_read(None, now=0.0)
    >>> schedule.is_due(first, now=0.0)
    True
    >>> schedule.record_written(first, now=0.0)
    >>> same = ListCheckpoint.make(
    ...     ListState(Position(1, 9), listed.ids), first.origins, 3, []
    ... )
    >>> schedule.is_due(same, now=4.0), schedule.is_due(same, now=5.0)
    (False, True)
    """

    def __init__(self):
        self._known: ListCheckpoint | None = None
        self._is_known = False
        self._confirmed_at = float("-inf")
        self._pause_s = FAILED_PAUSES_S[0]
        self._paused_until = float("-inf")

    @property
    def known(self) -> ListCheckpoint | None:
        """The checkpoint in the table, None if it has none or was not read."""
        return self._known

    @property
    def must_read(self) -> bool:
        """Whether the checkpoint in the table is not known."""
        return not self._is_known

    def is_paused(self, now: float) -> bool:
        """Return whether a call has failed, or was in vain, a short time ago."""
        return now < self._paused_until

    def record_read(self, checkpoint: ListCheckpoint | None, now: float) -> None:
        """Record what the table holds.

        Another process may have written it a moment ago.
        """
        self._is_known, self._known = True, checkpoint
        self._confirmed_at = float("-inf") if checkpoint is None else now

    def record_written(self, checkpoint: ListCheckpoint, now: float) -> None:
        """Record that the table holds a checkpoint of this process."""
        self.record_read(checkpoint, now)
        self._pause_s = FAILED_PAUSES_S[0]

    def record_incomplete(self, now: float) -> None:
        """Record that this process cannot vouch for the list; another reading soon is in vain."""
        self._paused_until = now + FAILED_PAUSES_S[1]

    def record_failure(self, error: TableError, now: float) -> None:
        """Record that a call failed; the table may hold another checkpoint now."""
        self._is_known = False
        if error.kind is TableErrorKind.CONFLICT:
            return
        self._paused_until = now + self._pause_s
        self._pause_s = min(2 * self._pause_s, FAILED_PAUSES_S[1])

    def is_due(self, checkpoint: ListCheckpoint, now: float) -> bool:
        """Return whether a checkpoint of the present list must be written.

        A list or configuration that is older than in the table does not replace it.
        """
        known = self._known
        if known is None or known.position.era != checkpoint.position.era:
            return True
        is_older = checkpoint.position < known.position
        if is_older or checkpoint.config_version < known.config_version:
            return False
        is_later = checkpoint.position > known.position
        return (
            (is_later and now - self._confirmed_at >= CONFIRM_INTERVAL_S)
            or not checkpoint.entries <= known.entries
            or not checkpoint.origins <= known.origins
            or checkpoint.config_version > known.config_version
        )
