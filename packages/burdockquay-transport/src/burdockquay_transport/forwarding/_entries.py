"""Validates entries of the store, which other writers may have left in any form."""

from __future__ import annotations

import ipaddress
import json
from collections.abc import Callable, Iterable, Mapping, Sequence
from types import MappingProxyType
from typing import Any, TypeVar

from burdockquay_protocol import ChangedRow
from burdockquay_state import TEXT, Constraint

from .._events import Event
from ._entry_faults import EntryFaults

MAX_ENTRY_BYTES = 65_536
"""Largest accepted entry, bytes: the limit of the platform for one row."""

Checks = Mapping[str, Sequence[Constraint]]
"""Constraints by field name; a field is valid if at least one of its constraints accepts it."""


class AddressConstraint(Constraint):
    """Accepts an IP address and a port, as ``10.0.0.1:80`` or ``[fd00::1]:80``.

    A host name, a port out of range or an address of no single interface would otherwise fail only
    when a request is sent there.
    """

    def accepts(self, value: Any) -> bool:
        """Return whether the value is an IP address with a port."""
        if not isinstance(value, str):
            return False
        host, _, port = value.rpartition(":")
        bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
        try:
            address = ipaddress.ip_address(bare)
        except ValueError:
            return False
        is_bracketed = bare != host
        return is_bracketed == (address.version == 6) and _is_usable(address) and _is_port(port)

    def __str__(self) -> str:
        return "an IP address and a port"


def _is_usable(address: ipaddress.IPv4Address | ipaddress.IPv6Address) -> bool:
    """Return whether an address names one interface, on any VM that can reach it."""
    if address.version == 6:
        if address.scope_id is not None:
            return False
        if address.ipv4_mapped is not None:
            return _is_usable(address.ipv4_mapped)
    elif address.is_reserved:
        return False
    return not (address.is_unspecified or address.is_multicast)


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= 5 and 0 < int(text) < 65_536


IP_ADDRESS = AddressConstraint()
"""Constraint for the addresses in entries."""

_MISSING = object()

T = TypeVar("T")

MALFORMED_VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
"""Errors that reading a value of an unexpected type raises."""


class EntryFaultError(ValueError):
    """An entry is malformed; the message names the fault and quotes no content of the entry."""


def read_entry(
    value: bytes, required: Checks, optional: Checks = MappingProxyType({})
) -> dict[str, Any]:
    """Return the fields of an entry that passes all checks.

    Parameters
    ----------
    value : bytes
        The entry, which should be a JSON object.
    required : mapping of str to sequence of Constraint
        Fields that must be present. Fields named in neither mapping are not checked.
    optional : mapping of str to sequence of Constraint
        Fields that are checked if they are present.

    Raises
    ------
    EntryFaultError

    Examples
    --------
    >>> from burdockquay_state import Interval
    >>> read_entry(b'{"slots": 8, "more": 1}', {"slots": [Interval(int, 1)]})
    {'slots': 8, 'more': 1}
    >>> read_entry(b'{"slots": true}', {"slots": [Interval(int, 1)]})
    Traceback (most recent call last):
    burdockquay_transport.forwarding._entries.EntryFaultError: slots
    """
    if len(value) > MAX_ENTRY_BYTES:
        raise EntryFaultError("too long")
    try:
        # Given bytes, the parser would also accept UTF-16 and UTF-32.
        entry = json.loads(value.decode())
    except (ValueError, RecursionError) as error:
        # The parser raises RecursionError for an entry that is nested a thousand levels deep.
        raise EntryFaultError(type(error).__name__) from None
    if not isinstance(entry, dict):
        raise EntryFaultError("not an object")
    checked = required | {name: optional[name] for name in optional if name in entry}
    faults = [name for name, accepted in checked.items() if not _accepts(entry, name, accepted)]
    if faults:
        raise EntryFaultError(", ".join(faults))
    return entry


def read_row(
    row: ChangedRow,
    table: str,
    faults: EntryFaults | None,
    required: Checks,
    optional: Checks = MappingProxyType({}),
) -> dict[str, Any] | None:
    """Return the fields of the entry in a row, or None if the row is malformed.

    Parameters
    ----------
    row : ChangedRow
    table : str
    faults : EntryFaults or None
        Records a malformed row; None logs it each time.
    required, optional : mapping of str to sequence of Constraint
        As for :func:`read_entry`.
    """
    try:
        return read_entry(row.value, required, optional)
    except EntryFaultError as error:
        (faults or EntryFaults()).record(table, row.key, row.revision, str(error))
        return None


class ItemFaults:
    """Items of a larger entry that cannot be used.

    Attributes
    ----------
    found : list of (Event, int, str)
        The kind, the place in its list, and what is wrong, without content.
    """

    def __init__(self):
        self.found: list[tuple[Event, int, str]] = []

    def read_each(self, items: Iterable[Any], read: Callable[[Any], T], event: Event) -> list[T]:
        """Return what ``read`` makes of the items, without those that it cannot read.

        One odd item must not keep all others, and withdrawn keys, at an old version.
        """
        found = []
        for place, item in enumerate(items):
            try:
                found.append(read(item))
            except MALFORMED_VALUE_ERRORS as error:
                detail = str(error) if isinstance(error, EntryFaultError) else ""
                self.found.append((event, place, detail or type(error).__name__))
        return found


def read_text(field: str, value: Any, accepted: Constraint = TEXT) -> str:
    """Return a value as a text that satisfies a constraint, or raise :class:`EntryFaultError`."""
    text = str(value)
    if not accepted.accepts(text):
        raise EntryFaultError(field)
    return text


def read_integer(field: str, value: Any, low: int, high: int) -> int:
    """Return a value as an integer in a range, or raise :class:`EntryFaultError`."""
    number = int(value)
    if not low <= number <= high:
        raise EntryFaultError(field)
    return number


def _accepts(entry: Mapping[str, Any], name: str, accepted: Sequence[Constraint]) -> bool:
    value = entry.get(name, _MISSING)
    return any(constraint.accepts(value) for constraint in accepted)
