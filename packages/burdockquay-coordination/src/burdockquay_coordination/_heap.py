"""Heap with lazy removal of arbitrary items."""

from __future__ import annotations

import heapq
from typing import Any, Protocol


class Removable(Protocol):
    """An item with a flag that shows whether it was removed."""

    alive: bool


class LazyHeap:
    """Min-heap with lazy deletion.

    Notes
    -----
    Removing an item from the middle of a heap needs a linear search. Here the owner clears the
    item's ``alive`` flag and calls :meth:`discard`. The item is dropped when it reaches the top, or
    when the heap is rebuilt because more than half of its items are removed. Push, pop and discard
    take amortised logarithmic time.

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
        """Add an item; items with equal keys keep the order in which they were pushed."""
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
        """Record that the owner has removed one item of the heap."""
        self._dead += 1
        if self._dead * 2 > len(self._items) + 16:
            self._items = [entry for entry in self._items if entry[2].alive]
            heapq.heapify(self._items)
            self._dead = 0

    def _drop_dead(self) -> None:
        while self._items and not self._items[0][2].alive:
            heapq.heappop(self._items)
            self._dead -= 1
