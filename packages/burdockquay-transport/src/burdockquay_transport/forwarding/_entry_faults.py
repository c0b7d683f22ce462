"""Odd entries in the tables of the platform: each is logged once and counted."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable

from burdockquay_protocol import ChangedRow
from burdockquay_state import TEXT

from .._events import Event, log_event

MAX_REMEMBERED = 4096
"""Odd entries that are remembered; more than these are logged again when they are read again."""

MAX_NAME_CHARACTERS = 64
"""Length up to which the name of an entry is logged, characters."""


class EntryFaults:
    """Records the entries that cannot be used.

    An entry stays in its table until its writer replaces it, and is read again with the table.
    """

    def __init__(self):
        self.on_fault: Callable[[str], None] = lambda table: None
        self._known: OrderedDict[tuple[str, str, int], None] = OrderedDict()

    def record(self, table: str, name: str, revision: int, fault: str) -> None:
        """Log and count an entry that cannot be used, unless that is known of this revision.

        Parameters
        ----------
        table, name : str
        revision : int
        fault : str
            Names what is wrong and quotes no content of the entry.
        """
        entry = (table, name, revision)
        if entry in self._known:
            self._known.move_to_end(entry)
            return
        self._known[entry] = None
        if len(self._known) > MAX_REMEMBERED:
            self._known.popitem(last=False)
        self.on_fault(table)
        log_event(
            Event.ENTRY_FAULT,
            table=table,
            entry=name[:MAX_NAME_CHARACTERS],
            revision=revision,
            fault=fault,
        )

    def usable(self, table: str, rows: Iterable[ChangedRow]) -> tuple[ChangedRow, ...]:
        """Return the rows whose names can be sent on, and record the others."""
        found = []
        for row in rows:
            if TEXT.accepts(row.key):
                found.append(row)
            else:
                self.record(table, row.key, row.revision, "unusable name")
        return tuple(found)
