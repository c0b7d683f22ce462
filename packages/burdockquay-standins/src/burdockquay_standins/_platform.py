"""Platform stand-in: table service, object store and VM list over HTTP, with fault injection."""

from __future__ import annotations

import asyncio
import copy
import hashlib
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar

import attrs
from aiohttp import web

from burdockquay_state import (
    Constraint,
    InstanceOf,
    Interval,
    MemoryTable,
    OneOf,
    TableErrorKind,
    VmEntry,
    VmState,
    check_parameters,
    number_of,
)

from ._faults import check_switches
from ._lagged import Lagged
from ._operations import parse_keys, parse_operations, parse_scan, row_to_json
from ._server import StandinServer, bad_request, cut_connection, read_object

ERA_HEADER = "Table-Era"

_SWITCHES: dict[str, Constraint] = {
    "outage": InstanceOf(bool),
    "hang": InstanceOf(bool),
    "slow_s": Interval(float, 0.0, 3600.0),
    "lose_confirmation": Interval(float, 0.0, 1_000_000_000),
    "stale_reads_s": Interval(float, 0.0, 3600.0),
    "copy": InstanceOf(bool),
    "return_to_copy": InstanceOf(bool),
}


@attrs.frozen
class PlatformParameters:
    """Parameters of the platform stand-in.

    Parameters
    ----------
    seed : int
        Seed of the generator that decides which confirmations are dropped.
    vm_list_lag_s : float
        Age of the VM list that is served, seconds.
    era : int
        Initial era of the table; 0 for a table without eras.
    """

    _constraints: ClassVar[dict[str, list[Constraint]]] = {
        "seed": [InstanceOf(int)],
        "vm_list_lag_s": [Interval(float, 0.0, 3600.0)],
        "era": [Interval(int, 0)],
    }

    seed: int = 1
    vm_list_lag_s: float = 0.0
    era: int = 0


@attrs.define
class PlatformFaults:
    """Faults of the platform that are active now.

    Parameters
    ----------
    outage : bool
        Every call is answered with 503 and is never executed.
    slow_s : float
        Delay of every call before it is executed, seconds.
    drop_share : float
        Probability that a transaction takes effect but gets no answer.
    drop_next : int
        Number of the next transactions that take effect but get no answer.
    stale_until : float
        Monotonic time, in seconds, until which reads are answered from the state at the time of
        the switch.
    """

    outage: bool = False
    slow_s: float = 0.0
    drop_share: float = 0.0
    drop_next: int = 0
    stale_until: float = 0.0


class PlatformStandin(StandinServer):
    """Table service, object store and VM list; ``docs/design/standins.md`` has the protocol.

    Parameters
    ----------
    parameters : PlatformParameters
    host : str
    port : int
    """

    def __init__(
        self,
        parameters: PlatformParameters | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
    ):
        super().__init__(host, port)
        self.parameters = parameters or PlatformParameters()
        check_parameters(self.parameters)
        self.table = MemoryTable(self.parameters.era)
        self._copy = self.table.copy()
        self.objects: dict[str, bytes] = {}
        self.vms: dict[str, VmEntry] = {}
        self.faults = PlatformFaults()
        self.counts = dict.fromkeys(
            ("reads", "writes", "conflicts", "object_reads", "object_writes", "vm_reads"), 0
        )
        self._rng = random.Random(self.parameters.seed)
        self._stale_table = self.table
        self._served_vms: Lagged[dict[str, VmEntry]] = Lagged({}, self.parameters.vm_list_lag_s)
        self._answering = asyncio.Event()
        self._answering.set()

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the routes of the platform."""
        return [
            web.post("/table/get", self._with_faults(self._with_era_header(self._get))),
            web.post("/table/scan", self._with_faults(self._with_era_header(self._scan))),
            web.post("/table/transact", self._with_faults(self._with_era_header(self._transact))),
            web.put("/objects/{digest}", self._with_faults(self._put_object)),
            web.get("/objects/{digest}", self._with_faults(self._get_object)),
            web.get("/vms", self._with_faults(self._list_vms)),
            web.put("/vms/{vm}", self._put_vm),
            web.delete("/vms/{vm}", self._delete_vm),
            web.post("/faults", self._set_faults),
            web.get("/stats", self._read_stats),
        ]

    def put_vm(self, entry: VmEntry) -> None:
        """Add a VM to the list, or replace its entry."""
        self.vms = {**self.vms, entry.vm: entry}
        self._served_vms.record(self.vms, time.monotonic())

    def remove_vm(self, vm: str) -> bool:
        """Remove a VM from the list; return whether it was listed."""
        was_listed = vm in self.vms
        self.vms = {name: entry for name, entry in self.vms.items() if name != vm}
        self._served_vms.record(self.vms, time.monotonic())
        return was_listed

    def set_switches(self, body: dict[str, Any], now: float) -> None:
        """Set the fault switches that the body names.

        An integer ``lose_confirmation`` is the number of the next transactions that take effect but
        get no answer; a float is the probability of that for each transaction.

        ``copy`` copies the table; ``return_to_copy`` restores it from the copy, one era later.

        Raises
        ------
        ValueError
            If a switch is unknown or its value is out of range; no switch is set then.
        """
        check_switches(_SWITCHES, body)
        self.faults.outage = body.get("outage", self.faults.outage)
        self.faults.slow_s = body.get("slow_s", self.faults.slow_s)
        if "hang" in body:
            (self._answering.clear if body["hang"] else self._answering.set)()
        if "lose_confirmation" in body:
            self._set_lost_confirmations(body["lose_confirmation"])
        if "stale_reads_s" in body:
            self.faults.stale_until = now + body["stale_reads_s"]
            self._stale_table = copy.deepcopy(self.table)
        if body.get("copy"):
            self._copy = self.table.copy()
        if body.get("return_to_copy"):
            self.table.restore_copy(self._copy)
            self.faults.stale_until = now

    def _set_lost_confirmations(self, amount: float) -> None:
        if isinstance(amount, int):
            self.faults.drop_next, self.faults.drop_share = amount, 0.0
            return
        if amount > 1.0:
            raise ValueError(f"lose_confirmation: expected a share from 0.0 to 1.0, got {amount!r}")
        self.faults.drop_next, self.faults.drop_share = 0, amount

    def _with_faults(
        self, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle_with_faults(request: web.Request) -> web.Response:
            await request.read()
            if self.faults.outage:
                return web.json_response({"error": "outage"}, status=503)
            if self.faults.slow_s:
                await asyncio.sleep(self.faults.slow_s)
            await self._answering.wait()
            try:
                return await handler(request)
            except ValueError as error:
                raise bad_request(str(error)) from error

        return handle_with_faults

    def _with_era_header(
        self, handler: Callable[[web.Request], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle_with_era(request: web.Request) -> web.Response:
            response = await handler(request)
            response.headers[ERA_HEADER] = str(self.table.era)
            return response

        return handle_with_era

    def _readable_table(self) -> MemoryTable:
        stale = time.monotonic() < self.faults.stale_until
        return self._stale_table if stale else self.table

    async def _get(self, request: web.Request) -> web.Response:
        keys = parse_keys(await read_object(request))
        self.counts["reads"] += 1
        rows = (await self._readable_table().get(keys)).unwrap()
        return web.json_response({"rows": [row_to_json(row) for row in rows]})

    async def _scan(self, request: web.Request) -> web.Response:
        prefix, after, limit = parse_scan(await read_object(request))
        self.counts["reads"] += 1
        rows = (await self._readable_table().scan(prefix, after, limit)).unwrap()
        return web.json_response({"rows": [row_to_json(row) for row in rows]})

    async def _transact(self, request: web.Request) -> web.Response:
        operations = parse_operations(await read_object(request))
        self.counts["writes"] += 1
        result = await self.table.transact(operations)
        if self._drops_confirmation():
            return cut_connection(request)
        if result.is_ok():
            versions = [version and number_of(version) for version in result.unwrap()]
            return web.json_response({"versions": versions})
        error = result.unwrap_err()
        assert error.kind is TableErrorKind.CONFLICT
        self.counts["conflicts"] += 1
        return web.json_response({"conflicts": list(error.conflicts)}, status=409)

    def _drops_confirmation(self) -> bool:
        if self.faults.drop_next > 0:
            self.faults.drop_next -= 1
            return True
        return self.faults.drop_share > 0.0 and self._rng.random() < self.faults.drop_share

    async def _put_object(self, request: web.Request) -> web.Response:
        self.counts["object_writes"] += 1
        self.objects[request.match_info["digest"]] = await request.read()
        return web.Response(status=204)

    async def _get_object(self, request: web.Request) -> web.Response:
        self.counts["object_reads"] += 1
        content = self.objects.get(request.match_info["digest"])
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def _list_vms(self, request: web.Request) -> web.Response:
        self.counts["vm_reads"] += 1
        visible_vms = self._served_vms.read(time.monotonic())
        response = web.json_response(
            {"vms": [_vm_to_json(entry) for entry in visible_vms.values()]}
        )
        response.etag = hashlib.sha256(response.body).hexdigest()
        if response.etag in (request.if_none_match or ()):
            return web.Response(status=304)
        return response

    async def _put_vm(self, request: web.Request) -> web.Response:
        body = await read_object(request)
        try:
            entry = _parse_vm(request.match_info["vm"], body)
        except ValueError as error:
            raise bad_request(str(error)) from error
        self.put_vm(entry)
        return web.Response(status=204)

    async def _delete_vm(self, request: web.Request) -> web.Response:
        was_listed = self.remove_vm(request.match_info["vm"])
        return web.Response(status=204 if was_listed else 404)

    async def _set_faults(self, request: web.Request) -> web.Response:
        body = await read_object(request)
        try:
            self.set_switches(body, time.monotonic())
        except ValueError as error:
            raise bad_request(str(error)) from error
        return web.json_response({})

    async def _read_stats(self, _: web.Request) -> web.Response:
        return web.json_response(self.counts)


_PORT = Interval(int, 0, 65535)
_TEXT = InstanceOf(str)
_VM_FIELDS: dict[str, Constraint] = {
    "role": OneOf(("entry", "slot")),
    "host": _TEXT,
    "port": _PORT,
    "status_port": _PORT,
    "failure_domain": _TEXT,
    "group": _TEXT,
    "state": OneOf(tuple(state.value for state in VmState)),
}
_VM_DEFAULTS = {"group": "", "state": VmState.LIVE.value}


def _parse_vm(vm: str, body: dict[str, Any]) -> VmEntry:
    fields = {**_VM_DEFAULTS, **body}
    fields.pop("vm", None)
    missing = sorted(set(_VM_FIELDS) - set(fields))
    if missing:
        raise ValueError(f"expected the keys {missing} too")
    check_switches(_VM_FIELDS, fields)
    state = VmState(fields.pop("state"))
    return VmEntry(vm=vm, state=state, **fields)


def _vm_to_json(entry: VmEntry) -> dict[str, Any]:
    return {**attrs.asdict(entry), "state": entry.state.value}
