"""Engines behind slots that crash if they get many requests while they are cold."""

import asyncio

from burdockquay_transport import ColdStartSettings

from ._deployment import callers_requests, chat_body, until
from .test_evacuations import CHAT, change

COLD_S = 2.0
PER_S = 20.0
MOST = int(PER_S) + 2
"""Requests in any second: the rate, one start that is saved up, and both ends of the second."""
MIN_USED = 0.8


def most_in_a_second(times):
    """Return the largest number of arrivals in any second."""
    return max((sum(start <= other < start + 1.0 for other in times) for start in times), default=0)


async def test_engine_that_restarts_under_a_backlog_gets_its_cold_rate(deployment):
    """Guards against the backlog that crashes a restarted engine again, and against starts that
    stay unused while requests wait."""
    running = deployment(engines=1, entries=2, restart_s=0.3, cold_s=COLD_S - 0.2, cold_most=MOST)
    running.slot_settings["cold_start"] = ColdStartSettings(COLD_S, PER_S)
    async with running:
        engine, slot = running.engines[0], running.slots[0]

        async def keep_asking(entry):
            while True:
                async with running.post(CHAT, chat_body(), entry=entry) as response:
                    await response.read()

        callers = [asyncio.create_task(keep_asking(number % 2)) for number in range(30)]
        try:
            await until(lambda: not slot._gate.cold_remaining_s(slot._clock.now()))
            await asyncio.sleep(0.3)
            engine._crash()
            await until(lambda: not slot.describe()["healthy"])
            await until(lambda: slot.describe()["healthy"])
            begun = len(engine.arrivals)
            await asyncio.sleep(COLD_S - 0.1)
            cold = engine.arrivals[begun:]
        finally:
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
        assert engine.crashes == 1
        assert most_in_a_second(cold) <= MOST
        assert len(cold) >= MIN_USED * PER_S * (COLD_S - 0.1)


async def test_engine_is_cold_when_an_evacuation_ends(deployment):
    """Guards against a restart in the evacuation, when no probe shows it."""
    running = deployment(engines=1, cold_s=COLD_S, cold_most=MOST)
    running.slot_settings["cold_start"] = ColdStartSettings(COLD_S, PER_S)
    async with running:
        slot = running.slots[0]
        await until(lambda: not slot._gate.cold_remaining_s(slot._clock.now()))
        await change(running, "north", True)
        running.engines[0].crash(0.0)
        await change(running, "north", False)
        assert slot._gate.cold_remaining_s(slot._clock.now()) > 0.5 * COLD_S
        assert (await running.ask(CHAT, chat_body()))[0] == 200
        assert len(callers_requests(running.engines[0])) == 1
