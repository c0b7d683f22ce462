"""Slots that an entry keeps connections to, and which of them accept new work."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable

import attrs

from burdockquay_state import GroupRecord, VmEntry, VmState

from ._subsets import choose_subset

RECONNECT_BASE_S = 0.1
"""Upper bound of the delay before the first attempt to connect, seconds."""

RECONNECT_MAX_S = 5.0
"""Upper bound of the delay between two attempts to connect, seconds."""

STABLE_CONNECTION_S = 2.0
"""Duration from which a connection counts as successful, seconds."""

UNREACHABLE_AFTER_S = 3.0
"""Time without a connection after which another slot is used in addition, seconds."""


@attrs.frozen
class MemberView:
    """A slot as reported by the status page.

    Parameters
    ----------
    vm : str
    incarnation : str
        Incarnation of the current or last connection, empty if there was none.
    connected, leaving : bool
    """

    vm: str
    incarnation: str
    connected: bool
    leaving: bool


@attrs.frozen
class MembershipChange:
    """Changes found by a read of the VM list, as names of VMs."""

    appeared: tuple[str, ...] = ()
    vanished: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()


@attrs.define
class _Member:
    """State of one VM."""

    entry: VmEntry
    listed: bool = True
    incarnation: str = ""
    connected_at: float | None = None
    failures: int = 0
    failing_since: float | None = None
    leaving_incarnations: frozenset[str] = frozenset()

    @property
    def connected(self) -> bool:
        return self.connected_at is not None

    @property
    def leaving(self) -> bool:
        announced = bool(self.incarnation) and self.incarnation in self.leaving_incarnations
        return announced or self.entry.state is VmState.LEAVING

    def is_unreachable(self, now: float) -> bool:
        since = self.failing_since
        return not self.connected and since is not None and now - since >= UNREACHABLE_AFTER_S


class MembershipTracker:
    """Tracks the VMs of an entry, from the VM list and from the entry's own connections.

    Parameters
    ----------
    own_vm : str
        Name of this process's VM.

    Notes
    -----
    The platform's list lags, so it is used for discovery only. A VM that is no longer listed is
    kept while its connection lasts; a listed VM is not used while there is no connection. Either
    the list or the slot itself may report first that a VM is shutting down, and either report is
    sufficient. The report of a slot applies only to the incarnation that sent it: a process that
    has restarted on the same VM or address is another member.
    """

    def __init__(self, own_vm: str):
        self.own_vm = own_vm
        self._members: dict[str, _Member] = {}

    @property
    def processes(self) -> int:
        """Number of VMs in the last read of the list, at least 1."""
        return max(1, sum(member.listed for member in self._members.values()))

    @property
    def members(self) -> list[MemberView]:
        """Every known slot, by name."""
        return [
            MemberView(vm, member.incarnation, member.connected, member.leaving)
            for vm, member in sorted(self._members.items())
            if member.entry.role == "slot"
        ]

    def update_list(self, entries: Iterable[VmEntry], now: float) -> MembershipChange:
        """Apply a read of the VM list. While the list cannot be read, no call is needed."""
        listed = {entry.vm: entry for entry in entries}
        appeared = tuple(sorted(listed.keys() - self._members.keys()))
        leaving = []
        for vm, entry in listed.items():
            member = self._members.setdefault(vm, _Member(entry))
            if entry.state is VmState.LEAVING and member.entry.state is not VmState.LEAVING:
                leaving.append(vm)
            member.entry = entry
            member.listed = True
        missing = sorted(self._members.keys() - listed.keys())
        vanished = tuple(vm for vm in missing if self._members[vm].listed)
        for vm in missing:
            self._members[vm].listed = False
            self._drop_if_unused(vm)
        return MembershipChange(appeared, vanished, tuple(sorted(leaving)))

    def add_configured_slot(self, entry: VmEntry, now: float) -> None:
        """Add a slot that is not from the list but from an address in the settings."""
        self._members.setdefault(entry.vm, _Member(entry, listed=False))

    def connected(self, vm: str, incarnation: str, now: float) -> bool:
        """Record a connection; ``vm`` is the name that the peer sent in the handshake.

        Returns
        -------
        bool
            False if no VM of that name is known. The address then belongs to a VM that has
            replaced the one that was dialled: close the connection and wait for the list.
        """
        member = self._members.get(vm)
        if member is None:
            return False
        member.incarnation = incarnation
        member.connected_at = now
        member.failing_since = None
        return True

    def disconnected(self, vm: str, incarnation: str, now: float) -> None:
        """Record the end of a connection; one of an earlier incarnation is ignored."""
        member = self._members.get(vm)
        if member is None or member.incarnation != incarnation or member.connected_at is None:
            return
        # A slot that accepts and closes immediately must not be dialled without a delay.
        stable = now - member.connected_at >= STABLE_CONNECTION_S
        member.failures = 1 if stable else member.failures + 1
        member.connected_at = None
        member.failing_since = now
        self._drop_if_unused(vm)

    def connect_failed(self, vm: str, now: float) -> None:
        """Record a failed attempt to connect."""
        member = self._members.get(vm)
        if member is None or member.connected:
            return
        member.failures += 1
        if member.failing_since is None:
            member.failing_since = now

    def record_leaving(self, vm: str, incarnation: str, now: float) -> None:
        """Record that a slot has announced that it accepts no new work."""
        member = self._members.get(vm)
        if member is not None:
            member.leaving_incarnations |= {incarnation}

    def targets(
        self, group: GroupRecord, now: float, evacuated: Collection[str] = ()
    ) -> list[VmEntry]:
        """Return the slots of a group to connect to, sorted by name.

        Parameters
        ----------
        group : GroupRecord
        now : float
        evacuated : collection of str
            Failure domains whose slots get no requests.

        Returns
        -------
        list of VmEntry
            The fixed subset of the group, and one more slot for each member of the subset that is
            unreachable or evacuated. A connection to any other slot is closed once nothing runs
            over it.

        Notes
        -----
        If a failure domain fails, a part of the subset becomes unreachable at once while the list
        still shows it. Other slots are used instead. The unreachable ones are still dialled, so
        that the fixed subset is in use again as soon as the domain recovers. Connections to slots
        of an evacuated domain are kept too: they carry the configuration, and their requests drain.
        """
        members = [
            member
            for member in self._members.values()
            if member.entry.role == "slot"
            and member.entry.group == group.name
            and not member.leaving
        ]
        fixed = choose_subset(self.own_vm, [member.entry for member in members], group.subset)
        available = [
            member.entry
            for member in members
            if not member.is_unreachable(now) and member.entry.failure_domain not in evacuated
        ]
        present = choose_subset(self.own_vm, available, group.subset)
        chosen = {entry.vm: entry for entry in [*fixed, *present]}
        return [chosen[vm] for vm in sorted(chosen)]

    def usable(self, vm: str, now: float) -> bool:
        """Return whether new work may be sent to a slot."""
        member = self._members.get(vm)
        return member is not None and member.connected and not member.leaving

    def incarnation(self, vm: str) -> str:
        """Return the incarnation of the current or last connection, empty if there was none."""
        member = self._members.get(vm)
        return member.incarnation if member else ""

    def reconnect_delay(self, vm: str, rng: random.Random, now: float) -> float:
        """Return the delay before the next attempt to connect, seconds.

        Notes
        -----
        The bound doubles with each failure up to ``RECONNECT_MAX_S``, and the delay is uniformly
        distributed below it. When a failure domain or an entry's network recovers, thousands of
        attempts are due; without the jitter they would arrive together, time out together and be
        repeated together.
        """
        member = self._members.get(vm)
        failures = min(member.failures, 16) if member else 0
        bound = min(RECONNECT_MAX_S, RECONNECT_BASE_S * 2.0**failures)
        return rng.uniform(0.0, bound)

    def _drop_if_unused(self, vm: str) -> None:
        member = self._members[vm]
        if not member.listed and not member.connected:
            del self._members[vm]
