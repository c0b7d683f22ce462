"""Engine stand-in: continuous batching over HTTP, with fault injection."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter, OrderedDict, deque
from typing import Any, ClassVar

import attrs
from aiohttp import web

from burdockquay_state import Constraint, InstanceOf, Interval, ListOf, check_parameters

from ._answers import expected_answer, prompt_blocks
from ._batch import Batch, GeneratedSequence, SequenceState
from ._chat import ChatFormat, ChatRequest, finish_reason, parse_chat
from ._faults import EngineFaults
from ._lagged import Lagged
from ._orders import OrderExecutor, parse_order
from ._prefix import PrefixCache
from ._server import StandinServer, bad_request, cut_connection, read_object

MAX_COUNTED_REQUESTS = 100_000
"""Maximum number of requests whose starts are counted."""
MAX_STEP_LAG_S = 0.05
"""Lag of the step loop, seconds, above which it continues from now instead of catching up."""


@attrs.frozen
class EngineParameters:
    """Parameters of an engine stand-in.

    Parameters
    ----------
    seed : int
        Determines the answers; the same for all engines of a test.
    places : int
        Maximum number of sequences that run at the same time.
    base_step_s, per_running_s : float
        A step takes ``base_step_s + per_running_s * running`` seconds.
    prefill_block_s : float
        Prefill time of a prompt block that is not in the prefix cache, seconds.
    cache_blocks : int
        Capacity of the prefix cache, blocks.
    load_lag_s, event_lag_s : float
        Age of the load report and of published cache events, seconds.
    event_loss : float
        Probability that a cache event is never published.
    models : list of str
        Models that are loaded initially.
    checks_fencing : bool
        Whether orders with an outdated fencing number are rejected.
    poison_marker : str
        A request whose body contains this text crashes the engine; empty for none.
    poison_after_tokens : int
        Number of tokens generated for such a request before the crash.
    restart_s : float
        Time for which the engine refuses connections after a crash, seconds.
    cold_s : float
        Time for which the engine is cold after it starts to listen, seconds.
    cold_most : int
        Chat requests in any second of that time above which it crashes.
    software_version : str
        Stated in each answer; empty if the engine states none.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "seed": [InstanceOf(int)],
        "places": [Interval(int, 1, 4096)],
        "base_step_s": [Interval(float, 0.0, 10.0)],
        "per_running_s": [Interval(float, 0.0, 1.0)],
        "prefill_block_s": [Interval(float, 0.0, 1.0)],
        "cache_blocks": [Interval(int, 1, 1_000_000)],
        "load_lag_s": [Interval(float, 0.0, 3600.0)],
        "event_lag_s": [Interval(float, 0.0, 3600.0)],
        "event_loss": [Interval(float, 0.0, 1.0)],
        "models": [ListOf(InstanceOf(str))],
        "checks_fencing": [InstanceOf(bool)],
        "poison_marker": [InstanceOf(str)],
        "poison_after_tokens": [Interval(int, 1, 1_000_000)],
        "restart_s": [Interval(float, 0.0, 3600.0)],
        "cold_s": [Interval(float, 0.0, 3600.0)],
        "cold_most": [Interval(int, 1, 1_000_000)],
        "software_version": [InstanceOf(str)],
    }

    seed: int = 1
    places: int = 8
    base_step_s: float = 0.004
    per_running_s: float = 0.0002
    prefill_block_s: float = 0.0005
    cache_blocks: int = 1024
    load_lag_s: float = 1.0
    event_lag_s: float = 0.5
    event_loss: float = 0.05
    models: list[str] = attrs.field(factory=lambda: ["standin"])
    checks_fencing: bool = False
    poison_marker: str = ""
    poison_after_tokens: int = 3
    restart_s: float = 1.0
    cold_s: float = 0.0
    cold_most: int = 1
    software_version: str = ""


class EngineStandin(StandinServer):
    """Model engine that speaks the protocol of ``docs/design/standins.md``.

    Parameters
    ----------
    parameters : EngineParameters
    host : str
    port : int
    """

    def __init__(
        self,
        parameters: EngineParameters | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        super().__init__(host, port)
        self.parameters = parameters or EngineParameters()
        check_parameters(self.parameters)
        rng = random.Random(self.parameters.seed)
        self.batch = Batch(self.parameters.places)
        self.cache = PrefixCache(
            self.parameters.cache_blocks,
            self.parameters.event_lag_s,
            self.parameters.event_loss,
            rng,
        )
        self.orders = OrderExecutor(self.parameters.checks_fencing)
        self.orders.models.extend(self.parameters.models)
        self.faults = EngineFaults()
        self.tokens_generated = 0
        self.resume_mismatches = 0
        self.starts: OrderedDict[str, int] = OrderedDict()
        self.ends: Counter[str] = Counter()
        self.cold_until = float("-inf")
        self._cold_starts: deque[float] = deque()
        self._sequences: dict[str, GeneratedSequence] = {}
        self._load = Lagged(self._current_load(), self.parameters.load_lag_s)
        self._work_available = asyncio.Event()

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the engine."""
        return [
            web.post("/v1/chat/completions", self._complete),
            web.post("/requests/{request}/{action:pause|resume|cancel}", self._control),
            web.get("/load", self._read_load),
            web.get("/events", self._read_events),
            web.get("/healthz", self._read_health),
            web.get("/models", self._read_models),
            web.post("/orders", self._order),
            web.post("/faults", self._set_faults),
            web.get("/stats", self._read_stats),
        ]

    async def _listen(self) -> None:
        await super()._listen()
        self.cold_until = time.monotonic() + self.parameters.cold_s

    def _bears_start(self, now: float) -> bool:
        """Count a chat request; return whether the engine, if it is cold, can bear it."""
        if now >= self.cold_until:
            return True
        self._cold_starts.append(now)
        while self._cold_starts[0] <= now - 1.0:
            self._cold_starts.popleft()
        return len(self._cold_starts) <= self.parameters.cold_most

    async def start(self) -> None:
        """Start to listen and to generate tokens."""
        await super().start()
        self.spawn(self._generate())

    async def _generate(self) -> None:
        # The clock of the event loop is coarse and cached: with it a step would last up to a
        # millisecond longer, depending on when a request arrives.
        due = time.monotonic()
        while True:
            if not self.batch.running:
                self._work_available.clear()
                await self._work_available.wait()
                due = time.monotonic()
            due += self._step_s()
            await self._sleep_until(due)
            if time.monotonic() - due > MAX_STEP_LAG_S:
                due = time.monotonic()
            self._step()

    async def _sleep_until(self, due: float) -> None:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        while (stalled := self.faults.stalled_until - time.monotonic()) > 0.0:
            await asyncio.sleep(stalled)

    def _step(self) -> None:
        generated = self.batch.step(self._step_s())
        self.tokens_generated += generated
        self._load.record(self._current_load(), time.monotonic())
        if self.faults.count_tokens(generated) or self._has_poisoned_sequence():
            self._crash()

    def _step_s(self) -> float:
        running = len(self.batch.running)
        step_s = self.parameters.base_step_s + self.parameters.per_running_s * running
        return step_s * self.faults.slow_factor

    def _has_poisoned_sequence(self) -> bool:
        after = self.parameters.poison_after_tokens
        return any(part.poisonous and part.generated >= after for part in self.batch.running)

    def _crash(self) -> None:
        self.crash(self.parameters.restart_s)
        self.batch.crash()
        self.cache.clear()

    def _current_load(self) -> dict[str, Any]:
        return {
            "running": len(self.batch.running),
            "queued": self.batch.queued,
            "paused": len(self.batch.paused),
            "step_s": self._step_s(),
        }

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        if self.faults.refuse:
            return web.json_response({"error": "refused"}, status=503)
        if not self._bears_start(time.monotonic()):
            self._crash()
            return cut_connection(request)
        raw = await request.read()
        body = await read_object(request)
        try:
            chat = parse_chat(body)
            priority = int(request.headers.get("X-Priority", "0"))
        except ValueError as error:
            raise bad_request(str(error)) from error
        if chat.model not in self.orders.models:
            return web.json_response({"error": f"unknown model {chat.model!r}"}, status=404)
        name = request.headers.get("X-Request-Id") or f"engine-{len(self.starts)}"
        if name in self._sequences:
            return web.json_response({"error": f"request {name!r} is running"}, status=409)
        sequence = self._sequence(name, body, chat, priority, raw)
        return await self._run(request, sequence, body, chat)

    async def _run(
        self,
        request: web.Request,
        sequence: GeneratedSequence,
        body: dict[str, Any],
        chat: ChatRequest,
    ) -> web.StreamResponse:
        self._count_start(sequence.request)
        self._sequences[sequence.request] = sequence
        self._admit(sequence)
        answer = self._answer_streamed if chat.streamed else self._answer_unstreamed
        try:
            response = await answer(request, sequence, body, chat)
        finally:
            del self._sequences[sequence.request]
            self.batch.cancel(sequence)
            self.ends[sequence.state.value] += 1
        return response

    def _sequence(
        self, name: str, body: dict[str, Any], chat: ChatRequest, priority: int, raw: bytes
    ) -> GeneratedSequence:
        tokens = expected_answer(body, self.parameters.seed)
        start = min(len(chat.resume_tokens), len(tokens))
        self.resume_mismatches += chat.resume_tokens != tokens[:start]
        blocks = prompt_blocks(body)
        misses = len(blocks) - self.cache.admit(blocks, time.monotonic())
        marker = self.parameters.poison_marker.encode()
        return GeneratedSequence(
            name,
            tokens,
            start,
            priority,
            prefill_s=misses * self.parameters.prefill_block_s,
            poisonous=bool(marker) and marker in raw,
        )

    def _admit(self, sequence: GeneratedSequence) -> None:
        if sequence.start == len(sequence.tokens):
            sequence.state = SequenceState.FINISHED
            return
        self.batch.add(sequence)
        self._load.record(self._current_load(), time.monotonic())
        self._work_available.set()

    def _count_start(self, name: str) -> None:
        self.starts[name] = self.starts.pop(name, 0) + 1
        if len(self.starts) > MAX_COUNTED_REQUESTS:
            self.starts.popitem(last=False)

    async def _answer_streamed(
        self,
        request: web.Request,
        sequence: GeneratedSequence,
        body: dict[str, Any],
        chat: ChatRequest,
    ) -> web.StreamResponse:
        formatter = ChatFormat(sequence.request, chat.model, int(time.time()))
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        if self.parameters.software_version:
            response.headers["X-Software-Version"] = self.parameters.software_version
        await response.prepare(request)
        while True:
            await sequence.wait()
            tokens = sequence.take_new_tokens()
            if sequence.ended:
                break
            await response.write(formatter.chunks(tokens))
        if sequence.state is not SequenceState.FINISHED:
            return cut_connection(request)
        last = formatter.last_chunk(finish_reason(body, sequence.tokens), _usage(chat, sequence))
        await response.write(formatter.chunks(tokens) + last)
        return response

    async def _answer_unstreamed(
        self,
        request: web.Request,
        sequence: GeneratedSequence,
        body: dict[str, Any],
        chat: ChatRequest,
    ) -> web.StreamResponse:
        while not sequence.ended:
            await sequence.wait()
            sequence.take_new_tokens()
        if sequence.state is not SequenceState.FINISHED:
            return cut_connection(request)
        formatter = ChatFormat(sequence.request, chat.model, int(time.time()))
        tokens = sequence.tokens[sequence.start :]
        reason = finish_reason(body, sequence.tokens)
        return web.json_response(formatter.complete_answer(tokens, reason, _usage(chat, sequence)))

    async def _control(self, request: web.Request) -> web.Response:
        sequence = self._sequences.get(request.match_info["request"])
        actions = {
            "pause": self.batch.pause,
            "resume": self.batch.resume,
            "cancel": self.batch.cancel,
        }
        if sequence is None or not actions[request.match_info["action"]](sequence):
            return web.json_response({"error": "no such request"}, status=404)
        self._work_available.set()
        return web.json_response({"generated": sequence.position})

    async def _read_load(self, _: web.Request) -> web.Response:
        return web.json_response(self._load.read(time.monotonic()))

    async def _read_events(self, request: web.Request) -> web.Response:
        try:
            after = int(request.query.get("after", "0"))
        except ValueError as error:
            raise bad_request("expected an integer 'after'") from error
        events = self.cache.events(after, time.monotonic())
        return web.json_response({"events": [attrs.asdict(event) for event in events]})

    async def _read_health(self, _: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _read_models(self, _: web.Request) -> web.Response:
        return web.json_response({"models": self.orders.models, "role": self.orders.role})

    async def _order(self, request: web.Request) -> web.Response:
        try:
            order = parse_order(await read_object(request))
        except ValueError as error:
            raise bad_request(str(error)) from error
        if not self.orders.execute(*order):
            error = f"expected a fencing number of at least {self.orders.highest_fencing}"
            return web.json_response({"error": error}, status=409)
        return web.json_response({"done": order[0]})

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            crash = self.faults.set_switches(await read_object(request), time.monotonic())
        except ValueError as error:
            raise bad_request(str(error)) from error
        if crash:
            asyncio.get_running_loop().call_soon(self._crash)
        return web.json_response({})

    async def _read_stats(self, _: web.Request) -> web.Response:
        return web.Response(text=json.dumps(self.stats()), content_type="application/json")

    def stats(self) -> dict[str, Any]:
        """Return the counters since the start, which crashes do not reset."""
        return {
            "tokens_generated": self.tokens_generated,
            "starts": self.starts,
            "ends": self.ends,
            "crashes": self.crashes,
            "max_queued": self.batch.max_queued,
            "resume_mismatches": self.resume_mismatches,
            "orders": self.orders.effects,
            "orders_refused": self.orders.refused,
            "load": self._current_load(),
        }


def _usage(chat: ChatRequest, sequence: GeneratedSequence) -> dict[str, int]:
    prompt = chat.prompt_characters // 4 + 1
    return {
        "prompt_tokens": prompt,
        "completion_tokens": len(sequence.tokens),
        "total_tokens": prompt + len(sequence.tokens),
    }
