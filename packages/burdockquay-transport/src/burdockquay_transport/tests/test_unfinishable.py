"""Tests of requests that a stopping entry or slot cannot finish before it ends."""

import asyncio

import pytest

from burdockquay_transport import Event, _late_runs

from ._deployment import callers_requests, chat_body, until

LONG = chat_body("ceremony", max_tokens=40)
STEP_S = 0.02
KNOWN_RUNS = 40


def entry_gate(running):
    return running.entries[0].finish_gate


def slot_gate(running):
    return running.slots[0]._runner.finish_gate


async def test_request_that_would_be_cut_at_the_end_is_refused_as_not_run(deployment):
    """Guards against requests that a stopping entry accepts and aborts at its stop limit."""
    async with deployment(engines=1, base_step_s=STEP_S) as running:
        status, _ = await running.ask("/v1/chat/completions", LONG)
        assert status == 200
        started = len(callers_requests(running.engines[0]))
        now = running.entries[0].now()
        entry_gate(running).stop_at(now + 5 * STEP_S, certain_from=now)
        status, answer = await running.ask("/v1/chat/completions", LONG, X_Deadline_Seconds="5")
        assert (status, answer["error"]["run"]) == (503, "not_run")
        assert len(callers_requests(running.engines[0])) == started


async def test_queued_request_that_would_be_cut_at_the_end_runs_at_another_slot(deployment):
    """Guards against a stopping slot that starts what it aborts at its stop limit."""
    async with deployment(engines=2, base_step_s=STEP_S) as running:
        engine = running.engines[0]
        while not callers_requests(engine):
            await running.ask("/v1/chat/completions", chat_body(max_tokens=40))
        started = len(callers_requests(engine))
        now = running.entries[0].now()
        slot_gate(running).stop_at(now + 5 * STEP_S, certain_from=now)
        replies = [
            await running.ask("/v1/chat/completions", chat_body(max_tokens=40)) for _ in range(6)
        ]
        assert [status for status, _ in replies] == [200] * 6
        assert len(callers_requests(engine)) == started


@pytest.mark.parametrize("find_gate", [entry_gate, slot_gate], ids=lambda item: item.__name__)
async def test_request_with_a_deadline_before_the_end_is_served_in_a_stop(deployment, find_gate):
    """Guards against refusals of all requests that come during a stop."""
    async with deployment(engines=1, base_step_s=STEP_S) as running:
        now = running.entries[0].now()
        find_gate(running).stop_at(now + 4.0, certain_from=now)
        status, _ = await running.ask("/v1/chat/completions", LONG, X_Deadline_Seconds="3")
        assert status == 200


@pytest.mark.parametrize("find_gate", [entry_gate, slot_gate], ids=lambda item: item.__name__)
async def test_request_of_known_duration_is_served_early_in_a_stop(deployment, find_gate):
    """Guards against refusals of requests that many runs show to be short."""
    async with deployment(engines=1, base_step_s=STEP_S) as running:
        for _ in range(KNOWN_RUNS):
            await running.ask("/v1/chat/completions", chat_body(max_tokens=2))
        now = running.entries[0].now()
        find_gate(running).stop_at(now + 4.0, certain_from=now + 3.0)
        body = chat_body(max_tokens=2)
        status, _ = await running.ask("/v1/chat/completions", body, X_Deadline_Seconds="30")
        assert status == 200


async def test_waiting_request_is_refused_once_it_cannot_be_finished(deployment):
    """Guards against requests that wait at a stopping entry, are sent late and then aborted."""
    async with deployment(engines=1, base_step_s=STEP_S) as running:
        entry = running.entries[0]
        engine = running.engines[0]
        dispatcher = entry.dispatcher("drafting")
        path = "/v1/chat/completions"
        asking = [asyncio.create_task(running.ask(path, LONG)) for _ in range(12)]
        await until(lambda: len(dispatcher.queue) >= 4)
        entry_gate(running).stop_at(entry.now() + 30.0, certain_from=entry.now())
        waiting = set(dispatcher._calls)
        replies = await asyncio.gather(*asking)
        refused = [answer["error"]["run"] for status, answer in replies if status == 503]
        assert len(refused) >= len(waiting) >= 4
        assert set(refused) == {"not_run"}
        started = {name.partition("-")[0] for name in callers_requests(engine)}
        assert not started & waiting


async def test_failed_runs_do_not_show_how_long_runs_take(deployment):
    """Guards against a slot that takes runs for short since its upstream failed them at once."""
    async with deployment(engines=0, services=1) as running:
        ended = []
        gate = slot_gate(running)
        gate.end = lambda run, now, is_whole: ended.append(is_whole)
        await running.ask("/services/booking/holds", {"chapel": 1})
        running.services[0].cuts["cut_before"] = 1
        await running.ask("/services/booking/holds", {"chapel": 2})
        assert ended == [True, False]


@pytest.mark.parametrize("find_gate", [entry_gate, slot_gate], ids=lambda item: item.__name__)
@pytest.mark.parametrize("deadline_s", [3, 30])
async def test_decisions_of_a_stop_are_logged(deployment, monkeypatch, find_gate, deadline_s):
    """Guards against requests that are cut at a stop and of which no log tells why they ran."""
    logged = []
    monkeypatch.setattr(
        _late_runs, "log_event", lambda event, **fields: logged.append((event, fields))
    )
    async with deployment(engines=1, base_step_s=STEP_S) as running:
        now = running.entries[0].now()
        find_gate(running).stop_at(now + 4.0, certain_from=now)
        asking = asyncio.create_task(
            running.ask("/v1/chat/completions", LONG, X_Deadline_Seconds=str(deadline_s))
        )
        await until(lambda: logged)
        asking.cancel()
        await asyncio.wait([asking])
    event, fields = logged[0]
    assert event is Event.LATE_REQUEST
    expected = ("passed_on", "certain") if deadline_s == 3 else ("refused", "late")
    assert (fields["decision"], fields["reason"]) == expected
    assert fields["known_runs"] == 0
    assert 0 < fields["deadline_s"] <= deadline_s
