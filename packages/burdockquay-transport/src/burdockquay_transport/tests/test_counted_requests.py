"""Counters of an entry for callers' requests and tokens."""

from burdockquay_standins import expected_answer
from burdockquay_transport import MemorySink

from ._deployment import chat_body, is_answering, read_stream, until


async def test_every_request_and_token_is_counted_once(deployment):
    async with deployment() as running:
        (entry,) = running.entries
        sink = entry.metrics = entry.runner.metrics = MemorySink()
        body = chat_body("dosage")
        async with running.post("/v1/chat/completions", body) as response:
            assert response.status == 200
        async with running.post("/v1/chat/completions", {**body, "model": "other"}) as response:
            assert response.status == 404
    tokens = len(expected_answer(body, seed=1))
    assert sink.counts["requests"] == 2
    assert sink.counts["refusals.unknown_model"] == 1
    assert (sink.counts["tokens.generated"], sink.counts["tokens.wasted"]) == (tokens, 0)
    assert sink.counts["classes.draft.in_time"] + sink.counts["classes.draft.late"] == 1
    assert len(sink.timings["classes.draft.first_token"]) == 1
    assert len(sink.timings["classes.draft.whole"]) == 1


async def test_tokens_of_an_incomplete_answer_are_counted_as_wasted(deployment):
    """The only engine crashes while it answers, so the answer stays incomplete.

    The count shows the organisations that share the costs how much the crashes cost.
    """
    async with deployment(engines=1, base_step_s=0.005, restart_s=60.0) as running:
        (entry,) = running.entries
        sink = entry.metrics = entry.runner.metrics = MemorySink()
        body = chat_body("ceremony", stream=True, max_tokens=400)
        async with running.post("/v1/chat/completions", body) as response:
            await until(lambda: is_answering(running.engines[0], 5))
            running.engines[0].crash(60.0)
            text, _, _ = await read_stream(response)
    assert sink.counts["tokens.wasted"] == len(text.split())
    assert sink.counts["tokens.generated"] == 0
