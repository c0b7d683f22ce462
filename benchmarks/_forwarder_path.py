"""Latency through a forwarder, compared with calling the upstream directly."""

from __future__ import annotations

import time

import aiohttp

from burdockquay_platform.tests.emulator import PlatformCluster, make_route, serve
from burdockquay_platform.tests.experiment import Experiment, Service
from burdockquay_platform.tests.experiment_processes import (
    prepare_forwarders,
    start_forwarder,
    stop_forwarders,
)

ROUTE = "look"


async def measure_forwarder(pairs: int, warm_up: int) -> tuple[list[float], list[float]]:
    """Send the same plain request alternately to an upstream and through a forwarder.

    Parameters
    ----------
    pairs, warm_up : int
        Number of measured pairs of requests, and of warm-up pairs before them.

    Returns
    -------
    tuple of two lists of float
        Durations of the direct requests and of those through the forwarder, seconds.
    """
    async with PlatformCluster([make_route(ROUTE)]) as cluster:
        experiment = Experiment([Service(ROUTE, "safe", 1)], cluster=cluster)
        upstream = await cluster.add_upstream(f"{ROUTE}-service", serve)
        try:
            prepare_forwarders(experiment)
            await start_forwarder(experiment, 0)
            ports = (upstream.port, experiment.ports[0])
            timed = [
                [await _time_one(cluster, port) for port in ports] for _ in range(warm_up + pairs)
            ][warm_up:]
        finally:
            await stop_forwarders(experiment)
    return [pair[0] for pair in timed], [pair[1] for pair in timed]


async def _time_one(cluster: PlatformCluster, port: int) -> float:
    session: aiohttp.ClientSession = cluster.session
    start = time.perf_counter()
    url = f"http://127.0.0.1:{port}/{ROUTE}/x"
    async with session.get(url, headers=cluster.headers()) as response:
        body = await response.read()
    if (response.status, body) != (200, b"done"):
        raise RuntimeError(f"{url}: expected a complete answer, got {response.status} {body!r}")
    return time.perf_counter() - start
