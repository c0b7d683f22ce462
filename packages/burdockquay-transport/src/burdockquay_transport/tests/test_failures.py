"""Effects on callers of failures of upstreams, processes and the platform."""

import asyncio
import json

from burdockquay_protocol import ErrorKind, Failed, NotRun
from burdockquay_standins import expected_answer
from burdockquay_state import ClaimStore, ClassRecord, MemoryObjectStore
from burdockquay_transport._caller_http import digest_request

from ._deployment import callers_requests, chat_body, is_answering, until

HOLD = "/services/booking/holds"


async def test_table_outage_refuses_holds_as_not_run_and_serves_the_rest(deployment):
    """The platform's table does not answer, so no claim can be written.

    Holds are refused at once as not run, and have indeed not run; drafts are served with the
    configuration in force. After the outage holds are accepted again.
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
    """The table writes a claim and its outcome, but both confirmations are lost.

    The slot reads its rows back. The caller gets the answer, and a repeat gets the same answer.
    """
    async with deployment(engines=1, services=1) as running:
        running.platform.faults.drop_next = 2
        first = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
        second = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
        assert first[0] == 200
        assert second == first
        assert running.services[0].effects == {"h-1": 1}


async def test_service_that_closes_without_an_answer_leaves_the_outcome_unknown(deployment):
    """The booking service receives a hold and closes the connection without an answer.

    It is unknown whether the hold was placed. The error reports that, and a repeat of the key never
    places a second hold.
    """
    async with deployment(engines=1, services=1) as running:
        running.services[0].cuts["cut_after"] = 1
        for _ in range(2):
            status, answer = await running.ask(HOLD, {"chapel": 1}, Idempotency_Key="h-1")
            assert status in (409, 504)
            assert answer["error"]["run"] == "unknown"
        assert running.services[0].effects == {"h-1": 1}


async def test_hold_is_answered_after_its_connection_was_lost(deployment):
    """The connection between entry and slot is lost while the booking service works on a hold.

    The slot completes the hold and records its outcome; the entry reads the outcome and answers.
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


async def test_entry_starts_with_configuration_from_peers_while_the_table_is_down(deployment):
    """An entry starts during an outage of the table.

    It receives the configuration from the slots and serves callers as usual.
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
    """Table for the platform stand-in that fails every call."""

    reads = writes = 0

    async def get(self, keys):
        raise ValueError("the table is down")

    async def scan(self, prefix, after="", limit=0):
        raise ValueError("the table is down")

    async def transact(self, operations):
        raise ValueError("the table is down")


async def test_draining_slot_finishes_its_answers_and_gets_no_new_ones(deployment):
    """A slot is stopped while it streams an answer; the VM list does not show this yet.

    The answer is completed, and every request after the signal goes to another slot.
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
        text, complete, error = await reading
        assert (complete, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
        assert len(callers_requests(engine)) == started
        await stopping
        running.slots.remove(busy)


async def test_stopping_entry_completes_its_answers(deployment):
    """An entry is stopped while a caller reads a stream.

    The entry closes only after the stream is complete.
    """
    async with deployment(engines=1, base_step_s=0.005) as running:
        body = chat_body("ceremony", stream=True, max_tokens=60)
        reading = asyncio.create_task(running.ask_stream(body))
        await until(lambda: is_answering(running.engines[0], 2))
        entry = running.entries.pop()
        await entry.stop()
        text, complete, _ = await reading
        assert complete
        assert text == "".join(expected_answer(body, seed=1))


async def test_urgent_request_is_not_delayed_by_drafts(deployment):
    """Drafts use all capacity of the only engine when a hold arrives.

    A draft is paused for it and resumed later. No token of the drafts is missing or repeated.
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
        for body, (text, complete, _) in zip(urgent, answers, strict=True):
            assert complete
            assert text == "".join(expected_answer(body, seed=1))
        for body, (text, complete, error) in zip(
            drafts, await asyncio.gather(*reading), strict=True
        ):
            assert (complete, error) == (True, None)
            assert text == "".join(expected_answer(body, seed=1))
        assert running.slots[0].describe()["protected_shed"] == 0


async def test_request_that_crashes_engines_is_quarantined_and_concurrent_ones_are_not(deployment):
    """One request crashes each engine that runs it, and its caller keeps repeating it.

    It is refused after it has crashed a few engines. Requests that ran concurrently with it get
    complete answers.
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
        for body, (text, complete, error) in zip(
            bystanders, await asyncio.gather(*reading), strict=True
        ):
            assert (complete, error) == (True, None)
            assert text == "".join(expected_answer(body, seed=1))


async def test_interrupted_answer_is_not_refused_for_its_age(deployment):
    """An engine crashes when an answer has been running for longer than the patience of its class,
    and the other engine has no free capacity.

    If the running time counted as waiting, the call would be refused and its answer lost.
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
        text, complete, error = await reading
        assert (complete, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
        await asyncio.gather(*filling)


async def test_request_that_failed_at_an_upstream_is_not_granted_a_place_there(deployment):
    """An engine fails an answer but stays up, and its slot sends a grant right afterwards.

    The answer would fail there repeatedly.
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
        text, complete, error = await reading
        assert (complete, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
        assert call.link is not link
        await asyncio.gather(*filling)


async def test_draining_entry_serves_until_the_balancer_has_noticed(deployment):
    """An entry is stopped, and the load balancer sends it requests until its next readiness check.

    Their callers would get refused connections, although other entries are available.
    """
    async with deployment(engines=1, leave_delay_s=0.5) as running:
        (entry,) = running.entries
        stopping = asyncio.create_task(entry.stop())
        await until(lambda: entry.leaving)
        async with running.session.get(running.url("/readyz")) as response:
            assert response.status == 503
        # Its deadline lies before the end of the entry.
        status, _ = await running.ask("/v1/chat/completions", chat_body(), X_Deadline_Seconds="30")
        assert status == 200
        # One of which nothing is known, and whose deadline lies after the end.
        status, answer = await running.ask(
            "/v1/chat/completions", chat_body(), X_Deadline_Seconds="90"
        )
        assert (status, answer["error"]["run"]) == (503, "not_run")
        await stopping
        running.entries.clear()


async def test_repeat_of_a_hold_that_was_not_run_is_run(deployment):
    """A hold was cancelled before any slot had claimed it, and its caller got "not run".

    After that answer the caller may repeat the hold with the same key, and the hold is placed.
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


async def test_call_refused_by_full_slots_is_still_retried_after_a_crash(deployment):
    """A call was refused by full slots several times before an engine ran it and crashed.

    The refusals cost nothing and must not use up the retries that a crash may need.
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
        text, complete, error = await reading
        assert (complete, error) == (True, None)
        assert text == "".join(expected_answer(body, seed=1))
