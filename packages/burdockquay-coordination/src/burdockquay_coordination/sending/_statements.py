"""What upstreams state about themselves in their answers.

An upstream may state how many requests it takes, that it leaves, or that it wants a rest. Each kind
of statement registers here with the function that reads it.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Callable, Iterable, Mapping

import attrs

from burdockquay_state import Registry

MAX_NUMBER_CHARACTERS = 40
"""Longest text that is read as a number, characters."""

_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


class StatementFault(enum.Enum):
    """Why a statement was not taken as it was made."""

    UNREADABLE = "unreadable"
    """It has no defined meaning, and changes nothing."""
    TOO_LOW = "too low"
    """Below the lowest value, which is used instead."""
    TOO_HIGH = "too high"
    """Above the highest value."""


@attrs.frozen
class StatementReading:
    """A statement as one answer makes it.

    Parameters
    ----------
    value : float or None
        The stated value, in the unit of its kind; None if the answer does not state any, or if it
        is unreadable.
    fault : StatementFault or None
    """

    value: float | None
    fault: StatementFault | None = None


NOT_STATED = StatementReading(None)
"""Reading of an answer without the statement."""


class Binding(enum.Enum):
    """Processes that a statement binds."""

    VM = "vm"
    """Those of the VM that the answer was sent to."""
    ALL = "all"
    """Those of all VMs together."""


class ProofNeed(enum.Enum):
    """For what a statement needs an answer that proves its origin."""

    NONE = "none"
    """It ends by itself, so that a forged one does limited harm."""
    END = "end"
    """Ending it: an answer that lost the statement on its way must not end it."""
    ALWAYS = "always"
    """Making it: it is never taken back."""


@attrs.frozen
class StatementKind:
    """One kind of statement.

    Parameters
    ----------
    name : str
    read : callable
        Maps the texts of an answer that make the statement to its reading.
    binds : Binding
    is_relayed : bool
        Whether processes report it to each other as it is. The request rate limit has messages of
        its own.
    proof : ProofNeed
    """

    name: str
    read: Callable[[Iterable[str]], StatementReading]
    binds: Binding
    is_relayed: bool
    proof: ProofNeed


statement_kinds: Registry[StatementKind] = Registry("statement")

Reader = Callable[[Iterable[str]], StatementReading]


def register_statement(
    name: str, binds: Binding, is_relayed: bool, proof: ProofNeed
) -> Callable[[Reader], Reader]:
    """Return a decorator that registers the function that reads a kind of statement."""

    def add(read: Reader) -> Reader:
        statement_kinds.register(name)(StatementKind(name, read, binds, is_relayed, proof))
        return read

    return add


Statements = Mapping[str, StatementReading]
"""What one answer states, by kind; all kinds are present."""


def is_credible(kind: StatementKind, reading: StatementReading, is_proved: bool) -> bool:
    """Return whether an answer's origin is proved well enough for what it states.

    Parameters
    ----------
    kind : StatementKind
    reading : StatementReading
    is_proved : bool
        Whether the answer proves that the upstream itself made it.
    """
    if kind.proof is ProofNeed.ALWAYS:
        return is_proved
    return is_proved or kind.proof is ProofNeed.NONE or reading != NOT_STATED


def split_items(texts: Iterable[str]) -> list[str]:
    """Return the items of a field that may be repeated and may hold several."""
    return [item.strip() for text in texts for item in text.split(",")]


def parse_decimals(items: Iterable[str]) -> list[float]:
    """Return the items that are decimal numbers without sign or exponent."""
    return [
        float(item)
        for item in items
        if len(item) <= MAX_NUMBER_CHARACTERS and _DECIMAL.fullmatch(item)
    ]


class StatementChangeKind(enum.Enum):
    """What an answer or a message changed about a statement."""

    LEARNT = "learnt"
    CHANGED = "changed"
    ENDED = "ended"


@attrs.frozen
class StatementChange:
    """A change of the statement in force.

    Parameters
    ----------
    kind : StatementChangeKind
    before, after : float or None
        In the unit of the kind of statement; None where there is none.
    """

    kind: StatementChangeKind
    before: float | None
    after: float | None

    @classmethod
    def between(cls, before: float | None, after: float | None) -> StatementChange | None:
        """Return the change from one value to another, None if they are equal.

        Examples
        --------
        >>> StatementChange.between(None, 2.0).kind
        <StatementChangeKind.LEARNT: 'learnt'>
        >>> StatementChange.between(2.0, None).kind
        <StatementChangeKind.ENDED: 'ended'>
        """
        if before == after:
            return None
        if before is None:
            return cls(StatementChangeKind.LEARNT, before, after)
        kind = StatementChangeKind.ENDED if after is None else StatementChangeKind.CHANGED
        return cls(kind, before, after)
