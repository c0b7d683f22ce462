"""Prompts, and which of their parts an upstream has in memory."""

from __future__ import annotations

from collections import OrderedDict

import attrs

DEFAULT_TOKENS = 250_000
"""Tokens that an upstream is taken to keep until it tells its size; of the order of present
accelerators."""


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

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
        return self.shared_tokens + self.own_tokens

    def parts(self) -> list[tuple[str, int]]:
        """Return the parts with their tokens, those shared taken as one."""
        own = (self.own, self.own_tokens)
        return [own] if self.shared is None else [(self.shared, self.shared_tokens), own]


class PromptMemory:
    """The prompt parts that an upstream has in memory, as far as sends tell.

    Upstreams publish late and at a price what they keep. All processes together know what was sent
    there, and the least recently used parts yield when the memory is full.

    Examples
    --------
    >>> memory = PromptMemory()
    >>> memory.capacity = 1000
    >>> memory.note("a", 600)
    >>> memory.note("b", 600)
    >>> memory.holds("a"), memory.holds("b")
    (False, True)
    """

    def __init__(self):
        self.capacity = DEFAULT_TOKENS
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def note(self, part: str, tokens: int) -> None:
        """Note that a part is read there, or was found in memory."""
        self._tokens += tokens - self._parts.pop(part, 0)
        self._parts[part] = tokens
        while self._tokens > self.capacity and len(self._parts) > 1:
            _, dropped = self._parts.popitem(last=False)
            self._tokens -= dropped

    def holds(self, part: str) -> bool:
        """Return whether a part is in memory."""
        return part in self._parts

    def missing(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt must be read; parts behind a missing one count too."""
        if prompt.shared is not None and not self.holds(prompt.shared):
            return prompt.tokens
        return 0 if self.holds(prompt.own) else prompt.own_tokens
