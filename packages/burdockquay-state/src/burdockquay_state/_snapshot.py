"""The configuration in force at one revision."""

from __future__ import annotations

import attrs

from ._records import (
    ClassRecord,
    GroupRecord,
    OrganisationRecord,
    PlacementRecord,
    PolicyRecord,
    QuarantineWithdrawalRecord,
    RouteRecord,
)


@attrs.frozen
class Snapshot:
    """All records in force at a revision, each in the latest schema, by name.

    Parameters
    ----------
    revision : int
        Revision of the record log; 0 is the empty configuration.
    """

    revision: int = 0
    classes: dict[str, ClassRecord] = attrs.field(factory=dict)
    organisations: dict[str, OrganisationRecord] = attrs.field(factory=dict)
    routes: dict[str, RouteRecord] = attrs.field(factory=dict)
    groups: dict[str, GroupRecord] = attrs.field(factory=dict)
    placements: dict[str, PlacementRecord] = attrs.field(factory=dict)
    withdrawals: dict[str, QuarantineWithdrawalRecord] = attrs.field(factory=dict)
    policies: dict[str, PolicyRecord] = attrs.field(factory=dict)

    @property
    def policy(self) -> PolicyRecord:
        """The policy record in force, or the default one."""
        return self.policies.get("default", PolicyRecord())


FIELD_BY_KIND = {
    "class": "classes",
    "organisation": "organisations",
    "route": "routes",
    "group": "groups",
    "placement": "placements",
    "quarantine-withdrawal": "withdrawals",
    "policy": "policies",
}
"""The field of :class:`Snapshot` that holds the records of each kind."""
