"""The measured process, its peers, and the time windows in which its cost is measured."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import attrs
from _accounting import ProcessCounters, read_process
from _callers import PlannedCall, run_plan
from _harness import PEER_KEY, Cluster
from _processes import Process
from _records import CHAT_PATH, api_key, class_route, organisation_record

from burdockquay_standins import EngineParameters
from burdockquay_state import ClassRecord, GroupRecord, VmEntry, make_record_change

WINDOW_S = 1.1
IDLE_WINDOW_S = 2.6
"""Window of an idle process, seconds: long enough for the heartbeats, sent every second."""
SETTLE_S = 0.25
CONFIGURATION_WAIT_S = 0.8
"""Time for new peers to receive the configuration, seconds."""
SEED = 1
GROUP = GroupRecord(name="advisor", models=["standin"], places=64, subset=256)
DOMAIN = "medeu"
FIRST_CLASS = "class-0"
FIRST_ORGANISATION = "org-0"
COMMIT_RECORDS = 50
"""Records put per transaction while a stage is prepared: the largest accepted number."""


@attrs.frozen
class Sample:
    """Cost of the measured process in one window.

    Parameters
    ----------
    role, stage : str
    x : float
        Value of the quantity that the stage varies.
    cpu_share : float
        Processor time as a share of one core.
    rss_mb, private_mb : float
    read_bytes_per_s, written_bytes_per_s : float
        TCP payload.
    messages_received_per_s, messages_sent_per_s : float
        Messages on the connections between processes.
    peer_bytes_per_s : float
        Payload of those messages in both directions, as counted by the process.
    window_s : float
    """

    role: str
    stage: str
    x: float
    cpu_share: float
    rss_mb: float
    private_mb: float
    read_bytes_per_s: float
    written_bytes_per_s: float
    messages_received_per_s: float
    messages_sent_per_s: float
    peer_bytes_per_s: float
    window_s: float


def make_class(index: int) -> ClassRecord:
    """Return one of the classes of the benchmark."""
    return ClassRecord(
        name=f"class-{index}",
        priority=index,
        first_token_target_s=1.0,
        between_tokens_target_s=0.1,
        patience_s=30.0,
    )


def make_organisation(index: int, change: int = 0) -> Any:
    """Return one of the organisations; a different ``change`` gives a different record."""
    return organisation_record(
        f"org-{index}", requests_per_s=1000.0 + change, outstanding=100_000, weight=1.0
    )


class Bench:
    """A measured process and its peers, which run in another process.

    Parameters
    ----------
    cluster : Cluster
    role : str
        Role of the measured process: ``"entry"`` or ``"slot"``.
    """

    def __init__(self, cluster: Cluster, role: str):
        self.cluster = cluster
        self.role = role
        self.samples: list[Sample] = []
        self.callers_url = ""
        self._changes = 0

    async def start(self) -> None:
        """Start the platform, an engine, the measured process and an empty pool of peers."""
        cluster = self.cluster
        await cluster.start_platform()
        engine = EngineParameters(
            seed=SEED, places=512, base_step_s=0.004, per_running_s=0.0, prefill_block_s=0.0
        )
        self.engine = await cluster.start_engine(engine)
        classes = [make_class(index) for index in range(4)]
        await cluster.put_records([GROUP, *classes, class_route(FIRST_CLASS, GROUP.name)])
        await self.put_organisations(0, 10)
        if self.role == "entry":
            self.process = await cluster.start_entry("measured", DOMAIN)
        else:
            self.process = await cluster.start_slot("measured", GROUP.name, DOMAIN, self.engine.url)
        self.peer_pool = await self._start_peer_pool()

    async def _start_peer_pool(self) -> Process:
        kind = "slots" if self.role == "entry" else "entries"
        settings = {
            "failure_domain": DOMAIN,
            "peer_key": PEER_KEY,
            "log_level": "ERROR",
            "platform": dict.fromkeys(
                ("table_url", "objects_url", "vms_url"), self.cluster.platform.url
            ),
        }
        if kind == "slots":
            settings |= {"group": GROUP.name, "upstream_url": self.engine.url}
        path = self.cluster.directory / "crowd.json"
        path.write_text(json.dumps(settings))
        script = str(Path(__file__).with_name("_peer_pool.py"))
        command = [sys.executable, script, kind, str(path)]
        return await self.cluster.processes.start("crowd", command)

    async def grow_peers(self, count: int) -> None:
        """Start peers until ``count`` are connected to the measured process."""
        url = f"{self.peer_pool.url}/grow"
        async with self.cluster.session.post(url, json={"count": count}) as response:
            response.raise_for_status()
            entries = await response.json()
        for entry in entries:
            async with self.cluster.session.put(
                f"{self.cluster.platform.url}/vms/{entry['vm']}", json=entry
            ) as response:
                response.raise_for_status()
        while await self._connected() < count:
            await asyncio.sleep(0.05)
        await asyncio.sleep(CONFIGURATION_WAIT_S)
        if entries and self.role == "slot":
            self.callers_url = f"http://127.0.0.1:{entries[0]['port']}{CHAT_PATH}"
        elif self.role == "entry":
            self.callers_url = self.process.url + CHAT_PATH

    async def _connected(self) -> int:
        status = await self._read_status()
        return sum(member["connected"] for member in status["members"])

    async def _read_status(self) -> dict[str, Any]:
        return await self.cluster.read_json(f"{self.process.status_url}/status")

    async def put_organisations(self, low: int, high: int) -> None:
        """Put the organisations from ``low`` to ``high``, exclusive."""
        await self._put_new([make_organisation(index) for index in range(low, high)])

    async def put_classes(self, low: int, high: int) -> None:
        """Put classes, each with a route."""
        classes = [make_class(index) for index in range(low, high)]
        routes = [class_route(item.name, GROUP.name) for item in classes]
        await self._put_new([*classes, *routes])

    async def _put_new(self, records: list[Any]) -> None:
        for start in range(0, len(records), COMMIT_RECORDS):
            changes = [
                make_record_change([item], 0) for item in records[start : start + COMMIT_RECORDS]
            ]
            accepted = await self.cluster.log.commit(changes, "bench", time.time())
            accepted.unwrap()

    async def list_vms(self, low: int, high: int) -> None:
        """Add VMs to the platform's list to which no process connects."""
        entries = [
            VmEntry(f"other-entry-{i}", "entry", "127.0.0.1", 9, 9, DOMAIN)
            for i in range(low, high)
        ]
        for start in range(0, len(entries), 100):
            await asyncio.gather(*map(self.cluster.put_vm, entries[start : start + 100]))

    async def settle(self) -> None:
        """Wait until the latest revision is in force in every process and updates have stopped."""
        head = (await self.cluster.log.head()).unwrap()
        while await self._lowest_revision() < head:
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLE_S)

    async def _lowest_revision(self) -> int:
        own = (await self._read_status())["revision"]
        lowest = (await self.cluster.read_json(f"{self.peer_pool.url}/revision"))["revision"]
        return own if lowest is None else min(own, lowest)

    async def measure(
        self,
        stage: str,
        x: float,
        work: Callable[[], Awaitable[float]] | None = None,
        window_s: float = WINDOW_S,
    ) -> Sample:
        """Measure the cost of one window while ``work`` runs.

        Parameters
        ----------
        stage : str
        x : float
            Value of the varied quantity; replaced by the result of ``work``.
        work : callable or None
        window_s : float
            Length of the window without work, seconds.
        """
        await self.settle()
        before, first = await self._read_status(), read_process(self.process.process.pid)
        if work is None:
            await asyncio.sleep(window_s)
        else:
            x = await work()
        last, after = read_process(self.process.process.pid), await self._read_status()
        sample = self._compare(stage, x, (first, last), (before["traffic"], after["traffic"]))
        self.samples.append(sample)
        return sample

    def reuse(self, sample: Sample, stage: str, x: float) -> None:
        """Use a sample as the first of another stage, if no relevant condition has changed."""
        self.samples.append(attrs.evolve(sample, stage=stage, x=x))

    def _compare(
        self,
        stage: str,
        x: float,
        readings: tuple[ProcessCounters, ProcessCounters],
        traffic: tuple[dict, dict],
    ) -> Sample:
        first, last = readings
        seconds = last.at_s - first.at_s

        def rate(name: str) -> float:
            return (traffic[1][name] - traffic[0][name]) / seconds

        return Sample(
            self.role,
            stage,
            x,
            (last.cpu_s - first.cpu_s) / seconds,
            last.rss_mb,
            last.private_mb,
            (last.bytes_read - first.bytes_read) / seconds,
            (last.bytes_written - first.bytes_written) / seconds,
            rate("messages_received"),
            rate("messages_sent"),
            rate("bytes_received") + rate("bytes_sent"),
            seconds,
        )

    async def change_records(self, per_s: float) -> float:
        """Change one record at a time for a window; return the achieved changes per second."""
        started = time.monotonic()
        done = 0
        while time.monotonic() < started + WINDOW_S:
            self._changes += 1
            await self.cluster.put_records([make_organisation(0, self._changes)])
            done += 1
            due = started + done / per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
        return done / (time.monotonic() - started)

    async def measure_vm_list(self) -> float:
        """Return the mean size of a VM in the platform's list, bytes."""
        async with self.cluster.session.get(f"{self.cluster.platform.url}/vms") as response:
            content = await response.read()
        return len(content) / len(json.loads(content)["vms"])

    async def call(self, per_s: float, tokens: int, count_tokens: bool) -> float:
        """Send streamed requests for a window; return requests or tokens per second."""
        count = round(per_s * WINDOW_S)
        calls = [self._plan_call(index, per_s, tokens) for index in range(count)]
        started = time.monotonic()
        results = await run_plan(calls, SEED)
        wrong = [result for result in results if result.outcome != "whole"]
        if wrong:
            raise RuntimeError(f"expected complete answers only, got {wrong[0]}")
        done = count * tokens if count_tokens else count
        return done / (time.monotonic() - started)

    def _plan_call(self, index: int, per_s: float, tokens: int) -> PlannedCall:
        body = {
            "model": "standin",
            "stream": True,
            "max_tokens": tokens,
            "min_tokens": tokens,
            "messages": [{"role": "user", "content": f"question {index} of {tokens}"}],
        }
        return PlannedCall(
            index / per_s,
            self.callers_url,
            FIRST_ORGANISATION,
            FIRST_CLASS,
            api_key(FIRST_ORGANISATION),
            body,
        )
