"""What a request needs of an upstream, and what an upstream offers it."""

from __future__ import annotations

import attrs

from ..regions import Homes
from ._prompts import Prompt
from ._upstream import Upstream


@attrs.frozen
class Demand:
    """Requirements of one request.

    Parameters
    ----------
    prompt : Prompt
    target_s : float
        Target for the time to the first token, seconds.
    patience_s : float
        Time limit of the complete answer, seconds.
    short_s : float
        Reading time up to which the prompt overtakes others at the upstream, seconds.
    is_steady : bool
        Whether the answer is a steady stream: its target for pauses is stricter than that of
        other streams.
    software_version : str or None
        Software version of the upstreams that may write the answer; None for any.
    is_suspect : bool
        Whether the request may crash the upstream that begins to answer it.
    homes : Homes or None
        Regions in which it may be served; None for any.
    round_trips : int
        Round trips before an upstream can read it: 2 if it needs a new connection.
    """

    prompt: Prompt
    target_s: float
    patience_s: float
    short_s: float = 0.0
    is_steady: bool = False
    software_version: str | None = None
    is_suspect: bool = False
    homes: Homes | None = None
    round_trips: int = 2

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether an upstream may write the answer."""
        if self.software_version not in (None, upstream.entry.software_version):
            return False
        return self.homes is None or self.homes.allows_domain(upstream.entry.failure_domain)


@attrs.frozen
class Placement:
    """A candidate upstream for one request, with the predicted times.

    Parameters
    ----------
    upstream : Upstream
    first_token_s : float
        Predicted time to the first token, seconds.
    backlog_s : float
        The share of it spent on reading other prompts, seconds.
    answer_s : float
        Predicted time from the first token to the end of the answer, seconds.
    tokens : int
        Prompt tokens that must be read for the request.
    is_cached : bool
        Whether all shared parts are cached at the upstream or are fetched.
    source : Upstream or None
        The upstream that missing shared parts are fetched from.
    fetched_tokens : int
        Prompt tokens that are fetched.
    is_short : bool
        Whether the reading time is short enough for the request to overtake others.
    way_s : float
        The share of the time to the first token that the distance between regions adds, seconds.
    """

    upstream: Upstream
    first_token_s: float
    backlog_s: float
    answer_s: float
    tokens: int
    is_cached: bool
    source: Upstream | None = None
    fetched_tokens: int = 0
    is_short: bool = False
    way_s: float = 0.0
