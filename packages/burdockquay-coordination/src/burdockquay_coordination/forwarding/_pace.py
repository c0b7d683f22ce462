"""Keeps streams that must be written steadily apart from the reading of long prompts."""

from __future__ import annotations

import functools
from collections.abc import Sequence
from hashlib import blake2b

from ._upstreams import Upstream

PAUSE_WEIGHT = 0.03
"""Weight of the newest stream in the share of streams that are written too slowly: about the last
thirty streams of a process count, some seconds of a busy one."""

BEGIN_SHARE = 0.2
END_SHARE = 0.08
"""Share of the other streams with pauses longer than steady ones may have, above which upstreams
are set apart and below which none are. Measured on the other streams, it goes on telling how it is
where prompts are read, so that setting upstreams apart does not end its own reason."""

STEADY_PAUSE_WEIGHT = 0.1
"""Weight of the newest stream in the share of steady streams that are written too slowly. A process
of many sees few of them, so that about ten must tell."""

STEADY_BEGIN_SHARE = 0.12
STEADY_END_SHARE = 0.03
"""Share of the steady streams with pauses longer than they may have, above which upstreams are set
apart too, and below which this alone is no reason any more."""

LEAST_UPSTREAMS = 4
"""Upstreams of a service from which on some are set apart; of fewer, one would be too many."""

MOST_SHARE = 0.4
"""Largest part of the upstreams that is set apart."""

ANSWER_TOKEN_WEIGHT = 10.0
"""How much longer an answer token takes than a prompt token: an engine writes a token of each
running answer in a step of some milliseconds, in which it could read a few hundred."""

WORK_MEMORY = 0.995
"""Weight that the work of a request keeps with each further one: the last two hundred count."""


class PaceGuard:
    """Decides which upstreams of a service are set apart for steady streams, and how many.

    While an engine reads a long prompt, the answers beside it are written four to five times more
    slowly. In a burst of long prompts nearly every upstream reads all the time, and streams whose
    callers bear short pauses only are late wherever they run. A part of the upstreams, which every
    process chooses the same way, then takes these streams and no long prompts.
    """

    def __init__(self):
        self._others = _LatePauses(PAUSE_WEIGHT, BEGIN_SHARE, END_SHARE)
        self._steady = _LatePauses(STEADY_PAUSE_WEIGHT, STEADY_BEGIN_SHARE, STEADY_END_SHARE)
        self._steady_work = 0.0
        self._all_work = 0.0

    @property
    def active(self) -> bool:
        """Whether upstreams are set apart."""
        return self._others.active or self._steady.active

    def note_demand(self, is_steady: bool, prompt_tokens: int, answer_tokens: int) -> None:
        """Note a request.

        Parameters
        ----------
        is_steady : bool
            Whether its stream must be written steadily.
        prompt_tokens : int
            Tokens of its own, without shared parts.
        answer_tokens : int
        """
        work = prompt_tokens + ANSWER_TOKEN_WEIGHT * answer_tokens
        self._all_work = WORK_MEMORY * self._all_work + work
        self._steady_work = WORK_MEMORY * self._steady_work + (work if is_steady else 0.0)

    def note_pause(self, longest_s: float, limit_s: float, is_steady: bool = False) -> None:
        """Note the longest pause of a stream, beside what steady ones may have.

        Pauses of other streams tell of much reading everywhere. Steady streams can be late without:
        where few requests run at once at an upstream, a single long prompt beside them is enough.
        """
        pauses = self._steady if is_steady else self._others
        pauses.note(longest_s > limit_s)

    def choose(self, upstreams: Sequence[Upstream]) -> frozenset[str]:
        """Return the ids of the upstreams that are set apart, none while that is not needed.

        Parameters
        ----------
        upstreams : sequence of Upstream
            Those of the service that take work.
        """
        if not self.active or len(upstreams) < LEAST_UPSTREAMS or not self._all_work:
            return frozenset()
        share = min(self._steady_work / self._all_work, MOST_SHARE)
        count = round(share * len(upstreams))
        ranked = sorted(upstreams, key=lambda item: _rank(item.id))
        return frozenset(item.id for item in ranked[:count])


class _LatePauses:
    """The share of streams with a pause that is too long, and whether that is too many."""

    def __init__(self, weight: float, begin_share: float, end_share: float):
        self._weight = weight
        self._begin_share = begin_share
        self._end_share = end_share
        self._share = 0.0
        self.active = False

    def note(self, is_long: bool) -> None:
        self._share += self._weight * (is_long - self._share)
        self.active = self._share > (self._end_share if self.active else self._begin_share)


@functools.lru_cache(maxsize=4096)
def _rank(id_: str) -> bytes:
    """Return a place in an order that is the same at every process."""
    return blake2b(id_.encode(), key=b"steady", digest_size=8).digest()
