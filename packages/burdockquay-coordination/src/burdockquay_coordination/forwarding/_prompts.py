"""Prompts, and which of their parts an upstream has in memory."""

from __future__ import annotations

from collections import OrderedDict

import attrs

MEMORY_S = 8.0
"""Time after its last use during which a part is taken to be in memory, seconds. Upstreams give up
the least recently used parts; how soon depends on their traffic."""

MAX_PARTS = 4096
"""Parts remembered for one upstream."""


@attrs.frozen
class Prompt:
    """The prompt of one request.

    Parameters
    ----------
    shared : str or None
        Id of the last part that other requests share, which stands for all shared parts.
    shared_tokens : int
    own : str
        Id of the part that belongs to the request or its session.
    own_tokens : int
    answer_tokens : int
        Longest answer.
    """

    shared: str | None
    shared_tokens: int
    own: str
    own_tokens: int
    answer_tokens: int = 0

    @property
    def key(self) -> str:
        """Id of the part by which upstreams are ranked."""
        return self.shared or self.own


class PromptMemory:
    """The prompt parts that an upstream was sent lately by this process."""

    def __init__(self):
        self._used: OrderedDict[str, float] = OrderedDict()

    def note(self, prompt: Prompt, now: float) -> None:
        """Note that a prompt is read there."""
        for part in (prompt.shared, prompt.own):
            if part is not None:
                self._used[part] = now
                self._used.move_to_end(part)
        while len(self._used) > MAX_PARTS:
            self._used.popitem(last=False)

    def holds(self, part: str | None, now: float) -> bool:
        """Return whether a part was used a short time ago."""
        return part is not None and self._used.get(part, float("-inf")) > now - MEMORY_S
