"""Reservation of upstreams for steady streams, apart from the reading of long prompts."""

from __future__ import annotations

import functools
import math
from collections.abc import Sequence
from hashlib import blake2b

from ._upstream import Upstream

PAUSE_WEIGHT = 0.03
"""Weight of the newest stream in the share of streams with a long pause: about the last thirty
streams of a process count, some seconds of a busy one."""

RESERVE_ABOVE_SHARE = 0.2
RELEASE_BELOW_SHARE = 0.08
"""Share of the other streams with pauses longer than the limit of steady ones, above which
upstreams are reserved and below which none are. It is measured on the other streams because these
still show how much is read elsewhere while upstreams are reserved; otherwise a reservation would
remove its own reason."""

STEADY_PAUSE_WEIGHT = 0.1
"""Weight of the newest stream in the share of steady streams with a long pause. One process of many
runs few of them, so that about ten must be sufficient."""

STEADY_RESERVE_ABOVE_SHARE = 0.12
STEADY_RELEASE_BELOW_SHARE = 0.03
"""Share of the steady streams with pauses longer than their limit, above which upstreams are
reserved too, and below which this is no reason any more."""

BACKLOG_TIME_CONSTANT_S = 0.5
"""Time over which the backlog of all upstreams is averaged, seconds."""

BACKLOG_RESERVE_ABOVE_SHARE = 0.45
BACKLOG_RELEASE_BELOW_SHARE = 0.22
"""Mean backlog of the upstreams, as a share of the tightest target, above which upstreams are
reserved, and below which none are."""

MIN_UPSTREAMS = 4
"""Upstreams of a service from which on some are reserved; with fewer, even one would be too many.
"""

MAX_RESERVED_SHARE = 0.4
"""Largest share of the upstreams that is reserved."""

ANSWER_TOKEN_WEIGHT = 10.0
"""Time of an answer token relative to a prompt token: an engine generates one token of each running
answer in a step of some milliseconds, in which it could read a few hundred prompt tokens."""

WORK_DECAY = 0.995
"""Factor on the recorded work at each further request: the last two hundred count."""


class SteadyReservation:
    """Decides which upstreams of a service are reserved for steady streams, and how many.

    While an engine reads a long prompt, it generates the answers of its other requests four to five
    times more slowly. In a burst of long prompts nearly every upstream reads all the time, and
    streams whose callers tolerate only short pauses are late at every upstream. Some upstreams, the
    same at every process, then serve these streams and no long prompts.

    A process that runs all streams itself sees by their pauses when that is needed. One of many
    sees few of them, and if each decided by its own, some would reserve upstreams that the others
    use for long prompts. They decide by the mean backlog of the upstreams instead, which all know.
    """

    def __init__(self):
        self._other_streams = _LongPauseRate(PAUSE_WEIGHT, RESERVE_ABOVE_SHARE, RELEASE_BELOW_SHARE)
        self._steady_streams = _LongPauseRate(
            STEADY_PAUSE_WEIGHT, STEADY_RESERVE_ABOVE_SHARE, STEADY_RELEASE_BELOW_SHARE
        )
        self._mean_backlog: _MeanBacklog | None = None
        self._steady_work = 0.0
        self._all_work = 0.0

    @property
    def active(self) -> bool:
        """Whether upstreams are reserved."""
        if self._mean_backlog is not None:
            return self._mean_backlog.active
        return self._other_streams.active or self._steady_streams.active

    def record_backlog(self, share: float, now: float) -> None:
        """Record the mean backlog of the upstreams; from then on it decides instead of the pauses.

        Parameters
        ----------
        share : float
            Share of the tightest target of the service.
        now : float
        """
        if self._mean_backlog is None:
            self._mean_backlog = _MeanBacklog()
        self._mean_backlog.record(share, now)

    def record_demand(self, is_steady: bool, prompt_tokens: int, answer_tokens: int) -> None:
        """Record the work of a request.

        Parameters
        ----------
        is_steady : bool
            Whether it is a steady stream.
        prompt_tokens : int
            Tokens of its own prompt part, without shared parts.
        answer_tokens : int
        """
        work = prompt_tokens + ANSWER_TOKEN_WEIGHT * answer_tokens
        self._all_work = WORK_DECAY * self._all_work + work
        self._steady_work = WORK_DECAY * self._steady_work + (work if is_steady else 0.0)

    def record_pause(self, longest_s: float, limit_s: float, is_steady: bool = False) -> None:
        """Record the longest pause of a stream and the limit for steady streams.

        Pauses of other streams indicate that much is read everywhere. Steady streams can be late
        without that: if few requests run at once at an upstream, a single long prompt among them is
        sufficient.
        """
        pauses = self._steady_streams if is_steady else self._other_streams
        pauses.record(longest_s > limit_s)

    def choose(self, upstreams: Sequence[Upstream]) -> frozenset[str]:
        """Return the ids of the reserved upstreams, none while the reservation is inactive.

        Parameters
        ----------
        upstreams : sequence of Upstream
            Upstreams of the service that accept work.
        """
        if not self.active or len(upstreams) < MIN_UPSTREAMS or not self._all_work:
            return frozenset()
        share = min(self._steady_work / self._all_work, MAX_RESERVED_SHARE)
        count = round(share * len(upstreams))
        ranked = sorted(upstreams, key=lambda item: _rank(item.id))
        return frozenset(item.id for item in ranked[:count])


class _LongPauseRate:
    """Share of streams with a long pause, and whether it is too large, with hysteresis."""

    def __init__(self, weight: float, reserve_above: float, release_below: float):
        self._newest_weight = weight
        self._reserve_above = reserve_above
        self._release_below = release_below
        self._share = 0.0
        self.active = False

    def record(self, is_long: bool) -> None:
        self._share += self._newest_weight * (is_long - self._share)
        self.active = self._share > (self._release_below if self.active else self._reserve_above)


class _MeanBacklog:
    """Average of the mean backlog over time, and whether it is too large, with hysteresis."""

    def __init__(self):
        self._share = 0.0
        self._recorded_at = float("-inf")
        self.active = False

    def record(self, share: float, now: float) -> None:
        elapsed = max(0.0, now - self._recorded_at)
        self._recorded_at = now
        self._share += (1.0 - math.exp(-elapsed / BACKLOG_TIME_CONSTANT_S)) * (share - self._share)
        limit = BACKLOG_RELEASE_BELOW_SHARE if self.active else BACKLOG_RESERVE_ABOVE_SHARE
        self.active = self._share > limit


@functools.lru_cache(maxsize=4096)
def _rank(id_: str) -> bytes:
    """Return the sort key of an upstream, which is the same at every process."""
    return blake2b(id_.encode(), key=b"steady", digest_size=8).digest()
