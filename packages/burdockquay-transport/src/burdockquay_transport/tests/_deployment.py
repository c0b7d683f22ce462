"""Small deployment inside the test process: stand-ins, slots and entries on loopback."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
from collections.abc import Sequence
from typing import Any

import aiohttp

from burdockquay_coordination import make_key_digest
from burdockquay_standins import (
    EngineParameters,
    EngineStandin,
    PlatformParameters,
    PlatformStandin,
    ServiceParameters,
    ServiceStandin,
)
from burdockquay_state import (
    ClassRecord,
    GroupRecord,
    OrganisationRecord,
    PolicyRecord,
    RecordLog,
    RouteRecord,
    VmEntry,
)
from burdockquay_transport import EntrySettings, PlatformSettings, SlotSettings
from burdockquay_transport.entry import Entry
from burdockquay_transport.slot import Slot

PEER_KEY = "ab" * 32
API_KEY = "parish.secret"
MODEL = "standin"
_SALT = "00" * 8

RECORDS = [
    ClassRecord("hold", 100, 0.5, 0.05, 5.0, 0.2, True, False, 1),
    ClassRecord("draft", 10, 2.0, 0.1, 5.0, 0.3),
    GroupRecord("drafting", "engine", [MODEL], places=4),
    GroupRecord("booking", "service", [], places=4),
    RouteRecord("chat", "draft", "drafting", path_prefix="/v1/"),
    RouteRecord("urgent-chat", "hold", "drafting", 5, path_prefix="/v1/", service_class="hold"),
    RouteRecord("booking", "hold", "booking", path_prefix="/services/booking", idempotent=False),
    OrganisationRecord("parish", _SALT, [make_key_digest(_SALT, API_KEY)]),
    PolicyRecord(),
]


async def put_records(log: RecordLog, records: list[Any]) -> int:
    """Put records into the log one by one and return the last revision."""
    revision = 0
    for record in records:
        found = (await log.get(record.kind, record.name)).ok()
        expected = found.entry.revision if found else 0
        accepted = await log.put([record], "test", expected, 0.0)
        revision = accepted.ok().revision
    return revision


class Deployment:
    """Stand-ins, slots and entries that are started and stopped together."""

    def __init__(
        self,
        engines: int = 2,
        services: int = 0,
        entries: int = 1,
        leave_delay_s: float = 0.0,
        era: int = 0,
        domains: Sequence[str] = ("north",),
        **engine: Any,
    ):
        self.domains = domains
        self.slot_settings: dict[str, Any] = {}
        self.engine_parameters = {"base_step_s": 0.001, "per_running_s": 0.0, **engine}
        self.counts = (engines, services, entries)
        self.leave_delay_s = leave_delay_s
        self.platform = PlatformStandin(PlatformParameters(era=era))
        self.engines: list[EngineStandin] = []
        self.services: list[ServiceStandin] = []
        self.slots: list[Slot] = []
        self.entries: list[Entry] = []

    async def __aenter__(self) -> Deployment:
        await self.platform.start()
        self.log = RecordLog(self.platform.table)
        self.revision = await put_records(self.log, RECORDS)
        engines, services, entries = self.counts
        for _ in range(engines):
            await self.add_engine()
        for _ in range(services):
            await self.add_service()
        for index in range(entries):
            await self.add_entry(f"entry-{index}")
        self.session = aiohttp.ClientSession()
        for entry in self.entries:
            await until(lambda entry=entry: self.is_connected(entry))
        return self

    async def __aexit__(self, *details: Any) -> None:
        await self.session.close()
        for process in [*self.entries, *self.slots]:
            await process.close()
        for standin in [*self.engines, *self.services, self.platform]:
            await standin.stop()

    def is_connected(self, entry: Entry) -> bool:
        """Return whether an entry is ready and connected to every slot."""
        # Checked on both sides, since an entry completes the handshake before the slot does.
        connected = [member for member in entry.describe()["members"] if member["connected"]]
        peers = [member["vm"] for slot in self.slots for member in slot.describe()["members"]]
        is_known = peers.count(entry.identity.vm) == len(self.slots)
        return entry.ready and is_known and len(connected) == len(self.slots)

    async def add_engine(self, **changes) -> EngineStandin:
        """Start an engine and its slot; the parameters may differ from those of the others."""
        engine = EngineStandin(EngineParameters(**self.engine_parameters | changes))
        await engine.start()
        self.engines.append(engine)
        domain = self.domains[(len(self.engines) - 1) % len(self.domains)]
        name = f"engine-{len(self.engines)}"
        await self.add_slot(name, "drafting", engine.url, domain, **self.slot_settings)
        return engine

    async def add_service(self) -> ServiceStandin:
        """Start a plain service and its slot."""
        service = ServiceStandin(ServiceParameters())
        await service.start()
        self.services.append(service)
        await self.add_slot(f"service-{len(self.services)}", "booking", service.url)
        return service

    async def add_slot(
        self, vm: str, group: str, upstream_url: str, domain: str = "north", **changes: Any
    ) -> Slot:
        """Start a slot and add it to the VM list."""
        settings = SlotSettings(
            vm,
            domain,
            PEER_KEY,
            self._platform(),
            group=group,
            upstream_url=upstream_url,
            probe_interval_s=0.02,
            poll_interval_s=0.1,
            **changes,
        )
        slot = Slot(settings, rng=random.Random(1))
        await slot.start()
        self.slots.append(slot)
        self.platform.put_vm(
            VmEntry(vm, "slot", "127.0.0.1", slot.port, slot.status_port, domain, group)
        )
        return slot

    async def add_entry(self, vm: str, **parts: Any) -> Entry:
        """Start an entry and add it to the VM list."""
        settings = EntrySettings(
            vm,
            "north",
            PEER_KEY,
            self._platform(),
            vm_list_interval_s=0.05,
            poll_interval_s=0.1,
            leave_delay_s=self.leave_delay_s,
        )
        entry = Entry(settings, rng=random.Random(2), **parts)
        await entry.start()
        self.entries.append(entry)
        self.platform.put_vm(
            VmEntry(vm, "entry", "127.0.0.1", entry.port, entry.status_port, "north")
        )
        return entry

    def slot(self, vm: str) -> Slot:
        """Return the slot on a VM."""
        return next(slot for slot in self.slots if slot.identity.vm == vm)

    async def ask(self, path: str, body: Any, **headers: str) -> tuple[int, Any]:
        """Return status and JSON of the answer of the first entry."""
        async with self.post(path, body, **headers) as response:
            return response.status, await response.json()

    async def wait_for_answering_slot(self) -> Slot:
        """Wait until an answer is being generated, and return its slot.

        Engine and slot are checked together, since a short answer can end between two checks.
        """
        found: list[Slot] = []

        def find_answering_slot() -> bool:
            pairs = zip(self.slots, self.engines, strict=True)
            found[:] = [
                slot
                for slot, engine in pairs
                if is_answering(engine, 5) and slot.describe()["running"]
            ]
            return bool(found)

        await until(find_answering_slot)
        return found[0]

    async def ask_stream(self, body: Any, **headers: str) -> tuple[str, bool, dict | None]:
        """Return the result of :func:`read_stream` for a streamed chat."""
        async with self.post("/v1/chat/completions", body, **headers) as response:
            return await read_stream(response)

    def _platform(self) -> PlatformSettings:
        url = self.platform.url
        return PlatformSettings(url, url, url)

    def url(self, path: str, entry: int = 0) -> str:
        """Return the URL of a path at an entry."""
        return f"http://127.0.0.1:{self.entries[entry].port}{path}"

    def post(self, path: str, body: Any, entry: int = 0, **headers: str):
        """Post JSON with the API key; return the context manager of aiohttp."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.session.post(
            self.url(path, entry),
            json=body,
            headers={"Authorization": f"Bearer {API_KEY}", **named},
        )


def callers_requests(engine: EngineStandin) -> list[str]:
    """Return the ids of the callers' requests that an engine started, without probes."""
    return [request for request in engine.starts if not request.startswith("engine-")]


def is_answering(engine: EngineStandin, tokens: int) -> bool:
    """Return whether an engine has a caller's request and generated more than ``tokens`` tokens.

    Both are checked, since the probes of a slot generate tokens too, possibly before the caller's
    request arrives.
    """
    return bool(callers_requests(engine)) and engine.tokens_generated > tokens


def chat_body(text: str = "", stream: bool = False, max_tokens: int = 20) -> dict[str, Any]:
    """Return the body of a chat request."""
    message = {"role": "user", "content": text or secrets.token_hex(4)}
    return {"model": MODEL, "messages": [message], "stream": stream, "max_tokens": max_tokens}


async def read_stream(response: aiohttp.ClientResponse) -> tuple[str, bool, dict | None]:
    """Return the text of a stream, whether it is complete, and its error event."""
    text, complete, error = [], False, None
    try:
        async for line in response.content:
            if line == b"data: [DONE]\n":
                complete = True
            elif line.startswith(b"data: "):
                event = json.loads(line[6:])
                error = event.get("error", error)
                for choice in event.get("choices", []):
                    text.append(choice["delta"].get("content", ""))
    except aiohttp.ClientError:
        complete = False
    return "".join(text), complete, error


async def until(condition: Any, timeout_s: float = 20.0) -> None:
    """Wait until a condition holds; the test fails at the timeout."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
