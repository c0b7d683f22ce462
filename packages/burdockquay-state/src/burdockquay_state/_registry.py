"""Registries of exchangeable implementations, filled by decorators."""

from __future__ import annotations

import difflib
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T")


class UnknownNameError(KeyError):
    """No item is registered under the name that was looked up."""

    def __str__(self) -> str:
        return str(self.args[0])


class Registry(Generic[T]):
    """Map from a name to a registered class or function.

    Parameters
    ----------
    what : str
        What the registry holds, in the singular; used in error messages.

    Examples
    --------
    >>> shapes = Registry("shape")
    >>> @shapes.register("square")
    ... def square(side):
    ...     return side * side
    >>> shapes.get("square")(3)
    9
    >>> shapes.names()
    ('square',)
    """

    def __init__(self, what: str):
        self.what = what
        self._items: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers its argument under ``name``.

        Raises
        ------
        ValueError
            If the name is taken.
        """

        def add(item: T) -> T:
            if name in self._items:
                raise ValueError(f"{self.what} {name!r} is already registered")
            self._items[name] = item
            return item

        return add

    def get(self, name: str) -> T:
        """Return the item registered under ``name``.

        Raises
        ------
        UnknownNameError
            If there is none; the message lists the known names and the closest match.
        """
        if name in self._items:
            return self._items[name]
        raise UnknownNameError(describe_unknown(self.what, name, self._items))

    def names(self) -> tuple[str, ...]:
        """Return the registered names, sorted."""
        return tuple(sorted(self._items))

    def __contains__(self, name: object) -> bool:
        return name in self._items

    def __iter__(self) -> Iterator[str]:
        return iter(self.names())


def describe_unknown(what: str, name: str, known: object) -> str:
    """Return a message that names the unknown value and the closest known one.

    Parameters
    ----------
    what : str
        What was looked up, in the singular.
    name : str
        The unknown value.
    known : iterable of str
        The accepted values.

    Examples
    --------
    >>> describe_unknown("key", "plcaes", ["places", "group"])
    "unknown key 'plcaes'; did you mean 'places'? (known: group, places)"
    """
    names = sorted(str(item) for item in known)
    nearest = difflib.get_close_matches(name, names, n=1)
    hint = f"; did you mean {nearest[0]!r}?" if nearest else ";"
    return f"unknown {what} {name!r}{hint} (known: {', '.join(names) or 'none'})"
