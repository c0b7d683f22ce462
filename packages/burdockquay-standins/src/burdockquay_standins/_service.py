"""Plain service stand-in, which counts effects by idempotency key, with fault injection."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from typing import Any, ClassVar

import attrs
from aiohttp import web

from burdockquay_state import Constraint, InstanceOf, Interval, check_parameters

from ._faults import check_switches
from ._server import StandinServer, bad_request, cut_connection, read_object

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
NO_KEY = ""
"""Key under which the effects of requests without an idempotency key are counted."""

_SWITCHES: dict[str, Constraint] = {
    "delay_s": Interval(float, 0.0, 3600.0),
    "cut_before": Interval(int, 0, 1_000_000_000),
    "cut_after": Interval(int, 0, 1_000_000_000),
    "crash": InstanceOf(bool),
}


@attrs.frozen
class ServiceParameters:
    """Parameters of a plain service stand-in.

    Parameters
    ----------
    delay_s : float
        Time between a request and its effect, seconds.
    deduplicates : bool
        Whether a repeated key gets the first answer and has no second effect.
    restart_s : float
        Time for which the service refuses connections after a crash, seconds.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "delay_s": [Interval(float, 0.0, 3600.0)],
        "deduplicates": [InstanceOf(bool)],
        "restart_s": [Interval(float, 0.0, 3600.0)],
    }

    delay_s: float = 0.002
    deduplicates: bool = False
    restart_s: float = 1.0


def service_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest of a request, which the service includes in its answer."""
    identity = f"{method} {path}\n".encode() + body
    return hashlib.blake2b(identity, digest_size=16).hexdigest()


class ServiceStandin(StandinServer):
    """Plain service that accepts every method on every path; unsafe methods have an effect.

    ``GET /effects`` returns the number of effects by key. ``POST /faults`` accepts ``delay_s``,
    ``cut_before`` and ``cut_after`` (the number of next requests whose connection is aborted before
    or after their effect) and ``crash``.

    Parameters
    ----------
    parameters : ServiceParameters
    host : str
    port : int
    """

    def __init__(
        self,
        parameters: ServiceParameters | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        super().__init__(host, port)
        self.parameters = parameters or ServiceParameters()
        check_parameters(self.parameters)
        self.effects: Counter[str] = Counter()
        self.requests = 0
        self.delay_s = self.parameters.delay_s
        self.cuts = {"cut_before": 0, "cut_after": 0}
        self._answers: dict[str, dict[str, Any]] = {}

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the service."""
        return [
            web.get("/effects", self._read_effects),
            web.get("/healthz", self._read_health),
            web.get("/stats", self._read_stats),
            web.post("/faults", self._set_faults),
            web.route("*", "/{path:.*}", self._serve),
        ]

    async def _serve(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.requests += 1
        key = request.headers.get("Idempotency-Key", NO_KEY)
        if self._consume_cut("cut_before"):
            return cut_connection(request)
        await asyncio.sleep(self.delay_s)
        answer = self._apply_effect(request, key, body)
        if self._consume_cut("cut_after"):
            return cut_connection(request)
        return web.json_response(answer)

    def _apply_effect(self, request: web.Request, key: str, body: bytes) -> dict[str, Any]:
        digest = service_digest(request.method, request.path_qs, body)
        if request.method in SAFE_METHODS:
            return {"digest": digest, "effect": 0}
        if self.parameters.deduplicates and key in self._answers:
            return self._answers[key]
        self.effects[key] += 1
        answer = {"digest": digest, "effect": self.effects.total()}
        if key != NO_KEY:
            self._answers[key] = answer
        return answer

    def _consume_cut(self, switch: str) -> bool:
        if self.cuts[switch] == 0:
            return False
        self.cuts[switch] -= 1
        return True

    async def _read_effects(self, _: web.Request) -> web.Response:
        return web.json_response(self.effects)

    async def _read_health(self, _: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _read_stats(self, _: web.Request) -> web.Response:
        return web.json_response(
            {
                "requests": self.requests,
                "effects": self.effects.total(),
                "crashes": self.crashes,
            }
        )

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await read_object(request)
        try:
            check_switches(_SWITCHES, body)
        except ValueError as error:
            raise bad_request(str(error)) from error
        self.delay_s = body.get("delay_s", self.delay_s)
        for switch in self.cuts:
            self.cuts[switch] = body.get(switch, self.cuts[switch])
        if body.get("crash"):
            asyncio.get_running_loop().call_soon(self.crash, self.parameters.restart_s)
        return web.json_response({})
