"""Sends the orders of the placement records that apply to this slot's engine."""

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
    applies_to_engine,
)
from burdockquay_state import PlacementRecord, Snapshot

from ._clock import Clock
from ._events import Event, log_event
from ._send_once import BROKEN_ERRORS, CONNECT_ERRORS, SendOnce
from ._upstream import UpstreamSessions

FIRST_RETRY_DELAY_S = 0.5
"""Delay before the first retry of a record, seconds; doubles with each retry."""

MAX_RETRY_DELAY_S = 60.0
"""Longest retry delay, seconds; bounds the table reads of thousands of waiting slots."""

ORDER_POLL_INTERVAL_S = 0.5
"""Time between two checks of the records in force, seconds; the records are in memory."""

ORDER_TIMEOUT = aiohttp.ClientTimeout(total=1800.0, connect=2.0)
"""Timeout of one order; loading a large model takes minutes."""


@attrs.frozen
class _RecordKey:
    """Identity of an order: a record that changed under the same name is a new order."""

    name: str
    order: str
    argument: str


@attrs.frozen
class _Backoff:
    """Retry delay of a record, seconds, and the time of its next attempt."""

    delay_s: float
    retry_at: float


class HttpOrderTarget(OrderTarget):
    """Engine that receives orders by ``POST /orders``.

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
            async with self.sessions.unpooled.post(
                self.url + "/orders",
                json=body,
                timeout=ORDER_TIMEOUT,
                allow_redirects=False,
                middlewares=(SendOnce(),),
            ) as response:
                return _interpret_status(response.status)
        except CONNECT_ERRORS as error:
            return Err(OrderFailure(str(error), acted=False))
        except BROKEN_ERRORS as error:
            return Err(OrderFailure(type(error).__name__, acted=True))


def _interpret_status(status: int) -> Result[None, OrderFailure]:
    if 200 <= status < 300:
        return Ok(None)
    # A 4xx answer says that the order is invalid or outdated and was not carried out. After any
    # other failure it may have been carried out.
    return Err(OrderFailure(f"the engine answered {status}", acted=not 400 <= status < 500))


def _key(record: PlacementRecord) -> _RecordKey:
    return _RecordKey(record.name, record.order, record.argument)


class OrderFollower:
    """Applies each placement record to the engine, with exponential backoff while it must wait.

    Parameters
    ----------
    runner : OrderRunner
    group, vm : str
    snapshot : callable
        Returns the configuration in force.
    clock : Clock
    rng : random.Random
        Jitter of the retry delays.
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
        self._backoffs: dict[_RecordKey, _Backoff] = {}
        self._done: set[_RecordKey] = set()
        self._acting_lock = asyncio.Lock()
        self._stopped = False

    async def run(self) -> None:
        """Follow the records until cancelled; run as a task."""
        while True:
            await asyncio.sleep(ORDER_POLL_INTERVAL_S)
            await self.follow()

    async def stop(self) -> None:
        """Send no further order, and wait for the outcome of the current one.

        Notes
        -----
        An order that is cancelled never gets an outcome, although the engine carried it out.
        """
        self._stopped = True
        async with self._acting_lock:
            return

    async def follow(self) -> None:
        """Apply all records that are due, one after another."""
        records = [
            record
            for record in self.snapshot().placements.values()
            if applies_to_engine(record, self.group, self.vm)
        ]
        for record in records:
            key = _key(record)
            backoff = self._backoffs.get(key)
            if key in self._done or (backoff is not None and self.clock.now() < backoff.retry_at):
                continue
            async with self._acting_lock:
                if self._stopped:
                    return
                state = await self.runner.act(record, self.clock.wall, self.clock.now)
            self._record_state(record, state)
        in_force = {_key(record) for record in records}
        self._backoffs = {key: self._backoffs[key] for key in in_force & self._backoffs.keys()}
        await self.runner.turns.release_due(self.clock.now())

    def _record_state(self, record: PlacementRecord, state: OrderState) -> None:
        key = _key(record)
        if state is OrderState.DONE:
            log_event(Event.ORDER_DONE, record=record.name, order=record.order)
            self._done.add(key)
            self._backoffs.pop(key, None)
            return
        last = self._backoffs.get(key)
        delay_s = min(MAX_RETRY_DELAY_S, 2 * last.delay_s) if last else FIRST_RETRY_DELAY_S
        retry_at = self.clock.now() + delay_s * self.rng.uniform(0.5, 1.0)
        self._backoffs[key] = _Backoff(delay_s, retry_at)
