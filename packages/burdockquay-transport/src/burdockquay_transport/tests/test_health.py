"""Slow upstreams, and suspicions that outlive processes."""

import asyncio
import json

from burdockquay_protocol import Suspicion
from burdockquay_transport._caller_http import digest_request
from burdockquay_transport._slot_runner import SlotRunner

from ._deployment import callers_requests, chat_body, is_answering, until


async def test_straggler_is_ejected_and_returns_by_probes_of_its_slot(deployment):
    """One of four engines becomes fifty times slower, as with a failing accelerator.

    Callers would wait fifty times longer for its answers. It gets no more work until its own slot
    has measured that it is as fast as the others; no caller's request is used for the measurement.
    """
    async with deployment(engines=4, base_step_s=0.002) as running:
        slow = running.engines[0]
        slow.faults.slow_factor = 50.0
        health = running.entries[0].dispatcher("drafting").health
        now = running.entries[0].now

        async def ask_some():
            for _ in range(8):
                status, _ = await running.ask("/v1/chat/completions", chat_body(max_tokens=4))
                assert status == 200

        while health.ejected(now()) != {"engine-1"}:
            await ask_some()
        started = len(callers_requests(slow))
        await ask_some()
        assert len(callers_requests(slow)) == started
        slow.faults.slow_factor = 1.0
        await until(lambda: not health.ejected(now()))


async def test_quarantine_outlives_every_process(deployment):
    """All processes are replaced after a request crashed engines; then its caller repeats it.

    It is refused as before, since the suspicion is stored in the table.
    """
    async with deployment(engines=1) as running:
        body = chat_body("POISON")
        _, answer = await running.ask("/v1/chat/completions", body)
        assert "choices" in answer
        digest = _digest_of(body)
        store = running.slots[0].suspicions.store
        suspicion = Suspicion(digest, 2, 1, running.entries[0].wall() + 60.0)
        await store.save([suspicion], running.entries[0].wall())
        entry = await running.add_entry("entry-new")
        await until(lambda: entry.ready and entry.describe()["quarantine"])
        async with running.post("/v1/chat/completions", body, entry=1) as response:
            answer = await response.json()
        assert (response.status, answer["error"]["code"]) == (422, "quarantined")


def _digest_of(body):
    return digest_request("parish", "POST", "/v1/chat/completions", json.dumps(body).encode())


async def test_answer_interrupted_by_a_crash_is_retried_apart(deployment, monkeypatch):
    """An engine crashes while it runs several requests, each of which may be the cause.

    If one of them were retried before the entry has received the report of the crash, it would run
    together with others, and the next crash would not identify the cause either.
    """
    accepted = []
    original = SlotRunner.accept

    def accept(runner, connection, run, now):
        accepted.append(run)
        original(runner, connection, run, now)

    monkeypatch.setattr(SlotRunner, "accept", accept)
    async with deployment(engines=2, base_step_s=0.01, restart_s=60.0) as running:
        bodies = [{**chat_body(f"{n}", True, 400), "min_tokens": 50} for n in range(4)]
        reading = [asyncio.create_task(running.ask_stream(body)) for body in bodies]
        await until(lambda: any(is_answering(engine, 20) for engine in running.engines))
        max(running.engines, key=lambda engine: len(engine.batch.running)).crash(60.0)
        for _, complete, _ in await asyncio.gather(*reading):
            assert complete
        retries = [run for run in accepted if run.attempt > 1]
        assert retries
        assert all(run.apart for run in retries)
