"""Limits on the memory that incomplete answers of upstreams take."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

import attrs

MAX_ANSWER_BYTES = 32 << 20
"""Largest answer that is kept until it is complete."""

MAX_HELD_BYTES = 24 << 20
"""Most bytes of all answers of unknown length that are not complete yet."""

SMALL_ANSWER_BYTES = 1 << 20
"""Largest answer that is never given up, bytes: many at once are not the fault of one."""


@attrs.define(eq=False)
class HeldAnswer:
    """An answer that is received and not complete yet.

    Parameters
    ----------
    give_up : callable
        Called without arguments if the answer takes too much memory.
    size : int
        Bytes that are kept.
    is_given_up : bool
    """

    give_up: Callable[[], None]
    size: int = 0
    is_given_up: bool = False


class HeldAnswers:
    """Accounts for the incomplete answers of a process, and gives up those that take too much.

    An answer without an end would take all memory of the process. If all answers of unknown length
    together exceed their limit, the largest of them is given up.

    Parameters
    ----------
    max_answer_bytes, max_held_bytes : int
        Limits for one answer, and for all of unknown length together, bytes.
    small_answer_bytes : int
        Largest answer that is given up only for its own sake, bytes.

    Examples
    --------
    >>> held = HeldAnswers(max_answer_bytes=100, max_held_bytes=120, small_answer_bytes=10)
    >>> endless = held.open(lambda: print("given up"))
    >>> sound = held.open(lambda: None)
    >>> held.grow(sound, 50)
    >>> held.grow(endless, 80)
    given up
    >>> held.total
    50
    """

    def __init__(
        self,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_held_bytes: int = MAX_HELD_BYTES,
        small_answer_bytes: int = SMALL_ANSWER_BYTES,
    ):
        self.max_answer_bytes = max_answer_bytes
        self.max_held_bytes = max_held_bytes
        self.small_answer_bytes = small_answer_bytes
        self.total = 0
        self._of_unknown_length: set[HeldAnswer] = set()

    def open(self, give_up: Callable[[], None], length: int | None = None) -> HeldAnswer:
        """Return the account of an answer that begins; call ``close`` at its end.

        Parameters
        ----------
        give_up : callable
            Called without arguments, once at the most, if the answer takes too much memory.
        length : int or None
            Length that the upstream has stated, bytes.
        """
        answer = HeldAnswer(give_up)
        if length is None:
            self._of_unknown_length.add(answer)
        elif length > self.max_answer_bytes:
            self._give_up(answer)
        return answer

    @contextlib.contextmanager
    def account(
        self, give_up: Callable[[], None], length: int | None = None
    ) -> Iterator[HeldAnswer]:
        """Account for an answer as long as the context lasts; see :meth:`open`."""
        answer = self.open(give_up, length)
        try:
            yield answer
        finally:
            self.close(answer)

    def grow(self, answer: HeldAnswer, size: int) -> None:
        """Record that so many more bytes of an answer are kept."""
        if answer.is_given_up:
            return
        answer.size += size
        if answer in self._of_unknown_length:
            self.total += size
        if answer.size > self.max_answer_bytes:
            self._give_up(answer)
        while self.total > self.max_held_bytes:
            largest = max(self._of_unknown_length, key=lambda item: item.size)
            if largest.size <= self.small_answer_bytes:
                return
            self._give_up(largest)

    def resize(self, answer: HeldAnswer, size: int) -> None:
        """Record how many bytes of an answer are kept now."""
        self.grow(answer, size - answer.size)

    def close(self, answer: HeldAnswer) -> None:
        """Release the account of an answer that has ended."""
        if answer in self._of_unknown_length:
            self._of_unknown_length.remove(answer)
            self.total -= answer.size

    def _give_up(self, answer: HeldAnswer) -> None:
        self.close(answer)
        answer.is_given_up = True
        answer.give_up()
