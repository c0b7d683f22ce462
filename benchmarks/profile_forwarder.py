"""Processor time of forwarder processes: idle, for each prompt, and for each function.

Starts a fleet of real forwarder processes with 28 upstreams that stream events, and measures the
processor time of the processes while there is no load and while prompts arrive. The last line is a
JSON object with ``idle_ms_per_s`` and ``ms_per_prompt``, both for one process. With ``--profile
FILE``, the first process is not measured but profiled, and its statistics are written to a file::

    python benchmarks/profile_forwarder.py --profile /tmp/forwarder.prof
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import random
import statistics
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import uvloop
from _report import print_load_average, print_result

from burdockquay_platform.tests.emulator import (
    HOST,
    KEY,
    STREAM_HEAD,
    PlatformCluster,
    chunk,
    event_bytes,
    make_route,
)
from burdockquay_standins import RawConnection, RawRequest

ROUTES = 4
UPSTREAMS = 28
BODY = b"x" * 9000
EVENTS = (9, 49)
EVENT_PAUSE_S = 0.02
FIRST_EVENT_S = (0.08, 0.25)
SHARED_PARTS = 30
STREAM_ROUTE = {"streamResume": True, "sessionAffinity": True}
SETTLE_S = 4.0
PROFILED = """
import cProfile, runpy, sys, time
path = sys.argv.pop(1)
profile = cProfile.Profile(time.thread_time)
try:
    profile.runcall(runpy.run_module, "burdockquay.daemon", run_name="__main__", alter_sys=True)
finally:
    profile.dump_stats(path)
"""
"""Program of the profiled process; other processes on the machine do not affect its times."""


class Fleet:
    """Forwarder processes, their upstreams and the callers.

    Parameters
    ----------
    options : argparse.Namespace
    folder : Path
        Directory for settings and logs.
    """

    def __init__(self, options: argparse.Namespace, folder: Path):
        self.options = options
        self.folder = folder
        self.rng = random.Random(options.seed)
        self.processes: list[asyncio.subprocess.Process] = []
        self.ports: list[int] = []
        self.durations: list[float] = []
        self.failures: Counter[str] = Counter()
        self._idle: dict[int, list] = {}
        self._numbers = itertools.count(1)

    async def behave(self, request: RawRequest, connection: RawConnection) -> None:
        """Stream the events that a prompt asks for."""
        await asyncio.sleep(self.rng.uniform(*FIRST_EVENT_S))
        await connection.write(STREAM_HEAD.format(id=request.headers["attempt-id"]).encode())
        for number in range(1, int(request.headers["token-count"].split(",")[1]) + 1):
            await connection.write(chunk(event_bytes(number)))
            await asyncio.sleep(EVENT_PAUSE_S * self.rng.uniform(0.5, 1.5))
        await connection.write(b"0\r\n\r\n")

    async def start_forwarder(self, number: int, store_port: int) -> None:
        """Start a process and wait until it listens."""
        settings = {
            "vm": f"edge-{number}",
            "failure_domain": f"d{number % 2}",
            "listen": "127.0.0.1:0",
            "status_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "leave_delay_s": 0.0,
            "retry_burst": 200.0,
            "adapters": ["burdockquay_platform"],
            "platform": {"adapter": "rows", "address": f"127.0.0.1:{store_port}"},
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
            while (port := _find_port(log_path)) is None:
                await asyncio.sleep(0.05)
        self.ports.append(port)

    def processor_s(self) -> list[float]:
        """Return the processor time that each measured process has used, seconds."""
        first = 1 if self.options.profile else 0
        return [_processor_s(process.pid) for process in self.processes[first:]]

    async def stop(self) -> None:
        """Stop the processes, which write their statistics as they end."""
        for process in self.processes:
            if process.returncode is None:
                process.terminate()
        await asyncio.gather(*(process.wait() for process in self.processes))

    async def send_load(self, seconds: float) -> None:
        """Send prompts to all processes at random times, and wait for the answers."""
        until = time.monotonic() + seconds
        due = time.monotonic()
        tasks = []
        while due < until:
            due += self.rng.expovariate(self.options.per_s * len(self.ports))
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(asyncio.create_task(self._call(self.rng.choice(self.ports))))
        await asyncio.gather(*tasks)

    async def _call(self, port: int) -> None:
        number = next(self._numbers)
        parts = [f"aa{self.rng.randrange(SHARED_PARTS):02x}:500", f"bb{number:06x}:100"]
        if number % 2:
            parts.insert(1, f"cc{self.rng.randrange(10 * SHARED_PARTS):04x}:300")
        tokens = sum(int(part.partition(":")[2]) for part in parts)
        fields = {
            "Host": HOST,
            "Attempt-Id": f"p-{number}",
            "Deadline-Ms": "20000",
            "X-Api-Key": KEY,
            "Prefix-Hash": ",".join(parts),
            "Token-Count": f"{tokens},{self.rng.randint(*EVENTS)}",
            "Content-Length": str(len(BODY)),
        }
        lines = [f"POST /r{number % ROUTES}/x HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        idle = self._idle.setdefault(port, [])
        reader, writer = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", port)
        sent_at = time.monotonic()
        writer.write("\r\n".join([*lines, "", ""]).encode() + BODY)
        try:
            received = await reader.readuntil(b"\r\n\r\n")
            first_s = time.monotonic() - sent_at
            if received.startswith(b"HTTP/1.1 200"):
                await reader.readuntil(b"\r\n0\r\n\r\n")
                self.durations.append(first_s)
                idle.append((reader, writer))
                return
            reason = received.partition(b"\r\n")[0].decode()
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            reason = type(error).__name__
        self.failures[reason] += 1
        writer.close()


def _find_port(log_path: Path) -> int | None:
    for line in log_path.read_text().splitlines():
        if '"process_listening"' in line and line.endswith("}"):
            return json.loads(line)["port"]
    return None


def _processor_s(pid: int) -> float:
    ticks = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[11:13]
    return sum(map(int, ticks)) / os.sysconf("SC_CLK_TCK")


async def measure(fleet: Fleet) -> dict[str, float]:
    """Return the figures of one run."""
    options = fleet.options
    routes = [make_route(f"r{n}", "streaming", **STREAM_ROUTE) for n in range(ROUTES)]
    for number, route in enumerate(routes):
        targets = {"targetLatencyMs": 300 + 100 * number, "priority": number}
        route |= {"service": "talk-service", "timeoutMs": 20_000, **targets}
    async with PlatformCluster(routes) as cluster:
        for _ in range(UPSTREAMS):
            await cluster.add_upstream("talk-service", fleet.behave)
        numbers = range(options.forwarders)
        await asyncio.gather(*(fleet.start_forwarder(n, cluster.store.port) for n in numbers))
        await asyncio.sleep(SETTLE_S)
        idle, begun = fleet.processor_s(), time.monotonic()
        await asyncio.sleep(options.seconds / 2)
        idle = [(b - a) for a, b in zip(idle, fleet.processor_s(), strict=True)]
        idle_s = time.monotonic() - begun
        await fleet.send_load(2.0)
        before, fleet.durations, fleet.failures = fleet.processor_s(), [], Counter()
        await fleet.send_load(options.seconds)
        busy = [(b - a) for a, b in zip(before, fleet.processor_s(), strict=True)]
    prompts = len(fleet.durations) / options.forwarders
    return {
        "idle_ms_per_s": statistics.mean(idle) / idle_s * 1000,
        "ms_per_prompt": statistics.mean(busy) / prompts * 1000,
        "first_token_ms_p50": statistics.median(fleet.durations) * 1000,
        "first_token_ms_p99": statistics.quantiles(fleet.durations, n=100)[-1] * 1000,
        "prompts": len(fleet.durations),
        "failures": dict(fleet.failures),
    }


async def run(fleet: Fleet) -> dict[str, float]:
    """Return the figures of one run, after all its processes have ended."""
    try:
        return await measure(fleet)
    finally:
        await fleet.stop()


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--forwarders", type=int, default=8)
    parser.add_argument("--per-s", type=float, default=12.0, help="prompts per second and process")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", help="file for the statistics of the first process")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        result = uvloop.run(run(Fleet(options, Path(folder))))
    print_load_average()
    print_result(result)


if __name__ == "__main__":
    main()
