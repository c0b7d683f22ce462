"""Processor time of forwarder processes: idle, for each prompt, and for each function.

Starts a fleet of real processes and 28 upstreams that stream events. The last line is a JSON object
with ``idle_ms_per_s`` and ``ms_per_prompt``, both for one process. With ``--profile FILE``, the
first process is not measured but profiled, and its statistics are written to a file.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import random
import re
import statistics
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable
from pathlib import Path
from typing import Any

import uvloop
from _report import print_load_average, print_result

from burdockquay_platform.tests import emulator
from burdockquay_standins import RawConnection, RawRequest

ROUTES = 4
BODY = b"x" * 9000
EVENTS = (9, 49)
EVENT_PAUSE_S = 0.02
FIRST_EVENT_S = (0.08, 0.25)
STREAM_ROUTE = {"streamResume": True, "sessionAffinity": True}
LISTENING = r'"process_listening".*"port":(\d+)'
PROFILED = """
import cProfile, runpy, sys, time
path, profile = sys.argv.pop(1), cProfile.Profile(time.thread_time)
try: profile.runcall(runpy.run_module, "burdockquay.daemon", run_name="__main__", alter_sys=True)
finally: profile.dump_stats(path)
"""


class Fleet:
    """Forwarder processes, their upstreams and the callers."""

    def __init__(self, options: argparse.Namespace, folder: Path, cluster: Any):
        self.options = options
        self.cluster = cluster
        self.folder = folder
        self.rng = random.Random(1)
        self.processes: list[asyncio.subprocess.Process] = []
        self.ports: list[int] = []
        self.durations: list[float] = []
        self.failures: Counter[str] = Counter()
        self._idle: dict[int, list] = {}
        self._numbers = itertools.count(1)

    async def behave(self, request: RawRequest, connection: RawConnection) -> None:
        """Stream the events that a prompt asks for."""
        await asyncio.sleep(self.rng.uniform(*FIRST_EVENT_S))
        await connection.write(
            emulator.STREAM_HEAD.format(id=request.headers["attempt-id"]).encode()
        )
        for number in range(1, int(request.headers["token-count"].split(",")[1]) + 1):
            await connection.write(emulator.chunk(emulator.event_bytes(number)))
            await asyncio.sleep(EVENT_PAUSE_S * self.rng.uniform(0.5, 1.5))
        await connection.write(b"0\r\n\r\n")

    async def start_forwarder(self, number: int) -> None:
        """Start a process and wait until it listens."""
        settings = {
            "vm": f"edge-{number}",
            "failure_domain": f"d{number % 2}",
            **dict.fromkeys(("listen", "status_listen", "peer_listen"), "127.0.0.1:0"),
            "leave_delay_s": 0.0,
            "adapters": ["burdockquay_platform"],
            "platform": {"adapter": "rows", "address": f"127.0.0.1:{self.cluster.store.port}"},
        }
        path = self.folder / f"{number}.jsonc"
        path.write_text(json.dumps(settings))
        module = ["-m", "burdockquay.daemon"]
        if number == 0 and self.options.profile:
            module = ["-c", PROFILED, self.options.profile]
        command = [sys.executable, *module, "forwarder", "--settings", str(path)]
        log_path = path.with_suffix(".log")
        with log_path.open("wb") as log, path.with_suffix(".err").open("wb") as errors:
            process = await asyncio.create_subprocess_exec(*command, stdout=log, stderr=errors)
        self.processes.append(process)
        async with asyncio.timeout(60):
            while not (found := re.search(LISTENING, log_path.read_text())):
                await asyncio.sleep(0.05)
        self.ports.append(int(found.group(1)))

    async def spent_s(self, waiting: Awaitable) -> float:
        """Return the mean processor time that a process uses meanwhile, seconds."""
        before = self._processor_s()
        await waiting
        return self._processor_s() - before

    def _processor_s(self) -> float:
        first = 1 if self.options.profile else 0
        paths = [Path(f"/proc/{process.pid}/stat") for process in self.processes[first:]]
        ticks = [path.read_text().rpartition(")")[2].split()[11:13] for path in paths]
        return statistics.mean(sum(map(int, item)) for item in ticks) / os.sysconf("SC_CLK_TCK")

    async def __aenter__(self) -> Fleet:
        return self

    async def __aexit__(self, *details: object) -> None:
        # A profiled process writes its statistics as it ends.
        for process in self.processes:
            if process.returncode is None:
                process.terminate()
        await asyncio.gather(*(process.wait() for process in self.processes))

    async def send_load(self, seconds: float) -> None:
        """Send prompts to all processes at random times, and wait for the answers."""
        until = (due := time.monotonic()) + seconds
        tasks = []
        while due < until:
            due += self.rng.expovariate(self.options.per_s * len(self.ports))
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self._call(self.rng.choice(self.ports))))
        for error in await asyncio.gather(*tasks, return_exceptions=True):
            self.failures[type(error).__name__] += error is not None

    async def _call(self, port: int) -> None:
        number = next(self._numbers)
        parts = [f"aa{self.rng.randrange(30):02x}:500", f"bb{number:06x}:100"]
        if number % 2:
            parts.insert(1, f"cc{self.rng.randrange(300):04x}:300")
        tokens = sum(int(part.partition(":")[2]) for part in parts)
        head = self.cluster.request_bytes(
            f"/r{number % ROUTES}/x",
            "POST",
            Deadline_Ms="20000",
            Prefix_Hash=",".join(parts),
            Token_Count=f"{tokens},{self.rng.randint(*EVENTS)}",
            Content_Length=str(len(BODY)),
        )
        idle = self._idle.setdefault(port, [])
        reader, writer = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", port)
        sent_at = time.monotonic()
        writer.write(head + BODY)
        received = await reader.readuntil(b"\r\n\r\n")
        if received.startswith(b"HTTP/1.1 200"):
            self.durations.append(time.monotonic() - sent_at)
            await reader.readuntil(b"\r\n0\r\n\r\n")
            idle.append((reader, writer))
        else:
            self.failures[received.partition(b"\r\n")[0].decode()] += 1
            writer.close()


async def measure(options: argparse.Namespace, folder: str) -> dict[str, Any]:
    """Return the figures of one run."""
    routes = [emulator.make_route(f"r{n}", "streaming", **STREAM_ROUTE) for n in range(ROUTES)]
    for number, route in enumerate(routes):
        targets = {"targetLatencyMs": 300 + 100 * number, "priority": number}
        route |= {"service": "talk-service", "timeoutMs": 20_000, **targets}
    cluster = emulator.PlatformCluster(routes)
    async with cluster, Fleet(options, Path(folder), cluster) as fleet:
        for _ in range(28):
            await cluster.add_upstream("talk-service", fleet.behave)
        await asyncio.gather(*(fleet.start_forwarder(n) for n in range(options.forwarders)))
        await asyncio.sleep(4.0)  # Peers connect.
        idle_s = await fleet.spent_s(asyncio.sleep(options.seconds / 2))
        await fleet.send_load(2.0)
        fleet.durations, fleet.failures = [], Counter()
        busy_s = await fleet.spent_s(fleet.send_load(options.seconds))
    prompts = len(fleet.durations) / options.forwarders
    return {
        "idle_ms_per_s": idle_s / (options.seconds / 2) * 1000,
        "ms_per_prompt": busy_s / prompts * 1000,
        "first_token_ms_p99": statistics.quantiles(fleet.durations, n=100)[-1] * 1000,
        "prompts": len(fleet.durations),
        "failures": dict(+fleet.failures),
    }


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--forwarders", type=int, default=8)
    parser.add_argument("--per-s", type=float, default=12.0, help="prompts per second and process")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--profile", help="file for the statistics of the first process")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        result = uvloop.run(measure(options, folder))
    print_load_average()
    print_result(result)


if __name__ == "__main__":
    main()
