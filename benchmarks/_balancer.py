"""Callers behind a load balancer that sends each call to an entry ready at the last poll."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any

import aiohttp
import attrs
from _callers import CallResult, PlannedCall, new_session, send
from _harness import Cluster

POLL_INTERVAL_S = 0.1
"""Time between two readiness polls of an entry, seconds."""

NOT_ACCEPTED = ("connect", "leaving", "not_ready")
"""Errors that mean that the entry did not accept the call; it is sent to another entry."""

MAX_ATTEMPTS = 4


@attrs.define
class BalancerCounts:
    """Counts of the callers' results.

    Parameters
    ----------
    moved : int
        Calls retried because an entry did not accept them.
    whole : int
        Complete answers.
    cut : list of CallResult
        Results that are neither a complete answer nor a refusal.
    refused : dict of str to int
        Refusals by error kind.
    """

    moved: int = 0
    whole: int = 0
    cut: list[CallResult] = attrs.field(factory=list)
    refused: dict[str, int] = attrs.field(factory=dict)


class Balancer:
    """Load balancer that sends a constant rate of calls to ready entries.

    Parameters
    ----------
    cluster : Cluster
    seed : int
    """

    def __init__(self, cluster: Cluster, seed: int):
        self.cluster = cluster
        self.seed = seed
        self.counts = BalancerCounts()
        self._ready: list[str] = []
        self._rng = random.Random(seed)

    async def run(
        self, path: str, template: PlannedCall, rate: float, stop: asyncio.Event
    ) -> BalancerCounts:
        """Send ``rate`` calls per second until ``stop`` is set, then wait for the answers."""
        async with new_session() as session:
            polling = asyncio.create_task(self._poll_entries(session))
            while not self._ready:
                await asyncio.sleep(POLL_INTERVAL_S)
            calls = []
            number = 0
            start = time.monotonic()
            while not stop.is_set():
                number += 1
                calls.append(asyncio.create_task(self._call(session, path, template, number)))
                await asyncio.sleep(max(0.0, start + number / rate - time.monotonic()))
            await asyncio.gather(*calls)
            polling.cancel()
        return self.counts

    async def _poll_entries(self, session: aiohttp.ClientSession) -> None:
        while True:
            entries = list(self.cluster.entries.values())
            ready = await asyncio.gather(*(self._is_ready(session, entry) for entry in entries))
            self._ready = [
                entry.url for entry, is_ready in zip(entries, ready, strict=True) if is_ready
            ]
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self, session: aiohttp.ClientSession, entry: Any) -> bool:
        try:
            async with session.get(f"{entry.status_url}/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _call(
        self, session: aiohttp.ClientSession, path: str, template: PlannedCall, number: int
    ) -> None:
        messages = [{"role": "user", "content": f"question {number}"}]
        length = self._rng.randint(*template.body["lengths"])
        body = {k: v for k, v in template.body.items() if k != "lengths"}
        body |= {"messages": messages, "max_tokens": length, "min_tokens": length}
        for _ in range(MAX_ATTEMPTS):
            url = self._rng.choice(self._ready) + path
            result = await send(session, attrs.evolve(template, url=url, body=body), self.seed)
            if result.error not in NOT_ACCEPTED or result.tokens:
                break
            self.counts.moved += 1
            await asyncio.sleep(POLL_INTERVAL_S)
        self._record_result(result)

    def _record_result(self, result: CallResult) -> None:
        if result.outcome == "whole":
            self.counts.whole += 1
        elif result.outcome == "refused":
            refused = self.counts.refused
            refused[result.error] = refused.get(result.error, 0) + 1
        else:
            self.counts.cut.append(result)
