"""Many slots or entries in one process, used as peers of a measured process.

``python benchmarks/_peer_pool.py slots|entries SETTINGS`` prints its port as one JSON line.
``POST /grow {"count": n}`` starts members until there are ``n`` and returns the VM list entries of
the new ones. ``GET /revision`` returns the lowest revision in force among the members.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import attrs
import uvloop
from aiohttp import web

from burdockquay_state import VmEntry
from burdockquay_transport import EntrySettings, PlatformSettings, SlotSettings
from burdockquay_transport.entry import Entry
from burdockquay_transport.slot import Slot

ROLES = {
    "slots": ("slot", Slot, SlotSettings),
    "entries": ("entry", Entry, EntrySettings),
}


class PeerPool:
    """Slots or entries that run in this process.

    Parameters
    ----------
    kind : str
        ``"slots"`` or ``"entries"``.
    settings : dict
        Settings shared by all members.
    """

    def __init__(self, kind: str, settings: dict[str, Any]):
        self.kind = kind
        self.settings = settings
        self.members: list[Any] = []

    async def grow(self, request: web.Request) -> web.Response:
        """Start members; see the module docstring."""
        wanted = (await request.json())["count"]
        entries = [await self._add(index) for index in range(len(self.members), wanted)]
        return web.json_response([attrs.asdict(e) | {"state": e.state.value} for e in entries])

    async def read_revision(self, _: web.Request) -> web.Response:
        """Return the lowest revision in force; see the module docstring."""
        revisions = [member.describe()["revision"] for member in self.members]
        return web.json_response({"revision": min(revisions, default=None)})

    async def _add(self, index: int) -> VmEntry:
        role, cls, settings_cls = ROLES[self.kind]
        platform = PlatformSettings(**self.settings["platform"])
        vm = f"crowd-{role}-{index}"
        fields = {**self.settings, "vm": vm, "platform": platform}
        member = cls(settings_cls(**fields))
        await member.start()
        self.members.append(member)
        return VmEntry(
            vm=vm,
            role=role,
            host="127.0.0.1",
            port=member.port,
            status_port=member.status_port,
            failure_domain=self.settings["failure_domain"],
            group=self.settings.get("group", ""),
        )


async def run(kind: str, settings: dict[str, Any]) -> None:
    """Serve until SIGTERM or SIGINT is received."""
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    app = web.Application()
    peer_pool = PeerPool(kind, settings)
    app.router.add_post("/grow", peer_pool.grow)
    app.router.add_get("/revision", peer_pool.read_revision)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    print(json.dumps({"port": runner.addresses[0][1]}), flush=True)
    await stopped.wait()


if __name__ == "__main__":
    uvloop.run(run(sys.argv[1], json.loads(Path(sys.argv[2]).read_text())))
