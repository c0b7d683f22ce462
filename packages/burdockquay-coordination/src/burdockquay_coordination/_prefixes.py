"""Index of the prompt prefixes that were recently sent to each upstream."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import xxhash

BLOCK_CHARACTERS = 256
"""Characters of a prompt in one block."""
MAX_BLOCKS = 64
"""Largest number of blocks of a prompt that are indexed."""

SHORT_PREFIXES_CHARACTERS = (16, 32, 64, 128)
"""Lengths of the prefixes shorter than a block by which prompts are compared after a crash,
characters."""


def hash_short_prefixes(text: str) -> list[int]:
    """Return the hashes of the prefixes of a prompt that are shorter than a block.

    Examples
    --------
    >>> hash_short_prefixes("decode this and that") == hash_short_prefixes("decode this and it")
    True
    >>> hash_short_prefixes("decode this")
    []
    """
    return [
        xxhash.xxh64_intdigest(text[:length].encode("utf-8", "surrogatepass"))
        for length in SHORT_PREFIXES_CHARACTERS
        if len(text) > length
    ]


class PrefixIndex:
    """LRU index of the prompt blocks sent to each VM.

    Parameters
    ----------
    blocks_per_vm : int
        Number of blocks kept for each VM; set it to the size of the upstream's cache.

    Notes
    -----
    A block is identified by a hash of the prompt from its start to the end of the block, so equal
    hashes mean equal prefixes. Cache events of the engines arrive late and incompletely. What this
    process itself has sent is known immediately and is a good estimate of the cache contents.

    Examples
    --------
    >>> index = PrefixIndex(blocks_per_vm=100)
    >>> blocks = index.blocks("a" * 600)
    >>> index.record_prompt("vm-1", blocks, now=0.0)
    >>> index.overlap("vm-1", index.blocks("a" * 512 + "b" * 256)), index.overlap("vm-2", blocks)
    (2, 0)
    """

    def __init__(self, blocks_per_vm: int):
        self.blocks_per_vm = blocks_per_vm
        self._sent: dict[str, OrderedDict[int, None]] = {}

    def blocks(self, text: str) -> list[int]:
        """Return the hashes of the complete blocks at the start of a prompt."""
        count = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
        digest = xxhash.xxh64()
        names = []
        for index in range(count):
            block = text[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS]
            digest.update(block.encode("utf-8", "surrogatepass"))
            names.append(digest.intdigest())
        return names

    def record_prompt(self, vm: str, blocks: Sequence[int], now: float) -> None:
        """Record that a prompt was sent to a VM."""
        sent = self._sent.setdefault(vm, OrderedDict())
        for block in reversed(blocks):
            sent[block] = None
            sent.move_to_end(block)
        while len(sent) > self.blocks_per_vm:
            sent.popitem(last=False)

    def overlap(self, vm: str, blocks: Sequence[int]) -> int:
        """Return the number of leading blocks of a prompt that were sent to the VM."""
        sent = self._sent.get(vm, ())
        for count, block in enumerate(blocks):
            if block not in sent:
                return count
        return len(blocks)

    def forget(self, vm: str) -> None:
        """Drop the blocks of a VM."""
        self._sent.pop(vm, None)
