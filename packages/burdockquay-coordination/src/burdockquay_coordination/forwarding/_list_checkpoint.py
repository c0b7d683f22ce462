"""Checkpoints of the list of upstreams, for processes that start after the loss of all others."""

from __future__ import annotations

import base64
import functools
import json
from collections.abc import Collection, Iterable
from hashlib import blake2b

import attrs

from burdockquay_state import TEXT, Position, TableError, TableErrorKind

from ._origin_records import FIRST_ERA
from ._route_services import RouteState
from ._stream_versions import StreamOrigin

CONFIRM_INTERVAL_S = 5.0
"""Time after which an unchanged checkpoint is confirmed again, seconds. The platform keeps the
changes of the list for 20 s; an outage of 8 s and a restart fit in between."""

READ_AGE_S = 2.5
"""Age that a checkpoint of another process is taken to have when it is read, seconds. Of several
processes that maintain it, after a partition, none replaces a fresh one."""

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
class CheckpointRows:
    """Values of the rows that hold a checkpoint.

    Parameters
    ----------
    position : bytes
        Position and origins; the only row that each confirmation writes.
    entries : bytes
    routes : bytes
    """

    position: bytes
    entries: bytes
    routes: bytes


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
        Digests of the ids of the entries at this position, and of earlier ones.
    origins : frozenset of StreamOrigin
        All services and versions listed while streams are kept.
    routes : RouteState
    """

    position: Position
    entries: frozenset[bytes]
    origins: frozenset[StreamOrigin]
    routes: RouteState

    @classmethod
    def make(
        cls, listed: ListState, origins: Iterable[StreamOrigin], routes: RouteState
    ) -> ListCheckpoint:
        """Return the checkpoint at the position of a list."""
        return cls(listed.position, digest_entries(listed.ids), frozenset(origins), routes)

    def encode(self) -> CheckpointRows:
        """Return the values of its rows."""
        era, revision = self.position.era, self.position.revision
        origins = sorted([item.service, item.version] for item in self.origins)
        entries = base64.b64encode(b"".join(sorted(self.entries))).decode()
        return CheckpointRows(
            json.dumps([era, revision, origins]).encode(),
            json.dumps([era, entries]).encode(),
            self.routes.encode(era),
        )

    @classmethod
    def decode(cls, rows: CheckpointRows) -> ListCheckpoint | None:
        """Return the checkpoint in its rows, None if one is malformed."""
        try:
            era, revision, pairs = json.loads(rows.position)
            origins = frozenset(StreamOrigin(service, version) for service, version in pairs)
            entries_era, entries = json.loads(rows.entries)
            digests = base64.b64decode(entries, validate=True)
        except (ValueError, TypeError, RecursionError):
            return None
        routes = RouteState.decode(rows.routes, era)
        is_sound = (
            _are_sound(origins, era, revision)
            and entries_era == era
            and len(digests) % ENTRY_DIGEST_BYTES == 0
            and routes is not None
        )
        if not is_sound:
            return None
        starts = range(0, len(digests), ENTRY_DIGEST_BYTES)
        known = frozenset(digests[start : start + ENTRY_DIGEST_BYTES] for start in starts)
        return cls(Position(era, revision), known, origins, routes)

    def covers(self, id_: str) -> bool:
        """Return whether an entry was listed at this position or before."""
        return entry_digest(id_) in self.entries


def _are_sound(origins: Iterable[StreamOrigin], *numbers: object) -> bool:
    """Return whether the fields of a row have the expected types and sizes."""
    texts = [text for item in origins for text in (item.service, item.version)]
    return all(text == "" or TEXT.accepts(text) for text in texts) and all(
        type(number) is int and 0 <= number <= MAX_REVISION for number in numbers
    )


def entry_digest(id_: str) -> bytes:
    """Return the digest under which a checkpoint holds an entry."""
    return blake2b(id_.encode(), digest_size=ENTRY_DIGEST_BYTES).digest()


@functools.lru_cache(maxsize=1)
def digest_entries(ids: frozenset[str]) -> frozenset[bytes]:
    """Return the digests of all entries of a list, which rarely changes."""
    return frozenset(map(entry_digest, ids))


def start_of_changes(checkpoint: ListCheckpoint | None, era: int) -> Position | None:
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
    >>> checkpoint = ListCheckpoint.make(listed, [StreamOrigin("chat", "v1")], RouteState(3, {}))
    >>> find_unknown_removed(checkpoint, ["i-1", "i-2"])
    frozenset({'i-2'})
    >>> find_unknown_removed(None, ["i-1"])
    frozenset({'i-1'})
    """
    return frozenset(id_ for id_ in removed if checkpoint is None or not checkpoint.covers(id_))


class CheckpointSchedule:
    """Decides when the checkpoint is read and written by the process that maintains it.

    It is written when the list has entries or origins that it lacks, when routes have changed,
    and otherwise every ``CONFIRM_INTERVAL_S``.

    Examples
    --------
    >>> schedule = CheckpointSchedule()
    >>> schedule.must_read
    True
    >>> listed = ListState(Position(1, 7), frozenset({"i-1"}))
    >>> routes = RouteState(3, {})
    >>> first = ListCheckpoint.make(listed, [StreamOrigin("chat", "v1")], routes)
    >>> schedule.record_read(None, now=0.0)
    >>> schedule.is_due(first, now=0.0)
    True
    >>> schedule.record_written(first, now=0.0)
    >>> same = ListCheckpoint.make(
    ...     ListState(Position(1, 9), listed.ids), first.origins, routes
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
    def must_read(self) -> bool:
        """Whether the checkpoint in the table is not known."""
        return not self._is_known

    def is_paused(self, now: float) -> bool:
        """Return whether a call has failed, or was in vain, a short time ago."""
        return now < self._paused_until

    def record_read(self, checkpoint: ListCheckpoint | None, now: float) -> None:
        """Record what the table holds."""
        self._is_known, self._known = True, checkpoint
        self._confirmed_at = now - READ_AGE_S

    def record_written(self, checkpoint: ListCheckpoint, now: float) -> None:
        """Record that the table holds a checkpoint of this process."""
        if not self.must_write_entries(checkpoint):
            checkpoint = attrs.evolve(checkpoint, entries=self._known.entries)
        self._is_known, self._known, self._confirmed_at = True, checkpoint, now
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
        if self._is_foreign(checkpoint):
            return True
        known = self._known
        is_older = checkpoint.position < known.position
        if is_older or checkpoint.routes.version < known.routes.version:
            return False
        is_later = checkpoint.position > known.position
        return (
            (is_later and now - self._confirmed_at >= CONFIRM_INTERVAL_S)
            or self.must_write_entries(checkpoint)
            or not checkpoint.origins <= known.origins
            or self.must_write_routes(checkpoint)
        )

    def must_write_entries(self, checkpoint: ListCheckpoint) -> bool:
        """Return whether the row of the entries is to be written with a checkpoint."""
        return self._is_foreign(checkpoint) or not checkpoint.entries <= self._known.entries

    def must_write_routes(self, checkpoint: ListCheckpoint) -> bool:
        """Return whether the row of the routes is to be written with a checkpoint."""
        if self._is_foreign(checkpoint):
            return True
        known, present = self._known.routes, checkpoint.routes
        return (known.routes, known.moves) != (present.routes, present.moves)

    def _is_foreign(self, checkpoint: ListCheckpoint) -> bool:
        """Return whether the table holds no checkpoint of the same era."""
        return self._known is None or self._known.position.era != checkpoint.position.era
