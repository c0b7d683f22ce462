"""The configuration at one revision of the record log."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from typing import Any

import attrs
from result import Ok

from ._log_entry import LogEntry
from ._record_codec import RecordFault, decode_record
from ._records import (
    ClassRecord,
    EvacuationRecord,
    GroupRecord,
    OrganisationRecord,
    PlacementRecord,
    PolicyRecord,
    QuarantineWithdrawalRecord,
    RouteRecord,
)


@attrs.frozen
class Snapshot:
    """All records in force at a revision, by name, each in the latest schema.

    Parameters
    ----------
    revision : int
        Revision of the record log; 0 for the empty configuration.
    """

    revision: int = 0
    classes: dict[str, ClassRecord] = attrs.field(factory=dict)
    organisations: dict[str, OrganisationRecord] = attrs.field(factory=dict)
    routes: dict[str, RouteRecord] = attrs.field(factory=dict)
    groups: dict[str, GroupRecord] = attrs.field(factory=dict)
    placements: dict[str, PlacementRecord] = attrs.field(factory=dict)
    withdrawals: dict[str, QuarantineWithdrawalRecord] = attrs.field(factory=dict)
    policies: dict[str, PolicyRecord] = attrs.field(factory=dict)
    evacuations: dict[str, EvacuationRecord] = attrs.field(factory=dict)

    @property
    def policy(self) -> PolicyRecord:
        """The policy record in force, or the built-in defaults if there is none."""
        return self.policies.get("default", PolicyRecord())


FIELD_BY_KIND = {
    "class": "classes",
    "organisation": "organisations",
    "route": "routes",
    "group": "groups",
    "placement": "placements",
    "quarantine-withdrawal": "withdrawals",
    "policy": "policies",
    "evacuation": "evacuations",
}
"""Field of :class:`Snapshot` that holds the records of each kind."""


def build_snapshot(
    entries: Iterable[LogEntry],
    revision: int,
    known: Collection[tuple[str, int]] | None = None,
) -> tuple[Snapshot, list[RecordFault]]:
    """Return the configuration built from log entries, and the faults of unreadable records.

    Parameters
    ----------
    entries : iterable of LogEntry
        The last change of each record; withdrawals are ignored.
    revision : int
    known : collection of (str, int), optional
        As for :func:`decode_record`.
    """
    records: dict[str, dict[str, Any]] = {field: {} for field in FIELD_BY_KIND.values()}
    faults: list[RecordFault] = []
    for entry in entries:
        if not entry.bodies:
            continue
        decoded = decode_record(entry.kind, entry.name, entry.bodies, known)
        if isinstance(decoded, Ok):
            records[FIELD_BY_KIND[entry.kind]][entry.name] = decoded.ok_value
        else:
            faults += decoded.err_value
    return Snapshot(revision=revision, **records), faults
