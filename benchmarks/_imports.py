"""Memory use of the interpreter and of each library that a role imports."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

BY_ROLE = {
    "entry": "burdockquay_transport.entry",
    "slot": "burdockquay_transport.slot",
}
"""Module of each role."""

LIBRARIES = (
    "asyncio",
    "attrs",
    "cattrs",
    "cbor2",
    "uvloop",
    "logbook",
    "statsd",
    "websockets.asyncio.client",
    "websockets.asyncio.server",
    "aiohttp",
    "aiohttp.web",
)
"""Libraries in import order; each is charged with the memory that it adds."""


async def measure_imports() -> list[dict[str, Any]]:
    """Return, for each role, the memory that each import added to a new process."""
    results = []
    for role, module in BY_ROLE.items():
        command = (*LIBRARIES, module, "burdockquay.daemon")
        process = await asyncio.create_subprocess_exec(
            sys.executable, __file__, *command, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        results += [{"role": role, **row} for row in json.loads(output)]
    return results


def import_one_by_one(modules: list[str]) -> list[dict[str, Any]]:
    """Import modules one by one and return the memory that each added, MB."""
    rows = []
    rss, private = _read_memory()
    rows.append({"module": "interpreter", "rss_mb": rss, "private_mb": private})
    for module in modules:
        __import__(module)
        new_rss, new_private = _read_memory()
        row = {"module": module, "rss_mb": new_rss - rss, "private_mb": new_private - private}
        rows.append(row)
        rss, private = new_rss, new_private
    return rows


def _read_memory() -> tuple[float, float]:
    lines = Path("/proc/self/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return tuple(int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "RssAnon"))


if __name__ == "__main__":
    print(json.dumps(import_one_by_one(sys.argv[1:])))
