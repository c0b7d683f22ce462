"""At-most-once requests through real processes, with fault injection.

Callers send the same keys through different entries, concurrently and later. The services count the
effects of each key. The answers to callers are compared with these counts at the end, after every
late write and paused process has had time to finish. ``unknown`` counts keys whose last answer left
the outcome unknown; ``unknown_without_fault`` those of the two phases without faults.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import aiohttp
import attrs
import uvloop
from _callers import CallResult, PlannedCall, new_session, send
from _harness import Cluster
from _processes import Process
from _records import api_key, organisation_record
from _report import print_result, print_table

from burdockquay_standins import ServiceParameters
from burdockquay_state import ClassRecord, GroupRecord, PolicyRecord, RouteRecord

SEED = 1
SERVICES = 4
PLACES = 32
ENTRIES = 2
CLASS_NAME = "hold"
ORGANISATION = "parish-0"
PATH = "/holds"
QUIET_REQUESTS = 200
LOADED_KEYS = 1000
LOADED_CALLERS = 96
FAULTY_KEYS = 1200
FAULTY_CALLERS = 48
REPEATED_SHARE = 0.5
IDLE_S = 1.0
SETTLING_S = 3.0
PATIENCE_S = 20.0
PAUSE_S = 0.5
LOST_SHARE = 0.05
DOMAINS = ("praha-hall", "plzen-hall", "kolin-hall")


@attrs.frozen
class KeyAnswer:
    """Answer to one call of a key."""

    phase: str
    key: str
    result: CallResult

    @property
    def not_run(self) -> bool:
        """Whether the answer states that the request did not run."""
        return self.result.outcome == "refused" and self.result.run == "not_run"

    @property
    def unknown(self) -> bool:
        """Whether the answer leaves open whether the request ran."""
        return self.result.outcome != "whole" and self.result.run not in ("not_run", "ran")


@attrs.frozen
class TableUse:
    """Table calls per request of a phase, without those that idle processes make."""

    writes: float
    reads: float


class OnceRun:
    """A deployment of plain services with callers that resend their keys.

    Parameters
    ----------
    cluster : Cluster
    rng : random.Random
    """

    def __init__(self, cluster: Cluster, rng: random.Random):
        self.cluster = cluster
        self.rng = rng
        self.answers: list[KeyAnswer] = []
        self.faults: Counter[str] = Counter()
        self.idle_reads_per_s = 0.0

    async def start(self) -> None:
        """Start every process."""
        cluster = self.cluster
        await cluster.start_platform()
        await cluster.put_records(_records())
        parameters = ServiceParameters(restart_s=0.5)
        for number in range(SERVICES):
            service = await cluster.start_service(parameters)
            domain = DOMAINS[number % len(DOMAINS)]
            await cluster.start_slot(f"slot-{number}", "booking", domain, service.url)
        for number in range(ENTRIES):
            await cluster.start_entry(f"entry-{number}", DOMAINS[number])
        await cluster.wait_ready()
        self.urls = [entry.url for entry in cluster.entries.values()]
        before = await self._table_counts()
        await asyncio.sleep(IDLE_S)
        after = await self._table_counts()
        self.idle_reads_per_s = (after["reads"] - before["reads"]) / IDLE_S

    async def run_phase(
        self,
        phase: str,
        keys: int,
        callers: int,
        repeated: float = 0.0,
        faults: Callable[[asyncio.Event], Awaitable[None]] | None = None,
    ) -> TableUse:
        """Send every key, a share of them repeatedly, and count the table calls."""
        before, began = await self._table_counts(), time.monotonic()
        ended = asyncio.Event()
        fault_task = asyncio.create_task(faults(ended)) if faults else None
        queue = list(range(keys))
        sent_before = len(self.answers)
        async with new_session() as session:
            work = [self._call_keys(session, phase, queue, repeated) for _ in range(callers)]
            await asyncio.gather(*work)
        ended.set()
        if fault_task is not None:
            await fault_task
        after, elapsed_s = await self._table_counts(), time.monotonic() - began
        requests = len(self.answers) - sent_before
        idle_reads = self.idle_reads_per_s * elapsed_s
        return TableUse(
            (after["writes"] - before["writes"]) / requests,
            max(0.0, after["reads"] - before["reads"] - idle_reads) / requests,
        )

    async def make_faults(self, ended: asyncio.Event) -> None:
        """Inject the kinds of faults in rotation until the callers have finished."""
        kinds = (
            self._lose_confirmations,
            self._cut_before,
            self._stop_platform,
            self._cut_after,
            self._pause_slot,
            self._hang_platform,
            self._crash_service,
            self._kill_slot,
        )
        number = 0
        while not ended.is_set():
            kind = kinds[number % len(kinds)]
            self.faults[kind.__name__.strip("_")] += 1
            await kind()
            number += 1
            await asyncio.sleep(0.2)

    async def read_effects(self) -> Counter[str]:
        """Return the number of effects of each key, summed over all services."""
        effects: Counter[str] = Counter()
        for service in self.cluster.upstreams.values():
            effects.update(await self.cluster.read_json(f"{service.url}/effects"))
        return effects

    async def _call_keys(
        self, session: aiohttp.ClientSession, phase: str, queue: list[int], repeated: float
    ) -> None:
        while queue:
            key = f"{phase}-{queue.pop()}"
            if repeated:
                # Distributes the calls over all kinds of faults.
                await asyncio.sleep(self.rng.uniform(0.0, 2 * PAUSE_S))
            first, second = self.rng.sample(self.urls, 2)
            if self.rng.random() >= repeated:
                await self._call(session, phase, key, first)
                continue
            # Sends the key through two entries concurrently, like a caller that retries elsewhere
            # after a timeout, and then once more.
            await asyncio.gather(
                self._call(session, phase, key, first), self._call(session, phase, key, second)
            )
            await self._call(session, phase, key, first)

    async def _call(
        self, session: aiohttp.ClientSession, phase: str, key: str, url: str
    ) -> CallResult:
        call = PlannedCall(
            at_s=0.0,
            url=f"{url}/services/booking{PATH}",
            organisation=ORGANISATION,
            class_name=CLASS_NAME,
            api_key=api_key(ORGANISATION),
            body={"chapel": key},
            patience_s=PATIENCE_S,
            key=key,
            service_path=PATH,
        )
        result = await send(session, call, SEED)
        self.answers.append(KeyAnswer(phase, key, result))
        return result

    async def _table_counts(self) -> dict[str, int]:
        return await self.cluster.read_json(f"{self.cluster.platform.url}/stats")

    async def _switch(self, process: Process, **switches: Any) -> None:
        try:
            await self.cluster.switch_faults(process, **switches)
        except aiohttp.ClientError:
            # A crashed service refuses connections until its restart.
            self.faults["switch_refused"] += 1

    def _some_service(self) -> Process:
        return self.rng.choice(list(self.cluster.upstreams.values()))

    async def _lose_confirmations(self) -> None:
        await self._switch(self.cluster.platform, lose_confirmation=LOST_SHARE)
        await asyncio.sleep(0.6)
        await self._switch(self.cluster.platform, lose_confirmation=0)

    async def _cut_before(self) -> None:
        await self._switch(self._some_service(), cut_before=3)

    async def _cut_after(self) -> None:
        await self._switch(self._some_service(), cut_after=3)

    async def _crash_service(self) -> None:
        await self._switch(self._some_service(), crash=True)

    async def _stop_platform(self) -> None:
        await self._switch(self.cluster.platform, outage=True)
        await asyncio.sleep(0.5)
        await self._switch(self.cluster.platform, outage=False)

    async def _hang_platform(self) -> None:
        await self._switch(self.cluster.platform, hang=True)
        await asyncio.sleep(1.2)
        await self._switch(self.cluster.platform, hang=False)

    async def _pause_slot(self) -> None:
        slot = self.rng.choice(list(self.cluster.slots.values()))
        os.kill(slot.process.pid, signal.SIGSTOP)
        await asyncio.sleep(6.0)
        os.kill(slot.process.pid, signal.SIGCONT)

    async def _kill_slot(self) -> None:
        """Kill a slot and start a replacement with a new name, like that of a replaced VM."""
        vm = self.rng.choice(list(self.cluster.slots))
        slot = self.cluster.slots.pop(vm)
        upstream = list(self.cluster.upstreams.values())[int(vm.split("-")[1])]
        slot.kill()
        await slot.wait()
        domain = self.cluster.vms[vm].failure_domain
        await self.cluster.remove_vm(vm)
        await self.cluster.start_slot(f"{vm}-next", "booking", domain, upstream.url)


def _records() -> Sequence[Any]:
    return (
        PolicyRecord(),
        ClassRecord(CLASS_NAME, 100, 0.5, 0.05, 10.0, 0.2, True, False, 1),
        GroupRecord("booking", "service", places=PLACES),
        RouteRecord(
            "booking", CLASS_NAME, "booking", path_prefix="/services/booking", idempotent=False
        ),
        organisation_record(ORGANISATION),
    )


def compare_with_effects(answers: Sequence[KeyAnswer], effects: Counter[str]) -> dict[str, int]:
    """Compare the answers to callers with the effects at the services."""
    by_key: dict[str, list[KeyAnswer]] = defaultdict(list)
    for part in answers:
        by_key[part.key].append(part)
    false_not_run = false_answer = unknown = unknown_without_fault = 0
    for key, parts in by_key.items():
        false_not_run += all(part.not_run for part in parts) and effects[key] > 0
        false_answer += any(part.result.outcome == "whole" for part in parts) and not effects[key]
        unknown += parts[-1].unknown
        unknown_without_fault += parts[-1].unknown and parts[-1].phase != "faults"
    return {
        "requests": len(answers),
        "keys": len(by_key),
        "duplicates": sum(count - 1 for count in effects.values() if count > 1),
        "false_not_run": false_not_run,
        "false_answer": false_answer,
        "mixed": sum(part.result.outcome == "mixed" for part in answers),
        "unknown": unknown,
        "unknown_without_fault": unknown_without_fault,
    }


def report(run: OnceRun, effects: Counter[str], uses: dict[str, TableUse]) -> None:
    """Print the figures."""
    outcomes = Counter(
        (part.phase, part.result.outcome, part.result.error, part.result.run)
        for part in run.answers
    )
    rows = [(*reason, count) for reason, count in sorted(outcomes.items())]
    print_table("What callers were told", ("phase", "outcome", "reason", "run", "count"), rows)
    print_table("Faults", ("fault", "count"), sorted(run.faults.items()))
    print_table(
        "Calls of the table for each request",
        ("phase", "writes", "reads"),
        [(name, use.writes, use.reads) for name, use in uses.items()],
    )
    print_result(
        {
            **compare_with_effects(run.answers, effects),
            "table_writes_per_request": uses["quiet"].writes,
            "table_reads_per_request": uses["quiet"].reads,
            "table_writes_per_request_loaded": uses["loaded"].writes,
            "table_reads_per_request_loaded": uses["loaded"].reads,
        }
    )


async def main() -> None:
    """Run the benchmark."""
    async with Cluster("once") as cluster:
        run = OnceRun(cluster, random.Random(SEED))
        await run.start()
        uses = {
            "quiet": await run.run_phase("quiet", QUIET_REQUESTS, callers=1),
            "loaded": await run.run_phase("loaded", LOADED_KEYS, LOADED_CALLERS),
            "faults": await run.run_phase(
                "faults", FAULTY_KEYS, FAULTY_CALLERS, REPEATED_SHARE, run.make_faults
            ),
        }
        await asyncio.sleep(SETTLING_S)
        report(run, await run.read_effects(), uses)


if __name__ == "__main__":
    uvloop.run(main())
