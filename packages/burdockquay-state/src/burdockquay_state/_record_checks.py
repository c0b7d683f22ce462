"""Consistency checks of the complete configuration, run before a change is accepted.

Checks are registered in :data:`record_checks`; each yields a fault for every violation it finds.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Any

import attrs

from ._record_codec import RecordFault, record_path
from ._records import ANY
from ._registry import Registry
from ._snapshot import FIELD_BY_KIND, Snapshot

_SHARE_TOLERANCE = 1e-9

_EQUAL_ACROSS_SCHEMAS = (
    "name",
    "priority",
    "protected",
    "class_name",
    "group",
    "organisation",
    "path_prefix",
    "requires_key",
)


@attrs.frozen
class CheckedState:
    """Configuration that is passed to the checks.

    Parameters
    ----------
    snapshot : Snapshot
    opaque : frozenset of (str, str)
        Kind and name of records that exist but cannot be read by this release; a reference to
        one of them is not a fault.
    """

    snapshot: Snapshot
    opaque: frozenset[tuple[str, str]] = frozenset()

    def has(self, kind: str, name: str) -> bool:
        """Return whether a record of that kind and name exists."""
        return name in getattr(self.snapshot, FIELD_BY_KIND[kind]) or (kind, name) in self.opaque


RecordCheck = Callable[[CheckedState], Iterator[RecordFault]]

record_checks: Registry[RecordCheck] = Registry("record check")


@attrs.frozen
class _Reference:
    """Field of one record kind that refers to a record of another kind by name."""

    kind: str
    key: str
    target: str


_REFERENCES = (
    _Reference("route", "class_name", "class"),
    _Reference("route", "group", "group"),
    _Reference("route", "organisation", "organisation"),
    _Reference("placement", "group", "group"),
)


def _references(state: CheckedState) -> Iterator[tuple[_Reference, Any, str]]:
    """Yield every reference, the record that holds it and the name that it refers to."""
    for reference in _REFERENCES:
        for record in getattr(state.snapshot, FIELD_BY_KIND[reference.kind]).values():
            name = getattr(record, reference.key)
            if name != ANY:
                yield reference, record, name


@record_checks.register("references")
def _check_references(state: CheckedState) -> Iterator[RecordFault]:
    for reference, record, name in _references(state):
        if not state.has(reference.target, name):
            path = record_path(record.kind, record.name)
            expected = f"the name of a {reference.target} record"
            yield RecordFault(path, reference.key, expected, repr(name))


@record_checks.register("shares")
def _check_shares(state: CheckedState) -> Iterator[RecordFault]:
    shares = {name: item.share for name, item in state.snapshot.classes.items() if item.share}
    total = sum(shares.values())
    if total > 1 + _SHARE_TOLERANCE:
        parts = ", ".join(f"{name} {share:g}" for name, share in sorted(shares.items()))
        yield RecordFault(
            "class/*", "share", "shares that add up to at most 1", f"{total:g} ({parts})"
        )


@record_checks.register("protection")
def _check_protection(state: CheckedState) -> Iterator[RecordFault]:
    # A protected class that may be preempted, or that has neither reserved places nor preemption
    # of lower classes, would wait behind lower classes in the first burst of requests.
    policy = state.snapshot.policy
    for item in state.snapshot.classes.values():
        path = record_path(item.kind, item.name)
        if item.protected and item.preemptible:
            yield RecordFault(path, "preemptible", "false for a protected class", "True")
        has_places = item.reserved_places > 0 and policy.reserve
        if item.protected and not has_places and not policy.preemption:
            expected = "at least 1 for a protected class while preemption or reserves are off"
            yield RecordFault(path, "reserved_places", expected, repr(item.reserved_places))


@record_checks.register("reserved_places")
def _check_reserved_places(state: CheckedState) -> Iterator[RecordFault]:
    for group in state.snapshot.groups.values():
        names = {
            route.class_name
            for route in state.snapshot.routes.values()
            if route.group == group.name and route.class_name in state.snapshot.classes
        }
        reserved = {name: state.snapshot.classes[name].reserved_places for name in sorted(names)}
        # A class without reserved places could never run if the other classes reserved all.
        limit = group.places if all(reserved.values()) else group.places - 1
        if sum(reserved.values()) > limit:
            parts = ", ".join(f"{name} {places}" for name, places in reserved.items())
            expected = f"at least {sum(reserved.values()) + group.places - limit} for its classes"
            path = record_path(group.kind, group.name)
            yield RecordFault(path, "places", expected, f"{group.places} (reserved: {parts})")


def find_state_faults(state: CheckedState) -> list[RecordFault]:
    """Return all faults that the registered checks find in a configuration."""
    return [fault for name in record_checks for fault in record_checks.get(name)(state)]


def find_new_faults(
    before: CheckedState, after: CheckedState, withdrawn: Collection[tuple[str, str]] = ()
) -> list[RecordFault]:
    """Return the faults that a change introduces.

    Parameters
    ----------
    before, after : CheckedState
    withdrawn : collection of (str, str)
        Kind and name of the records that the change withdraws.

    Notes
    -----
    A fault that existed before does not reject the change. Otherwise operators could not correct
    the records one at a time after a release with a stricter check.
    """
    known = set(find_state_faults(before))
    used = list(_find_withdrawn_references(after, withdrawn))
    dangling = {
        (record_path(record.kind, record.name), reference.key)
        for reference, record, name in _references(after)
        if (reference.target, name) in withdrawn
    }
    others = [
        fault
        for fault in find_state_faults(after)
        if fault not in known and (fault.record, fault.key) not in dangling
    ]
    return used + others


def _find_withdrawn_references(
    after: CheckedState, withdrawn: Collection[tuple[str, str]]
) -> Iterator[RecordFault]:
    for reference, record, name in _references(after):
        if (reference.target, name) in withdrawn:
            user = f"{record_path(record.kind, record.name)} with {reference.key}"
            path = record_path(reference.target, name)
            yield RecordFault(path, "", "no record that refers to what is withdrawn", user)


def find_put_faults(records: Iterable[Any]) -> list[RecordFault]:
    """Return the inconsistencies between schema versions of one record that are put together.

    Notes
    -----
    Processes of the old and the new release use different bodies of the record at the same time.
    If the bodies disagreed on the protection of a class or the target of a route, entries would
    treat the same request differently.

    Examples
    --------
    >>> from burdockquay_state import RouteRecord, RouteRecordV1
    >>> old, new = RouteRecordV1("r", "hold", "desk"), RouteRecord("r", "draft", "desk")
    >>> [fault.key for fault in find_put_faults([old, new])]
    ['class_name']
    """
    records = list(records)
    if not records:
        return []
    first, *others = records
    faults = []
    for other in others:
        path = record_path(first.kind, first.name)
        if (other.kind, other.schema) == (first.kind, first.schema):
            faults.append(RecordFault(path, "schema", "each schema once", repr(other.schema)))
        for key in _EQUAL_ACROSS_SCHEMAS:
            first_value, other_value = getattr(first, key, None), getattr(other, key, None)
            if hasattr(first, key) and hasattr(other, key) and first_value != other_value:
                expected = f"{first_value!r} as in schema {first.schema}"
                faults.append(RecordFault(path, key, expected, repr(other_value)))
    return faults
