"""Limits on what the connections of callers take: descriptors, memory and time."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Hashable, Iterator

import attrs

PRESSURE_STALL_S = 0.5
"""Time without progress from which a connection is given up when the memory is needed, seconds."""

MAX_SMALL_BYTES = 64 << 10
MIN_SMALL_BYTES = 4 << 10
"""Bounds of the size up to which a connection is never given up for its memory, bytes."""


class CallerPhase(enum.Enum):
    """What a connection of a caller is used for."""

    NEW = "new"
    """Nothing was received yet."""
    HEAD = "head"
    """A part of the head of a request was received."""
    WAITING = "waiting"
    """A request is received or waits; nothing of it was passed on."""
    RUNNING = "running"
    """A request was passed on to an upstream."""
    UNREAD = "unread"
    """All requests are answered, and the caller has not taken the whole answer."""
    IDLE = "idle"
    """All requests are answered."""
    CLOSING = "closing"
    """The answer was written, and the rest of the request is dropped until the connection closes.
    """


class GiveUpReason(enum.Enum):
    """Why a connection of a caller is given up."""

    DESCRIPTORS = "descriptors"
    """A new connection needs its place."""
    NO_PLACE = "no_place"
    """It is new, and no other connection can yield to it."""
    MEMORY = "memory"
    """All connections together hold too many bytes, and this one holds most."""
    HEAD_TIMEOUT = "head_timeout"
    IDLE_TIMEOUT = "idle_timeout"
    ANSWER_TIMEOUT = "answer_timeout"
    """The caller took nothing of its answer for too long."""
    CLOSE_TIMEOUT = "close_timeout"
    """The caller went on sending after its request was refused."""


@attrs.frozen
class CallerTerms:
    """Limits on the connections of callers.

    Parameters
    ----------
    max_connections : int
    max_held_bytes : int
        Limit on the bytes of requests and answers that all connections hold together.
    max_head_bytes, max_body_bytes : int
        Limits on one request.
    head_timeout_s : float
        Time from the first byte of a head to its end, seconds.
    idle_timeout_s : float
        Time without a request, seconds.
    answer_timeout_s : float
        Time in which a caller takes nothing of its answer, seconds.
    close_timeout_s : float
        Time for which the rest of a refused request is dropped, seconds.
    """

    max_connections: int
    max_held_bytes: int
    max_head_bytes: int
    max_body_bytes: int
    head_timeout_s: float
    idle_timeout_s: float
    answer_timeout_s: float
    close_timeout_s: float = 12.0

    @property
    def small_bytes(self) -> int:
        """Size up to which a connection is never given up for its memory; all connections of that
        size together hold no more than the limit, unless that is very low."""
        share = self.max_held_bytes // max(1, self.max_connections)
        return min(MAX_SMALL_BYTES, max(MIN_SMALL_BYTES, share))

    @property
    def shared_requests(self) -> int:
        """Number of requests from which no organisation may have most of those to a service."""
        return max(1, self.max_connections // 2)


@attrs.frozen
class UnsentAnswer:
    """What a caller has not taken of its answers.

    Parameters
    ----------
    size : int
        Bytes in the write buffer.
    taken : int
        Bytes that the caller took since the connection was opened.
    """

    size: int
    taken: int


@attrs.define(eq=False)
class CallerAccount:
    """What one connection of a caller holds.

    Parameters
    ----------
    give_up : callable
        Called with a :class:`GiveUpReason`; what the connection holds is not counted any more.
    measure : callable
        Returns the :class:`UnsentAnswer` of the connection.
    phase : CallerPhase
    since : float
        When the phase began.
    received : int
        Bytes of requests that are not answered yet.
    answer : int
        Bytes of an answer that is being received from an upstream, or passed on.
    unsent : UnsentAnswer
        As last measured.
    progress_at : float
        When the connection last brought something, or took something.
    """

    give_up: Callable[[GiveUpReason], None]
    measure: Callable[[], UnsentAnswer]
    phase: CallerPhase
    since: float
    progress_at: float
    received: int = 0
    answer: int = 0
    unsent: UnsentAnswer = UnsentAnswer(0, 0)

    @property
    def held(self) -> int:
        """Bytes that the connection holds."""
        return self.received + self.answer + self.unsent.size


_DESCRIPTOR_ORDER = (
    CallerPhase.CLOSING,
    CallerPhase.NEW,
    CallerPhase.HEAD,
    CallerPhase.IDLE,
    CallerPhase.UNREAD,
)
"""Phases whose oldest connection yields to a new one, first choice first."""

_MEMORY_PHASES = frozenset({CallerPhase.CLOSING, CallerPhase.HEAD, CallerPhase.WAITING})
"""Phases in which a connection is given up for its memory at once. Others, in which an upstream
has worked for the caller, must have stalled."""

_TIMEOUTS: dict[CallerPhase, tuple[str, GiveUpReason]] = {
    CallerPhase.NEW: ("idle_timeout_s", GiveUpReason.IDLE_TIMEOUT),
    CallerPhase.HEAD: ("head_timeout_s", GiveUpReason.HEAD_TIMEOUT),
    CallerPhase.IDLE: ("idle_timeout_s", GiveUpReason.IDLE_TIMEOUT),
    CallerPhase.CLOSING: ("close_timeout_s", GiveUpReason.CLOSE_TIMEOUT),
}
"""Field of the terms that limits the time in a phase, and the reason for which it ends."""


class CallerAccounts:
    """Accounts for the connections of callers, and gives up those that take too much.

    What a caller sends or leaves unread must not decide how much the process keeps. Past a limit,
    the connections go first on which nothing was passed on, and among these the largest; a small
    one never goes for its memory.

    Parameters
    ----------
    terms : CallerTerms
        Can be replaced while connections are open.

    Examples
    --------
    >>> terms = CallerTerms(2, 1 << 20, 100, 1 << 20, 1.0, 10.0, 10.0)
    >>> accounts = CallerAccounts(terms)
    >>> first = accounts.open(lambda reason: print(reason.value), lambda: UnsentAnswer(0, 0), 0.0)
    >>> for now in (1.0, 2.0):
    ...     account = accounts.open(print, lambda: UnsentAnswer(0, 0), now)
    descriptors
    >>> len(accounts)
    2
    """

    def __init__(self, terms: CallerTerms):
        self.terms = terms
        self.held = 0
        self._phases: dict[CallerPhase, dict[CallerAccount, None]] = {
            phase: {} for phase in CallerPhase
        }
        self._requests: Counter[Hashable] = Counter()

    def __len__(self) -> int:
        return sum(map(len, self._phases.values()))

    def open(
        self,
        give_up: Callable[[GiveUpReason], None],
        measure: Callable[[], UnsentAnswer],
        now: float,
    ) -> CallerAccount | None:
        """Return the account of a new connection; None if there is no place for it.

        Parameters
        ----------
        give_up, measure : callable
            See :class:`CallerAccount`.
        now : float
        """
        if len(self) >= self.terms.max_connections:
            oldest = next(self._oldest(_DESCRIPTOR_ORDER), None)
            if oldest is None:
                return None
            self.close(oldest)
            oldest.give_up(GiveUpReason.DESCRIPTORS)
        account = CallerAccount(give_up, measure, CallerPhase.NEW, now, now)
        self._phases[CallerPhase.NEW][account] = None
        return account

    def close(self, account: CallerAccount) -> None:
        """Release the account of a connection; a second call has no effect."""
        self._phases[account.phase].pop(account, None)
        self._forget(account)

    def enter(self, account: CallerAccount, phase: CallerPhase, now: float) -> None:
        """Record that a phase of a connection begins."""
        if account.phase is not phase and self._is_open(account):
            del self._phases[account.phase][account]
            account.phase = phase
            account.since = now
            self._phases[phase][account] = None

    def receive(self, account: CallerAccount, size: int, now: float) -> None:
        """Record that so many bytes of requests were received."""
        if not self._is_open(account):
            return
        account.progress_at = now
        account.received += size
        self.held += size

    def check(self, now: float) -> None:
        """Give up connections if all together hold too much; called once data is parsed."""
        if self.held > self.terms.max_held_bytes:
            self.make_room(now)

    def release(self, account: CallerAccount, size: int) -> None:
        """Record that so many bytes of requests are no longer kept."""
        size = min(size, account.received)
        account.received -= size
        self.held -= size

    def set_answer(self, account: CallerAccount, size: int) -> None:
        """Record how many bytes of an answer are kept outside the write buffer."""
        if self._is_open(account):
            self.held += size - account.answer
            account.answer = size

    def try_hold(self, account: CallerAccount, size: int, now: float) -> bool:
        """Record how many bytes of an answer are kept; return False if it must be given up.

        For answers that cannot wait for room; see :meth:`try_reserve`.
        """
        self.set_answer(account, size)
        if self.held > self.terms.max_held_bytes:
            self.make_room(now)
        return size <= self.terms.small_bytes or self.held <= self.terms.max_held_bytes

    def try_reserve(self, account: CallerAccount, size: int, now: float) -> bool:
        """Reserve memory for an answer before it is received; return whether there is room.

        An answer of over half of the limit gets room once that much is free.
        """
        needed = min(size, self.terms.max_held_bytes // 2)
        if size > self.terms.small_bytes and self.held + needed > self.terms.max_held_bytes:
            self.make_room(now, needed)
            if self.held + needed > self.terms.max_held_bytes:
                return False
        self.set_answer(account, size)
        return True

    def try_begin(self, user: Hashable) -> bool:
        """Count a request; return False if its user must leave connections to others.

        Parameters
        ----------
        user : hashable
            The service and the organisation.
        """
        running = self._requests.total()
        if running >= self.terms.shared_requests and 2 * self._requests[user] >= running:
            return False
        self._requests[user] += 1
        return True

    def end(self, user: Hashable) -> None:
        """Record the end of a request that was counted."""
        self._requests[user] -= 1
        if not self._requests[user]:
            del self._requests[user]

    def observe(self, account: CallerAccount, now: float) -> None:
        """Measure what the caller of a connection has not taken."""
        if not self._is_open(account):
            return
        before, account.unsent = account.unsent, account.measure()
        self.held += account.unsent.size - before.size
        if account.unsent.taken > before.taken or not account.unsent.size:
            account.progress_at = now
        if account.phase is CallerPhase.UNREAD and not account.unsent.size:
            self.enter(account, CallerPhase.IDLE, now)

    def make_room(self, now: float, size: int = 0) -> None:
        """Give up the largest connections until so many bytes are free.

        Parameters
        ----------
        now : float
        size : int
        """
        limit = max(0, self.terms.max_held_bytes - size)
        for account in self._all():
            if account.unsent.size:
                self.observe(account, now)
        if self.held <= limit:
            return
        small = self.terms.small_bytes
        candidates = [
            account
            for account in self._all()
            if account.held > small and self._may_give_up(account, now)
        ]
        for account in sorted(candidates, key=lambda item: item.held, reverse=True):
            if self.held <= limit:
                return
            self._give_up(account, GiveUpReason.MEMORY)

    def sweep(self, now: float, paused_until: float = 0.0) -> None:
        """Give up the connections whose time has passed.

        Parameters
        ----------
        now : float
        paused_until : float
            Until when the process did not run; no time is counted before that.
        """
        for phase, (limit, reason) in _TIMEOUTS.items():
            limit_s = getattr(self.terms, limit)
            for account in list(self._phases[phase]):
                if now - max(account.since, paused_until) < limit_s:
                    break
                self._give_up(account, reason)
        for account in list(self._all()):
            if account.unsent.size or account.phase in (CallerPhase.RUNNING, CallerPhase.UNREAD):
                self.observe(account, now)
            if not account.unsent.size:
                continue
            if now - max(account.progress_at, paused_until) >= self.terms.answer_timeout_s:
                self._give_up(account, GiveUpReason.ANSWER_TIMEOUT)
        if self.held > self.terms.max_held_bytes:
            self.make_room(now)

    def _is_open(self, account: CallerAccount) -> bool:
        return account in self._phases[account.phase]

    def _all(self) -> Iterator[CallerAccount]:
        return (account for accounts in self._phases.values() for account in accounts)

    def _oldest(self, phases: tuple[CallerPhase, ...]) -> Iterator[CallerAccount]:
        return (next(iter(self._phases[phase])) for phase in phases if self._phases[phase])

    def _may_give_up(self, account: CallerAccount, now: float) -> bool:
        if account.phase in _MEMORY_PHASES:
            return True
        return bool(account.unsent.size) and now - account.progress_at >= PRESSURE_STALL_S

    def _give_up(self, account: CallerAccount, reason: GiveUpReason) -> None:
        self._forget(account)
        account.give_up(reason)

    def _forget(self, account: CallerAccount) -> None:
        self.held -= account.held
        account.received = account.answer = 0
        account.unsent = UnsentAnswer(0, account.unsent.taken)
