"""Memory and latency of a forwarder beside an upstream whose answers have no end."""

from __future__ import annotations

import asyncio
import contextlib
import re
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import attrs
import uvloop
from _report import print_load_average, print_result, print_table, quantile

from burdockquay_platform.tests.emulator import PlatformCluster, make_route, serve
from burdockquay_platform.tests.endless_answers import PLAIN_ANSWERS, STREAM_ANSWERS
from burdockquay_platform.tests.experiment import Experiment, Service
from burdockquay_platform.tests.experiment_processes import (
    prepare_forwarders,
    start_forwarder,
    stop_forwarders,
)

CALLERS = 8
SOUND_PER_S = 47.0
MEASURED_S = 3.0
TIMEOUT_MS = 4000

MAX_MEMORY_MB = 64.0
MAX_P50_FACTOR = 1.5
MAX_HELD_S = 0.5
"""Targets: growth of the memory, median of the sound requests compared with that without endless
answers, and time until the callers of endless answers have theirs."""


@attrs.define
class Figures:
    """What was measured beside one kind of answers."""

    memory_mb: float = 0.0
    held_s: float = 0.0
    sound_s: list[float] = attrs.field(factory=list)
    failed: int = 0

    @property
    def p50_s(self) -> float:
        """Median of the sound requests, seconds."""
        return quantile(self.sound_s, 0.5)


async def main() -> None:
    """Measure each kind of answers with a forwarder of its own."""
    calm = await measure(None)
    found = {name: await measure(name) for name in PLAIN_ANSWERS | STREAM_ANSWERS}
    rows = [
        (name, item.memory_mb, item.held_s, item.p50_s * 1000, item.failed)
        for name, item in {"none": calm, **found}.items()
    ]
    header = ("answers", "memory, MB", "held, s", "sound p50, ms", "sound failed")
    print_table(f"{CALLERS} callers of one upstream without an end", header, rows)
    print_load_average()
    worst = {
        "memory_mb": max(item.memory_mb for item in found.values()),
        "held_s": max(item.held_s for item in found.values()),
        "p50_factor": max(item.p50_s for item in found.values()) / calm.p50_s,
        "sound_failed": sum(item.failed for item in found.values()),
    }
    limits = (MAX_MEMORY_MB, MAX_HELD_S, MAX_P50_FACTOR, 0)
    met = all(value <= limit for value, limit in zip(worst.values(), limits, strict=True))
    print_result(worst | {"met": met})


async def measure(name: str | None) -> Figures:
    """Return the figures beside one kind of answers, or beside none."""
    with tempfile.TemporaryDirectory() as folder:
        return await _measure_in(folder, name)


async def _measure_in(folder: str, name: str | None) -> Figures:
    routes = [
        make_route("endless", "unsafe", timeoutMs=TIMEOUT_MS),
        make_route("stream", "streaming", timeoutMs=TIMEOUT_MS, maxAttempts=1),
        make_route("sound", timeoutMs=TIMEOUT_MS),
    ]
    async with PlatformCluster(routes) as cluster:
        experiment = Experiment([Service("sound", "safe", 1)], cluster=cluster)
        experiment.folder = folder
        await cluster.add_upstream("sound-service", serve)
        async with _start_engine(name) as port:
            if port is not None:
                for route in ("endless", "stream"):
                    cluster.list_upstream(f"i-{route}", f"{route}-service", port=port)
            try:
                prepare_forwarders(experiment)
                await start_forwarder(experiment, 0)
                return await _measure_forwarder(experiment, name)
            finally:
                await stop_forwarders(experiment)


async def _measure_forwarder(experiment: Experiment, name: str | None) -> Figures:
    figures = Figures()
    pid = experiment.processes[0].pid
    for _ in range(20):
        await _call_sound(experiment, Figures())
    before_mb = _peak_memory_mb(pid)
    endless = [
        asyncio.create_task(_call_endless(experiment, name, figures))
        for _ in range(0 if name is None else CALLERS)
    ]
    sound = []
    for _ in range(round(MEASURED_S * SOUND_PER_S)):
        sound.append(asyncio.create_task(_call_sound(experiment, figures)))
        await asyncio.sleep(1.0 / SOUND_PER_S)
    await asyncio.gather(*sound, *endless)
    figures.memory_mb = _peak_memory_mb(pid) - before_mb
    return figures


async def _call_sound(experiment: Experiment, figures: Figures) -> None:
    begun = time.perf_counter()
    status = await _call(experiment, "sound")
    figures.sound_s.append(time.perf_counter() - begun)
    figures.failed += status != 200


async def _call_endless(experiment: Experiment, name: str, figures: Figures) -> None:
    begun = time.perf_counter()
    await _call(experiment, "stream" if name in STREAM_ANSWERS else "endless")
    figures.held_s = max(figures.held_s, time.perf_counter() - begun)


async def _call(experiment: Experiment, route: str) -> int | None:
    """Return the status of an answer, None if it is incomplete."""
    cluster = experiment.cluster
    url = f"http://127.0.0.1:{experiment.ports[0]}/{route}/x"
    with contextlib.suppress(aiohttp.ClientError):
        async with cluster.session.post(url, headers=cluster.headers(), data=b"x") as response:
            await response.read()
            return response.status
    return None


@contextlib.asynccontextmanager
async def _start_engine(name: str | None) -> AsyncIterator[int | None]:
    """Start the upstream without an end and yield its port."""
    if name is None:
        yield None
        return
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "burdockquay_platform.tests.endless_engine",
        name,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        yield int(await process.stdout.readline())
    finally:
        process.kill()
        await process.wait()


def _peak_memory_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status).group(1)) / 1024


if __name__ == "__main__":
    uvloop.run(main())
