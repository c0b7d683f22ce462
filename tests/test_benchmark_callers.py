"""Tests that the benchmark callers distinguish a complete answer from every kind of wrong one.

If a truncated or foreign answer were classified as complete, every benchmark and the demo would
report success despite faults.
"""

import sys
from pathlib import Path

import attrs
import pytest
from aiohttp import web

from burdockquay_standins import (
    EngineParameters,
    EngineStandin,
    ServiceStandin,
    StandinServer,
    expected_answer,
)
from burdockquay_standins._chat import ChatFormat
from burdockquay_state import ClassRecord

BENCHMARKS = str(Path(__file__).parent.parent / "benchmarks")
SEED = 3
BODY = {
    "model": "standin",
    "messages": [{"role": "user", "content": "the chapel of Kolin"}],
    "stream": True,
    "max_tokens": 20,
    "min_tokens": 20,
}


@pytest.fixture
def callers(monkeypatch):
    monkeypatch.syspath_prepend(BENCHMARKS)
    import _callers

    yield _callers
    sys.modules.pop("_callers")


@pytest.fixture
def summary(callers):
    import _summary

    yield _summary
    sys.modules.pop("_summary")


class FixedAnswer(StandinServer):
    """Server that answers every request with the same status and content."""

    def __init__(self, status, content):
        super().__init__()
        self.status = status
        self.content = content

    def routes(self):
        return [web.post("/{path:.*}", self._serve)]

    async def _serve(self, request):
        return web.Response(status=self.status, body=self.content)


async def send_call(callers, server, path="/v1/chat/completions", **fields):
    call = callers.PlannedCall(0.0, server.url + path, "families", "eulogy", "key", BODY, **fields)
    (result,) = await callers.run_plan([call], SEED)
    return result


@pytest.mark.parametrize("stream", [True, False])
async def test_whole_answer(callers, stream):
    async with EngineStandin(EngineParameters(seed=SEED, base_step_s=0.001)) as server:
        call = callers.PlannedCall(
            0.0,
            f"{server.url}/v1/chat/completions",
            "families",
            "eulogy",
            "key",
            BODY | {"stream": stream},
        )
        (result,) = await callers.run_plan([call], SEED)
    assert (result.outcome, result.status) == ("whole", 200)
    assert not stream or result.tokens == 20


def events(tokens, ended=True):
    form = ChatFormat("r", "standin", 0)
    return form.chunks(tokens) + (form.last_chunk("stop", {}) if ended else b"")


TOKENS = expected_answer(BODY, SEED)
ERROR = b'{"error": {"type": "overloaded", "message": "", "run": "not_run"}}'


@pytest.mark.parametrize(
    ("status", "content", "outcome", "error"),
    [
        (200, events(TOKENS), "whole", ""),
        (200, events(TOKENS[:-1]), "truncated", ""),
        (200, events([]), "truncated", ""),
        (200, events(TOKENS[:5] + TOKENS[4:]), "mixed", ""),
        (200, events(TOKENS[:5] + TOKENS[6:]), "mixed", ""),
        (200, events([*TOKENS, "w1 "]), "mixed", ""),
        (200, events(TOKENS, ended=False), "broken", "connection"),
        (200, events(TOKENS[:3], ended=False) + b"data: " + ERROR, "broken", "overloaded"),
        (503, ERROR, "refused", "overloaded"),
        (503, b"<html>", "refused", ""),
    ],
)
async def test_each_wrong_answer_is_distinguished(callers, status, content, outcome, error):
    async with FixedAnswer(status, content) as server:
        result = await send_call(callers, server)
    assert (result.outcome, result.error) == (outcome, error)


async def test_answer_of_another_seed_is_mixed(callers):
    async with EngineStandin(EngineParameters(seed=SEED + 1, base_step_s=0.001)) as server:
        assert (await send_call(callers, server)).outcome == "mixed"


async def test_crash_is_broken_and_caller_timeout_is_left(callers):
    async with EngineStandin(EngineParameters(seed=SEED, base_step_s=0.02)) as server:
        server.faults.set_switches({"crash_after_tokens": 3}, 0.0)
        assert (await send_call(callers, server)).outcome == "broken"
    async with EngineStandin(EngineParameters(seed=SEED, base_step_s=10.0)) as server:
        assert (await send_call(callers, server, patience_s=0.05)).outcome == "left"


async def test_service_answer_is_checked_by_its_digest(callers):
    async with ServiceStandin() as server:
        own = await send_call(callers, server, "/chapel", key="k", service_path="/chapel")
        other = await send_call(callers, server, "/hearse", key="k", service_path="/chapel")
    assert (own.outcome, other.outcome) == ("whole", "mixed")


def test_attainment_counts_refusals_and_late_answers_as_missed(callers, summary):
    target = ClassRecord("eulogy", 1, 1.0, 0.1, 5.0)
    good = callers.CallResult("families", "eulogy", "whole", 200, "", 1.0, 0.1, tokens=7)
    results = [
        good,
        attrs.evolve(good, first_token_s=1.1),
        attrs.evolve(good, between_tokens_s=0.2),
        attrs.evolve(good, outcome="refused", tokens=0),
    ]
    assert summary.attainment(results, {"eulogy": target}) == {"eulogy": 0.25}
    assert summary.goodput_tokens(results, {"eulogy": target}) == 7
    assert summary.delivered_tokens(results) == 21
