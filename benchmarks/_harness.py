"""A deployment of real processes on loopback: platform, upstreams, slots and entries.

Only benchmarks and the demo start processes; the product itself never does.
"""

from __future__ import annotations

import asyncio
import json
import tempfile
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, Self

import aiohttp
import attrs
from _processes import Process, Processes, daemon_command, standin_command

from burdockquay_standins import DelayLine, EngineParameters, PlatformParameters, ServiceParameters
from burdockquay_state import RecordLog, VmEntry, VmState, make_record_change
from burdockquay_transport import HttpTable

PEER_KEY = "5b" * 32
READY_LIMIT_S = 30.0
POLL_S = 0.05
TABLE_TIMEOUT_S = 5.0


class Cluster:
    """Processes of one benchmark, all stopped when the context exits.

    Parameters
    ----------
    name : str
        Part of the name of the directory for settings and logs.
    keep : bool
        Keep that directory on exit.
    delay_s : float or None
        One-way latency between entries and slots, seconds; None connects them directly.

    Examples
    --------
    >>> async def run():
    ...     async with Cluster("path") as cluster:
    ...         await cluster.start_platform()
    ...         await cluster.put_records(records)
    ...         engine = await cluster.start_engine(EngineParameters())
    ...         await cluster.start_slot("slot-1", "advisor", "medeu", engine.url)
    ...         entry = await cluster.start_entry("entry-1", "medeu")
    ...         await cluster.wait_ready()
    """

    def __init__(self, name: str, keep: bool = False, delay_s: float | None = None):
        self.name = name
        self.keep = keep
        self.delay_s = delay_s
        self.lines: list[DelayLine] = []
        self._stack = AsyncExitStack()
        self.platform: Process | None = None
        self.upstreams: dict[str, Process] = {}
        self.slots: dict[str, Process] = {}
        self.entries: dict[str, Process] = {}
        self.vms: dict[str, VmEntry] = {}
        self._count = 0

    async def __aenter__(self) -> Self:
        self._directory = tempfile.TemporaryDirectory(prefix=f"burdockquay-{self.name}-")
        self.directory = Path(self._directory.name)
        self.processes = Processes(self.directory)
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()
        await self._stack.aclose()
        await self.processes.stop_all()
        if not self.keep:
            self._directory.cleanup()

    @property
    def log(self) -> RecordLog:
        """Record log in the platform's table."""
        return RecordLog(HttpTable(self.platform.url, TABLE_TIMEOUT_S, self.session))

    async def start_platform(self, parameters: PlatformParameters | None = None) -> Process:
        """Start the table service, object store and VM list."""
        command = standin_command("platform", parameters or PlatformParameters())
        self.platform = await self.processes.start("platform", command)
        return self.platform

    async def start_engine(self, parameters: EngineParameters, name: str = "") -> Process:
        """Start an engine."""
        return await self._start_upstream("engine", parameters, name)

    async def start_service(self, parameters: ServiceParameters, name: str = "") -> Process:
        """Start a plain service."""
        return await self._start_upstream("service", parameters, name)

    async def start_slot(
        self, vm: str, group: str, failure_domain: str, upstream_url: str, **settings: Any
    ) -> Process:
        """Start a slot and add its VM to the list."""
        settings |= {"group": group, "upstream_url": upstream_url}
        self.slots[vm] = await self._start_daemon("slot", vm, failure_domain, settings)
        return self.slots[vm]

    async def start_entry(self, vm: str, failure_domain: str, **settings: Any) -> Process:
        """Start an entry and add its VM to the list."""
        self.entries[vm] = await self._start_daemon("entry", vm, failure_domain, settings)
        return self.entries[vm]

    async def put_records(self, records: Sequence[Any], author: str = "bench") -> int:
        """Put all records, replacing any of the same names; return the revision.

        Raises
        ------
        RuntimeError
            If a record is not accepted; none of them is put in that case.
        """
        changes = [
            make_record_change([item], await self._current_revision(item)) for item in records
        ]
        accepted = await self.log.commit(changes, author, time.time())
        if accepted.is_err():
            raise RuntimeError(f"records not accepted: {accepted.err()}")
        return accepted.unwrap().revision

    async def put_vm(self, entry: VmEntry) -> None:
        """Add a VM to the platform's list, or replace its entry."""
        self.vms[entry.vm] = entry
        body = attrs.asdict(entry) | {"state": entry.state.value}
        async with self.session.put(f"{self.platform.url}/vms/{entry.vm}", json=body) as response:
            response.raise_for_status()

    async def set_vm_state(self, vm: str, state: VmState) -> None:
        """Change the state of a VM on the list."""
        await self.put_vm(attrs.evolve(self.vms[vm], state=state))

    async def remove_vm(self, vm: str) -> None:
        """Remove a VM from the platform's list."""
        self.vms.pop(vm, None)
        await self.session.delete(f"{self.platform.url}/vms/{vm}")

    async def switch_faults(self, process: Process, **switches: Any) -> None:
        """Set the fault switches of a stand-in."""
        async with self.session.post(f"{process.url}/faults", json=switches) as response:
            if response.status != 200:
                raise RuntimeError(f"{process.name}: {await response.text()}")

    async def read_json(self, url: str) -> Any:
        """Return the JSON content of a URL."""
        async with self.session.get(url) as response:
            return await response.json()

    async def wait_ready(self, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until every slot and entry is ready.

        Raises
        ------
        RuntimeError
            If one is not ready in time; the message contains the end of its log.
        """
        daemons = [*self.slots.values(), *self.entries.values()]
        await asyncio.gather(*(self._wait_for(daemon, limit_s) for daemon in daemons))

    async def wait_in_force(self, revision: int, limit_s: float = READY_LIMIT_S) -> None:
        """Wait until every slot and entry has the revision in force.

        Raises
        ------
        RuntimeError
            If one does not have it in time.
        """
        deadline = time.monotonic() + limit_s
        for daemon in (*self.slots.values(), *self.entries.values()):
            while await self._revision_of(daemon) < revision:
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{daemon.name} does not have revision {revision} in force")
                await asyncio.sleep(POLL_S)

    async def _current_revision(self, item: Any) -> int:
        row = (await self.log.get(item.kind, item.name)).unwrap()
        return 0 if row is None else row.entry.revision

    async def _revision_of(self, daemon: Process) -> int:
        status = await self.read_json(f"{daemon.status_url}/status")
        return status["revision"]

    async def _wait_for(self, daemon: Process, limit_s: float) -> None:
        deadline = time.monotonic() + limit_s
        while not await self._is_ready(daemon):
            if time.monotonic() > deadline or not daemon.running:
                raise RuntimeError(f"{daemon.name} is not ready: {daemon.log_tail()}")
            await asyncio.sleep(POLL_S)

    async def _is_ready(self, daemon: Process) -> bool:
        try:
            async with self.session.get(f"{daemon.status_url}/readyz") as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def _start_upstream(self, kind: str, parameters: Any, name: str) -> Process:
        self._count += 1
        name = name or f"{kind}-{self._count}"
        process = await self.processes.start(name, standin_command(kind, parameters))
        self.upstreams[name] = process
        return process

    async def _start_delay_line(self, port: int) -> int:
        line = await self._stack.enter_async_context(DelayLine("127.0.0.1", port, self.delay_s))
        self.lines.append(line)
        return line.listening_port

    async def _start_daemon(
        self, role: str, vm: str, failure_domain: str, settings: dict[str, Any]
    ) -> Process:
        path = self.directory / f"{vm}.json"
        url = self.platform.url
        platform = {"table_url": url, "objects_url": url, "vms_url": url}
        identity = {"vm": vm, "failure_domain": failure_domain, "peer_key": PEER_KEY}
        path.write_text(json.dumps({**identity, "platform": platform, **settings}))
        process = await self.processes.start(vm, daemon_command(role, path))
        port = process.listening["port"]
        if role == "slot" and self.delay_s is not None:
            port = await self._start_delay_line(port)
        await self.put_vm(
            VmEntry(
                vm=vm,
                role=role,
                host="127.0.0.1",
                port=port,
                status_port=process.listening["status_port"],
                failure_domain=failure_domain,
                group=settings.get("group", ""),
            )
        )
        return process
