"""A heap from which any item can be removed."""

from __future__ import annotations

import heapq
from typing import Any, Protocol


class Removable(Protocol):
    """An item that knows whether it was removed."""

    alive: bool


class LazyHeap:
    """Min-heap whose removed items are skipped instead of searched for.

    Notes
    -----
    Removing an item from the middle of a heap needs a search over all of it. Here the owner clears
    the item's ``alive`` and calls :meth:`discard`; the item leaves when it reaches the top, or with
    the rebuild that runs once more than half of the heap is dead. Push, pop and discard take
    amortised logarithmic time.

    Examples
    --------
    >>> import attrs
    >>> @attrs.define
    ... class Item:
    ...     name: str
    ...     alive: bool = True
    >>> heap = LazyHeap()
    >>> first, second = Item("first"), Item("second")
    >>> heap.push(1.0, first)
    >>> heap.push(2.0, second)
    >>> first.alive = False
    >>> heap.discard()
    >>> heap.peek().name
    'second'
    """

    def __init__(self) -> None:
        self._items: list[tuple[Any, int, Removable]] = []
        self._pushed = 0
        self._dead = 0

    def push(self, key: Any, item: Removable) -> None:
        """Add an item; of equal keys the one pushed first comes first."""
        self._pushed += 1
        heapq.heappush(self._items, (key, self._pushed, item))

    def peek(self) -> Any:
        """Return the item with the smallest key, or None."""
        self._drop_dead()
        return self._items[0][2] if self._items else None

    def peek_key(self) -> Any:
        """Return the smallest key, or None."""
        self._drop_dead()
        return self._items[0][0] if self._items else None

    def discard(self) -> None:
        """Note that one item of the heap was removed by its owner."""
        self._dead += 1
        if self._dead * 2 > len(self._items) + 16:
            self._items = [entry for entry in self._items if entry[2].alive]
            heapq.heapify(self._items)
            self._dead = 0

    def _drop_dead(self) -> None:
        while self._items and not self._items[0][2].alive:
            heapq.heappop(self._items)
            self._dead -= 1
