"""Members known to a forwarder, also while a restored store lacks some of them."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from ._platform import Member, MemberChanges

REJOIN_WAIT_S = 4.0
"""How long a member is kept that the store lacks after it was restored from a copy, seconds: the
member has two seconds to register again once it has detected the restore, and the updates take a
second or two each way."""


@attrs.frozen
class _Unconfirmed:
    """A member that the restored store lacks or shows differently.

    From ``until`` on, ``shown``, the state in the store, applies instead of the known one.
    """

    shown: Member | None
    until: float


class KnownMembers:
    """Members by VM.

    A store that was restored from a copy shows the members of some seconds ago. Members that it
    lacks, or shows with a former process, are alive and register again. If they were dropped
    meanwhile, the connections to them would be closed.

    Examples
    --------
    >>> members = KnownMembers()
    >>> first = Member("a", "a1", "10.0.0.1:7200")
    >>> sorted(members.apply(MemberChanges(True, (first,)), now=0.0))
    ['a']
    >>> members.apply(MemberChanges(True, after_restore=True), now=5.0), len(members)
    (set(), 1)
    >>> members.apply(MemberChanges(False), now=9.5), len(members)
    ({'a'}, 0)
    """

    def __init__(self):
        self._members: dict[str, Member] = {}
        self._unconfirmed: dict[str, _Unconfirmed] = {}

    def __len__(self) -> int:
        return len(self._members)

    def get(self, vm: str) -> Member | None:
        """Return the member on a VM."""
        return self._members.get(vm)

    def apply(self, changes: MemberChanges, now: float) -> set[str]:
        """Apply a reading.

        Returns
        -------
        set of str
            VMs whose members are new, removed or replaced.
        """
        before = dict(self._members)
        listed = {member.vm: member for member in changes.listed}
        if changes.after_restore:
            self._apply_copy(listed, now)
        else:
            removed = set(changes.removed)
            if changes.whole:
                removed |= set(self._members) - set(listed) - set(self._unconfirmed)
            for vm in removed:
                self._members.pop(vm, None)
            for vm in (*removed, *listed):
                self._unconfirmed.pop(vm, None)
            self._members |= listed
        self._settle(now)
        known = {*before, *self._members}
        return {vm for vm in known if _is_replaced(before.get(vm), self._members.get(vm))}

    def _apply_copy(self, listed: Mapping[str, Member], now: float) -> None:
        for vm in {*self._members, *listed}:
            known, shown = self._members.get(vm), listed.get(vm)
            if known is None or not _is_replaced(known, shown):
                self._members[vm] = shown
                self._unconfirmed.pop(vm, None)
            else:
                self._unconfirmed[vm] = _Unconfirmed(shown, now + REJOIN_WAIT_S)

    def _settle(self, now: float) -> None:
        """Apply the state of the store to members that have not registered again in time."""
        due = [vm for vm, kept in self._unconfirmed.items() if now >= kept.until]
        for vm in due:
            shown = self._unconfirmed.pop(vm).shown
            if shown is None:
                self._members.pop(vm, None)
            else:
                self._members[vm] = shown


def _is_replaced(known: Member | None, shown: Member | None) -> bool:
    """Return whether a member was added, removed or replaced by another process.

    An entry that was only written again is the same member: open connections are kept.
    """
    if known is None or shown is None:
        return known is not shown
    return (known.incarnation, known.address) != (shown.incarnation, shown.address)
