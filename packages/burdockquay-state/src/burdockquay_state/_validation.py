"""Declarative constraints on the parameters of a class, and their validation.

A class declares ``_constraints``, which maps a parameter name to a list of constraints; a value is
valid if any constraint of the list accepts it. Parameters without an entry are not checked.
"""

from __future__ import annotations

import math
import re
from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import Any

import attrs


class InvalidParameterError(ValueError):
    """One or more parameters of an object violate their declared constraints."""


class Constraint(ABC):
    """Condition on one value."""

    @abstractmethod
    def accepts(self, value: Any) -> bool:
        """Return whether the value satisfies the condition."""

    @abstractmethod
    def __str__(self) -> str: ...


@attrs.frozen
class InstanceOf(Constraint):
    """Accepts instances of a type; a bool does not count as an int."""

    kind: type

    def accepts(self, value: Any) -> bool:
        """Return whether the value is an instance of the type."""
        if isinstance(value, bool) and self.kind is not bool:
            return False
        return isinstance(value, self.kind)

    def __str__(self) -> str:
        return f"an instance of {self.kind.__name__}"


@attrs.frozen
class Interval(Constraint):
    """Accepts finite numbers from ``low`` to ``high``, both included; only a bound may be infinite.

    Parameters
    ----------
    kind : type
        ``int`` or ``float``; a float interval accepts ints too.
    low, high : float
        Inclusive bounds.
    """

    kind: type
    low: float
    high: float = math.inf

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a finite number within the bounds."""
        if isinstance(value, bool):
            return False
        kinds = (int, float) if self.kind is float else (int,)
        if not isinstance(value, kinds):
            return False
        # A NaN fails both comparisons; an integer too large for a float must not raise.
        return self.low <= value <= self.high and value != math.inf

    def __str__(self) -> str:
        name = "a number" if self.kind is float else "an integer"
        if self.high == math.inf:
            return f"{name} of at least {self.low}"
        return f"{name} from {self.low} to {self.high}"


@attrs.frozen
class OneOf(Constraint):
    """Accepts the listed values."""

    values: tuple[Any, ...]

    def accepts(self, value: Any) -> bool:
        """Return whether the value is listed."""
        return value in self.values

    def __str__(self) -> str:
        return "one of " + ", ".join(repr(value) for value in self.values)


@attrs.frozen
class Matches(Constraint):
    """Accepts strings that fully match a regular expression."""

    pattern: str
    description: str

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a string that matches."""
        return isinstance(value, str) and re.fullmatch(self.pattern, value) is not None

    def __str__(self) -> str:
        return self.description


@attrs.frozen
class ListOf(Constraint):
    """Accepts lists and tuples in which every item satisfies ``item``."""

    item: Constraint

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a list or tuple of accepted items."""
        return isinstance(value, list | tuple) and all(self.item.accepts(part) for part in value)

    def __str__(self) -> str:
        return f"a list, each item {self.item}"


@attrs.frozen
class MappingOf(Constraint):
    """Accepts mappings in which every key satisfies ``key`` and every value ``value``."""

    key: Constraint
    value: Constraint

    def accepts(self, value: Any) -> bool:
        """Return whether the value is a mapping of accepted keys and values."""
        return isinstance(value, dict) and all(
            self.key.accepts(name) and self.value.accepts(item) for name, item in value.items()
        )

    def __str__(self) -> str:
        return f"an object, each name {self.key}, each value {self.value}"


NAME = Matches(
    r"[a-z0-9][a-z0-9._-]{0,62}",
    "a name of 1 to 63 lower-case letters, digits, '.', '_', '-', that starts with no sign",
)
"""Constraint on the names of records, organisations, classes and VMs."""


def _text(longest: int) -> Matches:
    return Matches(
        rf"[^\x00-\x1f\x7f-\x9f\ud800-\udfff]{{1,{longest}}}",
        f"a text of 1 to {longest} characters without control characters and lone surrogates",
    )


LONG_TEXT = _text(4000)
"""Constraint like ``TEXT`` on paths and host names, which may be longer."""

TEXT = _text(200)
"""Constraint on free texts from outside. Control characters end the line of a header or of the log,
and a lone surrogate, which JSON can escape, cannot be encoded again."""


@attrs.frozen
class ParameterFault:
    """A value that violates its constraints.

    Parameters
    ----------
    key : str
        Name of the parameter.
    expected, got : str
        Description of the accepted values, and the value that was given.
    """

    key: str
    expected: str
    got: str

    def __str__(self) -> str:
        return f"{self.key}: expected {self.expected}, got {self.got}"


def list_faults(
    constraints: Mapping[str, Sequence[Constraint]], values: Mapping[str, Any]
) -> list[ParameterFault]:
    """Return a fault for each given value that violates its constraints.

    Parameters
    ----------
    constraints : mapping of str to sequence of Constraint
        The declared constraints.
    values : mapping of str to object
        Values by parameter name; parameters that are missing here are not checked.

    Returns
    -------
    list of ParameterFault
        In the order of ``constraints``.
    """
    faults = []
    for name, accepted in constraints.items():
        if name in values and not any(constraint.accepts(values[name]) for constraint in accepted):
            expected = " or ".join(str(constraint) for constraint in accepted)
            faults.append(ParameterFault(name, expected, repr(values[name])))
    return faults


def find_faults(constraints: Mapping[str, Sequence[Constraint]], values: Any) -> list[str]:
    """Return a message for each attribute of ``values`` that violates its constraints.

    Parameters
    ----------
    constraints : mapping of str to sequence of Constraint
        The declared constraints.
    values : object
        The object whose attributes are checked.

    Returns
    -------
    list of str
        ``parameter: expected …, got …``, in the order of ``constraints``; empty if all are valid.
    """
    attributes = {name: getattr(values, name) for name in constraints}
    return [str(fault) for fault in list_faults(constraints, attributes)]


def check_parameters(instance: Any) -> None:
    """Check an object against the ``_constraints`` of its class.

    Raises
    ------
    InvalidParameterError
        Lists all violations.
    """
    faults = find_faults(type(instance)._constraints, instance)
    if faults:
        raise InvalidParameterError(f"{type(instance).__name__}: " + "; ".join(faults))
