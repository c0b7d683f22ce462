"""Follows the placement records: sends the orders that concern this slot's engine."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

import aiohttp
import attrs
from result import Err, Ok, Result

from burdockquay_coordination import (
    EngineOrder,
    OrderFailure,
    OrderRunner,
    OrderState,
    OrderTarget,
    concerns,
)
from burdockquay_state import PlacementRecord, Snapshot

from ._clock import Clock
from ._events import Event, log_event
from ._send_once import BROKEN_ERRORS, CONNECT_ERRORS, SendOnce
from ._upstream import UpstreamSessions

FIRST_PAUSE_S = 0.5
"""Time until a record that had to wait is tried again, seconds; doubles with each try."""

LONGEST_PAUSE_S = 60.0
"""Longest such time, which bounds what thousands of waiting slots read, seconds."""

LOOK_S = 0.5
"""Time between two looks at the records in force, seconds; they lie in memory."""

ORDER_TIMEOUT = aiohttp.ClientTimeout(total=1800.0, connect=2.0)
"""Limit on one order; loading a large model takes minutes."""


@attrs.frozen
class _RecordKey:
    """What tells one order from another: a record changed under its name is a new one."""

    name: str
    order: str
    argument: str


@attrs.frozen
class _Pause:
    """How long a record waits, and until when."""

    length: float
    until: float


class HttpOrderTarget(OrderTarget):
    """Engine that takes orders by ``POST /orders``.

    Parameters
    ----------
    url : str
    sessions : UpstreamSessions
    """

    def __init__(self, url: str, sessions: UpstreamSessions):
        self.url = url.rstrip("/")
        self.sessions = sessions

    async def send(self, order: EngineOrder) -> Result[None, OrderFailure]:
        """Send an order once."""
        body = {
            "id": order.order_id,
            "order": order.order,
            "argument": order.argument,
            "fencing": order.fencing,
        }
        try:
            async with self.sessions.fresh.post(
                self.url + "/orders",
                json=body,
                timeout=ORDER_TIMEOUT,
                allow_redirects=False,
                middlewares=(SendOnce(),),
            ) as response:
                return _judge(response.status)
        except CONNECT_ERRORS as error:
            return Err(OrderFailure(str(error), acted=False))
        except BROKEN_ERRORS as error:
            return Err(OrderFailure(type(error).__name__, acted=True))


def _judge(status: int) -> Result[None, OrderFailure]:
    if 200 <= status < 300:
        return Ok(None)
    # An engine that answers that the order is wrong or outdated has not acted on it; one that
    # fails may have.
    return Err(OrderFailure(f"the engine answered {status}", acted=not 400 <= status < 500))


def _key(record: PlacementRecord) -> _RecordKey:
    return _RecordKey(record.name, record.order, record.argument)


class OrderFollower:
    """Brings each placement record to the engine, with growing pauses while it has to wait.

    Parameters
    ----------
    runner : OrderRunner
    group, vm : str
    snapshot : callable
        Returns the configuration in force.
    clock : Clock
    rng : random.Random
        Jitter of the pauses.
    """

    def __init__(
        self,
        runner: OrderRunner,
        group: str,
        vm: str,
        snapshot: Callable[[], Snapshot],
        clock: Clock,
        rng: random.Random,
    ):
        self.runner = runner
        self.group = group
        self.vm = vm
        self.snapshot = snapshot
        self.clock = clock
        self.rng = rng
        self._pauses: dict[_RecordKey, _Pause] = {}
        self._done: set[_RecordKey] = set()
        self._acting = asyncio.Lock()
        self._stopped = False

    async def run(self) -> None:
        """Follow the records until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            await self.follow()

    async def stop(self) -> None:
        """Send no further order, and wait for the outcome of the one under way.

        Notes
        -----
        An order that is cut off stays without an outcome for ever, although the engine acted.
        """
        self._stopped = True
        async with self._acting:
            return

    async def follow(self) -> None:
        """Act on every record that is due, one after the other."""
        records = [
            record
            for record in self.snapshot().placements.values()
            if concerns(record, self.group, self.vm)
        ]
        for record in records:
            key = _key(record)
            pause = self._pauses.get(key)
            if key in self._done or (pause is not None and self.clock.now() < pause.until):
                continue
            async with self._acting:
                if self._stopped:
                    return
                state = await self.runner.act(record, self.clock.wall, self.clock.now)
            self._note(record, state)
        in_force = {_key(record) for record in records}
        self._pauses = {key: self._pauses[key] for key in in_force & self._pauses.keys()}
        await self.runner.turns.tend(self.clock.now())

    def _note(self, record: PlacementRecord, state: OrderState) -> None:
        key = _key(record)
        if state is OrderState.DONE:
            log_event(Event.ORDER_DONE, record=record.name, order=record.order)
            self._done.add(key)
            self._pauses.pop(key, None)
            return
        known = self._pauses.get(key)
        length = min(LONGEST_PAUSE_S, 2 * known.length) if known else FIRST_PAUSE_S
        until = self.clock.now() + length * self.rng.uniform(0.5, 1.0)
        self._pauses[key] = _Pause(length, until)
