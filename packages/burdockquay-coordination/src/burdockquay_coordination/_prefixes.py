"""Which upstream has seen the start of a prompt lately."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence

import xxhash

BLOCK_CHARACTERS = 256
"""Characters of a prompt in one block."""
MAX_BLOCKS = 64
"""Blocks of a prompt that are looked at."""


class PrefixIndex:
    """Remembers the blocks of prompts sent to each VM, the latest of them.

    Parameters
    ----------
    blocks_per_vm : int
        Blocks remembered for each VM; set it to what the upstream's cache holds.

    Notes
    -----
    A block is named by a hash over the prompt from its start to the block's end, so that equal
    names mean equal prefixes. The engines' cache events come late and with gaps; what this process
    itself sent is known at once and is a good guess of what they hold.

    Examples
    --------
    >>> index = PrefixIndex(blocks_per_vm=100)
    >>> blocks = index.blocks("a" * 600)
    >>> index.note("vm-1", blocks, now=0.0)
    >>> index.overlap("vm-1", index.blocks("a" * 512 + "b" * 256)), index.overlap("vm-2", blocks)
    (2, 0)
    """

    def __init__(self, blocks_per_vm: int):
        self.blocks_per_vm = blocks_per_vm
        self._seen: dict[str, OrderedDict[int, None]] = {}

    def blocks(self, text: str) -> list[int]:
        """Return the names of the whole blocks at the start of a prompt."""
        count = min(len(text) // BLOCK_CHARACTERS, MAX_BLOCKS)
        digest = xxhash.xxh64()
        names = []
        for index in range(count):
            block = text[index * BLOCK_CHARACTERS : (index + 1) * BLOCK_CHARACTERS]
            digest.update(block.encode("utf-8", "surrogatepass"))
            names.append(digest.intdigest())
        return names

    def note(self, vm: str, blocks: Sequence[int], now: float) -> None:
        """Note that a prompt was sent to a VM."""
        seen = self._seen.setdefault(vm, OrderedDict())
        for block in reversed(blocks):
            seen[block] = None
            seen.move_to_end(block)
        while len(seen) > self.blocks_per_vm:
            seen.popitem(last=False)

    def overlap(self, vm: str, blocks: Sequence[int]) -> int:
        """Return how many leading blocks of a prompt the VM has seen."""
        seen = self._seen.get(vm, ())
        for count, block in enumerate(blocks):
            if block not in seen:
                return count
        return len(blocks)

    def forget(self, vm: str) -> None:
        """Drop what is remembered of a VM."""
        self._seen.pop(vm, None)
