"""Orders to engines: each engine executes each placement record at most once."""

from __future__ import annotations

import asyncio
import enum
import hashlib
from abc import ABC, abstractmethod
from collections.abc import Callable

import attrs
import cbor2
from result import Result

from burdockquay_state import (
    ATTEMPT_START_LIMIT_S,
    ORDER_ORGANISATION,
    Claim,
    ClaimRequest,
    ClaimRow,
    ClaimState,
    ClaimStore,
    Lease,
    LeaseStore,
    PlacementRecord,
    RefusalReason,
    StoredAnswer,
)

from ._load_turns import LoadTurns
from ._once_era import ClaimEra
from ._outcomes import OutcomeWriter

LOAD_PREFIX = "load_"
"""Prefix of the names of orders that load from the weight store."""

_RENEWALS_PER_LEASE = 3
_STATUS_DONE = 200


@attrs.frozen
class EngineOrder:
    """An order as sent to an engine.

    Parameters
    ----------
    order_id : str
        The same for every attempt to execute one record on one engine.
    order, argument : str
        As in the placement record.
    fencing : int
        Fencing number of the lease on the engine.
    """

    order_id: str
    order: str
    argument: str
    fencing: int


@attrs.frozen
class OrderFailure:
    """Failure of an order that was not confirmed.

    Parameters
    ----------
    detail : str
    acted : bool
        False only if the engine certainly did not act: it was not reached, or it rejected the
        order.
    """

    detail: str
    acted: bool


class OrderTarget(ABC):
    """Interface to an engine that receives orders."""

    @abstractmethod
    async def send(self, order: EngineOrder) -> Result[None, OrderFailure]:
        """Send an order once; libraries must not retry it."""


class OrderState(enum.Enum):
    """State of a placement record on one engine."""

    DONE = "done"
    """The engine executed the order, and that is recorded."""
    STARTED = "started"
    """Sent by this or another process, without a recorded outcome; it is not sent again."""
    WAITING = "waiting"
    """Not sent yet: no lease, no load turn, or the table or engine did not answer."""


def order_id(record: PlacementRecord, engine: str) -> str:
    """Return the id of a record's order to one engine.

    A changed record with the same name is a different order.

    Examples
    --------
    >>> record = PlacementRecord("p1", "advisor", "load_adapter", "renewals-2")
    >>> order_id(record, "engine-1").split("/")[:2]
    ['engine-1', 'p1']
    """
    content = cbor2.dumps([record.group, record.order, record.argument])
    digest = hashlib.blake2b(content, digest_size=8).hexdigest()
    return f"{engine}/{record.name}/{digest}"


def applies_to_engine(record: PlacementRecord, group: str, vm: str) -> bool:
    """Return whether a record applies to the engine of a VM."""
    return record.group == group and (not record.vms or vm in record.vms)


class OrderRunner:
    """Executes placement records on the engine of this slot.

    Parameters
    ----------
    claims : ClaimStore
    leases : LeaseStore
    outcomes : OutcomeWriter
    eras : ClaimEra
    turns : LoadTurns
    target : OrderTarget
    engine : str
        Identifies the engine instance: the VM's name, since a replacement VM has another name.
    incarnation : str
        Incarnation of the slot.
    lease_s : float
        Duration of the lease on the engine, seconds.

    Notes
    -----
    Two slots may serve one engine for a while: the slot of a VM that is believed to be removed, and
    its successor. The lease makes one of them wait. A slot that is paused past the end of its lease
    may still send its order. An engine that checks fencing numbers rejects it; for other engines
    the claim row of the order allows only one of the slots to send.
    """

    def __init__(
        self,
        claims: ClaimStore,
        leases: LeaseStore,
        outcomes: OutcomeWriter,
        eras: ClaimEra,
        turns: LoadTurns,
        target: OrderTarget,
        engine: str,
        incarnation: str,
        lease_s: float = 15.0,
    ):
        self.claims = claims
        self.leases = leases
        self.outcomes = outcomes
        self.eras = eras
        self.turns = turns
        self.target = target
        self.engine = engine
        self.incarnation = incarnation
        self.lease_s = lease_s
        self._settled: dict[str, OrderState] = {}
        self._attempts = 0

    async def act(
        self,
        record: PlacementRecord,
        wall: Callable[[], float],
        clock: Callable[[], float],
    ) -> OrderState:
        """Execute a record unless that was done or started before.

        Parameters
        ----------
        record : PlacementRecord
        wall, clock : callable
            Return seconds since the epoch, and seconds on the clock of this process.

        Returns
        -------
        OrderState
            After ``WAITING`` the caller retries later.
        """
        await self.turns.release_due(clock())
        name = order_id(record, self.engine)
        if name in self._settled:
            return self._settled[name]
        found = await self.claims.read(ORDER_ORGANISATION, name)
        if found.is_err():
            return OrderState.WAITING
        row = found.ok()
        if row is not None and row.state is not ClaimState.CANCELLED:
            return self._interpret_row(name, row)
        if not await self.eras.admits(self.claims.table.era):
            return OrderState.WAITING
        return await self._act_in_turn(record, name, row, wall, clock)

    def _interpret_row(self, name: str, row: ClaimRow) -> OrderState:
        if row.state is ClaimState.DONE:
            self._settled[name] = OrderState.DONE
            return OrderState.DONE
        # The sender may still record an outcome, so the row is read again next time.
        return OrderState.STARTED

    async def _act_in_turn(
        self,
        record: PlacementRecord,
        name: str,
        row: ClaimRow | None,
        wall: Callable[[], float],
        clock: Callable[[], float],
    ) -> OrderState:
        if not record.order.startswith(LOAD_PREFIX):
            return await self._act_under_lease(record, name, row, wall, clock)
        taken_at = clock()
        turn = await self.turns.take(taken_at)
        if turn.is_err():
            return OrderState.WAITING
        renewer = _LeaseRenewer(self.leases, turn.ok())
        renewing = asyncio.create_task(renewer.run(clock))
        try:
            return await self._act_under_lease(record, name, row, wall, clock)
        finally:
            renewing.cancel()
            self.turns.keep_until_due(renewer.lease, taken_at)

    async def _act_under_lease(
        self,
        record: PlacementRecord,
        name: str,
        row: ClaimRow | None,
        wall: Callable[[], float],
        clock: Callable[[], float],
    ) -> OrderState:
        held = await self.leases.acquire(
            f"engine/{self.engine}", self.incarnation, self.lease_s, clock()
        )
        if held.is_err():
            return OrderState.WAITING
        return await self._claim_and_send(record, name, row, held.ok(), wall, clock)

    async def _claim_and_send(
        self,
        record: PlacementRecord,
        name: str,
        row: ClaimRow | None,
        lease: Lease,
        wall: Callable[[], float],
        clock: Callable[[], float],
    ) -> OrderState:
        request = self._make_request(record, name, row, wall())
        claimed = await self.claims.claim(request, wall())
        if claimed.is_err():
            if claimed.err().reason is RefusalReason.UNCERTAIN:
                self.outcomes.withdraw(request)
            return OrderState.WAITING
        claim = claimed.ok()
        is_usable = lease.is_usable(clock()) and self.leases.is_current(lease)
        if not is_usable or wall() >= claim.row.not_after:
            await self.outcomes.abandon(claim)
            return OrderState.WAITING
        order = EngineOrder(name, record.order, record.argument, lease.fencing)
        return await self._record(name, claim, await self.target.send(order))

    async def _record(
        self, name: str, claim: Claim, sent: Result[None, OrderFailure]
    ) -> OrderState:
        if sent.is_ok():
            await self.outcomes.complete(claim, StoredAnswer(_STATUS_DONE, [], b""))
            self._settled[name] = OrderState.DONE
            return OrderState.DONE
        if not sent.err().acted:
            await self.outcomes.abandon(claim)
            return OrderState.WAITING
        return OrderState.STARTED

    def _make_request(
        self, record: PlacementRecord, name: str, row: ClaimRow | None, now: float
    ) -> ClaimRequest:
        self._attempts += 1
        return ClaimRequest(
            organisation=ORDER_ORGANISATION,
            key=name,
            expected_version=row.version if row else self.claims.table.absent,
            attempt=self._attempts,
            attempt_id=f"{name}/{self._attempts}",
            incarnation=self.incarnation,
            digest=record.order,
            not_after=now + ATTEMPT_START_LIMIT_S,
        )


class _LeaseRenewer:
    """Renews a lease while an order is executed."""

    def __init__(self, leases: LeaseStore, lease: Lease):
        self.leases = leases
        self.lease = lease

    async def run(self, clock: Callable[[], float]) -> None:
        while True:
            await asyncio.sleep(self.lease.duration_s / _RENEWALS_PER_LEASE)
            renewed = await self.leases.renew(self.lease, clock())
            if renewed.is_ok():
                self.lease = renewed.ok()
