"""Prompts, and a model of the prompt parts that an upstream has in memory."""

from __future__ import annotations

import itertools
from collections import OrderedDict

import attrs

DEFAULT_CAPACITY_TOKENS = 250_000
"""Tokens that an upstream is assumed to keep if the configuration does not say, of the order of
present accelerators. With too large a value, evicted parts are assumed to be cached and are read
again; with too small a value, requests with one part are spread over more upstreams than needed."""


@attrs.frozen
class Prompt:
    """The prompt of one request.

    Parameters
    ----------
    parts : tuple of (str, int)
        Id and tokens of each part, in order. Other requests may share all but the last part, which
        belongs to the request or its session.
    answer_tokens : int
        Maximum number of tokens of the answer.
    """

    parts: tuple[tuple[str, int], ...]
    answer_tokens: int = 0

    @property
    def key(self) -> str:
        """Id of the part by which upstreams are ranked: the last shared part."""
        return self.parts[-2][0] if len(self.parts) > 1 else self.parts[0][0]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the parts that other requests may share: all but the last."""
        return tuple(part for part, _ in self.parts[:-1])

    @property
    def tokens(self) -> int:
        """Tokens of all parts."""
        return sum(tokens for _, tokens in self.parts)

    def tokens_from(self, position: int) -> int:
        """Return the tokens of the part at a position and of all following parts."""
        return sum(tokens for _, tokens in self.parts[position:])

    @property
    def own_tokens(self) -> int:
        """Tokens of the last part."""
        return self.parts[-1][1]


class PromptMemory:
    """The prompt parts that an upstream has in memory, estimated from the requests sent there.

    Upstreams publish the parts that they keep late and at a cost. All processes together know what
    was sent there, and the least recently used parts are evicted when the memory is full.

    Examples
    --------
    >>> memory = PromptMemory()
    >>> memory.set_capacity(1000)
    >>> memory.record_read("a", 600)
    >>> memory.record_read("b", 600)
    >>> memory.holds("a"), memory.holds("b")
    (False, True)
    """

    def __init__(self):
        self._capacity = DEFAULT_CAPACITY_TOKENS
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0
        # Number of pending requests that will read a part, by part.
        self._pending_reads: dict[str, int] = {}

    def set_capacity(self, tokens: int) -> None:
        """Set how many tokens the upstream keeps."""
        self._capacity = tokens
        self._evict_over_capacity()

    def record_read(self, part: str, tokens: int) -> None:
        """Record that a part was read at the upstream, or found in its memory."""
        self._put(part, tokens)
        self._pending_reads.pop(part, None)
        self._evict_over_capacity()

    def record_pending_read(self, part: str, tokens: int) -> None:
        """Record that a request was sent that will read a part, unless the part is cached."""
        is_read = part in self._parts and part not in self._pending_reads
        self._put(part, tokens)
        if not is_read:
            self._pending_reads[part] = self._pending_reads.get(part, 0) + 1
        self._evict_over_capacity()

    def record_abandoned(self, part: str) -> None:
        """Record that a request ended before it had read a part."""
        if part not in self._pending_reads:
            return
        self._pending_reads[part] -= 1
        if self._pending_reads[part] == 0:
            self._drop(part)

    def holds(self, part: str) -> bool:
        """Return whether a part is in memory, or will be when the pending requests are read."""
        return part in self._parts

    def newest(self, count: int) -> dict[str, int]:
        """Return the tokens of the most recently read or used parts."""
        read = (
            item for item in reversed(self._parts.items()) if item[0] not in self._pending_reads
        )
        return dict(itertools.islice(read, count))

    def missing(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt must be read: all from its first missing part on."""
        for position, (part, _) in enumerate(prompt.parts):
            if part not in self._parts:
                return prompt.tokens_from(position)
        return 0

    def unread(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt are not in memory yet and cannot be fetched.

        Parts with a pending read count as missing here. At the start of a process and in a burst,
        many requests with the same part arrive before it is read; an upstream that is instructed to
        fetch it would find nothing and read it again.
        """
        for position, (part, _) in enumerate(prompt.parts):
            if part not in self._parts or part in self._pending_reads:
                return prompt.tokens_from(position)
        return 0

    def _put(self, part: str, tokens: int) -> None:
        self._tokens += tokens - self._parts.pop(part, 0)
        self._parts[part] = tokens

    def _drop(self, part: str) -> None:
        self._tokens -= self._parts.pop(part, 0)
        self._pending_reads.pop(part, None)

    def _evict_over_capacity(self) -> None:
        while self._tokens > self._capacity and len(self._parts) > 1:
            self._drop(next(iter(self._parts)))
