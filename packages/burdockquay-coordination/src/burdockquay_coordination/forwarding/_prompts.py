"""Prompts, and which of their parts an upstream has in memory."""

from __future__ import annotations

import itertools
from collections import OrderedDict

import attrs

DEFAULT_TOKENS = 250_000
"""Tokens that an upstream is taken to keep where the configuration does not say, of the order of
present accelerators. With too large a figure parts seem to be in memory that are read anew; with
too small a one they are spread."""


@attrs.frozen
class Prompt:
    """The prompt of one request.

    Parameters
    ----------
    parts : tuple of (str, int)
        Id and tokens of each part in their order. Other requests share the parts before the last
        one, which belongs to the request or its session.
    answer_tokens : int
        Longest answer.
    """

    parts: tuple[tuple[str, int], ...]
    answer_tokens: int = 0

    @property
    def key(self) -> str:
        """Id of the part by which upstreams are ranked: the last that is shared."""
        return self.parts[-2][0] if len(self.parts) > 1 else self.parts[0][0]

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
        return sum(tokens for _, tokens in self.parts)

    def tokens_from(self, position: int) -> int:
        """Return the tokens of the part at a position and of all behind it."""
        return sum(tokens for _, tokens in self.parts[position:])

    @property
    def own_tokens(self) -> int:
        """Tokens of the last part."""
        return self.parts[-1][1]


class PromptMemory:
    """The prompt parts that an upstream has in memory, as far as sends tell.

    Upstreams publish late and at a price what they keep. All processes together know what was sent
    there, and the least recently used parts yield when the memory is full.

    Examples
    --------
    >>> memory = PromptMemory()
    >>> memory.set_capacity(1000)
    >>> memory.note("a", 600)
    >>> memory.note("b", 600)
    >>> memory.holds("a"), memory.holds("b")
    (False, True)
    """

    def __init__(self):
        self._capacity = DEFAULT_TOKENS
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0
        # How many requests are on their way that will read a part.
        self._coming: dict[str, int] = {}

    def set_capacity(self, tokens: int) -> None:
        """Take over how many tokens the upstream keeps."""
        self._capacity = tokens
        self._drop_beyond()

    def note(self, part: str, tokens: int) -> None:
        """Note that a part was read there, or was found in memory."""
        self._put(part, tokens)
        self._coming.pop(part, None)
        self._drop_beyond()

    def note_coming(self, part: str, tokens: int) -> None:
        """Note that a request was sent that will read a part, unless it is in memory already."""
        is_read = part in self._parts and part not in self._coming
        self._put(part, tokens)
        if not is_read:
            self._coming[part] = self._coming.get(part, 0) + 1
        self._drop_beyond()

    def note_abandoned(self, part: str) -> None:
        """Note that a request ended before it had read a part."""
        if part not in self._coming:
            return
        self._coming[part] -= 1
        if self._coming[part] == 0:
            self._drop(part)

    def holds(self, part: str) -> bool:
        """Return whether a part is in memory, or will be once what was sent is read."""
        return part in self._parts

    def newest(self, count: int) -> dict[str, int]:
        """Return the tokens of the parts that were read or used last."""
        read = (item for item in reversed(self._parts.items()) if item[0] not in self._coming)
        return dict(itertools.islice(read, count))

    def missing(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt must be read: all from its first missing part on."""
        for position, (part, _) in enumerate(prompt.parts):
            if part not in self._parts:
                return prompt.tokens_from(position)
        return 0

    def unread(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt are not in memory yet: none of them can be fetched.

        Parts on their way count as missing here. At the start of a process and in a burst, many
        requests with one part come before it is read; an upstream that was told to fetch it would
        find nothing and read it once more.
        """
        for position, (part, _) in enumerate(prompt.parts):
            if part not in self._parts or part in self._coming:
                return prompt.tokens_from(position)
        return 0

    def _put(self, part: str, tokens: int) -> None:
        self._tokens += tokens - self._parts.pop(part, 0)
        self._parts[part] = tokens

    def _drop(self, part: str) -> None:
        self._tokens -= self._parts.pop(part, 0)
        self._coming.pop(part, None)

    def _drop_beyond(self) -> None:
        while self._tokens > self._capacity and len(self._parts) > 1:
            self._drop(next(iter(self._parts)))
