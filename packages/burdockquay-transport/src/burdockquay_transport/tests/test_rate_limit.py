"""An engine that limits the requests of all processes together, behind its slot."""

import asyncio

from ._deployment import chat_body

RATE_PER_S = 0.5
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * RATE_PER_S * WINDOW_S + 5
"""Requests that an engine may receive in any window: the bound that operators state."""


def most_in_window(times):
    """Return the largest number of arrivals in any window."""
    return max(
        (sum(start <= other < start + WINDOW_S for other in times) for start in times), default=0
    )


async def test_limit_holds_for_requests_of_all_entries_and_probes(deployment):
    """Guards against a slot that sends requests or probes beyond the limit of its engine."""
    async with deployment(engines=2, entries=2) as running:
        limited = running.engines[0]
        limited.stated["X-Request-Rate-Limit"] = str(RATE_PER_S)
        while not any(limited.starts):
            assert (await running.ask("/v1/chat/completions", chat_body()))[0] == 200
        # A health check that was sent before the answer was read is not bound by it.
        await asyncio.sleep(0.1)
        told = len(limited.arrivals)

        async def call(entry):
            async with running.post("/v1/chat/completions", chat_body(), entry=entry) as response:
                return response.status

        statuses = await asyncio.gather(*(call(number % 2) for number in range(40)))
        assert set(statuses) == {200}
    assert most_in_window(limited.arrivals[told:]) <= MAX_IN_WINDOW
