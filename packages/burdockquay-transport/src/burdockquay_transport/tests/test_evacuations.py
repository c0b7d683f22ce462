"""Failure domains that records evacuate, as entries and slots apply them."""

import asyncio

from burdockquay_state import EvacuationRecord
from burdockquay_transport import SystemClock

from ._deployment import callers_requests, chat_body, is_answering, until

CHAT = "/v1/chat/completions"


async def change(running, domain, is_evacuated, is_awaited=True):
    """Put or withdraw the record of a domain, and wait until every process has it in force."""
    row = (await running.log.get("evacuation", domain)).ok()
    expected = row.entry.revision if row is not None and not row.withdrawn else 0
    if is_evacuated:
        changed = await running.log.put([EvacuationRecord(domain)], "test", expected, 0.0)
    else:
        changed = await running.log.withdraw("evacuation", domain, "test", expected, 0.0)
    revision = changed.ok().revision
    if is_awaited:
        processes = [*running.entries, *running.slots]
        await until(lambda: all(one.describe()["revision"] >= revision for one in processes))


async def ask_many(running, count, entry=0):
    """Send requests at once, and return the statuses of their answers."""

    async def ask():
        async with running.post(CHAT, chat_body(), entry=entry) as response:
            return response.status

    return set(await asyncio.gather(*(ask() for _ in range(count))))


async def test_interrupted_stream_is_not_resumed_in_an_evacuated_domain(deployment):
    """Guards against a retry into an evacuated domain when the engine elsewhere crashes."""
    async with deployment(domains=("north", "south"), base_step_s=0.01, restart_s=0.3) as running:
        await change(running, "south", True)
        reading = asyncio.create_task(running.ask_stream(chat_body(stream=True, max_tokens=60)))
        await until(lambda: is_answering(running.engines[0], 10))
        running.engines[0]._crash()
        _, complete, error = await reading
        assert (complete, error) == (True, None)
        assert callers_requests(running.engines[1]) == []


async def test_entry_that_starts_in_an_evacuation_sends_nothing_there(deployment):
    """Guards against an entry that is ready before it knows of the evacuation."""
    async with deployment(domains=("north", "south")) as running:
        await change(running, "south", True)
        entry = await running.add_entry("entry-new")
        await until(lambda: entry.ready)
        assert await ask_many(running, 20, entry=1) == {200}
        assert callers_requests(running.engines[1]) == []


async def test_requests_are_refused_as_not_run_while_all_domains_are_evacuated(deployment):
    """Guards against requests that wait in vain, are cut, or count as failures of the slots."""
    async with deployment(domains=("north", "south"), base_step_s=0.02) as running:
        reading = asyncio.create_task(running.ask_stream(chat_body(stream=True, max_tokens=50)))
        await running.wait_for_answering_slot()
        waiting = [asyncio.create_task(running.ask(CHAT, chat_body())) for _ in range(20)]
        await until(lambda: running.entries[0].dispatcher("drafting").queue)
        for domain in running.domains:
            await change(running, domain, True)
        async with running.post(CHAT, chat_body()) as response:
            answer = await response.json()
            assert (response.status, response.headers["Retry-After"]) == (503, "5")
            assert (answer["error"]["code"], answer["error"]["run"]) == ("no_upstream", "not_run")
        statuses = {(await task)[0] for task in waiting}
        _, complete, _ = await reading
        assert complete and statuses == {200, 503}
        arrivals = [list(engine.arrivals) for engine in running.engines]
        await asyncio.sleep(0.5)
        assert [list(engine.arrivals) for engine in running.engines] == arrivals
        health = running.entries[0].dispatcher("drafting").health
        now = SystemClock().now()
        assert {health.weight(f"engine-{number}", now) for number in (1, 2)} == {1.0}
        assert running.entries[0].describe()["quarantine"] == []
        await change(running, "south", False)
        assert await ask_many(running, 1) == {200}


async def test_last_of_quick_changes_of_an_evacuation_is_in_force(deployment):
    """Guards against a record that is withdrawn and put again between two reads of the log."""
    async with deployment(domains=("north", "south")) as running:
        for _ in range(5):
            await change(running, "south", True, is_awaited=False)
            await change(running, "south", False, is_awaited=False)
        await change(running, "south", True)
        before = callers_requests(running.engines[1])
        assert await ask_many(running, 20) == {200}
        assert callers_requests(running.engines[1]) == before
        await change(running, "south", False)
        assert await ask_many(running, 40) == {200}
        assert len(callers_requests(running.engines[1])) > len(before)


async def test_attempt_that_is_not_written_yet_goes_to_another_domain(deployment):
    """Guards against a slot that reads slowly, and gets requests after the evacuation began."""
    async with deployment(domains=("north", "south")) as running:
        link = running.entries[0].dispatcher("drafting").links["engine-1"]
        send, reads_again = link.connection._send_pending, asyncio.Event()

        async def send_later():
            await reads_again.wait()
            await send()

        link.connection._send_pending = send_later
        asking = asyncio.create_task(ask_many(running, 8))
        await until(lambda: link.outstanding)
        await change(running, "north", True)
        assert await asyncio.wait_for(asking, 4.0) == {200}
        reads_again.set()
        assert callers_requests(running.engines[0]) == []
