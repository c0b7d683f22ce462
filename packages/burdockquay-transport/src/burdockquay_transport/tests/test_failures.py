"""Failures of upstreams, processes and the platform, as callers notice them."""

import asyncio
import json

from burdockquay_protocol import ErrorKind, Failed, NotRun
from burdockquay_standins import expected_answer
from burdockquay_state import ClaimStore, ClassRecord, MemoryObjectStore
from burdockquay_transport._caller_http import digest_request

from ._deployment import callers_requests, chat_body, is_answering, until

HOLD = "/services/booking/holds"


async def test_table_outage_refuses_holds_truthfully_and_serves_the_rest(deployment):
    """The platform's table does not answer, so no claim can be written.

    An arranger hears at once that the hold was not placed, and it was not; drafts are served from
    the configuration in force. After the outage holds are placed again.
    """
    async with deployment(engines=1, services=1) as running:
        running.platform.faults.outage = True
        status, answer = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
        assert (status, answer["error"]["code"]) == (503, "table_unavailable")
        assert answer["error"]["run"] == "not_run"
        status, _ = await running.ask("/v1/chat/completions", chat_body())
        assert status == 200
        running.platform.faults.outage = False
        status, _ = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
        assert status == 200
        assert running.services[0].effects == {"h-1": 1}


async def test_lost_confirmation_of_a_claim_runs_the_hold_once(deployment):
    """The table writes a claim and the outcome, and loses both confirmations.

    The slot reads its rows back. The arranger gets the answer, and a repeat gets the same one.
    """
    async with deployment(engines=1, services=1) as running:
        running.platform.faults.lose_next = 2
        first = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
        second = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
        assert first[0] == 200
        assert second == first
        assert running.services[0].effects == {"h-1": 1}


async def test_service_that_breaks_off_leaves_the_outcome_unknown(deployment):
    """The booking service takes a hold and closes the connection without an answer.

    Whether the hold was placed cannot be known, so the arranger hears just that, and a repeat of
    the key never places a second one.
    """
    async with deployment(engines=1, services=1) as running:
        running.services[0].cuts["cut_after"] = 1
        for _ in range(2):
            status, answer = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
            assert status in (409, 504)
            assert answer["error"]["run"] == "unknown"
        assert running.services[0].effects == {"h-1": 1}


async def test_connection_lost_during_a_hold_brings_its_answer_all_the_same(deployment):
    """The network between entry and slot breaks while the booking service works on a hold.

    The slot finishes and records it; the entry reads the record, and the arranger gets the answer.
    """
    async with deployment(engines=1, services=1) as running:
        running.services[0].delay_s = 0.3
        asking = asyncio.create_task(running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1"))
        await until(lambda: running.services[0].requests)
        for peer in list(running.slot("service-1")._connected_peers()):
            peer.websocket.transport.abort()
        status, _ = await asking
        assert status == 200
        assert running.services[0].effects == {"h-1": 1}


async def test_entry_starts_from_its_peers_while_the_table_is_down(deployment):
    """An entry is replaced during an outage of the table.

    It takes the configuration from the slots, and callers notice nothing of the outage.
    """
    async with deployment(engines=1) as running:
        real = running.platform.table
        running.platform.table = _Unreadable()
        entry = await running.add_entry("entry-new")
        await until(lambda: entry.ready)
        async with running.post("/v1/chat/completions", chat_body(), entry=1) as response:
            assert response.status == 200
        assert entry.describe()["revision"] == running.revision
        running.platform.table = real


class _Unreadable:
    """Table of the platform stand-in that answers no call."""

    reads = writes = 0

    async def get(self, keys):
        raise ValueError("the table is down")

    async def scan(self, prefix, after="", limit=0):
        raise ValueError("the table is down")

    async def transact(self, operations):
        raise ValueError("the table is down")


async def test_slot_that_leaves_finishes_its_answers_and_gets_no_new_ones(deployment):
    """A slot's VM is replaced while it streams an answer; the VM list does not say so yet.

    The answer comes to its end, and every request after the signal goes elsewhere.
    """
    async with deployment(base_step_s=0.02) as running:
        body = chat_body("ceremony", stream=True, max_tokens=100)
        reading = asyncio.create_task(running.ask_stream(body))
        busy = await running.wait_for_answering_slot()
        engine = running.engines[running.slots.index(busy)]
        stopping = asyncio.create_task(busy.stop())
        await asyncio.sleep(0)
        started = len(callers_requests(engine))
        for _ in range(5):
            status, _ = await running.ask("/v1/chat/completions", chat_body())
            assert status == 200
        text, whole, error = await reading
        assert (whole, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
        assert len(callers_requests(engine)) == started
        await stopping
        running.slots.remove(busy)


async def test_entry_that_stops_cuts_no_answer(deployment):
    """An entry's VM is replaced while a caller reads a stream.

    The stream comes to its end; only then the entry closes.
    """
    async with deployment(engines=1, base_step_s=0.005) as running:
        body = chat_body("ceremony", stream=True, max_tokens=60)
        reading = asyncio.create_task(running.ask_stream(body))
        await until(lambda: is_answering(running.engines[0], 2))
        entry = running.entries.pop()
        await entry.stop()
        text, whole, _ = await reading
        assert whole
        assert text == "".join(expected_answer(body, seed=1))


async def test_urgent_request_is_not_kept_waiting_by_drafts(deployment):
    """Drafts fill all places of the only engine when a hold arrives.

    A draft is paused for it and later goes on. The drafts lack no word and repeat none.
    """
    async with deployment(engines=1, base_step_s=0.01, places=4) as running:
        drafts = [chat_body(f"draft {n}", stream=True, max_tokens=400) for n in range(6)]
        reading = [asyncio.create_task(running.ask_stream(body)) for body in drafts]
        await until(lambda: len(callers_requests(running.engines[0])) >= 3)
        urgent = [chat_body(f"hold {n}", stream=True, max_tokens=10) for n in range(3)]
        answers = await asyncio.gather(
            *(running.ask_stream(body, X_Service_Class="hold") for body in urgent)
        )
        assert any(not task.done() for task in reading)
        for body, (text, whole, _) in zip(urgent, answers, strict=True):
            assert whole
            assert text == "".join(expected_answer(body, seed=1))
        for body, (text, whole, error) in zip(drafts, await asyncio.gather(*reading), strict=True):
            assert (whole, error) == (True, None)
            assert text == "".join(expected_answer(body, seed=1))
        assert running.slots[0].describe()["protected_shed"] == 0


async def test_poison_request_is_quarantined_and_its_neighbours_are_not(deployment):
    """One request crashes each engine that runs it, and its caller sends it again and again.

    It is refused after it has crashed a few engines, while those who ran beside it get their
    answers.
    """
    async with deployment(
        engines=4, base_step_s=0.005, poison_marker="POISON", restart_s=0.1
    ) as running:
        bystanders = [chat_body(f"draft {n}", stream=True, max_tokens=80) for n in range(4)]
        reading = [asyncio.create_task(running.ask_stream(body)) for body in bystanders]
        await until(lambda: sum(len(callers_requests(engine)) for engine in running.engines) >= 4)
        codes = []
        for _ in range(4):
            _, answer = await running.ask("/v1/chat/completions", chat_body("POISON"))
            codes.append(answer["error"]["code"])
        assert codes[-1] == "quarantined"
        assert sum(engine.crashes for engine in running.engines) <= 3
        for body, (text, whole, error) in zip(
            bystanders, await asyncio.gather(*reading), strict=True
        ):
            assert (whole, error) == (True, None)
            assert text == "".join(expected_answer(body, seed=1))


async def test_answer_that_broke_off_is_not_given_up_for_its_age(deployment):
    """An engine dies when an answer has been under way for longer than its class would wait for
    a place, and the other engine is full.

    If the time of the answer counted as waiting, the caller would lose all it has read.
    """
    async with deployment(engines=2, base_step_s=0.01, restart_s=60.0) as running:
        record = ClassRecord("draft", 10, 2.0, 0.1, 0.5, 0.3)
        revision = (await running.log.get("class", "draft")).ok().entry.revision
        assert (await running.log.put([record], "test", revision, 0.0)).is_ok()
        await until(lambda: running.entries[0].snapshot.classes["draft"].patience_s == 0.5)
        body = chat_body("ceremony", stream=True, max_tokens=600)
        body["min_tokens"] = 200
        reading = asyncio.create_task(running.ask_stream(body))
        await until(lambda: any(is_answering(engine, 80) for engine in running.engines))
        first = max(running.engines, key=lambda engine: engine.tokens_generated)
        others = [{**chat_body(f"draft {n}", True, 600), "min_tokens": 150} for n in range(5)]
        filling = [asyncio.create_task(running.ask_stream(other)) for other in others]
        await until(lambda: sum(slot.describe()["running"] for slot in running.slots) >= 6)
        first.crash(60.0)
        text, whole, error = await reading
        assert (whole, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
        await asyncio.gather(*filling)


async def test_request_that_failed_at_an_upstream_is_not_granted_a_place_there(deployment):
    """An engine breaks off an answer but goes on living, and grants a place right afterwards.

    The caller's answer would break off there again and again.
    """
    async with deployment(engines=2, base_step_s=0.01) as running:
        dispatcher = running.entries[0].dispatcher("drafting")
        body = {**chat_body("ceremony", True, 600), "min_tokens": 200}
        reading = asyncio.create_task(running.ask_stream(body))
        await until(lambda: any(link.outstanding for link in dispatcher.links.values()))
        link = next(link for link in dispatcher.links.values() if link.outstanding)
        (call,) = link._attempts.values()
        others = [{**chat_body(f"draft {n}", True, 600), "min_tokens": 100} for n in range(12)]
        filling = [asyncio.create_task(running.ask_stream(other)) for other in others]
        await until(lambda: len(dispatcher.queue) >= 2)
        link.cancel_attempt(call)
        call.inbox.put(Failed(*call.attempt_key, ErrorKind.UPSTREAM_FAILED, "", True))
        text, whole, error = await reading
        assert (whole, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
        assert call.link is not link
        await asyncio.gather(*filling)


async def test_entry_that_leaves_serves_until_the_balancer_has_noticed(deployment):
    """An entry's VM is replaced, and the balancer sends it requests until it looks at the
    readiness again.

    Their callers would get refused connections, although other entries are there.
    """
    async with deployment(engines=1, leave_delay_s=0.5) as running:
        (entry,) = running.entries
        stopping = asyncio.create_task(entry.stop())
        await until(lambda: entry.leaving)
        async with running.session.get(running.url("/readyz")) as response:
            assert response.status == 503
        status, _ = await running.ask("/v1/chat/completions", chat_body())
        assert status == 200
        await stopping
        running.entries.clear()


async def test_repeat_of_a_hold_that_was_not_run_is_run(deployment):
    """A hold was cancelled before any slot had claimed it, and its caller heard "not run".

    The caller repeats it with the same key, as it was told it may, and the hold is placed.
    """
    async with deployment(engines=1, services=1) as running:
        entry = running.entries[0]
        digest = digest_request("parish", "POST", "/holds", json.dumps({"chapel": 1}).encode())
        claims = ClaimStore(running.platform.table, MemoryObjectStore())
        cancelled = await claims.cancel("parish", "h-1", 0, digest, entry.wall())
        assert cancelled.ok().cancelled
        status, _ = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
        assert status == 200
        assert running.services[0].effects == {"h-1": 1}


async def test_call_that_met_full_slots_is_still_tried_again_after_a_crash(deployment):
    """A call was refused by full slots several times before an engine took it and died.

    Those refusals cost nothing and must not use up the attempts that a crash may need.
    """
    async with deployment(engines=2, base_step_s=0.01) as running:
        dispatcher = running.entries[0].dispatcher("drafting")
        body = {**chat_body("ceremony", True, 600), "min_tokens": 100}
        reading = asyncio.create_task(running.ask_stream(body))
        await until(lambda: any(link.outstanding for link in dispatcher.links.values()))
        link = next(link for link in dispatcher.links.values() if link.outstanding)
        (call,) = link._attempts.values()
        for _ in range(5):
            link = call.link
            link.cancel_attempt(call)
            call.inbox.put(NotRun(*call.attempt_key, ErrorKind.NO_PLACE))
            await until(lambda: call.link is not None and call.link.outstanding)
        failed = call.link
        failed.cancel_attempt(call)
        call.inbox.put(Failed(*call.attempt_key, ErrorKind.UPSTREAM_FAILED, "", True))
        text, whole, error = await reading
        assert (whole, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
