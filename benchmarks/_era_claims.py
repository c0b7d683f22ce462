"""At-most-once requests while the platform's table is restored from a copy."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter, deque

import aiohttp
import attrs
import cbor2
import logbook
import uvloop

from burdockquay_coordination import OPEN_ERA_KEY
from burdockquay_state import Put
from burdockquay_transport.tests._deployment import Deployment

HOLD = "/services/booking/holds"
ENTRIES = 2
SERVICES = 2

KEYS_PER_S = 40.0
RESENDS = 3
RESEND_PAUSE_S = (0.1, 2.0)
"""Range of the pause before a caller resends a key through a random entry, seconds."""

COPY_INTERVAL_S = 0.1
COPY_AGE_S = 2.0
OUTAGE_START_S = 3.0
OUTAGE_S = 1.0
AFTER_RESTORE_S = 6.0
"""Time from the restore to the last new key, seconds."""

SEED = 1


@attrs.define
class ClaimsOutcome:
    """Result of a simulation.

    Parameters
    ----------
    keys : int
        Number of keys, each sent several times.
    answered : int
        Keys for which a caller received a complete answer.
    claims_twice : int
        Keys whose request ran more than once.
    """

    keys: int = 0
    answered: int = 0
    claims_twice: int = 0


class ClaimsSimulation:
    """Callers that resend their keys while the table fails and is restored from a copy."""

    def __init__(self):
        self.rng = random.Random(SEED)
        self._copies: deque = deque(maxlen=round(COPY_AGE_S / COPY_INTERVAL_S))
        self._answered_keys: set[str] = set()
        self._sent_keys: set[str] = set()

    async def run(self) -> ClaimsOutcome:
        """Run the simulation and return its result."""
        async with Deployment(engines=0, services=SERVICES, entries=ENTRIES, era=1) as deployment:
            self.deployment = deployment
            table = deployment.platform.table
            await table.transact([Put(OPEN_ERA_KEY, cbor2.dumps(table.era))])
            copying = asyncio.create_task(self._keep_copies())
            async with asyncio.TaskGroup() as calls:
                calls.create_task(self._restore_table(copying))
                await self._send_keys(calls)
            effects = sum((service.effects for service in deployment.services), start=Counter())
        claims_twice = sum(count > 1 for count in effects.values())
        return ClaimsOutcome(len(self._sent_keys), len(self._answered_keys), claims_twice)

    async def _keep_copies(self) -> None:
        while True:
            self._copies.append(self.deployment.platform.table.copy())
            await asyncio.sleep(COPY_INTERVAL_S)

    async def _restore_table(self, copying: asyncio.Task) -> None:
        await asyncio.sleep(OUTAGE_START_S)
        copying.cancel()
        platform = self.deployment.platform
        platform.faults.outage = True
        await asyncio.sleep(OUTAGE_S)
        platform.table.restore_copy(self._copies[0])
        platform.faults.outage = False

    async def _send_keys(self, calls: asyncio.TaskGroup) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + OUTAGE_START_S + OUTAGE_S + AFTER_RESTORE_S
        for number in itertools.count():
            if loop.time() >= until:
                return
            calls.create_task(self._resend_key(f"k-{number}"))
            await asyncio.sleep(1 / KEYS_PER_S)

    async def _resend_key(self, key: str) -> None:
        """Send a key several times, regardless of the answers."""
        self._sent_keys.add(key)
        for _ in range(1 + RESENDS):
            if await self._call(key):
                self._answered_keys.add(key)
            await asyncio.sleep(self.rng.uniform(*RESEND_PAUSE_S))

    async def _call(self, key: str) -> bool:
        entry = self.rng.randrange(ENTRIES)
        try:
            async with self.deployment.post(
                HOLD, {"key": key}, entry, Idempotency_Key=key
            ) as answer:
                await answer.read()
                return answer.status == 200
        except aiohttp.ClientError:
            return False


def simulate_claims() -> ClaimsOutcome:
    """Run the simulation in a new event loop and return its result."""
    with (
        logbook.NullHandler().applicationbound(),
        asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner,
    ):
        return runner.run(ClaimsSimulation().run())
